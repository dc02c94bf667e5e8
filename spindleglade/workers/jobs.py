"""Jobs in the leader's memory, with the states of their tasks and the versions of their task ranges."""

from datetime import timedelta
from typing import NamedTuple

from spindleglade.submissions.messages import PRIORITY_RANK, Submission
from spindleglade.submissions.records import (
    JobRecord,
    JobState,
    StoredAttempt,
    TaskRangeRecord,
    consecutive_runs,
)
from spindleglade.submissions.task_ranges import TaskRanges
from spindleglade.workers.attempts import Attempt

# The state of a task, as a byte of `Job.task_states`.
WAITING, PLACED, DONE = 0, 1, 2
_WAITING_BYTE = bytes([WAITING])
# A committed version that is higher than any version of a task range.
ALL_VERSIONS = 1 << 62
# The run time that planning assumes for a job without an estimate, such as a service, which runs until it is
# cancelled.
DEFAULT_ESTIMATE = timedelta(days=7)
# Added to the time that a task needs to save, for its grace period when it is stopped.
GRACE_PERIOD_MARGIN_S = 1.0


def estimate(spec: Submission) -> timedelta:
    """The estimated run time of a task of the job, as submitted, or a default."""
    return DEFAULT_ESTIMATE if spec.estimate_s is None else timedelta(seconds=spec.estimate_s)


def grace_period_s(spec: Submission) -> float:
    """How long a task that is stopped may take to save, in seconds; 0 for a task that cannot save."""
    return spec.save_s + GRACE_PERIOD_MARGIN_S if spec.checkpoint_s > 0 else 0.0


class PipelineMember(NamedTuple):
    """The properties of an open job that the urgencies of its pipelines are computed from."""

    rank: int
    deadline: timedelta | None
    team: str
    estimate: timedelta


class Job:
    """A job in the leader's memory, with the state and the attempts of all its tasks."""

    __slots__ = (
        "accepted_at",
        "attempts",
        "avoided_until",
        "backoff",
        "cancelled",
        "committed_versions",
        "deadline",
        "done_count",
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
        self.accepted_at = record.accepted_at
        # Orders jobs by submission, which is the order in which the store committed their records.
        self.submission_revision = mod_revision
        self.mod_revision = mod_revision
        self.rank = PRIORITY_RANK[record.spec.priority]
        self.types = None if record.spec.types is None else frozenset(record.spec.types)
        # The task ranges, each of which is one value in the store. Their versions are kept by first task.
        self.ranges = TaskRanges(record.range_size, record.spec.tasks)
        self.task_states = bytearray(record.spec.tasks)
        # The number of the latest attempt of each task, by task number; a task without attempts has no entry.
        self.attempts: dict[int, int] = {}
        # By task number.
        self.placed: dict[int, Attempt] = {}
        # The number of tasks that are done.
        self.done_count = 0
        self.cancelled = record.state == JobState.CANCELLED
        # Whether the record says that the job is done, after which none of its tasks is placed.
        self.finished = record.state == JobState.DONE
        self.versions: dict[int, int] = {}
        self.committed_versions: dict[int, int] = {}
        # After failures, no task is placed before this time.
        self.paused_until = timedelta(0)
        # The length of the latest pause; 0 before the first one, and again once a task is done.
        self.backoff = timedelta(0)
        # Until when no task is placed on each machine where a task has failed since the latest pause.
        self.avoided_until: dict[str, timedelta] = {}
        # The names of all machines on which tasks failed.
        self.failed_on: set[str] = set()
        # Whether all dependencies are done. No task of the job may start before that.
        self.released = not record.has_dependencies
        # Whether other jobs depend on this one.
        self.has_dependents = False
        # The time by which the job itself should be done, without regard to its dependents.
        self.deadline: timedelta | None = None
        # The time by which the job should start, so that its dependents can meet their deadlines.
        self.latest_start: timedelta | None = None
        # Since when the job has waited for a start: its latest start, or its submission or release if there
        # was none. For starts before this leader's election it is the time of loading.
        self.waiting_since = timedelta(0)

    @property
    def is_open(self) -> bool:
        """Whether tasks of the job may still be placed."""
        return not self.cancelled and not self.finished

    @property
    def is_complete(self) -> bool:
        """Whether all tasks are done."""
        return self.done_count == len(self.task_states)

    def version(self, index: int) -> int:
        """The latest version of the task range that contains the task."""
        return self.versions.get(self.ranges.start(index), 0)

    def committed_version(self, index: int) -> int:
        """The latest version, known to be in the store, of the task range that contains the task."""
        return self.committed_versions.get(self.ranges.start(index), 0)

    def avoided_machines(self, now: timedelta) -> frozenset[str]:
        """The names of the machines on which no task of the job is placed now, since tasks failed there."""
        return frozenset(name for name, until in self.avoided_until.items() if until > now)

    def mark_all_committed(self) -> None:
        """Marks the task ranges as committed in all versions, so that nothing waits for a write."""
        for first_task in [*self.ranges.range_starts, *self.ranges.overflow_starts]:
            self.committed_versions[first_task] = ALL_VERSIONS

    def split_range(self, start: int, max_tasks: int) -> list[int]:
        """Splits a task range into ranges of at most `max_tasks` tasks, and returns the first task of each.
        The new ranges keep its committed version: its value in the store remains valid for their tasks until
        the overflow ranges are stored."""
        overflow_starts = self.ranges.split_points(start, max_tasks)
        for first_task in overflow_starts:
            self.ranges.add(first_task)
            self.versions[first_task] = self.versions.get(start, 0)
            self.committed_versions[first_task] = self.committed_versions.get(start, 0)
        return [start, *overflow_starts]

    def waiting_tasks(self, limit: int) -> list[int]:
        """The numbers of the first `limit` waiting tasks, in order."""
        indices: list[int] = []
        index = self.task_states.find(_WAITING_BYTE)
        while index >= 0 and len(indices) < limit:
            indices.append(index)
            index = self.task_states.find(_WAITING_BYTE, index + 1)
        return indices

    def encode_range(self, first_task: int) -> TaskRangeRecord | None:
        """The record of a task range in its current state; None if none of its tasks was ever attempted."""
        end = self.ranges.end(first_task)
        record = TaskRangeRecord(
            done=consecutive_runs(
                [index for index in range(first_task, end) if self.task_states[index] == DONE]
            )
        )
        for index in range(first_task, end):
            attempt = self.placed.get(index)
            if attempt is not None:
                record.placed[index] = StoredAttempt(attempt.attempt, attempt.machine, attempt.incarnation)
            elif index in self.attempts and self.task_states[index] != DONE:
                record.tried[index] = self.attempts[index]
        return record if record.done or record.placed or record.tried else None
