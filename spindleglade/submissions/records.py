"""The records of jobs and task ranges in the state service, and the keys they are stored under.

Each job has one key, and the state in its record is authoritative. The attempts of its tasks are stored in
task ranges, one key each, which only the leader writes. A task that appears in no range has never been
attempted. A range that exceeds the limit on values is split: each overflow range takes over the tasks from
its first task on (see `task_ranges`). Earlier versions ignore overflow ranges.
"""

from datetime import datetime
from enum import StrEnum

import msgspec

from spindleglade.submissions.messages import Submission

# The prefix of all keys that the scheduler stores in the state service.
KEY_PREFIX = "sg/"
JOB_KEY_PREFIX = KEY_PREFIX + "job/"
TASK_RANGE_KEY_PREFIX = KEY_PREFIX + "task/"
# Lists of dependencies that do not fit into a job's record. They are written in the same transaction as the
# record, and never changed or removed.
DEPENDENCY_KEY_PREFIX = KEY_PREFIX + "dependencies/"
OVERFLOW_RANGE_KEY_PREFIX = KEY_PREFIX + "part/"
MACHINE_TYPES_KEY = KEY_PREFIX + "types"
HISTORY_KEY_PREFIX = KEY_PREFIX + "history/"
LEASE_RENEWAL_KEY_PREFIX = KEY_PREFIX + "vouched/"


class JobState(StrEnum):
    """The state in a job's record. DONE and CANCELLED are final."""

    OPEN = "open"
    DONE = "done"
    CANCELLED = "aborted"


class JobRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as it is stored in the state service.

    Versions from before dependencies existed ignore the fields added for them, and drop these fields when
    they write a final state. `dependencies` and `dependency_keys` are read only while the job is open.
    """

    state: JobState = msgspec.field(name="stage")
    spec: Submission
    # The number of tasks in a range. Fixed when the job is accepted, because a later change of settings must
    # not move the boundaries of ranges already stored.
    range_size: int = msgspec.field(name="chunk")
    # When the job was accepted, by the wall clock of the controller that accepted it.
    accepted_at: datetime | None = msgspec.field(name="accepted", default=None)
    # The jobs that must be done before any task of this job starts. Kept only while the job is open.
    dependencies: list[str] = []
    # The number of keys that hold lists of dependencies which do not fit into this record.
    dependency_keys: int = 0
    # When the leader knew that all tasks were done, by the leader's wall clock.
    finished_at: datetime | None = msgspec.field(name="finished", default=None)

    @property
    def has_dependencies(self) -> bool:
        """Whether the job has dependencies, in this record or in lists under keys of their own."""
        return bool(self.dependencies) or self.dependency_keys > 0


class StoredAttempt(msgspec.Struct, frozen=True, array_like=True):
    """An attempt of a task that has been placed on a machine and may be running there."""

    attempt: int
    machine: str
    incarnation: int


class TaskRangeRecord(msgspec.Struct, omit_defaults=True):
    """The stored state of the tasks of one task range or overflow range."""

    # The first and last number of each run of consecutive tasks that are done. Runs keep the record short
    # even when all tasks are done.
    done: list[tuple[int, int]] = []
    # The attempt that is placed on a machine, by task number.
    placed: dict[int, StoredAttempt] = {}
    # The number of the latest attempt, by task number, for each attempted task that waits for its next
    # attempt.
    tried: dict[int, int] = {}

    def restricted_to(self, start: int, end: int) -> "TaskRangeRecord":
        """The record without the stale entries of tasks outside `start` to `end - 1`."""
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
    return JOB_KEY_PREFIX + job


def range_key(job: str, number: int) -> str:
    """The key of a task range. `number` counts the ranges of the job from 0."""
    return f"{TASK_RANGE_KEY_PREFIX}{job}/{number:06d}"


def split_range_key(key: str) -> tuple[str, int]:
    """The job id and the range number in the key of a task range."""
    job, _, number = key[len(TASK_RANGE_KEY_PREFIX) :].rpartition("/")
    return job, int(number)


def overflow_range_key(job: str, first_task: int) -> str:
    """The key of an overflow range, which is identified by its first task."""
    return f"{OVERFLOW_RANGE_KEY_PREFIX}{job}/{first_task:06d}"


def split_overflow_range_key(key: str) -> tuple[str, int]:
    """The job id and the first task in the key of an overflow range."""
    job, _, first_task = key[len(OVERFLOW_RANGE_KEY_PREFIX) :].rpartition("/")
    return job, int(first_task)


def dependency_key(job: str, number: int) -> str:
    """The key of a list of dependencies. `number` counts the lists of the job from 0."""
    return f"{DEPENDENCY_KEY_PREFIX}{job}/{number:06d}"


def split_dependency_key(key: str) -> tuple[str, int]:
    """The job id and the list number in the key of a list of dependencies."""
    job, _, number = key[len(DEPENDENCY_KEY_PREFIX) :].rpartition("/")
    return job, int(number)


# The longest JSON of an entry in `placed`, and a reserve in bytes for each task.
_LONGEST_PLACED_ENTRY = '"99999":[4294967296,"n-0000000000000000",4294967296],'
_SPARE_BYTES_PER_TASK = 8
MAX_TASKS_PER_RANGE = 256


def tasks_per_range(value_bytes: int) -> int:
    """The number of tasks in a range such that its record fits into a value even with every task placed."""
    bytes_per_task = len(_LONGEST_PLACED_ENTRY) + _SPARE_BYTES_PER_TASK
    return max(1, min(MAX_TASKS_PER_RANGE, value_bytes // bytes_per_task))


def consecutive_runs(numbers: list[int]) -> list[tuple[int, int]]:
    """Groups sorted numbers into runs of consecutive numbers, each given by its first and last number."""
    runs: list[tuple[int, int]] = []
    for number in numbers:
        if runs and number == runs[-1][1] + 1:
            runs[-1] = (runs[-1][0], number)
        else:
            runs.append((number, number))
    return runs


# The most characters kept of the image and of the job class in a shortened record.
MAX_SHORTENED_TEXT_CHARS = 40


def final_record(record: JobRecord, state: JobState, value_bytes: int | None) -> JobRecord:
    """Returns the record of a job in a final state, shortened if it would exceed `value_bytes`.

    `value_bytes` is None if the limit on values is unknown; the record is then never shortened. A record that
    was accepted under a larger limit loses machine types, zone and long texts, which are not read in a final
    state. The fields from which tasks and team usage are counted are kept, and all versions can decode the
    result.
    """
    final = msgspec.structs.replace(record, state=state, dependencies=[], dependency_keys=0)
    if value_bytes is None or len(msgspec.json.encode(final)) <= value_bytes:
        return final
    spec = record.spec
    shortened = msgspec.structs.replace(
        spec,
        types=None,
        zone=None,
        image=spec.image[:MAX_SHORTENED_TEXT_CHARS],
        job_class=spec.job_class[:MAX_SHORTENED_TEXT_CHARS],
    )
    return msgspec.structs.replace(final, spec=shortened)
