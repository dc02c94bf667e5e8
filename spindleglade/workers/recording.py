"""What the store holds of the cluster state: reading it, and what of it is to be written next."""

import logging
from collections.abc import Iterable
from datetime import timedelta

from spindleglade.store.client import raw
from spindleglade.submissions.messages import RANK
from spindleglade.submissions.records import (
    PARTS,
    TASKS,
    Chunk,
    JobRecord,
    chunk_key,
    chunk_size,
    end_record,
)
from spindleglade.workers.attempts import (
    DONE,
    PLACED,
    ZERO,
    Assignment,
    Batch,
    ChainMember,
    Job,
    Machine,
    PieceWrite,
    estimate,
)
from spindleglade.workers.cluster_base import ClusterBase

log = logging.getLogger("spindleglade.workers")

# So many attempts more than any other task of its job a task has had that was tried alone.
ATTEMPTS_ALONE = 2
# In place of a first task: the record of a job that is done.
DONE_RECORD = -1


def _was_on_trial(job: Job) -> bool:
    """Whether the attempts on record show that a former leader tried one task of the job at a time, because
    it failed everywhere: the first task, which is the one tried, has had several attempts more than each
    other one, no other is placed, and none is done. What was lost with machines or leases does not look so,
    since all that ran have then lost about as many; work that saves may, being stopped and started again with
    nothing wrong."""
    spec = job.spec
    first = job.attempts.get(0, 0)
    if first <= ATTEMPTS_ALONE or job.done or spec.whole or spec.checkpoint_s > 0:
        return False
    if any(index != 0 for index in job.placed):
        return False
    most_of_others = max((tried for index, tried in job.attempts.items() if index != 0), default=0)
    return 0 < most_of_others <= first - ATTEMPTS_ALONE


