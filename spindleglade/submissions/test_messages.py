"""Tests of the decoding and the schedulability of submissions."""

import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from spindleglade.settings import Team
from spindleglade.submissions.errors import UnschedulableJobError
from spindleglade.submissions.messages import decode_job_reference, decode_submission
from spindleglade.submissions.schedulability import MachineShape, check_schedulable

VALID_SUBMISSION = {
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

OPTIONAL_FIELDS = ("frames", "glade", "due_s")


def encode(**changes):
    return json.dumps(VALID_SUBMISSION | changes).encode()


# A job whose record takes more than 2 KiB.
LARGE = encode(frames=["g8", *(f"type-{number:03d}" + "x" * 80 for number in range(40))], pattern="i" * 400)


def test_a_valid_submission_is_decoded_and_unknown_fields_are_ignored():
    job = decode_submission(encode(later={"x": 1}))
    assert (job.id, job.team, job.tasks, job.one_zone, job.deadline_s) == (
        "job-000412",
        "vision",
        16,
        True,
        900.0,
    )
    check_schedulable(job, TEAMS, SHAPES)


@pytest.mark.parametrize("field", VALID_SUBMISSION)
def test_every_field_is_required_but_those_that_may_be_null(field):
    fields = {key: value for key, value in VALID_SUBMISSION.items() if key != field}
    if field in OPTIONAL_FIELDS:
        assert decode_submission(json.dumps(fields).encode()) == decode_submission(encode(**{field: None}))
        return
    with pytest.raises((msgspec.DecodeError, ValueError)):
        decode_submission(json.dumps(fields).encode())


INVALID_NUMBERS = ["-1", "true", "NaN", "Infinity", "1e400", '"8"', "[]", "1e12"]


@pytest.mark.parametrize("field", ["threads", "vcpus", "mem_gb", "reckon_s", "due_s", "size_gb"])
@pytest.mark.parametrize("number", INVALID_NUMBERS)
def test_invalid_numbers_are_refused(field, number):
    text = encode(**{field: "@"}).replace(b'"@"', number.encode())
    with pytest.raises(msgspec.DecodeError):
        decode_submission(text)


@pytest.mark.parametrize("id", ["", "job-", "job-x", "Job-1", "job-1/2", "job-1\n", "task-1", "job-١"])
def test_invalid_ids_are_refused(id):
    with pytest.raises(msgspec.DecodeError):
        decode_submission(encode(ref=id))


@given(st.binary(max_size=80))
def test_any_other_body_is_refused_as_malformed(body):
    with pytest.raises((msgspec.DecodeError, UnicodeDecodeError)):
        decode_submission(body)


@pytest.mark.parametrize("start", [b"{", encode()[:-1] + b","], ids=["alone", "after all fields"])
def test_a_body_nested_too_deeply_is_malformed(start):
    """With a response of status 503, users would retry the submission."""
    body = start + b'"x":' + b"[" * 30_000
    with pytest.raises(msgspec.DecodeError, match="^nested too deeply$"):
        decode_submission(body)
    assert decode_job_reference(body) is None


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
def test_a_job_that_can_never_run_is_unschedulable(change):
    with pytest.raises(UnschedulableJobError):
        check_schedulable(decode_submission(encode(**change)), TEAMS, SHAPES)


@pytest.mark.parametrize("change", [{}, {"threads": 100_000}, {"weave": "group", "threads": 1000}])
def test_a_team_with_a_limit_of_0_has_no_limit(change):
    check_schedulable(decode_submission(encode(crew="guest", **change)), {"guest": Team("guest")}, SHAPES)
