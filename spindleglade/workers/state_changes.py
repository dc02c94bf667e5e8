"""Elementary changes of the cluster state that several of its parts make, with the lock held."""

import logging
from datetime import timedelta

from spindleglade.workers.attempts import Attempt, EndReason
from spindleglade.workers.cluster_data import ClusterData
from spindleglade.workers.jobs import PLACED, WAITING, Job
from spindleglade.workers.machines import Machine
from spindleglade.workers.write_batch import TaskRangeId

log = logging.getLogger("spindleglade.workers")


class StateChanges:
    """Changes to machines, attempts and jobs that leave no follow-up undone: what they make necessary to
    write, to send or to plan anew is queued."""

    def __init__(self, data: ClusterData) -> None:
        self._data = data

    def mark_machine_changed(self, machine: Machine) -> None:
        """Something that planning sees on the machine has changed."""
        machine.planning_view = machine.reconciled_tasks = None
        self._data.change_count += 1

    def mark_task_changed(self, job: Job, index: int) -> None:
        """The task range of the task is to be written."""
        first_task = job.ranges.start(index)
        job.versions[first_task] = job.versions.get(first_task, 0) + 1
        self._data.pending_writes[TaskRangeId(job.id, first_task)] = None
        self._data.change_count += 1

    def stop_attempt(self, attempt: Attempt, reason: str, grace_period_s: float) -> None:
        """The attempt is to be stopped by a command."""
        attempt.stop_reason, attempt.grace_period_s = reason, grace_period_s
        machine = self._data.machines.get(attempt.machine)
        if machine is not None:
            self.mark_machine_changed(machine)
            self._data.dispatch_queue[machine.name] = None

    def end_attempt(self, attempt: Attempt, reason: EndReason | None) -> None:
        """The attempt is proven off its machine (or was never sent there). Without a reason nothing is
        logged."""
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
        """Starts that wait for their record were never sent, and now never will be."""
        for attempt in list(job.placed.values()):
            if not attempt.is_confirmed and not attempt.is_recorded:
                self.end_attempt(attempt, reason)

    def queue_removal(self, job: Job) -> None:
        """The task ranges of a job that is over and on no machine are to be removed from the store."""
        if not job.is_open and not job.placed:
            self._data.pending_writes[TaskRangeId(job.id, 0)] = None

    def finish_job(self, job: Job) -> None:
        """The record says that the job is done."""
        # A record older than this one, observed late, may have opened the job again; what was placed then
        # would hold its capacity for good.
        self.end_unsent_attempts(job, EndReason.JOB_DONE)
        job.finished = True
        job.mark_all_committed()
        self._data.pending_writes[TaskRangeId(job.id, 0)] = None
        log.info("job done job=%s", job.id)

    def mark_unreachable(self, machine: Machine, now: timedelta, reason: str) -> None:
        """Heartbeats of a machine do not show that commands reach it. Nothing more is placed there until
        something shows that they do; its tasks are moved only on proof that they are over."""
        if machine.unreachable_since is None:
            log.info("machine unreachable machine=%s reason=%s", machine.name, reason)
            machine.unreachable_since = now
            self._data.change_count += 1
