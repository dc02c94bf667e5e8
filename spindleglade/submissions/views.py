"""What a node knows of all jobs, to answer their users and to judge where tasks of aborted jobs may be."""

from bisect import bisect_right, insort
from collections.abc import Callable
from datetime import datetime

import msgspec

from spindleglade.submissions.dependencies import DependencyGraph, Outcome
from spindleglade.submissions.dependency_lists import DependencyLists
from spindleglade.submissions.pieces import Pieces
from spindleglade.submissions.records import (
    DEPENDENCIES,
    JOBS,
    PARTS,
    TASKS,
    Chunk,
    JobRecord,
    split_chunk_key,
    split_dependency_key,
    split_part_key,
)


class JobView(msgspec.Struct):
    """What a node knows of a job to answer its user."""

    record: JobRecord
    # Which value speaks for which tasks.
    pieces: Pieces
    # The values by their first tasks, whole: how much of one is to be believed depends on the parts.
    values: dict[int, Chunk] = {}
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
        if self.record.stage != "open":
            return 0
        return sum(len(chunk.placed) for chunk in self.believed())

    @property
    def done_count(self) -> int:
        if self.record.stage == "open":
            return sum(chunk.count_done() for chunk in self.believed())
        return self.record.spec.tasks if self.record.stage == "done" else 0

    def believed(self) -> list[Chunk]:
        """What the values say, without what is stale because a part speaks for it."""
        found = []
        for first, chunk in self.values.items():
            end = self.pieces.end(first)
            # Only what was split holds anything stale.
            found.append(chunk.clipped(first, end) if self.pieces.is_part(end) else chunk)
        return found

    def take(self, key: str, chunk: Chunk | None) -> None:
        """A value as it is now; None: it was removed."""
        if key.startswith(PARTS):
            _, first = split_part_key(key)
            if chunk is None:
                self.pieces.remove(first)
            else:
                self.pieces.add(first)
        else:
            first = split_chunk_key(key)[1] * self.record.chunk
        if chunk is None:
            self.values.pop(first, None)
        else:
            self.values[first] = chunk


# Aborts that one message between siblings tells of.
MOST_ABORTS = 2000


class JobViews:
    """All jobs as the replica shows them. Filled by the replica's changes, on the reactor's thread."""

    def __init__(self) -> None:
        self.jobs: dict[str, JobView] = {}
        # Values of jobs not known yet, by their keys: a listing reads the jobs before the chunks, and one
        # accepted in between shows its chunks first. They are not told again.
        self.chunks_before_job: dict[str, dict[str, Chunk]] = {}
        # Every abort known, by the mark of its record.
        self._aborts: list[tuple[int, str]] = []
        # Aborted jobs whose tasks are not all on record as over yet, and where those may be.
        self._aborted_with_tasks: set[str] = set()
        self._aborted_places: set[tuple[str, int]] | None = set()
        self.graph = DependencyGraph()
        self.dependency_lists = DependencyLists()
        self._observers: list[Callable[[str], None]] = []

    def subscribe(self, observer: Callable[[str], None]) -> None:
        """`observer` is told each job that is released, cancelled through an ancestor, or newly awaited."""
        self._observers.append(observer)

    def released_at(self, job: str) -> datetime | None:
        """When the last of the job's dependencies ended, or the job was accepted if that was later; None if
        that is not on record."""
        record = self.jobs[job].record
        times = [record.accepted]
        for name in self.dependency_lists.dependencies(record):
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
                (place.machine, place.session)
                for job in self._aborted_with_tasks
                for chunk in self.jobs[job].believed()
                for place in chunk.placed.values()
            }
        return (machine, session) in self._aborted_places

    def listener(self, key: str, value: bytes | None, mark: int) -> None:
        if key.startswith(JOBS):
            if value is not None:
                self._take_record(msgspec.json.decode(value, type=JobRecord), mark)
        elif key.startswith(DEPENDENCIES):
            if value is not None:
                self._add_dependency_list(key, msgspec.json.decode(value, type=list[str]))
        elif key.startswith((TASKS, PARTS)):
            chunk = None
            if value is not None:
                chunk = msgspec.json.decode(value, type=Chunk)
                # Nobody asks here how often a task was tried.
                chunk.tried = {}
            self._take_value(key, chunk)

    def _take_record(self, record: JobRecord, mark: int) -> None:
        job = record.spec.id
        view = self.jobs.get(job)
        if view is None:
            view = self.jobs[job] = JobView(record, Pieces(record.chunk, record.spec.tasks))
            for key, chunk in self.chunks_before_job.pop(job, {}).items():
                view.take(key, chunk)
            self._read_dependencies(record)
        view.record = record
        if view.final:
            self._forget_dependencies(view)
        self._notify(self.graph.observe(job, Outcome(record.stage)))
        if record.stage == "done":
            view.values = {}
        elif record.stage == "aborted":
            insort(self._aborts, (mark, job))
            self._note_remaining_tasks(job, view)

    def _take_value(self, key: str, chunk: Chunk | None) -> None:
        job = key.split("/")[2]
        view = self.jobs.get(job)
        if view is None:
            self._take_early(job, key, chunk)
        elif view.record.stage != "done":
            view.take(key, chunk)
            if view.record.stage == "aborted":
                self._note_remaining_tasks(job, view)

    def _take_early(self, job: str, key: str, chunk: Chunk | None) -> None:
        chunks = self.chunks_before_job.setdefault(job, {})
        if chunk is None:
            chunks.pop(key, None)
        else:
            chunks[key] = chunk
        if not chunks:
            del self.chunks_before_job[job]

    def _add_dependency_list(self, key: str, dependencies: list[str]) -> None:
        job, _ = split_dependency_key(key)
        view = self.jobs.get(job)
        if view is not None and view.final:
            return
        self.dependency_lists.add(key, dependencies)
        if view is not None:
            self._read_dependencies(view.record)

    def _forget_dependencies(self, view: JobView) -> None:
        """A job that is over waits for nothing; its list may be long, and stays in the store."""
        if view.record.has_dependencies:
            view.record = msgspec.structs.replace(view.record, dependencies=[], dependency_keys=0)
        self.dependency_lists.forget(view.record.spec.id)

    def _read_dependencies(self, record: JobRecord) -> None:
        """Adds an open job to the graph once all its dependencies are known. They are written in one
        transaction, but a listing may show the record without the other keys."""
        job = record.spec.id
        if record.stage != "open" or not record.has_dependencies:
            return
        if not self.dependency_lists.is_complete(record):
            self.graph.hold(job)
            return
        self._notify(self.graph.add(job, self.dependency_lists.dependencies(record)))

    def _notify(self, jobs: set[str]) -> None:
        for job in sorted(jobs):
            view = self.jobs.get(job)
            if view is not None:
                view.cancelled = self.graph.is_cancelled(job)
                if view.cancelled:
                    self._forget_dependencies(view)
            for observer in self._observers:
                observer(job)

    def _note_remaining_tasks(self, job: str, view: JobView) -> None:
        self._aborted_places = None
        if any(chunk.placed for chunk in view.believed()):
            self._aborted_with_tasks.add(job)
        else:
            # The boundaries stay: a chunk that is told after its parts may hold what is stale.
            view.values = {}
            self._aborted_with_tasks.discard(job)
