"""Writes the cluster's chunks in group commits, each conditional on the leader key.

One transaction is under way at a time. Every chunk is conditional on its own mark as well: a transaction
whose answer was lost may be applied late, and must not undo a newer one.
"""

import logging
from collections.abc import Callable
from datetime import timedelta

import msgspec
from twisted.internet.defer import Deferred

from spindleglade.leadership.election import LEADER, Term
from spindleglade.runtime.clock import ZERO, Clock, seconds, sleep
from spindleglade.runtime.periodic_task import PeriodicTask
from spindleglade.store.client import (
    Committed,
    Condition,
    ConditionFailed,
    Delete,
    Entry,
    NotAppliedError,
    OutcomeUnknownError,
    Put,
    StateClient,
    ValueTooLargeError,
    encode_value,
)
from spindleglade.submissions.records import JOBS, JobRecord, job_key
from spindleglade.workers.attempts import WriteBatch
from spindleglade.workers.cluster_state import ClusterState

log = logging.getLogger("spindleglade.workers")

# Of the 64 KiB a transaction may have, what its values may take; the rest is for keys and conditions.
MAX_TRANSACTION_VALUE_BYTES = 40 * 1024
# How long what nobody waits for gathers, and how soon a write that failed is tried again.
LOW_PRIORITY_DELAY = seconds(0.1)
RETRY_DELAY = seconds(0.3)


