"""The boundaries of a job's values, against their definition."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from spindleglade.submissions.records import overflow_range_key, range_key
from spindleglade.submissions.task_ranges import TaskRanges

TASKS, CHUNK = 23, 8
FIRSTS = st.sets(st.integers(1, TASKS - 1).filter(lambda first: first % CHUNK))


@given(st.lists(st.integers(1, TASKS - 1).filter(lambda first: first % CHUNK)))
def test_the_largest_boundary_up_to_a_task_decides(firsts):
    pieces = TaskRanges(CHUNK, TASKS, firsts)
    boundaries = sorted({0, 8, 16, *firsts})
    for index in range(TASKS):
        start = max(at for at in boundaries if at <= index)
        assert pieces.start(index) == start
        assert pieces.end(start) == min((at for at in boundaries if at > index), default=TASKS)
        assert pieces.is_overflow(index) == (index in firsts)


@given(FIRSTS, st.integers(0, TASKS - 1), st.integers(1, 30))
def test_cuts_divide_a_piece_into_smaller_ones(firsts, index, width):
    pieces = TaskRanges(CHUNK, TASKS, firsts)
    start = pieces.start(index)
    end = pieces.end(start)
    cuts = pieces.split_points(start, width)
    assert bool(cuts) == (end - start > 1)
    for cut in cuts:
        pieces.add(cut)
    bounds = [start, *cuts, end]
    for first, following in zip(bounds, bounds[1:], strict=False):
        assert pieces.start(first) == first and pieces.end(first) == following
        assert following - first <= width


@pytest.mark.parametrize("first", [-1, 0, 8, 16, TASKS, 99])
def test_no_part_begins_where_a_chunk_does_or_outside(first):
    with pytest.raises(ValueError):
        TaskRanges(CHUNK, TASKS).add(first)


def test_keys_are_removed_from_left_to_right_and_chunks_first():
    pieces = TaskRanges(CHUNK, TASKS, [12, 3])
    assert pieces.keys("job-1") == [
        *(range_key("job-1", number) for number in range(3)),
        overflow_range_key("job-1", 3),
        overflow_range_key("job-1", 12),
    ]
    assert pieces.key("job-1", 8) == range_key("job-1", 1) and pieces.key("job-1", 12) == overflow_range_key(
        "job-1", 12
    )
    pieces.remove(12)
    pieces.remove(13)
    assert pieces.overflow_starts == [3]
