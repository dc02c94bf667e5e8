"""Writes the cluster's chunks in group commits, each conditional on the leader key.

One transaction is under way at a time. Every chunk is conditional on its own mark as well: a transaction
whose answer was lost may be applied late, and must not undo a newer one.
"""

import logging
from collections.abc import Callable
from datetime import timedelta

import msgspec
from twisted.internet.defer import Deferred

from spindleglade.clock import ZERO, Clock, seconds, sleep
from spindleglade.leadership.election import LEADER, Term
from spindleglade.loop import Loop
from spindleglade.store.client import (
    Committed,
    Condition,
    Delete,
    Entry,
    Put,
    Refused,
    StateClient,
    TooLarge,
    Unavailable,
    Unknown,
    raw,
)
from spindleglade.submissions.records import JOBS, JobRecord, job_key
from spindleglade.workers.attempts import Batch
from spindleglade.workers.cluster import Cluster

log = logging.getLogger("spindleglade.workers")

# Of the 64 KiB a transaction may have, what its values may take; the rest is for keys and conditions.
MOST_BYTES = 40 * 1024
# How long what nobody waits for gathers, and how soon a write that failed is tried again.
GATHER_FOR = seconds(0.1)
RETRY_AFTER = seconds(0.3)


class Recorder:
    def __init__(
        self,
        cluster: Cluster,
        client: StateClient,
        clock: Clock,
        term: Term,
        marks: dict[str, int],
        committed: Callable[[], None],
        deposed: Callable[[str], None],
        learn: Callable[[str, bytes, int], None] = lambda key, value, mark: None,
    ) -> None:
        """`learn` is told each record of an end that the store holds, with its key and mark: dependents are
        released by it without waiting for the watch."""
        self._cluster = cluster
        self._client = client
        self._clock = clock
        self._term = term
        # Marks of the chunks in the store; 0 for one that may be there, its write being unanswered.
        self._marks = marks
        self._committed = committed
        self._deposed = deposed
        self._learn = learn
        self._stopped = False
        self._loop = Loop(clock, "recorder", self._write_next, self._until_next)
        # How long the loop waits before it looks again; None: until something has changed.
        self._pause: timedelta | None = ZERO
        self._idle: Deferred[None] | None = None
        # Conditions cost too: four times the changes are allowed, one is the leader key, three a part.
        self._most = max(1, client.limits.operations - 1)
        # The limit on values by which the latest batch was collected.
        self._limit = client.value_bytes
        # What was last refused for its size.
        self._refused: list[tuple[str, bytes]] | None = None
        # How many batches of one item are still to come, after a larger one was refused for its size.
        self._singly = 0

    def start(self) -> None:
        """Begins to write what has changed."""
        self._loop.start()

    def stop(self) -> None:
        """Nothing more is written."""
        self._stopped = True
        self._loop.stop()
        self.wake()

    @property
    def stalled(self) -> str | None:
        """Why nothing is written, if so."""
        return self._loop.stalled

    def wake(self) -> None:
        """Something has changed."""
        if self._idle is not None:
            idle, self._idle = self._idle, None
            idle.callback(None)

    async def _until_next(self) -> None:
        if self._pause is None:
            self._idle = Deferred()
            await self._idle
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
            self._cluster.put_back(batch)
            raise

    async def _write_batch(self, batch: Batch) -> None:
        if batch.size == 0:
            self._forget_over(batch)
            return
        self._fit(batch)
        self._singly = max(0, self._singly - 1)
        if _contents(batch) == self._refused:
            self._too_large(batch, "refused before")
            return
        try:
            result = await self._write(batch)
        except TooLarge as error:
            self._too_large(batch, str(error))
        except (Unavailable, Unknown) as error:
            self._not_written(batch, error)
        except Exception:
            self._set_aside_if_alone(batch)
            raise
        else:
            if not self._stopped:
                await self._written(batch, result)

    def _collect(self) -> Batch:
        most = 1 if self._singly else self._most
        self._limit = self._client.value_bytes
        return self._cluster.collect(most, self._marks, self._client.spare_writes, self._limit)

    def _forget_over(self, batch: Batch) -> None:
        """Nothing is to be written now."""
        for job in batch.over:
            self._cluster.forget(job)
        if self._cluster.dirty:
            # Only what nobody waits for: it gathers until there are changes to spare.
            self._pause = GATHER_FOR
        elif not batch.over:
            self._pause = None

    def _not_written(self, batch: Batch, error: Exception) -> None:
        log.info("record delayed size=%d reason=%s", batch.size, error)
        if isinstance(error, Unknown):
            for write in batch.chunks:
                # It may be there. Else that of a job aborted meanwhile would be left in the store.
                self._marks.setdefault(write.key, 0)
        self._cluster.put_back(batch)
        self._pause = RETRY_AFTER

    async def _written(self, batch: Batch, result: Committed | Refused) -> None:
        if isinstance(result, Committed):
            self._apply(batch, result.turn)
            self._committed()
        elif LEADER in result.failed:
            self._deposed("a record was refused")
            self._loop.stop()
        else:
            self._cluster.put_back(batch)
            await self._reread(result)

    def _set_aside_if_alone(self, batch: Batch) -> None:
        """Writing broke: each item is tried alone from now on, and one that breaks alone waits until it
        changes, so that the others are written."""
        if batch.size > 1:
            self._singly = batch.size
        else:
            self._cluster.set_aside_alone(batch)

    def _fit(self, batch: Batch) -> None:
        """Puts back what would make the transaction larger than the service takes: eleven full chunks of a
        large job are twice as much, and the refusal would repeat for ever."""
        size, kept = 0, 0
        for write in batch.chunks:
            size += 0 if write.value is None else len(write.value)
            if kept and size > MOST_BYTES:
                break
            kept += 1
        back = Batch(chunks=batch.chunks[kept:])
        batch.chunks = batch.chunks[:kept]
        if size > MOST_BYTES // 2 and batch.done:
            back.done, batch.done = batch.done, []
        self._cluster.put_back(back)

    def _too_large(self, batch: Batch, reason: str) -> None:
        """The same is never sent again. What the limit now in force makes smaller is collected anew; else
        each item is tried alone, and one that is refused alone waits until it changes."""
        self._refused = _contents(batch)
        limit = self._client.value_bytes
        if limit < self._limit and any(len(value) > limit for _, value in self._refused):
            log.info("record too large size=%d limit=%d reason=%s", batch.size, limit, reason)
        elif batch.size > 1:
            log.info("record too large, tried one by one size=%d reason=%s", batch.size, reason)
            self._singly = batch.size
        else:
            keys = ",".join(key for key, _ in self._refused)
            log.error("record refused as too large keys=%s reason=%s", keys, reason)
            self._cluster.set_aside_alone(batch)
        self._cluster.put_back(batch)

    async def _write(self, batch: Batch) -> Committed | Refused:
        when = {LEADER: self._term.mark}
        writes: list[Put | Delete] = []
        for write in batch.chunks:
            stored = self._marks.get(write.key, 0)
            when[write.key] = stored
            if write.job_mark is not None:
                # An abort between the placing and its record makes this fail, so nothing of an aborted job
                # is ever recorded as placed.
                when[job_key(write.job)] = write.job_mark
            if write.depends is not None:
                when[write.depends] = self._marks.get(write.depends, 0)
            if write.value is not None:
                writes.append(Put(write.key, write.value))
            elif stored:
                writes.append(Delete(write.key))
        finished = self._clock.utc()
        batch.done = [
            (job, mark, msgspec.structs.replace(record, finished=finished))
            for job, mark, record in batch.done
        ]
        for job, mark, record in batch.done:
            when[job_key(job)] = mark
            writes.append(Put(job_key(job), raw(record)))
        for _, key in batch.removed:
            when[key] = stored = self._marks.get(key, 0)
            if stored:
                writes.append(Delete(key))
        return await self._client.txn([Condition(key, mark) for key, mark in when.items()], writes)

    def _apply(self, batch: Batch, turn: int) -> None:
        for write in batch.chunks:
            if write.value is None:
                self._marks.pop(write.key, None)
            else:
                self._marks[write.key] = turn
            self._cluster.committed(write.job, write.first, write.version)
        for job, _, record in batch.done:
            self._cluster.finished(job, turn)
            self._learn(job_key(job), bytes(raw(record)), turn)
        for _, key in batch.removed:
            self._marks.pop(key, None)
        for job in batch.over:
            self._cluster.forget(job)

    async def _reread(self, result: Refused) -> None:
        """The marks we hold are not the store's: a write of ours was applied though its answer was lost, or
        a user has aborted a job."""
        for key in result.failed:
            try:
                entry = await self._client.get(key)
                if key.startswith(JOBS):
                    await self._take_job(key, entry)
                elif entry is None:
                    self._marks.pop(key, None)
                else:
                    self._marks[key] = entry.mark
            except (Unavailable, Unknown) as error:
                log.info("mark not read key=%s reason=%s", key, error)

    async def _take_job(self, key: str, entry: Entry | None) -> None:
        """What a user has made of a job. The replica tells it too, but its watch may be held up for seconds,
        and until then all that is in one batch with a start of the job would be refused again and again."""
        try:
            record = msgspec.json.decode(entry.value if entry is not None else b"null", type=JobRecord)
        except msgspec.DecodeError as error:
            log.error("job record not understood key=%s reason=%s", key, error)
            await sleep(self._clock, timedelta(seconds=0.05))
            return
        self._cluster.take_job(record, entry.mark)
        self._learn(key, bytes(entry.value), entry.mark)
        # There may be tasks to stop.
        self._committed()


def _contents(batch: Batch) -> list[tuple[str, bytes]]:
    """What a batch would write, by key; nothing for a key that it removes."""
    values = [(write.key, b"" if write.value is None else bytes(write.value)) for write in batch.chunks]
    ends = [(job_key(job), bytes(raw(record))) for job, _, record in batch.done]
    return values + ends + [(key, b"") for _, key in batch.removed]
