"""Jobs as the leader keeps them: the states of their tasks, and the versions of their task ranges."""

from datetime import timedelta
from typing import NamedTuple

from spindleglade.submissions.messages import RANK, Submission
from spindleglade.submissions.records import (
    JobRecord,
    JobState,
    StoredAttempt,
    TaskRangeRecord,
    consecutive_runs,
)
from spindleglade.submissions.task_ranges import TaskRanges
from spindleglade.workers.attempts import Attempt

# States of a task, as bytes of `Job.task_states`.
WAITING, PLACED, DONE = 0, 1, 2
_WAITING_BYTE = bytes([WAITING])
# Higher than any version of a task range.
ALL_VERSIONS = 1 << 62
# What planning assumes of a job without an estimate, such as a service, which runs until it is cancelled.
DEFAULT_ESTIMATE = timedelta(days=7)
# Added to the time that a task needs to save.
GRACE_PERIOD_MARGIN_S = 1.0


def estimate(spec: Submission) -> timedelta:
    """How long a task of the job runs, as its user says."""
    return DEFAULT_ESTIMATE if spec.estimate_s is None else timedelta(seconds=spec.estimate_s)


def grace_period_s(spec: Submission) -> float:
    """How long a task that is stopped may take to save; one that cannot save gets none."""
    return spec.save_s + GRACE_PERIOD_MARGIN_S if spec.checkpoint_s > 0 else 0.0


class ChainMember(NamedTuple):
    """What an open job brings into its pipelines."""

    rank: int
    deadline: timedelta | None
    team: str
    estimate: timedelta


class Job:
    """A job that is not yet forgotten, with the progress of all its tasks."""

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
        self.accepted = record.accepted_at
        # Submission order is the order in which the store committed the records.
        self.submission_revision = mod_revision
        self.mod_revision = mod_revision
        self.rank = RANK[record.spec.priority]
        self.types = None if record.spec.types is None else frozenset(record.spec.types)
        # Which stored value speaks for which tasks; versions are by the first task of each.
        self.ranges = TaskRanges(record.range_size, record.spec.tasks)
        self.task_states = bytearray(record.spec.tasks)
        # The latest attempt of each task, by task number.
        self.attempts: dict[int, int] = {}
        self.placed: dict[int, Attempt] = {}
        self.done = 0
        self.cancelled = record.state == JobState.CANCELLED
        # The record says done or cancelled; nothing more will be placed.
        self.finished = record.state == JobState.DONE
        self.versions: dict[int, int] = {}
        self.committed_versions: dict[int, int] = {}
        self.paused_until = timedelta(0)
        self.backoff = timedelta(0)
        self.avoided_machines: set[str] = set()
        self.failed_on: set[str] = set()
        # All its dependencies are done. Until then no task of it may start.
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
        """Whether tasks of the job may still be placed."""
        return not self.cancelled and not self.finished

    @property
    def is_complete(self) -> bool:
        """Whether all tasks are done."""
        return self.done == len(self.task_states)

    def version(self, index: int) -> int:
        """The latest version of the task range that speaks for the task."""
        return self.versions.get(self.ranges.start(index), 0)

    def committed_version(self, index: int) -> int:
        """The latest version of that task range that the store holds."""
        return self.committed_versions.get(self.ranges.start(index), 0)

    def mark_all_committed(self) -> None:
        """Nothing of the job waits to be written any more."""
        for first_task in [*self.ranges.range_starts, *self.ranges.overflow_starts]:
            self.committed_versions[first_task] = ALL_VERSIONS

    def split_range(self, start: int, width: int) -> list[int]:
        """Splits a task range into ranges of `width` tasks at most, and returns the first task of each. What
        of it is committed stays so: the value in the store speaks for these tasks until the overflow ranges
        are stored."""
        overflow_starts = self.ranges.split_points(start, width)
        for first_task in overflow_starts:
            self.ranges.add(first_task)
            self.versions[first_task] = self.versions.get(start, 0)
            self.committed_versions[first_task] = self.committed_versions.get(start, 0)
        return [start, *overflow_starts]

    def waiting_tasks(self, limit: int) -> list[int]:
        """The first waiting tasks, in order."""
        found: list[int] = []
        index = self.task_states.find(_WAITING_BYTE)
        while index >= 0 and len(found) < limit:
            found.append(index)
            index = self.task_states.find(_WAITING_BYTE, index + 1)
        return found

    def encode_range(self, first_task: int) -> TaskRangeRecord | None:
        """The record of a task range as it stands; None if there is nothing to say."""
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
