"""Errors after the store's response to a batch: the writer keeps track of what the store holds by then, and
writes the rest."""

import pytest

from spindleglade.backfill.plan import Placement, Plan
from spindleglade.leadership.term import Term
from spindleglade.runtime.clock import ManualClock, seconds
from spindleglade.store.errors import ValueTooLargeError
from spindleglade.store.messages import Put, encode_value
from spindleglade.submissions.records import JobRecord, job_key, range_key
from spindleglade.workers.jobs import DONE
from spindleglade.workers.messages import Heartbeat
from spindleglade.workers.state_writer import StateWriter, StateWriterEvents
from spindleglade.workers.test_state_writer import Store
from tests.cluster_harness import TOKEN, make_cluster, spec

# Jobs with a start to be recorded, one that is done, and one that is cancelled and has a range to remove.
STARTING = ("job-1", "job-2", "job-3")
DONE_JOB = "job-4"
CANCELLED_JOB = "job-5"


class Breaks:
    """Raises at its call of that number, and forwards all others."""

    def __init__(self, call, at):
        self._call, self._at, self.count = call, at, 0

    def __call__(self, *arguments):
        self.count += 1
        if self.count == self._at:
            raise RuntimeError("broke")
        return self._call(*arguments)


def batch_of_each_kind():
    """A cluster with something of each kind to record, and the store that holds its jobs."""
    cluster, store, now = make_cluster(), Store(), ManualClock().now()
    cluster.teams = {}
    for mod_revision, job in enumerate((*STARTING, DONE_JOB, CANCELLED_JOB), 1):
        record = JobRecord("aborted" if job == CANCELLED_JOB else "open", spec(job, 1), 8)
        cluster.observe_job(record, mod_revision)
        store.mod_revisions[job_key(job)] = mod_revision
        store.values[job_key(job)] = encode_value(record)
    cluster.on_heartbeat(Heartbeat("n-1", "x:1", "m", "z", True, 1, 1, TOKEN, []), now, True)
    cluster.apply_plan(Plan(placements=[Placement(job, 0, "n-1") for job in STARTING]), now)
    ended = cluster.jobs[DONE_JOB]
    ended.task_states[0], ended.done = DONE, 1
    cluster._changes.mark_task_changed(ended, 0)
    mod_revisions = {range_key(CANCELLED_JOB, 0): 9}
    store.mod_revisions |= mod_revisions
    return cluster, store, mod_revisions


@pytest.mark.parametrize("at", [1, 2])
@pytest.mark.parametrize(
    "step", ["on_range_committed", "on_job_recorded_done", "forget_job", "observe", "on_committed"]
)
def test_a_batch_whose_response_cannot_be_applied_is_committed_in_the_end(step, at):
    cluster, store, mod_revisions = batch_of_each_kind()
    clock, deposed = ManualClock(), []
    on_record_observed = Breaks(lambda key, value, mod_revision: None, 0)
    on_committed = Breaks(lambda: None, 0)
    breaking = Breaks(None, at)
    if step in ("on_range_committed", "on_job_recorded_done", "forget_job"):
        breaking._call = getattr(cluster, step)
        setattr(cluster, step, breaking)
    elif step == "observe":
        on_record_observed = breaking = Breaks(lambda key, value, mod_revision: None, at)
    else:
        on_committed = breaking = Breaks(lambda: None, at)
    writer = StateWriter(
        cluster,
        store,
        clock,
        Term(TOKEN, 5, 1),
        mod_revisions,
        StateWriterEvents(on_committed, deposed.append, on_record_observed),
    )
    writer.start()
    for _ in range(100):
        clock.advance(seconds(0.1))
    assert all(cluster.jobs[job].placed[0].is_recorded for job in STARTING)
    assert not cluster.jobs.keys() & {DONE_JOB, CANCELLED_JOB} and not cluster.pending_writes and not deposed
    # The mod_revisions that it knows are those of the store.
    assert mod_revisions == {
        key: mod_revision for key, mod_revision in store.mod_revisions.items() if key.startswith("sg/task/")
    }
    assert mod_revisions.keys() == {range_key(job, 0) for job in STARTING}


def test_an_error_while_conflicting_keys_are_read_loses_no_write():
    cluster, store, mod_revisions = batch_of_each_kind()
    # The store has a newer range than the writer knows of: the outcome of its write was unknown.
    store.mod_revisions[range_key("job-2", 0)] = 8
    store.get = Breaks(store.get, 1)
    clock, deposed = ManualClock(), []
    writer = StateWriter(
        cluster,
        store,
        clock,
        Term(TOKEN, 5, 1),
        mod_revisions,
        StateWriterEvents(lambda: None, deposed.append),
    )
    writer.start()
    for _ in range(100):
        clock.advance(seconds(0.1))
    assert store.get.count > 1 and not deposed
    assert all(cluster.jobs[job].placed[0].is_recorded for job in STARTING)


class LoweringStore(Store):
    """Rejects transactions with that key as too large, and has a smaller limit from the first of them on."""

    def __init__(self, rejected_key):
        super().__init__()
        self._rejected_key = rejected_key
        self.sent = []

    async def compare_and_swap(self, conditions, writes, urgent=False):
        self.sent.append(tuple((write.key, bytes(write.value)) for write in writes if isinstance(write, Put)))
        if any(write.key == self._rejected_key for write in writes if isinstance(write, Put)):
            self.value_bytes = 20
            raise ValueTooLargeError("400")
        return await super().compare_and_swap(conditions, writes, urgent)


def test_a_value_that_cannot_be_made_smaller_is_never_sent_twice_unchanged():
    """The range has one task: collected anew under the lower limit the value is the same."""
    cluster, store, clock = make_cluster(), LoweringStore(range_key("job-1", 0)), ManualClock()
    cluster.teams = {}
    cluster.observe_job(JobRecord("open", spec("job-1", 1), 8), 1)
    cluster.on_heartbeat(Heartbeat("n-1", "x:1", "m", "z", True, 1, 1, TOKEN, []), clock.now(), True)
    cluster.apply_plan(Plan(placements=[Placement("job-1", 0, "n-1")]), clock.now())
    writer = StateWriter(cluster, store, clock, Term(TOKEN, 5, 1), {}, StateWriterEvents(lambda: None, str))
    writer.start()
    for _ in range(100):
        clock.advance(seconds(0.1))
    assert len(store.sent) == 1
    # Later changes are recorded all the same.
    cluster.observe_job(JobRecord("open", spec("job-2", 1), 8), 2)
    store.mod_revisions[job_key("job-2")] = 2
    cluster.on_heartbeat(Heartbeat("n-1", "x:1", "m", "z", True, 1, 2, TOKEN, []), clock.now(), True)
    cluster.apply_plan(Plan(placements=[Placement("job-2", 0, "n-1")]), clock.now())
    writer.wake()
    for _ in range(100):
        clock.advance(seconds(0.1))
    assert cluster.jobs["job-2"].placed[0].is_recorded and len(store.sent) == len(set(store.sent))
