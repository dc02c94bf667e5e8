"""Heartbeats at a controller: late copies, redirects, renewals without the leader, and relaying."""

from datetime import timedelta

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.defer import Deferred, ensureDeferred

from spindleglade.runtime.clock import ManualClock, seconds
from spindleglade.store.messages import encode_value
from spindleglade.submissions.records import JobRecord, StoredAttempt, TaskRangeRecord, job_key, range_key
from spindleglade.submissions.views import JobViews
from spindleglade.workers.api import LeaderAccess, WorkerApi
from spindleglade.workers.cancellation_freshness import CancellationFreshness
from spindleglade.workers.heartbeat_balancer import ControllerLoad, HeartbeatBalancer
from spindleglade.workers.heartbeat_relay import HeartbeatRelay
from spindleglade.workers.isolation_detector import IsolationDetector
from spindleglade.workers.messages import Heartbeat, decode_heartbeat
from tests.cluster_harness import spec

LEASE, HEARTBEAT_INTERVAL = seconds(10), seconds(1)


class Follower:
    """A controller that reaches no leader. It is isolated from the store and its peers since
    `isolated_since`; None: it is not isolated."""

    def __init__(self, isolated_since=None, zone="a"):
        self.clock = ManualClock()
        self.views = JobViews()
        self.known_as_of = timedelta(0)
        self.isolated_since = isolated_since

        async def relay(body):
            return None

        self.api = WorkerApi(
            self.clock,
            self.views,
            CancellationFreshness(self.clock, seconds(17), lambda: self.known_as_of),
            LeaderAccess(lambda heartbeat: None, lambda: False, relay),
            lambda token: None,
            HeartbeatBalancer(self.clock, HEARTBEAT_INTERVAL, 2, LEASE),
            IsolationDetector(self.clock, zone, LEASE, lambda: self.isolated_since),
        )

    def heartbeat(self, sequence, machine="n-1", zone="a", incarnation=1):
        heartbeat = Heartbeat(machine, "x:1", "m", zone, True, incarnation, sequence, 7, [])
        responses = []
        body = msgspec.json.encode(heartbeat)
        ensureDeferred(self.api.handle("POST", "/v1/report", body)).addCallback(responses.append)
        return responses[0].status


def test_a_late_copy_of_a_heartbeat_renews_no_lease_and_reports_no_renewal():
    """Otherwise a dead machine would count as alive when copies of its heartbeats arrive, and its tasks would
    not be placed again."""
    follower = Follower()
    assert follower.heartbeat(5) == 200 and follower.api.renewed_without_leader == {"n-1": timedelta(0)}
    follower.clock.advance(seconds(8))
    assert follower.heartbeat(5) == 503 and follower.heartbeat(4) == 503
    assert follower.api.renewed_without_leader == {"n-1": timedelta(0)}
    assert follower.heartbeat(1, incarnation=2) == 200


def test_leases_are_renewed_only_while_the_known_cancellations_are_fresh():
    follower = Follower()
    follower.clock.advance(seconds(17))
    assert follower.heartbeat(1) == 200
    follower.clock.advance(seconds(0.1))
    assert follower.heartbeat(2) == 503
    follower.known_as_of = follower.clock.now()
    assert follower.heartbeat(3) == 200
    follower.known_as_of = None
    assert follower.heartbeat(4) == 503


def test_no_lease_is_renewed_where_a_start_of_a_cancelled_job_may_be_in_flight():
    """A start sent directly to the machine may be delayed by minutes, and is executed if the incarnation
    still lasts then. The worker's heartbeats do not show it, but the record written before it does."""
    follower = Follower()

    def observe(state, task_range):
        job_record = encode_value(JobRecord(state, spec("job-1"), 2))
        follower.views.on_change(job_key("job-1"), job_record, 1)
        follower.views.on_change(range_key("job-1", 0), task_range and encode_value(task_range), 2)

    placed = TaskRangeRecord(placed={0: StoredAttempt(1, "n-1", 1)})
    observe("open", placed)
    assert follower.heartbeat(1) == 200
    observe("aborted", placed)
    assert follower.heartbeat(2) == 503
    # The start cannot reach another machine, or another incarnation of this one.
    assert follower.heartbeat(3, "n-2") == 200 and follower.heartbeat(1, incarnation=2) == 200
    # The leader has recorded that the attempt is proven to have ended.
    observe("aborted", None)
    assert follower.heartbeat(4, incarnation=1) == 503 and follower.heartbeat(5, incarnation=2) == 200
    follower.views.on_change(
        range_key("job-1", 0), encode_value(TaskRangeRecord(placed={1: StoredAttempt(1, "n-1", 2)})), 3
    )
    assert follower.heartbeat(6, incarnation=2) == 503


