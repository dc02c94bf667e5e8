"""A stand-in for a worker, after "Workers -> controller nodes" of the protocol page."""

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from standins import wire
from standins.record import Record

REPORT_TIMEOUT_S = 4.0
MIN_REPORT_GAP_S = 0.5
NEXT_NODE_DELAY_S = 1.0
TICK_S = 0.02


@dataclass
class Attempt:
    """An attempt of a task that the worker has, in any state."""

    thread: str
    number: int
    stage: str = "pulling"
    cause: str | None = None
    saved: bool = False
    job: asyncio.Task[None] | None = None

    def describe(self) -> dict[str, Any]:
        """The attempt as it is listed in a report."""
        listed: dict[str, Any] = {"thread": self.thread, "try": self.number, "stage": self.stage}
        if self.cause is not None:
            listed["cause"] = self.cause
        if self.saved:
            listed["saved"] = True
        return listed


@dataclass
class Place:
    """The machine that a worker runs on: its name, type, zone, kind and resources."""

    name: str
    frame: str
    glade: str
    windfall: bool
    vcpus: float
    mem_gb: float
    pull_gb_per_s: float


@dataclass
class Outside:
    """What is kept outside the machines: the uploaded jobs, their run times, checkpoints and results."""

    jobs: dict[str, dict[str, Any]] = field(default_factory=dict)
    run_s: dict[str, float] = field(default_factory=dict)
    progress_s: dict[str, float] = field(default_factory=dict)
    done: set[str] = field(default_factory=set)
    # Jobs whose running tasks come to their end now, before the run time given for them.
    finished: set[str] = field(default_factory=set)
    # Called with "start" or "end", the machine's place, the thread, the attempt and the worker's token.
    observers: list[Callable[[str, Place, Attempt, int], None]] = field(default_factory=list)


@dataclass
class Times:
    """The times of the protocol in seconds."""

    report_s: float
    lease_s: float


