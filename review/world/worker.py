"""A worker, by the protocol page: reports, commands, tokens, lease, images, tasks and checkpoints."""

import asyncio
import json
import random
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from world.cloud import Rented
from world.wire import Reply, Request, call, serve

MIN_REPORT_GAP_S = 0.5
RESPONSE_TIMEOUT_S = 4.0
NEXT_NODE_DELAY_S = 1.0
# After how long a task of a job with a mistake fails.
FAILS_AFTER_S = 0.5


@dataclass
class Job:
    """What workers know of a job: its description, the run time of a task, and what is done or saved."""

    spec: dict[str, Any]
    run_s: float
    done: set[str] = field(default_factory=set)
    saved_s: dict[str, float] = field(default_factory=dict)
    # Whether it was submitted with a mistake, so that its tasks fail on every machine.
    fails: bool = False


@dataclass
class Task:
    """An attempt of a task on a machine."""

    name: str
    attempt: int
    stage: str = "pulling"
    cause: str | None = None
    saved: bool | None = None
    began_at: float = 0.0
    steps: asyncio.Task[None] | None = None

    def status(self) -> dict[str, Any]:
        """The task as reports show it."""
        shown: dict[str, Any] = {"thread": self.name, "try": self.attempt, "stage": self.stage}
        if self.cause is not None:
            shown["cause"] = self.cause
        if self.saved is not None:
            shown["saved"] = self.saved
        return shown


@dataclass
class Surroundings:
    """What all workers share: the controllers' addresses by name, jobs, protocol times and the record."""

    nodes: dict[str, str]
    jobs: dict[str, Job]
    times: dict[str, float]
    note: Callable[..., None]


