"""Errors between the store's answer to a batch and the end of it: what the store holds by then is not lost
track of, and is not left waiting either."""

import pytest

from spindleglade.backfill.plan import Placement, Plan
from spindleglade.leadership.election import Term
from spindleglade.runtime.clock import ManualClock, seconds
from spindleglade.store.client import Put, ValueTooLargeError, encode_value
from spindleglade.submissions.records import JobRecord, job_key, range_key
from spindleglade.workers.attempts import DONE
from spindleglade.workers.messages import Heartbeat
from spindleglade.workers.state_writer import StateWriter, StateWriterEvents
from spindleglade.workers.test_cluster_state import TOKEN, make_cluster, spec
from spindleglade.workers.test_state_writer import Store

# Jobs with a start to be recorded, one that has ended, and one that is over and whose chunk is to go.
STARTING = ("job-1", "job-2", "job-3")
ENDED = "job-4"
OVER = "job-5"


class Breaks:
    """Raises at its call of that number, and passes all others on."""

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
    for mod_revision, job in enumerate((*STARTING, ENDED, OVER), 1):
        record = JobRecord("aborted" if job == OVER else "open", spec(job, 1), 8)
        cluster.observe_job(record, mod_revision)
        store.mod_revisions[job_key(job)] = mod_revision
        store.values[job_key(job)] = encode_value(record)
    cluster.on_heartbeat(Heartbeat("n-1", "x:1", "m", "z", True, 1, 1, TOKEN, []), now, True)
    cluster.apply_plan(Plan(placements=[Placement(job, 0, "n-1") for job in STARTING]), now)
    ended = cluster.jobs[ENDED]
    ended.task_states[0], ended.done = DONE, 1
    cluster._mark_task_changed(ended, 0)
    mod_revisions = {range_key(OVER, 0): 9}
    store.mod_revisions |= mod_revisions
    return cluster, store, mod_revisions


@pytest.mark.parametrize("at", [1, 2])
@pytest.mark.parametrize(
    "step", ["on_range_committed", "on_job_recorded_done", "forget_job", "observe", "on_committed"]
)
def test_a_batch_that_breaks_after_its_answer_is_recorded_in_the_end(step, at):
    cluster, store, mod_revisions = batch_of_each_kind()
    clock, deposed = ManualClock(), []
    learn, told = Breaks(lambda key, value, mod_revision: None, 0), Breaks(lambda: None, 0)
    breaking = Breaks(None, at)
    if step in ("on_range_committed", "on_job_recorded_done", "forget_job"):
        breaking._call = getattr(cluster, step)
        setattr(cluster, step, breaking)
    elif step == "observe":
        learn = breaking = Breaks(lambda key, value, mod_revision: None, at)
    else:
        told = breaking = Breaks(lambda: None, at)
    recorder = StateWriter(
        cluster,
        store,
        clock,
        Term(TOKEN, 5, 1),
        mod_revisions,
        StateWriterEvents(told, deposed.append, learn),
    )
    recorder.start()
    for _ in range(100):
        clock.advance(seconds(0.1))
    assert all(cluster.jobs[job].placed[0].is_recorded for job in STARTING)
    assert not cluster.jobs.keys() & {ENDED, OVER} and not cluster.pending_writes and not deposed
    # What it holds for the store's is what the store has.
    assert mod_revisions == {
        key: mod_revision for key, mod_revision in store.mod_revisions.items() if key.startswith("sg/task/")
    }
    assert mod_revisions.keys() == {range_key(job, 0) for job in STARTING}


def test_an_error_while_a_refusal_is_looked_into_loses_nothing():
    cluster, store, mod_revisions = batch_of_each_kind()
    # The store has a newer chunk than the recorder knows of: its write had no answer.
    store.mod_revisions[range_key("job-2", 0)] = 8
    store.get = Breaks(store.get, 1)
    clock, deposed = ManualClock(), []
    recorder = StateWriter(
        cluster,
        store,
        clock,
        Term(TOKEN, 5, 1),
        mod_revisions,
        StateWriterEvents(lambda: None, deposed.append),
    )
    recorder.start()
    for _ in range(100):
        clock.advance(seconds(0.1))
    assert store.get.count > 1 and not deposed
    assert all(cluster.jobs[job].placed[0].is_recorded for job in STARTING)


class LoweringStore(Store):
    """Refuses what holds that key as too large, and takes smaller values from its first refusal on."""

    def __init__(self, refused_key):
        super().__init__()
        self._refused_key = refused_key
        self.sent = []

    async def compare_and_swap(self, conditions, writes, urgent=False):
        self.sent.append(tuple((write.key, bytes(write.value)) for write in writes if isinstance(write, Put)))
        if any(write.key == self._refused_key for write in writes if isinstance(write, Put)):
            self.value_bytes = 20
            raise ValueTooLargeError("400")
        return await super().compare_and_swap(conditions, writes, urgent)


def test_a_value_that_cannot_be_made_smaller_is_never_sent_twice_unchanged():
    """One task is no longer than it is: collected anew under the lower limit the value is the same."""
    cluster, store, clock = make_cluster(), LoweringStore(range_key("job-1", 0)), ManualClock()
    cluster.teams = {}
    cluster.observe_job(JobRecord("open", spec("job-1", 1), 8), 1)
    cluster.on_heartbeat(Heartbeat("n-1", "x:1", "m", "z", True, 1, 1, TOKEN, []), clock.now(), True)
    cluster.apply_plan(Plan(placements=[Placement("job-1", 0, "n-1")]), clock.now())
    recorder = StateWriter(cluster, store, clock, Term(TOKEN, 5, 1), {}, StateWriterEvents(lambda: None, str))
    recorder.start()
    for _ in range(100):
        clock.advance(seconds(0.1))
    assert len(store.sent) == 1
    # What comes after it is recorded all the same.
    cluster.observe_job(JobRecord("open", spec("job-2", 1), 8), 2)
    store.mod_revisions[job_key("job-2")] = 2
    cluster.on_heartbeat(Heartbeat("n-1", "x:1", "m", "z", True, 1, 2, TOKEN, []), clock.now(), True)
    cluster.apply_plan(Plan(placements=[Placement("job-2", 0, "n-1")]), clock.now())
    recorder.wake()
    for _ in range(100):
        clock.advance(seconds(0.1))
    assert cluster.jobs["job-2"].placed[0].is_recorded and len(store.sent) == len(set(store.sent))
