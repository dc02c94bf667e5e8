"""Random sequences of faults, heartbeats and leader changes: the stored state stays consistent."""

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from twisted.internet.defer import Deferred

from spindleglade.backfill.plan import Placement, Plan
from spindleglade.controller.test_recovery import make_loader
from spindleglade.http.client import ClientResponse
from spindleglade.http.errors import NoResponseError
from spindleglade.leadership.term import LEADER_KEY, TOKENS_PER_TERM, Term
from spindleglade.runtime.clock import ManualClock, seconds
from spindleglade.settings.platform import StateLimits
from spindleglade.store.client import StateClient
from spindleglade.store.messages import Entry, encode_value
from spindleglade.submissions.records import (
    JOB_KEY_PREFIX,
    OVERFLOW_RANGE_KEY_PREFIX,
    TASK_RANGE_KEY_PREFIX,
    JobRecord,
    TaskRangeRecord,
    job_key,
)
from spindleglade.workers.messages import Heartbeat, TaskStatus
from spindleglade.workers.state_writer import StateWriter, StateWriterEvents
from tests.cluster_harness import make_cluster, spec
from tests.fakes.state_service import StateService


class UnreliableConnection:
    """Carries one leader's requests to the state service. The outcome of each request is drawn beforehand: it
    is answered, answered slowly, rejected, applied without a response, or delayed without a response and
    applied later."""

    def __init__(self, model):
        self.model = model

    async def request(self, method, address, path, body=None, timeout=None):
        model = self.model
        outcome = model.outcomes.pop(0) if model.outcomes else "ok"
        if outcome == "not applied":
            return ClientResponse(503, b"{}")
        if outcome == "delayed":
            if method == "POST":
                model.delayed_requests.append((method, path, body))
            raise NoResponseError("timed out")
        response = ClientResponse(*model.service.handle(method, path, body or b""))
        if response.status == 400:
            # Checked for each leader: a new leader does not know what was rejected for the previous one.
            rejected = (model.token, msgspec.json.encode(msgspec.json.decode(body)["writes"]))
            assert rejected not in model.rejected_writes, "rejected writes were sent again unchanged"
            model.rejected_writes.append(rejected)
        if outcome == "response lost":
            raise NoResponseError("timed out")
        if outcome == "slow":
            waiter = Deferred()
            model.clock.later(seconds(1), waiter.callback, None)
            await waiter
        return response


ANY_JOB, ANY_MACHINE = st.sampled_from(["job-1", "job-2"]), st.sampled_from(["n-1", "n-2"])
INDICES = st.sets(st.integers(0, 4), min_size=1)
OUTCOMES = st.lists(st.sampled_from(["ok", "slow", "not applied", "response lost", "delayed"]), max_size=5)


