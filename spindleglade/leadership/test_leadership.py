"""Sibling messages, and elections under generated troubles."""

import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.defer import ensureDeferred

from spindleglade.leadership.election import LEADER, RETRY_SHARE, Election, LeaderRecord
from spindleglade.leadership.errors import PeerUnreachableError
from spindleglade.leadership.peer_connection import PeerConnection
from spindleglade.leadership.peer_handlers import PeerHandlers
from spindleglade.leadership.peer_messages import (
    HeartbeatRelayRequest,
    HeartbeatRelayResponse,
    PeerHeartbeat,
    UserRequestForward,
    UserRequestForwardResponse,
    decode_message,
)
from spindleglade.runtime.clock import ManualClock, seconds
from spindleglade.settings.platform import Peer
from spindleglade.store.client import Committed, Condition, ConditionFailed, NotAppliedError, RateLimitedError
from tests.simulated_deployment import SimulatedDeployment

numbers = st.integers(0, (1 << 63) - 1)
messages = st.one_of(
    st.builds(
        PeerHeartbeat,
        st.text(),
        numbers,
        st.booleans(),
        st.none() | numbers,
        numbers,
        st.text(),
        numbers,
        st.none() | st.lists(st.tuples(st.text(), numbers)),
    ),
    st.builds(HeartbeatRelayRequest, numbers, st.lists(st.binary())),
    st.builds(HeartbeatRelayResponse, numbers, st.none() | st.lists(st.binary())),
    st.builds(UserRequestForward, numbers, st.text(), st.text(), st.binary()),
    st.builds(UserRequestForwardResponse, numbers, st.integers(100, 599), st.none() | numbers, st.binary()),
)


@given(messages)
def test_messages_come_back_as_they_were_sent(message):
    assert decode_message(msgspec.msgpack.encode(message)) == message


@given(st.binary(max_size=60))
def test_garbage_is_refused(data):
    try:
        decode_message(data)
    except msgspec.DecodeError:
        return
    # What decodes must be a message of ours to the byte.
    assert data[:1] in (b"\x92", b"\x93", b"\x94", b"\x95", b"\x96", b"\x97", b"\x98", b"\x99")


def test_a_message_nested_too_deeply_is_malformed():
    with pytest.raises(msgspec.DecodeError):
        decode_message(msgspec.msgpack.encode(["ping"])[:1] + b"\xa4ping" + b"\x91" * 100_000)


def test_a_sibling_of_the_version_before_is_understood_and_states_nothing():
    ping = decode_message(msgspec.msgpack.encode(["ping", "node-1", 3, True, 12, 40]))
    assert (ping.controller, ping.workers, ping.process, ping.cancellations) == ("node-1", 40, "", None)


@pytest.mark.parametrize("seed", range(4))
def test_leaders_follow_one_another_with_rising_tokens(seed):
    """Kills, outages and lost leases: at no time do two nodes hold the leader key, a token is never given
    twice, and a leader is there again once all is well."""
    rng = random.Random(seed)
    deployment = SimulatedDeployment(seed)
    won: list[int] = []

    def watch(node):
        before = node.election._on_elected

        def note(term):
            won.append(term.token)
            before(term)

        node.election._on_elected = note

    for node in deployment.nodes.values():
        watch(node)
    for _ in range(6):
        deployment.run(seconds(rng.uniform(1, 5)))
        trouble = rng.choice(["kill", "outage", "refuse"])
        leader = deployment.leader()
        if trouble == "kill" and leader is not None:
            deployment.kill_node(leader)
            deployment.run(seconds(rng.uniform(0.1, 5)))
            deployment.start_node(leader)
            watch(deployment.nodes[deployment.node_names[leader]])
        elif trouble == "outage":
            deployment.state.outage(seconds(rng.uniform(0.5, 6)))
        elif leader is not None:
            deployment.refused.add(deployment.node_names[leader])
            deployment.run(seconds(rng.uniform(0.5, 6)))
            deployment.refused.clear()
    deployment.run(seconds(10))
    assert won == sorted(set(won)) and len(won) >= 2
    assert sum(node.is_leader for node in deployment.nodes.values()) == 1


def test_a_deposed_leaders_writes_fail():
    deployment = SimulatedDeployment(3)
    deployment.run(seconds(3))
    leader = deployment.leader()
    node = deployment.nodes[deployment.node_names[leader]]
    # Its lease ends unseen: it can neither renew nor watch, and still believes that it leads.
    deployment.refused.add(deployment.node_names[leader])
    deployment.cut(deployment.node_names[leader], deployment.node_names, False, seconds(9))
    for _ in range(80):
        if sum(other.is_leader for other in deployment.nodes.values()) == 2:
            break
        deployment.run(seconds(0.1))
    assert node.is_leader and sum(other.is_leader for other in deployment.nodes.values()) == 2
    job = deployment.submit(1, threads=2, run_s=1.0)
    deployment.refused.clear()
    deployment.run(seconds(15))
    assert not node.is_leader and deployment.told[job] == "pending"
    deployment.poll(job)
    deployment.run(seconds(1))
    assert deployment.told[job] == "done"


