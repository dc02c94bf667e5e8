"""The parts of the leader's cluster state: jobs, attempts of their tasks, machines, and one write's batch."""

from collections import OrderedDict
from dataclasses import dataclass, field
from datetime import timedelta
from typing import NamedTuple

import msgspec

from spindleglade.backfill.snapshot import MachineView
from spindleglade.submissions.messages import RANK, Submission
from spindleglade.submissions.pieces import Pieces
from spindleglade.submissions.records import Chunk, JobRecord, Placement, runs
from spindleglade.workers.messages import TaskReport, task_name

ZERO = timedelta(0)
WAITING, PLACED, DONE = 0, 1, 2
_WAITING_BYTE = bytes([WAITING])
FOREVER = 1 << 62
# Orders in one message: a line may not be longer than 64 KiB, and a task's name may take a hundred bytes.
MOST_ORDERS = 400


def estimate(spec: Submission) -> timedelta:
    # Standing tasks run until they are aborted.
    return timedelta(days=7) if spec.estimate_s is None else timedelta(seconds=spec.estimate_s)


def slack(spec: Submission) -> float:
    """How long a task that is stopped may take to save; one that cannot save gets none."""
    return spec.save_s + 1.0 if spec.checkpoint_s > 0 else 0.0


class Rules(NamedTuple):
    lease: timedelta
    report: timedelta
    faulty_jobs: int
    backoff: timedelta
    backoff_most: timedelta
    # How long a job may go without a start before it is overdue.
    patience: timedelta = timedelta(seconds=60)


@dataclass(slots=True, eq=False)
class Assignment:
    """One attempt of a task on a machine, from its placing until it is proven over."""

    job: "Job"
    index: int
    attempt: int
    machine: str
    session: int
    # The chunk version that must be committed before the start may be sent.
    version: int
    placed_at: timedelta
    seen: bool = False
    stage: str = "pulling"
    # First seen running; None while it fetches, or if it ran already when this leader came.
    since: timedelta | None = None
    # Starts sent straight to the machine and not answered yet.
    sending: int = 0
    # Tally of the report whose answer carried the start, until a later report shows what came of it; and how
    # often that was nothing.
    answered: int | None = None
    lost: int = 0
    # Read from the store: whether its start was sent, and by which way, is not known.
    loaded: bool = False
    # A start of it went straight to the machine: a copy of that message may come again.
    direct: bool = False
    # It was started because its job was overdue.
    owed: bool = False
    # Why it is to stop, and with how much time to save.
    stop: str | None = None
    slack: float = 0.0
    over: bool = False

    task: str = ""

    def __post_init__(self) -> None:
        self.task = task_name(self.job.id, self.index)

    @property
    def recorded(self) -> bool:
        return self.job.committed(self.index) >= self.version


@dataclass(slots=True, eq=False)
class ExitedAttempt:
    """An exited attempt that the worker still reports; cleared once its end is recorded."""

    job: "Job | None"
    index: int
    version: int
    # Never cleared in this session: a late copy of its start would run it again, beside a newer attempt or
    # after its job was cancelled. One that is done only says so once more.
    kept: bool = False

    @property
    def recorded(self) -> bool:
        return self.job is None or self.job.committed(self.index) >= self.version


