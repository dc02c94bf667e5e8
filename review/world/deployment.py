"""A small deployment on loopback: three controllers as real processes, and stand-ins for all others."""

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from world.cloud import Cloud, Rented
from world.state import StateService
from world.wire import HOST, Reply, call, serve
from world.worker import Job, Surroundings, Worker

ROOT = Path(__file__).resolve().parent.parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
# A case ends itself after this time at the latest.
MOST_S = 112.0
# How long a user waits for the responses to a submission or cancellation, and to a question.
SUBMIT_TIMEOUT_S, POLL_TIMEOUT_S = 5.0, 2.0


class CannotRunError(Exception):
    """The case could not be run to the point where the rule is checked."""


@dataclass
class Site:
    """The settings of a deployment, with the names of the platform's file."""

    zones: list[str]
    teams: list[dict[str, Any]]
    objectives: list[dict[str, Any]]
    workers: dict[str, float]
    state: dict[str, float]
    cloud: dict[str, float]
    frames: list[dict[str, Any]]
    # How many machines the cloud has, by type, zone and kind (spot or not).
    capacity: dict[tuple[str, str, bool], int]
    # How long each machine takes to boot: drawn between these two shares of `ready_s`.
    boot: tuple[float, float] = (0.6, 1.5)
    nodes: dict[str, str] = field(
        default_factory=lambda: {"spindle-0": "porto", "spindle-1": "serra", "spindle-2": "porto"}
    )
    machine_limits: dict[str, float] = field(default_factory=dict)


def radarsul(**changes: Any) -> Site:
    """A deployment with the settings of the radar tiles."""
    limits = {
        "ceu-aberto": (24.0, 80.0),
        "nimbo-sul": (80.0, 256.0),
        "vento-claro": (64.0, 216.0),
        "plataforma": (40.0, 152.0),
        "calibra": (40.0, 80.0),
        "mapas": (32.0, 104.0),
    }
    settings: dict[str, Any] = {
        "zones": ["fronteira", "litoral", "porto", "serra"],
        "teams": [
            {"name": name, "cpus": cpus, "cpus_max": most, "gpus": 0.0, "gpus_max": 0.0}
            for name, (cpus, most) in limits.items()
        ],
        "objectives": [
            {"kind": "deadline", "class": "sweep-decode", "share": 0.82, "times": 1.0},
            {"kind": "deadline", "class": "hail-flag", "share": 0.96, "times": 1.0},
            {"kind": "wait", "class": "hail-flag", "within_s": 4.0, "share": 0.82},
            {"kind": "deadline", "class": "clutter-clean", "share": 0.92, "times": 1.0},
            {"kind": "guarantee", "within_s": 10.0, "share": 0.85},
        ],
        "workers": {
            "report_s": 2.5,
            "lease_s": 14.0,
            "gang_wait_s": 45.0,
            "gang_peer_s": 5.0,
            "cancel_s": 34.0,
        },
        "state": {"rps": 100.0, "write_rps": 40.0, "value_kb": 16.0, "txn_ops": 12},
        "cloud": {"rps": 3.0, "list_lag_s": 5.0},
        "frames": [
            {
                "name": "pampa16",
                "vcpus": 16.0,
                "accelerators": 0.0,
                "mem_gb": 64.0,
                "local_gb": 35.0,
                "pull_gb_per_s": 0.3,
                "rate": 0.78,
                "spot_price": 0.26,
                "ready_s": 50.0,
                "glades": ["fronteira", "litoral", "porto", "serra"],
            }
        ],
        "capacity": {},
        "machine_limits": {"core_share": 0.288, "memory_mb": 266.0, "sockets": 1800},
    }
    return Site(**(settings | changes))


