"""Checks whether a submitted job can ever run: within its team's limits, on a machine type that it allows."""

import msgspec

from spindleglade.settings.platform import Team
from spindleglade.submissions.errors import UnschedulableJobError, UnschedulableReason
from spindleglade.submissions.messages import Submission


class MachineShape(msgspec.Struct, frozen=True):
    """The resources and zones of a machine type, which decide which tasks fit on it."""

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    zones: tuple[str, ...]


def check_schedulable(job: Submission, teams: dict[str, Team], shapes: list[MachineShape]) -> None:
    """Raises UnschedulableJobError if the job could not run even on an empty cluster."""
    team = teams.get(job.team)
    if team is None:
        raise UnschedulableJobError(job.id, UnschedulableReason.UNKNOWN_TEAM)
    tasks_at_once = job.tasks if job.is_gang else 1
    if job.cpus * tasks_at_once > team.cpus_max or job.gpus * tasks_at_once > team.gpus_max:
        raise UnschedulableJobError(job.id, UnschedulableReason.OVER_TEAM_LIMIT)
    if not any(_fits(job, shape) for shape in shapes):
        raise UnschedulableJobError(job.id, UnschedulableReason.FITS_NO_MACHINE_TYPE)


def _fits(job: Submission, shape: MachineShape) -> bool:
    """Whether the job allows this machine type, and one of its tasks fits on such a machine."""
    return (
        (job.types is None or shape.name in job.types)
        and (job.zone is None or not shape.zones or job.zone in shape.zones)
        and job.cpus <= shape.cpus
        and job.gpus <= shape.gpus
        and job.memory_gb <= shape.memory_gb
    )
