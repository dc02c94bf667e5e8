"""What there is in a simulated deployment to send messages to."""

from dataclasses import dataclass, field

from spindleglade.controller.controller import Controller
from tests.fakes.cloud import Cloud, Machine
from tests.fakes.state_service import StateService
from tests.fakes.worker import Worker
from tests.versions import Version

# Names in the network of what is neither a controller nor a machine.
STATE, CLOUD, USER = "state", "cloud", "user"


@dataclass
class Endpoints:
    """The services, and by name the controllers that run now and the workers that were ever started."""

    state: StateService
    cloud: Cloud
    controller_names: list[str]
    controllers: dict[str, Controller] = field(default_factory=dict)
    workers: dict[str, Worker] = field(default_factory=dict)
    # What each controller's next process runs, where it is not the code as it stands.
    versions: dict[str, Version] = field(default_factory=dict)

    def leader(self) -> int | None:
        """The index of the first controller that takes itself for the leader."""
        for index, name in enumerate(self.controller_names):
            if name in self.controllers and self.controllers[name].is_leader:
                return index
        return None

    def machines(self) -> list[Machine]:
        """Of all workers that were ever started."""
        return [worker.machine for worker in self.workers.values()]