class StateWriter:
    def __init__(
        self,
        cluster: ClusterState,
        client: StateClient,
        clock: Clock,
        term: Term,
        mod_revisions: dict[str, int],
        committed: Callable[[], None],
        deposed: Callable[[str], None],
        learn: Callable[[str, bytes, int], None] = lambda key, value, mod_revision: None,
    ) -> None:
        """`learn` is told each record of an end that the store holds, with its key and mark: dependents are
        released by it without waiting for the watch."""
        self._cluster = cluster
        self._client = client
        self._clock = clock
        self._term = term
        # Marks of the chunks in the store; 0 for one that may be there, its write being unanswered.
        self._mod_revisions = mod_revisions
        self._on_committed = committed
        self._on_deposed = deposed
        self._observe_record = learn
        self._stopped = False
        self._loop = PeriodicTask(clock, "recorder", self._write_next, self._until_next)
        # How long the loop waits before it looks again; None: until something has changed.
        self._pause: timedelta | None = ZERO
        self._wakeup: Deferred[None] | None = None
        # Conditions cost too: four times the changes are allowed, one is the leader key, three a part.
        self._max_operations = max(1, client.limits.operations - 1)
        # The limit on values by which the latest batch was collected.
        self._batch_value_limit = client.value_bytes
        # What was last refused for its size.
        self._rejected_contents: list[tuple[str, bytes]] | None = None
        # How many batches of one item are still to come, after a larger one was refused for its size.
        self._single_item_batches = 0

    def start(self) -> None:
        """Begins to write what has changed."""
        self._loop.start()

    def stop(self) -> None:
        """Nothing more is written."""
        self._stopped = True
        self._loop.stop()
        self.wake()

    @property
    def stall_reason(self) -> str | None:
        """Why nothing is written, if so."""
        return self._loop.stall_reason

    def wake(self) -> None:
        """Something has changed."""
        if self._wakeup is not None:
            idle, self._wakeup = self._wakeup, None
            idle.callback(None)

    async def _until_next(self) -> None:
        if self._pause is None:
            self._wakeup = Deferred()
            await self._wakeup
        elif self._pause:
            await sleep(self._clock, self._pause)

    async def _write_next(self) -> None:
        """Writes one batch; what it could not write is put back."""
        self._pause = ZERO
        batch = self._collect()
        try:
            await self._write_batch(batch)
        except Exception:
            # Whatever breaks, all of it is written once more: what the store holds of it by now, and by which
            # marks, its next answer shows.
            self._cluster.requeue(batch)
            raise

    async def _write_batch(self, batch: WriteBatch) -> None:
        if batch.size == 0:
            self._forget_finished_jobs(batch)
            return
        self._limit_batch_size(batch)
        self._single_item_batches = max(0, self._single_item_batches - 1)
        if _batch_contents(batch) == self._rejected_contents:
            self._on_too_large(batch, "refused before")
            return
        try:
            result = await self._send_transaction(batch)
        except ValueTooLargeError as error:
            self._on_too_large(batch, str(error))
        except (NotAppliedError, OutcomeUnknownError) as error:
            self._on_write_failed(batch, error)
        except Exception:
            self._isolate_failing_item(batch)
            raise
        else:
            if not self._stopped:
                await self._on_write_answered(batch, result)

    def _collect(self) -> WriteBatch:
        most = 1 if self._single_item_batches else self._max_operations
        self._batch_value_limit = self._client.value_bytes
        return self._cluster.collect_writes(
            most, self._mod_revisions, self._client.spare_writes, self._batch_value_limit
        )

    def _forget_finished_jobs(self, batch: WriteBatch) -> None:
        """Nothing is to be written now."""
        for job in batch.finished_jobs:
            self._cluster.forget_job(job)
        if self._cluster.pending_writes:
            # Only what nobody waits for: it gathers until there are changes to spare.
            self._pause = LOW_PRIORITY_DELAY
        elif not batch.finished_jobs:
            self._pause = None

    def _on_write_failed(self, batch: WriteBatch, error: Exception) -> None:
        log.info("record delayed size=%d reason=%s", batch.size, error)
        if isinstance(error, OutcomeUnknownError):
            for write in batch.ranges:
                # It may be there. Else that of a job aborted meanwhile would be left in the store.
                self._mod_revisions.setdefault(write.key, 0)
        self._cluster.requeue(batch)
        self._pause = RETRY_DELAY

    async def _on_write_answered(self, batch: WriteBatch, result: Committed | ConditionFailed) -> None:
        if isinstance(result, Committed):
            self._apply_committed(batch, result.revision)
            self._on_committed()
        elif LEADER in result.failed:
            self._on_deposed("a record was refused")
            self._loop.stop()
        else:
            self._cluster.requeue(batch)
            await self._reread_conflicts(result)

    def _isolate_failing_item(self, batch: WriteBatch) -> None:
        """Writing broke: each item is tried alone from now on, and one that breaks alone waits until it
        changes, so that the others are written."""
        if batch.size > 1:
            self._single_item_batches = batch.size
        else:
            self._cluster.suspend_oversized_writes(batch)

    def _limit_batch_size(self, batch: WriteBatch) -> None:
        """Puts back what would make the transaction larger than the service takes: eleven full chunks of a
        large job are twice as much, and the refusal would repeat for ever."""
        size, kept = 0, 0
        for write in batch.ranges:
            size += 0 if write.value is None else len(write.value)
            if kept and size > MAX_TRANSACTION_VALUE_BYTES:
                break
            kept += 1
        back = WriteBatch(ranges=batch.ranges[kept:])
        batch.ranges = batch.ranges[:kept]
        if size > MAX_TRANSACTION_VALUE_BYTES // 2 and batch.done:
            back.done, batch.done = batch.done, []
        self._cluster.requeue(back)

    def _on_too_large(self, batch: WriteBatch, reason: str) -> None:
        """The same is never sent again. What the limit now in force makes smaller is collected anew; else
        each item is tried alone, and one that is refused alone waits until it changes."""
        self._rejected_contents = _batch_contents(batch)
        limit = self._client.value_bytes
        if limit < self._batch_value_limit and any(
            len(value) > limit for _, value in self._rejected_contents
        ):
            log.info("record too large size=%d limit=%d reason=%s", batch.size, limit, reason)
        elif batch.size > 1:
            log.info("record too large, tried one by one size=%d reason=%s", batch.size, reason)
            self._single_item_batches = batch.size
        else:
            keys = ",".join(key for key, _ in self._rejected_contents)
            log.error("record refused as too large keys=%s reason=%s", keys, reason)
            self._cluster.suspend_oversized_writes(batch)
        self._cluster.requeue(batch)

    async def _send_transaction(self, batch: WriteBatch) -> Committed | ConditionFailed:
        conditions = {LEADER: self._term.mod_revision}
        writes: list[Put | Delete] = []
        for write in batch.ranges:
            stored = self._mod_revisions.get(write.key, 0)
            conditions[write.key] = stored
            if write.job_mod_revision is not None:
                # An abort between the placing and its record makes this fail, so nothing of an aborted job
                # is ever recorded as placed.
                conditions[job_key(write.job)] = write.job_mod_revision
            if write.required_key is not None:
                conditions[write.required_key] = self._mod_revisions.get(write.required_key, 0)
            if write.value is not None:
                writes.append(Put(write.key, write.value))
            elif stored:
                writes.append(Delete(write.key))
        finished = self._clock.utc()
        batch.done = [
            (job, mod_revision, msgspec.structs.replace(record, finished=finished))
            for job, mod_revision, record in batch.done
        ]
        for job, mod_revision, record in batch.done:
            conditions[job_key(job)] = mod_revision
            writes.append(Put(job_key(job), encode_value(record)))
        for _, key in batch.removed:
            conditions[key] = stored = self._mod_revisions.get(key, 0)
            if stored:
                writes.append(Delete(key))
        return await self._client.compare_and_swap(
            [Condition(key, mod_revision) for key, mod_revision in conditions.items()], writes
        )

    def _apply_committed(self, batch: WriteBatch, revision: int) -> None:
        for write in batch.ranges:
            if write.value is None:
                self._mod_revisions.pop(write.key, None)
            else:
                self._mod_revisions[write.key] = revision
            self._cluster.on_range_committed(write.job, write.first_task, write.version)
        for job, _, record in batch.done:
            self._cluster.on_job_recorded_done(job, revision)
            self._observe_record(job_key(job), bytes(encode_value(record)), revision)
        for _, key in batch.removed:
            self._mod_revisions.pop(key, None)
        for job in batch.finished_jobs:
            self._cluster.forget_job(job)

    async def _reread_conflicts(self, result: ConditionFailed) -> None:
        """The marks we hold are not the store's: a write of ours was applied though its answer was lost, or
        a user has aborted a job."""
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
                log.info("mark not read key=%s reason=%s", key, error)

    async def _observe_job(self, key: str, entry: Entry | None) -> None:
        """What a user has made of a job. The replica tells it too, but its watch may be held up for seconds,
        and until then all that is in one batch with a start of the job would be refused again and again."""
        try:
            record = msgspec.json.decode(entry.value if entry is not None else b"null", type=JobRecord)
        except msgspec.DecodeError as error:
            log.error("job record not understood key=%s reason=%s", key, error)
            await sleep(self._clock, timedelta(seconds=0.05))
            return
        self._cluster.observe_job(record, entry.mod_revision)
        self._observe_record(key, bytes(entry.value), entry.mod_revision)
        # There may be tasks to stop.
        self._on_committed()


def _batch_contents(batch: WriteBatch) -> list[tuple[str, bytes]]:
    """What a batch would write, by key; nothing for a key that it removes."""
    values = [(write.key, b"" if write.value is None else bytes(write.value)) for write in batch.ranges]
    ends = [(job_key(job), bytes(encode_value(record))) for job, _, record in batch.done]
    return values + ends + [(key, b"") for _, key in batch.removed]
