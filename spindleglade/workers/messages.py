"""The messages between workers and controllers, as the published protocol defines them."""

from enum import StrEnum

import msgspec

from spindleglade.runtime.decoding import decode


class TaskState(StrEnum):
    """The state of an attempt in a heartbeat. The protocol may add states, which count as on the machine."""

    FETCHING = "pulling"
    RUNNING = "running"
    SAVING = "saving"
    EXITED = "exited"


# Looked up once, since it is compared with every attempt of every heartbeat.
_EXITED = TaskState.EXITED


class Operation(StrEnum):
    """What a command makes a worker do with an attempt of a task."""

    START = "start"
    STOP = "stop"
    # Remove an exited attempt from the worker's list.
    FORGET = "clear"


class TaskStatus(msgspec.Struct, frozen=True):
    """The status of one attempt of a task in a heartbeat."""

    task: str = msgspec.field(name="thread")
    attempt: int = msgspec.field(name="try")
    # A `TaskState`, or a state that this version does not know.
    state: str = msgspec.field(name="stage")
    # Set for an exited attempt: why it ended, and whether it saved its work.
    cause: str | None = None
    saved: bool | None = None

    @property
    def is_on_machine(self) -> bool:
        """Whether the attempt occupies the machine."""
        return self.state != _EXITED


class Heartbeat(msgspec.Struct, frozen=True):
    """A worker's periodic message, with the machine that it runs on and the status of its attempts."""

    machine: str = msgspec.field(name="spindle")
    address: str = msgspec.field(name="addr")
    type: str = msgspec.field(name="frame")
    zone: str = msgspec.field(name="glade")
    spot: bool = msgspec.field(name="windfall")
    # Incremented each time the worker's lease expires.
    incarnation: int = msgspec.field(name="spin")
    # Incremented with each heartbeat of an incarnation.
    sequence: int = msgspec.field(name="tally")
    # The highest fencing token that the worker has seen.
    token: int = msgspec.field(name="baton")
    tasks: list[TaskStatus] = msgspec.field(name="threads", default_factory=list)
    # Seconds until the cloud terminates the machine; None: no termination is announced.
    warning_s: float | None = None


class Command(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a worker is to do with one attempt of a task."""

    operation: Operation = msgspec.field(name="verb")
    task: str = msgspec.field(name="thread")
    attempt: int = msgspec.field(name="try")
    # For a stop: how many seconds the task may take to save its work.
    grace_period_s: float | None = msgspec.field(name="slack_s", default=None)


class HeartbeatResponse(msgspec.Struct, frozen=True):
    """Renews the worker's lease. The token is the leader's, or the worker's own in a renewal without the
    leader."""

    token: int = msgspec.field(name="baton")
    commands: list[Command] = msgspec.field(name="orders", default_factory=list)


class CommandBatch(msgspec.Struct, frozen=True):
    """Commands that the leader sends directly to a worker. They are valid in one incarnation only."""

    token: int = msgspec.field(name="baton")
    incarnation: int = msgspec.field(name="spin")
    commands: list[Command] = msgspec.field(name="orders")


_heartbeat_decoder = msgspec.json.Decoder(Heartbeat)


def decode_heartbeat(body: bytes) -> Heartbeat:
    """Decodes a heartbeat. Raises msgspec.DecodeError if it is malformed."""
    return decode(_heartbeat_decoder.decode, body)


def task_name(job: str, index: int) -> str:
    """The name of a task of a job in the protocol."""
    return f"{job}/{index}"


def split_task(task: str) -> tuple[str, int]:
    """The job and the index in a task name. Raises ValueError if the index is not a number."""
    job, _, index = task.rpartition("/")
    return job, int(index)
