"""The job record and the task chunks, as they are kept in the state service.

A job is one key; its `stage` there is the last word: `open`, `aborted` or `done`. The states of its tasks lie
in chunks, one key each, written by the leader only. A task that no chunk speaks of has never been tried. A
chunk that has become too large for a value is split: parts, which the version before ignores, take over its
tasks from their first one on (see `pieces`).
"""

from datetime import datetime
from typing import Literal

import msgspec

from spindleglade.submissions.messages import Submission

PREFIX = "sg/"
JOBS = PREFIX + "job/"
TASK_RANGES = PREFIX + "task/"
# Dependencies of a job that do not fit its record. Written with the record, never changed or removed.
DEPENDENCIES = PREFIX + "dependencies/"
OVERFLOW_RANGES = PREFIX + "part/"
TYPES = PREFIX + "types"
HISTORY = PREFIX + "history/"
LEASE_RENEWALS = PREFIX + "vouched/"


class JobRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as the state service keeps it. Versions before dependencies ignore the fields added since, and
    drop them when they record an end; nothing reads them after that."""

    state: Literal["open", "aborted", "done"] = msgspec.field(name="stage")
    spec: Submission
    # Tasks in a chunk; fixed when the job is accepted, so that later settings cannot shift them.
    range_size: int = msgspec.field(name="chunk")
    # When it was accepted, by the accepting node's time of day.
    accepted: datetime | None = None
    # Jobs that must be done before any task of this one starts; only while the job is open.
    dependencies: list[str] = []
    # How many further keys hold the rest of the dependencies.
    dependency_keys: int = 0
    # When all tasks were known to be done, by the leader's time of day.
    finished: datetime | None = None

    @property
    def has_dependencies(self) -> bool:
        return bool(self.dependencies) or self.dependency_keys > 0


class StoredAttempt(msgspec.Struct, frozen=True, array_like=True):
    """A task that may be on a machine."""

    attempt: int
    machine: str
    incarnation: int


class TaskRangeRecord(msgspec.Struct, omit_defaults=True):
    # Tasks done, as first and last of each run of numbers; short even where all are done.
    done: list[tuple[int, int]] = []
    # Task number to where it may be.
    placed: dict[int, StoredAttempt] = {}
    # Highest attempt given so far, for tasks that wait for another.
    tried: dict[int, int] = {}

    def restricted_to(self, start: int, end: int) -> "TaskRangeRecord":
        """What it says of the tasks from one to another; the rest is stale."""
        done = [(max(first, start), min(last, end - 1)) for first, last in self.done]
        return TaskRangeRecord(
            [(first, last) for first, last in done if first <= last],
            {index: placement for index, placement in self.placed.items() if start <= index < end},
            {index: attempt for index, attempt in self.tried.items() if start <= index < end},
        )

    def count_done(self) -> int:
        return sum(last - first + 1 for first, last in self.done)


def job_key(job: str) -> str:
    return JOBS + job


def range_key(job: str, chunk: int) -> str:
    return f"{TASK_RANGES}{job}/{chunk:06d}"


def dependency_key(job: str, number: int) -> str:
    return f"{DEPENDENCIES}{job}/{number:06d}"


def split_dependency_key(key: str) -> tuple[str, int]:
    """The job and the number of a key that holds further dependencies."""
    job, _, number = key[len(DEPENDENCIES) :].rpartition("/")
    return job, int(number)


def split_range_key(key: str) -> tuple[str, int]:
    job, _, chunk = key[len(TASK_RANGES) :].rpartition("/")
    return job, int(chunk)


def overflow_range_key(job: str, first: int) -> str:
    return f"{OVERFLOW_RANGES}{job}/{first:06d}"


def split_overflow_range_key(key: str) -> tuple[str, int]:
    """The job, and the first task that the part speaks for."""
    job, _, first = key[len(OVERFLOW_RANGES) :].rpartition("/")
    return job, int(first)


def tasks_per_range(value_bytes: int) -> int:
    """Tasks per chunk such that the longest form, every task placed, fits into one value."""
    longest = len('"99999":[4294967296,"n-0000000000000000",4294967296],') + 8
    return max(1, min(256, value_bytes // longest))


def consecutive_runs(numbers: list[int]) -> list[tuple[int, int]]:
    """Sorted numbers as runs of consecutive ones."""
    found: list[tuple[int, int]] = []
    for number in numbers:
        if found and number == found[-1][1] + 1:
            found[-1] = (found[-1][0], number)
        else:
            found.append((number, number))
    return found


# What a user's words may take in a record that was shortened.
MAX_SHORTENED_TEXT = 40


def final_record(record: JobRecord, state: Literal["aborted", "done"], value_bytes: int | None) -> JobRecord:
    """The record of a job that is over. One that was accepted under a larger limit than holds now goes
    without what nobody needs any more; what counts tasks and teams is kept, and every version can read it."""
    ended = msgspec.structs.replace(record, state=state, dependencies=[], dependency_keys=0)
    if value_bytes is None or len(msgspec.json.encode(ended)) <= value_bytes:
        return ended
    spec = record.spec
    shortened = msgspec.structs.replace(
        spec,
        types=None,
        zone=None,
        image=spec.image[:MAX_SHORTENED_TEXT],
        job_class=spec.job_class[:MAX_SHORTENED_TEXT],
    )
    return msgspec.structs.replace(ended, spec=shortened)
