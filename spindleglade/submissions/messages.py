"""The messages that users send and receive. Wire names are translated to the terms of the code only here."""

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


# A job of a higher rank goes first, and may preempt tasks of a lower one.
RANK: dict[Priority, int] = {
    Priority.CRITICAL: 3,
    Priority.HIGH: 2,
    Priority.NORMAL: 1,
    Priority.BEST_EFFORT: 0,
}


class JobKind(StrEnum):
    """How the tasks of a job belong together."""

    # Each task runs independently of the others.
    ARRAY = "array"
    # All tasks start together.
    GANG = "group"
    # The tasks start together, and run until the job is cancelled.
    SERVICE = "standing"


class JobStatus(StrEnum):
    """The state of a job as its user sees it. The last two are final."""

    PENDING = "pending"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "aborted"


class Submission(msgspec.Struct, frozen=True):
    """A job as its user describes it. Fields whose names end in `_s` are seconds."""

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
    # Only a service may go without an estimate.
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
    """The jobs that must be done before any task of a submitted job starts."""

    dependencies: list[JobId] | None = msgspec.field(name="awaits", default=None)


class _JobReference(msgspec.Struct):
    """The job that a submission is about, whatever else it says."""

    id: JobId = msgspec.field(name="ref")


_submissions = msgspec.json.Decoder(Submission)
_dependencies = msgspec.json.Decoder(_Dependencies)
_job_references = msgspec.json.Decoder(_JobReference)


class JobResponse(msgspec.Struct):
    """The answer to a submission or a cancellation."""

    id: str = msgspec.field(name="ref")
    state: str = msgspec.field(name="stage")


class JobStatusResponse(msgspec.Struct):
    """The answer to a status request."""

    id: str = msgspec.field(name="ref")
    state: str = msgspec.field(name="stage")
    # Numbers of tasks.
    done: int
    running: int


def decode_submission(body: bytes) -> Submission:
    """Raises msgspec.DecodeError (of which its ValidationError is one) on anything malformed."""
    return decode(_submissions.decode, body)


def decode_dependencies(body: bytes) -> list[str]:
    """The jobs that a submitted job depends on, each once, in the order given.

    Raises msgspec.DecodeError on anything but a list of job ids.
    """
    return list(dict.fromkeys(decode(_dependencies.decode, body).dependencies or ()))


def decode_job_reference(body: bytes) -> str | None:
    """The job that a malformed submission is about, if it says so."""
    try:
        return decode(_job_references.decode, body).id
    except (msgspec.DecodeError, UnicodeDecodeError):
        # A body that cannot be decoded at all repeats no submission.
        return None
