"""The dependency graph of jobs: which jobs wait for others, and which are cancelled through one.

Nothing of this is stored. It is derived from the jobs' records, so every node that has read the same records
gives the same answers. A job is released once the record of each of its dependencies says `done`; it is
cancelled once the record of any ancestor says `aborted`. A record holds only one of the two, and a dependent
starts only after `done`: a job that is cancelled through an ancestor can have no task, and a released one can
never be cancelled that way.

Records may come in any order. Each edge is followed a bounded number of times over the life of the graph, and
no walk is recursive.
"""

from collections.abc import Iterable
from enum import Enum


class DependencyOutcome(Enum):
    """What a job's own record says of it."""

    OPEN = "open"
    DONE = "done"
    ABORTED = "aborted"


class DependencyGraph:
    """Fed with the outcome of every job record and the dependencies of every open one."""

    def __init__(self) -> None:
        self._outcomes: dict[str, DependencyOutcome] = {}
        # Jobs that are not released: the dependencies that are not known to be done. The set is empty for a
        # job whose list of dependencies has not been read completely.
        self._missing: dict[str, set[str]] = {}
        # Unreleased jobs by each dependency that they still miss.
        self._dependents: dict[str, list[str]] = {}
        self._cancelled: set[str] = set()

    def is_released(self, job: str) -> bool:
        """Whether every dependency of the job is done."""
        return job not in self._missing and job not in self._cancelled

    def is_cancelled(self, job: str) -> bool:
        """Whether an ancestor of the job is aborted."""
        return job in self._cancelled

    def has_dependents(self, job: str) -> bool:
        """Whether jobs wait for the end of this one."""
        return job in self._dependents

    def dependents(self, job: str) -> tuple[str, ...]:
        """The jobs that wait for this one directly."""
        return tuple(self._dependents.get(job, ()))

    def members(self) -> set[str]:
        """All jobs that wait for others, or that others wait for."""
        return self._missing.keys() | self._dependents.keys()

    def hold(self, job: str) -> None:
        """Keeps an open job unreleased until its dependencies are told by `add`."""
        self._missing.setdefault(job, set())

    def add(self, job: str, dependencies: Iterable[str]) -> set[str]:
        """Takes in the dependencies of an open job, once. Returns the jobs whose state this changes: those
        that are awaited now, and the job itself if it is cancelled already."""
        missing = {name for name in dependencies if self._outcomes.get(name) is not DependencyOutcome.DONE}
        if not missing:
            self._missing.pop(job, None)
            return {job}
        if any(self._is_aborted(name) for name in missing):
            return self._cancel([job])
        self._missing[job] = missing
        for name in missing:
            self._dependents.setdefault(name, []).append(job)
        return missing

    def observe(self, job: str, outcome: DependencyOutcome) -> set[str]:
        """Takes in what a job's record says. Returns the dependents that are released or cancelled by it."""
        if self._outcomes.get(job) is outcome:
            return set()
        self._outcomes[job] = outcome
        if outcome is DependencyOutcome.DONE:
            return self._release(self._dependents.pop(job, []), job)
        if outcome is DependencyOutcome.ABORTED:
            self._missing.pop(job, None)
            return self._cancel(self._dependents.pop(job, []))
        return set()

    def _is_aborted(self, job: str) -> bool:
        return job in self._cancelled or self._outcomes.get(job) is DependencyOutcome.ABORTED

    def _release(self, dependents: list[str], done: str) -> set[str]:
        released = set()
        for job in dependents:
            missing = self._missing.get(job)
            if missing is None:
                continue
            missing.discard(done)
            if not missing:
                del self._missing[job]
                released.add(job)
        return released

    def _cancel(self, jobs: Iterable[str]) -> set[str]:
        """Marks these jobs and all their descendants, and forgets what they waited for."""
        cancelled: set[str] = set()
        pending = [job for job in jobs if self._outcomes.get(job) is not DependencyOutcome.ABORTED]
        while pending:
            job = pending.pop()
            if job in self._cancelled:
                continue
            self._cancelled.add(job)
            cancelled.add(job)
            self._missing.pop(job, None)
            pending.extend(self._dependents.pop(job, ()))
        return cancelled
