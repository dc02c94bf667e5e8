"""Submissions, their validation, and the records."""

import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.defer import Deferred

from spindleglade.runtime.background import run_in_background
from spindleglade.settings import Team
from spindleglade.settings.platform import NextStateLimits, StateLimits
from spindleglade.store.client import (
    Committed,
    ConditionFailed,
    NotAppliedError,
    Put,
    ValueTooLargeError,
    encode_value,
)
from spindleglade.store.replica import StaleReplicaError
from spindleglade.submissions.api import UserApi
from spindleglade.submissions.errors import UnschedulableJobError
from spindleglade.submissions.messages import (
    MachineShape,
    check_schedulable,
    decode_job_reference,
    decode_submission,
)
from spindleglade.submissions.records import (
    JobRecord,
    StoredAttempt,
    TaskRangeRecord,
    consecutive_runs,
    final_record,
    job_key,
    range_key,
    split_range_key,
    tasks_per_range,
)
from spindleglade.submissions.views import JobViews

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
    check_schedulable(job, TEAMS, SHAPES)


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


@pytest.mark.parametrize("start", [b"{", encode()[:-1] + b","], ids=["alone", "after all fields"])
def test_what_is_nested_too_deeply_is_malformed(start):
    """It was answered 503, which users retry."""
    body = start + b'"x":' + b"[" * 30_000
    with pytest.raises(msgspec.DecodeError):
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
def test_what_can_never_run_is_told_apart(change):
    with pytest.raises(UnschedulableJobError):
        check_schedulable(decode_submission(encode(**change)), TEAMS, SHAPES)


@pytest.mark.parametrize("change", [{}, {"threads": 100_000}, {"weave": "group", "threads": 1000}])
def test_a_team_with_a_limit_of_0_has_no_limit(change):
    """All 795 jobs of a guest team were answered 422."""
    check_schedulable(decode_submission(encode(crew="guest", **change)), {"guest": Team("guest")}, SHAPES)


@given(st.sets(st.integers(0, 300)))
def test_runs_hold_the_same_numbers(numbers):
    found = consecutive_runs(sorted(numbers))
    assert {number for first, last in found for number in range(first, last + 1)} == numbers
    assert TaskRangeRecord(done=found).count_done() == len(numbers)


@given(
    st.dictionaries(
        st.integers(0, 99_999),
        st.builds(StoredAttempt, st.integers(1, 1 << 32), st.text(max_size=20), st.integers(1, 1 << 32)),
        max_size=5,
    ),
    st.dictionaries(st.integers(0, 99_999), st.integers(1, 1 << 32), max_size=5),
)
def test_chunks_come_back_as_they_were_written(placed, tried):
    chunk = TaskRangeRecord([(1, 2)], placed, tried)
    assert msgspec.json.decode(encode_value(chunk), type=TaskRangeRecord) == chunk


@pytest.mark.parametrize("value_kb", [0.5, 4.0, 16.0, 64.0])
def test_the_longest_chunk_fits_into_a_value(value_kb):
    size = tasks_per_range(StateLimits(100.0, 40.0, value_kb, 12).value_bytes)
    longest = StoredAttempt(1 << 32, "n-0000000000000000", 1 << 32)
    chunk = TaskRangeRecord(placed={99_999 - index: longest for index in range(size)})
    assert len(encode_value(chunk)) <= value_kb * 1024
    assert split_range_key(range_key("job-1", 390)) == ("job-1", 390)


def test_a_view_is_pending_running_and_final():
    views = JobViews()
    job = decode_submission(encode())
    views.on_change(job_key(job.id), encode_value(JobRecord("open", job, 8)), 1)
    assert views.jobs[job.id].state == "pending"
    views.on_change(
        range_key(job.id, 0), encode_value(TaskRangeRecord([(0, 1)], {2: StoredAttempt(1, "n-1", 1)})), 2
    )
    assert views.jobs[job.id].state == "running" and views.jobs[job.id].done_count == 2
    views.on_change(job_key(job.id), encode_value(JobRecord("done", job, 8)), 3)
    views.on_change(range_key(job.id, 0), None, 4)
    assert views.jobs[job.id].state == "done" and views.jobs[job.id].done_count == 16


