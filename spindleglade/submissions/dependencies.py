"""The dependency graph of jobs: which jobs wait for others, and which are cancelled through one.

Nothing of this is stored. It is derived from the jobs' records, so every controller that has read the same
records gives the same answers. A job is released once the records of all its dependencies are done; it is
cancelled once the record of any ancestor is cancelled. A record holds only one of the two, and a dependent
starts only after its dependencies are done: a job that is cancelled through an ancestor can have no task, and
a released job can never be cancelled that way.

Records may come in any order. Each edge is followed a bounded number of times over the life of the graph, and
no walk is recursive.
"""

from collections.abc import Iterable
from enum import Enum


class DependencyOutcome(Enum):
    """The state in a job's own record, as far as its dependents are concerned."""

    OPEN = "open"
    DONE = "done"
    CANCELLED = "aborted"


class DependencyGraph:
    """Built from the outcome in every job record and the dependencies of every open job."""

    def __init__(self) -> None:
        self._outcomes: dict[str, DependencyOutcome] = {}
        # For each job that is not released, the dependencies that are not known to be done. The set is empty
        # for a job whose dependencies have not been read completely.
        self._unfinished: dict[str, set[str]] = {}
        # The unreleased jobs, by each dependency that is not known to be done.
        self._dependents: dict[str, list[str]] = {}
        self._cancelled: set[str] = set()

    def is_released(self, job: str) -> bool:
        """Whether every dependency of the job is done."""
        return job not in self._unfinished and job not in self._cancelled

    def is_cancelled(self, job: str) -> bool:
        """Whether the job is cancelled through an ancestor."""
        return job in self._cancelled

    def has_dependents(self, job: str) -> bool:
        """Whether other jobs wait for this one."""
        return job in self._dependents

    def dependents(self, job: str) -> tuple[str, ...]:
        """The jobs that wait for this one directly."""
        return tuple(self._dependents.get(job, ()))

    def members(self) -> set[str]:
        """All jobs that wait for others, or that others wait for."""
        return self._unfinished.keys() | self._dependents.keys()

    def add_incomplete(self, job: str) -> None:
        """Keeps an open job unreleased until its dependencies are added."""
        self._unfinished.setdefault(job, set())

    def add(self, job: str, dependencies: Iterable[str]) -> set[str]:
        """Adds the dependencies of an open job, once.

        Returns the jobs affected: the dependencies that are not done, or the job itself if it is released or
        cancelled already.
        """
        unfinished = {name for name in dependencies if self._outcomes.get(name) is not DependencyOutcome.DONE}
        if not unfinished:
            self._unfinished.pop(job, None)
            return {job}
        if any(self._is_cancelled(name) for name in unfinished):
            return self._cancel([job])
        self._unfinished[job] = unfinished
        for name in unfinished:
            self._dependents.setdefault(name, []).append(job)
        return unfinished

    def observe(self, job: str, outcome: DependencyOutcome) -> set[str]:
        """Applies the outcome in a job's record. Returns the jobs that are released or cancelled by it."""
        if self._outcomes.get(job) is outcome:
            return set()
        self._outcomes[job] = outcome
        if outcome is DependencyOutcome.DONE:
            return self._release(self._dependents.pop(job, []), job)
        if outcome is DependencyOutcome.CANCELLED:
            self._unfinished.pop(job, None)
            return self._cancel(self._dependents.pop(job, []))
        return set()

    def _is_cancelled(self, job: str) -> bool:
        """Whether the job is cancelled, by its own record or through an ancestor."""
        return job in self._cancelled or self._outcomes.get(job) is DependencyOutcome.CANCELLED

    def _release(self, dependents: list[str], dependency: str) -> set[str]:
        """Returns those of the dependents that wait for nothing but this dependency, which is done."""
        released = set()
        for job in dependents:
            unfinished = self._unfinished.get(job)
            if unfinished is None:
                continue
            unfinished.discard(dependency)
            if not unfinished:
                del self._unfinished[job]
                released.add(job)
        return released

    def _cancel(self, jobs: Iterable[str]) -> set[str]:
        """Cancels these jobs and all their descendants, and returns those that were not cancelled before."""
        cancelled: set[str] = set()
        pending = [job for job in jobs if self._outcomes.get(job) is not DependencyOutcome.CANCELLED]
        while pending:
            job = pending.pop()
            if job in self._cancelled:
                continue
            self._cancelled.add(job)
            cancelled.add(job)
            self._unfinished.pop(job, None)
            pending.extend(self._dependents.pop(job, ()))
        return cancelled
