"""The state writer with a store that commits transactions, rejects them or loses the responses."""

import msgspec
import pytest

from spindleglade.backfill.plan import Placement, Plan
from spindleglade.leadership.term import LEADER_KEY, Term
from spindleglade.runtime.clock import ManualClock, seconds
from spindleglade.settings.platform import StateLimits
from spindleglade.store.errors import NotAppliedError, OutcomeUnknownError
from spindleglade.store.messages import Committed, ConditionFailed, Entry, Put, encode_value
from spindleglade.submissions.records import (
    TASK_RANGE_KEY_PREFIX,
    JobRecord,
    TaskRangeRecord,
    job_key,
    range_key,
)
from spindleglade.workers.messages import Heartbeat
from spindleglade.workers.state_writer import StateWriter, StateWriterEvents
from tests.cluster_harness import TOKEN, make_cluster, spec


class Store:
    """Keeps mod_revisions and checks sizes. `outcomes` are those of the transactions, in order."""

    def __init__(self, outcomes=()):
        self.limits = StateLimits(100.0, 40.0, 16.0, 12)
        self.revision, self.mod_revisions = 10, {LEADER_KEY: 5, job_key("job-1"): 1}
        self.values = {}
        self.outcomes, self.sizes, self.spare_writes = list(outcomes), [], 12
        self.existing_value_bytes = 16 * 1024

    async def compare_and_swap(self, conditions, writes, urgent=False):
        outcome = self.outcomes.pop(0) if self.outcomes else "ok"
        if outcome == "not applied":
            raise NotAppliedError("503")
        self.sizes.append(len(msgspec.json.encode([conditions, writes])))
        assert self.sizes[-1] <= 64 * 1024 and len(writes) <= 12 and len(conditions) <= 48
        failed = {
            condition.key
            for condition in conditions
            if self.mod_revisions.get(condition.key, 0) != condition.mod_revision
        }
        if failed:
            return ConditionFailed(frozenset(failed), self.revision)
        self.revision += 1
        for write in writes:
            if isinstance(write, Put):
                self.mod_revisions[write.key] = self.revision
            else:
                del self.mod_revisions[write.key]
        if outcome == "response lost":
            raise OutcomeUnknownError("timed out")
        return Committed(self.revision)

    async def get(self, key):
        value = self.values.get(key, msgspec.Raw(b"{}"))
        return Entry(key, value, self.mod_revisions[key]) if key in self.mod_revisions else None


def write_placements(store, tasks):
    """Places this many tasks and runs a state writer for 5 s. Returns the cluster and the reasons for which
    the writer was deposed."""
    cluster, clock, deposed = make_cluster(), ManualClock(), []
    cluster.teams = {}
    cluster.observe_job(JobRecord("open", spec(tasks=tasks), 256), 1)
    cluster.on_heartbeat(Heartbeat("n-0000000231", "x:1", "m", "z", True, 1, 1, TOKEN, []), clock.now(), True)
    cluster.apply_plan(
        Plan(placements=[Placement("job-1", index, "n-0000000231") for index in range(tasks)]), clock.now()
    )
    writer = StateWriter(
        cluster, store, clock, Term(TOKEN, 5, 1), {}, StateWriterEvents(lambda: None, deposed.append)
    )
    writer.start()
    for _ in range(50):
        clock.advance(seconds(0.1))
    return cluster, deposed


def count_recorded(cluster):
    """The number of recorded attempts."""
    return sum(attempt.is_recorded for attempt in cluster.jobs["job-1"].placed.values())


def test_a_transaction_stays_within_the_size_that_the_store_accepts():
    """Eleven full task ranges exceed the 64 KiB of a transaction, which would be rejected each time."""
    store = Store()
    cluster, _ = write_placements(store, 6000)
    assert count_recorded(cluster) == 6000 and len(store.sizes) > 2