def test_a_heartbeat_nested_too_deeply_is_malformed():
    with pytest.raises(msgspec.DecodeError):
        decode_heartbeat(b'{"x":' + b"[" * 30_000)


def test_an_isolated_controller_redirects_each_worker_once():
    follower = Follower(isolated_since=timedelta(0))
    follower.clock.advance(seconds(1))
    # Only workers of its own zone reach it: the zone may be isolated, and then they reach no other
    # controller.
    assert follower.heartbeat(1) == 200
    # A worker of another zone reaches it, so its zone is not isolated.
    assert follower.heartbeat(1, "n-2", "b") == 421
    assert follower.heartbeat(2) == 421
    # The worker has come back: it found no other controller.
    follower.clock.advance(seconds(6))
    assert follower.heartbeat(3) == 200 and follower.heartbeat(4) == 200


def test_a_controller_that_is_not_isolated_redirects_no_worker():
    follower = Follower(isolated_since=None)
    assert follower.heartbeat(1, "n-2", "b") == 200 and follower.heartbeat(1) == 200


@given(st.lists(st.integers(0, 400), min_size=2, max_size=2), st.integers(0, 400), st.booleans())
def test_workers_are_redirected_only_to_peers_that_have_fewer(others, own, is_leader):
    clock = ManualClock()
    balancer = HeartbeatBalancer(clock, HEARTBEAT_INTERVAL, 2, LEASE)
    loads = [ControllerLoad(f"n-{number}", count, False) for number, count in enumerate(others)]
    balancer.rebalance(ControllerLoad("me", own, is_leader), loads)
    # No worker is redirected at once: a peer that has only just come back may become unavailable again.
    assert balancer.redirect_target("w-0") is None
    clock.advance(LEASE)
    balancer.rebalance(ControllerLoad("me", own, is_leader), loads)
    targets = [balancer.redirect_target(f"w-{number}") for number in range(own)]
    after = {load.controller: load.workers + targets.count(load.controller) for load in loads}
    remaining = own - sum(target is not None for target in targets)
    for controller, workers in after.items():
        if controller in targets:
            assert workers <= remaining * (2 if is_leader else 1) + 1
    if all(count >= own for count in others) and not is_leader:
        assert set(targets) <= {None}
    # A peer is unavailable: no worker is redirected.
    balancer.rebalance(ControllerLoad("me", own, is_leader), loads[:1])
    assert balancer.redirect_target("w-x") is None


def test_a_worker_that_was_redirected_and_came_back_is_not_redirected_again():
    clock = ManualClock()
    balancer = HeartbeatBalancer(clock, HEARTBEAT_INTERVAL, 1, LEASE)
    for _ in range(2):
        balancer.rebalance(ControllerLoad("me", 100, False), [ControllerLoad("other", 0, False)])
        clock.advance(LEASE)
    balancer.rebalance(ControllerLoad("me", 100, False), [ControllerLoad("other", 0, False)])
    assert balancer.redirect_target("w-1") == "other" and balancer.redirect_target("w-1") is None


@given(st.lists(st.binary(max_size=5), min_size=1, max_size=8), st.sampled_from(["ok", "lost", "short"]))
def test_each_relayed_heartbeat_gets_its_own_response(heartbeats, outcome):
    clock, relayed = ManualClock(), []

    async def send_to_leader(batch):
        relayed.append(list(batch))
        responses = [b"to " + heartbeat for heartbeat in batch]
        return {"ok": responses, "lost": None, "short": responses[1:]}[outcome]

    relay, received = HeartbeatRelay(clock, seconds(0.02), send_to_leader), []
    for number, heartbeat in enumerate(heartbeats):
        waiting: Deferred = ensureDeferred(relay.send(heartbeat))
        waiting.addCallback(lambda response, number=number: received.append((number, response)))
    assert not received
    clock.advance(seconds(0.02))
    assert relayed == [heartbeats]
    expected = [b"to " + heartbeat if outcome == "ok" else None for heartbeat in heartbeats]
    assert sorted(received) == list(enumerate(expected))


@given(st.binary(max_size=80))
def test_a_malformed_heartbeat_is_answered_400(data):
    try:
        decode_heartbeat(data)
    except (msgspec.DecodeError, UnicodeDecodeError):
        responses = []
        follower = Follower()
        ensureDeferred(follower.api.handle("POST", "/v1/report", data)).addCallback(responses.append)
        assert responses[0].status == 400
