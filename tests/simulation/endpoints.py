"""The services, controllers and workers of a simulated deployment that messages are sent to."""

from dataclasses import dataclass, field

from spindleglade.controller.controller import Controller
from tests.fakes.cloud import Cloud, Machine
from tests.fakes.state_service import StateService
from tests.fakes.worker import Worker
from tests.versions import Version

# Network names of the endpoints that are neither controllers nor machines.
STATE, CLOUD, USER = "state", "cloud", "user"


@dataclass
class Endpoints:
    """The services, the running controllers by name, and all workers ever started by machine name."""

    state: StateService
    cloud: Cloud
    controller_names: list[str]
    controllers: dict[str, Controller] = field(default_factory=dict)
    workers: dict[str, Worker] = field(default_factory=dict)
    # The version that a controller's next process runs; without an entry it runs the current code.
    versions: dict[str, Version] = field(default_factory=dict)

    def leader(self) -> int | None:
        """Returns the index of the first controller that considers itself the leader, or None."""
        for index, name in enumerate(self.controller_names):
            if name in self.controllers and self.controllers[name].is_leader:
                return index
        return None

    def machines(self) -> list[Machine]:
        """Returns the machines of all workers that were ever started, terminated ones included."""
        return [worker.machine for worker in self.workers.values()]
