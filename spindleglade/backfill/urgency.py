"""The priority and the deadline that a job inherits from its dependents.

Users set the priority and the deadline of a pipeline on its last job. Each earlier job gets the highest
priority among its own and those of its dependents. Its deadline is the earliest among its own and, for each
dependent, the deadline of the dependent less the dependent's expected run time.
"""

from collections.abc import Mapping, Sequence
from datetime import timedelta
from typing import NamedTuple


class PipelineJob(NamedTuple):
    """An unfinished job of a pipeline."""

    rank: int
    # Deadline of the job itself; None if it has none.
    deadline: timedelta | None
    # Expected run time of its tasks.
    expected_run_time: timedelta
    # Ids of its direct dependents. Finished ones are ignored.
    dependents: Sequence[str]


class Urgency(NamedTuple):
    """The priority and the deadline of a job, including what it inherits from its dependents."""

    rank: int
    deadline: timedelta | None


def urgencies(jobs: Mapping[str, PipelineJob]) -> dict[str, Urgency]:
    """Computes the urgency of each job, in one pass from the ends of the pipelines to their beginnings."""
    dependents = {
        job_id: [dependent for dependent in dict.fromkeys(job.dependents) if dependent in jobs]
        for job_id, job in jobs.items()
    }
    dependencies: dict[str, list[str]] = {}
    for job_id, dependent_ids in dependents.items():
        for dependent in dependent_ids:
            dependencies.setdefault(dependent, []).append(job_id)
    unresolved_dependents = {job_id: len(dependent_ids) for job_id, dependent_ids in dependents.items()}
    ready = [job_id for job_id, count in unresolved_dependents.items() if count == 0]
    urgency_by_job: dict[str, Urgency] = {}
    while ready:
        job_id = ready.pop()
        inherited = [(jobs[dependent], urgency_by_job[dependent]) for dependent in dependents[job_id]]
        urgency_by_job[job_id] = _combine(jobs[job_id], inherited)
        for dependency in dependencies.get(job_id, ()):
            unresolved_dependents[dependency] -= 1
            if unresolved_dependents[dependency] == 0:
                ready.append(dependency)
    return urgency_by_job


def _combine(job: PipelineJob, dependents: list[tuple[PipelineJob, Urgency]]) -> Urgency:
    """Combines the priority and deadline of a job with the urgency of its dependents."""
    rank = max([job.rank, *(urgency.rank for _, urgency in dependents)])
    deadlines = [] if job.deadline is None else [job.deadline]
    for dependent, urgency in dependents:
        if urgency.deadline is not None:
            deadlines.append(urgency.deadline - dependent.expected_run_time)
    return Urgency(rank, min(deadlines, default=None))
