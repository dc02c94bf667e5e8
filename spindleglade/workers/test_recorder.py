"""The recorder against a store that answers, loses answers and refuses."""

import msgspec
import pytest

from spindleglade.backfill.snapshot import Plan, Start
from spindleglade.clock import ManualClock, seconds
from spindleglade.leadership.election import LEADER, Term
from spindleglade.settings.platform import StateLimits
from spindleglade.store.client import Committed, Entry, Put, Refused, Unavailable, Unknown, raw
from spindleglade.submissions.records import JobRecord, chunk_key, job_key
from spindleglade.workers.messages import Report
from spindleglade.workers.recorder import Recorder
from spindleglade.workers.test_ledger import TOKEN, make_ledger, spec


class Store:
    """Keeps marks and checks sizes; `fates` says what becomes of each transaction in turn."""

    def __init__(self, fates=()):
        self.limits = StateLimits(100.0, 40.0, 16.0, 12)
        self.turn, self.marks = 10, {LEADER: 5, job_key("job-1"): 1}
        self.values = {}
        self.fates, self.sizes, self.spare_writes = list(fates), [], 12

    async def txn(self, when, writes, urgent=False):
        fate = self.fates.pop(0) if self.fates else "ok"
        if fate == "refused":
            raise Unavailable("503")
        self.sizes.append(len(msgspec.json.encode([when, writes])))
        assert self.sizes[-1] <= 64 * 1024 and len(writes) <= 12 and len(when) <= 48
        failed = {at.key for at in when if self.marks.get(at.key, 0) != at.mark}
        if failed:
            return Refused(frozenset(failed), self.turn)
        self.turn += 1
        for write in writes:
            if isinstance(write, Put):
                self.marks[write.key] = self.turn
            else:
                del self.marks[write.key]
        if fate == "answer lost":
            raise Unknown("timed out")
        return Committed(self.turn)

    async def get(self, key):
        value = self.values.get(key, msgspec.Raw(b"{}"))
        return Entry(key, value, self.marks[key]) if key in self.marks else None


def record(store, tasks):
    """A ledger with that many tasks placed, and a recorder that has been given time."""
    ledger, clock, deposed = make_ledger(), ManualClock(), []
    ledger.teams = {}
    ledger.take_job(JobRecord("open", spec(tasks=tasks), 256), 1)
    ledger.report(Report("n-0000000231", "x:1", "m", "z", True, 1, 1, TOKEN, []), clock.now(), True)
    ledger.apply(Plan(starts=[Start("job-1", index, "n-0000000231") for index in range(tasks)]), clock.now())
    recorder = Recorder(ledger, store, clock, Term(TOKEN, 5, 1), {}, lambda: None, deposed.append)
    recorder.start()
    for _ in range(50):
        clock.advance(seconds(0.1))
    return ledger, deposed


def recorded(ledger):
    return sum(assignment.recorded for assignment in ledger.jobs["job-1"].placed.values())


def test_a_transaction_stays_within_the_services_size():
    """Eleven full chunks are more than the 64 KiB of a transaction; the refusal repeated for ever."""
    store = Store()
    ledger, _ = record(store, 6000)
    assert recorded(ledger) == 6000 and len(store.sizes) > 2


@pytest.mark.parametrize(
    "fates", [["refused"], ["answer lost"], ["refused", "answer lost", "refused"], ["answer lost"] * 3]
)
def test_what_was_lost_is_recorded_in_the_end(fates):
    store = Store(fates)
    ledger, deposed = record(store, 3)
    assert recorded(ledger) == 3 and not deposed and chunk_key("job-1", 0) in store.marks


def test_nothing_of_an_aborted_job_is_recorded_as_placed():
    store = Store()
    store.marks[job_key("job-1")] = 9
    ledger, deposed = record(store, 3)
    assert recorded(ledger) == 0 and not deposed and chunk_key("job-1", 0) not in store.marks


def test_a_deposed_leader_writes_nothing():
    store = Store()
    store.marks[LEADER] = 6
    ledger, deposed = record(store, 3)
    assert recorded(ledger) == 0 and deposed and chunk_key("job-1", 0) not in store.marks


def test_a_refused_job_record_is_read_not_waited_for():
    """Every batch with a start of the job was refused until the replica told of the abort: with a watch held
    up for seconds, no start of any job was recorded."""
    store = Store()
    store.marks[job_key("job-1")] = 9
    store.values[job_key("job-1")] = raw(JobRecord("aborted", spec(tasks=3), 256))
    ledger, deposed = record(store, 3)
    assert "job-1" not in ledger.jobs and not deposed and len(store.sizes) == 1


def finished_elsewhere():
    """A ledger with a start that waits for its record while the record says that the job is done."""
    ledger, clock = make_ledger(), ManualClock()
    ledger.teams = {}
    ledger.take_job(JobRecord("open", spec(tasks=1), 256), 1)
    ledger.report(Report("n-0000000231", "x:1", "m", "z", True, 1, 1, TOKEN, []), clock.now(), True)
    ledger.apply(Plan(starts=[Start("job-1", 0, "n-0000000231")]), clock.now())
    ledger.take_job(JobRecord("done", spec(tasks=1), 256), 4)
    return ledger


def test_a_start_of_a_job_that_is_done_keeps_no_room():
    """An old record of a job that is over, told late by the replica, opens it again until the newer comes.
    What was placed meanwhile is never recorded or sent, and held its room and its team's limit for good."""
    ledger = finished_elsewhere()
    assert not ledger.machines["n-0000000231"].placed
    batch = ledger.collect(9, {})
    assert batch.size == 0 and list(batch.over) == ["job-1"]


def test_an_abort_told_after_the_job_was_forgotten_is_forgotten_too():
    ledger = make_ledger()
    ledger.take_job(JobRecord("aborted", spec(tasks=1), 256), 4)
    assert list(ledger.collect(9, {}).over) == ["job-1"]
    ledger.forget("job-1")
    assert not ledger.jobs