def test_a_leader_without_store_and_siblings_steps_down_though_its_workers_reach_it():
    """It used to go on renewing their leases without an order for as long as it might."""
    deployment = SimulatedDeployment(3)
    deployment.run(seconds(3))
    leader = deployment.leader()
    name = deployment.node_names[leader]
    deployment.cut(name, [*deployment.node_names, "state"], False, seconds(30))
    deployment.run(seconds(6))
    assert not deployment.nodes[name].is_leader and deployment.leader() not in (None, leader)


def test_who_is_elected_first_is_not_deposed_by_the_next():
    """Another node's election, seen while the lease was asked for, was taken for the vacancy: two leaders
    within 10 ms of a start."""

    class Replica:
        loaded, mod_revisions = True, {}

        def subscribe(self, on_change):
            self.on_change = on_change

        async def catch_up(self):
            pass

    class Store:
        async def grant_lease(self, ttl):
            replica.mod_revisions[LEADER] = 9
            replica.on_change(LEADER, msgspec.json.encode(LeaderRecord("other", 1)), 9)
            return 5

        async def compare_and_swap(self, conditions, writes, urgent=False):
            asked.extend(conditions)
            return ConditionFailed(frozenset([LEADER]), 9)

        async def revoke_lease(self, lease):
            pass

    asked, replica, clock = [], Replica(), ManualClock()
    Election("me", Store(), replica, clock, seconds(4), None, None, lambda: True).start()
    clock.advance(seconds(0.1))
    assert Condition(LEADER, 0) in asked


@pytest.mark.parametrize("later", [LeaderRecord("other", 2), None])
def test_a_victory_that_is_over_before_it_is_told_is_none(later):
    """The answer to the winning transaction was slow, and the replica showed first what came after: the node
    took office although it knew its successor, and only a further change would have ended that."""

    class Replica:
        loaded, mod_revisions = True, {}

        def subscribe(self, on_change):
            self.on_change = on_change

        async def catch_up(self):
            pass

    class Store:
        async def grant_lease(self, ttl):
            return 5

        async def compare_and_swap(self, conditions, writes, urgent=False):
            replica.on_change(LEADER, msgspec.json.encode(LeaderRecord("me", 1)), 9)
            replica.on_change(LEADER, None if later is None else msgspec.json.encode(later), 10)
            return Committed(9)

        async def revoke_lease(self, lease):
            pass

        async def keep_alive(self, lease):
            raise NotAppliedError("503")

    won, replica, clock = [], Replica(), ManualClock()
    election = Election("me", Store(), replica, clock, seconds(4), won.append, None, lambda: not won)
    election.start()
    clock.advance(seconds(0.06))
    assert not won and election.term is None


def test_a_leader_whose_process_ended_is_replaced_before_its_lease_ends():
    deployment = SimulatedDeployment(5)
    deployment.run(seconds(3))
    leader = deployment.leader()
    name = deployment.node_names[leader]
    deployment.kill_node(leader)
    for node in deployment.nodes.values():
        node.election.on_peer_process_ended(name)
    deployment.run(seconds(0.5))
    assert deployment.leader() not in (None, leader)


def test_a_leader_suspected_by_mistake_only_loses_its_office():
    deployment = SimulatedDeployment(5)
    deployment.run(seconds(3))
    leader = deployment.leader()
    job = deployment.submit(1, threads=3, run_s=3.0)
    deployment.run(seconds(4))
    other = deployment.nodes[deployment.node_names[(leader + 1) % 3]]
    other.election.on_peer_process_ended(deployment.node_names[leader])
    deployment.run(seconds(20))
    assert sum(node.is_leader for node in deployment.nodes.values()) == 1
    deployment.poll(job)
    deployment.run(seconds(1))
    assert deployment.told[job] == "done"


