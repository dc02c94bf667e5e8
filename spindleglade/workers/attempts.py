"""The parts of the leader's cluster state: jobs, attempts of their tasks, machines, and one write's batch."""

from collections import OrderedDict
from dataclasses import dataclass, field
from datetime import timedelta
from typing import NamedTuple

import msgspec

from spindleglade.backfill.snapshot import MachineView
from spindleglade.submissions.messages import RANK, Submission
from spindleglade.submissions.records import JobRecord, StoredAttempt, TaskRangeRecord, consecutive_runs
from spindleglade.submissions.task_ranges import TaskRanges
from spindleglade.workers.messages import TaskStatus, task_name

ZERO = timedelta(0)
WAITING, PLACED, DONE = 0, 1, 2
_WAITING_BYTE = bytes([WAITING])
ALL_VERSIONS = 1 << 62
# Orders in one message: a line may not be longer than 64 KiB, and a task's name may take a hundred bytes.
MAX_COMMANDS_PER_MESSAGE = 400


def estimate(spec: Submission) -> timedelta:
    # Standing tasks run until they are aborted.
    return timedelta(days=7) if spec.estimate_s is None else timedelta(seconds=spec.estimate_s)


def grace_period_s(spec: Submission) -> float:
    """How long a task that is stopped may take to save; one that cannot save gets none."""
    return spec.save_s + 1.0 if spec.checkpoint_s > 0 else 0.0


