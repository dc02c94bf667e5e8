"""Where workers' reports go: late copies, workers sent elsewhere, reports passed on together."""

from datetime import timedelta

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.defer import Deferred, ensureDeferred

from spindleglade.runtime.clock import ManualClock, seconds
from spindleglade.store.client import encode_value
from spindleglade.submissions.records import JobRecord, StoredAttempt, TaskRangeRecord, job_key, range_key
from spindleglade.submissions.views import JobViews
from spindleglade.workers.api import LeaderAccess, WorkerApi
from spindleglade.workers.cancellation_freshness import CancellationFreshness
from spindleglade.workers.heartbeat_balancer import ControllerLoad, HeartbeatBalancer
from spindleglade.workers.heartbeat_relay import HeartbeatRelay
from spindleglade.workers.isolation_detector import IsolationDetector
from spindleglade.workers.messages import Heartbeat, decode_heartbeat
from spindleglade.workers.test_cluster_state import spec

LEASE, REPORT = seconds(10), seconds(1)


class Node:
    """A follower that reaches no leader, cut off from store and siblings since `since`."""

    def __init__(self, since=None, zone="a"):
        self.clock = ManualClock()
        self.views = JobViews()
        self.proven = timedelta(0)
        self.since = since

        async def relay(body):
            return None

        self.api = WorkerApi(
            self.clock,
            self.views,
            CancellationFreshness(self.clock, seconds(17), lambda: self.proven),
            LeaderAccess(lambda heartbeat: None, lambda: False, relay),
            lambda token: None,
            HeartbeatBalancer(self.clock, REPORT, 2, LEASE),
            IsolationDetector(self.clock, zone, LEASE, lambda: self.since),
        )

    def report(self, sequence, machine="n-1", zone="a", incarnation=1):
        report = Heartbeat(machine, "x:1", "m", zone, True, incarnation, sequence, 7, [])
        got = []
        body = msgspec.json.encode(report)
        ensureDeferred(self.api.handle("POST", "/v1/report", body)).addCallback(got.append)
        return got[0].status


def test_a_late_copy_of_a_report_renews_no_lease_and_vouches_for_nobody():
    """A dead machine whose reports came once more was told of as living, and its tasks waited."""
    node = Node()
    assert node.report(5) == 200 and node.api.renewed_without_leader == {"n-1": timedelta(0)}
    node.clock.advance(seconds(8))
    assert node.report(5) == 503 and node.report(4) == 503
    assert node.api.renewed_without_leader == {"n-1": timedelta(0)}
    assert node.report(1, incarnation=2) == 200


def test_a_node_renews_only_for_so_long_after_its_last_proof():
    node = Node()
    node.clock.advance(seconds(17))
    assert node.report(1) == 200
    node.clock.advance(seconds(0.1))
    assert node.report(2) == 503
    node.proven = node.clock.now()
    assert node.report(3) == 200
    node.proven = None
    assert node.report(4) == 503


def test_no_lease_is_renewed_alone_where_a_start_of_an_aborted_job_may_be_under_way():
    """A start that went straight to the machine may be held up for minutes, and runs if the session lives
    then. The worker's reports show nothing of it, but the record that came before it does."""
    node = Node()

    def tell(state, chunk):
        view = encode_value(JobRecord(state, spec("job-1"), 2))
        node.views.on_change(job_key("job-1"), view, 1)
        node.views.on_change(range_key("job-1", 0), chunk and encode_value(chunk), 2)

    placed = TaskRangeRecord(placed={0: StoredAttempt(1, "n-1", 1)})
    tell("open", placed)
    assert node.report(1) == 200
    tell("aborted", placed)
    assert node.report(2) == 503
    # Another machine, and another session of this one, which such a start cannot reach.
    assert node.report(3, "n-2") == 200 and node.report(1, incarnation=2) == 200
    # The leader has recorded the proof that it is over.
    tell("aborted", None)
    assert node.report(4, incarnation=1) == 503 and node.report(5, incarnation=2) == 200
    node.views.on_change(
        range_key("job-1", 0), encode_value(TaskRangeRecord(placed={1: StoredAttempt(1, "n-1", 2)})), 3
    )
    assert node.report(6, incarnation=2) == 503


