"""The priority and the deadline that a job inherits from its dependents.

Users set the priority and the deadline that they care about on the last job of a pipeline. Each job before
it has the highest priority of itself and its dependents, and must be done early enough for those: by the
earliest of its own deadline and, for each dependent, that one's deadline less its expected run time.
"""

from collections.abc import Mapping, Sequence
from datetime import timedelta
from typing import NamedTuple


class ChainedJob(NamedTuple):
    """An unfinished job of a pipeline."""

    rank: int
    # Its own deadline; None if it has none.
    deadline: timedelta | None
    # The expected run time of its tasks.
    expected: timedelta
    # Its direct dependents. Those that are finished are ignored.
    dependents: Sequence[str]


class Urgency(NamedTuple):
    """A job's priority and deadline, those of its dependents included."""

    rank: int
    deadline: timedelta | None


def urgencies(jobs: Mapping[str, ChainedJob]) -> dict[str, Urgency]:
    """The urgency of each job, in one pass from the ends of the pipelines to their beginnings."""
    dependents = {
        name: [other for other in dict.fromkeys(job.dependents) if other in jobs]
        for name, job in jobs.items()
    }
    dependencies: dict[str, list[str]] = {}
    for name, others in dependents.items():
        for other in others:
            dependencies.setdefault(other, []).append(name)
    unresolved = {name: len(others) for name, others in dependents.items()}
    ready = [name for name, count in unresolved.items() if count == 0]
    urgency_by_job: dict[str, Urgency] = {}
    while ready:
        name = ready.pop()
        inherited = [(jobs[other], urgency_by_job[other]) for other in dependents[name]]
        urgency_by_job[name] = _combine(jobs[name], inherited)
        for dependency in dependencies.get(name, ()):
            unresolved[dependency] -= 1
            if unresolved[dependency] == 0:
                ready.append(dependency)
    return urgency_by_job


def _combine(job: ChainedJob, dependents: list[tuple[ChainedJob, Urgency]]) -> Urgency:
    """The urgency of a job from its own and that of its dependents."""
    rank = max([job.rank, *(urgency.rank for _, urgency in dependents)])
    deadlines = [] if job.deadline is None else [job.deadline]
    for dependent, urgency in dependents:
        if urgency.deadline is not None:
            deadlines.append(urgency.deadline - dependent.expected)
    return Urgency(rank, min(deadlines, default=None))
