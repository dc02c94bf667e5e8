"""Tests of the users' interface with a replica that is behind and a state service that refuses requests."""

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
    """A state service together with the replica of one controller.

    The replica is updated only by `catch_up` and `observe`. While `reachable` is false, every request fails.
    """

    def __init__(self):
        self.limits = StateLimits(100.0, 40.0, 16.0, 12)
        # The limit known to the client, the limit that the service enforces, and the writes it has refused.
        self.existing_value_bytes, self.enforced_value_bytes, self.refused_writes = 16 * 1024, 16 * 1024, []
        self.keys, self.mod_revisions, self.revision, self.reachable = {}, {}, 0, True
        self.views = JobViews()
        # If set, a Deferred that the response to a transaction waits for.
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
        if any(len(write.value) > self.enforced_value_bytes for write in writes):
            assert writes not in self.refused_writes, "repeated unchanged"
            self.refused_writes.append(writes)
            self.existing_value_bytes = self.limits.new_value_bytes
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

    def send(self, method, path, body=b""):
        """Sends a request. Returns a list that gets the response, and is empty until then."""
        responses = []
        run_in_background(self.api.handle(method, path, body), "request").addCallback(responses.append)
        return responses

    def status(self, *request):
        return self.send(*request)[0].status


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
    # A peer has accepted the job, and this replica has not read its record yet.
    service.write(
        [Put(job_key("job-000412"), encode_value(JobRecord("open", decode_submission(encode()), 8)))]
    )
    service.reachable = False
    assert service.status("POST", "/submissions", body) == 503
    service.reachable = True
    assert service.status("POST", "/submissions", body) == 200
    # The replica has the job now, but the job may have ended since, so a catch-up is needed.
    service.reachable = False
    assert service.status("POST", "/submissions", body) == 503
    # Without the machine types a submission cannot be checked, but a repeated one needs no check.
    service.reachable, service.api._submitter._shapes = True, lambda: None
    assert service.status("POST", "/submissions", body) == 200
    # A body without a valid job id cannot be a repeated submission.
    assert service.status("POST", "/submissions", b'{"ref":"job-000412"') == 400
    assert service.status("POST", "/submissions", b"[]") == 400


def test_a_delayed_acceptance_does_not_answer_with_an_older_state():
    service = FakeStateService()
    service.response_delay = Deferred()
    first = service.send("POST", "/submissions", encode())
    assert not first
    assert service.status("POST", "/submissions", encode()) == 200
    service.response_delay, acceptance_delay = None, service.response_delay
    assert b"aborted" in service.send("POST", "/submissions/job-000412/abort")[0].body
    assert b"aborted" in service.send("GET", "/submissions/job-000412")[0].body
    acceptance_delay.callback(None)
    assert first[0].status == 201 and b"aborted" in first[0].body


def test_a_job_whose_record_cannot_be_decoded_is_not_called_unknown():
    service = FakeStateService()
    service.mod_revisions[job_key("job-000412")] = 3
    assert service.status("GET", "/submissions/job-000412") == 503
    assert service.status("POST", "/submissions/job-000412/abort") == 503
    assert service.status("GET", "/submissions/job-1") == 404


def test_a_job_too_large_for_a_value_is_refused_at_once_unless_it_is_known():
    """With a response of status 503, users would retry the submission for ever."""
    service = FakeStateService()
    service.limits = StateLimits(100.0, 40.0, 16.0, 12, NextStateLimits(value_kb=2.0))
    assert service.status("POST", "/submissions", LARGE) == 400 and not service.refused_writes
    service.write([Put(job_key("job-000412"), encode_value(JobRecord("open", decode_submission(LARGE), 8)))])
    assert service.status("POST", "/submissions", LARGE) == 200
    # The same applies if the service enforces a smaller limit than the settings announce.
    service = FakeStateService()
    service.enforced_value_bytes = 2048
    assert service.status("POST", "/submissions", LARGE) == 400 and len(service.refused_writes) == 1


def test_a_job_accepted_under_a_larger_limit_can_still_be_cancelled():
    service = FakeStateService()
    service.limits = StateLimits(100.0, 40.0, 16.0, 12, NextStateLimits(value_kb=2.0))
    spec = decode_submission(LARGE)
    service.write([Put(job_key(spec.id), encode_value(JobRecord("open", spec, 8)))])
    service.enforced_value_bytes = 2048
    assert b"aborted" in service.send("POST", "/submissions/job-000412/abort")[0].body
    assert len(service.refused_writes) == 1
    kept = msgspec.json.decode(service.keys[job_key(spec.id)][0], type=JobRecord)
    assert kept.state == "aborted" and kept.range_size == 8
    assert (kept.spec.team, kept.spec.cpus, kept.spec.gpus, kept.spec.memory_gb, kept.spec.tasks) == (
        spec.team, spec.cpus, spec.gpus, spec.memory_gb, spec.tasks,
    )  # fmt: skip
