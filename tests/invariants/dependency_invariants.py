"""Invariants of job dependencies, checked against the executed tasks and the answers to users."""

from datetime import timedelta

from spindleglade.runtime.clock import ManualClock
from tests.deployment_config import CANCEL_TIMEOUT
from tests.fakes.state_service import StateService
from tests.production import JOBS
from tests.simulation.executions import TaskExecutions
from tests.simulation.job_records import JobRecords

FINAL_STATES = ("done", "aborted")
# The maximum number of jobs that one message lists.
MAX_LISTED_JOBS = 5


class DependencyInvariants:
    """Follows the dependencies between jobs, and appends each violation of a rule to `violations`.

    - `too_early`: a task starts before all direct and indirect dependencies of its job are done, or before
      the store records them as done: heartbeats alone must not release dependents.
    - `orphaned`: a task of a job starts or runs after a user was told that one of the job's ancestors is
      aborted, so that the job can never have been released; or the job is reported as pending or running
      more than `cancel_s` after that.
    - `contradiction`: a job is reported as done though one of its ancestors is reported as aborted.
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
        """Returns all direct and indirect dependencies of the job, which are fixed at its submission."""
        if job not in self._ancestors:
            found: set[str] = set()
            unvisited = list(self._jobs.descriptions[job].get("awaits") or ())
            while unvisited:
                ancestor = unvisited.pop()
                if ancestor in found:
                    continue
                found.add(ancestor)
                unvisited += (
                    self._ancestors.get(ancestor) or self._jobs.descriptions[ancestor].get("awaits") or ()
                )
            self._ancestors[job] = frozenset(found)
        return self._ancestors[job]

    def is_released(self, job: str) -> bool:
        """Whether all tasks of all ancestors of the job have completed, as observed at the workers."""
        return all(map(self._executions.is_complete, self.ancestors(job)))

    def is_cancel_requested(self, job: str) -> bool:
        """Whether a user has asked to cancel the job or one of its ancestors."""
        requested = self._jobs.cancel_requested
        return job in requested or not requested.isdisjoint(self.ancestors(job))

    def cancelled_ancestors(self, job: str) -> list[str]:
        """Returns the sorted ancestors of the job that a user was told are aborted."""
        return sorted(self.ancestors(job) & self.observed_cancelled_at.keys())

    def check_start(self, job: str, task: str) -> None:
        not_done = [
            ancestor for ancestor in sorted(self.ancestors(job)) if not self._executions.is_complete(ancestor)
        ]
        if not_done:
            self._add_violation(f"too_early {task} started while {_abbreviated(not_done)} are not done")
        not_recorded = [
            ancestor for ancestor in sorted(self.ancestors(job)) if not self._is_recorded_done(ancestor)
        ]
        if not_recorded:
            self._add_violation(
                f"too_early {task} started while {_abbreviated(not_recorded)} are not recorded as done"
            )
        if self.cancelled_ancestors(job):
            self._add_violation(f"orphaned {task} started though {self.cancelled_ancestors(job)} are aborted")

    def observe_state(self, job: str, state: str) -> None:
        """Records and checks the state of a job in an answer that a user has just got."""
        now = self._clock.now()
        if state == "aborted":
            self.observed_cancelled_at.setdefault(job, now)
        aborted = self.cancelled_ancestors(job)
        if state == "done" and aborted:
            self._add_violation(f"contradiction {job} is reported as done though {aborted} are aborted")
        since = min((self.observed_cancelled_at[ancestor] for ancestor in aborted), default=now)
        if state not in FINAL_STATES and now - since > CANCEL_TIMEOUT:
            self._add_violation(
                f"orphaned {job} is reported as {state} though one of {aborted} is aborted since {since}"
            )

    def check(self) -> None:
        """Checks that no task runs of a job with an aborted ancestor; called at every step."""
        running = {
            task.rpartition("/")[0] for task, machines in self._executions.running_on.items() if machines
        }
        for job in sorted(running):
            if self.cancelled_ancestors(job):
                self._add_violation(
                    f"orphaned {job} has tasks though {self.cancelled_ancestors(job)} are aborted"
                )

    def _is_recorded_done(self, job: str) -> bool:
        record = self._state.keys.get(JOBS + job)
        return record is not None and record[0]["stage"] == "done"

    def _add_violation(self, violation: str) -> None:
        self._violations.append(f"{violation} at {self._clock.now()}")


def _abbreviated(jobs: list[str]) -> str:
    """Joins the first `MAX_LISTED_JOBS` job ids, followed by the number of those left out."""
    return ", ".join(jobs[:MAX_LISTED_JOBS]) + (
        f" and {len(jobs) - MAX_LISTED_JOBS} more" if jobs[MAX_LISTED_JOBS:] else ""
    )
