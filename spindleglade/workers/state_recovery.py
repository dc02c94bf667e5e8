"""Recovers the cluster state from the task ranges that a former leader stored."""

import logging
from datetime import timedelta

from spindleglade.submissions.records import StoredAttempt, TaskRangeRecord
from spindleglade.workers.attempts import Attempt, StopReason
from spindleglade.workers.cluster_data import ClusterData
from spindleglade.workers.jobs import DONE, PLACED, Job
from spindleglade.workers.machines import Machine
from spindleglade.workers.state_changes import StateChanges
from spindleglade.workers.write_batch import TaskRangeId

log = logging.getLogger("spindleglade.workers")

# The task that a job is probed with has at least this many attempts more than any other task of the job.
PROBE_ATTEMPT_LEAD = 2


def _was_probing(job: Job) -> bool:
    """Whether the recorded attempts show that a former leader was probing the job with its first task alone,
    because the job had failed on every machine.

    The first task then has several attempts more than any other task, no other task is placed, and none is
    done. Attempts lost with machines or leases do not look like this, since all tasks that ran have lost
    about the same number. Tasks that save their work can look like this, since they are stopped and started
    again without any failure, so their jobs are excluded.
    """
    spec = job.spec
    probe_attempts = job.attempts.get(0, 0)
    if probe_attempts <= PROBE_ATTEMPT_LEAD or job.done_count or spec.is_gang or spec.checkpoint_s > 0:
        return False
    if any(index != 0 for index in job.placed):
        return False
    max_other_attempts = max((attempt for index, attempt in job.attempts.items() if index != 0), default=0)
    return 0 < max_other_attempts <= probe_attempts - PROBE_ATTEMPT_LEAD


class StateRecovery:
    """Loads the stored task ranges when a new leader first reads the store. Called with the lock held."""

    def __init__(self, data: ClusterData, changes: StateChanges) -> None:
        self._data = data
        self._changes = changes

    def add_overflow_range(self, job_id: str, first_task: int) -> None:
        """Adds a stored overflow range to its job. All of them must be added before any value is loaded."""
        job = self._data.jobs.get(job_id)
        if job is not None:
            job.ranges.add(first_task)

    def load_range(self, job_id: str, number: int, record: TaskRangeRecord, now: timedelta) -> None:
        """Loads a task range by its number within the job."""
        job = self._data.jobs.get(job_id)
        self._load(job_id, 0 if job is None else number * job.range_size, record, now)

    def load_overflow_range(
        self, job_id: str, first_task: int, record: TaskRangeRecord, now: timedelta
    ) -> None:
        """Loads an overflow range by its first task."""
        self._load(job_id, first_task, record, now)

    def _load(self, job_id: str, first_task: int, record: TaskRangeRecord, now: timedelta) -> None:
        job = self._data.jobs.get(job_id)
        if job is None:
            # The job is done; its remaining values are to be removed from the store.
            self._data.pending_writes[TaskRangeId(job_id, 0)] = None
        elif first_task < len(job.task_states):
            # Entries beyond the end of the range are stale: an overflow range covers those tasks.
            self._load_tasks(job, record.restricted_to(first_task, job.ranges.end(first_task)), now)

    def _load_tasks(self, job: Job, record: TaskRangeRecord, now: timedelta) -> None:
        for first, last in record.done:
            for index in range(first, last + 1):
                job.task_states[index] = DONE
                job.done_count += 1
        if record.done or record.placed:
            # The time of the job's latest start is not recorded.
            job.waiting_since = now
        job.attempts.update(record.tried)
        for index, stored in record.placed.items():
            self._load_attempt(job, index, stored, now)

    def _load_attempt(self, job: Job, index: int, stored: StoredAttempt, now: timedelta) -> None:
        attempt = Attempt(
            job,
            index,
            stored.attempt,
            stored.machine,
            stored.incarnation,
            0,
            now,
            stop_reason=StopReason.CANCELLED if job.cancelled else None,
            is_recovered=True,
        )
        job.attempts[index] = stored.attempt
        job.task_states[index] = PLACED
        job.placed[index] = attempt
        machine = self._data.machines.get(stored.machine)
        if machine is None:
            # The machine has sent no heartbeat to this leader yet. It is treated as if one had come now, so
            # that it has a full lease to send its first.
            machine = Machine(
                stored.machine, "", "", "", True, last_heartbeat_at=now, last_own_heartbeat_at=now
            )
            self._data.machines[stored.machine] = machine
        machine.placed[(job.id, index)] = attempt
        self._changes.mark_machine_changed(machine)

    def finish_loading(self) -> None:
        """Queues the writes that a former leader left undone, and continues to probe the jobs that it was
        probing. Called once all stored task ranges are loaded."""
        for job in list(self._data.jobs.values()):
            if job.is_complete and job.is_open:
                self._data.pending_writes[TaskRangeId(job.id, 0)] = None
            if _was_probing(job):
                job.backoff = self._data.policy.backoff
                log.info("job still probing with one task job=%s", job.id)
            self._changes.queue_removal(job)