class Recording(ClusterBase):
    # What no value that is written may exceed; None: any size.
    _value_bytes: int | None = None

    def take_job(self, record: JobRecord, mark: int, now: timedelta = ZERO, age: timedelta = ZERO) -> None:
        """A job record, from the first reading or from a later change; `age` is the time since the job was
        accepted."""
        with self.lock:
            job = self.jobs.get(record.spec.id)
            if job is None:
                if record.stage != "done":
                    job = self.jobs[record.spec.id] = Job(record, mark)
                    job.hungry = now - age
                    if job.spec.deadline_s is not None:
                        job.deadline = now - age + timedelta(seconds=job.spec.deadline_s)
                    self.changes += 1
                    # One that was over and forgotten before the replica told of it is forgotten again.
                    self._retire(job)
                return
            if mark <= job.mark:
                return
            job.mark = mark
            self.changes += 1
            if record.stage == "done" and not job.finished:
                # Our own write, seen by watch before its answer came.
                self._finish(job)
            elif record.stage == "aborted" and not job.aborted:
                self._abort(job)

    def cancel_dependent(self, job_id: str) -> None:
        """An ancestor of the job is aborted, and so is the job, though its own record does not say so."""
        with self.lock:
            job = self.jobs.get(job_id)
            if job is not None and job.open:
                self.changes += 1
                self._abort(job)

    def release(self, job_id: str, now: timedelta, age: timedelta) -> None:
        """All dependencies of the job are on record as done, since `age`: its tasks may start from now on."""
        with self.lock:
            job = self.jobs.get(job_id)
            if job is not None and not job.released:
                job.released = True
                # Later than the release is when a job was read that has had starts: that of its latest is not
                # on record.
                job.hungry = max(job.hungry, now - age)
                self.changes += 1

    def set_awaited(self, job_id: str, awaited: bool) -> None:
        """Whether other jobs wait for this one, so that its end is recorded before others."""
        with self.lock:
            job = self.jobs.get(job_id)
            if job is not None:
                job.awaited = awaited

    def chain_members(self, names: Iterable[str]) -> dict[str, ChainMember]:
        """Those of the named jobs that are open."""
        with self.lock:
            jobs = [self.jobs[name] for name in names if name in self.jobs]
            return {
                job.id: ChainMember(RANK[job.spec.priority], job.deadline, job.spec.team, estimate(job.spec))
                for job in jobs
                if job.open
            }

    def set_urgency(self, job_id: str, rank: int, latest_start: timedelta | None) -> None:
        """What the job takes over from the jobs that need it."""
        with self.lock:
            job = self.jobs.get(job_id)
            if job is None:
                return
            job.latest_start = latest_start
            if job.rank != rank:
                job.rank = rank
                for assignment in job.placed.values():
                    machine = self.machines.get(assignment.machine)
                    if machine is not None:
                        self._touch(machine)

    def _abort(self, job: Job) -> None:
        job.aborted = True
        for assignment in job.placed.values():
            self._stop(assignment, "aborted", 0.0)
        self._drop_unsent(job, "aborted before its start")
        self._retire(job)

    def learn_part(self, job_id: str, first: int) -> None:
        """That the store holds a part; all are to be told of before any value is loaded."""
        with self.lock:
            job = self.jobs.get(job_id)
            if job is not None:
                job.pieces.add(first)

    def load_chunk(self, job_id: str, number: int, chunk: Chunk, now: timedelta) -> None:
        """A chunk as a former leader left it; only for the first reading."""
        with self.lock:
            job = self.jobs.get(job_id)
            self._load(job_id, job, 0 if job is None else number * job.chunk, chunk, now)

    def load_part(self, job_id: str, first: int, chunk: Chunk, now: timedelta) -> None:
        """A part as a former leader left it; only for the first reading."""
        with self.lock:
            self._load(job_id, self.jobs.get(job_id), first, chunk, now)

    def _load(self, job_id: str, job: Job | None, first: int, chunk: Chunk, now: timedelta) -> None:
        if job is None:
            # The job is done; what is left of its values is to be removed.
            self.dirty[(job_id, 0)] = None
        elif first < len(job.state):
            self._load_piece(job, chunk.clipped(first, job.pieces.end(first)), now)

    def _load_piece(self, job: Job, chunk: Chunk, now: timedelta) -> None:
        for first, last in chunk.done:
            for index in range(first, last + 1):
                job.state[index] = DONE
                job.done += 1
        if chunk.done or chunk.placed:
            # When its latest start was is not on record.
            job.hungry = now
        job.attempts.update(chunk.tried)
        for index, placement in chunk.placed.items():
            assignment = Assignment(
                job,
                index,
                placement.attempt,
                placement.machine,
                placement.session,
                0,
                now,
                stop="aborted" if job.aborted else None,
                loaded=True,
            )
            job.attempts[index] = placement.attempt
            job.state[index] = PLACED
            job.placed[index] = assignment
            machine = self.machines.get(placement.machine)
            if machine is None:
                # Not heard of yet. It counts as heard now, so that it gets a full lease to report.
                machine = Machine(placement.machine, "", "", "", True, heard=now, reported=now)
                self.machines[placement.machine] = machine
            machine.placed[(job.id, index)] = assignment
            self._touch(machine)

    def loaded(self) -> None:
        with self.lock:
            for job in list(self.jobs.values()):
                if job.complete and job.open:
                    self.dirty[(job.id, 0)] = None
                if _was_on_trial(job):
                    job.backoff = self.rules.backoff
                    log.info("job still on trial job=%s", job.id)
                self._retire(job)

    def committed(self, job_id: str, first: int, version: int) -> None:
        with self.lock:
            job = self.jobs.get(job_id)
            if job is None:
                return
            job.committed_versions[first] = max(job.committed_versions.get(first, 0), version)
            end = job.pieces.end(first)
            for index, assignment in job.placed.items():
                if first <= index < end and not assignment.seen:
                    self.due[assignment.machine] = None

    def finished(self, job_id: str, mark: int) -> None:
        """The record says that the job is done."""
        with self.lock:
            job = self.jobs.get(job_id)
            if job is not None and not job.finished:
                job.mark = max(job.mark, mark)
                self._finish(job)

    def forget(self, job_id: str) -> None:
        """All of a finished job's chunks are removed."""
        with self.lock:
            job = self.jobs.get(job_id)
            if job is not None and not job.open and not job.placed:
                self._all_recorded(job)
                del self.jobs[job_id]

    def collect(
        self,
        most: int,
        stored: dict[str, int],
        spare: int | None = None,
        value_bytes: int | None = None,
    ) -> "Batch":
        """Takes out of the dirty pieces what one transaction can hold: first the ends of jobs that others
        depend on, then pieces with starts that wait for their record, then other jobs that are done, of which
        users wait to hear, then the rest, which nobody waits for: at most `spare` of it. `stored` has the
        marks of the values that the store holds. Values larger than `value_bytes` are split."""
        with self.lock:
            self._value_bytes = value_bytes
            batch = Batch()
            rest: list[tuple[str, int]] = []
            for at in list(self.dirty):
                job = self.jobs.get(at[0])
                if batch.size < most and job is not None and job.awaited and job.open and job.complete:
                    self._collect(batch, at, most, stored)
            for at in list(self.starting):
                if batch.size >= most:
                    break
                self._collect(batch, at, most, stored)
            if batch.size < most:
                for at in list(self.dirty):
                    job = self.jobs.get(at[0])
                    if job is not None and job.open and job.complete:
                        if batch.size < most:
                            self._collect(batch, at, most, stored)
                    else:
                        rest.append(at)
                room = most if spare is None else min(most, batch.size + spare)
                for at in rest:
                    if batch.size >= room:
                        break
                    self._collect(batch, at, room, stored)
            # Jobs with chunks left over are not forgotten yet.
            for job_id, _ in self.dirty:
                batch.over.pop(job_id, None)
            return batch

    def _collect(self, batch: Batch, at: tuple[str, int], most: int, stored: dict[str, int]) -> None:
        job_id, first = at
        self.dirty.pop(at, None)
        self.starting.pop(at, None)
        job = self.jobs.get(job_id)
        if job is not None and job.open and job.complete:
            refused = self.set_aside.get((job_id, DONE_RECORD)) == job.mark
            if not refused and all(done != job_id for done, _, _ in batch.done):
                record = JobRecord("open", job.spec, job.chunk, job.accepted)
                record = end_record(record, "done", self._value_bytes)
                batch.done.append((job_id, job.mark, record))
        elif job is None or (not job.open and not job.placed):
            if job_id in batch.over:
                # Asked for by another of its chunks.
                return
            for key in self._stored_values(job_id, stored):
                if batch.size < most:
                    batch.removed.append((job_id, key))
                else:
                    self.dirty[at] = None
            batch.over[job_id] = None
        else:
            self._collect_piece(batch, job, first, most, stored)

    def _collect_piece(self, batch: Batch, job: Job, first: int, most: int, stored: dict[str, int]) -> None:
        """A piece, and before it the parts to its right that the store does not hold yet. Without them its
        value would no longer speak for their tasks, and nothing else would."""
        taken = {write.first for write in batch.chunks if write.job == job.id}
        if first in taken:
            return
        writes = self._writes_from(job, first, stored, taken)
        for write in reversed(writes):
            refused = self.set_aside.get((job.id, write.first)) == write.version
            if refused and write.first == first:
                return
            if refused or batch.size >= most:
                # Whatever of it waits is looked for again.
                self._dirty_again(job, first)
                return
            self.dirty.pop((job.id, write.first), None)
            self.starting.pop((job.id, write.first), None)
            batch.chunks.append(write)

    def _writes_from(self, job: Job, first: int, stored: dict[str, int], taken: set[int]) -> list[PieceWrite]:
        """The piece and the unstored parts to its right, from left to right, none too large to be split."""
        writes: list[PieceWrite] = []
        while True:
            write = self._encoded(job, first)
            if self._split_if_too_large(job, write):
                continue
            writes.append(write)
            first = job.pieces.end(first)
            if (
                not job.pieces.is_part(first)
                or first in taken
                or stored.get(job.pieces.key(job.id, first), 0) > 0
            ):
                return writes

    def _split_if_too_large(self, job: Job, write: PieceWrite) -> bool:
        """Whether it was split. The pieces fit in their longest form, so they need not be split again."""
        limit = self._value_bytes
        if limit is None or write.value is None or len(write.value) <= limit:
            return False
        firsts = job.split(write.first, chunk_size(limit))
        if len(firsts) == 1:
            return False
        for first in firsts:
            self._changed(job, first)
            self._dirty_again(job, first)
        log.info("split job=%s first=%d pieces=%d limit=%d", job.id, write.first, len(firsts), limit)
        return True

    @staticmethod
    def _encoded(job: Job, first: int) -> PieceWrite:
        part = job.pieces.is_part(first)
        chunk = job.encode(first)
        if chunk is None and part:
            # Without the part its left neighbour's stale entries would count again.
            chunk = Chunk()
        # A part of an aborted job that lands late must find its chunk as it was. Else it would stay for good:
        # no mark of the job's record stands against it any more.
        depends = chunk_key(job.id, first // job.chunk) if part and not job.open else None
        return PieceWrite(
            job.id,
            job.mark if job.open else None,
            first,
            job.versions.get(first, 0),
            job.pieces.key(job.id, first),
            None if chunk is None else raw(chunk),
            depends,
        )

    def _dirty_again(self, job: Job, first: int) -> None:
        """The piece is still to be written, first of all if a start in it waits for that."""
        self.dirty[(job.id, first)] = None
        end = job.pieces.end(first)
        if any(first <= index < end and not waiting.recorded for index, waiting in job.placed.items()):
            self.starting[(job.id, first)] = None

    def set_aside_alone(self, batch: Batch) -> None:
        """What the store refuses as too large though it was tried alone waits until it changes."""
        with self.lock:
            for write in batch.chunks:
                self.set_aside[(write.job, write.first)] = write.version
            for job_id, mark, _ in batch.done:
                self.set_aside[(job_id, DONE_RECORD)] = mark

    def _stored_values(self, job_id: str, stored: dict[str, int]) -> list[str]:
        """The keys of a job that is over, in the order in which they may be removed."""
        job = self.jobs.get(job_id)
        if job is not None:
            return [key for key in job.pieces.keys(job_id) if key in stored]
        return [
            key for prefix in (TASKS, PARTS) for key in sorted(stored) if key.startswith(f"{prefix}{job_id}/")
        ]

    def put_back(self, batch: "Batch") -> None:
        with self.lock:
            for write in batch.chunks:
                job = self.jobs.get(write.job)
                if job is None:
                    self.dirty[(write.job, write.first)] = None
                else:
                    self._dirty_again(job, write.first)
            for job_id in [
                *(job_id for job_id, _, _ in batch.done),
                *batch.over,
                *(job_id for job_id, _ in batch.removed),
            ]:
                self.dirty[(job_id, 0)] = None
