"""The dependency graph of jobs: which jobs wait, and which are cancelled through an ancestor.

The graph is not stored. It is derived from the job records, so all controllers that have read the same
records reach the same result. A job is released once the records of all its dependencies say done. It is
cancelled once the record of any ancestor says cancelled. The two states are final and exclude each other, and
a job starts only after all its dependencies are done. Therefore a job cancelled through an ancestor has no
tasks, and a released job is never cancelled through an ancestor.

Records may be read in any order. Each edge is followed a bounded number of times over the life of the graph,
and traversal is iterative, because a long chain of jobs would exceed the recursion limit.
"""

from collections.abc import Iterable
from enum import Enum


class DependencyOutcome(Enum):
    """The state in a job's own record that decides whether its dependents are released or cancelled."""

    OPEN = "open"
    DONE = "done"
    CANCELLED = "aborted"


class DependencyGraph:
    """Tracks which jobs are released or cancelled, from the jobs' outcomes and dependencies."""

    def __init__(self) -> None:
        self._outcomes: dict[str, DependencyOutcome] = {}
        # For each open job that is not released, its dependencies not known to be done. The set is empty
        # while the job's dependencies have not all been read (see `add_incomplete`).
        self._unfinished_dependencies: dict[str, set[str]] = {}
        # For each dependency not known to be done, the unreleased jobs that depend on it directly.
        self._dependents: dict[str, list[str]] = {}
        # The jobs cancelled through an ancestor.
        self._cancelled: set[str] = set()

    def is_released(self, job: str) -> bool:
        """Whether every dependency of the job is done."""
        return job not in self._unfinished_dependencies and job not in self._cancelled

    def is_cancelled(self, job: str) -> bool:
        """Whether the job is cancelled through an ancestor."""
        return job in self._cancelled

    def has_dependents(self, job: str) -> bool:
        """Whether any unreleased job depends directly on this one."""
        return job in self._dependents

    def dependents(self, job: str) -> tuple[str, ...]:
        """The unreleased jobs that depend directly on this one."""
        return tuple(self._dependents.get(job, ()))

    def pipeline_jobs(self) -> set[str]:
        """All jobs that wait for a dependency, and all dependencies that jobs wait for."""
        return self._unfinished_dependencies.keys() | self._dependents.keys()

    def add_incomplete(self, job: str) -> None:
        """Keeps an open job unreleased until `add` is called with all its dependencies."""
        self._unfinished_dependencies.setdefault(job, set())

    def add(self, job: str, dependencies: Iterable[str]) -> set[str]:
        """Adds all dependencies of an open job. Must be called only once per job.

        Returns the affected jobs: the dependencies that are not done, which gain a dependent; the job itself
        if it is released at once; or the job with its descendants if it is cancelled at once.
        """
        unfinished = {
            dependency
            for dependency in dependencies
            if self._outcomes.get(dependency) is not DependencyOutcome.DONE
        }
        if not unfinished:
            self._unfinished_dependencies.pop(job, None)
            return {job}
        if any(self._is_cancelled(dependency) for dependency in unfinished):
            return self._cancel([job])
        self._unfinished_dependencies[job] = unfinished
        for dependency in unfinished:
            self._dependents.setdefault(dependency, []).append(job)
        return unfinished

    def observe(self, job: str, outcome: DependencyOutcome) -> set[str]:
        """Applies the outcome in a job's record. Returns the jobs that are released or cancelled by it."""
        if self._outcomes.get(job) is outcome:
            return set()
        self._outcomes[job] = outcome
        if outcome is DependencyOutcome.DONE:
            return self._release(self._dependents.pop(job, []), job)
        if outcome is DependencyOutcome.CANCELLED:
            self._unfinished_dependencies.pop(job, None)
            return self._cancel(self._dependents.pop(job, []))
        return set()

    def _is_cancelled(self, job: str) -> bool:
        """Whether the job is cancelled, by its own record or through an ancestor."""
        return job in self._cancelled or self._outcomes.get(job) is DependencyOutcome.CANCELLED

    def _release(self, dependents: list[str], dependency: str) -> set[str]:
        """Marks a dependency as done for its dependents. Returns the dependents that are released."""
        released = set()
        for job in dependents:
            unfinished = self._unfinished_dependencies.get(job)
            if unfinished is None:
                continue
            unfinished.discard(dependency)
            if not unfinished:
                del self._unfinished_dependencies[job]
                released.add(job)
        return released

    def _cancel(self, jobs: Iterable[str]) -> set[str]:
        """Cancels these jobs and all their descendants. Returns the jobs that were not cancelled before."""
        cancelled: set[str] = set()
        pending = [job for job in jobs if self._outcomes.get(job) is not DependencyOutcome.CANCELLED]
        while pending:
            job = pending.pop()
            if job in self._cancelled:
                continue
            self._cancelled.add(job)
            cancelled.add(job)
            self._unfinished_dependencies.pop(job, None)
            pending.extend(self._dependents.pop(job, ()))
        return cancelled