class StateWriterSequences(RuleBasedStateMachine):
    """Successive leaders with their state writers, a state service with late, lost and rejecting responses,
    users who cancel jobs, and workers that execute commands.

    Whatever the order of events, a task runs on one machine at most, and final records stay and are true. In
    the end all jobs are final and no task range is left.
    """

    SIZES = {"job-1": 5, "job-2": 1}
    RANGE_SIZE = 2
    LIMITS = StateLimits(1e4, 1e4, 16.0, 12)
    # How many tasks are placed at a time, and end at a time, while `teardown` completes all jobs.
    MAX_TASKS_AT_ONCE = 9

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.service = StateService(self.clock)
        self.outcomes, self.delayed_requests, self.observed_changes, self.rejected_writes = [], [], 0, []
        self.machines = {name: {} for name in ("n-1", "n-2")}
        self.incarnations = dict.fromkeys(self.machines, 1)
        self.sequences = dict.fromkeys(self.machines, 0)
        self.tokens = dict.fromkeys(self.machines, 0)
        # `machine_of_start` holds the machine on which each attempt was started, by task and attempt number.
        self.done, self.machine_of_start, self.final_states = set(), {}, {}
        self.token, self.writer = 0, None
        for job, tasks in self.SIZES.items():
            self.write(job_key(job), JobRecord("open", spec(job, tasks), self.RANGE_SIZE))
        self.start_leader()

    def write(self, key, value):
        self.service._write([{"set": key, "v": msgspec.json.decode(msgspec.json.encode(value))}])

    def stored(self, prefix):
        return {key: value for key, (value, _, _) in self.service.keys.items() if key.startswith(prefix)}

    def entries(self):
        return [
            Entry(key, encode_value(value), mod_revision)
            for key, (value, mod_revision, _) in sorted(self.service.keys.items())
        ]

    def start_leader(self):
        if self.writer is not None:
            self.writer.stop()
        self.token += TOKENS_PER_TERM
        self.write(LEADER_KEY, {})
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

    @rule(duration_s=st.sampled_from([0.01, 0.2, 0.7, 2.0]))
    def wait(self, duration_s):
        self.writer.wake()
        self.clock.advance(seconds(duration_s))

    @rule(position=st.integers(0, 3))
    def apply_delayed_request(self, position):
        if self.delayed_requests:
            self.service.handle(*self.delayed_requests.pop(min(position, len(self.delayed_requests) - 1)))

    @rule(limit=st.integers(1, 4))
    def deliver_changes(self, limit):
        """Delivers the next changes through the replica, which may be behind what the leader has read."""
        changes = [change for change in self.service.log if change.get("set", "").startswith(JOB_KEY_PREFIX)]
        for change in changes[self.observed_changes : self.observed_changes + limit]:
            record = msgspec.convert(change["v"], JobRecord)
            self.cluster.observe_job(record, change["mark"], self.clock.now())
            self.observed_changes += 1
        self.writer.wake()

    @rule(machine=ANY_MACHINE)
    def send_heartbeat(self, machine):
        self.sequences[machine] += 1
        tasks = [TaskStatus(*key, *status) for key, status in self.machines[machine].items()]
        heartbeat = Heartbeat(
            machine, "x:1", "m", "z", True, self.incarnations[machine], self.sequences[machine],
            self.tokens[machine], tasks,
        )  # fmt: skip
        response = self.cluster.on_heartbeat(heartbeat, self.clock.now(), True)
        assert response.token >= self.tokens[machine]
        self.tokens[machine] = response.token
        for command in response.commands:
            key, attempts = (command.task, command.attempt), self.machines[machine]
            if command.operation == "start" and key not in attempts:
                assert self.machine_of_start.setdefault(key, machine) == machine, (
                    "an attempt started on two machines"
                )
                attempts[key] = ("exited", "done") if command.task in self.done else ("running",)
            elif command.operation == "stop" and attempts.get(key) == ("running",):
                attempts[key] = ("exited", "halted")
            elif command.operation == "clear" and key in attempts:
                assert attempts[key][0] == "exited"
                del attempts[key]
        self.writer.wake()

    @rule(job=ANY_JOB, indices=INDICES, to=ANY_MACHINE, outcomes=OUTCOMES)
    def place(self, job, indices, to, outcomes):
        # The machine may learn the new token only from the response to the first heartbeat.
        self.send_heartbeat(to)
        self.send_heartbeat(to)
        self.outcomes = outcomes
        if job in self.cluster.jobs:
            starts = [Placement(job, index, to) for index in sorted(indices) if index < self.SIZES[job]]
            self.cluster.apply_plan(Plan(placements=starts), self.clock.now())
            self.wait(0.01)
            self.send_heartbeat(to)

    @rule(machine=ANY_MACHINE, outcomes=OUTCOMES, max_tasks=st.integers(1, 3))
    def end_tasks(self, machine, outcomes, max_tasks):
        running = [key for key, status in self.machines[machine].items() if status == ("running",)]
        for key in running[:max_tasks]:
            self.machines[machine][key] = ("exited", "done")
            self.done.add(key[0])
        if running:
            self.outcomes = outcomes
            self.send_heartbeat(machine)

    @rule(machine=ANY_MACHINE)
    def expire_lease(self, machine):
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
    def change_leader(self, chance):
        if chance == 3:
            self.start_leader()

    @invariant()
    def a_task_is_on_one_machine_at_most(self):
        running = [
            task
            for attempts in self.machines.values()
            for (task, _), status in attempts.items()
            if status == ("running",)
        ]
        assert len(running) == len(set(running)), running

    @invariant()
    def final_records_stay_and_are_true(self):
        for job, tasks in self.SIZES.items():
            state = self.service.keys[job_key(job)][0]["stage"]
            assert (
                self.final_states.setdefault(job, state) == state
                if state != "open"
                else job not in self.final_states
            )
            if state == "done":
                assert all(f"{job}/{index}" in self.done for index in range(tasks))

    def settle(self):
        for _ in range(3):
            while self.delayed_requests:
                self.apply_delayed_request(0)
            self.deliver_changes(9)
            for machine in self.machines:
                self.send_heartbeat(machine)
            self.wait(2.0)

    def teardown(self):
        self.outcomes = []
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
                    # Entries beyond the start of the next overflow range are stale. An overflow range stays
                    # in the store even if it is empty.
                    assert (task_range or TaskRangeRecord()).restricted_to(first, end) == (
                        job.encode_range(first) or TaskRangeRecord()
                    )
                else:
                    assert task_range == job.encode_range(first)
        for _ in range(3):
            for job in list(self.cluster.jobs.values()):
                self.place(job.id, job.waiting_tasks(self.MAX_TASKS_AT_ONCE), "n-1", [])
            self.settle()
            for machine in self.machines:
                self.end_tasks(machine, [], self.MAX_TASKS_AT_ONCE)
            self.settle()
            self.final_records_stay_and_are_true()
        # A record of a finished job may have come late; the next leader removes what is left of the job.
        self.start_leader()
        self.settle()
        assert self.final_states.keys() == self.SIZES.keys() and not self.cluster.jobs
        assert not self.stored(TASK_RANGE_KEY_PREFIX) and not self.stored(OVERFLOW_RANGE_KEY_PREFIX)
        assert not any(self.machines.values())


TestStateWriterSequences = StateWriterSequences.TestCase
TestStateWriterSequences.settings = settings(max_examples=300, stateful_step_count=100)
