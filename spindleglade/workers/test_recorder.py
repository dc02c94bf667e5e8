"""The recorder against a store that answers, loses answers and refuses."""

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from twisted.internet.defer import Deferred

from spindleglade.backfill.snapshot import Plan, Start
from spindleglade.clock import ManualClock, seconds
from spindleglade.leader import Leader
from spindleglade.leadership.election import LEADER, Term
from spindleglade.settings import OperatorSettings
from spindleglade.settings.platform import StateLimits
from spindleglade.store.client import (
    Committed,
    Entry,
    Put,
    Refused,
    StateClient,
    Unavailable,
    Unknown,
    raw,
)
from spindleglade.submissions.records import JOBS, PARTS, TASKS, Chunk, JobRecord, chunk_key, job_key
from spindleglade.submissions.views import JobViews
from spindleglade.test_leader import Learner
from spindleglade.web import NoAnswer, Response
from spindleglade.workers.messages import Report, TaskReport
from spindleglade.workers.recorder import Recorder
from spindleglade.workers.test_cluster import TOKEN, make_cluster, spec
from tests.deployment import Deployment, platform
from tests.standins import StateService


class Store:
    """Keeps marks and checks sizes; `fates` says what becomes of each transaction in turn."""

    def __init__(self, fates=()):
        self.limits = StateLimits(100.0, 40.0, 16.0, 12)
        self.turn, self.marks = 10, {LEADER: 5, job_key("job-1"): 1}
        self.values = {}
        self.fates, self.sizes, self.spare_writes = list(fates), [], 12
        self.value_bytes = 16 * 1024

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
    """A cluster with that many tasks placed, and a recorder that has been given time."""
    cluster, clock, deposed = make_cluster(), ManualClock(), []
    cluster.teams = {}
    cluster.take_job(JobRecord("open", spec(tasks=tasks), 256), 1)
    cluster.report(Report("n-0000000231", "x:1", "m", "z", True, 1, 1, TOKEN, []), clock.now(), True)
    cluster.apply(Plan(starts=[Start("job-1", index, "n-0000000231") for index in range(tasks)]), clock.now())
    recorder = Recorder(cluster, store, clock, Term(TOKEN, 5, 1), {}, lambda: None, deposed.append)
    recorder.start()
    for _ in range(50):
        clock.advance(seconds(0.1))
    return cluster, deposed


def recorded(cluster):
    return sum(assignment.recorded for assignment in cluster.jobs["job-1"].placed.values())


def test_a_transaction_stays_within_the_services_size():
    """Eleven full chunks are more than the 64 KiB of a transaction; the refusal repeated for ever."""
    store = Store()
    cluster, _ = record(store, 6000)
    assert recorded(cluster) == 6000 and len(store.sizes) > 2


@pytest.mark.parametrize(
    "fates", [["refused"], ["answer lost"], ["refused", "answer lost", "refused"], ["answer lost"] * 3]
)
def test_what_was_lost_is_recorded_in_the_end(fates):
    store = Store(fates)
    cluster, deposed = record(store, 3)
    assert recorded(cluster) == 3 and not deposed and chunk_key("job-1", 0) in store.marks


def test_nothing_of_an_aborted_job_is_recorded_as_placed():
    store = Store()
    store.marks[job_key("job-1")] = 9
    cluster, deposed = record(store, 3)
    assert recorded(cluster) == 0 and not deposed and chunk_key("job-1", 0) not in store.marks


def test_a_deposed_leader_writes_nothing():
    store = Store()
    store.marks[LEADER] = 6
    cluster, deposed = record(store, 3)
    assert recorded(cluster) == 0 and deposed and chunk_key("job-1", 0) not in store.marks


def test_a_refused_job_record_is_read_not_waited_for():
    """Every batch with a start of the job was refused until the replica told of the abort: with a watch held
    up for seconds, no start of any job was recorded."""
    store = Store()
    store.marks[job_key("job-1")] = 9
    store.values[job_key("job-1")] = raw(JobRecord("aborted", spec(tasks=3), 256))
    cluster, deposed = record(store, 3)
    assert "job-1" not in cluster.jobs and not deposed and len(store.sizes) == 1


def aborted(store, tasks, at_s):
    """What is left of a job's chunks in the store; it is aborted at that time, and its machine gone."""
    cluster, clock = make_cluster(), ManualClock()
    cluster.teams = {}
    cluster.take_job(JobRecord("open", spec(tasks=tasks), 256), 1)
    cluster.report(Report("n-1", "x:1", "m", "z", True, 1, 1, TOKEN, []), clock.now(), True)
    cluster.apply(Plan(starts=[Start("job-1", index, "n-1") for index in range(tasks)]), clock.now())
    recorder = Recorder(cluster, store, clock, Term(TOKEN, 5, 1), {}, lambda: None, lambda reason: None)
    recorder.start()
    clock.advance(seconds(at_s))
    store.marks[job_key("job-1")] = 90
    store.values[job_key("job-1")] = raw(JobRecord("aborted", spec(tasks=tasks), 256))
    cluster.take_job(JobRecord("aborted", spec(tasks=tasks), 256), 90)
    cluster.machine_gone("n-1", "test")
    recorder.wake()
    for _ in range(50):
        clock.advance(seconds(0.1))
        recorder.wake()
    assert not cluster.jobs
    return [key for key in store.marks if key.startswith(TASKS)]


