"""Submissions, their validation, and the records."""

import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from spindleglade.settings import Team
from spindleglade.settings.platform import StateLimits
from spindleglade.store.client import raw
from spindleglade.submissions.messages import Impossible, MachineShape, check_possible, decode_submission
from spindleglade.submissions.records import (
    Chunk,
    JobRecord,
    JobViews,
    Placement,
    chunk_key,
    chunk_size,
    job_key,
    runs,
    split_chunk_key,
)

GOOD = {
    "ref": "job-000412",
    "bobbin": "train",
    "crew": "vision",
    "weave": "array",
    "urgency": "high",
    "threads": 16,
    "vcpus": 8.0,
    "accelerators": 1.0,
    "mem_gb": 64.0,
    "pattern": "img-07",
    "size_gb": 6.2,
    "frames": ["g8"],
    "glade": None,
    "together": True,
    "scatter": False,
    "windfall": True,
    "reckon_s": 240.0,
    "knot_s": 30.0,
    "tie_s": 4.0,
    "due_s": 900.0,
}
SHAPES = [MachineShape("g8", 96.0, 8.0, 768.0, ("a", "b"))]
TEAMS = {"vision": Team("vision", 100.0, 200.0, 8.0, 16.0)}
OPTIONAL = ("frames", "glade", "due_s")


def encode(**changes):
    return json.dumps(GOOD | changes).encode()


def test_a_good_submission_is_taken_and_unknown_fields_are_ignored():
    job = decode_submission(encode(later={"x": 1}))
    assert (job.id, job.team, job.tasks, job.one_zone, job.deadline_s) == (
        "job-000412",
        "vision",
        16,
        True,
        900.0,
    )
    check_possible(job, TEAMS, SHAPES)


@pytest.mark.parametrize("field", GOOD)
def test_every_field_is_needed_but_those_that_may_be_null(field):
    without = {key: value for key, value in GOOD.items() if key != field}
    if field in OPTIONAL:
        assert decode_submission(json.dumps(without).encode()) == decode_submission(encode(**{field: None}))
        return
    with pytest.raises((msgspec.DecodeError, ValueError)):
        decode_submission(json.dumps(without).encode())


BAD_NUMBERS = ["-1", "true", "NaN", "Infinity", "1e400", '"8"', "[]", "1e12"]


@pytest.mark.parametrize("field", ["threads", "vcpus", "mem_gb", "reckon_s", "due_s", "size_gb"])
@pytest.mark.parametrize("number", BAD_NUMBERS)
def test_wrong_numbers_are_refused(field, number):
    text = encode(**{field: "@"}).replace(b'"@"', number.encode())
    with pytest.raises(msgspec.DecodeError):
        decode_submission(text)


@pytest.mark.parametrize("id", ["", "job-", "job-x", "Job-1", "job-1/2", "job-1\n", "task-1", "job-١"])
def test_bad_ids_are_refused(id):
    with pytest.raises(msgspec.DecodeError):
        decode_submission(encode(ref=id))


@given(st.binary(max_size=80))
def test_no_body_does_worse_than_be_refused(body):
    with pytest.raises((msgspec.DecodeError, UnicodeDecodeError)):
        decode_submission(body)


@pytest.mark.parametrize(
    "change",
    [
        {"crew": "nobody"},
        {"vcpus": 97.0},
        {"vcpus": 201.0},
        {"accelerators": 9.0},
        {"mem_gb": 800.0},
        {"frames": ["none"]},
        {"frames": []},
        {"glade": "z"},
        {"weave": "group", "threads": 26},
    ],
)
def test_what_can_never_run_is_told_apart(change):
    with pytest.raises(Impossible):
        check_possible(decode_submission(encode(**change)), TEAMS, SHAPES)


@pytest.mark.parametrize("change", [{}, {"threads": 100_000}, {"weave": "group", "threads": 1000}])
def test_a_team_with_a_limit_of_0_has_no_limit(change):
    """All 795 jobs of a guest team were answered 422."""
    check_possible(decode_submission(encode(crew="guest", **change)), {"guest": Team("guest")}, SHAPES)


@given(st.sets(st.integers(0, 300)))
def test_runs_hold_the_same_numbers(numbers):
    found = runs(sorted(numbers))
    assert {number for first, last in found for number in range(first, last + 1)} == numbers
    assert Chunk(done=found).count_done() == len(numbers)


@given(
    st.dictionaries(
        st.integers(0, 99_999),
        st.builds(Placement, st.integers(1, 1 << 32), st.text(max_size=20), st.integers(1, 1 << 32)),
        max_size=5,
    ),
    st.dictionaries(st.integers(0, 99_999), st.integers(1, 1 << 32), max_size=5),
)
def test_chunks_come_back_as_they_were_written(placed, tried):
    chunk = Chunk([(1, 2)], placed, tried)
    assert msgspec.json.decode(raw(chunk), type=Chunk) == chunk


@pytest.mark.parametrize("value_kb", [0.5, 4.0, 16.0, 64.0])
def test_the_longest_chunk_fits_into_a_value(value_kb):
    size = chunk_size(StateLimits(100.0, 40.0, value_kb, 12).value_bytes)
    longest = Placement(1 << 32, "n-0000000000000000", 1 << 32)
    chunk = Chunk(placed={99_999 - index: longest for index in range(size)})
    assert len(raw(chunk)) <= value_kb * 1024
    assert split_chunk_key(chunk_key("job-1", 390)) == ("job-1", 390)


def test_a_view_is_pending_running_and_final():
    views = JobViews()
    job = decode_submission(encode())
    views.listener(job_key(job.id), raw(JobRecord("open", job, 8)), 1)
    assert views.jobs[job.id].stage == "pending"
    views.listener(chunk_key(job.id, 0), raw(Chunk([(0, 1)], {2: Placement(1, "n-1", 1)})), 2)
    assert views.jobs[job.id].stage == "running" and views.jobs[job.id].done_count == 2
    views.listener(job_key(job.id), raw(JobRecord("done", job, 8)), 3)
    views.listener(chunk_key(job.id, 0), None, 4)
    assert views.jobs[job.id].stage == "done" and views.jobs[job.id].done_count == 16
