"""Errors while the store's response to a batch is applied: the writer still tracks what the store holds, and
writes the remaining changes."""

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

# Three jobs with a start to be recorded, a done job, and a cancelled job with a task range to remove.
STARTING = ("job-1", "job-2", "job-3")
DONE_JOB = "job-4"
CANCELLED_JOB = "job-5"


class FailingCall:
    """Raises at one call, given by its number from 1 on (0: at none), and forwards all other calls."""

    def __init__(self, call, failing_number):
        self._call, self._failing_number, self.count = call, failing_number, 0

    def __call__(self, *arguments):
        self.count += 1
        if self.count == self._failing_number:
            raise RuntimeError("injected error")
        return self._call(*arguments)


def cluster_with_writes_of_each_kind():
    """A cluster with pending writes of each kind, the store with its jobs, and the writer's mod_revisions."""
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
    ended.task_states[0], ended.done_count = DONE, 1
    cluster._changes.mark_task_changed(ended, 0)
    mod_revisions = {range_key(CANCELLED_JOB, 0): 9}
    store.mod_revisions |= mod_revisions
    return cluster, store, mod_revisions


@pytest.mark.parametrize("failing_number", [1, 2])
@pytest.mark.parametrize(
    "step", ["on_range_committed", "on_job_recorded_done", "forget_job", "observe", "on_committed"]
)
def test_a_batch_whose_response_cannot_be_applied_is_committed_in_the_end(step, failing_number):
    cluster, store, mod_revisions = cluster_with_writes_of_each_kind()
    clock, deposed = ManualClock(), []
    on_record_observed = FailingCall(lambda key, value, mod_revision: None, 0)
    on_committed = FailingCall(lambda: None, 0)
    failing_call = FailingCall(None, failing_number)
    if step in ("on_range_committed", "on_job_recorded_done", "forget_job"):
        failing_call._call = getattr(cluster, step)
        setattr(cluster, step, failing_call)
    elif step == "observe":
        on_record_observed = failing_call = FailingCall(lambda key, value, mod_revision: None, failing_number)
    else:
        on_committed = failing_call = FailingCall(lambda: None, failing_number)
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
    # The mod_revisions that the writer knows are those of the store.
    assert mod_revisions == {
        key: mod_revision for key, mod_revision in store.mod_revisions.items() if key.startswith("sg/task/")
    }
    assert mod_revisions.keys() == {range_key(job, 0) for job in STARTING}


def test_an_error_while_conflicting_keys_are_read_loses_no_write():
    cluster, store, mod_revisions = cluster_with_writes_of_each_kind()
    # The store has a newer range than the writer knows of, as after a write with an unknown outcome.
    store.mod_revisions[range_key("job-2", 0)] = 8
    store.get = FailingCall(store.get, 1)
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
    """Rejects transactions with a given key as too large, and lowers its limit at the first of them."""

    def __init__(self, rejected_key):
        super().__init__()
        self._rejected_key = rejected_key
        self.sent = []

    async def compare_and_swap(self, conditions, writes, urgent=False):
        self.sent.append(tuple((write.key, bytes(write.value)) for write in writes if isinstance(write, Put)))
        if any(write.key == self._rejected_key for write in writes if isinstance(write, Put)):
            self.existing_value_bytes = 20
            raise ValueTooLargeError("400")
        return await super().compare_and_swap(conditions, writes, urgent)


def test_a_value_that_cannot_be_made_smaller_is_never_sent_twice_unchanged():
    """The range has a single task, so its value is the same when collected anew under the lower limit."""
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
    # Later changes are still recorded.
    cluster.observe_job(JobRecord("open", spec("job-2", 1), 8), 2)
    store.mod_revisions[job_key("job-2")] = 2
    cluster.on_heartbeat(Heartbeat("n-1", "x:1", "m", "z", True, 1, 2, TOKEN, []), clock.now(), True)
    cluster.apply_plan(Plan(placements=[Placement("job-2", 0, "n-1")]), clock.now())
    writer.wake()
    for _ in range(100):
        clock.advance(seconds(0.1))
    assert cluster.jobs["job-2"].placed[0].is_recorded and len(store.sent) == len(set(store.sent))
