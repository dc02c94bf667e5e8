"""The state writer against a store that commits, loses responses and rejects."""

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from twisted.internet.defer import Deferred

from spindleglade.backfill.plan import Placement, Plan
from spindleglade.controller.test_recovery import make_loader
from spindleglade.http.client import ClientResponse
from spindleglade.http.errors import NoResponseError
from spindleglade.leadership.term import LEADER, Term
from spindleglade.runtime.clock import ManualClock, seconds
from spindleglade.settings.platform import StateLimits
from spindleglade.store.client import StateClient
from spindleglade.store.errors import NotAppliedError, OutcomeUnknownError
from spindleglade.store.messages import Committed, ConditionFailed, Entry, Put, encode_value
from spindleglade.submissions.records import (
    JOBS,
    OVERFLOW_RANGES,
    TASK_RANGES,
    JobRecord,
    TaskRangeRecord,
    job_key,
    range_key,
)
from spindleglade.workers.messages import Heartbeat, TaskStatus
from spindleglade.workers.state_writer import StateWriter, StateWriterEvents
from tests.cluster_harness import TOKEN, make_cluster, spec
from tests.fakes.state_service import StateService


class Store:
    """Keeps mod_revisions and checks sizes; `fates` says what becomes of each transaction in turn."""

    def __init__(self, fates=()):
        self.limits = StateLimits(100.0, 40.0, 16.0, 12)
        self.revision, self.mod_revisions = 10, {LEADER: 5, job_key("job-1"): 1}
        self.values = {}
        self.fates, self.sizes, self.spare_writes = list(fates), [], 12
        self.value_bytes = 16 * 1024

    async def compare_and_swap(self, conditions, writes, urgent=False):
        fate = self.fates.pop(0) if self.fates else "ok"
        if fate == "not applied":
            raise NotAppliedError("503")
        self.sizes.append(len(msgspec.json.encode([conditions, writes])))
        assert self.sizes[-1] <= 64 * 1024 and len(writes) <= 12 and len(conditions) <= 48
        failed = {at.key for at in conditions if self.mod_revisions.get(at.key, 0) != at.mod_revision}
        if failed:
            return ConditionFailed(frozenset(failed), self.revision)
        self.revision += 1
        for write in writes:
            if isinstance(write, Put):
                self.mod_revisions[write.key] = self.revision
            else:
                del self.mod_revisions[write.key]
        if fate == "response lost":
            raise OutcomeUnknownError("timed out")
        return Committed(self.revision)

    async def get(self, key):
        value = self.values.get(key, msgspec.Raw(b"{}"))
        return Entry(key, value, self.mod_revisions[key]) if key in self.mod_revisions else None


def write_placements(store, tasks):
    """A cluster with that many tasks placed, after its writer has been given time."""
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


def recorded(cluster):
    """How many attempts are recorded."""
    return sum(attempt.is_recorded for attempt in cluster.jobs["job-1"].placed.values())


def test_a_transaction_stays_within_the_size_that_the_store_accepts():
    """Eleven full task ranges are more than the 64 KiB of a transaction, and would be rejected for ever."""
    store = Store()
    cluster, _ = write_placements(store, 6000)
    assert recorded(cluster) == 6000 and len(store.sizes) > 2


@pytest.mark.parametrize(
    "fates",
    [
        ["not applied"],
        ["response lost"],
        ["not applied", "response lost", "not applied"],
        ["response lost"] * 3,
    ],
)
def test_writes_that_failed_are_committed_in_the_end(fates):
    store = Store(fates)
    cluster, deposed = write_placements(store, 3)
    assert recorded(cluster) == 3 and not deposed and range_key("job-1", 0) in store.mod_revisions


def test_no_task_of_a_cancelled_job_is_recorded_as_placed():
    store = Store()
    store.mod_revisions[job_key("job-1")] = 9
    cluster, deposed = write_placements(store, 3)
    assert recorded(cluster) == 0 and not deposed and range_key("job-1", 0) not in store.mod_revisions


def test_a_deposed_leader_writes_nothing():
    store = Store()
    store.mod_revisions[LEADER] = 6
    cluster, deposed = write_placements(store, 3)
    assert recorded(cluster) == 0 and deposed and range_key("job-1", 0) not in store.mod_revisions


def test_a_job_record_in_conflict_is_read_without_waiting_for_the_watch():
    """Else every batch with a start of the job fails its conditions until the replica shows the cancellation:
    with a watch delayed by seconds, no start of any job is recorded."""
    store = Store()
    store.mod_revisions[job_key("job-1")] = 9
    store.values[job_key("job-1")] = encode_value(JobRecord("aborted", spec(tasks=3), 256))
    cluster, deposed = write_placements(store, 3)
    assert "job-1" not in cluster.jobs and not deposed and len(store.sizes) == 1


