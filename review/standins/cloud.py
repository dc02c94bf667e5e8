"""A stand-in for the cloud, after "Controller nodes -> cloud" of the protocol page."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from standins.record import Record
from standins.wire import Reply

MAX_RENTED = 50
MAX_RELEASED = 100
MAX_PAGE = 500
# The machine types, the free places by (type, zone, spot), and the machines.
Pool = tuple[str, str, bool]


@dataclass
class Rented:
    """A machine, with the times at which it was rented, was up and was gone."""

    name: str
    pool: Pool
    rented_at: float
    up_at: float | None = None
    gone_at: float | None = None
    address: str = ""


@dataclass
class CloudLimits:
    """The cloud's settings: requests per second, the lag of its list, its latency and its boot time."""

    rps: float
    list_lag_s: float
    latency_s: float
    boot_s: float


@dataclass
class Calls:
    """What one controller has asked the cloud for: the time of its last list, and its requests."""

    listed_at: float = 0.0
    requests: list[tuple[float, str, Any]] = field(default_factory=list)


class Cloud:
    """Rents, lists and releases machines. `on_up` starts a machine's worker and returns its address, and
    `on_gone` ends it."""

    def __init__(
        self,
        types: list[dict[str, Any]],
        free: dict[Pool, int],
        limits: CloudLimits,
        on_up: Callable[[Rented], Awaitable[str]],
        on_gone: Callable[[str], None],
        record: Record,
    ) -> None:
        self._types, self.free, self._limits = types, free, limits
        self._on_up, self._on_gone, self._record = on_up, on_gone, record
        self.machines: dict[str, Rented] = {}
        self._answers: dict[str, list[str]] = {}
        self._left, self._refilled_at = limits.rps * 2, time.monotonic()
        # When the request that is being carried out arrived.
        self._now = 0.0
        self._booting: set[asyncio.Task[None]] = set()
        # By controller.
        self.calls: dict[str, Calls] = {}

    def handler(self, controller: str) -> Any:
        """The handler of the requests of one controller."""
        calls = self.calls[controller] = Calls()

        async def handle(method: str, path: str, query: dict[str, str], body: Any) -> Reply:
            await asyncio.sleep(self._limits.latency_s)
            if not self._take():
                return 429, {}
            if (method, path) == ("GET", "/machine_types"):
                return 200, {"frames": self._types}
            if (method, path) == ("GET", "/hosts"):
                calls.listed_at = time.monotonic()
                return self._list(query)
            self._now = time.monotonic()
            calls.requests.append((self._now, path, body))
            answer = self._rent(body) if path == "/hosts" else self._release(body)
            self._record.write(controller, f"cloud {method} {path} {body} -> {answer[0]} {answer[1]}")
            return answer

        return handle

    def _take(self) -> bool:
        now = time.monotonic()
        rps = self._limits.rps
        self._left, self._refilled_at = min(rps * 2, self._left + (now - self._refilled_at) * rps), now
        self._left -= self._left >= 1
        return self._left >= 0

    def _rent(self, body: Any) -> Reply:
        if body["ask"] in self._answers:
            return 200, {"spindles": self._answers[body["ask"]]}
        pool = (body["frame"], body["glade"], body["windfall"])
        count = min(body["how_many"], self.free.get(pool, 0), MAX_RENTED)
        if count <= 0:
            return 503, {"error": "no capacity"}
        names = [self._add(pool).name for _ in range(count)]
        self._answers[body["ask"]] = names
        return 200, {"spindles": names}

    def _add(self, pool: Pool) -> Rented:
        machine = Rented(f"n-{len(self.machines) + 1:06d}", pool, time.monotonic())
        self.free[pool] -= 1
        self.machines[machine.name] = machine
        boot = asyncio.get_running_loop().create_task(self._boot(machine))
        self._booting.add(boot)
        boot.add_done_callback(self._booting.discard)
        return machine

    async def _boot(self, machine: Rented) -> None:
        await asyncio.sleep(self._limits.boot_s)
        if machine.gone_at is None:
            machine.address = await self._on_up(machine)
            machine.up_at = time.monotonic()
            self._record.write(machine.name, f"is up, {machine.pool}, {machine.address}")

    def _release(self, body: Any) -> Reply:
        if len(body["spindles"]) > MAX_RELEASED:
            return 400, {}
        for name in body["spindles"]:
            machine = self.machines.get(name)
            if machine is not None and machine.gone_at is None:
                machine.gone_at = self._now
                self.free[machine.pool] += 1
                self._on_gone(name)
        return 200, {}

    def _list(self, query: dict[str, str]) -> Reply:
        """The list as it was `list_lag_s` ago."""
        at = time.monotonic() - self._limits.list_lag_s
        page = min(int(query.get("page", MAX_PAGE)), MAX_PAGE)
        listed = [
            machine
            for name, machine in sorted(self.machines.items())
            if name > query.get("since", "")
            and machine.rented_at <= at
            and (machine.gone_at is None or machine.gone_at > at)
        ]
        return 200, {
            "spindles": [_describe(machine, at) for machine in listed[:page]],
            "has_next": len(listed) > page,
        }


def _describe(machine: Rented, at: float) -> dict[str, Any]:
    frame, glade, windfall = machine.pool
    is_up = machine.up_at is not None and machine.up_at <= at
    return {
        "ref": machine.name,
        "addr": machine.address,
        "frame": frame,
        "glade": glade,
        "windfall": windfall,
        "stage": "running" if is_up else "starting",
        "held_s": at - machine.rented_at,
    }