def test_a_chunk_whose_write_had_no_answer_is_not_left_behind_by_an_abort():
    """The recorder took it for not written, and it stayed for good: a placement of a cancelled job, which
    nobody was to renew a lease for, and which the next leader counted against its team's limit."""
    assert aborted(Store(["answer lost"]), 3, 0.1) == []
    assert aborted(Store(["refused"]), 3, 0.1) == []
    assert aborted(Store(), 3, 1) == []


def test_each_chunk_of_a_job_that_is_over_is_removed_once():
    """Each of its chunks asked for the removal of all: three chunks were nine changes of the store."""
    store, removed = Store(), []
    carry = store.txn

    async def txn(when, writes, urgent=False):
        removed.extend(write.key for write in writes if not isinstance(write, Put))
        assert len({write.key for write in writes if not isinstance(write, Put)}) == sum(
            not isinstance(write, Put) for write in writes
        )
        return await carry(when, writes, urgent)

    store.txn = txn
    assert aborted(store, 600, 1) == []
    assert len(removed) == 3


def test_an_abort_at_the_end_of_the_last_task_is_not_written_over():
    """The user was told that the job is cancelled; the leader has just seen its last task done."""
    store = Store()
    cluster, clock = make_cluster(), ManualClock()
    cluster.take_job(JobRecord("open", spec(tasks=1), 256), 1)
    cluster.load_chunk("job-1", 0, Chunk(done=[(0, 0)]), clock.now())
    cluster.loaded()
    store.marks[job_key("job-1")] = 9
    store.values[job_key("job-1")] = raw(JobRecord("aborted", spec(tasks=1), 256))
    Recorder(cluster, store, clock, Term(TOKEN, 5, 1), {}, lambda: None, lambda reason: None).start()
    clock.advance(seconds(1))
    assert store.marks[job_key("job-1")] == 9 and not cluster.jobs


def finished_elsewhere():
    """A cluster with a start that waits for its record while the record says that the job is done."""
    cluster, clock = make_cluster(), ManualClock()
    cluster.teams = {}
    cluster.take_job(JobRecord("open", spec(tasks=1), 256), 1)
    cluster.report(Report("n-0000000231", "x:1", "m", "z", True, 1, 1, TOKEN, []), clock.now(), True)
    cluster.apply(Plan(starts=[Start("job-1", 0, "n-0000000231")]), clock.now())
    cluster.take_job(JobRecord("done", spec(tasks=1), 256), 4)
    return cluster


def test_a_start_of_a_job_that_is_done_keeps_no_room():
    """An old record of a job that is over, told late by the replica, opens it again until the newer comes.
    What was placed meanwhile is never recorded or sent, and held its room and its team's limit for good."""
    cluster = finished_elsewhere()
    assert not cluster.machines["n-0000000231"].placed
    batch = cluster.collect(9, {})
    assert batch.size == 0 and list(batch.over) == ["job-1"]


def test_an_abort_told_after_the_job_was_forgotten_is_forgotten_too():
    cluster = make_cluster()
    cluster.take_job(JobRecord("aborted", spec(tasks=1), 256), 4)
    assert list(cluster.collect(9, {}).over) == ["job-1"]
    cluster.forget("job-1")
    assert not cluster.jobs


class Line:
    """The way of one leader's requests to the state service, each with a fate drawn beforehand: answered,
    answered slowly, refused, carried out but not answered, or neither, and carried out when it lands."""

    def __init__(self, story):
        self.story = story

    async def request(self, method, address, path, body=None, timeout=None):
        story = self.story
        fate = story.fates.pop(0) if story.fates else "ok"
        if fate == "refused":
            return Response(503, b"{}")
        if fate == "late":
            if method == "POST":
                story.late.append((method, path, body))
            raise NoAnswer("timed out")
        answer = Response(*story.service.handle(method, path, body or b""))
        if answer.status == 400:
            # By each process: it does not know what the one before was refused.
            refused = (story.token, msgspec.json.encode(msgspec.json.decode(body)["writes"]))
            assert refused not in story.too_large, "repeated unchanged"
            story.too_large.append(refused)
        if fate == "answer lost":
            raise NoAnswer("timed out")
        if fate == "slow":
            waiter = Deferred()
            story.clock.later(seconds(1), waiter.callback, None)
            await waiter
        return answer


