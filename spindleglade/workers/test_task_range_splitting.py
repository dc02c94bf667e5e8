"""Task ranges whose values exceed the lowered limits of the state service are split. A value that cannot be
made smaller delays no other writes."""

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import rule

from spindleglade.backfill.plan import Placement, Plan
from spindleglade.controller.test_recovery import make_loader
from spindleglade.http.client import ClientResponse
from spindleglade.leadership.term import LEADER_KEY, Term
from spindleglade.runtime.clock import ManualClock, seconds
from spindleglade.settings.platform import NextStateLimits, StateLimits
from spindleglade.store.client import StateClient
from spindleglade.submissions.records import JobRecord, job_key, range_key
from spindleglade.submissions.views import JobViews
from spindleglade.workers.jobs import DONE
from spindleglade.workers.messages import Heartbeat, split_task
from spindleglade.workers.state_writer import StateWriter, StateWriterEvents
from spindleglade.workers.test_state_writer_sequences import (
    ANY_JOB,
    ANY_MACHINE,
    OUTCOMES,
    StateWriterSequences,
)
from tests.cluster_harness import TOKEN, make_cluster, spec
from tests.fakes.state_service import StateService

LOWER_LIMITS = NextStateLimits(value_kb=0.45, txn_ops=4)
# Sets of consecutive task numbers, drawn as the first one and their number.
INDEX_RANGES = st.tuples(st.integers(0, 99), st.integers(1, 70)).map(
    lambda drawn: set(range(drawn[0], drawn[0] + drawn[1]))
)


class SplittingSequences(StateWriterSequences):
    """The sequences of the base class, with task ranges that exceed the lowered limits, which take effect at
    any time. After each change of the store, a new leader and the followers know every placement, every
    attempt number and every end after which a worker has forgotten the attempt, in whichever order they read
    the keys."""

    SIZES = {"job-1": 100, "job-2": 40}
    RANGE_SIZE = 64
    LIMITS = StateLimits(1e4, 1e4, 16.0, 12, LOWER_LIMITS)
    MAX_TASKS_AT_ONCE = 100

    def __init__(self):
        self.views, self.followed_revision, self.forgotten_tasks = JobViews(), 0, set()
        super().__init__()
        write_to_store = self.service._write

        def write(writes):
            write_to_store(writes)
            self.check_nothing_is_lost()

        self.service._write = write

    @rule(job=ANY_JOB, indices=INDEX_RANGES, to=ANY_MACHINE, outcomes=OUTCOMES)
    def place(self, job, indices, to, outcomes):
        super().place(job, indices, to, outcomes)

    @rule(machine=ANY_MACHINE, outcomes=OUTCOMES, max_tasks=st.integers(1, 70))
    def end_tasks(self, machine, outcomes, max_tasks):
        super().end_tasks(machine, outcomes, max_tasks)

    @rule(machine=ANY_MACHINE)
    def send_heartbeat(self, machine):
        before = dict(self.machines[machine])
        super().send_heartbeat(machine)
        for key, status in before.items():
            if status == ("exited", "done") and key not in self.machines[machine]:
                self.forgotten_tasks.add(key[0])

    @rule(chance=st.integers(0, 2))
    def lower_limits(self, chance):
        if chance == 0:
            self.service.lower_limits(LOWER_LIMITS.value_kb, LOWER_LIMITS.txn_ops)

    def load_cluster(self, entries):
        """The cluster state of a leader that is elected now and reads these entries."""
        cluster = make_cluster()
        make_loader(cluster).load(entries, self.clock.now())
        return cluster

    def update_followers(self):
        """Applies the changes of the store since the last call to the job views."""
        changes = [change for change in self.service.log if change["mark"] > self.followed_revision]
        self.followed_revision = self.service.revision
        for change in changes:
            value = None if "remove" in change else msgspec.json.encode(change["v"])
            self.views.on_change(change.get("set") or change["remove"], value, change["mark"])

    def check_nothing_is_lost(self):
        self.update_followers()
        entries = self.entries()
        late_views = JobViews()
        for entry in reversed(entries):
            late_views.on_change(entry.key, bytes(entry.value), entry.mod_revision)
        cluster = self.load_cluster(entries[::-1])
        for job in cluster.jobs.values():
            for views in (self.views, late_views):
                if job.is_open:
                    view = views.jobs[job.id]
                    assert (view.done_count, view.running) == (job.done_count, len(job.placed))
            if not job.is_open:
                continue
            for task, attempt in self.machine_of_start:
                name, index = split_task(task)
                if name == job.id:
                    assert job.task_states[index] == DONE or job.attempts.get(index, 0) >= attempt, task
            for task in self.forgotten_tasks:
                name, index = split_task(task)
                assert name != job.id or job.task_states[index] == DONE, task
        self.check_placements(cluster)

    def check_placements(self, cluster):
        for machine, attempts in self.machines.items():
            for (task, attempt), status in attempts.items():
                name, index = split_task(task)
                if status == ("running",) and name in cluster.jobs:
                    placed = cluster.jobs[name].placed.get(index)
                    assert placed is not None and (placed.attempt, placed.machine) == (attempt, machine)
                    if not cluster.jobs[name].is_open:
                        assert self.views.may_run_cancelled_task(machine, placed.incarnation)


TestSplittingSequences = SplittingSequences.TestCase
TestSplittingSequences.settings = settings(max_examples=150, stateful_step_count=40)


class ImmediateRequester:
    """Executes each request on a state service immediately."""

    def __init__(self, service):
        self.service = service

    async def request(self, method, address, path, body=None, timeout=None):
        return ClientResponse(*self.service.handle(method, path, body or b""))