def ranges_left_after_cancellation(store, tasks, at_s):
    """The task ranges in the store of a job that is cancelled at that time, and its machine terminated."""
    cluster, clock = make_cluster(), ManualClock()
    cluster.teams = {}
    cluster.observe_job(JobRecord("open", spec(tasks=tasks), 256), 1)
    cluster.on_heartbeat(Heartbeat("n-1", "x:1", "m", "z", True, 1, 1, TOKEN, []), clock.now(), True)
    cluster.apply_plan(
        Plan(placements=[Placement("job-1", index, "n-1") for index in range(tasks)]), clock.now()
    )
    writer = StateWriter(cluster, store, clock, Term(TOKEN, 5, 1), {}, StateWriterEvents(lambda: None, str))
    writer.start()
    clock.advance(seconds(at_s))
    store.mod_revisions[job_key("job-1")] = 90
    store.values[job_key("job-1")] = encode_value(JobRecord("aborted", spec(tasks=tasks), 256))
    cluster.observe_job(JobRecord("aborted", spec(tasks=tasks), 256), 90)
    cluster.on_machine_terminated("n-1", "test")
    writer.wake()
    for _ in range(50):
        clock.advance(seconds(0.1))
        writer.wake()
    assert not cluster.jobs
    return [key for key in store.mod_revisions if key.startswith(TASK_RANGES)]


def test_a_cancellation_removes_a_range_whose_write_has_an_unknown_outcome():
    """Else it stays for good: a placement of a cancelled job, for which no lease may be renewed, and which
    the next leader counts against its team's limit."""
    assert ranges_left_after_cancellation(Store(["response lost"]), 3, 0.1) == []
    assert ranges_left_after_cancellation(Store(["not applied"]), 3, 0.1) == []
    assert ranges_left_after_cancellation(Store(), 3, 1) == []


def test_each_range_of_a_finished_job_is_removed_once():
    """Each of its ranges requests the removal of all: three ranges must not be nine changes."""
    store, removed = Store(), []
    carry = store.compare_and_swap

    async def compare_and_swap(conditions, writes, urgent=False):
        removed.extend(write.key for write in writes if not isinstance(write, Put))
        assert len({write.key for write in writes if not isinstance(write, Put)}) == sum(
            not isinstance(write, Put) for write in writes
        )
        return await carry(conditions, writes, urgent)

    store.compare_and_swap = compare_and_swap
    assert ranges_left_after_cancellation(store, 600, 1) == []
    assert len(removed) == 3


def test_a_cancellation_at_the_end_of_the_last_task_is_not_overwritten():
    """The cancellation is confirmed to the user when the leader has just seen the last task done."""
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
    """A cluster with a placement that is not recorded yet, of a job whose record says that it is done."""
    cluster, clock = make_cluster(), ManualClock()
    cluster.teams = {}
    cluster.observe_job(JobRecord("open", spec(tasks=1), 256), 1)
    cluster.on_heartbeat(Heartbeat("n-0000000231", "x:1", "m", "z", True, 1, 1, TOKEN, []), clock.now(), True)
    cluster.apply_plan(Plan(placements=[Placement("job-1", 0, "n-0000000231")]), clock.now())
    cluster.observe_job(JobRecord("done", spec(tasks=1), 256), 4)
    return cluster


def test_a_placement_of_a_job_that_is_done_reserves_no_capacity():
    """An old record of a finished job, shown late by the replica, opens it again until the newer one comes.
    What is placed meanwhile is never recorded or sent, and must not count against the machine or the team."""
    cluster = cluster_with_start_of_a_done_job()
    assert not cluster.machines["n-0000000231"].placed
    batch = cluster.collect_writes(9, {})
    assert batch.size == 0 and list(batch.finished_jobs) == ["job-1"]


def test_a_cancellation_seen_after_the_job_was_forgotten_is_forgotten_too():
    cluster = make_cluster()
    cluster.observe_job(JobRecord("aborted", spec(tasks=1), 256), 4)
    assert list(cluster.collect_writes(9, {}).finished_jobs) == ["job-1"]
    cluster.forget_job("job-1")
    assert not cluster.jobs


