"""What siblings state of cancellations: a leader never takes itself to know more than it does."""

from datetime import timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from spindleglade.leadership.peer_cancellations import PeerCancellationLog
from spindleglade.runtime.clock import ManualClock, seconds

NODES = ("a", "b")


class Knowledge(RuleBasedStateMachine):
    """Two siblings that confirm cancellations to users, end and come back, and answer late; a store that the
    node under test reaches now and then."""

    @initialize()
    def begin(self):
        self.clock = ManualClock()
        self.confirmed = None
        self.known = set()
        self.statements = PeerCancellationLog(
            self.clock, NODES, lambda: self.confirmed, lambda job, mod_revision: self.known.add(job)
        )
        # All that is in the store, and what each process knows.
        self.told = {}
        self.process = dict.fromkeys(NODES, 0)
        self.knows = {node: set() for node in NODES}
        self.answers = []

    @rule(length=st.floats(0.1, 3))
    def wait(self, length):
        self.clock.advance(seconds(length))

    @rule(node=st.sampled_from(NODES))
    def confirm_to_a_user(self, node):
        job = f"job-{len(self.told)}"
        self.told[job] = self.clock.now()
        self.knows[node].add(job)

    @rule(node=st.sampled_from(NODES))
    def read_the_store_there(self, node):
        self.knows[node] |= set(self.told)

    @rule(node=st.sampled_from(NODES))
    def end_and_return(self, node):
        self.process[node] += 1
        self.knows[node] = set()

    @rule(node=st.sampled_from(NODES), states=st.booleans())
    def ask(self, node, states):
        aborts = [(job, 1) for job in sorted(self.knows[node])] if states else None
        self.answers.append((node, f"{node}{self.process[node]}", aborts, self.clock.now()))

    @rule(which=st.integers(0, 9))
    def an_answer_comes(self, which):
        if self.answers:
            self.statements.on_heartbeat(*self.answers.pop(which % len(self.answers)))

    @rule(node=st.sampled_from(NODES))
    def it_asks_us(self, node):
        self.statements.on_heartbeat(node, f"{node}{self.process[node]}", None, None)

    @rule()
    def the_store_answers(self):
        self.confirmed = self.clock.now()
        self.known |= set(self.told)

    @invariant()
    def what_is_not_known_was_told_after_the_proof(self):
        if not hasattr(self, "told"):
            return
        proven = self.statements.complete_as_of
        assert proven is None or proven >= (self.confirmed or timedelta(0))
        for job, at in self.told.items():
            assert job in self.known or proven is None or proven <= at


TestKnowledge = Knowledge.TestCase
TestKnowledge.settings = settings(max_examples=100, stateful_step_count=30)


def test_all_siblings_words_extend_the_proof_until_one_of_them_ends():
    clock = ManualClock()
    statements = PeerCancellationLog(clock, NODES, lambda: seconds(1), lambda job, mod_revision: None)
    assert PeerCancellationLog(
        clock, (), lambda: seconds(1), lambda job, mod_revision: None
    ).complete_as_of == seconds(1)
    for node in NODES:
        statements.on_heartbeat(node, "first", None, None)
    clock.advance(seconds(9))
    statements.on_heartbeat("a", "first", [], seconds(8))
    assert statements.complete_as_of == seconds(1)
    statements.on_heartbeat("b", "first", [], seconds(7))
    statements.on_heartbeat("x", "first", [], seconds(9))
    assert statements.complete_as_of == seconds(7)
    # What the process before this one had told its users by its end, nobody can say.
    statements.on_heartbeat("b", "second", [], seconds(9))
    assert statements.complete_as_of == seconds(1)
