"""What a controller knows of one job."""

import msgspec

from spindleglade.submissions.messages import JobStatus
from spindleglade.submissions.records import (
    OVERFLOW_RANGES,
    JobRecord,
    JobState,
    TaskRangeRecord,
    split_overflow_range_key,
    split_range_key,
)
from spindleglade.submissions.task_ranges import TaskRanges


class JobView(msgspec.Struct):
    """A job's record and the records of its task ranges, as the controller's replica holds them."""

    record: JobRecord
    # Which value covers which tasks.
    ranges: TaskRanges
    # The values by their first tasks, with entries that are stale because an overflow range covers them.
    range_records: dict[int, TaskRangeRecord] = {}
    # An ancestor is cancelled, so this job is too, whatever its own record says.
    cancelled: bool = False

    @property
    def is_final(self) -> bool:
        """Whether the state can never change again."""
        return self.record.state != JobState.OPEN or self.cancelled

    @property
    def state(self) -> JobStatus:
        """The state as the user sees it."""
        if self.record.state == JobState.DONE:
            return JobStatus.DONE
        if self.is_final:
            return JobStatus.CANCELLED
        return JobStatus.RUNNING if self.running else JobStatus.PENDING

    @property
    def running(self) -> int:
        """How many tasks may be on a machine; none once the record is final."""
        if self.record.state != JobState.OPEN:
            return 0
        return sum(len(range_record.placed) for range_record in self.effective_ranges())

    @property
    def done_count(self) -> int:
        """How many tasks are done; none of a job whose record is cancelled."""
        if self.record.state == JobState.OPEN:
            return sum(range_record.count_done() for range_record in self.effective_ranges())
        return self.record.spec.tasks if self.record.state == JobState.DONE else 0

    def effective_ranges(self) -> list[TaskRangeRecord]:
        """The records of the task ranges, without entries that are stale."""
        effective = []
        for first_task, range_record in self.range_records.items():
            end = self.ranges.end(first_task)
            # Only a range that was split holds anything stale.
            is_split = self.ranges.is_overflow(end)
            effective.append(range_record.restricted_to(first_task, end) if is_split else range_record)
        return effective

    def apply_range(self, key: str, range_record: TaskRangeRecord | None) -> None:
        """Applies the present value of a task range; None if it was removed."""
        if key.startswith(OVERFLOW_RANGES):
            _, first_task = split_overflow_range_key(key)
            if range_record is None:
                self.ranges.remove(first_task)
            else:
                self.ranges.add(first_task)
        else:
            first_task = split_range_key(key)[1] * self.record.range_size
        if range_record is None:
            self.range_records.pop(first_task, None)
        else:
            self.range_records[first_task] = range_record
