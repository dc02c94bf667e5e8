"""What workers and controllers say to each other, by the published protocol."""

from typing import Literal

import msgspec

from spindleglade.decoding import decode


class TaskReport(msgspec.Struct, frozen=True):
    task: str = msgspec.field(name="thread")
    attempt: int = msgspec.field(name="try")
    stage: str
    cause: str | None = None
    saved: bool | None = None

    @property
    def on(self) -> bool:
        return self.stage != "exited"


class Report(msgspec.Struct, frozen=True):
    machine: str = msgspec.field(name="spindle")
    address: str = msgspec.field(name="addr")
    type: str = msgspec.field(name="frame")
    zone: str = msgspec.field(name="glade")
    spot: bool = msgspec.field(name="windfall")
    session: int = msgspec.field(name="spin")
    tally: int
    token: int = msgspec.field(name="baton")
    tasks: list[TaskReport] = msgspec.field(name="threads", default_factory=list)
    warning_s: float | None = None


class Order(msgspec.Struct, frozen=True, omit_defaults=True):
    verb: Literal["start", "stop", "clear"]
    task: str = msgspec.field(name="thread")
    attempt: int = msgspec.field(name="try")
    slack_s: float | None = None


class ReportAnswer(msgspec.Struct, frozen=True):
    token: int = msgspec.field(name="baton")
    orders: list[Order] = []


class Orders(msgspec.Struct, frozen=True):
    token: int = msgspec.field(name="baton")
    session: int = msgspec.field(name="spin")
    orders: list[Order]


_reports = msgspec.json.Decoder(Report)


def decode_report(body: bytes) -> Report:
    """Raises msgspec.DecodeError on anything malformed."""
    return decode(_reports.decode, body)


def task_name(job: str, index: int) -> str:
    return f"{job}/{index}"


def split_task(task: str) -> tuple[str, int]:
    """Raises ValueError on anything that is not a task's name."""
    job, _, index = task.rpartition("/")
    return job, int(index)
