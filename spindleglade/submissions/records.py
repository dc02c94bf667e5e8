"""The records of jobs and task ranges in the state service, and the keys they are stored under.

A job is one key, and the state in its record is authoritative. The attempts of its tasks are stored in task
ranges, one key each, written by the leader only. A task that no range mentions has never been attempted. A
range that outgrows a value is split: overflow ranges, which earlier versions ignore, take over its tasks from
their first task on (see `task_ranges`).
"""

from datetime import datetime
from enum import StrEnum

import msgspec

from spindleglade.submissions.messages import Submission

# All keys of the service begin with this.
PREFIX = "sg/"
JOBS = PREFIX + "job/"
TASK_RANGES = PREFIX + "task/"
# Dependencies of a job that do not fit into its record. Written with the record, never changed or removed.
DEPENDENCIES = PREFIX + "dependencies/"
OVERFLOW_RANGES = PREFIX + "part/"
TYPES = PREFIX + "types"
HISTORY = PREFIX + "history/"
LEASE_RENEWALS = PREFIX + "vouched/"


class JobState(StrEnum):
    """The state in a job's record. The last two are final."""

    OPEN = "open"
    DONE = "done"
    CANCELLED = "aborted"


class JobRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as the state service stores it.

    Versions without dependencies ignore the fields that were added with them, and drop those fields when they
    record a final state; nothing reads them after that.
    """

    state: JobState = msgspec.field(name="stage")
    spec: Submission
    # Tasks in a range; fixed when the job is accepted, so that later settings cannot move the boundaries.
    range_size: int = msgspec.field(name="chunk")
    # When the job was accepted, by the time of day of the controller that accepted it.
    accepted_at: datetime | None = msgspec.field(name="accepted", default=None)
    # Jobs that must be done before any task of this one starts; only while the job is open.
    dependencies: list[str] = []
    # How many further keys hold the rest of the dependencies.
    dependency_keys: int = 0
    # When all tasks were known to be done, by the leader's time of day.
    finished_at: datetime | None = msgspec.field(name="finished", default=None)

    @property
    def has_dependencies(self) -> bool:
        """Whether the job depends on others, named in this record or under further keys."""
        return bool(self.dependencies) or self.dependency_keys > 0


class StoredAttempt(msgspec.Struct, frozen=True, array_like=True):
    """The attempt of a task that may be on a machine."""

    attempt: int
    machine: str
    incarnation: int


class TaskRangeRecord(msgspec.Struct, omit_defaults=True):
    """What is stored of the tasks of one range."""

    # Tasks that are done, as the first and last of each run of consecutive numbers; short even when all are.
    done: list[tuple[int, int]] = []
    # The attempt that may be on a machine, by task number.
    placed: dict[int, StoredAttempt] = {}
    # The highest attempt so far, by the number of a task that waits for another.
    tried: dict[int, int] = {}

    def restricted_to(self, start: int, end: int) -> "TaskRangeRecord":
        """The record without the tasks outside `start` to `end - 1`, whose entries are stale."""
        done = [(max(first, start), min(last, end - 1)) for first, last in self.done]
        return TaskRangeRecord(
            [(first, last) for first, last in done if first <= last],
            {task: attempt for task, attempt in self.placed.items() if start <= task < end},
            {task: attempt for task, attempt in self.tried.items() if start <= task < end},
        )

    def count_done(self) -> int:
        """How many tasks are done."""
        return sum(last - first + 1 for first, last in self.done)


def job_key(job: str) -> str:
    """The key of a job's record."""
    return JOBS + job


def range_key(job: str, number: int) -> str:
    """The key of a task range, which is numbered within its job."""
    return f"{TASK_RANGES}{job}/{number:06d}"


def split_range_key(key: str) -> tuple[str, int]:
    """The job and the number of a task range."""
    job, _, number = key[len(TASK_RANGES) :].rpartition("/")
    return job, int(number)


def overflow_range_key(job: str, first_task: int) -> str:
    """The key of an overflow range, which is named by its first task."""
    return f"{OVERFLOW_RANGES}{job}/{first_task:06d}"


def split_overflow_range_key(key: str) -> tuple[str, int]:
    """The job and the first task of an overflow range."""
    job, _, first_task = key[len(OVERFLOW_RANGES) :].rpartition("/")
    return job, int(first_task)


def dependency_key(job: str, number: int) -> str:
    """The key of a list of dependencies, which is numbered within its job."""
    return f"{DEPENDENCIES}{job}/{number:06d}"


def split_dependency_key(key: str) -> tuple[str, int]:
    """The job and the number of a list of dependencies."""
    job, _, number = key[len(DEPENDENCIES) :].rpartition("/")
    return job, int(number)


# The longest entry of a placed task, and bytes to spare for each task.
_LONGEST_ENTRY = '"99999":[4294967296,"n-0000000000000000",4294967296],'
_SPARE_BYTES_PER_TASK = 8
MAX_TASKS_PER_RANGE = 256


def tasks_per_range(value_bytes: int) -> int:
    """Tasks in a range such that its longest form, with every task placed, fits into one value."""
    bytes_per_task = len(_LONGEST_ENTRY) + _SPARE_BYTES_PER_TASK
    return max(1, min(MAX_TASKS_PER_RANGE, value_bytes // bytes_per_task))


def consecutive_runs(numbers: list[int]) -> list[tuple[int, int]]:
    """Sorted numbers as runs of consecutive ones, each with its first and its last number."""
    runs: list[tuple[int, int]] = []
    for number in numbers:
        if runs and number == runs[-1][1] + 1:
            runs[-1] = (runs[-1][0], number)
        else:
            runs.append((number, number))
    return runs


# Characters that each of a user's texts may take in a record that was shortened.
MAX_SHORTENED_TEXT = 40


def final_record(record: JobRecord, state: JobState, value_bytes: int | None) -> JobRecord:
    """The record of a job in a final state, in at most `value_bytes` if these are known.

    A job that was accepted under a larger limit loses what nothing reads any more. What tasks and teams are
    counted by is kept, and every version can read it.
    """
    final = msgspec.structs.replace(record, state=state, dependencies=[], dependency_keys=0)
    if value_bytes is None or len(msgspec.json.encode(final)) <= value_bytes:
        return final
    spec = record.spec
    shortened = msgspec.structs.replace(
        spec,
        types=None,
        zone=None,
        image=spec.image[:MAX_SHORTENED_TEXT],
        job_class=spec.job_class[:MAX_SHORTENED_TEXT],
    )
    return msgspec.structs.replace(final, spec=shortened)
