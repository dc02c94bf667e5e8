"""Attributes task failures to machines, which are quarantined, or to jobs, which are paused."""

import logging
from datetime import timedelta

from spindleglade.workers.cluster_data import ClusterData
from spindleglade.workers.jobs import Job
from spindleglade.workers.machines import Machine

log = logging.getLogger("spindleglade.workers")


class FailureTracker:
    """Distinguishes faulty machines from faulty jobs. Called with the lock held."""

    def __init__(self, data: ClusterData) -> None:
        self._data = data

    def on_task_failed(self, machine: Machine, job: Job, now: timedelta) -> None:
        """Records the failure of a task, and quarantines the machine or pauses the job if the cause is clear.

        A single failure does not show the cause. If several jobs fail on a machine, the machine is
        quarantined. If a job fails on several machines, it is paused, and its failures no longer count
        against any machine, so that a machine quarantined because of them is used again.
        """
        job.failed_on.add(machine.name)
        job.avoided_machines.add(machine.name)
        if len(job.failed_on) > 1:
            self.pause_job(job, now)
            self._clear_failures_of(job)
            return
        machine.failed_jobs.add(job.id)
        if self._has_too_many_failures(machine) and not machine.quarantined:
            machine.quarantined = True
            log.info("machine quarantined machine=%s jobs=%s", machine.name, sorted(machine.failed_jobs))

    def _clear_failures_of(self, job: Job) -> None:
        """Removes the job from the failed jobs of all machines."""
        for name in job.failed_on:
            machine = self._data.machines.get(name)
            if machine is None or job.id not in machine.failed_jobs:
                continue
            machine.failed_jobs.discard(job.id)
            if machine.quarantined and not self._has_too_many_failures(machine):
                machine.quarantined = False
                log.info("machine no longer quarantined machine=%s job=%s", name, job.id)

    def _has_too_many_failures(self, machine: Machine) -> bool:
        return len(machine.failed_jobs) >= self._data.policy.quarantine_after_failed_jobs

    def pause_job(self, job: Job, now: timedelta) -> None:
        """Pauses the placement of the job's tasks. Each pause is twice as long as the one before, up to a
        limit."""
        # After the pause the failures say little about those machines, and the job may need any of them.
        job.avoided_machines.clear()
        if job.paused_until > now:
            # Tasks that were started together fail together. If each of them extended the pause, it would
            # reach the limit at once.
            return
        policy = self._data.policy
        job.backoff = min(max(job.backoff * 2, policy.backoff), policy.max_backoff)
        job.paused_until = now + job.backoff
        log.info("job paused job=%s duration_s=%.0f", job.id, job.backoff.total_seconds())