@pytest.mark.parametrize(
    "outcomes",
    [
        ["not applied"],
        ["response lost"],
        ["not applied", "response lost", "not applied"],
        ["response lost"] * 3,
    ],
)
def test_writes_that_failed_are_committed_in_the_end(outcomes):
    store = Store(outcomes)
    cluster, deposed = write_placements(store, 3)
    assert count_recorded(cluster) == 3 and not deposed and range_key("job-1", 0) in store.mod_revisions


def test_no_task_of_a_cancelled_job_is_recorded_as_placed():
    store = Store()
    store.mod_revisions[job_key("job-1")] = 9
    cluster, deposed = write_placements(store, 3)
    assert count_recorded(cluster) == 0 and not deposed and range_key("job-1", 0) not in store.mod_revisions


def test_a_deposed_leader_writes_nothing():
    store = Store()
    store.mod_revisions[LEADER_KEY] = 6
    cluster, deposed = write_placements(store, 3)
    assert count_recorded(cluster) == 0 and deposed and range_key("job-1", 0) not in store.mod_revisions


def test_a_job_record_in_conflict_is_read_without_waiting_for_the_watch():
    """Otherwise every batch with a start of the job fails its conditions until the replica shows the
    cancellation: while the watch is delayed by seconds, no start of any job is recorded."""
    store = Store()
    store.mod_revisions[job_key("job-1")] = 9
    store.values[job_key("job-1")] = encode_value(JobRecord("aborted", spec(tasks=3), 256))
    cluster, deposed = write_placements(store, 3)
    assert "job-1" not in cluster.jobs and not deposed and len(store.sizes) == 1


def ranges_left_after_cancellation(store, tasks, cancelled_at_s):
    """The stored task ranges after the job is cancelled, and its machine terminated, at `cancelled_at_s`."""
    cluster, clock = make_cluster(), ManualClock()
    cluster.teams = {}
    cluster.observe_job(JobRecord("open", spec(tasks=tasks), 256), 1)
    cluster.on_heartbeat(Heartbeat("n-1", "x:1", "m", "z", True, 1, 1, TOKEN, []), clock.now(), True)
    cluster.apply_plan(
        Plan(placements=[Placement("job-1", index, "n-1") for index in range(tasks)]), clock.now()
    )
    writer = StateWriter(cluster, store, clock, Term(TOKEN, 5, 1), {}, StateWriterEvents(lambda: None, str))
    writer.start()
    clock.advance(seconds(cancelled_at_s))
    store.mod_revisions[job_key("job-1")] = 90
    store.values[job_key("job-1")] = encode_value(JobRecord("aborted", spec(tasks=tasks), 256))
    cluster.observe_job(JobRecord("aborted", spec(tasks=tasks), 256), 90)
    cluster.on_machine_terminated("n-1", "test")
    writer.wake()
    for _ in range(50):
        clock.advance(seconds(0.1))
        writer.wake()
    assert not cluster.jobs
    return [key for key in store.mod_revisions if key.startswith(TASK_RANGE_KEY_PREFIX)]


def test_a_cancellation_removes_a_range_whose_write_has_an_unknown_outcome():
    """Otherwise the range stays for good with placements of a cancelled job: the leases of their machines may
    not be renewed, and the next leader counts them against the team's limit."""
    assert ranges_left_after_cancellation(Store(["response lost"]), 3, 0.1) == []
    assert ranges_left_after_cancellation(Store(["not applied"]), 3, 0.1) == []
    assert ranges_left_after_cancellation(Store(), 3, 1) == []


def test_each_range_of_a_finished_job_is_removed_once():
    """Each range of the job queues the removal of all ranges: three ranges must not cause nine changes."""
    store, removed = Store(), []
    original = store.compare_and_swap

    async def compare_and_swap(conditions, writes, urgent=False):
        removed.extend(write.key for write in writes if not isinstance(write, Put))
        assert len({write.key for write in writes if not isinstance(write, Put)}) == sum(
            not isinstance(write, Put) for write in writes
        )
        return await original(conditions, writes, urgent)

    store.compare_and_swap = compare_and_swap
    assert ranges_left_after_cancellation(store, 600, 1) == []
    assert len(removed) == 3


