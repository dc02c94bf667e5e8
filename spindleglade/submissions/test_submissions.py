"""Submissions, their validation, and the records."""

import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.defer import Deferred

from spindleglade.settings import Team
from spindleglade.settings.platform import NextStateLimits, StateLimits
from spindleglade.store.client import Committed, Put, Refused, TooLarge, Unavailable, raw
from spindleglade.store.replica import Unconfirmed
from spindleglade.submissions.api import UserApi
from spindleglade.submissions.messages import (
    Impossible,
    MachineShape,
    check_possible,
    decode_submission,
    named_job,
)
from spindleglade.submissions.records import (
    Chunk,
    JobRecord,
    Placement,
    chunk_key,
    chunk_size,
    end_record,
    job_key,
    runs,
    split_chunk_key,
)
from spindleglade.submissions.views import JobViews
from spindleglade.tasks import spawn

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


@pytest.mark.parametrize("start", [b"{", encode()[:-1] + b","], ids=["alone", "after all fields"])
def test_what_is_nested_too_deeply_is_malformed(start):
    """It was answered 503, which users retry."""
    body = start + b'"x":' + b"[" * 30_000
    with pytest.raises(msgspec.DecodeError):
        decode_submission(body)
    assert named_job(body) is None


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


CHUNK_CHANGES = [
    ("job", JobRecord("open", decode_submission(encode()), 8)),
    ("task", Chunk([(0, 1)], {2: Placement(1, "n-1", 1)})),
    ("task", Chunk([(0, 2)], {3: Placement(1, "n-1", 1), 4: Placement(1, "n-1", 1)})),
]


@pytest.mark.parametrize("order", [(0, 1, 2), (1, 0, 2), (1, 2, 0)])
def test_a_view_is_the_same_in_whichever_order_its_records_come(order):
    """A listing reads the jobs before the chunks, so it may hold the chunk of a job that was accepted between
    the two. The chunk was dropped, and as its mark was known it was never told again."""
    views = JobViews()
    for at in order:
        kind, record = CHUNK_CHANGES[at]
        key = job_key("job-000412") if kind == "job" else chunk_key("job-000412", 0)
        views.listener(key, raw(record), at + 1)
    view = views.jobs["job-000412"]
    assert (view.stage, view.done_count, view.running) == ("running", 3, 2)
    # Chunks that are removed before their job is known leave nothing behind.
    views.listener(chunk_key("job-2", 0), raw(Chunk([(0, 1)])), 5)
    views.listener(chunk_key("job-2", 0), None, 6)
    assert not views.chunks_before_job


class Service:
    """State service and replica of one node. The replica takes in what the store holds only when it is proven
    current; `reachable` is false while the store answers nothing."""

    def __init__(self):
        self.limits = StateLimits(100.0, 40.0, 16.0, 12)
        self.value_bytes, self.most, self.refused = 16 * 1024, 16 * 1024, []
        self.keys, self.marks, self.turn, self.reachable = {}, {}, 0, True
        self.views = JobViews()
        self.answer = None
        self.api = UserApi(self, self, self.views, TEAMS, lambda: SHAPES, self.forward, lambda: None)

    async def forward(self, method, path, body):
        return None

    def write(self, writes):
        self.turn += 1
        for write in writes:
            self.keys[write.key] = (bytes(write.value), self.turn)

    async def txn(self, when, writes, urgent=False):
        if not self.reachable:
            raise Unavailable("503")
        if any(len(write.value) > self.most for write in writes):
            assert writes not in self.refused, "repeated unchanged"
            self.refused.append(writes)
            self.value_bytes = self.limits.value_bytes
            raise TooLarge("400")
        failed = {at.key for at in when if self.keys.get(at.key, (b"", 0))[1] != at.mark}
        if failed:
            return Refused(frozenset(failed), self.turn)
        self.write(writes)
        turn = self.turn
        if self.answer is not None:
            await self.answer
        return Committed(turn)

    async def confirm(self):
        if not self.reachable:
            raise Unconfirmed("503")
        for key, (value, mark) in self.keys.items():
            self.learn(key, value, mark)

    def learn(self, key, value, mark):
        if mark > self.marks.get(key, 0):
            self.marks[key] = mark
            self.views.listener(key, bytes(value), mark)

    def ask(self, method, path, body=b""):
        """The answer; None as long as there is none."""
        answers = []
        spawn(self.api.handle(method, path, body), "request").addCallback(answers.append)
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
    service.write([Put(job_key("job-000412"), raw(JobRecord("open", decode_submission(encode()), 8)))])
    service.reachable = False
    assert service.status("POST", "/submissions", body) == 503
    service.reachable = True
    assert service.status("POST", "/submissions", body) == 200
    # Known now, but it may have ended meanwhile: not to be answered from memory.
    service.reachable = False
    assert service.status("POST", "/submissions", body) == 503
    # Nor by a node that does not know the types: it cannot decide, or knows the job.
    service.reachable, service.api._shapes = True, lambda: None
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
    service.marks[job_key("job-000412")] = 3
    assert service.status("GET", "/submissions/job-000412") == 503
    assert service.status("POST", "/submissions/job-000412/abort") == 503
    assert service.status("GET", "/submissions/job-1") == 404


LARGE = encode(frames=["g8", *(f"type-{number:03d}" + "x" * 80 for number in range(40))], pattern="i" * 400)


def test_a_job_too_large_to_be_kept_is_refused_at_once_unless_it_is_known():
    """It was answered 503, for ever."""
    service = Service()
    service.limits = StateLimits(100.0, 40.0, 16.0, 12, NextStateLimits(value_kb=2.0))
    assert service.status("POST", "/submissions", LARGE) == 400 and not service.refused
    service.write([Put(job_key("job-000412"), raw(JobRecord("open", decode_submission(LARGE), 8)))])
    assert service.status("POST", "/submissions", LARGE) == 200
    # Nor where the service takes less than the settings say.
    service = Service()
    service.most = 2048
    assert service.status("POST", "/submissions", LARGE) == 400 and len(service.refused) == 1


def test_a_job_accepted_under_a_larger_limit_can_still_be_aborted():
    service = Service()
    service.limits = StateLimits(100.0, 40.0, 16.0, 12, NextStateLimits(value_kb=2.0))
    spec = decode_submission(LARGE)
    service.write([Put(job_key(spec.id), raw(JobRecord("open", spec, 8)))])
    service.most = 2048
    assert b"aborted" in service.ask("POST", "/submissions/job-000412/abort")[0].body
    assert len(service.refused) == 1
    kept = msgspec.json.decode(service.keys[job_key(spec.id)][0], type=JobRecord)
    assert kept.stage == "aborted" and kept.chunk == 8
    assert (kept.spec.team, kept.spec.cpus, kept.spec.gpus, kept.spec.memory_gb, kept.spec.tasks) == (
        spec.team, spec.cpus, spec.gpus, spec.memory_gb, spec.tasks,
    )  # fmt: skip


def test_the_record_of_a_job_that_is_over_is_shortened_only_where_it_must_be():
    record = JobRecord("open", decode_submission(LARGE), 8)
    whole = msgspec.structs.replace(record, stage="done")
    assert end_record(record, "done", None) == whole == end_record(record, "done", len(raw(whole)))
    assert len(raw(end_record(record, "done", 1843))) <= 1843
