"""Priority and deadline that a job takes over from the jobs that need it.

A pipeline's users set the priority and the deadline that they care about on its last job. Each job before it
takes the highest priority of itself and all that need it, and must be done early enough for those after it:
the earliest of its own deadline and, for each dependent, that one's deadline less its expected run time.
"""

from collections.abc import Mapping, Sequence
from datetime import timedelta
from typing import NamedTuple


class ChainedJob(NamedTuple):
    """An unfinished job as a part of its pipelines."""

    rank: int
    # When it should be done by its own deadline; None: at no particular time.
    deadline: timedelta | None
    # How long its tasks are expected to run.
    expected: timedelta
    # The jobs that need it directly. Those that are not unfinished themselves are ignored.
    dependents: Sequence[str]


class Urgency(NamedTuple):
    """What a job's own priority and deadline become through the jobs that need it."""

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
    found: dict[str, Urgency] = {}
    while ready:
        name = ready.pop()
        found[name] = _combine(jobs[name], [(jobs[other], found[other]) for other in dependents[name]])
        for dependency in dependencies.get(name, ()):
            unresolved[dependency] -= 1
            if unresolved[dependency] == 0:
                ready.append(dependency)
    return found


def _combine(job: ChainedJob, dependents: list[tuple[ChainedJob, Urgency]]) -> Urgency:
    rank = max([job.rank, *(urgency.rank for _, urgency in dependents)])
    deadlines = [] if job.deadline is None else [job.deadline]
    for dependent, urgency in dependents:
        if urgency.deadline is not None:
            deadlines.append(urgency.deadline - dependent.expected)
    return Urgency(rank, min(deadlines, default=None))
