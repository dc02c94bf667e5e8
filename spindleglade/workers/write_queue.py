"""The queue of pending writes to the state service, and the outcomes of writes that were sent."""

from spindleglade.workers.cluster_data import ClusterData
from spindleglade.workers.jobs import Job
from spindleglade.workers.write_batch import TaskRangeId, WriteBatch

# Stands for the final record of a done job in a `TaskRangeId`, in place of a first task.
DONE_RECORD = -1


class WriteQueue:
    """Takes task ranges out of the pending writes and puts them back. Called with the lock held."""

    def __init__(self, data: ClusterData) -> None:
        self._data = data

    def remove(self, range_id: TaskRangeId) -> None:
        """Takes a task range that is about to be written out of the queue."""
        self._data.pending_writes.pop(range_id, None)
        self._data.pending_start_writes.pop(range_id, None)

    def requeue_range(self, job: Job, first_task: int) -> None:
        """Puts a task range back into the queue, with priority if it contains a start that must be recorded
        before it is sent."""
        range_id = TaskRangeId(job.id, first_task)
        self._data.pending_writes[range_id] = None
        end = job.ranges.end(first_task)
        if any(
            first_task <= index < end and not attempt.is_recorded for index, attempt in job.placed.items()
        ):
            self._data.pending_start_writes[range_id] = None

    def requeue(self, batch: WriteBatch) -> None:
        """Puts back all writes of a batch that was not committed."""
        for write in batch.ranges:
            job = self._data.jobs.get(write.job)
            if job is None:
                self._data.pending_writes[TaskRangeId(write.job, write.first_task)] = None
            else:
                self.requeue_range(job, write.first_task)
        for job_id in [
            *(job_id for job_id, _, _ in batch.done_jobs),
            *batch.forgettable_jobs,
            *(job_id for job_id, _ in batch.removals),
        ]:
            self._data.pending_writes[TaskRangeId(job_id, 0)] = None

    def suspend(self, batch: WriteBatch) -> None:
        """Suspends the single write of a batch, which the store rejected as too large or which raised an
        error, until the write changes."""
        for write in batch.ranges:
            self._data.suspended_writes[TaskRangeId(write.job, write.first_task)] = write.version
        for job_id, mod_revision, _ in batch.done_jobs:
            self._data.suspended_writes[TaskRangeId(job_id, DONE_RECORD)] = mod_revision

    def on_range_committed(self, job_id: str, first_task: int, version: int) -> None:
        """Records that the store holds this version of a task range, so that the starts in it may be sent."""
        job = self._data.jobs.get(job_id)
        if job is None:
            return
        job.committed_versions[first_task] = max(job.committed_versions.get(first_task, 0), version)
        end = job.ranges.end(first_task)
        for index, attempt in job.placed.items():
            if first_task <= index < end and not attempt.is_confirmed:
                self._data.dispatch_queue[attempt.machine] = None
