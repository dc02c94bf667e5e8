"""No sequence of losses, delays and repetitions makes a task run without the leader's knowledge."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from spindleglade.backfill.plan import Placement, Plan, Preemption
from spindleglade.workers.messages import CommandBatch, Heartbeat, TaskStatus, split_task
from tests.cluster_harness import Harness


class LossyWorker(RuleBasedStateMachine):
    """One machine behind a network that loses, delays and repeats direct commands, with placements at any
    time. The leader must never consider a task off the machine while it runs there or a start can still
    arrive. Copies of a direct message may arrive at any time, whether or not it was answered."""

    def __init__(self):
        super().__init__()
        self.harness = Harness()
        self.incarnation, self.sequence = 1, 0
        self.tasks: dict[tuple[str, int], str] = {}
        self.delayed: list[CommandBatch] = []
        self.delivered: list[CommandBatch] = []
        self.token = 0

    def next_heartbeat(self):
        self.sequence += 1
        statuses = [
            TaskStatus(
                task,
                attempt,
                state,
                "done"
                if state == "exited" and attempt % 3 == 0
                else ("halted" if state == "exited" else None),
            )
            for (task, attempt), state in self.tasks.items()
        ]
        return Heartbeat("n-1", "x:1", "m", "z", True, self.incarnation, self.sequence, self.token, statuses)

    def accepts(self, batch: CommandBatch):
        return batch.incarnation == self.incarnation and batch.token >= self.token

    def receive(self, batch: CommandBatch):
        """Executes a direct message unless its token or incarnation is outdated."""
        if self.accepts(batch):
            self.token = batch.token
            self.execute(batch.commands)

    def execute(self, commands):
        for command in commands:
            key = (command.task, command.attempt)
            if command.operation == "start":
                self.tasks.setdefault(key, "running")
            elif command.operation == "stop" and key in self.tasks:
                self.tasks[key] = "exited"
            elif command.operation == "clear" and self.tasks.get(key) == "exited":
                del self.tasks[key]

    @rule(deliver=st.booleans())
    def send_heartbeat(self, deliver):
        heartbeat = self.next_heartbeat()
        response = self.harness.cluster.on_heartbeat(heartbeat, self.harness.now, True)
        if deliver and response is not None and response.token >= self.token:
            self.token = response.token
            self.execute(response.commands)

    @rule(index=st.integers(0, 1))
    def plan(self, index):
        self.harness.cluster.apply_plan(Plan(placements=[Placement("job-1", index, "n-1")]), self.harness.now)

    @rule(index=st.integers(0, 1))
    def preempt(self, index):
        self.harness.cluster.apply_plan(
            Plan(preemptions=[Preemption("job-1", index, "n-1", "job-2")]), self.harness.now
        )

    @rule()
    def commit_writes(self):
        self.harness.commit_writes()

    @rule(outcome=st.sampled_from(["answered", "response lost", "delayed", "lost"]))
    def send(self, outcome):
        for _, batch in self.harness.cluster.take_direct_commands():
            if outcome in ("answered", "response lost"):
                self.receive(batch)
                self.delivered.append(batch)
            if outcome == "delayed":
                self.delayed.append(batch)
            heartbeat = self.next_heartbeat() if outcome == "answered" else None
            self.harness.on_commands_sent(batch.commands, outcome_unknown=heartbeat is None)
            if heartbeat is not None:
                self.harness.cluster.on_heartbeat(heartbeat, self.harness.now, False)

    @precondition(lambda self: self.delayed)
    @rule()
    def deliver_delayed(self):
        batch = self.delayed.pop(0)
        self.receive(batch)
        self.delivered.append(batch)

    @precondition(lambda self: self.delivered)
    @rule(position=st.integers(0, 9))
    def deliver_copy(self, position):
        self.receive(self.delivered[position % len(self.delivered)])

    @rule(position=st.integers(0, 3))
    def end_task(self, position):
        running = [key for key, state in self.tasks.items() if state == "running"]
        if position < len(running):
            self.tasks[running[position]] = "exited"

    @rule()
    def expire_lease(self):
        self.tasks.clear()
        self.incarnation, self.sequence = self.incarnation + 1, 0

    @rule()
    def cancel(self):
        self.harness.cancel()

    @invariant()
    def running_tasks_are_placed(self):
        job = self.harness.cluster.jobs["job-1"]
        for (task, attempt), state in self.tasks.items():
            if state == "running":
                _, index = split_task(task)
                assert index in job.placed and job.placed[index].attempt == attempt, (task, attempt)

    @invariant()
    def a_start_that_can_arrive_is_placed_or_known_to_the_worker(self):
        job = self.harness.cluster.jobs["job-1"]
        for batch in self.delayed:
            for command in batch.commands:
                key = (command.task, command.attempt)
                if command.operation == "start" and self.accepts(batch) and key not in self.tasks:
                    _, index = split_task(command.task)
                    assert index in job.placed and job.placed[index].attempt == command.attempt, key

    @invariant()
    def no_copy_can_start_an_attempt(self):
        job = self.harness.cluster.jobs["job-1"]
        for batch in filter(self.accepts, self.delivered):
            for command in batch.commands:
                key = (command.task, command.attempt)
                if command.operation == "start" and key not in self.tasks:
                    _, index = split_task(command.task)
                    assert index in job.placed and job.placed[index].attempt == command.attempt, key


TestLossyWorker = LossyWorker.TestCase
