"""A fake worker that follows the published protocol: heartbeats, commands, a lease and task execution."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from twisted.internet.defer import Deferred

from spindleglade.runtime.clock import Clock, seconds
from tests.fakes.cloud import Machine
from tests.fakes.encoding import Reply, decode, encode, reply


@dataclass
class Task:
    """An attempt of a task on this worker."""

    name: str
    attempt: int
    state: str = "pulling"
    cause: str | None = None
    timer: Any = None
    # When the timer fires, and the function and arguments that it calls. Both are kept because a machine that
    # hangs has to postpone the timer.
    timer_due_at: timedelta = timedelta(0)
    timer_call: tuple[Callable[..., None], tuple] | None = None

    def status(self) -> dict:
        fields = {"thread": self.name, "try": self.attempt, "stage": self.state}
        if self.cause is not None:
            fields["cause"] = self.cause
        return fields


class Worker:
    """The worker of one machine.

    `jobs` holds the job descriptions that users submitted. `send` posts a heartbeat to a controller and calls
    back with the answer, or None if there is none. `on_started` and `on_ended` are called with the names of
    the machine and the task when a task starts and stops running. `task_failure_rate` is the share of
    attempts that fail.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        machine: Machine,
        machine_type: dict,
        heartbeat_interval: timedelta,
        lease: timedelta,
        jobs: dict[str, dict],
        controllers: list[str],
        send: Callable[[str, bytes, Callable[[Reply | None], None]], None],
        on_started: Callable[[str, str], None],
        on_ended: Callable[[str, str], None],
        run_time_s: Callable[[str], float],
        task_failure_rate: float = 0.0,
    ) -> None:
        self.clock, self.rng, self.machine, self.machine_type = clock, rng, machine, machine_type
        self.heartbeat_interval, self.lease = heartbeat_interval, lease
        self.jobs, self.controllers, self._send = jobs, controllers, send
        self.on_started, self.on_ended, self.run_time_s, self.task_failure_rate = (
            on_started,
            on_ended,
            run_time_s,
            task_failure_rate,
        )
        self.incarnation, self.sequence, self.token = 1, 0, 0
        self.tasks: dict[tuple[str, int], Task] = {}
        self.completed: set[str] = set()
        self.last_answered_at = clock.now()
        self.controller_index = rng.randrange(len(controllers))
        self.is_heartbeat_in_flight = False
        self.has_changes = False
        self.last_sent_at = clock.now()
        self.terminated = False
        self.terminates_at: timedelta | None = None
        # When a machine that hangs resumes (None if it does not hang), and the messages to handle then.
        self.hung_until: timedelta | None = None
        self._held_back: list[Callable[[], None]] = []
        self.next_heartbeat_after = heartbeat_interval
        self._heartbeat_if_due()
        self._check_lease()

    def terminate(self) -> None:
        self.terminated = True
        self._kill_all_tasks()

    def _kill_all_tasks(self) -> None:
        for task in list(self.tasks.values()):
            self._exit(task, "killed")
        self.tasks.clear()

    def hang(self, length: timedelta) -> None:
        """Makes the worker answer and execute nothing for a while. Its lease can expire meanwhile."""
        if self.terminated or self.hung_until is not None:
            return
        self.hung_until = self.clock.now() + length
        for task in self.tasks.values():
            if task.timer is not None and task.timer.active():
                task.timer.cancel()
                assert task.timer_call is not None
                callback, args = task.timer_call
                self._after(task, task.timer_due_at + length - self.clock.now(), callback, *args)
        self.clock.later(length, self._resume)

    def _resume(self) -> None:
        self.hung_until = None
        if self.terminated:
            return
        # The worker checks its own lease first, and then handles the held-back messages in order.
        self._expire_lease()
        held_back, self._held_back = self._held_back, []
        for action in held_back:
            action()

    def _after(self, task: Task, delay: timedelta, callback: Callable[..., None], *args: Any) -> None:
        task.timer_due_at, task.timer_call = self.clock.now() + delay, (callback, args)
        task.timer = self.clock.later(delay, callback, *args)

    def _expire_lease(self) -> None:
        if self.clock.now() - self.last_answered_at > self.lease:
            self._kill_all_tasks()
            self.incarnation += 1
            self.sequence = 0
            self.last_answered_at = self.clock.now()
            self.has_changes = True

    def _check_lease(self) -> None:
        if self.terminated:
            return
        if self.hung_until is None:
            self._expire_lease()
            remaining = self.last_answered_at + self.lease - self.clock.now()
        else:
            remaining = self.hung_until - self.clock.now()
        self.clock.later(max(seconds(0.05), remaining + seconds(0.01)), self._check_lease)

    def heartbeat(self) -> dict:
        self.sequence += 1
        return {
            "spindle": self.machine.name,
            "addr": self.machine.address,
            "frame": self.machine.type,
            "glade": self.machine.zone,
            "windfall": self.machine.spot,
            "spin": self.incarnation,
            "tally": self.sequence,
            "baton": self.token,
            "warning_s": None
            if self.terminates_at is None
            else max(0.0, (self.terminates_at - self.clock.now()).total_seconds()),
            "threads": [task.status() for task in self.tasks.values()],
        }

    def _heartbeat_if_due(self) -> None:
        if self.terminated:
            return
        since = self.clock.now() - self.last_sent_at
        if (
            self.hung_until is None
            and not self.is_heartbeat_in_flight
            and (since >= self.next_heartbeat_after or (self.has_changes and since >= seconds(0.5)))
        ):
            self.next_heartbeat_after = self.heartbeat_interval * self.rng.uniform(0.75, 1.25)
            self._send_heartbeat()
        # A change may wait for up to half a second, so a shorter interval is not needed.
        self.clock.later(min(seconds(0.25), self.heartbeat_interval / 10), self._heartbeat_if_due)

    def _send_heartbeat(self) -> None:
        self.is_heartbeat_in_flight, self.has_changes = True, False
        self.last_sent_at = sent = self.clock.now()
        incarnation = self.incarnation

        def on_answer(answer: Reply | None) -> None:
            if self.terminated:
                return
            if self.hung_until is not None:
                self._held_back.append(lambda: on_answer(answer))
                return
            if self.clock.now() - sent > seconds(4):
                answer = None
            self.is_heartbeat_in_flight = False
            if answer is None or answer[0] != 200:
                self.controller_index = (self.controller_index + 1) % len(self.controllers)
                self.last_sent_at = self.clock.now() - self.heartbeat_interval + seconds(1)
                return
            body = decode(answer[1])
            if self.incarnation != incarnation or body.get("baton", -1) < self.token:
                return
            self.has_changes = self.has_changes or body["baton"] > self.token
            self.token = body["baton"]
            self.last_answered_at = max(self.last_answered_at, sent)
            self._execute(body["orders"])

        self._send(self.controllers[self.controller_index], encode(self.heartbeat()), on_answer)

    def handle(self, method: str, path: str, body: bytes) -> Reply | Deferred:
        if self.hung_until is not None:
            waiter: Deferred[Reply] = Deferred()
            self._held_back.append(lambda: waiter.callback(self._answer(path, body)))
            return waiter
        return self._answer(path, body)

    def _answer(self, path: str, body: bytes) -> Reply:
        if path == "/show":
            return reply(200, self.heartbeat())
        message = decode(body)
        if message["baton"] < self.token or message["spin"] != self.incarnation:
            return reply(409, self.heartbeat())
        self.has_changes = self.has_changes or message["baton"] > self.token
        self.token = message["baton"]
        self._execute(message["orders"])
        return reply(200, self.heartbeat())

    def _execute(self, commands: list[dict]) -> None:
        for command in commands:
            key = (command["thread"], command["try"])
            task = self.tasks.get(key)
            if command["verb"] == "start":
                if task is None:
                    self._start(command["thread"], command["try"])
            elif command["verb"] == "stop":
                if task is not None and task.state != "exited":
                    self._exit(task, "halted")
            elif task is not None and task.state == "exited":
                del self.tasks[key]

    def free_resources(self) -> tuple[float, float]:
        cpus, memory = self.machine_type["vcpus"], self.machine_type["mem_gb"]
        for task in self.tasks.values():
            if task.state != "exited":
                job = self.jobs[task.name.rpartition("/")[0]]
                cpus, memory = cpus - job["vcpus"], memory - job["mem_gb"]
        return cpus, memory

    def _start(self, name: str, attempt: int) -> None:
        task = self.tasks[(name, attempt)] = Task(name, attempt)
        job = self.jobs.get(name.rpartition("/")[0])
        self.has_changes = True
        if job is None:
            task.state, task.cause = "exited", "unknown"
            return
        if any(other.name == name and other is not task for other in self.tasks.values()):
            task.state, task.cause = "exited", "in_use"
            return
        if min(self.free_resources()) < -1e-9:
            task.state, task.cause = "exited", "full"
            return
        self._after(task, seconds(self.rng.uniform(0.0, 1.0)), self._run, task)

    def _run(self, task: Task) -> None:
        task.state = "running"
        self.has_changes = True
        self.on_started(self.machine.name, task.name)
        if self.rng.random() < self.task_failure_rate:
            self._after(task, seconds(0.3), self._exit, task, "error")
            return
        length = 0.0 if task.name in self.completed else self.run_time_s(task.name)
        self._after(task, seconds(length), self._exit, task, "done")

    def resume(self, task: Task, remaining: timedelta) -> None:
        """Resumes a task of a recorded day in its current state, with this time left in that state."""
        if task.state == "pulling":
            self._after(task, remaining, self._run, task)
        elif task.state == "running":
            self._after(task, remaining, self._exit, task, "done")

    def _exit(self, task: Task, cause: str) -> None:
        if task.state == "exited":
            return
        if task.timer is not None and task.timer.active():
            task.timer.cancel()
        was_running = task.state == "running"
        task.state, task.cause = "exited", cause
        if cause == "done":
            self.completed.add(task.name)
        if was_running:
            self.on_ended(self.machine.name, task.name)
        self.has_changes = True