class Job:
    __slots__ = (
        "accepted",
        "aborted",
        "attempts",
        "awaited",
        "avoid",
        "backoff",
        "chunk",
        "committed_versions",
        "deadline",
        "done",
        "failed_on",
        "finished",
        "hungry",
        "id",
        "latest_start",
        "mark",
        "not_before",
        "order",
        "pieces",
        "placed",
        "rank",
        "released",
        "spec",
        "state",
        "types",
        "versions",
    )

    def __init__(self, record: JobRecord, mark: int) -> None:
        self.spec = record.spec
        self.id = record.spec.id
        self.chunk = record.chunk
        self.accepted = record.accepted
        # Submission order is the order in which the store took the records.
        self.order = mark
        self.mark = mark
        self.rank = RANK[record.spec.priority]
        self.types = None if record.spec.types is None else frozenset(record.spec.types)
        # Which value of the store speaks for which tasks; versions are by the first task of each.
        self.pieces = Pieces(record.chunk, record.spec.tasks)
        self.state = bytearray(record.spec.tasks)
        self.attempts: dict[int, int] = {}
        self.placed: dict[int, Assignment] = {}
        self.done = 0
        self.aborted = record.stage == "aborted"
        # The record says done or aborted; nothing more will be placed.
        self.finished = record.stage == "done"
        self.versions: dict[int, int] = {}
        self.committed_versions: dict[int, int] = {}
        self.not_before = timedelta(0)
        self.backoff = timedelta(0)
        self.avoid: set[str] = set()
        self.failed_on: set[str] = set()
        # All its dependencies are done. Until then it is no candidate and waits for nothing but them.
        self.released = not record.has_dependencies
        # Other jobs wait for its end.
        self.awaited = False
        # When it should be done, by its own deadline.
        self.deadline: timedelta | None = None
        # When it should start so that the jobs that need it can meet theirs.
        self.latest_start: timedelta | None = None
        # Since when it has had no start.
        self.hungry = timedelta(0)

    @property
    def open(self) -> bool:
        return not self.aborted and not self.finished

    @property
    def complete(self) -> bool:
        return self.done == len(self.state)

    def version(self, index: int) -> int:
        """The latest version of the piece that speaks for the task."""
        return self.versions.get(self.pieces.start(index), 0)

    def committed(self, index: int) -> int:
        return self.committed_versions.get(self.pieces.start(index), 0)

    def split(self, start: int, width: int) -> list[int]:
        """Splits a piece into ones of that many tasks at most; the first tasks of all of them. What of it is
        committed stays so: the value in the store speaks for these tasks until their parts are there."""
        firsts = self.pieces.cuts(start, width)
        for first in firsts:
            self.pieces.add(first)
            self.versions[first] = self.versions.get(start, 0)
            self.committed_versions[first] = self.committed_versions.get(start, 0)
        return [start, *firsts]

    def waiting(self, most: int) -> list[int]:
        found: list[int] = []
        at = self.state.find(_WAITING_BYTE)
        while at >= 0 and len(found) < most:
            found.append(at)
            at = self.state.find(_WAITING_BYTE, at + 1)
        return found

    def encode(self, first: int) -> Chunk | None:
        """The piece as it stands, by its first task; None if there is nothing to say."""
        end = self.pieces.end(first)
        chunk = Chunk(done=runs([index for index in range(first, end) if self.state[index] == DONE]))
        for index in range(first, end):
            assignment = self.placed.get(index)
            if assignment is not None:
                chunk.placed[index] = Placement(assignment.attempt, assignment.machine, assignment.session)
            elif index in self.attempts and self.state[index] != DONE:
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
    session: int = 0
    tally: int = -1
    # Whether a report of this session has come under this leader's token.
    proven: bool = False
    heard: timedelta | None = None
    # When it last reported by itself, which alone renews its lease; first, when it came to be known.
    reported: timedelta | None = None
    # When a sibling that cannot reach this leader last said, through the store, that it renews its lease.
    vouched: timedelta | None = None
    # When a message straight to it last went unanswered since it was heard.
    unanswered_since: timedelta | None = None
    # Since when there is reason to think that it does not hear: its reports come, but what is sent to it
    # does not arrive.
    not_receiving: timedelta | None = None
    # When a message of this leader last reached it, and when one last went unanswered.
    reached: timedelta | None = None
    unreached: timedelta | None = None
    # When a report of this session was last answered.
    answered: timedelta | None = None
    # The tasks of its latest report.
    tasks: list[TaskReport] = field(default_factory=list)
    idle_since: timedelta | None = None
    # When the cloud takes it away.
    leaves: timedelta | None = None
    condemned: bool = False
    # Being given back: nothing may be placed any more.
    releasing: bool = False
    full_until: timedelta = timedelta(0)
    placed: dict[tuple[str, int], Assignment] = field(default_factory=dict)
    exited: dict[tuple[str, int], ExitedAttempt] = field(default_factory=dict)
    # Attempts whose start was sent straight here and never answered: it may still land, so they are never
    # cleared in this session, nor taken as over for being absent. Value: when it was sent.
    unsure: dict[tuple[str, int], timedelta] = field(default_factory=dict)
    strays: dict[tuple[str, int], str] = field(default_factory=dict)
    errors: set[str] = field(default_factory=set)
    images: OrderedDict[str, float] = field(default_factory=OrderedDict)
    claims: dict[str, tuple[int, timedelta]] = field(default_factory=dict)
    sending: bool = False
    # The tasks of the latest report, if they are all as booked and nothing is to be ordered; else None.
    steady: list[TaskReport] | None = None
    # As planning sees it, until something here changes.
    view: MachineView | None = None

    def unsure_of_aborted(self) -> list[timedelta]:
        """When those starts were sent that went straight here, were never answered, and may still bring a
        task of an aborted job."""
        if not self.unsure:
            return []
        return [
            self.unsure[key]
            for assignment in self.placed.values()
            if assignment.job.aborted
            and not assignment.seen
            and (key := (assignment.task, assignment.attempt)) in self.unsure
        ]


class MachineKind(NamedTuple):
    cpus: float
    gpus: float
    memory: float
    cache_gb: float
    pull_gb_per_s: float


class PieceWrite(NamedTuple):
    """The value of one piece, to be recorded."""

    job: str
    # Condition on the job's record; None: none.
    job_mark: int | None
    first: int
    version: int
    key: str
    # None: nothing is left, and the key is removed. That of a part never is while its job is in memory.
    value: msgspec.Raw | None
    # A key whose mark is a condition as well; None: none.
    depends: str | None = None


@dataclass(slots=True)
class Batch:
    """What one transaction shall record."""

    # In this order: a piece comes after the parts to its right that are not in the store yet.
    chunks: list[PieceWrite] = field(default_factory=list)
    # Jobs all of whose tasks are done.
    done: list[tuple[str, int, JobRecord]] = field(default_factory=list)
    # Chunks to remove, and the jobs that are over with them.
    removed: list[tuple[str, str]] = field(default_factory=list)
    over: dict[str, None] = field(default_factory=dict)

    @property
    def size(self) -> int:
        return len(self.chunks) + len(self.done) + len(self.removed)


class Deposed(Exception):
    """A worker has seen a higher token than this leader's."""

    def __init__(self, token: int) -> None:
        super().__init__(f"token {token}")
        self.token = token
