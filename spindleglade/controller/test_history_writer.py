"""The teams' histories of run times that a leader keeps on record."""

import msgspec
from twisted.internet.defer import Deferred

from spindleglade.controller.history_writer import HistoryWriter
from spindleglade.controller.recovery import new_predictor
from spindleglade.leadership.term import LEADER, Term
from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import seconds
from spindleglade.settings import OperatorSettings
from spindleglade.settings.platform import StateLimits
from spindleglade.store.errors import OutcomeUnknownError
from spindleglade.store.messages import Committed, ConditionFailed, Entry
from spindleglade.submissions.records import HISTORY
from tests.cluster_harness import TOKEN, make_cluster


class Store:
    """Keeps values and marks. Of the transactions whose number is in `late` the answer is lost, and they are
    carried out when the test says so."""

    def __init__(self, late=()):
        self.limits = StateLimits(100.0, 40.0, 16.0, 12)
        self.revision, self.keys, self.asked, self.late = 10, {LEADER: (b"{}", 5)}, 0, set(late)
        self.held, self.slow = [], None

    def _apply(self, conditions, writes):
        failed = {at.key for at in conditions if self.keys.get(at.key, (b"", 0))[1] != at.mod_revision}
        if failed:
            return ConditionFailed(frozenset(failed), self.revision)
        self.revision += 1
        for write in writes:
            self.keys[write.key] = (bytes(write.value), self.revision)
        return Committed(self.revision)

    async def compare_and_swap(self, conditions, writes, urgent=False):
        self.asked += 1
        if self.asked in self.late:
            self.held.append((conditions, writes))
            raise OutcomeUnknownError("timed out")
        result = self._apply(conditions, writes)
        if self.slow is not None:
            await self.slow
        return result

    def land(self):
        for conditions, writes in self.held:
            self._apply(conditions, writes)

    async def get(self, key):
        return Entry(key, msgspec.Raw(self.keys[key][0]), self.keys[key][1]) if key in self.keys else None


def make_recorder(store):
    """A recorder of histories, its cluster state, and what it was deposed for."""
    cluster, deposed = make_cluster(), []
    predictor = new_predictor(OperatorSettings().backfill)
    recorder = HistoryWriter(cluster, predictor, store, Term(TOKEN, 5, 1), {}, deposed.append)
    return recorder, cluster, deposed


def learn(recorder, runs):
    for _ in range(runs):
        recorder._predictor.add("t", seconds(9))
    recorder._cluster.teams_with_new_runs = {"t"}
    run_in_background(recorder.record(), "history")


def runs_on_record(store):
    return sum(msgspec.json.decode(store.keys[HISTORY + "t"][0])["counts"])


def test_a_late_history_does_not_undo_a_newer_one():
    """They were conditional on the leader key alone, which is the same for all of a term."""
    store = Store(late=[1])
    recorder, cluster, deposed = make_recorder(store)
    learn(recorder, 1)
    assert cluster.teams_with_new_runs == {"t"}
    learn(recorder, 1)
    assert runs_on_record(store) == 2 and not cluster.teams_with_new_runs
    store.land()
    assert runs_on_record(store) == 2 and not deposed


def test_a_late_history_that_came_first_is_written_over():
    store = Store(late=[1])
    recorder, cluster, deposed = make_recorder(store)
    learn(recorder, 1)
    store.land()
    learn(recorder, 1)
    # Refused: what is there was read, and it is written the next time.
    assert runs_on_record(store) == 1 and cluster.teams_with_new_runs == {"t"}
    learn(recorder, 1)
    assert runs_on_record(store) == 3 and not deposed


def test_a_refused_history_deposes_its_own_term_only():
    store = Store()
    store.keys[LEADER] = (b"{}", 6)
    recorder, cluster, deposed = make_recorder(store)
    learn(recorder, 1)
    assert len(deposed) == 1 and HISTORY + "t" not in store.keys
    # An answer that comes after the term is over says nothing to the next, which may be this node's.
    store.slow = Deferred()
    learn(recorder, 1)
    recorder.stop()
    store.slow.callback(None)
    assert len(deposed) == 1
