"""A machine's worker by its published protocol: heartbeats, commands, a lease, and tasks that it executes."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from twisted.internet.defer import Deferred

from spindleglade.runtime.clock import Clock, seconds
from tests.fakes.cloud import Machine
from tests.fakes.encoding import Reply, decode, encode, reply


@dataclass
class Task:
    name: str
    attempt: int
    stage: str = "pulling"
    cause: str | None = None
    timer: Any = None
    # What the timer is for, and when: a machine that hangs puts it off.
    due: timedelta = timedelta(0)
    call: tuple[Callable[..., None], tuple] | None = None
    extra: dict = field(default_factory=dict)

    def show(self) -> dict:
        shown = {"thread": self.name, "try": self.attempt, "stage": self.stage}
        if self.cause is not None:
            shown["cause"] = self.cause
        return shown


class Worker:
    """A machine's worker. `jobs` gives the descriptions users uploaded; `send` posts a report and calls back
    with the answer or None; `on` and `off` are told when a task comes to be on the machine and leaves it."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        machine: Machine,
        kind: dict,
        report: timedelta,
        lease: timedelta,
        jobs: dict[str, dict],
        nodes: list[str],
        send: Callable[[str, bytes, Callable[[Reply | None], None]], None],
        on: Callable[[str, str], None],
        off: Callable[[str, str], None],
        run_s: Callable[[str], float],
        error: float = 0.0,
    ) -> None:
        self.clock, self.rng, self.machine, self.kind = clock, rng, machine, kind
        self.report_every, self.lease = report, lease
        self.jobs, self.nodes, self._send = jobs, nodes, send
        self.on, self.off, self.run_s, self.error = on, off, run_s, error
        self.session, self.tally, self.token = 1, 0, 0
        self.tasks: dict[tuple[str, int], Task] = {}
        self.done: set[str] = set()
        self.answered = clock.now()
        self.at = rng.randrange(len(nodes))
        self.in_flight = False
        self.changed = False
        self.latest = clock.now()
        self.gone = False
        self.warning: timedelta | None = None
        # While it hangs: until when, and what came meanwhile and waits.
        self.hung: timedelta | None = None
        self._held: list[Callable[[], None]] = []
        self.due = report
        self._schedule()
        self._check_lease()

    def end(self) -> None:
        self.gone = True
        self._drop_all()

    def _drop_all(self) -> None:
        for task in list(self.tasks.values()):
            self._exit(task, "killed")
        self.tasks.clear()

    def hang(self, length: timedelta) -> None:
        """It answers nothing and executes nothing, and then goes on. Its lease passes meanwhile."""
        if self.gone or self.hung is not None:
            return
        self.hung = self.clock.now() + length
        for task in self.tasks.values():
            if task.timer is not None and task.timer.active():
                task.timer.cancel()
                assert task.call is not None
                call, args = task.call
                self._after(task, task.due + length - self.clock.now(), call, *args)
        self.clock.later(length, self._go_on)

    def _go_on(self) -> None:
        self.hung = None
        if self.gone:
            return
        # What it knows by itself comes first; then what was sent to it, in order.
        self._end_lease()
        held, self._held = self._held, []
        for act in held:
            act()

    def _after(self, task: Task, delay: timedelta, call: Callable[..., None], *args: Any) -> None:
        task.due, task.call = self.clock.now() + delay, (call, args)
        task.timer = self.clock.later(delay, call, *args)

    def _end_lease(self) -> None:
        if self.clock.now() - self.answered > self.lease:
            self._drop_all()
            self.session += 1
            self.tally = 0
            self.answered = self.clock.now()
            self.changed = True

    def _check_lease(self) -> None:
        if self.gone:
            return
        if self.hung is None:
            self._end_lease()
            left = self.answered + self.lease - self.clock.now()
        else:
            left = self.hung - self.clock.now()
        self.clock.later(max(seconds(0.05), left + seconds(0.01)), self._check_lease)

    def show(self) -> dict:
        self.tally += 1
        return {
            "spindle": self.machine.name,
            "addr": self.machine.address,
            "frame": self.machine.type,
            "glade": self.machine.zone,
            "windfall": self.machine.spot,
            "spin": self.session,
            "tally": self.tally,
            "baton": self.token,
            "warning_s": None
            if self.warning is None
            else max(0.0, (self.warning - self.clock.now()).total_seconds()),
            "threads": [task.show() for task in self.tasks.values()],
        }

    def _schedule(self) -> None:
        if self.gone:
            return
        since = self.clock.now() - self.latest
        if (
            self.hung is None
            and not self.in_flight
            and (since >= self.due or (self.changed and since >= seconds(0.5)))
        ):
            self.due = self.report_every * self.rng.uniform(0.75, 1.25)
            self._report()
        # A change has to wait for half a second at the most, so nothing needs a closer look.
        self.clock.later(min(seconds(0.25), self.report_every / 10), self._schedule)

    def _report(self) -> None:
        self.in_flight, self.changed = True, False
        self.latest = sent = self.clock.now()
        session = self.session

        def answered(answer: Reply | None) -> None:
            if self.gone:
                return
            if self.hung is not None:
                self._held.append(lambda: answered(answer))
                return
            if self.clock.now() - sent > seconds(4):
                answer = None
            self.in_flight = False
            if answer is None or answer[0] != 200:
                self.at = (self.at + 1) % len(self.nodes)
                self.latest = self.clock.now() - self.report_every + seconds(1)
                return
            body = decode(answer[1])
            if self.session != session or body.get("baton", -1) < self.token:
                return
            self.changed = self.changed or body["baton"] > self.token
            self.token = body["baton"]
            self.answered = max(self.answered, sent)
            self._obey(body["orders"])

        self._send(self.nodes[self.at], encode(self.show()), answered)

    def handle(self, method: str, path: str, body: bytes) -> Reply | Deferred:
        if self.hung is not None:
            waiter: Deferred[Reply] = Deferred()
            self._held.append(lambda: waiter.callback(self._answer(path, body)))
            return waiter
        return self._answer(path, body)

    def _answer(self, path: str, body: bytes) -> Reply:
        if path == "/show":
            return reply(200, self.show())
        message = decode(body)
        if message["baton"] < self.token or message["spin"] != self.session:
            return reply(409, self.show())
        self.changed = self.changed or message["baton"] > self.token
        self.token = message["baton"]
        self._obey(message["orders"])
        return reply(200, self.show())

    def _obey(self, orders: list[dict]) -> None:
        for order in orders:
            key = (order["thread"], order["try"])
            task = self.tasks.get(key)
            if order["verb"] == "start":
                if task is None:
                    self._start(order["thread"], order["try"])
            elif order["verb"] == "stop":
                if task is not None and task.stage != "exited":
                    self._exit(task, "halted")
            elif task is not None and task.stage == "exited":
                del self.tasks[key]

    def _free(self) -> tuple[float, float]:
        cpus, memory = self.kind["vcpus"], self.kind["mem_gb"]
        for task in self.tasks.values():
            if task.stage != "exited":
                job = self.jobs[task.name.rpartition("/")[0]]
                cpus, memory = cpus - job["vcpus"], memory - job["mem_gb"]
        return cpus, memory

    def _start(self, name: str, attempt: int) -> None:
        task = self.tasks[(name, attempt)] = Task(name, attempt)
        job = self.jobs.get(name.rpartition("/")[0])
        self.changed = True
        if job is None:
            task.stage, task.cause = "exited", "unknown"
            return
        if any(other.name == name and other is not task for other in self.tasks.values()):
            task.stage, task.cause = "exited", "in_use"
            return
        if min(self._free()) < -1e-9:
            task.stage, task.cause = "exited", "full"
            return
        self._after(task, seconds(self.rng.uniform(0.0, 1.0)), self._run, task)

    def _run(self, task: Task) -> None:
        task.stage = "running"
        self.changed = True
        self.on(self.machine.name, task.name)
        if self.rng.random() < self.error:
            self._after(task, seconds(0.3), self._exit, task, "error")
            return
        length = 0.0 if task.name in self.done else self.run_s(task.name)
        self._after(task, seconds(length), self._exit, task, "done")

    def resume(self, task: Task, left: timedelta) -> None:
        """A task of a recorded day goes on with what it was at."""
        if task.stage == "pulling":
            self._after(task, left, self._run, task)
        elif task.stage == "running":
            self._after(task, left, self._exit, task, "done")

    def _exit(self, task: Task, cause: str) -> None:
        if task.stage == "exited":
            return
        if task.timer is not None and task.timer.active():
            task.timer.cancel()
        was_on = task.stage == "running"
        task.stage, task.cause = "exited", cause
        if cause == "done":
            self.done.add(task.name)
        if was_on:
            self.off(self.machine.name, task.name)
        self.changed = True
