"""What the store holds of the cluster state: reading it, and what of it is to be written next."""

import logging
from collections.abc import Iterable
from datetime import timedelta

from spindleglade.runtime.clock import ZERO
from spindleglade.store.client import encode_value
from spindleglade.submissions.messages import RANK
from spindleglade.submissions.records import (
    OVERFLOW_RANGES,
    TASK_RANGES,
    JobRecord,
    TaskRangeRecord,
    final_record,
    range_key,
    tasks_per_range,
)
from spindleglade.workers.attempts import Attempt
from spindleglade.workers.cluster_base import ClusterBase
from spindleglade.workers.jobs import DONE, PLACED, ChainMember, Job, estimate
from spindleglade.workers.machines import Machine
from spindleglade.workers.write_batch import TaskRangeWrite, WriteBatch

log = logging.getLogger("spindleglade.workers")

# So many attempts more than any other task of its job a task has had that was tried alone.
PROBE_ATTEMPT_LEAD = 2
# In place of a first task: the record of a job that is done.
DONE_RECORD = -1


def _was_probing(job: Job) -> bool:
    """Whether the attempts on record show that a former leader tried one task of the job at a time, because
    it failed everywhere: the first task, which is the one tried, has had several attempts more than each
    other one, no other is placed, and none is done. What was lost with machines or leases does not look so,
    since all that ran have then lost about as many; work that saves may, being stopped and started again with
    nothing wrong."""
    spec = job.spec
    first = job.attempts.get(0, 0)
    if first <= PROBE_ATTEMPT_LEAD or job.done or spec.is_gang or spec.checkpoint_s > 0:
        return False
    if any(index != 0 for index in job.placed):
        return False
    most_of_others = max((tried for index, tried in job.attempts.items() if index != 0), default=0)
    return 0 < most_of_others <= first - PROBE_ATTEMPT_LEAD


