"""What users send and get. Wire names are turned into the field's usual terms here and nowhere else."""

from typing import Annotated, Literal

import msgspec

from spindleglade.runtime.decoding import decode
from spindleglade.settings.platform import Team

Text = Annotated[str, msgspec.Meta(min_length=1, max_length=500)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Positive = Annotated[float, msgspec.Meta(gt=0, le=1e9)]
JobId = Annotated[str, msgspec.Meta(pattern=r"\Ajob-[0-9]{1,60}\Z")]

Priority = Literal["critical", "high", "normal", "best_effort"]
RANK: dict[str, int] = {"critical": 3, "high": 2, "normal": 1, "best_effort": 0}
MAX_TASKS = 100_000


class Submission(msgspec.Struct, frozen=True):
    id: JobId = msgspec.field(name="ref")
    job_class: Text = msgspec.field(name="bobbin")
    team: Text = msgspec.field(name="crew")
    # `array` tasks run each for itself; a `group` runs all at once; `standing` ones run until aborted.
    kind: Literal["array", "group", "standing"] = msgspec.field(name="weave")
    priority: Priority = msgspec.field(name="urgency")
    tasks: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS)] = msgspec.field(name="threads")
    cpus: Positive = msgspec.field(name="vcpus")
    gpus: Amount = msgspec.field(name="accelerators")
    memory_gb: Amount = msgspec.field(name="mem_gb")
    image: Text = msgspec.field(name="pattern")
    image_gb: Amount = msgspec.field(name="size_gb")
    one_zone: bool = msgspec.field(name="together")
    spread: bool = msgspec.field(name="scatter")
    spot: bool = msgspec.field(name="windfall")
    checkpoint_s: Amount = msgspec.field(name="knot_s")
    save_s: Amount = msgspec.field(name="tie_s")
    # Only standing tasks may go without an estimate.
    estimate_s: Amount | None = msgspec.field(name="reckon_s", default=None)
    types: Annotated[list[Text], msgspec.Meta(max_length=50)] | None = msgspec.field(
        name="frames", default=None
    )
    zone: Text | None = msgspec.field(name="glade", default=None)
    deadline_s: Amount | None = msgspec.field(name="due_s", default=None)

    def __post_init__(self) -> None:
        if self.estimate_s is None and self.kind != "standing":
            raise ValueError("Object missing required field `reckon_s`")

    @property
    def is_gang(self) -> bool:
        """Whether all tasks must find room at once."""
        return self.kind != "array"


class _Dependencies(msgspec.Struct):
    """The part of a submission that says which jobs have to be done before any of its tasks starts."""

    dependencies: list[JobId] | None = msgspec.field(name="awaits", default=None)


class _JobReference(msgspec.Struct):
    id: JobId = msgspec.field(name="ref")


_submissions = msgspec.json.Decoder(Submission)
_dependencies = msgspec.json.Decoder(_Dependencies)
_job_references = msgspec.json.Decoder(_JobReference)


class JobResponse(msgspec.Struct):
    id: str = msgspec.field(name="ref")
    state: str = msgspec.field(name="stage")


class JobStatusResponse(msgspec.Struct):
    id: str = msgspec.field(name="ref")
    state: str = msgspec.field(name="stage")
    done: int
    running: int


class MachineShape(msgspec.Struct, frozen=True):
    """What validation needs to know of a machine type."""

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    zones: tuple[str, ...]


class UnschedulableJobError(Exception):
    """The job can never run here."""


def decode_submission(body: bytes) -> Submission:
    """Raises msgspec.DecodeError (of which its ValidationError is one) on anything malformed."""
    return decode(_submissions.decode, body)


def decode_dependencies(body: bytes) -> list[str]:
    """The jobs that a submission depends on, each once, in the order given. Raises msgspec.DecodeError on
    anything but a list of job ids."""
    return list(dict.fromkeys(decode(_dependencies.decode, body).dependencies or ()))


def decode_job_reference(body: bytes) -> str | None:
    """The job that a malformed submission is about, if it says so."""
    try:
        return decode(_job_references.decode, body).id
    except (msgspec.DecodeError, UnicodeDecodeError):
        # What cannot be read at all is a repeat of nothing.
        return None


def check_schedulable(job: Submission, teams: dict[str, Team], shapes: list[MachineShape]) -> None:
    team = teams.get(job.team)
    if team is None:
        raise UnschedulableJobError("unknown team")
    at_once = job.tasks if job.is_gang else 1
    if job.cpus * at_once > team.cpus_max or job.gpus * at_once > team.gpus_max:
        raise UnschedulableJobError("more is needed at once than the team's limit")
    for shape in shapes:
        if (
            (job.types is None or shape.name in job.types)
            and (job.zone is None or not shape.zones or job.zone in shape.zones)
            and job.cpus <= shape.cpus
            and job.gpus <= shape.gpus
            and job.memory_gb <= shape.memory_gb
        ):
            return
    raise UnschedulableJobError("a task fits no allowed machine type")
