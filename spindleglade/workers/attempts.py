"""Attempts of tasks on machines: why they stop and how they end."""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from typing import TYPE_CHECKING

from spindleglade.workers.messages import TaskState, task_name

if TYPE_CHECKING:
    from spindleglade.workers.jobs import Job

# A task and the number of its attempt, as workers name them.
AttemptKey = tuple[str, int]


class ExitCause(StrEnum):
    """Why a worker says that an attempt has exited; the values are those on the wire."""

    DONE = "done"
    ERROR = "error"
    FULL = "full"
    IN_USE = "in_use"
    UNKNOWN = "unknown"


class StopReason(StrEnum):
    """Why the leader stops an attempt; preemptions name the job that needs the capacity instead."""

    CANCELLED = "aborted"
    GANG_BROKEN = "its group broke up"
    MACHINE_TERMINATES = "machine leaves"


class EndReason(StrEnum):
    """Why an attempt is over without an exit that the worker has shown."""

    MACHINE_TERMINATED = "its machine is gone"
    INCARNATION_ENDED = "its session ended"
    JOB_DONE = "its job is done"
    CANCELLED_BEFORE_START = "aborted before its start"
    MISSING_FROM_HEARTBEAT = "the worker has it no more"
    STOPPED_BEFORE_START = "stopped before its start"


# Class access to a member of an enumeration is slow in Python 3.11; heartbeats and planning use these.
FETCHING, RUNNING, SAVING = TaskState.FETCHING, TaskState.RUNNING, TaskState.SAVING


def preemption_reason(beneficiary: str) -> str:
    """The stop reason of an attempt that makes room for another job."""
    return f"room for {beneficiary}"


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a task on a machine, from its placement until it is proven over."""

    job: "Job"
    index: int
    attempt: int
    machine: str
    incarnation: int
    # The version of the task range that must be committed before the start may be sent.
    version: int
    placed_at: timedelta
    # Whether a heartbeat has shown it.
    is_confirmed: bool = False
    state: str = FETCHING
    # First seen running; None while it fetches its image, or if it ran already when this leader was elected.
    running_since: timedelta | None = None
    # Starts sent directly to the machine and not answered yet.
    starts_in_flight: int = 0
    # Sequence of the heartbeat whose response carried the start, until a later heartbeat shows whether it was
    # executed; and how often it was not.
    start_sent_with_sequence: int | None = None
    lost_starts: int = 0
    # Read from the store: whether its start was sent, and by which way, is not known.
    is_recovered: bool = False
    # A start of it was sent directly to the machine: a copy of that message may arrive again.
    started_directly: bool = False
    # It was started because its job was overdue.
    started_overdue: bool = False
    # Why it is to stop, and with how much time to save.
    stop_reason: str | None = None
    grace_period_s: float = 0.0
    has_ended: bool = False

    task: str = ""

    def __post_init__(self) -> None:
        self.task = task_name(self.job.id, self.index)

    @property
    def is_recorded(self) -> bool:
        """Whether the store holds the placement."""
        return self.job.committed_version(self.index) >= self.version


@dataclass(slots=True, eq=False)
class ExitedAttempt:
    """An exited attempt that the worker still lists; forgotten once its end is recorded."""

    job: "Job | None"
    index: int
    version: int
    # Never forgotten in this incarnation: a late copy of its start would run it again, beside a newer attempt
    # or after its job was cancelled. A copy of one that is done only shows its exit once more.
    never_forget: bool = False

    @property
    def is_recorded(self) -> bool:
        """Whether the store holds the end of the attempt."""
        return self.job is None or self.job.committed_version(self.index) >= self.version
