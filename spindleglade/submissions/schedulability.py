"""Whether a submitted job can ever run: within its team's limits, on machines of a type that it allows."""

import msgspec

from spindleglade.settings.platform import Team
from spindleglade.submissions.errors import UnschedulableJobError, UnschedulableReason
from spindleglade.submissions.messages import Submission


class MachineShape(msgspec.Struct, frozen=True):
    """The part of a machine type that decides which tasks fit."""

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    zones: tuple[str, ...]


def check_schedulable(job: Submission, teams: dict[str, Team], shapes: list[MachineShape]) -> None:
    """Raises UnschedulableJobError for a job that can never run, whatever else runs."""
    team = teams.get(job.team)
    if team is None:
        raise UnschedulableJobError(job.id, UnschedulableReason.UNKNOWN_TEAM)
    tasks_at_once = job.tasks if job.is_gang else 1
    if job.cpus * tasks_at_once > team.cpus_max or job.gpus * tasks_at_once > team.gpus_max:
        raise UnschedulableJobError(job.id, UnschedulableReason.OVER_TEAM_LIMIT)
    if not any(_fits(job, shape) for shape in shapes):
        raise UnschedulableJobError(job.id, UnschedulableReason.FITS_NO_MACHINE_TYPE)


def _fits(job: Submission, shape: MachineShape) -> bool:
    """Whether a task of the job may run on machines of this type, and fits them."""
    return (
        (job.types is None or shape.name in job.types)
        and (job.zone is None or not shape.zones or job.zone in shape.zones)
        and job.cpus <= shape.cpus
        and job.gpus <= shape.gpus
        and job.memory_gb <= shape.memory_gb
    )
