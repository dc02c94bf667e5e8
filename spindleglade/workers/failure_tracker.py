"""Whose fault failed tasks are: machines are quarantined, jobs paused."""

import logging
from datetime import timedelta

from spindleglade.workers.cluster_data import ClusterData
from spindleglade.workers.jobs import Job
from spindleglade.workers.machines import Machine

log = logging.getLogger("spindleglade.workers")


class FailureTracker:
    """Tells faulty machines from faulty jobs. Called with the lock held."""

    def __init__(self, data: ClusterData) -> None:
        self._data = data

    def on_task_failed(self, machine: Machine, job: Job, now: timedelta) -> None:
        """One failure does not tell whose fault it is. Several jobs failing on a machine quarantine it; a job
        failing on several machines is paused, and speaks against none of them: a machine that its errors
        had quarantined is used again."""
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
        """Takes the job's failures off the records of all machines."""
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
        """Places nothing of the job for a while, each time longer."""
        # Its old failures say little by then, and every machine must stay open to it.
        job.avoided_machines.clear()
        if job.paused_until > now:
            # Another of the tasks that were started together. If each lengthened the pause, it would be the
            # longest at once.
            return
        policy = self._data.policy
        job.backoff = min(max(job.backoff * 2, policy.backoff), policy.max_backoff)
        job.paused_until = now + job.backoff
        log.info("job paused job=%s duration_s=%.0f", job.id, job.backoff.total_seconds())
