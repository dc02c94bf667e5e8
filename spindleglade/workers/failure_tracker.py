"""Attributes task failures to machines, which are quarantined, or to jobs, which are paused."""

import logging
from datetime import timedelta

from spindleglade.workers.cluster_data import ClusterData
from spindleglade.workers.jobs import Job
from spindleglade.workers.machines import Machine

log = logging.getLogger("spindleglade.workers")


# The number of jobs whose failures quarantine a machine that is on probation.
FAILED_JOBS_ON_PROBATION = 1


class FailureTracker:
    """Distinguishes faulty machines from faulty jobs. Called with the lock held.

    The failures of a job count against the machine until the job fails on a second machine, which shows that
    the job is at fault. They are withdrawn if the job is cancelled or another task of it is done on the
    machine, which does not show that the machine is sound. The machine is then on probation until a task is
    done there: the failure of a single job quarantines it. Otherwise a faulty machine would fail job after
    job, since users cancel jobs that fail.
    """

    def __init__(self, data: ClusterData) -> None:
        self._data = data

    def on_task_failed(self, machine: Machine, job: Job, now: timedelta) -> None:
        """Records the failure of a task, and quarantines the machine or pauses the job if the cause is clear.

        A single failure does not show the cause. If several jobs fail on a machine, the machine is
        quarantined. If a job fails on several machines, it is paused, and its failures no longer count
        against any machine, so that a machine quarantined because of them is used again.
        """
        if job.cancelled:
            # The cancellation would have withdrawn the failure.
            return
        job.failed_on.add(machine.name)
        # For a limited time, since no other machine may be eligible for the job.
        job.avoided_until[machine.name] = now + self._data.policy.max_backoff
        if len(job.failed_on) > 1:
            self.pause_job(job, now)
            self._clear_failures_of(job)
            return
        machine.failed_jobs.add(job.id)
        self._update_quarantine(machine, job)

    def on_task_done(self, machine: Machine, job: Job) -> None:
        """Withdraws an earlier failure of the job on the machine, and ends the machine's probation."""
        self._withdraw_failure(machine, job)
        if not machine.quarantined:
            machine.on_probation = False

    def on_job_cancelled(self, job: Job) -> None:
        """Withdraws the failures of the job."""
        for machine in self._machines_with_failures_of(job):
            self._withdraw_failure(machine, job)

    def _machines_with_failures_of(self, job: Job) -> list[Machine]:
        """The machines that a failure of the job counts against."""
        known = [self._data.machines[name] for name in job.failed_on if name in self._data.machines]
        return [machine for machine in known if job.id in machine.failed_jobs]

    def _clear_failures_of(self, job: Job) -> None:
        """Removes the job, which is at fault, from the failed jobs of all machines."""
        for machine in self._machines_with_failures_of(job):
            machine.failed_jobs.discard(job.id)
            self._update_quarantine(machine, job)

    def _withdraw_failure(self, machine: Machine, job: Job) -> None:
        """Removes the job from the failed jobs of the machine without a proof that the machine is sound."""
        if job.id not in machine.failed_jobs:
            return
        machine.failed_jobs.discard(job.id)
        machine.on_probation = True
        self._update_quarantine(machine, job)

    def _update_quarantine(self, machine: Machine, job: Job) -> None:
        """Begins or ends the machine's quarantine after a failure of the job was recorded or removed."""
        policy = self._data.policy
        limit = FAILED_JOBS_ON_PROBATION if machine.on_probation else policy.quarantine_after_failed_jobs
        is_quarantined = len(machine.failed_jobs) >= limit
        if is_quarantined == machine.quarantined:
            return
        machine.quarantined = is_quarantined
        if is_quarantined:
            log.info("machine quarantined machine=%s jobs=%s", machine.name, sorted(machine.failed_jobs))
        else:
            log.info("machine no longer quarantined machine=%s job=%s", machine.name, job.id)

    def pause_job(self, job: Job, now: timedelta) -> None:
        """Pauses the placement of the job's tasks. Each pause is twice as long as the one before, up to a
        limit."""
        # After the pause the failures say little about those machines, and the job may need any of them.
        job.avoided_until.clear()
        if job.paused_until > now:
            # Tasks that were started together fail together. If each of them extended the pause, it would
            # reach the limit at once.
            return
        policy = self._data.policy
        job.backoff = min(max(job.backoff * 2, policy.backoff), policy.max_backoff)
        job.paused_until = now + job.backoff
        log.info("job paused job=%s duration_s=%.0f", job.id, job.backoff.total_seconds())
