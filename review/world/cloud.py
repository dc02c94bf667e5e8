"""The cloud, by the protocol page: rents, lists (late) and deletes machines."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from world.state import Bucket
from world.wire import Reply, Request


@dataclass
class Rented:
    """A rented machine."""

    name: str
    frame: str
    glade: str
    windfall: bool
    rented_at: float
    up_at: float | None = None
    gone_at: float | None = None
    addr: str = ""


class Cloud:
    """Rents at most `capacity[(frame, glade, windfall)]` machines of each kind."""

    def __init__(
        self,
        frames: list[dict[str, Any]],
        capacity: dict[tuple[str, str, bool], int],
        limits: dict[str, float],
        on_rented: Callable[[Rented], None],
        on_gone: Callable[[str], None],
    ) -> None:
        """`on_rented` boots the machine; `on_gone` ends its worker."""
        self._frames = frames
        self.capacity = capacity
        self._lag_s = limits["list_lag_s"]
        self._rate = Bucket(limits["rps"], 2.0)
        self._on_rented = on_rented
        self._on_gone = on_gone
        self.machines: dict[str, Rented] = {}
        self._answers: dict[str, list[str]] = {}

    async def handle(self, request: Request) -> Reply | None:
        """Answers one request."""
        if not self._rate.take():
            return Reply(429)
        if request.path == "/machine_types":
            return Reply(200, {"frames": self._frames})
        if request.path == "/hosts/release":
            return self._release(request.json()["spindles"])
        if request.method == "POST":
            return self._rent(request.json())
        return self._list(request.query)

    def _rent(self, order: dict[str, Any]) -> Reply:
        if order["ask"] in self._answers:
            return Reply(200, {"spindles": self._answers[order["ask"]]})
        kind = (order["frame"], order["glade"], order["windfall"])
        used = sum(
            1
            for machine in self.machines.values()
            if machine.gone_at is None and (machine.frame, machine.glade, machine.windfall) == kind
        )
        count = min(order["how_many"], 50, self.capacity.get(kind, 0) - used)
        if count <= 0:
            return Reply(503, {"error": "no capacity"})
        names = []
        for _ in range(count):
            machine = Rented(f"n-{len(self.machines):06d}", *kind, time.monotonic())
            self.machines[machine.name] = machine
            names.append(machine.name)
            self._on_rented(machine)
        self._answers[order["ask"]] = names
        return Reply(200, {"spindles": names})

    def _release(self, names: list[str]) -> Reply:
        for name in names:
            machine = self.machines.get(name)
            if machine is not None and machine.gone_at is None:
                machine.gone_at = time.monotonic()
                self._on_gone(name)
        return Reply(200, {})

    def _list(self, query: dict[str, str]) -> Reply:
        then = time.monotonic() - self._lag_s
        shown = [
            machine
            for machine in self.machines.values()
            if machine.rented_at <= then
            and (machine.gone_at is None or machine.gone_at > then)
            and machine.name > query.get("since", "")
        ]
        size = min(500, int(query.get("page", 500)))
        spindles = [
            {
                "ref": machine.name,
                "addr": machine.addr,
                "frame": machine.frame,
                "glade": machine.glade,
                "windfall": machine.windfall,
                "stage": "running" if machine.up_at is not None and machine.up_at <= then else "starting",
                "held_s": then - machine.rented_at,
            }
            for machine in shown[:size]
        ]
        return Reply(200, {"spindles": spindles, "has_next": len(shown) > size})