def test_a_report_nested_too_deeply_is_malformed():
    with pytest.raises(msgspec.DecodeError):
        decode_heartbeat(b'{"x":' + b"[" * 30_000)


def test_a_node_that_is_cut_off_alone_sends_workers_on_once():
    node = Node(since=timedelta(0))
    node.clock.advance(seconds(1))
    # Only workers of its own zone: the zone may be cut off, and then there is nobody else for them.
    assert node.report(1) == 200
    # One from another zone reaches it all the same.
    assert node.report(1, "n-2", "b") == 421
    assert node.report(2) == 421
    # Back again: it found nobody.
    node.clock.advance(seconds(6))
    assert node.report(3) == 200 and node.report(4) == 200


def test_without_a_cut_no_worker_is_sent_on():
    node = Node(since=None)
    assert node.report(1, "n-2", "b") == 200 and node.report(1) == 200


@given(st.lists(st.integers(0, 400), min_size=2, max_size=2), st.integers(0, 400), st.booleans())
def test_workers_are_sent_only_to_siblings_that_have_less(others, own, leads):
    clock = ManualClock()
    spread = HeartbeatBalancer(clock, REPORT, 2, LEASE)
    loads = [ControllerLoad(f"n-{at}", count, False) for at, count in enumerate(others)]
    spread.rebalance(ControllerLoad("me", own, leads), loads)
    # Not at once: a sibling that has only just come back may go again.
    assert spread.redirect_target("w-0") is None
    clock.advance(LEASE)
    spread.rebalance(ControllerLoad("me", own, leads), loads)
    sent = [spread.redirect_target(f"w-{at}") for at in range(own)]
    got = {load.controller: load.workers + sent.count(load.controller) for load in loads}
    left = own - sum(node is not None for node in sent)
    for node, workers in got.items():
        if node in sent:
            assert workers <= left * (2 if leads else 1) + 1
    if all(count >= own for count in others) and not leads:
        assert set(sent) <= {None}
    # A sibling that is away: nobody is moved.
    spread.rebalance(ControllerLoad("me", own, leads), loads[:1])
    assert spread.redirect_target("w-x") is None


def test_a_worker_that_came_back_is_left_in_peace():
    clock = ManualClock()
    spread = HeartbeatBalancer(clock, REPORT, 1, LEASE)
    for _ in range(2):
        spread.rebalance(ControllerLoad("me", 100, False), [ControllerLoad("other", 0, False)])
        clock.advance(LEASE)
    spread.rebalance(ControllerLoad("me", 100, False), [ControllerLoad("other", 0, False)])
    assert spread.redirect_target("w-1") == "other" and spread.redirect_target("w-1") is None


@given(st.lists(st.binary(max_size=5), min_size=1, max_size=8), st.sampled_from(["ok", "lost", "short"]))
def test_each_report_gets_its_own_answer(reports, fate):
    clock, carried = ManualClock(), []

    async def carry(gathered):
        carried.append(list(gathered))
        answers = [b"to " + report for report in gathered]
        return {"ok": answers, "lost": None, "short": answers[1:]}[fate]

    relays, got = HeartbeatRelay(clock, seconds(0.02), carry), []
    for at, report in enumerate(reports):
        waiting: Deferred = ensureDeferred(relays.send(report))
        waiting.addCallback(lambda answer, at=at: got.append((at, answer)))
    assert not got
    clock.advance(seconds(0.02))
    assert carried == [reports]
    expected = [b"to " + report if fate == "ok" else None for report in reports]
    assert sorted(got) == list(enumerate(expected))


@given(st.binary(max_size=80))
def test_a_malformed_report_is_answered_400(data):
    try:
        decode_heartbeat(data)
    except (msgspec.DecodeError, UnicodeDecodeError):
        got = []
        node = Node()
        ensureDeferred(node.api.handle("POST", "/v1/report", data)).addCallback(got.append)
        assert got[0].status == 400
