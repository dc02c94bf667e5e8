"""What a leader reads when it takes over, and the histories it keeps on record."""

from datetime import timedelta

import msgspec
from twisted.internet.defer import Deferred

from spindleglade.controller.history_writer import HistoryWriter
from spindleglade.controller.leader import Leader
from spindleglade.leadership.term import LEADER, Term
from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import ManualClock, seconds
from spindleglade.settings import OperatorSettings
from spindleglade.settings.platform import StateLimits
from spindleglade.store.errors import OutcomeUnknownError
from spindleglade.store.messages import Committed, ConditionFailed, Entry, encode_value
from spindleglade.submissions.records import (
    HISTORY,
    JobRecord,
    StoredAttempt,
    TaskRangeRecord,
    job_key,
    range_key,
)
from spindleglade.submissions.views import JobViews
from spindleglade.workers.test_cluster_state import TOKEN, make_cluster, spec
from tests.deployment_config import DeploymentConfig, platform


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


class Learner:
    """Stands in for the replica: what the leader reads ahead of the watch is not needed here."""

    def observe(self, key, value, mod_revision):
        pass


def make(store):
    deposed = []
    leader = Leader(
        Term(TOKEN, 5, 1),
        platform(0, DeploymentConfig()),
        OperatorSettings(),
        ManualClock(),
        None,
        None,
        store,
        None,
        None,
        None,
        None,
        deposed.append,
        Learner(),
        JobViews(),
    )
    leader.cluster, leader.is_active = make_cluster(), True
    return leader, deposed


def make_recorder(store):
    """A recorder of histories, its cluster state, and what it was deposed for."""
    cluster, deposed = make_cluster(), []
    predictor = make(store)[0].predictor
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


def test_a_record_that_cannot_be_read_stops_no_leader_and_its_job_is_left_alone():
    """One such record, and no node could lead: each broke in taking over."""
    leader, _ = make(Store())
    opened = {id: encode_value(JobRecord("open", spec(id), 256)) for id in ("job-1", "job-2", "job-3")}
    chunk = encode_value(TaskRangeRecord(placed={0: StoredAttempt(1, "n-1", 1)}))
    entries = [
        Entry(HISTORY + "t", encode_value([]), 2),
        Entry(job_key("job-1"), opened["job-1"], 3),
        Entry(job_key("job-2"), encode_value({"stage": "resting"}), 4),
        Entry(job_key("job-3"), opened["job-3"], 5),
        Entry(range_key("job-1", 0), chunk, 6),
        Entry(range_key("job-2", 0), chunk, 7),
        Entry(range_key("job-3", 0), chunk, 8),
        Entry(range_key("job-3", 1), encode_value({"placed": 3}), 9),
        Entry("sg/task/job-4/x", chunk, 10),
    ]
    mod_revisions = leader._load_records(leader.cluster, entries, timedelta(0))
    assert set(leader.cluster.jobs) == {"job-1"} and mod_revisions == {range_key("job-1", 0): 6}
    assert [job for job, _ in leader.cluster.pending_writes] == []
    # Nor when the replica tells of it later.
    leader._observe_job(leader.cluster, JobRecord("open", spec("job-3"), 256), 5)
    assert set(leader.cluster.jobs) == {"job-1"}
