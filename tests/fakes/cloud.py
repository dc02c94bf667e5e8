"""The cloud by its published protocol: machine types, provisioning, the list of machines, termination."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from urllib.parse import parse_qs, urlsplit

from spindleglade.runtime.clock import Clock, seconds
from tests.fakes.encoding import Reply, decode, reply


@dataclass
class Machine:
    name: str
    type: str
    zone: str
    spot: bool
    since: timedelta
    stage: str = "starting"

    @property
    def address(self) -> str:
        return f"{self.name}:9000"


class Cloud:
    """Rents machines; `up` is told when one has booted, `down` when one is gone."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        types: list[dict],
        capacity: int,
        up: Callable[[Machine], None],
        down: Callable[[str], None],
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.types = types
        self.capacity = capacity
        self.up = up
        self.down = down
        self.machines: dict[str, Machine] = {}
        self.answers: dict[str, list[str]] = {}
        self.made = 0
        # Requests refused for lack of capacity.
        self.refused = 0
        self.trouble = False
        # No spot machine is to be had.
        self.no_spot = False
        # Machines on one page of the list.
        self.page = 5
        # How long a machine takes to boot, at the least and at the most, and how many never come up.
        self.boot_s = (0.5, 4.0)
        self.never_up = 0.1

    def handle(self, method: str, path: str, body: bytes) -> Reply:
        if self.trouble:
            return reply(503, {"error": "trouble"})
        parts = urlsplit(path)
        if parts.path == "/machine_types":
            return reply(200, {"frames": self.types})
        if parts.path == "/hosts/release":
            for name in decode(body)["spindles"]:
                if self.machines.pop(name, None) is not None:
                    self.down(name)
            return reply(200)
        if method == "POST":
            return self._rent(decode(body))
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        names = [name for name in self.machines if name > query.get("since", "")]
        page = names[: min(int(query["page"]), self.page)]
        return reply(
            200,
            {"spindles": [self._show(self.machines[n]) for n in page], "has_next": len(page) < len(names)},
        )

    def _show(self, machine: Machine) -> dict:
        held = (self.clock.now() - machine.since).total_seconds()
        return {
            "ref": machine.name,
            "addr": machine.address,
            "frame": machine.type,
            "glade": machine.zone,
            "windfall": machine.spot,
            "stage": machine.stage,
            "held_s": held,
        }

    def _rent(self, ask: dict) -> Reply:
        if ask["ask"] in self.answers:
            return reply(200, {"spindles": self.answers[ask["ask"]]})
        room = self.capacity - len(self.machines)
        if room <= 0 or (ask["windfall"] and self.no_spot):
            self.refused += 1
            return reply(503, {"error": "no capacity"})
        names = []
        for _ in range(min(room, ask["how_many"])):
            machine = Machine(
                f"n-{self.made:06d}", ask["frame"], ask["glade"], ask["windfall"], self.clock.now()
            )
            self.made += 1
            self.machines[machine.name] = machine
            names.append(machine.name)
            if self.rng.random() > self.never_up:
                self.clock.later(seconds(self.rng.uniform(*self.boot_s)), self._booted, machine)
        self.answers[ask["ask"]] = names
        return reply(200, {"spindles": names})

    @property
    def has_room(self) -> bool:
        """Whether an ordinary machine could be rented; all work may use those."""
        return len(self.machines) < self.capacity

    def _booted(self, machine: Machine) -> None:
        if machine.name in self.machines:
            machine.stage = "running"
            self.up(machine)