class Worker:
    """Reports to the controllers, executes their commands and keeps its lease."""

    def __init__(
        self,
        place: Place,
        times: Times,
        nodes: dict[str, str],
        first_node: str,
        outside: Outside,
        record: Record,
    ) -> None:
        self.place, self._times, self._nodes, self._outside = place, times, nodes, outside
        self._record = record
        # The node that it reports to, and when it last had an answer that it accepted.
        self.node = first_node
        self.answered_at = time.monotonic()
        self._spin, self._tally, self.baton = 1, 0, 0
        self._attempts: dict[tuple[str, int], Attempt] = {}
        self._images: set[str] = set()
        self._renewed_at = time.monotonic()
        self._changed = True
        self._gone = False
        self.address = ""
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> str:
        """Begins to listen and to report; returns the address for commands."""
        self.address = await wire.listen(self._handle)
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._report_forever()), loop.create_task(self._watch_lease())]
        return self.address

    def end(self) -> None:
        """The machine and everything on it are gone."""
        self._gone = True
        for task in self._tasks:
            task.cancel()
        self._kill_all("gone")

    def running(self) -> list[Attempt]:
        """The attempts that have their image and have not exited."""
        return [attempt for attempt in self._attempts.values() if attempt.stage in ("running", "saving")]

    def free_vcpus(self) -> float:
        """The CPUs that no attempt takes; attempts that fetch their image count."""
        return self._free()[0]

    def _say(self, what: str) -> None:
        self._record.write(self.place.name, what)

    def _kill_all(self, why: str) -> None:
        for attempt in list(self._attempts.values()):
            if attempt.stage != "exited":
                self._exit(attempt, why)
        self._attempts.clear()

    async def _watch_lease(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            if time.monotonic() - self._renewed_at > self._times.lease_s:
                self._say(f"lease of session {self._spin} expired")
                self._kill_all("lease")
                self._spin += 1
                self._renewed_at = time.monotonic()
                self._changed = True

    def _report(self) -> dict[str, Any]:
        self._tally += 1
        return {
            "spindle": self.place.name,
            "addr": self.address,
            "frame": self.place.frame,
            "glade": self.place.glade,
            "windfall": self.place.windfall,
            "spin": self._spin,
            "tally": self._tally,
            "baton": self.baton,
            "warning_s": None,
            "threads": [attempt.describe() for attempt in self._attempts.values()],
        }

    async def _report_forever(self) -> None:
        sent_at = 0.0
        while True:
            due_s = self._times.report_s * random.uniform(0.75, 1.25)
            while True:
                gap_s = time.monotonic() - sent_at
                if gap_s >= due_s or (self._changed and gap_s >= MIN_REPORT_GAP_S):
                    break
                await asyncio.sleep(TICK_S)
            sent_at, self._changed = time.monotonic(), False
            if not await self._report_once(sent_at):
                await asyncio.sleep(NEXT_NODE_DELAY_S)

    async def _report_once(self, sent_at: float) -> bool:
        """Sends one report. Returns whether the next one goes out as usual, not after a pause."""
        report = self._report()
        answer = await wire.request(self._nodes[self.node], "POST", "/v1/report", report, REPORT_TIMEOUT_S)
        self._say(
            f"report to {self.node} {report['spin']},{report['tally']} baton {report['baton']} "
            f"{report['threads']} -> {answer}"
        )
        if answer is not None and answer[0] == 200:
            self._accept(answer[1], report["spin"], sent_at)
            return True
        foreman = (answer[1] or {}).get("foreman") if answer is not None and answer[0] == 421 else None
        self._changed = True
        if foreman in self._nodes and foreman != self.node:
            self.node = foreman
            return True
        names = list(self._nodes)
        self.node = names[(names.index(self.node) + 1) % len(names)]
        return False

    def _accept(self, body: dict[str, Any], spin: int, sent_at: float) -> None:
        if spin != self._spin or body.get("baton", -1) < self.baton:
            return
        self._see(body["baton"])
        self._renewed_at = max(self._renewed_at, sent_at)
        self.answered_at = time.monotonic()
        self._execute(body.get("orders", []))

    def _see(self, baton: int) -> None:
        self._changed = self._changed or baton > self.baton
        self.baton = max(self.baton, baton)

    async def _handle(self, method: str, path: str, query: dict[str, str], body: Any) -> wire.Reply | None:
        if self._gone:
            return None
        if path == "/show":
            return 200, self._report()
        if "baton" not in body or "spin" not in body:
            return 400, {}
        status = 409
        if body["baton"] >= self.baton and body["spin"] == self._spin:
            self._see(body["baton"])
            self._execute(body["orders"])
            status = 200
        self._say(f"orders with baton {body['baton']} {body['orders']} -> {status}")
        return status, self._report()

    def _execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = (order["thread"], order["try"])
            attempt = self._attempts.get(key)
            if order["verb"] == "start" and attempt is None:
                self._start(*key)
            elif order["verb"] == "stop" and attempt is not None:
                self._stop(attempt, order.get("slack_s") or 0)
            elif order["verb"] == "clear" and attempt is not None and attempt.stage == "exited":
                del self._attempts[key]

    def _free(self) -> tuple[float, float]:
        vcpus, mem_gb = self.place.vcpus, self.place.mem_gb
        for attempt in self._attempts.values():
            if attempt.stage != "exited":
                job = self._outside.jobs[attempt.thread.rpartition("/")[0]]
                vcpus, mem_gb = vcpus - job["vcpus"], mem_gb - job["mem_gb"]
        return vcpus, mem_gb

    def _refusal(self, thread: str) -> str | None:
        job = self._outside.jobs.get(thread.rpartition("/")[0])
        if job is None:
            return "unknown"
        if any(other.thread == thread and other.stage != "exited" for other in self._attempts.values()):
            return "in_use"
        vcpus, mem_gb = self._free()
        return "full" if job["vcpus"] > vcpus or job["mem_gb"] > mem_gb else None

    def _start(self, thread: str, number: int) -> None:
        cause = self._refusal(thread)
        attempt = self._attempts[(thread, number)] = Attempt(thread, number)
        self._changed = True
        if cause is not None:
            attempt.stage, attempt.cause = "exited", cause
            return
        attempt.job = asyncio.get_running_loop().create_task(self._run(attempt))

    async def _run(self, attempt: Attempt) -> None:
        job = self._outside.jobs[attempt.thread.rpartition("/")[0]]
        await self._pull(job["pattern"], job["size_gb"])
        attempt.stage, self._changed = "running", True
        self._observe("start", attempt)
        left_s = 0.0
        if attempt.thread not in self._outside.done:
            left_s = self._outside.run_s[job["ref"]] - self._outside.progress_s.get(attempt.thread, 0.0)
        began_at = time.monotonic()
        try:
            while time.monotonic() - began_at < left_s and job["ref"] not in self._outside.finished:
                await asyncio.sleep(TICK_S)
        finally:
            if job["knot_s"]:
                ran_s = time.monotonic() - began_at
                saved_s = ran_s if attempt.stage == "saving" else ran_s - ran_s % job["knot_s"]
                before_s = self._outside.progress_s.get(attempt.thread, 0.0)
                self._outside.progress_s[attempt.thread] = before_s + saved_s
        self._outside.done.add(attempt.thread)
        attempt.job = None
        self._exit(attempt, "done")

    async def _pull(self, image: str, size_gb: float) -> None:
        if image not in self._images:
            await asyncio.sleep(size_gb / self.place.pull_gb_per_s)
            self._images.add(image)

    def _stop(self, attempt: Attempt, slack_s: float) -> None:
        job = self._outside.jobs.get(attempt.thread.rpartition("/")[0], {})
        if attempt.stage == "running" and job.get("knot_s") and slack_s >= job["tie_s"]:
            attempt.stage, self._changed = "saving", True
            if attempt.job is not None:
                attempt.job.cancel()
            attempt.job = asyncio.get_running_loop().create_task(self._save(attempt, job["tie_s"]))
        elif attempt.stage in ("pulling", "running") or (attempt.stage == "saving" and not slack_s):
            self._exit(attempt, "halted")

    async def _save(self, attempt: Attempt, tie_s: float) -> None:
        await asyncio.sleep(tie_s)
        attempt.saved, attempt.job = True, None
        self._exit(attempt, "halted")

    def _exit(self, attempt: Attempt, cause: str) -> None:
        had_image = attempt.stage != "pulling"
        if attempt.job is not None:
            attempt.job.cancel()
            attempt.job = None
        attempt.stage, attempt.cause, self._changed = "exited", cause, True
        if had_image:
            self._observe("end", attempt)

    def _observe(self, event: str, attempt: Attempt) -> None:
        self._say(f"{event} {attempt.thread} try {attempt.number} {attempt.cause or ''}")
        for observer in self._outside.observers:
            observer(event, self.place, attempt, self.baton)