class WorkerPolicy(NamedTuple):
    lease: timedelta
    heartbeat_interval: timedelta
    quarantine_after_failed_jobs: int
    backoff: timedelta
    max_backoff: timedelta
    # How long a job may go without a start before it is overdue.
    overdue_after: timedelta = timedelta(seconds=60)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a task on a machine, from its placing until it is proven over."""

    job: "Job"
    index: int
    attempt: int
    machine: str
    incarnation: int
    # The chunk version that must be committed before the start may be sent.
    version: int
    placed_at: timedelta
    is_confirmed: bool = False
    state: str = "pulling"
    # First seen running; None while it fetches, or if it ran already when this leader came.
    running_since: timedelta | None = None
    # Starts sent straight to the machine and not answered yet.
    starts_in_flight: int = 0
    # Tally of the report whose answer carried the start, until a later report shows what came of it; and how
    # often that was nothing.
    start_sent_with_sequence: int | None = None
    lost_starts: int = 0
    # Read from the store: whether its start was sent, and by which way, is not known.
    is_recovered: bool = False
    # A start of it went straight to the machine: a copy of that message may come again.
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
        return self.job.committed_version(self.index) >= self.version


@dataclass(slots=True, eq=False)
class ExitedAttempt:
    """An exited attempt that the worker still reports; cleared once its end is recorded."""

    job: "Job | None"
    index: int
    version: int
    # Never cleared in this session: a late copy of its start would run it again, beside a newer attempt or
    # after its job was cancelled. One that is done only says so once more.
    never_forget: bool = False

    @property
    def is_recorded(self) -> bool:
        return self.job is None or self.job.committed_version(self.index) >= self.version


class Job:
    __slots__ = (
        "accepted",
        "attempts",
        "avoided_machines",
        "backoff",
        "cancelled",
        "committed_versions",
        "deadline",
        "done",
        "failed_on",
        "finished",
        "has_dependents",
        "id",
        "latest_start",
        "mod_revision",
        "paused_until",
        "placed",
        "range_size",
        "ranges",
        "rank",
        "released",
        "spec",
        "submission_revision",
        "task_states",
        "types",
        "versions",
        "waiting_since",
    )

    def __init__(self, record: JobRecord, mod_revision: int) -> None:
        self.spec = record.spec
        self.id = record.spec.id
        self.range_size = record.range_size
        self.accepted = record.accepted
        # Submission order is the order in which the store took the records.
        self.submission_revision = mod_revision
        self.mod_revision = mod_revision
        self.rank = RANK[record.spec.priority]
        self.types = None if record.spec.types is None else frozenset(record.spec.types)
        # Which value of the store speaks for which tasks; versions are by the first task of each.
        self.ranges = TaskRanges(record.range_size, record.spec.tasks)
        self.task_states = bytearray(record.spec.tasks)
        self.attempts: dict[int, int] = {}
        self.placed: dict[int, Attempt] = {}
        self.done = 0
        self.cancelled = record.state == "aborted"
        # The record says done or aborted; nothing more will be placed.
        self.finished = record.state == "done"
        self.versions: dict[int, int] = {}
        self.committed_versions: dict[int, int] = {}
        self.paused_until = timedelta(0)
        self.backoff = timedelta(0)
        self.avoided_machines: set[str] = set()
        self.failed_on: set[str] = set()
        # All its dependencies are done. Until then it is no candidate and waits for nothing but them.
        self.released = not record.has_dependencies
        # Other jobs wait for its end.
        self.has_dependents = False
        # When it should be done, by its own deadline.
        self.deadline: timedelta | None = None
        # When it should start so that the jobs that need it can meet theirs.
        self.latest_start: timedelta | None = None
        # Since when it has had no start.
        self.waiting_since = timedelta(0)

    @property
    def is_open(self) -> bool:
        return not self.cancelled and not self.finished

    @property
    def is_complete(self) -> bool:
        return self.done == len(self.task_states)

    def version(self, index: int) -> int:
        """The latest version of the piece that speaks for the task."""
        return self.versions.get(self.ranges.start(index), 0)

    def committed_version(self, index: int) -> int:
        return self.committed_versions.get(self.ranges.start(index), 0)

    def split_range(self, start: int, width: int) -> list[int]:
        """Splits a piece into ones of that many tasks at most; the first tasks of all of them. What of it is
        committed stays so: the value in the store speaks for these tasks until their parts are there."""
        firsts = self.ranges.split_points(start, width)
        for first in firsts:
            self.ranges.add(first)
            self.versions[first] = self.versions.get(start, 0)
            self.committed_versions[first] = self.committed_versions.get(start, 0)
        return [start, *firsts]

    def waiting_tasks(self, most: int) -> list[int]:
        found: list[int] = []
        at = self.task_states.find(_WAITING_BYTE)
        while at >= 0 and len(found) < most:
            found.append(at)
            at = self.task_states.find(_WAITING_BYTE, at + 1)
        return found

    def encode_range(self, first: int) -> TaskRangeRecord | None:
        """The piece as it stands, by its first task; None if there is nothing to say."""
        end = self.ranges.end(first)
        chunk = TaskRangeRecord(
            done=consecutive_runs([index for index in range(first, end) if self.task_states[index] == DONE])
        )
        for index in range(first, end):
            assignment = self.placed.get(index)
            if assignment is not None:
                chunk.placed[index] = StoredAttempt(
                    assignment.attempt, assignment.machine, assignment.incarnation
                )
            elif index in self.attempts and self.task_states[index] != DONE:
                chunk.tried[index] = self.attempts[index]
        return chunk if chunk.done or chunk.placed or chunk.tried else None


class ChainMember(NamedTuple):
    """What an open job brings into its pipelines."""

    rank: int
    deadline: timedelta | None
    team: str
    estimate: timedelta


@dataclass(slots=True, eq=False)
class Machine:
    name: str
    address: str
    type: str
    zone: str
    spot: bool
    incarnation: int = 0
    sequence: int = -1
    # Whether a report of this session has come under this leader's token.
    acknowledged_token: bool = False
    last_heartbeat_at: timedelta | None = None
    # When it last reported by itself, which alone renews its lease; first, when it came to be known.
    last_own_heartbeat_at: timedelta | None = None
    # When a sibling that cannot reach this leader last said, through the store, that it renews its lease.
    renewed_by_peer_at: timedelta | None = None
    # When a message straight to it last went unanswered since it was heard.
    unanswered_since: timedelta | None = None
    # Since when there is reason to think that it does not hear: its reports come, but what is sent to it
    # does not arrive.
    unreachable_since: timedelta | None = None
    # When a message of this leader last reached it, and when one last went unanswered.
    last_command_answered_at: timedelta | None = None
    last_command_unanswered_at: timedelta | None = None
    # When a report of this session was last answered.
    last_response_at: timedelta | None = None
    # The tasks of its latest report.
    tasks: list[TaskStatus] = field(default_factory=list)
    idle_since: timedelta | None = None
    # When the cloud takes it away.
    terminates_at: timedelta | None = None
    quarantined: bool = False
    # Being given back: nothing may be placed any more.
    terminating: bool = False
    refuses_starts_until: timedelta = timedelta(0)
    placed: dict[tuple[str, int], Attempt] = field(default_factory=dict)
    exited: dict[tuple[str, int], ExitedAttempt] = field(default_factory=dict)
    # Attempts whose start was sent straight here and never answered: it may still land, so they are never
    # cleared in this session, nor taken as over for being absent. Value: when it was sent.
    unacknowledged_starts: dict[tuple[str, int], timedelta] = field(default_factory=dict)
    unexpected_attempts: dict[tuple[str, int], str] = field(default_factory=dict)
    failed_jobs: set[str] = field(default_factory=set)
    images: OrderedDict[str, float] = field(default_factory=OrderedDict)
    reserved_capacity: dict[str, tuple[int, timedelta]] = field(default_factory=dict)
    command_in_flight: bool = False
    # The tasks of the latest report, if they are all as booked and nothing is to be ordered; else None.
    reconciled_tasks: list[TaskStatus] | None = None
    # As planning sees it, until something here changes.
    planning_view: MachineView | None = None

    def unacknowledged_starts_of_cancelled_jobs(self) -> list[timedelta]:
        """When those starts were sent that went straight here, were never answered, and may still bring a
        task of an aborted job."""
        if not self.unacknowledged_starts:
            return []
        return [
            self.unacknowledged_starts[key]
            for assignment in self.placed.values()
            if assignment.job.cancelled
            and not assignment.is_confirmed
            and (key := (assignment.task, assignment.attempt)) in self.unacknowledged_starts
        ]


class MachineTypeCapacity(NamedTuple):
    cpus: float
    gpus: float
    memory: float
    cache_gb: float
    pull_gb_per_s: float


class TaskRangeWrite(NamedTuple):
    """The value of one piece, to be recorded."""

    job: str
    # Condition on the job's record; None: none.
    job_mod_revision: int | None
    first_task: int
    version: int
    key: str
    # None: nothing is left, and the key is removed. That of a part never is while its job is in memory.
    value: msgspec.Raw | None
    # A key whose mark is a condition as well; None: none.
    required_key: str | None = None


@dataclass(slots=True)
class WriteBatch:
    """What one transaction shall record."""

    # In this order: a piece comes after the parts to its right that are not in the store yet.
    ranges: list[TaskRangeWrite] = field(default_factory=list)
    # Jobs all of whose tasks are done.
    done: list[tuple[str, int, JobRecord]] = field(default_factory=list)
    # Chunks to remove, and the jobs that are over with them.
    removed: list[tuple[str, str]] = field(default_factory=list)
    finished_jobs: dict[str, None] = field(default_factory=dict)

    @property
    def size(self) -> int:
        return len(self.ranges) + len(self.done) + len(self.removed)


class StaleTokenError(Exception):
    """A worker has seen a higher token than this leader's."""

    def __init__(self, token: int) -> None:
        super().__init__(f"token {token}")
        self.token = token
