"""Basic changes of the cluster state that several components make, with the lock held."""

import logging
from datetime import timedelta

from spindleglade.workers.attempts import Attempt, EndReason
from spindleglade.workers.cluster_data import ClusterData
from spindleglade.workers.jobs import PLACED, WAITING, Job
from spindleglade.workers.machines import Machine
from spindleglade.workers.write_batch import TaskRangeId

log = logging.getLogger("spindleglade.workers")


class StateChanges:
    """Changes to machines, attempts and jobs. Each change also queues the writes, commands and planning that
    it makes necessary."""

    def __init__(self, data: ClusterData) -> None:
        self._data = data

    def mark_machine_changed(self, machine: Machine) -> None:
        """Records a change of the machine that planning has to take into account."""
        machine.planning_view = machine.reconciled_tasks = None
        self._data.change_count += 1

    def mark_task_changed(self, job: Job, index: int) -> None:
        """Queues the write of the task range that contains a task."""
        first_task = job.ranges.start(index)
        job.versions[first_task] = job.versions.get(first_task, 0) + 1
        self._data.pending_writes[TaskRangeId(job.id, first_task)] = None
        self._data.change_count += 1

    def stop_attempt(self, attempt: Attempt, reason: str, grace_period_s: float) -> None:
        """Marks an attempt to be stopped by a command, with `grace_period_s` seconds to save its work."""
        attempt.stop_reason, attempt.grace_period_s = reason, grace_period_s
        machine = self._data.machines.get(attempt.machine)
        if machine is not None:
            self.mark_machine_changed(machine)
            self._data.dispatch_queue[machine.name] = None

    def end_attempt(self, attempt: Attempt, reason: EndReason | None) -> None:
        """Ends an attempt that is proven to be off its machine or was never sent there. Without a reason, the
        end is not logged."""
        if attempt.has_ended:
            return
        attempt.has_ended = True
        job = attempt.job
        job.placed.pop(attempt.index, None)
        machine = self._data.machines.get(attempt.machine)
        if machine is not None:
            machine.placed.pop((job.id, attempt.index), None)
            self.mark_machine_changed(machine)
        if job.task_states[attempt.index] == PLACED:
            job.task_states[attempt.index] = WAITING
        if reason is not None:
            log.info(
                "attempt ended task=%s attempt=%d machine=%s reason=%s",
                attempt.task,
                attempt.attempt,
                attempt.machine,
                reason,
            )
        self.mark_task_changed(job, attempt.index)

    def end_unsent_attempts(self, job: Job, reason: EndReason) -> None:
        """Ends the job's attempts with a placement that is not recorded yet. Their starts have not been sent
        and now will not be sent."""
        for attempt in list(job.placed.values()):
            if not attempt.is_confirmed and not attempt.is_recorded:
                self.end_attempt(attempt, reason)

    def queue_removal(self, job: Job) -> None:
        """Queues the removal of the stored task ranges of a job that is done or cancelled, if none of its
        tasks is placed."""
        if not job.is_open and not job.placed:
            self._data.pending_writes[TaskRangeId(job.id, 0)] = None

    def finish_job(self, job: Job) -> None:
        """Applies a record that says that the job is done."""
        # An older record, observed late, may have reopened the job. Attempts placed since then would occupy
        # their capacity for good.
        self.end_unsent_attempts(job, EndReason.JOB_DONE)
        job.finished = True
        job.mark_all_committed()
        self._data.pending_writes[TaskRangeId(job.id, 0)] = None
        log.info("job done job=%s", job.id)

    def mark_unreachable(self, machine: Machine, now: timedelta, reason: str) -> None:
        """Marks a machine as unreachable because its heartbeats do not show that commands reach it. No task
        is placed there until there is evidence that commands reach the machine. Its tasks are moved only on
        proof that they have ended."""
        if machine.unreachable_since is None:
            log.info("machine unreachable machine=%s reason=%s", machine.name, reason)
            machine.unreachable_since = now
            self._data.change_count += 1
