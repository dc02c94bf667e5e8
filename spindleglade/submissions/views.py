"""What a node knows of all jobs, to answer their users and to judge where tasks of aborted jobs may be."""

from bisect import bisect_right, insort
from typing import NamedTuple

import msgspec

from spindleglade.submissions.records import JOBS, TASKS, Chunk, JobRecord, split_chunk_key


class ChunkView(NamedTuple):
    """Tasks done, and the machines and their sessions that may have a task."""

    done: int
    placed: list[tuple[str, int]]


class JobView(msgspec.Struct):
    """What a node knows of a job to answer its user."""

    record: JobRecord
    chunks: dict[int, ChunkView] = {}

    @property
    def stage(self) -> str:
        if self.record.stage != "open":
            return self.record.stage
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
            view.record = record
            if record.stage == "done":
                view.chunks = {}
            elif record.stage == "aborted":
                insort(self._aborts, (mark, job))
                self._note_remaining_tasks(job, view)
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

    def _note_remaining_tasks(self, job: str, view: JobView) -> None:
        self._aborted_places = None
        if any(chunk.placed for chunk in view.chunks.values()):
            self._aborted_with_tasks.add(job)
        else:
            view.chunks = {}
            self._aborted_with_tasks.discard(job)
