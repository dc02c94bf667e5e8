"""How a job's tasks are divided among values of the state service.

A job's tasks lie in chunks of a size that was fixed when the job was accepted, one value each. Where the
limit on values falls below what a chunk takes, the chunk is split: parts, which are keys of their own, take
over the tasks from their first one on. A value speaks for the tasks from its start to the next boundary,
which is the next chunk's start or the next part's; whatever it holds beyond is stale.
"""

from bisect import bisect_right, insort
from collections.abc import Iterable

from spindleglade.submissions.records import chunk_key, part_key


class Pieces:
    """The boundaries of one job. A piece is named by its first task."""

    __slots__ = ("_chunk", "_firsts", "_tasks")

    def __init__(self, chunk: int, tasks: int, firsts: Iterable[int] = ()) -> None:
        self._chunk = chunk
        self._tasks = tasks
        # First tasks of the parts, sorted.
        self._firsts: list[int] = []
        for first in firsts:
            self.add(first)

    @property
    def parts(self) -> list[int]:
        """The first tasks of all parts."""
        return list(self._firsts)

    @property
    def chunks(self) -> range:
        """The first tasks of all chunks."""
        return range(0, self._tasks, self._chunk)

    def add(self, first: int) -> None:
        """A part begins there."""
        if not 0 < first < self._tasks or first % self._chunk == 0:
            raise ValueError(f"no part can begin at task {first}")
        if not self.is_part(first):
            insort(self._firsts, first)

    def remove(self, first: int) -> None:
        """The part is no longer there."""
        if self.is_part(first):
            self._firsts.remove(first)

    def is_part(self, first: int) -> bool:
        at = bisect_right(self._firsts, first)
        return at > 0 and self._firsts[at - 1] == first

    def start(self, index: int) -> int:
        """The first task of the piece that speaks for this task."""
        start = index - index % self._chunk
        if self._firsts:
            at = bisect_right(self._firsts, index)
            if at:
                start = max(start, self._firsts[at - 1])
        return start

    def end(self, start: int) -> int:
        """The first task that no longer belongs to the piece that begins there."""
        end = min(start - start % self._chunk + self._chunk, self._tasks)
        if self._firsts:
            at = bisect_right(self._firsts, start)
            if at < len(self._firsts):
                end = min(end, self._firsts[at])
        return end

    def cuts(self, start: int, width: int) -> list[int]:
        """Where to split a piece into pieces of that many tasks at most. One that is not wider is halved;
        a single task cannot be split."""
        end = self.end(start)
        width = max(1, min(width, (end - start + 1) // 2))
        return list(range(start + width, end, width))

    def key(self, job: str, start: int) -> str:
        """The key of the value of a piece."""
        return part_key(job, start) if self.is_part(start) else chunk_key(job, start // self._chunk)

    def keys(self, job: str) -> list[str]:
        """All keys of the job, in the order in which they may be removed once it is over: a part goes after
        all that lie to its left, whose stale entries would count again without it."""
        chunks = [chunk_key(job, first // self._chunk) for first in self.chunks]
        return chunks + [part_key(job, first) for first in self._firsts]
