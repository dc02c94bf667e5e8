"""Tests of the boundaries between task ranges against their definition."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from spindleglade.submissions.records import overflow_range_key, range_key
from spindleglade.submissions.task_ranges import TaskRanges

TASKS, RANGE_SIZE = 23, 8
OVERFLOW_STARTS = st.sets(st.integers(1, TASKS - 1).filter(lambda task: task % RANGE_SIZE))


@given(st.lists(st.integers(1, TASKS - 1).filter(lambda task: task % RANGE_SIZE)))
def test_the_largest_boundary_up_to_a_task_decides(overflow_starts):
    ranges = TaskRanges(RANGE_SIZE, TASKS, overflow_starts)
    boundaries = sorted({0, 8, 16, *overflow_starts})
    for task in range(TASKS):
        start = max(boundary for boundary in boundaries if boundary <= task)
        assert ranges.start(task) == start
        assert ranges.end(start) == min(
            (boundary for boundary in boundaries if boundary > task), default=TASKS
        )
        assert ranges.is_overflow(task) == (task in overflow_starts)


@given(OVERFLOW_STARTS, st.integers(0, TASKS - 1), st.integers(1, 30))
def test_split_points_divide_a_range_into_smaller_ones(overflow_starts, task, max_tasks):
    ranges = TaskRanges(RANGE_SIZE, TASKS, overflow_starts)
    start = ranges.start(task)
    end = ranges.end(start)
    points = ranges.split_points(start, max_tasks)
    assert bool(points) == (end - start > 1)
    for point in points:
        ranges.add(point)
    bounds = [start, *points, end]
    for start, following in zip(bounds, bounds[1:], strict=False):
        assert ranges.start(start) == start and ranges.end(start) == following
        assert following - start <= max_tasks


@pytest.mark.parametrize("first_task", [-1, 0, 8, 16, TASKS, 99])
def test_no_overflow_range_begins_where_a_range_does_or_outside(first_task):
    with pytest.raises(ValueError):
        TaskRanges(RANGE_SIZE, TASKS).add(first_task)


def test_keys_are_removed_from_left_to_right_and_overflow_ranges_last():
    ranges = TaskRanges(RANGE_SIZE, TASKS, [12, 3])
    assert ranges.keys("job-1") == [
        *(range_key("job-1", number) for number in range(3)),
        overflow_range_key("job-1", 3),
        overflow_range_key("job-1", 12),
    ]
    assert ranges.key("job-1", 8) == range_key("job-1", 1) and ranges.key("job-1", 12) == overflow_range_key(
        "job-1", 12
    )
    ranges.remove(12)
    ranges.remove(13)
    assert ranges.overflow_starts == [3]
