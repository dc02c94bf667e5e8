"""Tests of the stored records of jobs and task ranges."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from spindleglade.settings.platform import StateLimits
from spindleglade.store.messages import encode_value
from spindleglade.submissions.messages import (
    decode_submission,
)
from spindleglade.submissions.records import (
    JobRecord,
    StoredAttempt,
    TaskRangeRecord,
    consecutive_runs,
    final_record,
    range_key,
    split_range_key,
    tasks_per_range,
)
from spindleglade.submissions.test_messages import LARGE


@given(st.sets(st.integers(0, 300)))
def test_runs_hold_the_same_numbers(numbers):
    runs = consecutive_runs(sorted(numbers))
    assert {number for first, last in runs for number in range(first, last + 1)} == numbers
    assert TaskRangeRecord(done=runs).count_done() == len(numbers)


@given(
    st.dictionaries(
        st.integers(0, 99_999),
        st.builds(StoredAttempt, st.integers(1, 1 << 32), st.text(max_size=20), st.integers(1, 1 << 32)),
        max_size=5,
    ),
    st.dictionaries(st.integers(0, 99_999), st.integers(1, 1 << 32), max_size=5),
)
def test_task_ranges_are_decoded_as_they_were_encoded(placed, tried):
    range_record = TaskRangeRecord([(1, 2)], placed, tried)
    assert msgspec.json.decode(encode_value(range_record), type=TaskRangeRecord) == range_record


@pytest.mark.parametrize("value_kb", [0.5, 4.0, 16.0, 64.0])
def test_the_longest_task_range_fits_into_a_value(value_kb):
    range_size = tasks_per_range(StateLimits(100.0, 40.0, value_kb, 12).new_value_bytes)
    longest_attempt = StoredAttempt(1 << 32, "n-0000000000000000", 1 << 32)
    range_record = TaskRangeRecord(placed={99_999 - task: longest_attempt for task in range(range_size)})
    assert len(encode_value(range_record)) <= value_kb * 1024
    assert split_range_key(range_key("job-1", 390)) == ("job-1", 390)


def test_a_final_record_is_shortened_only_where_it_must_be():
    record = JobRecord("open", decode_submission(LARGE), 8)
    unshortened = msgspec.structs.replace(record, state="done")
    assert (
        final_record(record, "done", None)
        == unshortened
        == final_record(record, "done", len(encode_value(unshortened)))
    )
    assert len(encode_value(final_record(record, "done", 1843))) <= 1843
