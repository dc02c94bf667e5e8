"""Selects the pending writes for one transaction of the state service."""

import logging
from typing import NamedTuple

from spindleglade.store.messages import encode_value
from spindleglade.submissions.records import (
    OVERFLOW_RANGE_KEY_PREFIX,
    TASK_RANGE_KEY_PREFIX,
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
    """Upper bounds on the contents of one transaction."""

    max_operations: int
    # Limits the writes that neither a start nor a user waits for. None: only `max_operations` limits them.
    max_background_operations: int | None = None
    # Larger task ranges are split and larger job records shortened. None: values may have any size.
    max_value_bytes: int | None = None


class WriteCollection:
    """Fills one batch from the pending writes. Used once, with the lock of the cluster state held."""

    def __init__(
        self,
        data: ClusterData,
        changes: StateChanges,
        queue: WriteQueue,
        stored_revisions: dict[str, int],
        limits: TransactionLimits,
    ) -> None:
        """`stored_revisions` maps the task range keys in the store to their modification revisions. The
        revision is 0 for a key that may exist because the outcome of its write is unknown."""
        self._data = data
        self._changes = changes
        self._queue = queue
        self._stored_revisions = stored_revisions
        self._limits = limits
        self._batch = WriteBatch()

    def collect(self) -> WriteBatch:
        """Collects pending writes by priority: first the done jobs that other jobs depend on, then the task
        ranges with starts that must be recorded before they are sent, then the remaining done jobs, since
        their users wait for them, and last the background writes, which nobody waits for."""
        max_operations = self._limits.max_operations
        self._collect_done_jobs_with_dependents(max_operations)
        self._collect_pending_starts(max_operations)
        if self._batch.size < max_operations:
            background = self._collect_remaining_done_jobs(max_operations)
            self._collect_background(background)
        # A job that still has pending writes has more task ranges to remove, so it is not forgotten yet.
        for job_id, _ in self._data.pending_writes:
            self._batch.forgettable_jobs.pop(job_id, None)
        return self._batch

    def _collect_done_jobs_with_dependents(self, max_operations: int) -> None:
        for range_id in list(self._data.pending_writes):
            job = self._data.jobs.get(range_id.job)
            if (
                self._batch.size < max_operations
                and job is not None
                and job.has_dependents
                and job.is_open
                and job.is_complete
            ):
                self._collect_write(range_id, max_operations)

    def _collect_pending_starts(self, max_operations: int) -> None:
        for range_id in list(self._data.pending_start_writes):
            if self._batch.size >= max_operations:
                break
            self._collect_write(range_id, max_operations)

    def _collect_remaining_done_jobs(self, max_operations: int) -> list[TaskRangeId]:
        """Collects the done jobs that are still pending. Returns all other pending writes."""
        background: list[TaskRangeId] = []
        for range_id in list(self._data.pending_writes):
            job = self._data.jobs.get(range_id.job)
            if job is None or not job.is_open or not job.is_complete:
                background.append(range_id)
            elif self._batch.size < max_operations:
                self._collect_write(range_id, max_operations)
        return background

    def _collect_background(self, range_ids: list[TaskRangeId]) -> None:
        max_operations = self._limits.max_operations
        if self._limits.max_background_operations is not None:
            max_operations = min(max_operations, self._batch.size + self._limits.max_background_operations)
        for range_id in range_ids:
            if self._batch.size >= max_operations:
                break
            self._collect_write(range_id, max_operations)

    def _collect_write(self, range_id: TaskRangeId, max_operations: int) -> None:
        """Moves a pending write into the batch. Operations beyond the limit stay pending."""
        self._queue.remove(range_id)
        job = self._data.jobs.get(range_id.job)
        if job is not None and job.is_open and job.is_complete:
            self._collect_done_job(job)
        elif job is None or (not job.is_open and not job.placed):
            self._collect_removals(range_id, max_operations)
        else:
            self._collect_task_range(job, range_id.first_task, max_operations)

    def _collect_done_job(self, job: Job) -> None:
        """Adds the final record of a job with all tasks done, unless the batch already contains it or the
        store has rejected it as too large."""
        rejected_revision = self._data.suspended_writes.get(TaskRangeId(job.id, DONE_RECORD))
        if rejected_revision == job.mod_revision or any(
            job_id == job.id for job_id, _, _ in self._batch.done_jobs
        ):
            return
        record = JobRecord(JobState.OPEN, job.spec, job.range_size, job.accepted_at)
        record = final_record(record, JobState.DONE, self._limits.max_value_bytes)
        self._batch.done_jobs.append(CompletedJobWrite(job.id, job.mod_revision, record))

    def _collect_removals(self, range_id: TaskRangeId, max_operations: int) -> None:
        """Adds the removals of the task ranges of a job that is done or cancelled. If some do not fit, the
        removal stays pending."""
        job_id = range_id.job
        if job_id in self._batch.forgettable_jobs:
            # Another pending write of the job has already added them.
            return
        for key in self._stored_keys(job_id):
            if self._batch.size < max_operations:
                self._batch.removals.append(TaskRangeRemoval(job_id, key))
            else:
                self._data.pending_writes[range_id] = None
        self._batch.forgettable_jobs[job_id] = None

    def _stored_keys(self, job_id: str) -> list[str]:
        """The stored task range keys of a job that is done or cancelled, in the order in which they may be
        removed."""
        job = self._data.jobs.get(job_id)
        if job is not None:
            return [key for key in job.ranges.keys(job_id) if key in self._stored_revisions]
        return [
            key
            for prefix in (TASK_RANGE_KEY_PREFIX, OVERFLOW_RANGE_KEY_PREFIX)
            for key in sorted(self._stored_revisions)
            if key.startswith(f"{prefix}{job_id}/")
        ]

    def _collect_task_range(self, job: Job, first_task: int, max_operations: int) -> None:
        """Adds a task range, preceded by the overflow ranges directly after it that the store does not hold
        yet. The new value of the task range no longer covers the tasks of these overflow ranges, so it must
        not be stored without them."""
        collected = {write.first_task for write in self._batch.ranges if write.job == job.id}
        if first_task in collected:
            return
        writes = self._range_writes(job, first_task, collected)
        for write in reversed(writes):
            range_id = TaskRangeId(job.id, write.first_task)
            is_rejected = self._data.suspended_writes.get(range_id) == write.version
            if is_rejected and write.first_task == first_task:
                return
            if is_rejected or self._batch.size >= max_operations:
                # The task range stays pending; the next batch collects it with the missing overflow ranges.
                self._queue.requeue_range(job, first_task)
                return
            self._queue.remove(range_id)
            self._batch.ranges.append(write)

    def _range_writes(self, job: Job, first_task: int, collected: set[int]) -> list[TaskRangeWrite]:
        """The writes of a task range and of the overflow ranges directly after it that are not stored yet, in
        the order of their tasks. Ranges above the size limit are split first, as far as possible."""
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
        """Splits the task range if its value exceeds the size limit, and returns whether it did. The parts
        fit even in their longest form, so they are never split again under the same limit."""
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
        # An empty overflow range is stored as well: without it, the stale entries of the range before it
        # would count again.
        record = TaskRangeRecord()
    # The record of a cancelled job is no longer a condition. An overflow range of such a job requires its
    # base range to be unchanged instead: otherwise a late write could store it after the base range was
    # removed, and nothing would remove it again.
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
