"""A deployment whose network delivers copies of old commands and heartbeats, and a random run of it.

`python -m tests.start_copies FIRST LAST` plays the random runs with these seeds.
"""

import random
import sys
from collections import Counter
from contextlib import contextmanager

from spindleglade.backfill.plan import Plan, Preemption
from spindleglade.runtime.clock import seconds
from spindleglade.settings.operator import FleetSettings, OperatorSettings
from tests.deployment_config import CANCEL_TIMEOUT
from tests.fakes.encoding import decode
from tests.fakes.worker import Worker
from tests.simulated_deployment import SimulatedDeployment
from tests.simulation.network import HEARTBEAT_PATH, SimulatedNetwork

COMMANDS_PATH = "/orders"
# How long the faults of a random run go on, and how long it goes on after them.
FAULTS_S, QUIET_S = 60.0, 25.0
JOB_COUNT = 14
# The number of copies delivered at a time, in steps of the random run.
COPIES_PER_STEP = 30
STEP_S = 0.5


class RecordingNetwork(SimulatedNetwork):
    """Keeps all direct commands and all heartbeats, so that copies of them can be delivered later."""

    loses_answers_to_commands = False

    def __init__(self, *args):
        super().__init__(*args)
        self.sent = []

    def carry(self, source, target, method, path, body, on_reply):
        if path in (COMMANDS_PATH, HEARTBEAT_PATH):
            self.sent.append((source, target, method, path, body))
        if path == COMMANDS_PATH and self.loses_answers_to_commands and decode(body)["orders"]:
            super().carry(source, target, method, path, body, lambda reply: None)
        else:
            super().carry(source, target, method, path, body, on_reply)

    def deliver_copies(self):
        """Delivers copies of all commands to their machines, and of the latest heartbeats to everyone."""
        heartbeats = {message[4]: message for message in self.sent if message[3] == HEARTBEAT_PATH}
        commands = {message[4]: message for message in self.sent if message[3] == COMMANDS_PATH}
        for source, target, method, path, body in commands.values():
            self._deliver_copy(source, target, method, path, body)
        for source, _, method, path, body in list(heartbeats.values())[-100:]:
            for controller in list(self._endpoints.controllers):
                self._deliver_copy(source, controller, method, path, body)

    def deliver_random_copies(self, rng, count):
        """Delivers copies of some commands to their machines, however old these are."""
        commands = [message for message in self.sent if message[3] == COMMANDS_PATH]
        for source, target, method, path, body in rng.choices(commands, k=count) if commands else ():
            self._deliver_copy(source, target, method, path, body)

    def started_directly(self, task):
        """Whether a direct command has started the task."""
        return any(
            command["verb"] == "start" and command["thread"] == task
            for *_, path, body in self.sent
            if path == COMMANDS_PATH
            for command in decode(body)["orders"]
        )


class CopyingDeployment(SimulatedDeployment):
    """A deployment that keeps idle machines, since copies reach no machine that is gone."""

    network_type = RecordingNetwork

    def __init__(self, seed):
        fleet = FleetSettings(idle_s=600.0, on_demand_idle_s=600.0, start_objective_idle_s=600.0)
        super().__init__(seed, settings=OperatorSettings(fleet=fleet))


@contextmanager
def count_executions():
    """Counts how often each attempt is executed, by machine, incarnation, task and attempt."""
    counts, run = Counter(), Worker._run

    def count_and_run(worker, task):
        counts[(worker.machine.name, worker.incarnation, task.name, task.attempt)] += 1
        run(worker, task)

    Worker._run = count_and_run
    try:
        yield counts
    finally:
        Worker._run = run


class RandomRun:
    """Jobs, cancellations, preemptions and short faults at random, and copies of commands all the time."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.deployment = CopyingDeployment(seed)

    def play(self):
        deployment, rng = self.deployment, self.rng
        deployment.run(seconds(3))
        for number in range(JOB_COUNT):
            self.schedule_job(number)
        end = deployment.clock.now() + seconds(FAULTS_S)
        while deployment.clock.now() < end:
            rng.choice([self.preempt, self.preempt, self.restart, self.hang, self.cut, self.lose_answers])()
            self.run_with_copies(rng.uniform(1, 4))
        deployment.network.loses_answers_to_commands = False
        for job in list(deployment.jobs.accepted):
            if rng.random() < 0.5:
                deployment.users.cancel(job)
        self.run_with_copies(CANCEL_TIMEOUT.total_seconds() + QUIET_S)

    def schedule_job(self, number):
        rng, deployment = self.rng, self.deployment
        fields = {
            "crew": rng.choice(["red", "blue"]),
            "threads": rng.randint(1, 5),
            "vcpus": rng.choice([1.0, 3.0, 5.0]),
            "run_s": rng.uniform(0.3, 8),
            "together": rng.random() < 0.3,
        }
        at = rng.uniform(0, FAULTS_S * 0.7)
        deployment.clock.later(seconds(at), lambda: deployment.users.submit(number, **fields))
        if rng.random() < 0.4:
            delay = seconds(at + rng.uniform(0.5, 15))
            deployment.clock.later(delay, deployment.users.cancel, f"job-{number:06d}")

    def run_with_copies(self, length_s):
        for _ in range(int(length_s / STEP_S)):
            self.deployment.network.deliver_random_copies(self.rng, COPIES_PER_STEP)
            self.deployment.run(seconds(STEP_S))

    def machine(self):
        running = [worker for worker in self.deployment.workers.values() if not worker.terminated]
        return self.rng.choice(running).machine if running else None

    def preempt(self):
        attempts = [attempt for attempt in self.deployment.placed_attempts() if attempt.state == "running"]
        if attempts:
            attempt = self.rng.choice(attempts)
            preemption = Preemption(attempt.job.id, attempt.index, attempt.machine, "job-999999")
            cluster = self.deployment.leading_controller().leader.cluster
            cluster.apply_plan(Plan(preemptions=[preemption]), self.deployment.clock.now())

    def restart(self):
        self.deployment.faults.restart(self.rng.randrange(3), seconds(self.rng.uniform(0.1, 0.9)))

    def hang(self):
        machine = self.machine()
        if machine is not None:
            self.deployment.faults.hang(machine.name, seconds(self.rng.choice([0.4, 0.9, 8.0])))

    def cut(self):
        machine = self.machine()
        if machine is not None:
            names, length = self.deployment.controller_names, seconds(self.rng.choice([0.4, 0.9, 8.0]))
            self.deployment.network.cut(machine.address, names, self.rng.random() < 0.5, length)

    def lose_answers(self):
        network = self.deployment.network
        network.loses_answers_to_commands = not network.loses_answers_to_commands


def play(seed):
    """Plays the random run with this seed, and returns how often each attempt was executed."""
    with count_executions() as counts:
        RandomRun(seed).play()
    return counts


if __name__ == "__main__":
    for number in range(int(sys.argv[1]), int(sys.argv[2]) + 1):
        executed = play(number)
        twice = {key: count for key, count in executed.items() if count > 1}
        print(f"seed {number}: {len(executed)} attempts executed, more than once: {twice}", flush=True)
