"""The state of one job as a controller derives it from its replica."""

import msgspec

from spindleglade.submissions.messages import JobStatus
from spindleglade.submissions.records import (
    OVERFLOW_RANGE_KEY_PREFIX,
    JobRecord,
    JobState,
    TaskRangeRecord,
    split_overflow_range_key,
    split_range_key,
)
from spindleglade.submissions.task_ranges import TaskRanges


class JobView(msgspec.Struct):
    """A job's record and the records of its task ranges, as read from the controller's replica."""

    record: JobRecord
    # The boundaries that decide which range record covers which tasks.
    ranges: TaskRanges
    # The records of ranges and overflow ranges, by first task. They may hold stale entries of tasks that an
    # overflow range has taken over.
    range_records: dict[int, TaskRangeRecord] = {}
    # Whether the job is cancelled through an ancestor, whatever its own record says.
    cancelled: bool = False

    @property
    def is_final(self) -> bool:
        """Whether the job is done or cancelled, so that its state never changes again."""
        return self.record.state != JobState.OPEN or self.cancelled

    @property
    def state(self) -> JobStatus:
        """The state that is reported to users."""
        if self.record.state == JobState.DONE:
            return JobStatus.DONE
        if self.is_final:
            return JobStatus.CANCELLED
        return JobStatus.RUNNING if self.running else JobStatus.PENDING

    @property
    def running(self) -> int:
        """The number of tasks recorded as placed on a machine; 0 if the record is final."""
        if self.record.state != JobState.OPEN:
            return 0
        return sum(len(range_record.placed) for range_record in self.effective_ranges())

    @property
    def done_count(self) -> int:
        """The number of tasks that are done; 0 if the record is cancelled."""
        if self.record.state == JobState.OPEN:
            return sum(range_record.count_done() for range_record in self.effective_ranges())
        return self.record.spec.tasks if self.record.state == JobState.DONE else 0

    def effective_ranges(self) -> list[TaskRangeRecord]:
        """The records of the task ranges without stale entries."""
        effective = []
        for first_task, range_record in self.range_records.items():
            end = self.ranges.end(first_task)
            # Only a range that was split, and so ends at an overflow range, can hold stale entries.
            is_split = self.ranges.is_overflow(end)
            effective.append(range_record.restricted_to(first_task, end) if is_split else range_record)
        return effective

    def apply_range(self, key: str, range_record: TaskRangeRecord | None) -> None:
        """Applies the latest record of the task range under `key`; None if the key was removed."""
        if key.startswith(OVERFLOW_RANGE_KEY_PREFIX):
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
