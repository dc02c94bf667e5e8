"""The state of all jobs as a controller derives it from the changes of its replica."""

from collections.abc import Callable
from datetime import datetime

import msgspec

from spindleglade.submissions.cancellations import CancellationLog, CancelledPlacements
from spindleglade.submissions.dependencies import DependencyGraph, DependencyOutcome
from spindleglade.submissions.dependency_lists import DependencyLists
from spindleglade.submissions.job_view import JobView
from spindleglade.submissions.records import (
    DEPENDENCY_KEY_PREFIX,
    JOB_KEY_PREFIX,
    OVERFLOW_RANGE_KEY_PREFIX,
    TASK_RANGE_KEY_PREFIX,
    JobRecord,
    JobState,
    TaskRangeRecord,
    split_dependency_key,
)
from spindleglade.submissions.task_ranges import TaskRanges


class JobViews:
    """The views of all jobs in the replica, kept up to date in the reactor's thread."""

    def __init__(self) -> None:
        self.jobs: dict[str, JobView] = {}
        # Task ranges, by job and key, of jobs with no record read yet. A listing reads the job records before
        # the task ranges, so the ranges of a job accepted in between arrive before its record, and only once.
        self.ranges_of_unknown_jobs: dict[str, dict[str, TaskRangeRecord]] = {}
        self.graph = DependencyGraph()
        self.dependency_lists = DependencyLists()
        self._cancellation_log = CancellationLog()
        self._cancelled_placements = CancelledPlacements()
        self._subscribers: list[Callable[[str], None]] = []

    def subscribe(self, subscriber: Callable[[str], None]) -> None:
        """Registers a callback for changes in the dependency graph.

        It is called with the id of each job that is released, is cancelled through an ancestor, or gains a
        dependent.
        """
        self._subscribers.append(subscriber)

    def released_at(self, job: str) -> datetime | None:
        """The time when the last dependency was done or when the job was accepted, whichever is later.

        None if no such time is recorded.
        """
        record = self.jobs[job].record
        times = [record.accepted_at]
        for name in self.dependency_lists.dependencies(record):
            dependency = self.jobs.get(name)
            if dependency is not None:
                times.append(dependency.record.finished_at)
        return max((time for time in times if time is not None), default=None)

    def cancellations_since(self, revision: int) -> list[tuple[str, int]] | None:
        """The jobs cancelled after `revision`, each with the revision of its cancellation.

        None if they are too many for one message between controllers.
        """
        return self._cancellation_log.since(revision)

    def may_run_cancelled_task(self, machine: str, incarnation: int) -> bool:
        """Whether a task of a cancelled job is recorded as placed on this incarnation of the machine.

        Such a task may be running, or the command that starts it may still be on its way.
        """
        return self._cancelled_placements.may_run_on(machine, incarnation)

    def on_change(self, key: str, value: bytes | None, mod_revision: int) -> None:
        """Applies a change of a key in the replica. `value` is None if the key was removed."""
        if key.startswith(JOB_KEY_PREFIX):
            if value is not None:
                self._apply_job_record(msgspec.json.decode(value, type=JobRecord), mod_revision)
        elif key.startswith(DEPENDENCY_KEY_PREFIX):
            if value is not None:
                self._add_dependency_list(key, msgspec.json.decode(value, type=list[str]))
        elif key.startswith((TASK_RANGE_KEY_PREFIX, OVERFLOW_RANGE_KEY_PREFIX)):
            range_record = None
            if value is not None:
                range_record = msgspec.json.decode(value, type=TaskRangeRecord)
                # Not needed here: only the leader uses attempt numbers, and it reads the records itself.
                range_record.tried = {}
            self._apply_range(key, range_record)

    def _apply_job_record(self, record: JobRecord, mod_revision: int) -> None:
        job = record.spec.id
        view = self.jobs.get(job)
        if view is None:
            view = self._add_job(record)
        view.record = record
        if view.is_final:
            self._drop_dependencies(view)
        self._notify(self.graph.observe(job, DependencyOutcome(record.state)))
        if record.state == JobState.DONE:
            view.range_records = {}
        elif record.state == JobState.CANCELLED:
            self._cancellation_log.add(job, mod_revision)
            self._cancelled_placements.on_job_changed(job, view)

    def _add_job(self, record: JobRecord) -> JobView:
        """Adds a job on its first record, with the task ranges and dependencies that were read before."""
        job = record.spec.id
        view = self.jobs[job] = JobView(record, TaskRanges(record.range_size, record.spec.tasks))
        for key, range_record in self.ranges_of_unknown_jobs.pop(job, {}).items():
            view.apply_range(key, range_record)
        self._add_to_graph(record)
        return view

    def _apply_range(self, key: str, range_record: TaskRangeRecord | None) -> None:
        job = key.split("/")[2]
        view = self.jobs.get(job)
        if view is None:
            self._apply_range_of_unknown_job(job, key, range_record)
        elif view.record.state != JobState.DONE:
            view.apply_range(key, range_record)
            if view.record.state == JobState.CANCELLED:
                self._cancelled_placements.on_job_changed(job, view)

    def _apply_range_of_unknown_job(self, job: str, key: str, range_record: TaskRangeRecord | None) -> None:
        ranges = self.ranges_of_unknown_jobs.setdefault(job, {})
        if range_record is None:
            ranges.pop(key, None)
        else:
            ranges[key] = range_record
        if not ranges:
            del self.ranges_of_unknown_jobs[job]

    def _add_dependency_list(self, key: str, dependencies: list[str]) -> None:
        job, _ = split_dependency_key(key)
        view = self.jobs.get(job)
        if view is not None and view.is_final:
            return
        self.dependency_lists.add(key, dependencies)
        if view is not None:
            self._add_to_graph(view.record)

    def _drop_dependencies(self, view: JobView) -> None:
        """Drops the dependencies of a job in a final state from memory.

        There may be thousands. The lists under keys of their own stay in the store.
        """
        if view.record.has_dependencies:
            view.record = msgspec.structs.replace(view.record, dependencies=[], dependency_keys=0)
        self.dependency_lists.forget(view.record.spec.id)

    def _add_to_graph(self, record: JobRecord) -> None:
        """Adds an open job to the graph once all its dependency lists have been read.

        The record and the lists are written in one transaction, but a listing in several pages may contain
        the record without the lists.
        """
        job = record.spec.id
        if record.state != JobState.OPEN or not record.has_dependencies:
            return
        if not self.dependency_lists.is_complete(record):
            self.graph.add_incomplete(job)
            return
        self._notify(self.graph.add(job, self.dependency_lists.dependencies(record)))

    def _notify(self, jobs: set[str]) -> None:
        """Updates the views of these jobs from the graph, and calls every subscriber with each job."""
        for job in sorted(jobs):
            view = self.jobs.get(job)
            if view is not None:
                view.cancelled = self.graph.is_cancelled(job)
                if view.cancelled:
                    self._drop_dependencies(view)
            for subscriber in self._subscribers:
                subscriber(job)
