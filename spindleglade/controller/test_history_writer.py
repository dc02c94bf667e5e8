"""Tests that a leader writes the teams' run-time histories to the store."""

import msgspec
from twisted.internet.defer import Deferred

from spindleglade.controller.history_writer import HistoryWriter
from spindleglade.controller.recovery import new_predictor
from spindleglade.leadership.term import LEADER_KEY, Term
from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import seconds
from spindleglade.settings import OperatorSettings
from spindleglade.settings.platform import StateLimits
from spindleglade.store.errors import OutcomeUnknownError
from spindleglade.store.messages import Committed, ConditionFailed, Entry
from spindleglade.submissions.records import HISTORY_KEY_PREFIX
from tests.cluster_harness import TOKEN, make_cluster


class FakeStore:
    """A store with conditional transactions, numbered from 1.

    The transactions with a number in `delayed_numbers` have an unknown outcome, and `apply_delayed` applies
    them. The responses to all other transactions wait for `response_delay` unless it is None.
    """

    def __init__(self, delayed_numbers=()):
        self.limits = StateLimits(100.0, 40.0, 16.0, 12)
        self.revision, self.keys = 10, {LEADER_KEY: (b"{}", 5)}
        self.transactions, self.delayed_numbers = 0, set(delayed_numbers)
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
    """Returns a history writer, its cluster state, and the list to which reasons for deposing are added."""
    cluster, deposed = make_cluster(), []
    predictor = new_predictor(OperatorSettings().backfill)
    writer = HistoryWriter(cluster, predictor, store, Term(TOKEN, 5, 1), {}, deposed.append)
    return writer, cluster, deposed


def write_runs(writer, runs):
    """Adds `runs` runs to the history of one team and starts a write of the history."""
    for _ in range(runs):
        writer._predictor.add("t", seconds(9))
    writer._cluster.teams_with_new_runs = {"t"}
    run_in_background(writer.write_changed(), "history")


def stored_runs(store):
    return sum(msgspec.json.decode(store.keys[HISTORY_KEY_PREFIX + "t"][0])["counts"])


def test_a_late_history_does_not_undo_a_newer_one():
    """A write with an unknown outcome may be applied after a newer write of the same term. A condition on the
    leader key alone would not prevent it, because the key does not change during a term."""
    store = FakeStore(delayed_numbers=[1])
    writer, cluster, deposed = make_writer(store)
    write_runs(writer, 1)
    assert cluster.teams_with_new_runs == {"t"}
    write_runs(writer, 1)
    assert stored_runs(store) == 2 and not cluster.teams_with_new_runs
    store.apply_delayed()
    assert stored_runs(store) == 2 and not deposed


def test_a_delayed_history_that_was_applied_first_is_overwritten():
    store = FakeStore(delayed_numbers=[1])
    writer, cluster, deposed = make_writer(store)
    write_runs(writer, 1)
    store.apply_delayed()
    write_runs(writer, 1)
    # The condition failed and the current mod revision was read, so the next write succeeds.
    assert stored_runs(store) == 1 and cluster.teams_with_new_runs == {"t"}
    write_runs(writer, 1)
    assert stored_runs(store) == 3 and not deposed


def test_a_refused_history_deposes_its_own_term_only():
    store = FakeStore()
    store.keys[LEADER_KEY] = (b"{}", 6)
    writer, cluster, deposed = make_writer(store)
    write_runs(writer, 1)
    assert len(deposed) == 1 and HISTORY_KEY_PREFIX + "t" not in store.keys
    # A response that arrives after the term must not end the next term, which may be this controller's too.
    store.response_delay = Deferred()
    write_runs(writer, 1)
    writer.stop()
    store.response_delay.callback(None)
    assert len(deposed) == 1