def nabd(**changes: Any) -> Site:
    """A deployment with the settings of the night jobs of the gyms."""
    settings: dict[str, Any] = {
        "zones": ["maadi", "smouha"],
        "teams": [
            {"name": f"backoffice-{number}", "cpus": 64.0, "cpus_max": 192.0, "gpus": 0.0, "gpus_max": 0.0}
            for number in range(16)
        ],
        "objectives": [
            {"kind": "finished", "class": "booking-sync", "within_s": 250.0, "share": 0.82},
            {"kind": "deadline", "class": "gate-list", "share": 0.97, "times": 1.0},
            {"kind": "guarantee", "within_s": 5.0, "share": 0.9},
        ],
        "workers": {
            "report_s": 0.8,
            "lease_s": 10.0,
            "gang_wait_s": 35.0,
            "gang_peer_s": 6.0,
            "cancel_s": 30.0,
        },
        "state": {"rps": 200.0, "write_rps": 40.0, "value_kb": 16.0, "txn_ops": 32},
        "cloud": {"rps": 3.0, "list_lag_s": 8.0},
        "frames": [
            _nabd_frame("nile16", 16.0, 0.82, 0.19, 20.0),
            _nabd_frame("delta64", 64.0, 3.37, 0.82, 30.0),
        ],
        "capacity": {},
        "nodes": {"spindle-0": "maadi", "spindle-1": "smouha", "spindle-2": "maadi"},
        "machine_limits": {"core_share": 0.288, "memory_mb": 146.0, "sockets": 700},
    }
    return Site(**(settings | changes))


def _nabd_frame(name: str, cpus: float, rate: float, spot_price: float, ready_s: float) -> dict[str, Any]:
    return {
        "name": name,
        "vcpus": cpus,
        "accelerators": 0.0,
        "mem_gb": cpus * 4,
        "local_gb": 70.0,
        "pull_gb_per_s": 0.4,
        "rate": rate,
        "spot_price": spot_price,
        "ready_s": ready_s,
        "glades": ["maadi", "smouha"],
    }


def submission(ref: str, **fields: Any) -> dict[str, Any]:
    """A submission with all fields of the protocol page; `fields` replace the ordinary values."""
    ordinary = {
        "ref": ref,
        "bobbin": "clutter-clean",
        "crew": "mapas",
        "weave": "array",
        "urgency": "normal",
        "threads": 1,
        "vcpus": 4.0,
        "accelerators": 0.0,
        "mem_gb": 11.0,
        "pattern": "img-07",
        "size_gb": 0.1,
        "frames": None,
        "glade": None,
        "together": False,
        "scatter": False,
        "windfall": True,
        "reckon_s": 20.0,
        "knot_s": 0.0,
        "tie_s": 0.0,
        "due_s": None,
    }
    return ordinary | fields