class Worker:
    """The worker of one machine."""

    def __init__(self, machine: Rented, frame: dict[str, Any], shared: Surroundings, first: str) -> None:
        """`first` is the name of the controller that it reports to at first."""
        self.machine = machine
        self.frame = frame
        self._shared = shared
        self.node = first
        self.spin, self.tally, self.baton = 1, 0, 0
        self.tasks: dict[tuple[str, int], Task] = {}
        self._images: set[str] = set()
        self._pulls: dict[str, asyncio.Task[None]] = {}
        self._renewed_at = time.monotonic()
        self._change = asyncio.Event()
        self._baton_change_at = 0.0
        self._loops: list[asyncio.Task[Any]] = []
        self._server: asyncio.Server | None = None
        self.largest_report = 0
        self.unanswered_statuses: dict[str, int] = {}

    async def start(self) -> None:
        """Opens the worker's port and begins to report."""
        self._server, self.machine.addr = await serve(self._handle)
        self.machine.up_at = self._renewed_at = time.monotonic()
        self._shared.note("up", machine=self.machine.name, glade=self.machine.glade)
        self._loops = [asyncio.create_task(self._report_forever()), asyncio.create_task(self._watch_lease())]

    def end(self) -> None:
        """Ends the worker and all of its tasks, since its machine is gone."""
        for loop in self._loops:
            loop.cancel()
        if self._server is not None:
            self._server.close()
        self._drop_tasks("gone")

    def _drop_tasks(self, why: str) -> None:
        for task in list(self.tasks.values()):
            if task.stage != "exited":
                self._exit(task, why)
        self.tasks.clear()

    async def _watch_lease(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if time.monotonic() - self._renewed_at > self._shared.times["lease_s"]:
                self._shared.note("lease ended", machine=self.machine.name, spin=self.spin)
                self._drop_tasks("lease ended")
                self.spin += 1
                self._renewed_at = time.monotonic()
                self._change.set()

    def report(self) -> dict[str, Any]:
        """The worker's report; each has a larger tally."""
        self.tally += 1
        return {
            "spindle": self.machine.name,
            "addr": self.machine.addr,
            "frame": self.machine.frame,
            "glade": self.machine.glade,
            "windfall": self.machine.windfall,
            "spin": self.spin,
            "tally": self.tally,
            "baton": self.baton,
            "warning_s": None,
            "threads": [task.status() for task in self.tasks.values()],
        }

    async def _report_forever(self) -> None:
        while True:
            self._change.clear()
            sent_at, spin = time.monotonic(), self.spin
            body = self.report()
            self.largest_report = max(self.largest_report, len(json.dumps(body, separators=(",", ":"))))
            address = self._shared.nodes[self.node]
            reply = await call(address, "POST", "/v1/report", body, RESPONSE_TIMEOUT_S)
            if reply is None or reply.status != 200:
                await self._go_elsewhere(reply)
                continue
            self._on_response(reply.body, sent_at, spin)
            interval = self._shared.times["report_s"] * random.uniform(0.75, 1.25)
            await asyncio.sleep(max(0.0, sent_at + MIN_REPORT_GAP_S - time.monotonic()))
            left = sent_at + interval - time.monotonic()
            if left > 0:
                with suppress(TimeoutError):
                    await asyncio.wait_for(self._change.wait(), left)

    async def _go_elsewhere(self, reply: Reply | None) -> None:
        status = "none" if reply is None else str(reply.status)
        self.unanswered_statuses[status] = self.unanswered_statuses.get(status, 0) + 1
        foreman = None if reply is None or reply.status != 421 else (reply.body or {}).get("foreman")
        if foreman in self._shared.nodes and foreman != self.node:
            self.node = foreman
            await asyncio.sleep(random.uniform(0.0, 0.5))
            return
        names = list(self._shared.nodes)
        self.node = names[(names.index(self.node) + 1) % len(names)]
        await asyncio.sleep(NEXT_NODE_DELAY_S)

    def _on_response(self, body: dict[str, Any], sent_at: float, spin: int) -> None:
        baton = body.get("baton")
        if spin != self.spin or baton is None or baton < self.baton:
            return
        self._see(baton)
        self._renewed_at = max(self._renewed_at, sent_at)
        self._execute(body.get("orders", []))

    def _see(self, baton: int) -> None:
        if baton > self.baton:
            self.baton = baton
            now = time.monotonic()
            if now - self._baton_change_at >= self._shared.times["lease_s"] / 2:
                self._baton_change_at = now
                self._change.set()

    async def _handle(self, request: Request) -> Reply | None:
        if request.path == "/show":
            return Reply(200, self.report())
        message = request.json()
        if "baton" not in message or "spin" not in message:
            return Reply(400)
        if message["baton"] < self.baton or message["spin"] != self.spin:
            return Reply(409, self.report())
        self._see(message["baton"])
        self._execute(message.get("orders", []))
        return Reply(200, self.report())

    def _execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = (order["thread"], order["try"])
            task = self.tasks.get(key)
            if order["verb"] == "start":
                if task is None:
                    self._start(*key)
            elif order["verb"] == "stop":
                if task is not None and task.stage != "exited":
                    self._stop(task, order.get("slack_s") or 0.0)
            elif task is not None and task.stage == "exited":
                del self.tasks[key]
                self._change.set()

    def _start(self, name: str, attempt: int) -> None:
        task = Task(name, attempt)
        job = self._shared.jobs.get(name.partition("/")[0])
        if job is None:
            refusal = "unknown"
        elif any(other.name == name for other in self.tasks.values()):
            refusal = "in_use"
        elif not self.has_room(job.spec):
            refusal = "full"
        else:
            refusal = None
        self.tasks[(name, attempt)] = task
        self._change.set()
        if refusal is not None:
            task.stage, task.cause = "exited", refusal
            self._shared.note("refused", task=name, attempt=attempt, cause=refusal)
            return
        task.steps = asyncio.create_task(self._run(task, job))

    def has_room(self, spec: dict[str, Any]) -> bool:
        """Whether a task of this description fits beside the tasks that are here."""
        for amount in ("vcpus", "accelerators", "mem_gb"):
            used = sum(
                self._shared.jobs[task.name.partition("/")[0]].spec[amount]
                for task in self.tasks.values()
                if task.stage != "exited"
            )
            if used + spec[amount] > self.frame[amount] + 1e-6:
                return False
        return True

    async def _pull(self, job: Job) -> None:
        pattern = job.spec["pattern"]
        if pattern in self._images:
            return
        if pattern not in self._pulls:
            rest = job.spec["size_gb"] / self.frame["pull_gb_per_s"]
            self._pulls[pattern] = asyncio.create_task(asyncio.sleep(rest))
        await asyncio.shield(self._pulls[pattern])
        self._images.add(pattern)

    async def _run(self, task: Task, job: Job) -> None:
        await self._pull(job)
        task.stage, task.began_at = "running", time.monotonic()
        self._shared.note(
            "began", task=task.name, attempt=task.attempt, machine=self.machine.name, glade=self.machine.glade
        )
        self._change.set()
        left = 0.0 if task.name in job.done else job.run_s - job.saved_s.get(task.name, 0.0)
        if job.fails:
            await asyncio.sleep(min(FAILS_AFTER_S, left))
            task.steps = None
            self._exit(task, "error")
            return
        await asyncio.sleep(max(0.0, left))
        job.done.add(task.name)
        task.steps = None
        self._exit(task, "done")

    def _stop(self, task: Task, slack_s: float) -> None:
        job = self._shared.jobs[task.name.partition("/")[0]]
        saves = job.spec["knot_s"] > 0 and slack_s >= job.spec["tie_s"]
        if task.stage == "running" and saves:
            if task.steps is not None:
                task.steps.cancel()
            task.stage = "saving"
            self._change.set()
            task.steps = asyncio.create_task(self._save(task, job))
        elif task.stage != "saving" or slack_s == 0:
            self._exit(task, "halted")

    async def _save(self, task: Task, job: Job) -> None:
        ran_s = time.monotonic() - task.began_at
        await asyncio.sleep(job.spec["tie_s"])
        job.saved_s[task.name] = job.saved_s.get(task.name, 0.0) + ran_s
        task.saved, task.steps = True, None
        self._exit(task, "halted")

    def _exit(self, task: Task, cause: str) -> None:
        if task.steps is not None:
            task.steps.cancel()
            task.steps = None
        was_on = task.stage in ("running", "saving")
        task.stage, task.cause = "exited", cause
        if was_on:
            self._shared.note(
                "ended", task=task.name, attempt=task.attempt, machine=self.machine.name, cause=cause
            )
        self._change.set()
