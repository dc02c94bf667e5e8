"""Tests that a leader never overestimates up to what time it knows all cancellations."""

from datetime import timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from spindleglade.leadership.peer_cancellations import PeerCancellationLog
from spindleglade.runtime.clock import ManualClock, seconds

PEERS = ("a", "b")


class CancellationKnowledge(RuleBasedStateMachine):
    """Two peers that confirm cancellations to users, restart and send delayed acknowledgements, and a store
    that the tested controller reaches at some times."""

    @initialize()
    def begin(self):
        self.clock = ManualClock()
        self.replica_current_as_of = None
        self.known = set()
        self.log = PeerCancellationLog(
            self.clock,
            PEERS,
            lambda: self.replica_current_as_of,
            lambda job, mod_revision: self.known.add(job),
        )
        # When each cancellation was confirmed to its user. All cancellations are in the store.
        self.confirmed_at = {}
        self.process = dict.fromkeys(PEERS, 0)
        self.known_by_peer = {peer: set() for peer in PEERS}
        self.acknowledgements = []

    @rule(duration_s=st.floats(0.1, 3))
    def wait(self, duration_s):
        self.clock.advance(seconds(duration_s))

    @rule(peer=st.sampled_from(PEERS))
    def peer_confirms_a_cancellation(self, peer):
        job = f"job-{len(self.confirmed_at)}"
        self.confirmed_at[job] = self.clock.now()
        self.known_by_peer[peer].add(job)

    @rule(peer=st.sampled_from(PEERS))
    def peer_reads_the_store(self, peer):
        self.known_by_peer[peer] |= set(self.confirmed_at)

    @rule(peer=st.sampled_from(PEERS))
    def peer_restarts(self, peer):
        self.process[peer] += 1
        self.known_by_peer[peer] = set()

    @rule(peer=st.sampled_from(PEERS), reports=st.booleans())
    def heartbeat_is_sent(self, peer, reports):
        cancellations = [(job, 1) for job in sorted(self.known_by_peer[peer])] if reports else None
        process = f"{peer}{self.process[peer]}"
        self.acknowledgements.append((peer, process, cancellations, self.clock.now()))

    @rule(index=st.integers(0, 9))
    def acknowledgement_arrives(self, index):
        if self.acknowledgements:
            self.log.on_heartbeat(*self.acknowledgements.pop(index % len(self.acknowledgements)))

    @rule(peer=st.sampled_from(PEERS))
    def peer_sends_a_heartbeat(self, peer):
        self.log.on_heartbeat(peer, f"{peer}{self.process[peer]}", None, None)

    @rule()
    def replica_catches_up(self):
        self.replica_current_as_of = self.clock.now()
        self.known |= set(self.confirmed_at)

    @invariant()
    def unknown_cancellations_were_confirmed_later(self):
        if not hasattr(self, "confirmed_at"):
            return
        complete_as_of = self.log.complete_as_of
        assert complete_as_of is None or complete_as_of >= (self.replica_current_as_of or timedelta(0))
        for job, confirmed_at in self.confirmed_at.items():
            assert job in self.known or complete_as_of is None or complete_as_of <= confirmed_at


TestCancellationKnowledge = CancellationKnowledge.TestCase
TestCancellationKnowledge.settings = settings(max_examples=100, stateful_step_count=30)


def test_reports_of_all_peers_extend_what_is_known_until_one_of_them_restarts():
    clock = ManualClock()
    log = PeerCancellationLog(clock, PEERS, lambda: seconds(1), lambda job, mod_revision: None)
    without_peers = PeerCancellationLog(clock, (), lambda: seconds(1), lambda job, mod_revision: None)
    assert without_peers.complete_as_of == seconds(1)
    for peer in PEERS:
        log.on_heartbeat(peer, "first", None, None)
    clock.advance(seconds(9))
    log.on_heartbeat("a", "first", [], seconds(8))
    assert log.complete_as_of == seconds(1)
    log.on_heartbeat("b", "first", [], seconds(7))
    log.on_heartbeat("x", "first", [], seconds(9))
    assert log.complete_as_of == seconds(7)
    # It is unknown which cancellations the first process of this peer had confirmed by its end.
    log.on_heartbeat("b", "second", [], seconds(9))
    assert log.complete_as_of == seconds(1)