def _free_ports(count: int) -> list[int]:
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((HOST, 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


class Deployment:
    """Three controllers with a state service, a cloud and the workers of the rented machines."""

    def __init__(self, site: Site, folder: Path, record: Path) -> None:
        self.site = site
        self._folder = folder
        self._record = record.open("w")
        self._began_at = time.monotonic()
        self.events: list[tuple[float, str, dict[str, Any]]] = []
        self.jobs: dict[str, Job] = {}
        self.workers: dict[str, Worker] = {}
        self.nodes: dict[str, str] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._files: dict[str, Path] = {}
        self._tasks: list[asyncio.Task[Any]] = []
        self._servers: list[asyncio.Server] = []
        # Called with a machine that has been rented; returns its boot time in seconds.
        self.boot_s: Callable[[Rented], float] = self._draw_boot_s
        # Called with a machine that is up; returns the name of the controller that it reports to at first.
        self.first_node: Callable[[Rented], str] = lambda _: random.choice(list(self.nodes))

    @property
    def now(self) -> float:
        """Seconds since the case began."""
        return time.monotonic() - self._began_at

    def note(self, event: str, **fields: Any) -> None:
        """Records an event."""
        self.events.append((self.now, event, fields))
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._record.write(f"{self.now:8.3f} {event} {text}\n")
        self._record.flush()

    async def start(self) -> None:
        """Starts the stand-ins and the controllers, and waits until all controllers are ready."""
        self.state = StateService(self.site.state)
        self.cloud = Cloud(
            self.site.frames, dict(self.site.capacity), self.site.cloud, self._on_rented, self._on_gone
        )
        self._tasks.append(asyncio.create_task(self.state.expire_leases()))
        state_server, state = await serve(self.state.handle)
        cloud_server, cloud = await serve(self.cloud.handle)
        self._servers += [state_server, cloud_server]
        self._write_settings(state, cloud)
        self._shared = Surroundings(self.nodes, self.jobs, self.site.workers, self.note)
        for name in self.site.nodes:
            self.start_node(name)
        for name in self.site.nodes:
            await self._wait_ready(name)

    def _write_settings(self, state: str, cloud: str) -> None:
        names = list(self.site.nodes)
        ports = _free_ports(2 * len(names))
        self.nodes.update({name: f"{HOST}:{ports[index]}" for index, name in enumerate(names)})
        peers = {name: f"{HOST}:{ports[len(names) + index]}" for index, name in enumerate(names)}
        params = {
            "size": len(names),
            "zones": self.site.zones,
            "teams": self.site.teams,
            "objectives": self.site.objectives,
            "workers": self.site.workers,
            "state": self.site.state,
            "cloud": self.site.cloud,
            "machine_limits": self.site.machine_limits,
            "clock_error_ms": 100.0,
        }
        for name in names:
            file = self._folder / f"{name}.json"
            settings = {
                "node": name,
                "zone": self.site.nodes[name],
                "client_listen": self.nodes[name],
                "peer_bind": peers[name],
                "siblings": [
                    {"node": other, "zone": self.site.nodes[other], "endpoint": peers[other]}
                    for other in names
                    if other != name
                ],
                "external": {"cloud": cloud, "state": state},
                "params": params,
            }
            file.write_text(json.dumps(settings))
            self._files[name] = file

    def start_node(self, name: str) -> None:
        """Starts a controller with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
        log = (self._folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [*shlex.split(deploy["run"]), str(self._files[name])],
            cwd=ROOT,
            env=os.environ | {"LOG_LEVEL": "info"},
            stderr=log,
        )
        self.note("node started", node=name)

    def kill_node(self, name: str) -> None:
        """Kills a controller."""
        self.processes[name].kill()
        self.processes[name].wait()
        self.note("node killed", node=name)

    async def _wait_ready(self, name: str) -> None:
        end = time.monotonic() + 30
        while time.monotonic() < end:
            reply = await call(self.nodes[name], "GET", "/ready", None, 1.0)
            if reply is not None and reply.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{name} did not become ready")

    @property
    def leader(self) -> str | None:
        """The controller that the state service names as leader, if there is one."""
        entry = next((entry for key, entry in self.state.keys.items() if key.endswith("/leader")), None)
        return None if entry is None else str(entry[0]["node"])

    def _draw_boot_s(self, machine: Rented) -> float:
        ready_s = next(frame["ready_s"] for frame in self.site.frames if frame["name"] == machine.frame)
        return random.uniform(*self.site.boot) * ready_s

    def _on_rented(self, machine: Rented) -> None:
        self.note(
            "rented", machine=machine.name, frame=machine.frame, glade=machine.glade, spot=machine.windfall
        )
        self._tasks.append(asyncio.create_task(self._boot(machine)))

    async def _boot(self, machine: Rented) -> None:
        await asyncio.sleep(self.boot_s(machine))
        if machine.gone_at is not None:
            return
        frame = next(frame for frame in self.site.frames if frame["name"] == machine.frame)
        worker = Worker(machine, frame, self._shared, self.first_node(machine))
        self.workers[machine.name] = worker
        await worker.start()

    def _on_gone(self, name: str) -> None:
        self.note("released", machine=name)
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.end()

    async def ask(self, method: str, path: str, body: Any = None, node: str | None = None) -> Reply | None:
        """Sends one request of a user to the named controller, or else to one that runs."""
        running = [name for name, process in self.processes.items() if process.poll() is None]
        # If none runs, the connection is refused.
        name = node or random.choice(running or list(self.nodes))
        timeout_s = SUBMIT_TIMEOUT_S if method == "POST" else POLL_TIMEOUT_S
        reply = await call(self.nodes[name], method, path, body, timeout_s)
        answer = "none" if reply is None else f"{reply.status} {json.dumps(reply.body)}"
        self.note("user", node=name, request=f"{method} {path}", answer=answer)
        return reply

    async def submit(self, spec: dict[str, Any], run_s: float, fails: bool = False) -> None:
        """Uploads the description of a job and submits it, with retries as on the protocol page."""
        self.jobs[spec["ref"]] = Job(spec, run_s, fails=fails)
        end = time.monotonic() + 60
        while time.monotonic() < end:
            reply = await self.ask("POST", "/submissions", spec)
            if reply is not None and reply.status in (200, 201):
                return
            if reply is not None and reply.status in (400, 422):
                raise CannotRunError(f"{spec['ref']} was refused: {reply}")
            await asyncio.sleep(1.0)
        raise CannotRunError(f"{spec['ref']} was not accepted")

    async def cancel(self, ref: str) -> None:
        """Cancels a job, and repeats the request until it is confirmed."""
        end = time.monotonic() + 60
        while time.monotonic() < end:
            reply = await self.ask("POST", f"/submissions/{ref}/abort")
            if reply is not None and reply.status == 200:
                return
            await asyncio.sleep(1.0)
        raise CannotRunError(f"{ref} was not cancelled")

    async def stage(self, ref: str) -> str | None:
        """The stage of a job, as a user is told; None if there was no answer."""
        reply = await self.ask("GET", f"/submissions/{ref}")
        return reply.body["stage"] if reply is not None and reply.status == 200 else None

    async def until(self, what: str, holds: Callable[[], bool], within_s: float) -> None:
        """Waits until a condition holds. Raises CannotRunError if it does not in time."""
        end = time.monotonic() + within_s
        while not holds():
            if time.monotonic() > end:
                raise CannotRunError(f"not within {within_s:.0f} s: {what}")
            await asyncio.sleep(0.02)

    def began(self, ref: str) -> list[tuple[float, dict[str, Any]]]:
        """When and where tasks of a job began to run."""
        return [
            (at, fields)
            for at, event, fields in self.events
            if event == "began" and fields["task"].startswith(f"{ref}/")
        ]

    def on_machines(self, ref: str) -> list[Worker]:
        """The worker of each task of the job that is on its machine now."""
        return [
            worker
            for worker in self.workers.values()
            for task in worker.tasks.values()
            if task.name.startswith(f"{ref}/") and task.stage in ("running", "saving")
        ]

    def stop(self) -> None:
        """Ends all processes and stand-ins."""
        for process in self.processes.values():
            with suppress(OSError):
                process.kill()
            process.wait()
        for worker in list(self.workers.values()):
            worker.end()
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.close()
        if os.environ.get("KEEP_LOGS"):
            for name in self.site.nodes:
                self._record.write(f"--- log of {name}\n{(self._folder / f'{name}.log').read_text()}")
        self._record.close()


# Plays a case. The argument `trouble` is false if the disruption is to be left out. Returns a sentence about
# what broke the rule; None if it held.
Play = Callable[[Deployment, bool], Awaitable[str | None]]


async def _play(site: Site, play: Play, folder: Path) -> int:
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as temporary:
        deployment = Deployment(site, Path(temporary), folder / "record.txt")
        try:
            await deployment.start()
            broken = await asyncio.wait_for(play(deployment, trouble), MOST_S - deployment.now)
        except (CannotRunError, TimeoutError) as error:
            deployment.note("could not run", reason=repr(error))
            print(f"could not run: {error!r}")
            return COULD_NOT_RUN
        else:
            verdict = "the rule held" if broken is None else f"the rule was broken: {broken}"
            deployment.note("verdict", text=verdict)
            print(verdict)
            return HELD if broken is None else BROKEN
        finally:
            deployment.stop()


def run_case(site: Site, play: Play, folder: Path) -> None:
    """Runs a case and ends this process with its exit code."""

    async def main() -> int:
        current = asyncio.current_task()
        assert current is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, current.cancel)
        return await _play(site, play, folder)

    try:
        sys.exit(asyncio.run(main()))
    except asyncio.CancelledError:
        sys.exit(COULD_NOT_RUN)
    except Exception as error:  # noqa: BLE001  (an error of the case is not a broken rule)
        print(f"could not run: {error!r}")
        sys.exit(COULD_NOT_RUN)