class Persistence(ClusterBase):
    # What no value that is written may exceed; None: any size.
    _max_value_bytes: int | None = None

    def observe_job(
        self, record: JobRecord, mod_revision: int, now: timedelta = ZERO, age: timedelta = ZERO
    ) -> None:
        """A job record, from the first reading or from a later change; `age` is the time since the job was
        accepted."""
        with self.lock:
            job = self.jobs.get(record.spec.id)
            if job is None:
                if record.state != "done":
                    job = self.jobs[record.spec.id] = Job(record, mod_revision)
                    job.waiting_since = now - age
                    if job.spec.deadline_s is not None:
                        job.deadline = now - age + timedelta(seconds=job.spec.deadline_s)
                    self.change_count += 1
                    # One that was over and forgotten before the replica told of it is forgotten again.
                    self._queue_removal(job)
                return
            if mod_revision <= job.mod_revision:
                return
            job.mod_revision = mod_revision
            self.change_count += 1
            if record.state == "done" and not job.finished:
                # Our own write, seen by watch before its answer came.
                self._finish_job(job)
            elif record.state == "aborted" and not job.cancelled:
                self._cancel_job(job)

    def cancel_through_dependency(self, job_id: str) -> None:
        """An ancestor of the job is aborted, and so is the job, though its own record does not say so."""
        with self.lock:
            job = self.jobs.get(job_id)
            if job is not None and job.is_open:
                self.change_count += 1
                self._cancel_job(job)

    def release_job(self, job_id: str, now: timedelta, age: timedelta) -> None:
        """All dependencies of the job are on record as done, since `age`: its tasks may start from now on."""
        with self.lock:
            job = self.jobs.get(job_id)
            if job is not None and not job.released:
                job.released = True
                # Later than the release is when a job was read that has had starts: that of its latest is not
                # on record.
                job.waiting_since = max(job.waiting_since, now - age)
                self.change_count += 1

    def set_has_dependents(self, job_id: str, awaited: bool) -> None:
        """Whether other jobs wait for this one, so that its end is recorded before others."""
        with self.lock:
            job = self.jobs.get(job_id)
            if job is not None:
                job.has_dependents = awaited

    def chain_members(self, names: Iterable[str]) -> dict[str, ChainMember]:
        """Those of the named jobs that are open."""
        with self.lock:
            jobs = [self.jobs[name] for name in names if name in self.jobs]
            return {
                job.id: ChainMember(RANK[job.spec.priority], job.deadline, job.spec.team, estimate(job.spec))
                for job in jobs
                if job.is_open
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
                        self._mark_changed(machine)

    def _cancel_job(self, job: Job) -> None:
        job.cancelled = True
        for assignment in job.placed.values():
            self._stop_attempt(assignment, "aborted", 0.0)
        self._drop_unsent_starts(job, "aborted before its start")
        self._queue_removal(job)

    def add_overflow_range(self, job_id: str, first: int) -> None:
        """That the store holds a part; all are to be told of before any value is loaded."""
        with self.lock:
            job = self.jobs.get(job_id)
            if job is not None:
                job.ranges.add(first)

    def load_range(self, job_id: str, number: int, chunk: TaskRangeRecord, now: timedelta) -> None:
        """A chunk as a former leader left it; only for the first reading."""
        with self.lock:
            job = self.jobs.get(job_id)
            self._load(job_id, job, 0 if job is None else number * job.range_size, chunk, now)

    def load_overflow_range(self, job_id: str, first: int, chunk: TaskRangeRecord, now: timedelta) -> None:
        """A part as a former leader left it; only for the first reading."""
        with self.lock:
            self._load(job_id, self.jobs.get(job_id), first, chunk, now)

    def _load(self, job_id: str, job: Job | None, first: int, chunk: TaskRangeRecord, now: timedelta) -> None:
        if job is None:
            # The job is done; what is left of its values is to be removed.
            self.pending_writes[(job_id, 0)] = None
        elif first < len(job.task_states):
            self._load_tasks(job, chunk.restricted_to(first, job.ranges.end(first)), now)

    def _load_tasks(self, job: Job, chunk: TaskRangeRecord, now: timedelta) -> None:
        for first, last in chunk.done:
            for index in range(first, last + 1):
                job.task_states[index] = DONE
                job.done += 1
        if chunk.done or chunk.placed:
            # When its latest start was is not on record.
            job.waiting_since = now
        job.attempts.update(chunk.tried)
        for index, placement in chunk.placed.items():
            assignment = Attempt(
                job,
                index,
                placement.attempt,
                placement.machine,
                placement.incarnation,
                0,
                now,
                stop_reason="aborted" if job.cancelled else None,
                is_recovered=True,
            )
            job.attempts[index] = placement.attempt
            job.task_states[index] = PLACED
            job.placed[index] = assignment
            machine = self.machines.get(placement.machine)
            if machine is None:
                # Not heard of yet. It counts as heard now, so that it gets a full lease to report.
                machine = Machine(
                    placement.machine, "", "", "", True, last_heartbeat_at=now, last_own_heartbeat_at=now
                )
                self.machines[placement.machine] = machine
            machine.placed[(job.id, index)] = assignment
            self._mark_changed(machine)

    def finish_loading(self) -> None:
        with self.lock:
            for job in list(self.jobs.values()):
                if job.is_complete and job.is_open:
                    self.pending_writes[(job.id, 0)] = None
                if _was_probing(job):
                    job.backoff = self.policy.backoff
                    log.info("job still on trial job=%s", job.id)
                self._queue_removal(job)

    def on_range_committed(self, job_id: str, first: int, version: int) -> None:
        with self.lock:
            job = self.jobs.get(job_id)
            if job is None:
                return
            job.committed_versions[first] = max(job.committed_versions.get(first, 0), version)
            end = job.ranges.end(first)
            for index, assignment in job.placed.items():
                if first <= index < end and not assignment.is_confirmed:
                    self.dispatch_queue[assignment.machine] = None

    def on_job_recorded_done(self, job_id: str, mod_revision: int) -> None:
        """The record says that the job is done."""
        with self.lock:
            job = self.jobs.get(job_id)
            if job is not None and not job.finished:
                job.mod_revision = max(job.mod_revision, mod_revision)
                self._finish_job(job)

    def forget_job(self, job_id: str) -> None:
        """All of a finished job's chunks are removed."""
        with self.lock:
            job = self.jobs.get(job_id)
            if job is not None and not job.is_open and not job.placed:
                self._mark_all_committed(job)
                del self.jobs[job_id]

    def collect_writes(
        self,
        most: int,
        stored: dict[str, int],
        spare: int | None = None,
        value_bytes: int | None = None,
    ) -> "WriteBatch":
        """Takes out of the dirty pieces what one transaction can hold: first the ends of jobs that others
        depend on, then pieces with starts that wait for their record, then other jobs that are done, of which
        users wait to hear, then the rest, which nobody waits for: at most `spare` of it. `stored` has the
        marks of the values that the store holds. Values larger than `value_bytes` are split."""
        with self.lock:
            self._max_value_bytes = value_bytes
            batch = WriteBatch()
            rest: list[tuple[str, int]] = []
            for at in list(self.pending_writes):
                job = self.jobs.get(at[0])
                if (
                    batch.size < most
                    and job is not None
                    and job.has_dependents
                    and job.is_open
                    and job.is_complete
                ):
                    self._collect_job_writes(batch, at, most, stored)
            for at in list(self.pending_start_writes):
                if batch.size >= most:
                    break
                self._collect_job_writes(batch, at, most, stored)
            if batch.size < most:
                for at in list(self.pending_writes):
                    job = self.jobs.get(at[0])
                    if job is not None and job.is_open and job.is_complete:
                        if batch.size < most:
                            self._collect_job_writes(batch, at, most, stored)
                    else:
                        rest.append(at)
                room = most if spare is None else min(most, batch.size + spare)
                for at in rest:
                    if batch.size >= room:
                        break
                    self._collect_job_writes(batch, at, room, stored)
            # Jobs with chunks left over are not forgotten yet.
            for job_id, _ in self.pending_writes:
                batch.finished_jobs.pop(job_id, None)
            return batch

    def _collect_job_writes(
        self, batch: WriteBatch, at: tuple[str, int], most: int, stored: dict[str, int]
    ) -> None:
        job_id, first = at
        self.pending_writes.pop(at, None)
        self.pending_start_writes.pop(at, None)
        job = self.jobs.get(job_id)
        if job is not None and job.is_open and job.is_complete:
            refused = self.oversized_writes.get((job_id, DONE_RECORD)) == job.mod_revision
            if not refused and all(done != job_id for done, _, _ in batch.done):
                record = JobRecord("open", job.spec, job.range_size, job.accepted)
                record = final_record(record, "done", self._max_value_bytes)
                batch.done.append((job_id, job.mod_revision, record))
        elif job is None or (not job.is_open and not job.placed):
            if job_id in batch.finished_jobs:
                # Asked for by another of its chunks.
                return
            for key in self._stored_keys(job_id, stored):
                if batch.size < most:
                    batch.removed.append((job_id, key))
                else:
                    self.pending_writes[at] = None
            batch.finished_jobs[job_id] = None
        else:
            self._collect_range(batch, job, first, most, stored)

    def _collect_range(
        self, batch: WriteBatch, job: Job, first: int, most: int, stored: dict[str, int]
    ) -> None:
        """A piece, and before it the parts to its right that the store does not hold yet. Without them its
        value would no longer speak for their tasks, and nothing else would."""
        taken = {write.first_task for write in batch.ranges if write.job == job.id}
        if first in taken:
            return
        writes = self._range_writes(job, first, stored, taken)
        for write in reversed(writes):
            refused = self.oversized_writes.get((job.id, write.first_task)) == write.version
            if refused and write.first_task == first:
                return
            if refused or batch.size >= most:
                # Whatever of it waits is looked for again.
                self._requeue_range(job, first)
                return
            self.pending_writes.pop((job.id, write.first_task), None)
            self.pending_start_writes.pop((job.id, write.first_task), None)
            batch.ranges.append(write)

    def _range_writes(
        self, job: Job, first: int, stored: dict[str, int], taken: set[int]
    ) -> list[TaskRangeWrite]:
        """The piece and the unstored parts to its right, from left to right, none too large to be split."""
        writes: list[TaskRangeWrite] = []
        while True:
            write = self._encode_range_write(job, first)
            if self._split_if_too_large(job, write):
                continue
            writes.append(write)
            first = job.ranges.end(first)
            if (
                not job.ranges.is_overflow(first)
                or first in taken
                or stored.get(job.ranges.key(job.id, first), 0) > 0
            ):
                return writes

    def _split_if_too_large(self, job: Job, write: TaskRangeWrite) -> bool:
        """Whether it was split. The pieces fit in their longest form, so they need not be split again."""
        limit = self._max_value_bytes
        if limit is None or write.value is None or len(write.value) <= limit:
            return False
        firsts = job.split_range(write.first_task, tasks_per_range(limit))
        if len(firsts) == 1:
            return False
        for first in firsts:
            self._mark_task_changed(job, first)
            self._requeue_range(job, first)
        log.info("split job=%s first=%d pieces=%d limit=%d", job.id, write.first_task, len(firsts), limit)
        return True

    @staticmethod
    def _encode_range_write(job: Job, first: int) -> TaskRangeWrite:
        part = job.ranges.is_overflow(first)
        chunk = job.encode_range(first)
        if chunk is None and part:
            # Without the part its left neighbour's stale entries would count again.
            chunk = TaskRangeRecord()
        # A part of an aborted job that lands late must find its chunk as it was. Else it would stay for good:
        # no mark of the job's record stands against it any more.
        depends = range_key(job.id, first // job.range_size) if part and not job.is_open else None
        return TaskRangeWrite(
            job.id,
            job.mod_revision if job.is_open else None,
            first,
            job.versions.get(first, 0),
            job.ranges.key(job.id, first),
            None if chunk is None else encode_value(chunk),
            depends,
        )

    def _requeue_range(self, job: Job, first: int) -> None:
        """The piece is still to be written, first of all if a start in it waits for that."""
        self.pending_writes[(job.id, first)] = None
        end = job.ranges.end(first)
        if any(first <= index < end and not waiting.is_recorded for index, waiting in job.placed.items()):
            self.pending_start_writes[(job.id, first)] = None

    def suspend_oversized_writes(self, batch: WriteBatch) -> None:
        """What the store refuses as too large though it was tried alone waits until it changes."""
        with self.lock:
            for write in batch.ranges:
                self.oversized_writes[(write.job, write.first_task)] = write.version
            for job_id, mod_revision, _ in batch.done:
                self.oversized_writes[(job_id, DONE_RECORD)] = mod_revision

    def _stored_keys(self, job_id: str, stored: dict[str, int]) -> list[str]:
        """The keys of a job that is over, in the order in which they may be removed."""
        job = self.jobs.get(job_id)
        if job is not None:
            return [key for key in job.ranges.keys(job_id) if key in stored]
        return [
            key
            for prefix in (TASK_RANGES, OVERFLOW_RANGES)
            for key in sorted(stored)
            if key.startswith(f"{prefix}{job_id}/")
        ]

    def requeue(self, batch: "WriteBatch") -> None:
        with self.lock:
            for write in batch.ranges:
                job = self.jobs.get(write.job)
                if job is None:
                    self.pending_writes[(write.job, write.first_task)] = None
                else:
                    self._requeue_range(job, write.first_task)
            for job_id in [
                *(job_id for job_id, _, _ in batch.done),
                *batch.finished_jobs,
                *(job_id for job_id, _ in batch.removed),
            ]:
                self.pending_writes[(job_id, 0)] = None
