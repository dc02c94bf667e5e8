"""What users are answered, with a state service that is behind, refuses or does not answer."""

import msgspec
import pytest
from twisted.internet.defer import Deferred

from spindleglade.runtime.background import run_in_background
from spindleglade.settings.platform import NextStateLimits, StateLimits
from spindleglade.store.errors import NotAppliedError, StaleReplicaError, ValueTooLargeError
from spindleglade.store.messages import Committed, ConditionFailed, Put, encode_value
from spindleglade.submissions.api import UserApi
from spindleglade.submissions.messages import (
    decode_submission,
)
from spindleglade.submissions.records import (
    JobRecord,
    job_key,
)
from spindleglade.submissions.test_messages import LARGE, SHAPES, TEAMS, encode
from spindleglade.submissions.views import JobViews


class FakeStateService:
    """State service and replica of one controller. The replica reads what the service holds only when it
    catches up; while `reachable` is false every request fails."""

    def __init__(self):
        self.limits = StateLimits(100.0, 40.0, 16.0, 12)
        # The limit that the client knows, the limit that holds, and the writes refused by it.
        self.value_bytes, self.accepted_value_bytes, self.refused = 16 * 1024, 16 * 1024, []
        self.keys, self.mod_revisions, self.revision, self.reachable = {}, {}, 0, True
        self.views = JobViews()
        # What the response to a transaction waits for.
        self.response_delay = None
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
        if any(len(write.value) > self.accepted_value_bytes for write in writes):
            assert writes not in self.refused, "repeated unchanged"
            self.refused.append(writes)
            self.value_bytes = self.limits.value_bytes
            raise ValueTooLargeError("400")
        failed = {
            condition.key
            for condition in conditions
            if self.keys.get(condition.key, (b"", 0))[1] != condition.mod_revision
        }
        if failed:
            return ConditionFailed(frozenset(failed), self.revision)
        self.write(writes)
        revision = self.revision
        if self.response_delay is not None:
            await self.response_delay
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
        """A list that holds the response once there is one."""
        responses = []
        run_in_background(self.api.handle(method, path, body), "request").addCallback(responses.append)
        return responses

    def status(self, *request):
        return self.ask(*request)[0].status


INVALID_BODIES = {
    "unknown team": encode(crew="nobody"),
    "too large": encode(vcpus=9999.0),
    "no tasks": encode(threads=0),
    "no fields": b'{"ref":"job-000412"}',
    "wrong type": encode(frames=3),
}


@pytest.mark.parametrize("body", INVALID_BODIES.values(), ids=list(INVALID_BODIES))
def test_the_repetition_of_an_accepted_submission_is_never_refused_whatever_its_body(body):
    service = FakeStateService()
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
    # A controller that does not know the machine types cannot decide, unless it knows the job.
    service.reachable, service.api._submitter._shapes = True, lambda: None
    assert service.status("POST", "/submissions", body) == 200
    # A body that names no job repeats nothing.
    assert service.status("POST", "/submissions", b'{"ref":"job-000412"') == 400
    assert service.status("POST", "/submissions", b"[]") == 400


def test_a_delayed_acceptance_does_not_answer_with_an_older_state():
    service = FakeStateService()
    service.response_delay = Deferred()
    first = service.ask("POST", "/submissions", encode())
    assert not first
    assert service.status("POST", "/submissions", encode()) == 200
    service.response_delay, delay = None, service.response_delay
    assert b"aborted" in service.ask("POST", "/submissions/job-000412/abort")[0].body
    assert b"aborted" in service.ask("GET", "/submissions/job-000412")[0].body
    delay.callback(None)
    assert first[0].status == 201 and b"aborted" in first[0].body


def test_a_job_whose_record_cannot_be_decoded_is_not_called_unknown():
    service = FakeStateService()
    service.mod_revisions[job_key("job-000412")] = 3
    assert service.status("GET", "/submissions/job-000412") == 503
    assert service.status("POST", "/submissions/job-000412/abort") == 503
    assert service.status("GET", "/submissions/job-1") == 404


def test_a_job_too_large_for_a_value_is_refused_at_once_unless_it_is_known():
    """A 503 would make users retry it for ever."""
    service = FakeStateService()
    service.limits = StateLimits(100.0, 40.0, 16.0, 12, NextStateLimits(value_kb=2.0))
    assert service.status("POST", "/submissions", LARGE) == 400 and not service.refused
    service.write([Put(job_key("job-000412"), encode_value(JobRecord("open", decode_submission(LARGE), 8)))])
    assert service.status("POST", "/submissions", LARGE) == 200
    # The same holds where the service accepts less than the settings say.
    service = FakeStateService()
    service.accepted_value_bytes = 2048
    assert service.status("POST", "/submissions", LARGE) == 400 and len(service.refused) == 1


def test_a_job_accepted_under_a_larger_limit_can_still_be_cancelled():
    service = FakeStateService()
    service.limits = StateLimits(100.0, 40.0, 16.0, 12, NextStateLimits(value_kb=2.0))
    spec = decode_submission(LARGE)
    service.write([Put(job_key(spec.id), encode_value(JobRecord("open", spec, 8)))])
    service.accepted_value_bytes = 2048
    assert b"aborted" in service.ask("POST", "/submissions/job-000412/abort")[0].body
    assert len(service.refused) == 1
    kept = msgspec.json.decode(service.keys[job_key(spec.id)][0], type=JobRecord)
    assert kept.state == "aborted" and kept.range_size == 8
    assert (kept.spec.team, kept.spec.cpus, kept.spec.gpus, kept.spec.memory_gb, kept.spec.tasks) == (
        spec.team, spec.cpus, spec.gpus, spec.memory_gb, spec.tasks,
    )  # fmt: skip