CHUNK_CHANGES = [
    ("job", JobRecord("open", decode_submission(encode()), 8)),
    ("task", TaskRangeRecord([(0, 1)], {2: StoredAttempt(1, "n-1", 1)})),
    ("task", TaskRangeRecord([(0, 2)], {3: StoredAttempt(1, "n-1", 1), 4: StoredAttempt(1, "n-1", 1)})),
]


@pytest.mark.parametrize("order", [(0, 1, 2), (1, 0, 2), (1, 2, 0)])
def test_a_view_is_the_same_in_whichever_order_its_records_come(order):
    """A listing reads the jobs before the chunks, so it may hold the chunk of a job that was accepted between
    the two. The chunk was dropped, and as its mark was known it was never told again."""
    views = JobViews()
    for at in order:
        kind, record = CHUNK_CHANGES[at]
        key = job_key("job-000412") if kind == "job" else range_key("job-000412", 0)
        views.on_change(key, encode_value(record), at + 1)
    view = views.jobs["job-000412"]
    assert (view.state, view.done_count, view.running) == ("running", 3, 2)
    # Chunks that are removed before their job is known leave nothing behind.
    views.on_change(range_key("job-2", 0), encode_value(TaskRangeRecord([(0, 1)])), 5)
    views.on_change(range_key("job-2", 0), None, 6)
    assert not views.ranges_before_job


class Service:
    """State service and replica of one node. The replica takes in what the store holds only when it is proven
    current; `reachable` is false while the store answers nothing."""

    def __init__(self):
        self.limits = StateLimits(100.0, 40.0, 16.0, 12)
        self.value_bytes, self.most, self.refused = 16 * 1024, 16 * 1024, []
        self.keys, self.mod_revisions, self.revision, self.reachable = {}, {}, 0, True
        self.views = JobViews()
        self.answer = None
        self.api = UserApi(self, self, self.views, TEAMS, lambda: SHAPES, self.forward, lambda: None)

    async def forward(self, method, path, body):
        return None

    def write(self, writes):
        self.revision += 1
        for write in writes:
            self.keys[write.key] = (bytes(write.value), self.revision)

    async def compare_and_swap(self, conditions, writes, urgent=False):
        if not self.reachable:
            raise NotAppliedError("503")
        if any(len(write.value) > self.most for write in writes):
            assert writes not in self.refused, "repeated unchanged"
            self.refused.append(writes)
            self.value_bytes = self.limits.value_bytes
            raise ValueTooLargeError("400")
        failed = {at.key for at in conditions if self.keys.get(at.key, (b"", 0))[1] != at.mod_revision}
        if failed:
            return ConditionFailed(frozenset(failed), self.revision)
        self.write(writes)
        revision = self.revision
        if self.answer is not None:
            await self.answer
        return Committed(revision)

    async def catch_up(self):
        if not self.reachable:
            raise StaleReplicaError("503")
        for key, (value, mod_revision) in self.keys.items():
            self.observe(key, value, mod_revision)

    def observe(self, key, value, mod_revision):
        if mod_revision > self.mod_revisions.get(key, 0):
            self.mod_revisions[key] = mod_revision
            self.views.on_change(key, bytes(value), mod_revision)

    def ask(self, method, path, body=b""):
        """The answer; None as long as there is none."""
        answers = []
        run_in_background(self.api.handle(method, path, body), "request").addCallback(answers.append)
        return answers

    def status(self, *request):
        return self.ask(*request)[0].status


ODD = {
    "unknown team": encode(crew="nobody"),
    "too large": encode(vcpus=9999.0),
    "no tasks": encode(threads=0),
    "no fields": b'{"ref":"job-000412"}',
    "wrong type": encode(frames=3),
}


