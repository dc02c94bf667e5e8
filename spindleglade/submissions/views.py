"""What a node knows of all jobs, to answer their users and to judge where tasks of aborted jobs may be."""

from bisect import bisect_right, insort
from collections.abc import Callable
from datetime import datetime

import msgspec

from spindleglade.submissions.dependencies import DependencyGraph, DependencyOutcome
from spindleglade.submissions.dependency_lists import DependencyLists
from spindleglade.submissions.records import (
    DEPENDENCIES,
    JOBS,
    OVERFLOW_RANGES,
    TASK_RANGES,
    JobRecord,
    TaskRangeRecord,
    split_dependency_key,
    split_overflow_range_key,
    split_range_key,
)
from spindleglade.submissions.task_ranges import TaskRanges


class JobView(msgspec.Struct):
    """What a node knows of a job to answer its user."""

    record: JobRecord
    # Which value speaks for which tasks.
    ranges: TaskRanges
    # The values by their first tasks, whole: how much of one is to be believed depends on the parts.
    range_records: dict[int, TaskRangeRecord] = {}
    # An ancestor is aborted, so this job is too, whatever its own record says.
    cancelled: bool = False

    @property
    def is_final(self) -> bool:
        """Whether the stage can never change again."""
        return self.record.state != "open" or self.cancelled

    @property
    def state(self) -> str:
        if self.record.state != "open":
            return self.record.state
        if self.cancelled:
            return "aborted"
        return "running" if self.running else "pending"

    @property
    def running(self) -> int:
        if self.record.state != "open":
            return 0
        return sum(len(chunk.placed) for chunk in self.effective_ranges())

    @property
    def done_count(self) -> int:
        if self.record.state == "open":
            return sum(chunk.count_done() for chunk in self.effective_ranges())
        return self.record.spec.tasks if self.record.state == "done" else 0

    def effective_ranges(self) -> list[TaskRangeRecord]:
        """What the values say, without what is stale because a part speaks for it."""
        found = []
        for first, chunk in self.range_records.items():
            end = self.ranges.end(first)
            # Only what was split holds anything stale.
            found.append(chunk.restricted_to(first, end) if self.ranges.is_overflow(end) else chunk)
        return found

    def apply_range(self, key: str, chunk: TaskRangeRecord | None) -> None:
        """A value as it is now; None: it was removed."""
        if key.startswith(OVERFLOW_RANGES):
            _, first = split_overflow_range_key(key)
            if chunk is None:
                self.ranges.remove(first)
            else:
                self.ranges.add(first)
        else:
            first = split_range_key(key)[1] * self.record.range_size
        if chunk is None:
            self.range_records.pop(first, None)
        else:
            self.range_records[first] = chunk


# Aborts that one message between siblings tells of.
MAX_CANCELLATIONS_PER_MESSAGE = 2000


class JobViews:
    """All jobs as the replica shows them. Filled by the replica's changes, on the reactor's thread."""

    def __init__(self) -> None:
        self.jobs: dict[str, JobView] = {}
        # Values of jobs not known yet, by their keys: a listing reads the jobs before the chunks, and one
        # accepted in between shows its chunks first. They are not told again.
        self.ranges_before_job: dict[str, dict[str, TaskRangeRecord]] = {}
        # Every abort known, by the mark of its record.
        self._cancellations: list[tuple[int, str]] = []
        # Aborted jobs whose tasks are not all on record as over yet, and where those may be.
        self._cancelled_with_tasks: set[str] = set()
        self._cancelled_placements: set[tuple[str, int]] | None = set()
        self.graph = DependencyGraph()
        self.dependency_lists = DependencyLists()
        self._subscribers: list[Callable[[str], None]] = []

    def subscribe(self, observer: Callable[[str], None]) -> None:
        """`observer` is told each job that is released, cancelled through an ancestor, or newly awaited."""
        self._subscribers.append(observer)

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

    def cancellations_since(self, revision: int) -> list[tuple[str, int]] | None:
        """The jobs known to be aborted, and the marks of their records, by changes after that revision; None
        if they are too many to tell."""
        first = bisect_right(self._cancellations, (revision, "\U0010ffff"))
        if len(self._cancellations) - first > MAX_CANCELLATIONS_PER_MESSAGE:
            return None
        return [(job, mod_revision) for mod_revision, job in self._cancellations[first:]]

    def may_run_cancelled_task(self, machine: str, incarnation: int) -> bool:
        """Whether a task of an aborted job is on record as placed there: it may run, or its start may still
        be under way."""
        if self._cancelled_placements is None:
            self._cancelled_placements = {
                (place.machine, place.incarnation)
                for job in self._cancelled_with_tasks
                for chunk in self.jobs[job].effective_ranges()
                for place in chunk.placed.values()
            }
        return (machine, incarnation) in self._cancelled_placements

    def on_change(self, key: str, value: bytes | None, mod_revision: int) -> None:
        if key.startswith(JOBS):
            if value is not None:
                self._apply_record(msgspec.json.decode(value, type=JobRecord), mod_revision)
        elif key.startswith(DEPENDENCIES):
            if value is not None:
                self._add_dependency_list(key, msgspec.json.decode(value, type=list[str]))
        elif key.startswith((TASK_RANGES, OVERFLOW_RANGES)):
            chunk = None
            if value is not None:
                chunk = msgspec.json.decode(value, type=TaskRangeRecord)
                # Nobody asks here how often a task was tried.
                chunk.tried = {}
            self._apply_range(key, chunk)

    def _apply_record(self, record: JobRecord, mod_revision: int) -> None:
        job = record.spec.id
        view = self.jobs.get(job)
        if view is None:
            view = self.jobs[job] = JobView(record, TaskRanges(record.range_size, record.spec.tasks))
            for key, chunk in self.ranges_before_job.pop(job, {}).items():
                view.apply_range(key, chunk)
            self._read_dependencies(record)
        view.record = record
        if view.is_final:
            self._forget_dependencies(view)
        self._notify(self.graph.observe(job, DependencyOutcome(record.state)))
        if record.state == "done":
            view.range_records = {}
        elif record.state == "aborted":
            insort(self._cancellations, (mod_revision, job))
            self._note_remaining_tasks(job, view)

    def _apply_range(self, key: str, chunk: TaskRangeRecord | None) -> None:
        job = key.split("/")[2]
        view = self.jobs.get(job)
        if view is None:
            self._keep_range_of_unknown_job(job, key, chunk)
        elif view.record.state != "done":
            view.apply_range(key, chunk)
            if view.record.state == "aborted":
                self._note_remaining_tasks(job, view)

    def _keep_range_of_unknown_job(self, job: str, key: str, chunk: TaskRangeRecord | None) -> None:
        chunks = self.ranges_before_job.setdefault(job, {})
        if chunk is None:
            chunks.pop(key, None)
        else:
            chunks[key] = chunk
        if not chunks:
            del self.ranges_before_job[job]

    def _add_dependency_list(self, key: str, dependencies: list[str]) -> None:
        job, _ = split_dependency_key(key)
        view = self.jobs.get(job)
        if view is not None and view.is_final:
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
        if record.state != "open" or not record.has_dependencies:
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
            for observer in self._subscribers:
                observer(job)

    def _note_remaining_tasks(self, job: str, view: JobView) -> None:
        self._cancelled_placements = None
        if any(chunk.placed for chunk in view.effective_ranges()):
            self._cancelled_with_tasks.add(job)
        else:
            # The boundaries stay: a chunk that is told after its parts may hold what is stale.
            view.range_records = {}
            self._cancelled_with_tasks.discard(job)
