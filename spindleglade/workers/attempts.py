"""Attempts of tasks on machines, and the reasons why attempts stop and end."""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from typing import TYPE_CHECKING

from spindleglade.workers.messages import TaskState, task_name

if TYPE_CHECKING:
    from spindleglade.workers.jobs import Job

# The name of a task and the number of its attempt, as in the worker protocol.
AttemptKey = tuple[str, int]


class ExitCause(StrEnum):
    """The cause that a worker reports for the exit of an attempt; the values are those on the wire."""

    DONE = "done"
    ERROR = "error"
    FULL = "full"
    IN_USE = "in_use"
    UNKNOWN = "unknown"


class StopReason(StrEnum):
    """Why the leader stops an attempt. The reason of a preemption is built by `preemption_reason`."""

    CANCELLED = "aborted"
    GANG_BROKEN = "its group broke up"
    MACHINE_TERMINATES = "machine leaves"


class EndReason(StrEnum):
    """Why an attempt ended without the worker reporting its exit."""

    MACHINE_TERMINATED = "its machine is gone"
    INCARNATION_ENDED = "its session ended"
    JOB_DONE = "its job is done"
    CANCELLED_BEFORE_START = "aborted before its start"
    MISSING_FROM_HEARTBEAT = "the worker has it no more"
    STOPPED_BEFORE_START = "stopped before its start"


# Looked up once: access to a member of an enumeration is slow in Python 3.11, and heartbeats and planning
# need these for every attempt.
FETCHING, RUNNING, SAVING = TaskState.FETCHING, TaskState.RUNNING, TaskState.SAVING


def preemption_reason(beneficiary: str) -> str:
    """The stop reason of an attempt that is preempted for the job `beneficiary`."""
    return f"room for {beneficiary}"


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a task on a machine, from its placement until it is proven to have ended."""

    job: "Job"
    # The task's number in the job, and the number of this attempt of the task, from 1.
    index: int
    attempt: int
    machine: str
    incarnation: int
    # The start may be sent once this version of the task range is committed.
    version: int
    placed_at: timedelta
    # Whether a heartbeat has listed this attempt.
    is_confirmed: bool = False
    state: str = FETCHING
    # When a heartbeat first listed it as running. None while it fetches its image, and if it was running in
    # the first heartbeat that listed it, for instance because it ran before this leader was elected.
    running_since: timedelta | None = None
    # The number of starts that were sent directly to the machine and are not answered yet.
    starts_in_flight: int = 0
    # The sequence number of the heartbeat that was answered with the start. None before that, and again once
    # a later heartbeat has shown whether the start was executed.
    start_sent_with_sequence: int | None = None
    # How many starts sent in heartbeat responses were not executed.
    lost_starts: int = 0
    # Whether the attempt was loaded from the store, so that it is not known if and how its start was sent.
    is_recovered: bool = False
    # The token of the latest direct message with a start of this attempt; None if there was none. The network
    # may deliver a copy of that message later.
    direct_start_token: int | None = None
    # Whether its job was overdue when the plan that placed it was applied.
    started_overdue: bool = False
    # Why the attempt is to be stopped (None: it is not), and how many seconds it may then take to save.
    stop_reason: str | None = None
    grace_period_s: float = 0.0
    has_ended: bool = False

    # The name of the task in the worker protocol, set from the job and the index.
    task: str = ""

    def __post_init__(self) -> None:
        self.task = task_name(self.job.id, self.index)

    @property
    def is_recorded(self) -> bool:
        """Whether the store holds the placement."""
        return self.job.committed_version(self.index) >= self.version


@dataclass(slots=True, eq=False)
class ExitedAttempt:
    """An exited attempt that the worker still lists. Once its end is recorded, the worker is told to forget
    it."""

    # None if the end of the attempt needs no record; `index` and `version` are unused then.
    job: "Job | None"
    index: int
    # The end is recorded once this version of the task range is committed.
    version: int
    # The highest token with which a copy of a start of the attempt may still arrive; None if none can. The
    # worker may forget the attempt only under a higher token. Otherwise the copy would run it again, beside a
    # newer attempt or after its job was cancelled.
    start_token: int | None

    @property
    def is_recorded(self) -> bool:
        """Whether the store holds the end of the attempt."""
        return self.job is None or self.job.committed_version(self.index) >= self.version
