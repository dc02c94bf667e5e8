"""The teams' histories of run times that a leader writes to the store."""

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
    """Keeps values and mod revisions. Transactions whose number is in `delayed` have an unknown outcome, and
    are applied by `apply_delayed`; with `response_delay`, the responses to the others wait for it."""

    def __init__(self, delayed=()):
        self.limits = StateLimits(100.0, 40.0, 16.0, 12)
        self.revision, self.keys = 10, {LEADER: (b"{}", 5)}
        self.transactions, self.delayed_numbers = 0, set(delayed)
        self.delayed, self.response_delay = [], None

    def _apply(self, conditions, writes):
        failed = {
            condition.key
            for condition in conditions
            if self.keys.get(condition.key, (b"", 0))[1] != condition.mod_revision
        }
        if failed:
            return ConditionFailed(frozenset(failed), self.revision)
        self.revision += 1
        for write in writes:
            self.keys[write.key] = (bytes(write.value), self.revision)
        return Committed(self.revision)

    async def compare_and_swap(self, conditions, writes, urgent=False):
        self.transactions += 1
        if self.transactions in self.delayed_numbers:
            self.delayed.append((conditions, writes))
            raise OutcomeUnknownError("timed out")
        result = self._apply(conditions, writes)
        if self.response_delay is not None:
            await self.response_delay
        return result

    def apply_delayed(self):
        for conditions, writes in self.delayed:
            self._apply(conditions, writes)

    async def get(self, key):
        return Entry(key, msgspec.Raw(self.keys[key][0]), self.keys[key][1]) if key in self.keys else None


def make_writer(store):
    """A history writer, its cluster state, and the reasons for which it was deposed."""
    cluster, deposed = make_cluster(), []
    predictor = new_predictor(OperatorSettings().backfill)
    writer = HistoryWriter(cluster, predictor, store, Term(TOKEN, 5, 1), {}, deposed.append)
    return writer, cluster, deposed


def write_runs(writer, runs):
    """Adds as many runs to the history of a team and lets the writer write it."""
    for _ in range(runs):
        writer._predictor.add("t", seconds(9))
    writer._cluster.teams_with_new_runs = {"t"}
    run_in_background(writer.write_changed(), "history")


def stored_runs(store):
    return sum(msgspec.json.decode(store.keys[HISTORY + "t"][0])["counts"])


def test_a_late_history_does_not_undo_a_newer_one():
    """A condition on the leader key alone would not prevent it: the key stays the same for all of a term."""
    store = Store(delayed=[1])
    writer, cluster, deposed = make_writer(store)
    write_runs(writer, 1)
    assert cluster.teams_with_new_runs == {"t"}
    write_runs(writer, 1)
    assert stored_runs(store) == 2 and not cluster.teams_with_new_runs
    store.apply_delayed()
    assert stored_runs(store) == 2 and not deposed


def test_a_delayed_history_that_was_applied_first_is_overwritten():
    store = Store(delayed=[1])
    writer, cluster, deposed = make_writer(store)
    write_runs(writer, 1)
    store.apply_delayed()
    write_runs(writer, 1)
    # The condition failed: the mod revision was read, and the history is written the next time.
    assert stored_runs(store) == 1 and cluster.teams_with_new_runs == {"t"}
    write_runs(writer, 1)
    assert stored_runs(store) == 3 and not deposed


def test_a_refused_history_deposes_its_own_term_only():
    store = Store()
    store.keys[LEADER] = (b"{}", 6)
    writer, cluster, deposed = make_writer(store)
    write_runs(writer, 1)
    assert len(deposed) == 1 and HISTORY + "t" not in store.keys
    # A response after the end of the term must not affect the next one, which may be this controller's.
    store.response_delay = Deferred()
    write_runs(writer, 1)
    writer.stop()
    store.response_delay.callback(None)
    assert len(deposed) == 1