def test_a_cancellation_at_the_end_of_the_last_task_is_not_overwritten():
    """The cancellation is confirmed to the user just after the leader has seen the last task done."""
    store = Store()
    cluster, clock = make_cluster(), ManualClock()
    cluster.observe_job(JobRecord("open", spec(tasks=1), 256), 1)
    cluster.load_range("job-1", 0, TaskRangeRecord(done=[(0, 0)]), clock.now())
    cluster.finish_loading()
    store.mod_revisions[job_key("job-1")] = 9
    store.values[job_key("job-1")] = encode_value(JobRecord("aborted", spec(tasks=1), 256))
    StateWriter(cluster, store, clock, Term(TOKEN, 5, 1), {}, StateWriterEvents(lambda: None, str)).start()
    clock.advance(seconds(1))
    assert store.mod_revisions[job_key("job-1")] == 9 and not cluster.jobs


def cluster_with_start_of_a_done_job():
    """A cluster with an unrecorded placement of a job that is done by its latest record."""
    cluster, clock = make_cluster(), ManualClock()
    cluster.teams = {}
    cluster.observe_job(JobRecord("open", spec(tasks=1), 256), 1)
    cluster.on_heartbeat(Heartbeat("n-0000000231", "x:1", "m", "z", True, 1, 1, TOKEN, []), clock.now(), True)
    cluster.apply_plan(Plan(placements=[Placement("job-1", 0, "n-0000000231")]), clock.now())
    cluster.observe_job(JobRecord("done", spec(tasks=1), 256), 4)
    return cluster


def test_a_placement_of_a_job_that_is_done_reserves_no_capacity():
    """An old record of a finished job, shown late by the replica, reopens the job until the newer record
    comes. Placements made meanwhile are never recorded or sent, and must not count against the machine or the
    team."""
    cluster = cluster_with_start_of_a_done_job()
    assert not cluster.machines["n-0000000231"].placed
    batch = cluster.collect_writes(9, {})
    assert batch.size == 0 and list(batch.forgettable_jobs) == ["job-1"]


def test_a_cancellation_seen_after_the_job_was_forgotten_is_forgotten_too():
    cluster = make_cluster()
    cluster.observe_job(JobRecord("aborted", spec(tasks=1), 256), 4)
    assert list(cluster.collect_writes(9, {}).forgettable_jobs) == ["job-1"]
    cluster.forget_job("job-1")
    assert not cluster.jobs


def test_a_write_that_raises_is_suspended_and_the_rest_is_written():
    """A batch that raises must not end the writer: without it, no start of any job would be recorded."""

    class FailingStore(Store):
        async def compare_and_swap(self, conditions, writes, urgent=False):
            if any(condition.key == job_key("job-1") for condition in conditions):
                raise ZeroDivisionError
            return await super().compare_and_swap(conditions, writes, urgent)

    store, clock, cluster = FailingStore(), ManualClock(), make_cluster()
    cluster.teams = {}
    starts = []
    for number in (1, 2, 3):
        name = f"job-{number}"
        cluster.observe_job(JobRecord("open", msgspec.structs.replace(spec(tasks=1), id=name), 256), 1)
        store.mod_revisions[job_key(name)] = 1
        starts.append(Placement(name, 0, "n-1"))
    cluster.on_heartbeat(Heartbeat("n-1", "x:1", "m", "z", True, 1, 1, TOKEN, []), clock.now(), True)
    cluster.apply_plan(Plan(placements=starts), clock.now())
    writer = StateWriter(cluster, store, clock, Term(TOKEN, 5, 1), {}, StateWriterEvents(lambda: None, str))
    writer.start()
    clock.advance(seconds(20))
    written = {name: job.placed[0].is_recorded for name, job in cluster.jobs.items()}
    assert written == {"job-1": False, "job-2": True, "job-3": True}
    assert writer.stall_reason is None
