"""How a job's tasks are divided among values of the state service.

A job's tasks are stored in ranges, one value each, of a size that is fixed when the job is accepted. If the
limit on values falls below the size of a range's record, the range is split: overflow ranges, which have keys
of their own, take over the tasks from their first task on. A value covers the tasks from its start to the
next boundary, which is the start of the next range or overflow range. Its entries beyond that boundary are
stale.
"""

from bisect import bisect_right, insort
from collections.abc import Iterable

from spindleglade.submissions.records import overflow_range_key, range_key


class TaskRanges:
    """The boundaries between the ranges of one job. A range is identified by its first task."""

    __slots__ = ("_overflow_starts", "_range_size", "_tasks")

    def __init__(self, range_size: int, tasks: int, overflow_starts: Iterable[int] = ()) -> None:
        self._range_size = range_size
        self._tasks = tasks
        # Sorted.
        self._overflow_starts: list[int] = []
        for first_task in overflow_starts:
            self.add(first_task)

    @property
    def overflow_starts(self) -> list[int]:
        """The first tasks of all overflow ranges, sorted."""
        return list(self._overflow_starts)

    @property
    def range_starts(self) -> range:
        """The first tasks of all ranges except the overflow ranges."""
        return range(0, self._tasks, self._range_size)

    def add(self, first_task: int) -> None:
        """Adds an overflow range that begins with this task. Adding it again has no effect.

        Raises ValueError if the task is outside the job or begins a range.
        """
        if not 0 < first_task < self._tasks or first_task % self._range_size == 0:
            raise ValueError(f"no overflow range can begin at task {first_task}")
        if not self.is_overflow(first_task):
            insort(self._overflow_starts, first_task)

    def remove(self, first_task: int) -> None:
        """Removes the overflow range that begins with this task, if there is one."""
        if self.is_overflow(first_task):
            self._overflow_starts.remove(first_task)

    def is_overflow(self, first_task: int) -> bool:
        """Whether an overflow range begins with this task."""
        position = bisect_right(self._overflow_starts, first_task)
        return position > 0 and self._overflow_starts[position - 1] == first_task

    def start(self, task: int) -> int:
        """The first task of the range that covers this task."""
        start = task - task % self._range_size
        if self._overflow_starts:
            position = bisect_right(self._overflow_starts, task)
            if position:
                start = max(start, self._overflow_starts[position - 1])
        return start

    def end(self, start: int) -> int:
        """The first task after the range that begins with `start`."""
        end = min(start - start % self._range_size + self._range_size, self._tasks)
        if self._overflow_starts:
            position = bisect_right(self._overflow_starts, start)
            if position < len(self._overflow_starts):
                end = min(end, self._overflow_starts[position])
        return end

    def split_points(self, start: int, max_tasks: int) -> list[int]:
        """The first tasks of the overflow ranges that split a range into parts of at most `max_tasks` tasks.

        A range that is not larger than `max_tasks` is halved. The result is empty for a range of one task.
        """
        end = self.end(start)
        max_tasks = max(1, min(max_tasks, (end - start + 1) // 2))
        return list(range(start + max_tasks, end, max_tasks))

    def key(self, job: str, start: int) -> str:
        """The key of the range or overflow range that begins with `start`."""
        if self.is_overflow(start):
            return overflow_range_key(job, start)
        return range_key(job, start // self._range_size)

    def keys(self, job: str) -> list[str]:
        """The keys of the job's ranges, in the order in which they may be removed once the job has ended.

        An overflow range must be removed after all ranges before it, because their stale entries would become
        effective again without it.
        """
        ranges = [range_key(job, start // self._range_size) for start in self.range_starts]
        return ranges + [overflow_range_key(job, start) for start in self._overflow_starts]
