"""Writes the changes of the cluster state to the store in group commits, each conditional on the leader key.

One transaction is in flight at a time. The write of a task range is also conditional on the range's own
mod_revision: a transaction with an unknown outcome may be applied late and must not overwrite a newer one.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from spindleglade.leadership.term import LEADER_KEY, Term
from spindleglade.runtime.clock import ZERO, Clock, seconds, sleep
from spindleglade.runtime.periodic_task import PeriodicTask
from spindleglade.runtime.wakeup import Wakeup
from spindleglade.store.client import StateClient
from spindleglade.store.errors import NotAppliedError, OutcomeUnknownError, ValueTooLargeError
from spindleglade.store.messages import Committed, ConditionFailed, Entry, encode_value
from spindleglade.submissions.records import JOB_KEY_PREFIX, JobRecord, job_key
from spindleglade.workers.cluster_state import ClusterState
from spindleglade.workers.write_batch import WriteBatch
from spindleglade.workers.write_batcher import WriteBatcher
from spindleglade.workers.write_transaction import WriteTransaction, set_finished_time

log = logging.getLogger("spindleglade.workers")

# How long background changes, which neither a start nor a user waits for, are gathered.
BACKGROUND_WRITE_DELAY = seconds(0.1)
# Delay before a write that was not applied, or has an unknown outcome, is tried again.
RETRY_DELAY = seconds(0.3)
# Delay after reading a job record that cannot be decoded.
MALFORMED_RECORD_DELAY = seconds(0.05)


def _ignore_record(key: str, value: bytes, mod_revision: int) -> None:
    """The default observer of job records, which does nothing."""


@dataclass(frozen=True, slots=True)
class StateWriterEvents:
    """Callbacks for what a state writer learns from the store."""

    # Called when a batch is committed or a job's record has been read: there may be commands to send.
    on_committed: Callable[[], None]
    # Called with the reason when another controller is the leader.
    on_deposed: Callable[[str], None]
    # Called with the key, value and mod_revision of a job's record in the store. A final record releases the
    # job's dependents without waiting for the watch.
    on_record_observed: Callable[[str, bytes, int], None] = _ignore_record


class StateWriter:
    """Writes the changes of the cluster state batch by batch, until stopped or its leader is deposed."""

    def __init__(
        self,
        cluster: ClusterState,
        client: StateClient,
        clock: Clock,
        term: Term,
        mod_revisions: dict[str, int],
        events: StateWriterEvents,
    ) -> None:
        """`mod_revisions` maps the keys of the task ranges in the store to their modification revisions. The
        writer keeps it up to date."""
        self._cluster = cluster
        self._client = client
        self._clock = clock
        self._term = term
        # The revision is 0 for a key that may exist because the outcome of its write is unknown.
        self._mod_revisions = mod_revisions
        self._events = events
        self._batcher = WriteBatcher(cluster, client)
        self._stopped = False
        self._loop = PeriodicTask(clock, "state_writer", self._write_next_batch, self._wait_for_next_batch)
        # How long the loop waits before it looks for changes again. None: it waits until it is woken.
        self._pause: timedelta | None = ZERO
        self._wakeup = Wakeup()

    def start(self) -> None:
        """Starts writing the pending changes."""
        self._loop.start()

    def stop(self) -> None:
        """Stops writing. The response to a transaction in flight is ignored."""
        self._stopped = True
        self._loop.stop()
        self.wake()

    @property
    def stall_reason(self) -> str | None:
        """Why the writer makes no progress; None if it does."""
        return self._loop.stall_reason

    def wake(self) -> None:
        """Makes the writer look for changes at once if it is waiting for changes."""
        self._wakeup.wake()

    async def _wait_for_next_batch(self) -> None:
        if self._pause is None:
            await self._wakeup.wait()
        elif self._pause:
            await sleep(self._clock, self._pause)

    async def _write_next_batch(self) -> None:
        """Writes one batch, and puts back the changes that could not be written."""
        self._pause = ZERO
        batch = self._batcher.collect(self._mod_revisions)
        try:
            await self._write_batch(batch)
        except Exception:
            # The whole batch is written again, even if the store holds it by now: the next response shows
            # which keys the store holds, and under which mod_revisions.
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
        self._forget_jobs(batch)
        if self._cluster.pending_writes:
            # Only background changes are left; they are gathered until the store has capacity to spare.
            self._pause = BACKGROUND_WRITE_DELAY
        elif not batch.forgettable_jobs:
            self._pause = None

    def _on_not_committed(self, batch: WriteBatch, error: NotAppliedError | OutcomeUnknownError) -> None:
        log.info("batch not committed changes=%d reason=%s", batch.size, error)
        if isinstance(error, OutcomeUnknownError):
            for write in batch.ranges:
                # The key may exist, and must then be removed if the job is cancelled in the meantime.
                self._mod_revisions.setdefault(write.key, 0)
        self._cluster.requeue(batch)
        self._pause = RETRY_DELAY

    async def _on_response(self, batch: WriteBatch, result: Committed | ConditionFailed) -> None:
        if isinstance(result, Committed):
            self._apply_committed(batch, result.revision)
            self._events.on_committed()
        elif LEADER_KEY in result.failed:
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
        for job, _, record in batch.done_jobs:
            self._cluster.on_job_recorded_done(job, revision)
            self._events.on_record_observed(job_key(job), bytes(encode_value(record)), revision)
        for _, key in batch.removals:
            self._mod_revisions.pop(key, None)
        self._forget_jobs(batch)

    def _forget_jobs(self, batch: WriteBatch) -> None:
        for job in batch.forgettable_jobs:
            self._cluster.forget_job(job)

    async def _read_conflicting_keys(self, result: ConditionFailed) -> None:
        """Reads the keys that do not have the expected mod_revisions. Either a write with an unknown outcome
        has been applied, or a user has cancelled a job."""
        for key in result.failed:
            try:
                entry = await self._client.get(key)
                if key.startswith(JOB_KEY_PREFIX):
                    await self._observe_job(key, entry)
                elif entry is None:
                    self._mod_revisions.pop(key, None)
                else:
                    self._mod_revisions[key] = entry.mod_revision
            except (NotAppliedError, OutcomeUnknownError) as error:
                log.info("mod_revision not read key=%s reason=%s", key, error)

    async def _skip_job_record(self, key: str, reason: str) -> None:
        """Skips a record that cannot be decoded or is missing, and pauses before the batch is tried again."""
        log.error("job record malformed key=%s reason=%s", key, reason)
        await sleep(self._clock, MALFORMED_RECORD_DELAY)

    async def _observe_job(self, key: str, entry: Entry | None) -> None:
        """Applies a job's record as read from the store. The replica shows the record too, but its watch may
        be delayed by seconds, and until then every batch with a start of the job would fail."""
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
        # If the job is cancelled, its tasks have to be stopped.
        self._events.on_committed()
