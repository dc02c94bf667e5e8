"""Collects what one transaction writes to the state service."""

import logging
from typing import NamedTuple

from spindleglade.store.messages import encode_value
from spindleglade.submissions.records import (
    OVERFLOW_RANGES,
    TASK_RANGES,
    JobRecord,
    JobState,
    TaskRangeRecord,
    final_record,
    range_key,
    tasks_per_range,
)
from spindleglade.workers.cluster_data import ClusterData
from spindleglade.workers.jobs import Job
from spindleglade.workers.state_changes import StateChanges
from spindleglade.workers.write_batch import (
    CompletedJobWrite,
    TaskRangeId,
    TaskRangeRemoval,
    TaskRangeWrite,
    WriteBatch,
)
from spindleglade.workers.write_queue import DONE_RECORD, WriteQueue

log = logging.getLogger("spindleglade.workers")


class TransactionLimits(NamedTuple):
    """What a transaction may contain."""

    max_operations: int
    # Of what nobody waits for; None: as much as fits.
    max_background_operations: int | None = None
    # Larger values are split; None: any size.
    max_value_bytes: int | None = None


class WriteCollection:
    """Fills one batch from the pending writes. Called with the lock held, once."""

    def __init__(
        self,
        data: ClusterData,
        changes: StateChanges,
        queue: WriteQueue,
        stored_revisions: dict[str, int],
        limits: TransactionLimits,
    ) -> None:
        """`stored_revisions`: the modification revisions of the keys that the store holds."""
        self._data = data
        self._changes = changes
        self._queue = queue
        self._stored_revisions = stored_revisions
        self._limits = limits
        self._batch = WriteBatch()

    def collect(self) -> WriteBatch:
        """First the ends of jobs that others depend on, then task ranges with starts that wait for their
        record, then other jobs that are done, whose users wait for that, then the rest."""
        max_operations = self._limits.max_operations
        self._collect_ends_with_dependents(max_operations)
        self._collect_pending_starts(max_operations)
        if self._batch.size < max_operations:
            background = self._collect_other_ends(max_operations)
            self._collect_background(background)
        # Jobs with task ranges left to remove are not forgotten yet.
        for job_id, _ in self._data.pending_writes:
            self._batch.finished_jobs.pop(job_id, None)
        return self._batch

    def _collect_ends_with_dependents(self, max_operations: int) -> None:
        for range_id in list(self._data.pending_writes):
            job = self._data.jobs.get(range_id.job)
            if (
                self._batch.size < max_operations
                and job is not None
                and job.has_dependents
                and job.is_open
                and job.is_complete
            ):
                self._collect(range_id, max_operations)

    def _collect_pending_starts(self, max_operations: int) -> None:
        for range_id in list(self._data.pending_start_writes):
            if self._batch.size >= max_operations:
                break
            self._collect(range_id, max_operations)

    def _collect_other_ends(self, max_operations: int) -> list[TaskRangeId]:
        """Returns the pending writes that are no ends of jobs."""
        background: list[TaskRangeId] = []
        for range_id in list(self._data.pending_writes):
            job = self._data.jobs.get(range_id.job)
            if job is None or not job.is_open or not job.is_complete:
                background.append(range_id)
            elif self._batch.size < max_operations:
                self._collect(range_id, max_operations)
        return background

    def _collect_background(self, range_ids: list[TaskRangeId]) -> None:
        max_operations = self._limits.max_operations
        if self._limits.max_background_operations is not None:
            max_operations = min(max_operations, self._batch.size + self._limits.max_background_operations)
        for range_id in range_ids:
            if self._batch.size >= max_operations:
                break
            self._collect(range_id, max_operations)

    def _collect(self, range_id: TaskRangeId, max_operations: int) -> None:
        """Takes over a pending write, as far as it fits."""
        self._queue.remove(range_id)
        job = self._data.jobs.get(range_id.job)
        if job is not None and job.is_open and job.is_complete:
            self._collect_end(job)
        elif job is None or (not job.is_open and not job.placed):
            self._collect_removals(range_id, max_operations)
        else:
            self._collect_range(job, range_id.first_task, max_operations)

    def _collect_end(self, job: Job) -> None:
        """The final record of a job all of whose tasks are done."""
        refused_revision = self._data.oversized_writes.get(TaskRangeId(job.id, DONE_RECORD))
        if refused_revision == job.mod_revision or any(done == job.id for done, _, _ in self._batch.done):
            return
        record = JobRecord(JobState.OPEN, job.spec, job.range_size, job.accepted)
        record = final_record(record, JobState.DONE, self._limits.max_value_bytes)
        self._batch.done.append(CompletedJobWrite(job.id, job.mod_revision, record))

    def _collect_removals(self, range_id: TaskRangeId, max_operations: int) -> None:
        """The removals of all task ranges of a job that is over."""
        job_id = range_id.job
        if job_id in self._batch.finished_jobs:
            # Collected for another of its task ranges.
            return
        for key in self._stored_keys(job_id):
            if self._batch.size < max_operations:
                self._batch.removed.append(TaskRangeRemoval(job_id, key))
            else:
                self._data.pending_writes[range_id] = None
        self._batch.finished_jobs[job_id] = None

    def _stored_keys(self, job_id: str) -> list[str]:
        """The keys of a job that is over, in the order in which they may be removed."""
        job = self._data.jobs.get(job_id)
        if job is not None:
            return [key for key in job.ranges.keys(job_id) if key in self._stored_revisions]
        return [
            key
            for prefix in (TASK_RANGES, OVERFLOW_RANGES)
            for key in sorted(self._stored_revisions)
            if key.startswith(f"{prefix}{job_id}/")
        ]

    def _collect_range(self, job: Job, first_task: int, max_operations: int) -> None:
        """A task range, and before it the overflow ranges to its right that the store does not hold yet.
        Without them its value would no longer speak for their tasks, and nothing else would."""
        collected = {write.first_task for write in self._batch.ranges if write.job == job.id}
        if first_task in collected:
            return
        writes = self._range_writes(job, first_task, collected)
        for write in reversed(writes):
            range_id = TaskRangeId(job.id, write.first_task)
            is_refused = self._data.oversized_writes.get(range_id) == write.version
            if is_refused and write.first_task == first_task:
                return
            if is_refused or self._batch.size >= max_operations:
                # All of it that is still pending is collected again the next time.
                self._queue.requeue_range(job, first_task)
                return
            self._queue.remove(range_id)
            self._batch.ranges.append(write)

    def _range_writes(self, job: Job, first_task: int, collected: set[int]) -> list[TaskRangeWrite]:
        """The task range and the overflow ranges to its right that are not stored, from left to right, none
        so large that it can be split."""
        writes: list[TaskRangeWrite] = []
        while True:
            write = _encode_range_write(job, first_task)
            if self._split_if_too_large(job, write):
                continue
            writes.append(write)
            first_task = job.ranges.end(first_task)
            if (
                not job.ranges.is_overflow(first_task)
                or first_task in collected
                or self._stored_revisions.get(job.ranges.key(job.id, first_task), 0) > 0
            ):
                return writes

    def _split_if_too_large(self, job: Job, write: TaskRangeWrite) -> bool:
        """Whether it was split. The ranges fit in their longest form, so they need not be split again."""
        limit = self._limits.max_value_bytes
        if limit is None or write.value is None or len(write.value) <= limit:
            return False
        first_tasks = job.split_range(write.first_task, tasks_per_range(limit))
        if len(first_tasks) == 1:
            return False
        for first_task in first_tasks:
            self._changes.mark_task_changed(job, first_task)
            self._queue.requeue_range(job, first_task)
        log.info(
            "task range split job=%s first_task=%d ranges=%d max_value_bytes=%d",
            job.id,
            write.first_task,
            len(first_tasks),
            limit,
        )
        return True


def _encode_range_write(job: Job, first_task: int) -> TaskRangeWrite:
    is_overflow = job.ranges.is_overflow(first_task)
    record = job.encode_range(first_task)
    if record is None and is_overflow:
        # Without the overflow range the stale entries of its left neighbour would count again.
        record = TaskRangeRecord()
    # An overflow range of a cancelled job that is written late must find its base range as it was. Else it
    # would stay for good: no revision of the job's record is a condition any more.
    required_key = (
        range_key(job.id, first_task // job.range_size) if is_overflow and not job.is_open else None
    )
    return TaskRangeWrite(
        job.id,
        job.mod_revision if job.is_open else None,
        first_task,
        job.versions.get(first_task, 0),
        job.ranges.key(job.id, first_task),
        None if record is None else encode_value(record),
        required_key,
    )
