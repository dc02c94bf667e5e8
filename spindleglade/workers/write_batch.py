"""The contents of one transaction of the state service."""

from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from spindleglade.submissions.records import JobRecord


class TaskRangeId(NamedTuple):
    """Identifies a task range by its job and the index of its first task."""

    job: str
    first_task: int


class TaskRangeWrite(NamedTuple):
    """The write or removal of one task range."""

    job: str
    # The modification revision that the job's record must have; None: the record is not a condition.
    job_mod_revision: int | None
    first_task: int
    version: int
    key: str
    # The encoded task range. None: it has no entries left, and the key is removed. The key of an overflow
    # range is never removed in this way while its job is in memory.
    value: msgspec.Raw | None
    # A second key that must be unchanged in the store; None: there is no such condition.
    required_key: str | None = None


class CompletedJobWrite(NamedTuple):
    """The write of the final record of a job with all tasks done."""

    job: str
    # The modification revision that the job's record must have.
    mod_revision: int
    record: JobRecord


class TaskRangeRemoval(NamedTuple):
    """The removal of the key of one task range of a job that is done or cancelled."""

    job: str
    key: str


@dataclass(slots=True)
class WriteBatch:
    """The contents of one transaction."""

    # The order matters: a task range comes after the overflow ranges that follow it in the job and are not in
    # the store yet.
    ranges: list[TaskRangeWrite] = field(default_factory=list)
    done_jobs: list[CompletedJobWrite] = field(default_factory=list)
    removals: list[TaskRangeRemoval] = field(default_factory=list)
    # IDs of the jobs that can be forgotten once the removals are committed.
    forgettable_jobs: dict[str, None] = field(default_factory=dict)

    @property
    def size(self) -> int:
        """The number of operations in the transaction."""
        return len(self.ranges) + len(self.done_jobs) + len(self.removals)
