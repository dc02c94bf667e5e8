"""The job record and the task chunks, as they are kept in the state service.

A job is one key; its `stage` there is the last word: `open`, `aborted` or `done`. The states of its tasks lie
in chunks, one key each, written by the leader only. A task that no chunk speaks of has never been tried.
"""

from bisect import bisect_right, insort
from collections.abc import Callable
from datetime import datetime
from typing import Literal, NamedTuple

import msgspec

from spindleglade.submissions.dependencies import DependencyGraph, Outcome
from spindleglade.submissions.messages import Submission

PREFIX = "sg/"
JOBS = PREFIX + "job/"
TASKS = PREFIX + "task/"
# Dependencies of a job that do not fit its record. Written with the record, never changed or removed.
DEPENDENCIES = PREFIX + "dependencies/"
TYPES = PREFIX + "types"
HISTORY = PREFIX + "history/"
VOUCHED = PREFIX + "vouched/"


class JobRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as the state service keeps it. Versions before dependencies ignore the fields added since, and
    drop them when they record an end; nothing reads them after that."""

    stage: Literal["open", "aborted", "done"]
    spec: Submission
    # Tasks in a chunk; fixed when the job is accepted, so that later settings cannot shift them.
    chunk: int
    # When it was accepted, by the accepting node's time of day.
    accepted: datetime | None = None
    # Jobs that must be done before any task of this one starts; only while the job is open.
    dependencies: list[str] = []
    # How many further keys hold the rest of the dependencies.
    dependency_keys: int = 0
    # When all tasks were known to be done, by the leader's time of day.
    finished: datetime | None = None

    @property
    def has_dependencies(self) -> bool:
        return bool(self.dependencies) or self.dependency_keys > 0


class Placement(msgspec.Struct, frozen=True, array_like=True):
    """A task that may be on a machine."""

    attempt: int
    machine: str
    session: int


class Chunk(msgspec.Struct, omit_defaults=True):
    # Tasks done, as first and last of each run of numbers; short even where all are done.
    done: list[tuple[int, int]] = []
    # Task number to where it may be.
    placed: dict[int, Placement] = {}
    # Highest attempt given so far, for tasks that wait for another.
    tried: dict[int, int] = {}

    def count_done(self) -> int:
        return sum(last - first + 1 for first, last in self.done)


def job_key(job: str) -> str:
    return JOBS + job


def chunk_key(job: str, chunk: int) -> str:
    return f"{TASKS}{job}/{chunk:06d}"


def dependency_key(job: str, number: int) -> str:
    return f"{DEPENDENCIES}{job}/{number:06d}"


def split_dependency_key(key: str) -> tuple[str, int]:
    """The job and the number of a key that holds further dependencies."""
    job, _, number = key[len(DEPENDENCIES) :].rpartition("/")
    return job, int(number)


def split_chunk_key(key: str) -> tuple[str, int]:
    job, _, chunk = key[len(TASKS) :].rpartition("/")
    return job, int(chunk)


def chunk_size(value_bytes: int) -> int:
    """Tasks per chunk such that the longest form, every task placed, fits into one value."""
    longest = len('"99999":[4294967296,"n-0000000000000000",4294967296],') + 8
    return max(1, min(256, value_bytes // longest))


def runs(numbers: list[int]) -> list[tuple[int, int]]:
    """Sorted numbers as runs of consecutive ones."""
    found: list[tuple[int, int]] = []
    for number in numbers:
        if found and number == found[-1][1] + 1:
            found[-1] = (found[-1][0], number)
        else:
            found.append((number, number))
    return found


class ChunkView(NamedTuple):
    """Tasks done, and the machines and their sessions that may have a task."""

    done: int
    placed: list[tuple[str, int]]


class JobView(msgspec.Struct):
    """What a node knows of a job to answer its user."""

    record: JobRecord
    chunks: dict[int, ChunkView] = {}
    # An ancestor is aborted, so this job is too, whatever its own record says.
    cancelled: bool = False

    @property
    def final(self) -> bool:
        """Whether the stage can never change again."""
        return self.record.stage != "open" or self.cancelled

    @property
    def stage(self) -> str:
        if self.record.stage != "open":
            return self.record.stage
        if self.cancelled:
            return "aborted"
        return "running" if self.running else "pending"

    @property
    def running(self) -> int:
        return sum(len(chunk.placed) for chunk in self.chunks.values()) if self.record.stage == "open" else 0

    @property
    def done_count(self) -> int:
        if self.record.stage == "open":
            return sum(chunk.done for chunk in self.chunks.values())
        return self.record.spec.tasks if self.record.stage == "done" else 0


# Aborts that one message between siblings tells of.
MOST_ABORTS = 2000


class JobViews:
    """All jobs as the replica shows them. Filled by the replica's changes, on the reactor's thread."""

    def __init__(self) -> None:
        self.jobs: dict[str, JobView] = {}
        # Chunks of jobs not known yet: a listing reads the jobs before the chunks, and one accepted in
        # between shows its chunks first. They are not told again.
        self.chunks_before_job: dict[str, dict[int, ChunkView]] = {}
        # Every abort known, by the mark of its record.
        self._aborts: list[tuple[int, str]] = []
        # Aborted jobs whose tasks are not all on record as over yet, and where those may be.
        self._aborted_with_tasks: set[str] = set()
        self._aborted_places: set[tuple[str, int]] | None = set()
        self.graph = DependencyGraph()
        # Lists of dependencies read from keys of their own, until all of a job's are there.
        self._dependency_lists: dict[str, dict[int, list[str]]] = {}
        self._observers: list[Callable[[str], None]] = []

    def subscribe(self, observer: Callable[[str], None]) -> None:
        """`observer` is told each job that is released, cancelled through an ancestor, or newly awaited."""
        self._observers.append(observer)

    def released_at(self, job: str) -> datetime | None:
        """When the last of the job's dependencies ended, or the job was accepted if that was later; None if
        that is not on record."""
        record = self.jobs[job].record
        times = [record.accepted]
        for name in self._dependencies_of(record):
            dependency = self.jobs.get(name)
            if dependency is not None:
                times.append(dependency.record.finished)
        return max((at for at in times if at is not None), default=None)

    def aborts_since(self, turn: int) -> list[tuple[str, int]] | None:
        """The jobs known to be aborted, and the marks of their records, by changes after that revision; None
        if they are too many to tell."""
        first = bisect_right(self._aborts, (turn, "\U0010ffff"))
        if len(self._aborts) - first > MOST_ABORTS:
            return None
        return [(job, mark) for mark, job in self._aborts[first:]]

    def may_get_aborted(self, machine: str, session: int) -> bool:
        """Whether a task of an aborted job is on record as placed there: it may run, or its start may still
        be under way."""
        if self._aborted_places is None:
            self._aborted_places = {
                where
                for job in self._aborted_with_tasks
                for chunk in self.jobs[job].chunks.values()
                for where in chunk.placed
            }
        return (machine, session) in self._aborted_places

    def listener(self, key: str, value: bytes | None, mark: int) -> None:
        if key.startswith(JOBS):
            if value is None:
                return
            record = msgspec.json.decode(value, type=JobRecord)
            job = record.spec.id
            view = self.jobs.get(job)
            if view is None:
                view = self.jobs[job] = JobView(record, self.chunks_before_job.pop(job, {}))
                self._read_dependencies(record)
            view.record = record
            self._notify(self.graph.observe(job, Outcome(record.stage)))
            if record.stage == "done":
                view.chunks = {}
            elif record.stage == "aborted":
                insort(self._aborts, (mark, job))
                self._note_remaining_tasks(job, view)
        elif key.startswith(DEPENDENCIES):
            if value is not None:
                self._add_dependency_list(key, msgspec.json.decode(value, type=list[str]))
        elif key.startswith(TASKS):
            job, number = split_chunk_key(key)
            view = self.jobs.get(job)
            if view is not None and view.record.stage == "done":
                return
            chunks = self.chunks_before_job.setdefault(job, {}) if view is None else view.chunks
            if value is None:
                chunks.pop(number, None)
            else:
                chunk = msgspec.json.decode(value, type=Chunk)
                placed = [(place.machine, place.session) for place in chunk.placed.values()]
                chunks[number] = ChunkView(chunk.count_done(), placed)
            if view is None:
                if not chunks:
                    del self.chunks_before_job[job]
            elif view.record.stage == "aborted":
                self._note_remaining_tasks(job, view)

    def _dependencies_of(self, record: JobRecord) -> list[str]:
        lists = self._dependency_lists.get(record.spec.id, {})
        return record.dependencies + [name for number in sorted(lists) for name in lists[number]]

    def _add_dependency_list(self, key: str, dependencies: list[str]) -> None:
        job, number = split_dependency_key(key)
        self._dependency_lists.setdefault(job, {})[number] = dependencies
        view = self.jobs.get(job)
        if view is not None:
            self._read_dependencies(view.record)

    def _read_dependencies(self, record: JobRecord) -> None:
        """Adds an open job to the graph once all its dependencies are known. They are written in one
        transaction, but a listing may show the record without the other keys."""
        job = record.spec.id
        if record.stage != "open" or not record.has_dependencies:
            return
        if len(self._dependency_lists.get(job, ())) < record.dependency_keys:
            self.graph.hold(job)
            return
        self._notify(self.graph.add(job, self._dependencies_of(record)))

    def _notify(self, jobs: set[str]) -> None:
        for job in sorted(jobs):
            view = self.jobs.get(job)
            if view is not None:
                view.cancelled = self.graph.is_cancelled(job)
            for observer in self._observers:
                observer(job)

    def _note_remaining_tasks(self, job: str, view: JobView) -> None:
        self._aborted_places = None
        if any(chunk.placed for chunk in view.chunks.values()):
            self._aborted_with_tasks.add(job)
        else:
            view.chunks = {}
            self._aborted_with_tasks.discard(job)
