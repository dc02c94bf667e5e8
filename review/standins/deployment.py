"""A small deployment on loopback: the project's controllers as processes, and the stand-ins around them."""

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins import wire
from standins.cloud import Cloud, CloudLimits, Pool, Rented
from standins.record import Record
from standins.state_service import StateService
from standins.worker import Outside, Place, Times, Worker

ROOT = Path(__file__).resolve().parents[2]
CONTROLLERS = 3
SUBMISSION_TIMEOUT_S = 5.0
POLL_TIMEOUT_S = 2.0
RETRY_DELAY_S = 1.0
MEMORY_CHECK_S = 0.02
PORTS = range(15_000, 32_000)


class NotRunnableError(Exception):
    """The case could not run: a step that comes before its check has failed."""


@dataclass
class Site:
    """The settings of a deployment, in the form of its site file's values."""

    zones: list[str]
    params: dict[str, Any]
    types: list[dict[str, Any]]
    # The machines that the cloud has to give.
    free: dict[Pool, int]
    state_latency_s: float
    cloud_latency_s: float
    boot_s: float
    nodes: list[str] = field(default_factory=lambda: [f"spindle-{n}" for n in range(CONTROLLERS)])


def _free_port() -> int:
    """A port that nobody uses, below those that the system gives to outgoing connections."""
    while True:
        port = random.choice(PORTS)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((wire.HOST, port))
            except OSError:
                continue
        return port