class UnreliableConnection:
    """Carries one leader's requests to the state service, each with a fate drawn beforehand: answered,
    answered slowly, rejected, applied without a response, or delayed without a response and applied later."""

    def __init__(self, story):
        self.story = story

    async def request(self, method, address, path, body=None, timeout=None):
        story = self.story
        fate = story.fates.pop(0) if story.fates else "ok"
        if fate == "not applied":
            return ClientResponse(503, b"{}")
        if fate == "delayed":
            if method == "POST":
                story.delayed.append((method, path, body))
            raise NoResponseError("timed out")
        response = ClientResponse(*story.service.handle(method, path, body or b""))
        if response.status == 400:
            # Checked for each leader: it does not know what was rejected for the one before.
            rejected = (story.token, msgspec.json.encode(msgspec.json.decode(body)["writes"]))
            assert rejected not in story.too_large, "repeated unchanged"
            story.too_large.append(rejected)
        if fate == "response lost":
            raise NoResponseError("timed out")
        if fate == "slow":
            waiter = Deferred()
            story.clock.later(seconds(1), waiter.callback, None)
            await waiter
        return response


ANY_JOB, ANY_MACHINE = st.sampled_from(["job-1", "job-2"]), st.sampled_from(["n-1", "n-2"])


INDICES = st.sets(st.integers(0, 4), min_size=1)
FATES = st.lists(st.sampled_from(["ok", "slow", "not applied", "response lost", "delayed"]), max_size=5)


