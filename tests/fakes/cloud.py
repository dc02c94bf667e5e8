"""A fake cloud that follows the published protocol: machine types, provisioning, listing, termination."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from urllib.parse import parse_qs, urlsplit

from spindleglade.runtime.clock import Clock, seconds
from tests.fakes.encoding import Reply, decode, reply


@dataclass
class Machine:
    """A provisioned machine."""

    name: str
    type: str
    zone: str
    spot: bool
    provisioned_at: timedelta
    state: str = "starting"

    @property
    def address(self) -> str:
        return f"{self.name}:9000"


class Cloud:
    """Provisions, lists and terminates machines, and calls `on_booted` and `on_terminated` for them."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        types: list[dict],
        capacity: int,
        on_booted: Callable[[Machine], None],
        on_terminated: Callable[[str], None],
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.types = types
        self.capacity = capacity
        self.on_booted = on_booted
        self.on_terminated = on_terminated
        self.machines: dict[str, Machine] = {}
        self.provision_answers: dict[str, list[str]] = {}
        self.provisioned_count = 0
        # Provisioning requests rejected for lack of capacity.
        self.refused_count = 0
        self.unavailable = False
        # Whether provisioning requests for spot machines are rejected.
        self.spot_exhausted = False
        # The maximum number of machines on one page of the list.
        self.page_size = 5
        # The minimum and maximum boot time of a machine, and the share of machines that never finish booting.
        self.boot_time_s = (0.5, 4.0)
        self.boot_failure_probability = 0.1

    def handle(self, method: str, path: str, body: bytes) -> Reply:
        if self.unavailable:
            return reply(503, {"error": "trouble"})
        parts = urlsplit(path)
        if parts.path == "/machine_types":
            return reply(200, {"frames": self.types})
        if parts.path == "/hosts/release":
            for name in decode(body)["spindles"]:
                if self.machines.pop(name, None) is not None:
                    self.on_terminated(name)
            return reply(200)
        if method == "POST":
            return self._provision(decode(body))
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        names = [name for name in self.machines if name > query.get("since", "")]
        page = names[: min(int(query["page"]), self.page_size)]
        return reply(
            200,
            {
                "spindles": [self._describe(self.machines[n]) for n in page],
                "has_next": len(page) < len(names),
            },
        )

    def _describe(self, machine: Machine) -> dict:
        held_s = (self.clock.now() - machine.provisioned_at).total_seconds()
        return {
            "ref": machine.name,
            "addr": machine.address,
            "frame": machine.type,
            "glade": machine.zone,
            "windfall": machine.spot,
            "stage": machine.state,
            "held_s": held_s,
        }

    def _provision(self, request: dict) -> Reply:
        if request["ask"] in self.provision_answers:
            return reply(200, {"spindles": self.provision_answers[request["ask"]]})
        free_capacity = self.capacity - len(self.machines)
        if free_capacity <= 0 or (request["windfall"] and self.spot_exhausted):
            self.refused_count += 1
            return reply(503, {"error": "no capacity"})
        names = []
        for _ in range(min(free_capacity, request["how_many"])):
            machine = Machine(
                f"n-{self.provisioned_count:06d}",
                request["frame"],
                request["glade"],
                request["windfall"],
                self.clock.now(),
            )
            self.provisioned_count += 1
            self.machines[machine.name] = machine
            names.append(machine.name)
            if self.rng.random() > self.boot_failure_probability:
                self.clock.later(seconds(self.rng.uniform(*self.boot_time_s)), self._finish_boot, machine)
        self.provision_answers[request["ask"]] = names
        return reply(200, {"spindles": names})

    @property
    def has_capacity(self) -> bool:
        """Whether an on-demand machine could be provisioned; every job may run on these."""
        return len(self.machines) < self.capacity

    def _finish_boot(self, machine: Machine) -> None:
        if machine.name in self.machines:
            machine.state = "running"
            self.on_booted(machine)