def _held_mb(pid: int) -> float:
    """The memory in MB (of 1,048,576 bytes) that belongs to a process alone; 0 if it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines()
        _, resident, shared = (int(pages) for pages in Path(f"/proc/{pid}/statm").read_text().split()[:3])
    except (OSError, ValueError):
        return 0.0
    for line in lines:
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / 1024
    return (resident - shared) * os.sysconf("SC_PAGE_SIZE") / 1024**2


class Deployment:
    """Starts the stand-ins and the controllers, and ends them."""

    def __init__(self, site: Site, record: Record) -> None:
        self.site, self.record = site, record
        self.outside = Outside()
        self.workers: dict[str, Worker] = {}
        self.nodes: dict[str, str] = {}
        # Chooses the controller that a new worker reports to first.
        self.first_node: Callable[[], str] = lambda: random.choice(self.site.nodes)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        # Every process that was started, also those that have ended.
        self._started: list[subprocess.Popen[bytes]] = []
        self._folder = tempfile.TemporaryDirectory()
        # How often the platform has ended a controller for memory, and the most memory seen, by controller.
        self.memory_ends = 0
        self.most_memory_mb: dict[str, float] = {}
        limits = site.params["cloud"]
        self.state = StateService(site.params["state"], site.state_latency_s, record)
        self.cloud = Cloud(
            site.types,
            site.free,
            CloudLimits(limits["rps"], limits["list_lag_s"], site.cloud_latency_s, site.boot_s),
            self._on_up,
            self._on_gone,
            record,
        )
        self._background: list[asyncio.Task[Any]] = []

    async def start(self) -> None:
        """Starts everything and waits until all controllers are ready."""
        self.run_beside(self.state.run())
        peers = {name: f"{wire.HOST}:{_free_port()}" for name in self.site.nodes}
        self.nodes = {name: f"{wire.HOST}:{_free_port()}" for name in self.site.nodes}
        for number, name in enumerate(self.site.nodes):
            settings = {
                "node": name,
                "zone": self._zone(number),
                "client_listen": self.nodes[name],
                "peer_bind": peers[name],
                "siblings": [
                    {"node": other, "zone": self._zone(at), "endpoint": peers[other]}
                    for at, other in enumerate(self.site.nodes)
                    if other != name
                ],
                "external": {
                    "cloud": await wire.listen(self.cloud.handler(name)),
                    "state": await wire.listen(self.state.handler(name)),
                },
                "params": {"size": CONTROLLERS, "zones": self.site.zones} | self.site.params,
            }
            self._settings_file(name).write_text(json.dumps(settings), encoding="utf-8")
            self.start_controller(name)
        for name in self.site.nodes:
            await self.wait_for(f"{name} is ready", lambda name=name: self._is_ready(name), 20)

    def _zone(self, number: int) -> str:
        return self.site.zones[number % len(self.site.zones)]

    def _settings_file(self, name: str) -> Path:
        return Path(self._folder.name) / f"{name}.json"

    def start_controller(self, name: str) -> None:
        """Starts a controller's process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text(encoding="utf-8"))
        command = [*shlex.split(deploy["run"]), str(self._settings_file(name))]
        log = Path(self._folder.name) / f"{name}.log"
        if "KEEP_LOGS" in os.environ:
            log = Path(os.environ["KEEP_LOGS"]) / f"{name}.log"
        with log.open("ab") as errors:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, stderr=errors, env=os.environ | {"LOG_LEVEL": "info"}
            )
        self._started.append(self.processes[name])
        self.record.write("platform", f"starts {name}, process {self.processes[name].pid}")

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a controller's process: kill, stop or continue."""
        self.record.write("platform", f"sends {number.name} to {name}", show=True)
        self.processes[name].send_signal(number)

    async def _is_ready(self, name: str) -> bool:
        answer = await wire.request(self.nodes[name], "GET", "/ready", None, 1.0)
        return answer is not None and answer[0] == 200

    async def limit_memory(self, memory_mb: float, restart_delay_s: float) -> None:
        """Ends each controller that holds more memory, and starts it again, as the platform does.

        Only memory that belongs to the process alone is counted, without the pages of mapped files.
        """
        while True:
            await asyncio.sleep(MEMORY_CHECK_S)
            for name, process in self.processes.items():
                held_mb = _held_mb(process.pid)
                self.most_memory_mb[name] = max(held_mb, self.most_memory_mb.get(name, 0.0))
                if held_mb > memory_mb and process.poll() is None:
                    what = f"ends {name} for memory: it holds {held_mb:.1f} MB of {memory_mb} MB"
                    self.record.write("platform", what, show=True)
                    self.memory_ends += 1
                    process.kill()
                    process.wait()
                    self.run_beside(self.start_again(name, restart_delay_s))

    async def start_again(self, name: str, delay_s: float) -> None:
        """Starts a controller that has ended, after a delay."""
        await asyncio.sleep(delay_s)
        self.start_controller(name)

    def leading(self) -> str:
        """The controller that asked the cloud for its machines last, which only the leader does."""
        return max(self.cloud.calls, key=lambda name: self.cloud.calls[name].listed_at)

    async def wait_for(self, what: str, holds: Any, limit_s: float) -> None:
        """Waits until `holds()` is true. Raises NotRunnableError after `limit_s` seconds."""
        ends_at = time.monotonic() + limit_s
        while True:
            result = holds()
            if await result if asyncio.iscoroutine(result) else result:
                return
            if time.monotonic() > ends_at:
                raise NotRunnableError(f"not within {limit_s} s: {what}")
            await asyncio.sleep(0.02)

    async def pause(self, delay_s: float) -> None:
        """Waits."""
        await asyncio.sleep(delay_s)

    def run_beside(self, coroutine: Any) -> asyncio.Task[Any]:
        """Runs a coroutine until the end of the deployment."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._background.append(task)
        return task

    async def _on_up(self, machine: Rented) -> str:
        frame, glade, windfall = machine.pool
        kind = next(entry for entry in self.site.types if entry["name"] == frame)
        place = Place(
            machine.name, frame, glade, windfall, kind["vcpus"], kind["mem_gb"], kind["pull_gb_per_s"]
        )
        workers = self.site.params["workers"]
        times = Times(workers["report_s"], workers["lease_s"])
        worker = self.workers[machine.name] = Worker(
            place, times, self.nodes, self.first_node(), self.outside, self.record
        )
        return await worker.start()

    def _on_gone(self, name: str) -> None:
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.end()

    async def submit(self, job: dict[str, Any], run_s: float, nodes: dict[str, str] | None = None) -> None:
        """Uploads a job whose tasks run for `run_s`, and submits it until it is accepted, as users do.

        `nodes` are the controllers that the load balancer chooses from, all by default.
        """
        nodes = nodes or self.nodes
        self.outside.jobs[job["ref"]], self.outside.run_s[job["ref"]] = job, run_s
        ends_at = time.monotonic() + 60
        while time.monotonic() < ends_at:
            for name, address in random.sample(list(nodes.items()), len(nodes)):
                answer = await wire.request(address, "POST", "/submissions", job, SUBMISSION_TIMEOUT_S)
                self.record.write("user", f"submits {job} at {name} -> {answer}")
                if answer is not None and answer[0] in (200, 201):
                    self.record.write("user", f"{job['ref']} is accepted", show=True)
                    return
                if answer is not None and answer[0] in (400, 422):
                    raise NotRunnableError(f"{job['ref']} refused: {answer}")
                if answer is not None:
                    break
            await asyncio.sleep(RETRY_DELAY_S)
        raise NotRunnableError(f"{job['ref']} not accepted")

    async def stage(self, ref: str) -> str | None:
        """The stage of a job as one of the controllers answers it; None without an answer."""
        for name, address in random.sample(list(self.nodes.items()), CONTROLLERS):
            answer = await wire.request(address, "GET", f"/submissions/{ref}", None, POLL_TIMEOUT_S)
            self.record.write("user", f"asks {name} for {ref} -> {answer}")
            if answer is not None and answer[0] == 200:
                stage: str = answer[1]["stage"]
                return stage
        return None

    def end(self) -> None:
        """Ends all processes that were started."""
        for task in self._background:
            task.cancel()
        for worker in self.workers.values():
            worker.end()
        for process in self._started:
            process.kill()
            process.wait()
        self._folder.cleanup()
