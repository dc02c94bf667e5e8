"""What workers and controllers say to each other, by the published protocol."""

from typing import Literal

import msgspec

from spindleglade.runtime.decoding import decode


class TaskStatus(msgspec.Struct, frozen=True):
    task: str = msgspec.field(name="thread")
    attempt: int = msgspec.field(name="try")
    state: str = msgspec.field(name="stage")
    cause: str | None = None
    saved: bool | None = None

    @property
    def is_on_machine(self) -> bool:
        return self.state != "exited"


class Heartbeat(msgspec.Struct, frozen=True):
    machine: str = msgspec.field(name="spindle")
    address: str = msgspec.field(name="addr")
    type: str = msgspec.field(name="frame")
    zone: str = msgspec.field(name="glade")
    spot: bool = msgspec.field(name="windfall")
    incarnation: int = msgspec.field(name="spin")
    sequence: int = msgspec.field(name="tally")
    token: int = msgspec.field(name="baton")
    tasks: list[TaskStatus] = msgspec.field(name="threads", default_factory=list)
    warning_s: float | None = None


class Command(msgspec.Struct, frozen=True, omit_defaults=True):
    operation: Literal["start", "stop", "clear"] = msgspec.field(name="verb")
    task: str = msgspec.field(name="thread")
    attempt: int = msgspec.field(name="try")
    grace_period_s: float | None = msgspec.field(name="slack_s", default=None)


class HeartbeatResponse(msgspec.Struct, frozen=True):
    token: int = msgspec.field(name="baton")
    commands: list[Command] = msgspec.field(name="orders", default_factory=list)


class CommandBatch(msgspec.Struct, frozen=True):
    token: int = msgspec.field(name="baton")
    incarnation: int = msgspec.field(name="spin")
    commands: list[Command] = msgspec.field(name="orders")


_heartbeats = msgspec.json.Decoder(Heartbeat)


def decode_heartbeat(body: bytes) -> Heartbeat:
    """Raises msgspec.DecodeError on anything malformed."""
    return decode(_heartbeats.decode, body)


def task_name(job: str, index: int) -> str:
    return f"{job}/{index}"


def split_task(task: str) -> tuple[str, int]:
    """Raises ValueError on anything that is not a task's name."""
    job, _, index = task.rpartition("/")
    return job, int(index)