@pytest.mark.parametrize("body", ODD.values(), ids=list(ODD))
def test_a_repeat_of_a_known_job_is_never_refused_however_odd(body):
    """Where the replica was behind, or the repeat lacked a field, it was answered 400 or 422."""
    service = Service()
    assert service.status("POST", "/submissions", body) in (400, 422)
    # Accepted elsewhere: this replica does not know it yet.
    service.write(
        [Put(job_key("job-000412"), encode_value(JobRecord("open", decode_submission(encode()), 8)))]
    )
    service.reachable = False
    assert service.status("POST", "/submissions", body) == 503
    service.reachable = True
    assert service.status("POST", "/submissions", body) == 200
    # Known now, but it may have ended meanwhile: not to be answered from memory.
    service.reachable = False
    assert service.status("POST", "/submissions", body) == 503
    # Nor by a node that does not know the types: it cannot decide, or knows the job.
    service.reachable, service.api._submitter._shapes = True, lambda: None
    assert service.status("POST", "/submissions", body) == 200
    # What names no job is a repeat of nothing.
    assert service.status("POST", "/submissions", b'{"ref":"job-000412"') == 400
    assert service.status("POST", "/submissions", b"[]") == 400


def test_an_acceptance_whose_answer_was_slow_says_nothing_older():
    service = Service()
    service.answer = Deferred()
    first = service.ask("POST", "/submissions", encode())
    assert not first
    assert service.status("POST", "/submissions", encode()) == 200
    service.answer, slow = None, service.answer
    assert b"aborted" in service.ask("POST", "/submissions/job-000412/abort")[0].body
    assert b"aborted" in service.ask("GET", "/submissions/job-000412")[0].body
    slow.callback(None)
    assert first[0].status == 201 and b"aborted" in first[0].body


def test_a_job_whose_record_cannot_be_read_is_not_called_unknown():
    service = Service()
    service.mod_revisions[job_key("job-000412")] = 3
    assert service.status("GET", "/submissions/job-000412") == 503
    assert service.status("POST", "/submissions/job-000412/abort") == 503
    assert service.status("GET", "/submissions/job-1") == 404


LARGE = encode(frames=["g8", *(f"type-{number:03d}" + "x" * 80 for number in range(40))], pattern="i" * 400)


def test_a_job_too_large_to_be_kept_is_refused_at_once_unless_it_is_known():
    """It was answered 503, for ever."""
    service = Service()
    service.limits = StateLimits(100.0, 40.0, 16.0, 12, NextStateLimits(value_kb=2.0))
    assert service.status("POST", "/submissions", LARGE) == 400 and not service.refused
    service.write([Put(job_key("job-000412"), encode_value(JobRecord("open", decode_submission(LARGE), 8)))])
    assert service.status("POST", "/submissions", LARGE) == 200
    # Nor where the service takes less than the settings say.
    service = Service()
    service.most = 2048
    assert service.status("POST", "/submissions", LARGE) == 400 and len(service.refused) == 1


def test_a_job_accepted_under_a_larger_limit_can_still_be_aborted():
    service = Service()
    service.limits = StateLimits(100.0, 40.0, 16.0, 12, NextStateLimits(value_kb=2.0))
    spec = decode_submission(LARGE)
    service.write([Put(job_key(spec.id), encode_value(JobRecord("open", spec, 8)))])
    service.most = 2048
    assert b"aborted" in service.ask("POST", "/submissions/job-000412/abort")[0].body
    assert len(service.refused) == 1
    kept = msgspec.json.decode(service.keys[job_key(spec.id)][0], type=JobRecord)
    assert kept.state == "aborted" and kept.range_size == 8
    assert (kept.spec.team, kept.spec.cpus, kept.spec.gpus, kept.spec.memory_gb, kept.spec.tasks) == (
        spec.team, spec.cpus, spec.gpus, spec.memory_gb, spec.tasks,
    )  # fmt: skip


def test_the_record_of_a_job_that_is_over_is_shortened_only_where_it_must_be():
    record = JobRecord("open", decode_submission(LARGE), 8)
    whole = msgspec.structs.replace(record, state="done")
    assert (
        final_record(record, "done", None) == whole == final_record(record, "done", len(encode_value(whole)))
    )
    assert len(encode_value(final_record(record, "done", 1843))) <= 1843
