"""The messages between workers and controllers, as the published protocol defines them."""

from enum import StrEnum

import msgspec

from spindleglade.runtime.decoding import decode


class TaskState(StrEnum):
    """State of a task that a worker reports. The protocol may add others, which count as on the machine."""

    FETCHING = "pulling"
    RUNNING = "running"
    SAVING = "saving"
    EXITED = "exited"


# Looked up once: it is compared with each task of each heartbeat.
_EXITED = TaskState.EXITED


class Operation(StrEnum):
    """What a command has a worker do with an attempt of a task."""

    START = "start"
    STOP = "stop"
    # Remove an exited attempt from the worker's list.
    FORGET = "clear"


class TaskStatus(msgspec.Struct, frozen=True):
    """One attempt of a task in a heartbeat."""

    task: str = msgspec.field(name="thread")
    attempt: int = msgspec.field(name="try")
    # A TaskState, or one that is not known here.
    state: str = msgspec.field(name="stage")
    # Of an exited attempt: why it ended, and whether it saved its work.
    cause: str | None = None
    saved: bool | None = None

    @property
    def is_on_machine(self) -> bool:
        """Whether the attempt occupies the machine."""
        return self.state != _EXITED


class Heartbeat(msgspec.Struct, frozen=True):
    """A worker's regular message, with the machine that it runs on and the status of its tasks."""

    machine: str = msgspec.field(name="spindle")
    address: str = msgspec.field(name="addr")
    type: str = msgspec.field(name="frame")
    zone: str = msgspec.field(name="glade")
    spot: bool = msgspec.field(name="windfall")
    # Counts the worker's expired leases, and its heartbeats since the latest of them.
    incarnation: int = msgspec.field(name="spin")
    sequence: int = msgspec.field(name="tally")
    # The highest that the worker has seen.
    token: int = msgspec.field(name="baton")
    tasks: list[TaskStatus] = msgspec.field(name="threads", default_factory=list)
    # Seconds until the cloud takes the machine away, once it has announced that.
    warning_s: float | None = None


class Command(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a worker is to do with one attempt of a task."""

    operation: Operation = msgspec.field(name="verb")
    task: str = msgspec.field(name="thread")
    attempt: int = msgspec.field(name="try")
    # Of a stop: how long the task may take to save its work.
    grace_period_s: float | None = msgspec.field(name="slack_s", default=None)


class HeartbeatResponse(msgspec.Struct, frozen=True):
    """Renews the worker's lease; the token is the leader's, or without a leader the worker's own."""

    token: int = msgspec.field(name="baton")
    commands: list[Command] = msgspec.field(name="orders", default_factory=list)


class CommandBatch(msgspec.Struct, frozen=True):
    """Commands that the leader sends straight to a worker; they are valid in one incarnation only."""

    token: int = msgspec.field(name="baton")
    incarnation: int = msgspec.field(name="spin")
    commands: list[Command] = msgspec.field(name="orders")


_heartbeat_decoder = msgspec.json.Decoder(Heartbeat)


def decode_heartbeat(body: bytes) -> Heartbeat:
    """Raises msgspec.DecodeError on anything malformed."""
    return decode(_heartbeat_decoder.decode, body)


def task_name(job: str, index: int) -> str:
    """The name by which a worker knows a task of a job."""
    return f"{job}/{index}"


def split_task(task: str) -> tuple[str, int]:
    """The job and index of a task's name. Raises ValueError on anything else."""
    job, _, index = task.rpartition("/")
    return job, int(index)
