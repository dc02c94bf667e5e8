"""The job record and the task chunks, as they are kept in the state service.

A job is one key; its `stage` there is the last word: `open`, `aborted` or `done`. The states of its tasks lie
in chunks, one key each, written by the leader only. A task that no chunk speaks of has never been tried.
"""

from datetime import datetime
from typing import Literal

import msgspec

from spindleglade.submissions.messages import Submission

PREFIX = "sg/"
JOBS = PREFIX + "job/"
TASKS = PREFIX + "task/"
TYPES = PREFIX + "types"
HISTORY = PREFIX + "history/"
VOUCHED = PREFIX + "vouched/"


class JobRecord(msgspec.Struct, frozen=True):
    stage: Literal["open", "aborted", "done"]
    spec: Submission
    # Tasks in a chunk; fixed when the job is accepted, so that later settings cannot shift them.
    chunk: int
    # When it was accepted, by the accepting node's time of day.
    accepted: datetime | None = None


class Placement(msgspec.Struct, frozen=True, array_like=True):
    """A task that may be on a machine."""

    attempt: int
    machine: str
    session: int


class Chunk(msgspec.Struct, omit_defaults=True):
    # Tasks done, as first and last of each run of numbers; short even where all are done.
    done: list[tuple[int, int]] = []
    # Task number to where it may be.
    placed: dict[int, Placement] = {}
    # Highest attempt given so far, for tasks that wait for another.
    tried: dict[int, int] = {}

    def count_done(self) -> int:
        return sum(last - first + 1 for first, last in self.done)


def job_key(job: str) -> str:
    return JOBS + job


def chunk_key(job: str, chunk: int) -> str:
    return f"{TASKS}{job}/{chunk:06d}"


def split_chunk_key(key: str) -> tuple[str, int]:
    job, _, chunk = key[len(TASKS) :].rpartition("/")
    return job, int(chunk)


def chunk_size(value_bytes: int) -> int:
    """Tasks per chunk such that the longest form, every task placed, fits into one value."""
    longest = len('"99999":[4294967296,"n-0000000000000000",4294967296],') + 8
    return max(1, min(256, value_bytes // longest))


def runs(numbers: list[int]) -> list[tuple[int, int]]:
    """Sorted numbers as runs of consecutive ones."""
    found: list[tuple[int, int]] = []
    for number in numbers:
        if found and number == found[-1][1] + 1:
            found[-1] = (found[-1][0], number)
        else:
            found.append((number, number))
    return found