def record_starts(service, limits, machines):
    """Places a job on each of these machines and runs the state writer for long enough to record the starts.
    Returns the cluster state and the state writer."""
    clock, cluster = ManualClock(), make_cluster()
    cluster.teams = {}
    service.clock = clock
    for number, machine in enumerate(machines):
        job = f"job-{number}"
        service._write([{"set": job_key(job), "v": msgspec.to_builtins(JobRecord("open", spec(job, 1), 8))}])
        cluster.observe_job(JobRecord("open", spec(job, 1), 8), service.revision)
        cluster.on_heartbeat(Heartbeat(machine, "x:1", "m", "z", True, 1, 1, TOKEN, []), clock.now(), True)
        cluster.apply_plan(Plan(placements=[Placement(job, 0, machine)]), clock.now())
    service._write([{"set": LEADER_KEY, "v": {}}])
    client = StateClient(ImmediateRequester(service), "", clock, limits, 1, seconds(1))
    term = Term(TOKEN, service.revision, 1)
    writer = StateWriter(cluster, client, clock, term, {}, StateWriterEvents(lambda: None, str))
    writer.start()
    clock.advance(seconds(20))
    return cluster, writer


def test_an_oversized_value_delays_no_other_write_and_is_not_retried():
    """The store rejects the whole batch that contains the value."""
    service = StateService(ManualClock())
    service.lower_limits(0.5, 4)
    cluster, writer = record_starts(
        service,
        StateLimits(1e4, 1e4, 16.0, 12, LOWER_LIMITS),
        ["n-1", "n-2", "n-3" + "x" * 600, "n-4", "n-5"],
    )
    recorded = [
        all(attempt.is_recorded for attempt in cluster.jobs[f"job-{number}"].placed.values())
        for number in range(5)
    ]
    assert recorded == [True, True, False, True, True]
    writes = [msgspec.json.encode(msgspec.json.decode(body)["writes"]) for body in service.rejected_for_size]
    # The value is rejected in a batch, which is collected again under the lowered limit, in that second
    # batch, and alone.
    assert len(set(writes)) == len(writes) == 3
    # It is tried again once it has changed.
    cluster.on_machine_terminated("n-3" + "x" * 600, "test")
    writer.wake()
    service.clock.advance(seconds(2))
    assert range_key("job-2", 0) in service.keys and len(service.rejected_for_size) == 3


def test_a_transaction_refused_for_its_number_of_changes_is_split():
    """The state service may lower its limits without notice."""
    service = StateService(ManualClock())
    service.lower_limits(16, 2)
    cluster, _ = record_starts(
        service, StateLimits(1e4, 1e4, 16.0, 12), [f"n-{number}" for number in range(9)]
    )
    assert all(attempt.is_recorded for job in cluster.jobs.values() for attempt in job.placed.values())


def recorded_job(tasks):
    """Returns a cluster state with one job, all of whose tasks are placed and recorded in one value, and the
    modification revisions of the keys in the store."""
    cluster, now = make_cluster(), seconds(1)
    cluster.teams = {}
    cluster.observe_job(JobRecord("open", spec(tasks=tasks), 64), 1)
    cluster.on_heartbeat(Heartbeat("n-1", "x:1", "m", "z", True, 1, 1, TOKEN, []), now, True)
    cluster.apply_plan(Plan(placements=[Placement("job-1", index, "n-1") for index in range(tasks)]), now)
    (write,) = cluster.collect_writes(9, {}).ranges
    cluster.on_range_committed(write.job, write.first_task, write.version)
    return cluster, {write.key: 7}


def test_what_was_recorded_before_a_split_stays_recorded():
    """Otherwise starts that may be in flight would count as never sent when their job is cancelled."""
    cluster, stored = recorded_job(40)
    job = cluster.jobs["job-1"]
    cluster._changes.mark_task_changed(job, 0)
    assert cluster.collect_writes(2, stored, max_value_bytes=460).size == 2 and job.ranges.overflow_starts
    assert all(attempt.is_recorded for attempt in job.placed.values())
    cluster.observe_job(JobRecord("aborted", spec(tasks=40), 64), 9)
    assert len(job.placed) == 40


def test_an_overflow_range_of_a_cancelled_job_requires_its_base_range_to_be_unchanged():
    """Otherwise an overflow range written after the removal of the job's task ranges would stay forever, with
    placements."""
    cluster, stored = recorded_job(40)
    cluster.observe_job(JobRecord("aborted", spec(tasks=40), 64), 9)
    cluster._changes.mark_task_changed(cluster.jobs["job-1"], 0)
    writes = cluster.collect_writes(2, stored, max_value_bytes=460).ranges
    assert [write.first_task for write in writes] == [35, 28] and all(write.value for write in writes)
    assert all(
        write.required_key == range_key("job-1", 0) and write.job_mod_revision is None for write in writes
    )


def test_an_empty_overflow_range_is_written():
    """Without it the stale entries in the value of the range before it would apply to its tasks again."""
    cluster, stored = recorded_job(40)
    job = cluster.jobs["job-1"]
    cluster._changes.mark_task_changed(job, 0)
    # The tasks of the overflow range, which are the last ones, have had no attempt.
    for index in range(35, 40):
        job.placed.pop(index), job.attempts.pop(index)
    (write,) = cluster.collect_writes(1, stored, max_value_bytes=460).ranges
    assert (write.first_task, bytes(write.value)) == (35, b"{}")
