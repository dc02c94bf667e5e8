"""What one transaction writes to the state service."""

from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from spindleglade.submissions.records import JobRecord


class TaskRangeId(NamedTuple):
    """Names a task range by its job and its first task."""

    job: str
    first_task: int


class TaskRangeWrite(NamedTuple):
    """The value of one task range, to be written."""

    job: str
    # Condition on the job's record; None: none.
    job_mod_revision: int | None
    first_task: int
    version: int
    key: str
    # None: nothing is left, and the key is removed. That of an overflow range never is while its job is in
    # memory.
    value: msgspec.Raw | None
    # A key whose modification revision is a condition as well; None: none.
    required_key: str | None = None


class CompletedJobWrite(NamedTuple):
    """The final record of a job all of whose tasks are done."""

    job: str
    mod_revision: int
    record: JobRecord


class TaskRangeRemoval(NamedTuple):
    """The key of a task range to remove, of a job that is over."""

    job: str
    key: str


@dataclass(slots=True)
class WriteBatch:
    """The contents of one transaction."""

    # In this order: a range comes after the overflow ranges to its right that are not in the store yet.
    ranges: list[TaskRangeWrite] = field(default_factory=list)
    done: list[CompletedJobWrite] = field(default_factory=list)
    removed: list[TaskRangeRemoval] = field(default_factory=list)
    # The jobs that are over once the removals are committed.
    finished_jobs: dict[str, None] = field(default_factory=dict)

    @property
    def size(self) -> int:
        """The number of operations in the transaction."""
        return len(self.ranges) + len(self.done) + len(self.removed)