class RecordsStory(RuleBasedStateMachine):
    """Successive leaders with their writers, a state service whose responses are late, lost or rejections,
    users who cancel, and workers who carry out their commands. Whatever their order, a task is on one machine
    at most, final records stay and are true, and in the end all jobs are final, and no range is left."""

    SIZES = {"job-1": 5, "job-2": 1}
    CHUNK = 2
    LIMITS = StateLimits(1e4, 1e4, 16.0, 12)
    # As many tasks as are placed and end at a time while all is brought to its end.
    AT_ONCE = 9

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.service = StateService(self.clock)
        self.fates, self.delayed, self.observed, self.too_large = [], [], 0, []
        self.machines = {name: {} for name in ("n-1", "n-2")}
        self.incarnations = dict.fromkeys(self.machines, 1)
        self.sequences = dict.fromkeys(self.machines, 0)
        self.tokens = dict.fromkeys(self.machines, 0)
        self.done, self.given, self.final = set(), {}, {}
        self.token, self.writer = 0, None
        for job, tasks in self.SIZES.items():
            self.write(job_key(job), JobRecord("open", spec(job, tasks), self.CHUNK))
        self.lead()

    def write(self, key, value):
        self.service._write([{"set": key, "v": msgspec.json.decode(msgspec.json.encode(value))}])

    def stored(self, prefix):
        return {key: value for key, (value, _, _) in self.service.keys.items() if key.startswith(prefix)}

    def entries(self):
        return [
            Entry(key, encode_value(value), mod_revision)
            for key, (value, mod_revision, _) in sorted(self.service.keys.items())
        ]

    def lead(self):
        if self.writer is not None:
            self.writer.stop()
        self.token += 1
        self.write(LEADER, {})
        term = Term(self.token, self.service.revision, 1)
        client = StateClient(UnreliableConnection(self), "", self.clock, self.LIMITS, 1, seconds(1))
        self.cluster = make_cluster()
        self.cluster.token = self.token
        loader = make_loader(self.cluster, clock=self.clock)
        loader.load(self.entries(), self.clock.now())
        self.cluster.finish_loading()
        self.deposed = []
        self.writer = StateWriter(
            self.cluster,
            client,
            self.clock,
            term,
            loader.range_mod_revisions,
            StateWriterEvents(lambda: None, self.deposed.append),
        )
        self.writer.start()

    @rule(length=st.sampled_from([0.01, 0.2, 0.7, 2.0]))
    def wait(self, length):
        self.writer.wake()
        self.clock.advance(seconds(length))

    @rule(at=st.integers(0, 3))
    def apply_delayed_request(self, at):
        if self.delayed:
            self.service.handle(*self.delayed.pop(min(at, len(self.delayed) - 1)))

    @rule(most=st.integers(1, 4))
    def show_changes(self, most):
        """Shows the next changes by the replica, which may be behind what the leader has read."""
        changes = [change for change in self.service.log if change.get("set", "").startswith(JOBS)]
        for change in changes[self.observed : self.observed + most]:
            record = msgspec.convert(change["v"], JobRecord)
            self.cluster.observe_job(record, change["mark"], self.clock.now())
            self.observed += 1
        self.writer.wake()

    @rule(machine=ANY_MACHINE)
    def report(self, machine):
        self.sequences[machine] += 1
        tasks = [TaskStatus(*key, *how) for key, how in self.machines[machine].items()]
        heartbeat = Heartbeat(
            machine, "x:1", "m", "z", True, self.incarnations[machine], self.sequences[machine],
            self.tokens[machine], tasks,
        )  # fmt: skip
        commands = self.cluster.on_heartbeat(heartbeat, self.clock.now(), True)
        self.tokens[machine] = self.token
        for command in commands:
            key, there = (command.task, command.attempt), self.machines[machine]
            if command.operation == "start" and key not in there:
                assert self.given.setdefault(key, machine) == machine, "an attempt started on two machines"
                there[key] = ("exited", "done") if command.task in self.done else ("running",)
            elif command.operation == "stop" and there.get(key) == ("running",):
                there[key] = ("exited", "halted")
            elif command.operation == "clear" and key in there:
                assert there[key][0] == "exited"
                del there[key]
        self.writer.wake()

    @rule(job=ANY_JOB, indices=INDICES, to=ANY_MACHINE, fates=FATES)
    def place(self, job, indices, to, fates):
        # The response to the first heartbeat may be the one by which the machine learns the new token.
        self.report(to)
        self.report(to)
        self.fates = fates
        if job in self.cluster.jobs:
            starts = [Placement(job, index, to) for index in sorted(indices) if index < self.SIZES[job]]
            self.cluster.apply_plan(Plan(placements=starts), self.clock.now())
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
        self.incarnations[machine] += 1
        self.sequences[machine] = 0

    @rule(job=ANY_JOB, chance=st.integers(0, 3))
    def cancel(self, job, chance):
        if chance < 3:
            return
        record = msgspec.convert(self.service.keys[job_key(job)][0], JobRecord)
        if record.state == "open":
            self.write(job_key(job), JobRecord("aborted", record.spec, record.range_size))

    @rule(chance=st.integers(0, 3))
    def leader_changes(self, chance):
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
            state = self.service.keys[job_key(job)][0]["stage"]
            assert self.final.setdefault(job, state) == state if state != "open" else job not in self.final
            if state == "done":
                assert all(f"{job}/{index}" in self.done for index in range(tasks))

    def settle(self):
        for _ in range(3):
            while self.delayed:
                self.apply_delayed_request(0)
            self.show_changes(9)
            for machine in self.machines:
                self.report(machine)
            self.wait(2.0)

    def teardown(self):
        self.fates = []
        self.settle()
        assert not self.deposed
        for job in self.cluster.jobs.values():
            for first in [*job.ranges.range_starts, *job.ranges.overflow_starts]:
                key = job.ranges.key(job.id, first)
                stored = self.stored(key).get(key)
                task_range = (
                    None
                    if stored is None
                    else msgspec.json.decode(encode_value(stored), type=TaskRangeRecord)
                )
                end = job.ranges.end(first)
                if job.ranges.is_overflow(first) or job.ranges.is_overflow(end):
                    # What lies beyond the next overflow range's start is stale; that stays though empty.
                    assert (task_range or TaskRangeRecord()).restricted_to(first, end) == (
                        job.encode_range(first) or TaskRangeRecord()
                    )
                else:
                    assert task_range == job.encode_range(first)
        for _ in range(3):
            for job in list(self.cluster.jobs.values()):
                self.place(job.id, job.waiting_tasks(self.AT_ONCE), "n-1", [])
            self.settle()
            for machine in self.machines:
                self.tasks_end(machine, [], self.AT_ONCE)
            self.settle()
            self.what_is_final_stays_and_is_true()
        # A record of a finished job may have come late; the next leader removes what is left of it.
        self.lead()
        self.settle()
        assert self.final.keys() == self.SIZES.keys() and not self.cluster.jobs
        assert not self.stored(TASK_RANGES) and not self.stored(OVERFLOW_RANGES)
        assert not any(self.machines.values())


TestRecordsStory = RecordsStory.TestCase
TestRecordsStory.settings = settings(max_examples=300, stateful_step_count=100)


def test_a_write_that_raises_is_suspended_and_the_rest_is_written():
    """One batch that raises must not end the writer, and with it every start of every job."""

    class Breaks(Store):
        async def compare_and_swap(self, conditions, writes, urgent=False):
            if any(condition.key == job_key("job-1") for condition in conditions):
                raise ZeroDivisionError
            return await super().compare_and_swap(conditions, writes, urgent)

    store, clock, cluster = Breaks(), ManualClock(), make_cluster()
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