ANY_JOB, ANY_MACHINE = st.sampled_from(["job-1", "job-2"]), st.sampled_from(["n-1", "n-2"])


INDICES = st.sets(st.integers(0, 4), min_size=1)
FATES = st.lists(st.sampled_from(["ok", "slow", "refused", "answer lost", "late"]), max_size=5)


class RecordsStory(RuleBasedStateMachine):
    """Leaders that follow one another, their recorders, a state service that answers late, never or not the
    leader, users who abort, and workers who do as they are told. However it goes: a task is on one machine at
    most, final records stay, done is only what is done, and in the end all is done, and nothing left over."""

    SIZES = {"job-1": 5, "job-2": 1}
    CHUNK = 2
    LIMITS = StateLimits(1e4, 1e4, 16.0, 12)
    # As many tasks as are placed and end at a time while all is brought to its end.
    AT_ONCE = 9

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.service = StateService(self.clock)
        self.fates, self.late, self.told, self.too_large = [], [], 0, []
        self.machines = {name: {} for name in ("n-1", "n-2")}
        self.sessions = dict.fromkeys(self.machines, 1)
        self.tallies = dict.fromkeys(self.machines, 0)
        self.tokens = dict.fromkeys(self.machines, 0)
        self.done, self.given, self.final = set(), {}, {}
        self.token, self.recorder = 0, None
        for job, tasks in self.SIZES.items():
            self.write(job_key(job), JobRecord("open", spec(job, tasks), self.CHUNK))
        self.lead()

    def write(self, key, value):
        self.service._write([{"set": key, "v": msgspec.json.decode(msgspec.json.encode(value))}])

    def stored(self, prefix):
        return {key: value for key, (value, _, _) in self.service.keys.items() if key.startswith(prefix)}

    def entries(self):
        return [Entry(key, raw(value), mark) for key, (value, mark, _) in sorted(self.service.keys.items())]

    def lead(self):
        if self.recorder is not None:
            self.recorder.stop()
        self.token += 1
        self.write(LEADER, {})
        term = Term(self.token, self.service.turn, 1)
        client = StateClient(Line(self), "", self.clock, self.LIMITS, 1, seconds(1))
        leader = Leader(
            term,
            platform(0, Deployment()),
            OperatorSettings(),
            self.clock,
            *[None] * 8,
            Learner(),
            JobViews(),
        )
        self.cluster = make_cluster()
        self.cluster.token = self.token
        marks = leader._read(self.cluster, self.entries(), self.clock.now())
        self.cluster.loaded()
        self.deposed = []
        self.recorder = Recorder(
            self.cluster, client, self.clock, term, marks, lambda: None, self.deposed.append
        )
        self.recorder.start()

    @rule(length=st.sampled_from([0.01, 0.2, 0.7, 2.0]))
    def wait(self, length):
        self.recorder.wake()
        self.clock.advance(seconds(length))

    @rule(at=st.integers(0, 3))
    def land(self, at):
        if self.late:
            self.service.handle(*self.late.pop(min(at, len(self.late) - 1)))

    @rule(most=st.integers(1, 4))
    def tell(self, most):
        """What the replica shows next; it may be behind what the leader has read."""
        changes = [change for change in self.service.log if change.get("set", "").startswith(JOBS)]
        for change in changes[self.told : self.told + most]:
            record = msgspec.convert(change["v"], JobRecord)
            self.cluster.take_job(record, change["mark"], self.clock.now())
            self.told += 1
        self.recorder.wake()

    @rule(machine=ANY_MACHINE)
    def report(self, machine):
        self.tallies[machine] += 1
        tasks = [TaskReport(*key, *how) for key, how in self.machines[machine].items()]
        report = Report(
            machine, "x:1", "m", "z", True, self.sessions[machine], self.tallies[machine],
            self.tokens[machine], tasks,
        )  # fmt: skip
        orders = self.cluster.report(report, self.clock.now(), True)
        self.tokens[machine] = self.token
        for order in orders:
            key, there = (order.task, order.attempt), self.machines[machine]
            if order.verb == "start" and key not in there:
                assert self.given.setdefault(key, machine) == machine, "an attempt given twice"
                there[key] = ("exited", "done") if order.task in self.done else ("running",)
            elif order.verb == "stop" and there.get(key) == ("running",):
                there[key] = ("exited", "halted")
            elif order.verb == "clear" and key in there:
                assert there[key][0] == "exited"
                del there[key]
        self.recorder.wake()

    @rule(job=ANY_JOB, indices=INDICES, to=ANY_MACHINE, fates=FATES)
    def place(self, job, indices, to, fates):
        # The first report may be the one by which the machine hears of this leader.
        self.report(to)
        self.report(to)
        self.fates = fates
        if job in self.cluster.jobs:
            starts = [Start(job, index, to) for index in sorted(indices) if index < self.SIZES[job]]
            self.cluster.apply(Plan(starts=starts), self.clock.now())
            self.wait(0.01)
            self.report(to)

    @rule(machine=ANY_MACHINE, fates=FATES, most=st.integers(1, 3))
    def tasks_end(self, machine, fates, most):
        running = [key for key, how in self.machines[machine].items() if how == ("running",)]
        for key in running[:most]:
            self.machines[machine][key] = ("exited", "done")
            self.done.add(key[0])
        if running:
            self.fates = fates
            self.report(machine)

    @rule(machine=ANY_MACHINE)
    def lease_ends(self, machine):
        self.machines[machine].clear()
        self.sessions[machine] += 1
        self.tallies[machine] = 0

    @rule(job=ANY_JOB, chance=st.integers(0, 3))
    def abort(self, job, chance):
        if chance < 3:
            return
        record = msgspec.convert(self.service.keys[job_key(job)][0], JobRecord)
        if record.stage == "open":
            self.write(job_key(job), JobRecord("aborted", record.spec, record.chunk))

    @rule(chance=st.integers(0, 3))
    def another_leads(self, chance):
        if chance == 3:
            self.lead()

    @invariant()
    def a_task_is_on_one_machine_at_most(self):
        running = [
            task
            for there in self.machines.values()
            for (task, _), how in there.items()
            if how == ("running",)
        ]
        assert len(running) == len(set(running)), running

    @invariant()
    def what_is_final_stays_and_is_true(self):
        for job, tasks in self.SIZES.items():
            stage = self.service.keys[job_key(job)][0]["stage"]
            assert self.final.setdefault(job, stage) == stage if stage != "open" else job not in self.final
            if stage == "done":
                assert all(f"{job}/{index}" in self.done for index in range(tasks))

    def settle(self):
        for _ in range(3):
            while self.late:
                self.land(0)
            self.tell(9)
            for machine in self.machines:
                self.report(machine)
            self.wait(2.0)

    def teardown(self):
        self.fates = []
        self.settle()
        assert not self.deposed
        for job in self.cluster.jobs.values():
            for first in [*job.pieces.chunks, *job.pieces.parts]:
                key = job.pieces.key(job.id, first)
                stored = self.stored(key).get(key)
                chunk = None if stored is None else msgspec.json.decode(raw(stored), type=Chunk)
                end = job.pieces.end(first)
                if job.pieces.is_part(first) or job.pieces.is_part(end):
                    # What lies beyond the next part's start is stale; a part stays though it is empty.
                    assert (chunk or Chunk()).clipped(first, end) == (job.encode(first) or Chunk())
                else:
                    assert chunk == job.encode(first)
        for _ in range(3):
            for job in list(self.cluster.jobs.values()):
                self.place(job.id, job.waiting(self.AT_ONCE), "n-1", [])
            self.settle()
            for machine in self.machines:
                self.tasks_end(machine, [], self.AT_ONCE)
            self.settle()
            self.what_is_final_stays_and_is_true()
        # A record of a job that was over before may have come late; whoever leads next clears it away.
        self.lead()
        self.settle()
        assert self.final.keys() == self.SIZES.keys() and not self.cluster.jobs
        assert not self.stored(TASKS) and not self.stored(PARTS)
        assert not any(self.machines.values())


