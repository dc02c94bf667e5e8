"""How a job's tasks are divided among values of the state service.

A job's tasks lie in chunks of a size that was fixed when the job was accepted, one value each. Where the
limit on values falls below what a chunk takes, the chunk is split: parts, which are keys of their own, take
over the tasks from their first one on. A value speaks for the tasks from its start to the next boundary,
which is the next chunk's start or the next part's; whatever it holds beyond is stale.
"""

from bisect import bisect_right, insort
from collections.abc import Iterable

from spindleglade.submissions.records import overflow_range_key, range_key


class TaskRanges:
    """The boundaries of one job. A piece is named by its first task."""

    __slots__ = ("_overflow_starts", "_range_size", "_tasks")

    def __init__(self, chunk: int, tasks: int, firsts: Iterable[int] = ()) -> None:
        self._range_size = chunk
        self._tasks = tasks
        # First tasks of the parts, sorted.
        self._overflow_starts: list[int] = []
        for first in firsts:
            self.add(first)

    @property
    def overflow_starts(self) -> list[int]:
        """The first tasks of all parts."""
        return list(self._overflow_starts)

    @property
    def range_starts(self) -> range:
        """The first tasks of all chunks."""
        return range(0, self._tasks, self._range_size)

    def add(self, first: int) -> None:
        """A part begins there."""
        if not 0 < first < self._tasks or first % self._range_size == 0:
            raise ValueError(f"no part can begin at task {first}")
        if not self.is_overflow(first):
            insort(self._overflow_starts, first)

    def remove(self, first: int) -> None:
        """The part is no longer there."""
        if self.is_overflow(first):
            self._overflow_starts.remove(first)

    def is_overflow(self, first: int) -> bool:
        at = bisect_right(self._overflow_starts, first)
        return at > 0 and self._overflow_starts[at - 1] == first

    def start(self, index: int) -> int:
        """The first task of the piece that speaks for this task."""
        start = index - index % self._range_size
        if self._overflow_starts:
            at = bisect_right(self._overflow_starts, index)
            if at:
                start = max(start, self._overflow_starts[at - 1])
        return start

    def end(self, start: int) -> int:
        """The first task that no longer belongs to the piece that begins there."""
        end = min(start - start % self._range_size + self._range_size, self._tasks)
        if self._overflow_starts:
            at = bisect_right(self._overflow_starts, start)
            if at < len(self._overflow_starts):
                end = min(end, self._overflow_starts[at])
        return end

    def split_points(self, start: int, width: int) -> list[int]:
        """Where to split a piece into pieces of that many tasks at most. One that is not wider is halved;
        a single task cannot be split."""
        end = self.end(start)
        width = max(1, min(width, (end - start + 1) // 2))
        return list(range(start + width, end, width))

    def key(self, job: str, start: int) -> str:
        """The key of the value of a piece."""
        return (
            overflow_range_key(job, start)
            if self.is_overflow(start)
            else range_key(job, start // self._range_size)
        )

    def keys(self, job: str) -> list[str]:
        """All keys of the job, in the order in which they may be removed once it is over: a part goes after
        all that lie to its left, whose stale entries would count again without it."""
        chunks = [range_key(job, first // self._range_size) for first in self.range_starts]
        return chunks + [overflow_range_key(job, first) for first in self._overflow_starts]
