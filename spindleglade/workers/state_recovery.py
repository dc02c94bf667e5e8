"""Recovery of the cluster state from the task ranges that a former leader stored."""

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

# By so many attempts a task that a job was probed with is ahead of all others of the job.
PROBE_ATTEMPT_LEAD = 2


def _was_probing(job: Job) -> bool:
    """Whether the attempts on record show that a former leader tried one task of the job at a time, because
    it failed everywhere: the first task, which is the one tried, has had several attempts more than each
    other one, no other is placed, and none is done. What was lost with machines or leases does not look so,
    since all that ran have then lost about as many; tasks that save may, being stopped and started again with
    nothing wrong."""
    spec = job.spec
    probe_attempts = job.attempts.get(0, 0)
    if probe_attempts <= PROBE_ATTEMPT_LEAD or job.done or spec.is_gang or spec.checkpoint_s > 0:
        return False
    if any(index != 0 for index in job.placed):
        return False
    max_other_attempts = max((tried for index, tried in job.attempts.items() if index != 0), default=0)
    return 0 < max_other_attempts <= probe_attempts - PROBE_ATTEMPT_LEAD


class StateRecovery:
    """Loads stored task ranges; only for the first reading. Called with the lock held."""

    def __init__(self, data: ClusterData, changes: StateChanges) -> None:
        self._data = data
        self._changes = changes

    def add_overflow_range(self, job_id: str, first_task: int) -> None:
        """The store holds an overflow range; all are to be added before any value is loaded."""
        job = self._data.jobs.get(job_id)
        if job is not None:
            job.ranges.add(first_task)

    def load_range(self, job_id: str, number: int, record: TaskRangeRecord, now: timedelta) -> None:
        """Loads a task range by its number."""
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
            # The job is done; what is left of its values is to be removed.
            self._data.pending_writes[TaskRangeId(job_id, 0)] = None
        elif first_task < len(job.task_states):
            # Beyond its end a value is stale: an overflow range speaks for those tasks.
            self._load_tasks(job, record.restricted_to(first_task, job.ranges.end(first_task)), now)

    def _load_tasks(self, job: Job, record: TaskRangeRecord, now: timedelta) -> None:
        for first, last in record.done:
            for index in range(first, last + 1):
                job.task_states[index] = DONE
                job.done += 1
        if record.done or record.placed:
            # The time of its latest start is not on record.
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
            # Without any heartbeat yet. It counts as if one had come now, so that it gets a full lease to
            # send the first.
            machine = Machine(
                stored.machine, "", "", "", True, last_heartbeat_at=now, last_own_heartbeat_at=now
            )
            self._data.machines[stored.machine] = machine
        machine.placed[(job.id, index)] = attempt
        self._changes.mark_machine_changed(machine)

    def finish_loading(self) -> None:
        """All that is stored has been loaded: queues what a former leader left undone."""
        for job in list(self._data.jobs.values()):
            if job.is_complete and job.is_open:
                self._data.pending_writes[TaskRangeId(job.id, 0)] = None
            if _was_probing(job):
                job.backoff = self._data.policy.backoff
                log.info("job still probing with one task job=%s", job.id)
            self._changes.queue_removal(job)
