"""The messages that users send and receive, with the mapping between wire names and names in the code."""

from enum import StrEnum
from typing import Annotated

import msgspec

from spindleglade.runtime.decoding import decode

Text = Annotated[str, msgspec.Meta(min_length=1, max_length=500)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Positive = Annotated[float, msgspec.Meta(gt=0, le=1e9)]
JobId = Annotated[str, msgspec.Meta(pattern=r"\Ajob-[0-9]{1,60}\Z")]

MAX_TASKS = 100_000


class Priority(StrEnum):
    """How important a job is to its user."""

    CRITICAL = "critical"
    HIGH = "high"
    NORMAL = "normal"
    BEST_EFFORT = "best_effort"


# Jobs of a higher rank are placed first, and may preempt tasks of jobs of a lower rank.
PRIORITY_RANK: dict[Priority, int] = {
    Priority.CRITICAL: 3,
    Priority.HIGH: 2,
    Priority.NORMAL: 1,
    Priority.BEST_EFFORT: 0,
}


class JobKind(StrEnum):
    """Whether the tasks of a job run independently, as a gang, or as a service."""

    # Each task runs independently of the others.
    ARRAY = "array"
    # All tasks must start together.
    GANG = "group"
    # All tasks must start together, and they run until the job is cancelled.
    SERVICE = "standing"


class JobStatus(StrEnum):
    """The state of a job that is reported to users. DONE and CANCELLED are final."""

    PENDING = "pending"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "aborted"


class Submission(msgspec.Struct, frozen=True):
    """A job as described by its user. Fields with names ending in `_s` are in seconds."""

    id: JobId = msgspec.field(name="ref")
    job_class: Text = msgspec.field(name="bobbin")
    team: Text = msgspec.field(name="crew")
    kind: JobKind = msgspec.field(name="weave")
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
    # How long each task is expected to run. Required unless the job is a service.
    estimate_s: Amount | None = msgspec.field(name="reckon_s", default=None)
    types: Annotated[list[Text], msgspec.Meta(max_length=50)] | None = msgspec.field(
        name="frames", default=None
    )
    zone: Text | None = msgspec.field(name="glade", default=None)
    deadline_s: Amount | None = msgspec.field(name="due_s", default=None)

    def __post_init__(self) -> None:
        if self.estimate_s is None and self.kind != JobKind.SERVICE:
            raise ValueError("Object missing required field `reckon_s`")

    @property
    def is_gang(self) -> bool:
        """Whether all tasks must be placed at once."""
        return self.kind != JobKind.ARRAY


class _Dependencies(msgspec.Struct):
    """The part of a submission that lists the jobs which must be done before any task starts."""

    dependencies: list[JobId] | None = msgspec.field(name="awaits", default=None)


class _JobReference(msgspec.Struct):
    """The part of a submission that identifies the job, decoded even if other fields are invalid."""

    id: JobId = msgspec.field(name="ref")


_submission_decoder = msgspec.json.Decoder(Submission)
_dependencies_decoder = msgspec.json.Decoder(_Dependencies)
_job_reference_decoder = msgspec.json.Decoder(_JobReference)


class JobResponse(msgspec.Struct):
    """The response to a submission or a cancellation."""

    id: str = msgspec.field(name="ref")
    state: str = msgspec.field(name="stage")


class JobStatusResponse(msgspec.Struct):
    """The response to a status request."""

    id: str = msgspec.field(name="ref")
    state: str = msgspec.field(name="stage")
    # The number of tasks that are done, and the number of tasks placed on a machine.
    done: int
    running: int


def decode_submission(body: bytes) -> Submission:
    """Decodes a submission. Raises msgspec.DecodeError (or its ValidationError) if it is malformed."""
    return decode(_submission_decoder.decode, body)


def decode_dependencies(body: bytes) -> list[str]:
    """Returns the dependencies of a submitted job, without duplicates, in the order given.

    Raises msgspec.DecodeError if they are not a list of job ids.
    """
    return list(dict.fromkeys(decode(_dependencies_decoder.decode, body).dependencies or ()))


def decode_job_reference(body: bytes) -> str | None:
    """Returns the id of the job in a malformed submission, or None if it cannot be decoded."""
    try:
        return decode(_job_reference_decoder.decode, body).id
    except (msgspec.DecodeError, UnicodeDecodeError):
        # Without a job id, the body cannot be the repetition of an accepted submission.
        return None