TestRecordsStory = RecordsStory.TestCase
TestRecordsStory.settings = settings(max_examples=300, stateful_step_count=100)


def test_what_breaks_the_writing_is_set_aside_and_the_rest_is_written():
    """One batch that broke the recorder used to end it, and with it every start of every job."""

    class Breaks(Store):
        async def txn(self, when, writes, urgent=False):
            if any(condition.key == job_key("job-1") for condition in when):
                raise ZeroDivisionError
            return await super().txn(when, writes, urgent)

    store, clock, cluster = Breaks(), ManualClock(), make_cluster()
    cluster.teams = {}
    starts = []
    for number in (1, 2, 3):
        name = f"job-{number}"
        cluster.take_job(JobRecord("open", msgspec.structs.replace(spec(tasks=1), id=name), 256), 1)
        store.marks[job_key(name)] = 1
        starts.append(Start(name, 0, "n-1"))
    cluster.report(Report("n-1", "x:1", "m", "z", True, 1, 1, TOKEN, []), clock.now(), True)
    cluster.apply(Plan(starts=starts), clock.now())
    recorder = Recorder(cluster, store, clock, Term(TOKEN, 5, 1), {}, lambda: None, lambda reason: None)
    recorder.start()
    clock.advance(seconds(20))
    written = {name: job.placed[0].recorded for name, job in cluster.jobs.items()}
    assert written == {"job-1": False, "job-2": True, "job-3": True}
    assert recorder.stalled is None