def test_a_renewal_refused_for_the_rate_is_tried_again_before_the_lease_ends():
    """Renewed each quarter of the lease, it ended after four refusals; other requests made them likely."""

    class Replica:
        loaded, mod_revisions = True, {}

        def subscribe(self, on_change):
            pass

        async def catch_up(self):
            pass

    class Store:
        renewed, refused, held = seconds(0), 0, []

        async def grant_lease(self, ttl):
            return 5

        async def compare_and_swap(self, conditions, writes, urgent=False):
            return Committed(9)

        async def keep_alive(self, lease):
            assert clock.now() - self.renewed < seconds(4)
            if self.refused:
                self.refused -= 1
                raise RateLimitedError("429")
            self.renewed, self.refused = clock.now(), 8

        def pause_ordinary_requests(self, length):
            self.held.append(length)

    store, clock = Store(), ManualClock()
    election = Election("me", store, Replica(), clock, seconds(4), lambda term: None, None)
    election.start()
    for _ in range(20):
        clock.advance(seconds(1))
    assert election.term is not None and clock.now() - store.renewed < seconds(4)
    # Other requests yield past the next try.
    assert store.held and min(store.held) > seconds(4 * RETRY_SHARE)


class SilentProtocol:
    """A connection that takes what is sent and delivers nothing."""

    def __init__(self):
        self.sent = []
        self.transport = self

    def send(self, message):
        self.sent.append(message)

    def abortConnection(self):
        self.sent.clear()


def peer_connection(clock, on_connect):
    """A connection to a peer whose every attempt to connect succeeds; `on_connect` is called after each."""
    handlers = PeerHandlers(
        make_heartbeat=lambda revision: "heartbeat",
        on_relayed_heartbeats=lambda heartbeats: None,
        on_forwarded_request=lambda method, path, body: None,
        on_heartbeat=lambda heartbeat, sent_at: None,
        on_peer_process_ended=lambda peer: None,
    )
    connection = PeerConnection(None, clock, Peer("other", "a", "10.0.0.1:1"), seconds(0.5), handlers)

    async def connect(host, port):
        connection._connection = SilentProtocol()
        on_connect(connection)

    connection._connect = connect
    return connection


def test_an_acknowledgement_read_after_a_suspension_proves_no_leadership_since():
    """A process that resumes after 20 s first reads what its peers sent before. That must not count as a
    proof that it still leads."""
    clock = ManualClock()
    connection = peer_connection(clock, lambda connection: None)
    heartbeat = PeerHeartbeat("other", 1, False, 0)
    connection.start()
    protocol = connection._connection
    clock.advance(seconds(0.1))
    connection._on_message(protocol, heartbeat)
    assert connection.acknowledged_heartbeat_sent_at == seconds(0)
    clock.advance(seconds(1))
    assert len(protocol.sent) == 3
    # The acknowledgement of the second heartbeat is read 20 s late, before any timer.
    clock._now += seconds(20)
    connection._on_message(protocol, heartbeat)
    assert connection.last_message_at == clock.now()
    assert connection.acknowledged_heartbeat_sent_at == seconds(0.5)
    # Acknowledgements come in the order of the heartbeats; one more than there were proves nothing.
    connection._on_message(protocol, heartbeat)
    connection._on_message(protocol, heartbeat)
    assert connection.acknowledged_heartbeat_sent_at == seconds(1)
    # What an earlier connection still delivers acknowledges nothing that was sent over this one.
    clock.advance(seconds(0.5))
    connection._on_message(SilentProtocol(), heartbeat)
    assert connection.acknowledged_heartbeat_sent_at == seconds(1)


def test_a_connection_without_a_message_from_the_peer_is_not_up():
    """The system accepts connections for a process that is suspended. Messages received before must not
    count, or requests would be forwarded to it and wait for their timeout."""
    clock, protocols = ManualClock(), []
    connection = peer_connection(clock, lambda connection: protocols.append(connection._connection))
    connection.start()
    connection._on_message(connection._connection, PeerHeartbeat("other", 1, True, 0))
    assert connection.is_up
    clock.advance(seconds(2.5))
    for _ in range(70):
        clock.advance(seconds(1))
        assert not connection.is_up
    errors = []
    request = ensureDeferred(
        connection.request(
            lambda request_id: UserRequestForward(request_id, "GET", "/ready", b""), seconds(1)
        )
    )
    request.addErrback(lambda failure: errors.append(failure.type))
    assert errors == [PeerUnreachableError]
    # One connection at a time, given up after four heartbeats.
    assert 30 <= len(protocols) <= 37
    # The first message over the present connection makes it up.
    connection._on_message(connection._connection, PeerHeartbeat("other", 1, False, 0))
    assert connection.is_up and not connection.last_heartbeat.leads


def test_a_peer_that_closes_each_connection_at_once_is_connected_to_once_a_heartbeat_interval():
    clock, attempts = ManualClock(), []

    def close(connection):
        attempts.append(clock.now())
        clock.later(seconds(0.001), connection._on_connection_lost)

    peer_connection(clock, close).start()
    clock.advance(seconds(10.1))
    assert len(attempts) == 21
