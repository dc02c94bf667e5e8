"""Writes the changes of the cluster state to the store in group commits, each conditional on the leader key.

One transaction is in flight at a time. Every task range is conditional on its own mod_revision as well: a
transaction whose outcome is unknown may be applied late, and must not undo a newer one.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from spindleglade.leadership.term import LEADER, Term
from spindleglade.runtime.clock import ZERO, Clock, seconds, sleep
from spindleglade.runtime.periodic_task import PeriodicTask
from spindleglade.runtime.wakeup import Wakeup
from spindleglade.store.client import StateClient
from spindleglade.store.errors import NotAppliedError, OutcomeUnknownError, ValueTooLargeError
from spindleglade.store.messages import Committed, ConditionFailed, Entry, encode_value
from spindleglade.submissions.records import JOBS, JobRecord, job_key
from spindleglade.workers.cluster_state import ClusterState
from spindleglade.workers.write_batch import WriteBatch
from spindleglade.workers.write_batcher import WriteBatcher
from spindleglade.workers.write_transaction import WriteTransaction, set_finished_time

log = logging.getLogger("spindleglade.workers")

# How long changes that nobody waits for are gathered.
LOW_PRIORITY_DELAY = seconds(0.1)
# How soon a write that was not applied, or may not have been, is tried again.
RETRY_DELAY = seconds(0.3)
# How long to wait after reading a job record that cannot be decoded.
MALFORMED_RECORD_DELAY = seconds(0.05)


def _ignore_record(key: str, value: bytes, mod_revision: int) -> None:
    """For a writer whose records nobody observes."""


@dataclass(frozen=True, slots=True)
class StateWriterEvents:
    """Whom a state writer tells of what it finds in the store."""

    # A batch is committed, or a job has changed: there may be commands to send.
    on_committed: Callable[[], None]
    # Another controller leads; called with the reason.
    on_deposed: Callable[[str], None]
    # A job's record as the store holds it, by key, value and mod_revision. By a final one dependents are
    # released without waiting for the watch.
    on_record_observed: Callable[[str, bytes, int], None] = _ignore_record


class StateWriter:
    """Writes what changes in the cluster state, batch by batch, until it is stopped or its leader deposed."""

    def __init__(
        self,
        cluster: ClusterState,
        client: StateClient,
        clock: Clock,
        term: Term,
        mod_revisions: dict[str, int],
        events: StateWriterEvents,
    ) -> None:
        """`mod_revisions` are those of the task ranges in the store, and are kept up to date."""
        self._cluster = cluster
        self._client = client
        self._clock = clock
        self._term = term
        # 0 for a key that may exist, since the outcome of its write is unknown.
        self._mod_revisions = mod_revisions
        self._events = events
        self._batcher = WriteBatcher(cluster, client)
        self._stopped = False
        self._loop = PeriodicTask(clock, "state_writer", self._write_next, self._until_next)
        # How long the loop waits before it looks for changes again; None: until it is woken.
        self._pause: timedelta | None = ZERO
        self._wakeup = Wakeup()

    def start(self) -> None:
        """Begins to write what has changed."""
        self._loop.start()

    def stop(self) -> None:
        """Ends the writing; the response to a transaction in flight is ignored."""
        self._stopped = True
        self._loop.stop()
        self.wake()

    @property
    def stall_reason(self) -> str | None:
        """Why nothing is written, if so."""
        return self._loop.stall_reason

    def wake(self) -> None:
        """Looks for changes at once if the writer was waiting for some."""
        self._wakeup.wake()

    async def _until_next(self) -> None:
        if self._pause is None:
            await self._wakeup.wait()
        elif self._pause:
            await sleep(self._clock, self._pause)

    async def _write_next(self) -> None:
        """Writes one batch; what could not be written is put back."""
        self._pause = ZERO
        batch = self._batcher.collect(self._mod_revisions)
        try:
            await self._write_batch(batch)
        except Exception:
            # All of it is written once more. What the store holds of it by now, and by which mod_revisions,
            # its next response shows.
            self._cluster.requeue(batch)
            raise

    async def _write_batch(self, batch: WriteBatch) -> None:
        if batch.size == 0:
            self._on_nothing_to_write(batch)
            return
        self._batcher.prepare(batch)
        if self._batcher.was_rejected(batch):
            self._batcher.on_too_large(batch, "rejected before")
            return
        try:
            result = await self._send(batch)
        except ValueTooLargeError as error:
            self._batcher.on_too_large(batch, str(error))
        except (NotAppliedError, OutcomeUnknownError) as error:
            self._on_not_committed(batch, error)
        except Exception:
            self._batcher.isolate_failing_change(batch)
            raise
        else:
            if not self._stopped:
                await self._on_response(batch, result)

    async def _send(self, batch: WriteBatch) -> Committed | ConditionFailed:
        set_finished_time(batch, self._clock.utc())
        transaction = WriteTransaction(batch, self._term.mod_revision, self._mod_revisions)
        return await self._client.compare_and_swap(transaction.conditions, transaction.changes)

    def _on_nothing_to_write(self, batch: WriteBatch) -> None:
        self._forget_finished_jobs(batch)
        if self._cluster.pending_writes:
            # Only changes that nobody waits for: they are gathered until the store has capacity to spare.
            self._pause = LOW_PRIORITY_DELAY
        elif not batch.finished_jobs:
            self._pause = None

    def _on_not_committed(self, batch: WriteBatch, error: NotAppliedError | OutcomeUnknownError) -> None:
        log.info("batch not committed changes=%d reason=%s", batch.size, error)
        if isinstance(error, OutcomeUnknownError):
            for write in batch.ranges:
                # The key may exist. If its job is cancelled meanwhile, it has to be removed.
                self._mod_revisions.setdefault(write.key, 0)
        self._cluster.requeue(batch)
        self._pause = RETRY_DELAY

    async def _on_response(self, batch: WriteBatch, result: Committed | ConditionFailed) -> None:
        if isinstance(result, Committed):
            self._apply_committed(batch, result.revision)
            self._events.on_committed()
        elif LEADER in result.failed:
            self._events.on_deposed("the condition on the leader key failed")
            self._loop.stop()
        else:
            self._cluster.requeue(batch)
            await self._read_conflicting_keys(result)

    def _apply_committed(self, batch: WriteBatch, revision: int) -> None:
        for write in batch.ranges:
            if write.value is None:
                self._mod_revisions.pop(write.key, None)
            else:
                self._mod_revisions[write.key] = revision
            self._cluster.on_range_committed(write.job, write.first_task, write.version)
        for job, _, record in batch.done:
            self._cluster.on_job_recorded_done(job, revision)
            self._events.on_record_observed(job_key(job), bytes(encode_value(record)), revision)
        for _, key in batch.removed:
            self._mod_revisions.pop(key, None)
        self._forget_finished_jobs(batch)

    def _forget_finished_jobs(self, batch: WriteBatch) -> None:
        for job in batch.finished_jobs:
            self._cluster.forget_job(job)

    async def _read_conflicting_keys(self, result: ConditionFailed) -> None:
        """Reads the keys whose mod_revisions are not as expected: a write whose outcome was unknown has been
        applied, or a user has cancelled a job."""
        for key in result.failed:
            try:
                entry = await self._client.get(key)
                if key.startswith(JOBS):
                    await self._observe_job(key, entry)
                elif entry is None:
                    self._mod_revisions.pop(key, None)
                else:
                    self._mod_revisions[key] = entry.mod_revision
            except (NotAppliedError, OutcomeUnknownError) as error:
                log.info("mod_revision not read key=%s reason=%s", key, error)

    async def _skip_job_record(self, key: str, reason: str) -> None:
        """Leaves a record as it is that cannot be read, and pauses before the batch is tried again."""
        log.error("job record malformed key=%s reason=%s", key, reason)
        await sleep(self._clock, MALFORMED_RECORD_DELAY)

    async def _observe_job(self, key: str, entry: Entry | None) -> None:
        """Applies a job's record as read from the store. The replica shows it too, but its watch may be
        delayed by seconds, and until then every batch with a start of the job would fail its condition."""
        if entry is None:
            await self._skip_job_record(key, "the key does not exist")
            return
        try:
            record = msgspec.json.decode(entry.value, type=JobRecord)
        except msgspec.DecodeError as error:
            await self._skip_job_record(key, str(error))
            return
        self._cluster.observe_job(record, entry.mod_revision)
        self._events.on_record_observed(key, bytes(entry.value), entry.mod_revision)
        # There may be tasks to stop.
        self._events.on_committed()
