"""The rules of chained jobs, checked by where tasks ran in the deployment and what users were told."""

from datetime import timedelta

from spindleglade.runtime.clock import ManualClock
from tests.deployment_config import CANCEL
from tests.fakes.state_service import StateService
from tests.production import JOBS
from tests.simulation.executions import TaskExecutions
from tests.simulation.job_records import JobRecords

OVER = ("done", "aborted")
# Jobs that one message names.
MAX_NAMED = 5


class DependencyInvariants:
    """Follows the dependencies between a deployment's jobs; what breaks a rule goes to `violations`.

    - `too_early`: a task starts before all jobs that its job needs, directly or through others, are done, or
      before the store says that they are: reports alone release nothing.
    - `orphaned`: a job is called pending or running more than `cancel_s` after a user was told that a job
      before it is aborted, or has a task at all then: it may not have started.
    - `contradiction`: a job is called done though one before it is called aborted.
    """

    def __init__(
        self,
        clock: ManualClock,
        jobs: JobRecords,
        executions: TaskExecutions,
        state: StateService,
        violations: list[str],
    ) -> None:
        self._clock, self._jobs, self._executions = clock, jobs, executions
        self._state, self._violations = state, violations
        self._ancestors: dict[str, frozenset[str]] = {}
        # When a user was first told that the job is aborted.
        self.observed_cancelled_at: dict[str, timedelta] = {}

    def ancestors(self, job: str) -> frozenset[str]:
        """All jobs that it needs, directly or through others. They are fixed when it is submitted."""
        if job not in self._ancestors:
            found: set[str] = set()
            open_jobs = list(self._jobs.descriptions[job].get("awaits") or ())
            while open_jobs:
                ancestor = open_jobs.pop()
                if ancestor in found:
                    continue
                found.add(ancestor)
                open_jobs += (
                    self._ancestors.get(ancestor) or self._jobs.descriptions[ancestor].get("awaits") or ()
                )
            self._ancestors[job] = frozenset(found)
        return self._ancestors[job]

    def released(self, job: str) -> bool:
        """Whether all that it needs is done, by what ran."""
        return all(map(self._executions.is_complete, self.ancestors(job)))

    def cancelled(self, job: str) -> bool:
        """Whether a user has asked to cancel it or a job before it."""
        requested = self._jobs.cancel_requested
        return job in requested or not requested.isdisjoint(self.ancestors(job))

    def cancelled_ancestors(self, job: str) -> list[str]:
        """The jobs before it that a user was told are aborted."""
        return sorted(self.ancestors(job) & self.observed_cancelled_at.keys())

    def check_start(self, job: str, task: str) -> None:
        missing = [one for one in sorted(self.ancestors(job)) if not self._executions.is_complete(one)]
        if missing:
            self._violated(f"too_early {task} started while {_some(missing)} are not done")
        unrecorded = [one for one in sorted(self.ancestors(job)) if not self._is_recorded_done(one)]
        if unrecorded:
            self._violated(f"too_early {task} started while no record says that {_some(unrecorded)} are done")
        if self.cancelled_ancestors(job):
            self._violated(f"orphaned {task} started though {self.cancelled_ancestors(job)} are aborted")

    def observe_state(self, job: str, stage: str) -> None:
        """A user got this answer now."""
        now = self._clock.now()
        if stage == "aborted":
            self.observed_cancelled_at.setdefault(job, now)
        aborted = self.cancelled_ancestors(job)
        if stage == "done" and aborted:
            self._violated(f"contradiction {job} is called done though {aborted} are aborted")
        since = min((self.observed_cancelled_at[one] for one in aborted), default=now)
        if stage not in OVER and now - since > CANCEL:
            self._violated(
                f"orphaned {job} is called {stage} though one of {aborted} is aborted since {since}"
            )

    def check(self) -> None:
        """At any moment: no task runs whose job comes after an aborted one."""
        running = {
            task.rpartition("/")[0] for task, machines in self._executions.running_on.items() if machines
        }
        for job in sorted(running):
            if self.cancelled_ancestors(job):
                self._violated(f"orphaned {job} has tasks though {self.cancelled_ancestors(job)} are aborted")

    def _is_recorded_done(self, job: str) -> bool:
        record = self._state.keys.get(JOBS + job)
        return record is not None and record[0]["stage"] == "done"

    def _violated(self, what: str) -> None:
        self._violations.append(f"{what} at {self._clock.now()}")


def _some(jobs: list[str]) -> str:
    """As many of them as can be read."""
    return ", ".join(jobs[:MAX_NAMED]) + (f" and {len(jobs) - MAX_NAMED} more" if jobs[MAX_NAMED:] else "")
