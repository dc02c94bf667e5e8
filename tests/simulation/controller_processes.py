"""The controller processes of a simulated deployment; each runs the real code of some version."""

from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

from twisted.internet.defer import Deferred

from spindleglade.leadership.peer_handlers import PeerHandlers
from spindleglade.leadership.peer_network import PeerNetwork
from spindleglade.runtime.clock import ManualClock, seconds
from spindleglade.settings import OperatorSettings
from tests.deployment_config import DeploymentConfig, platform_settings
from tests.processes import ProcessClock, SimulatedHttpClient
from tests.production_names import viewed
from tests.simulation.connections import OpenConnections
from tests.simulation.endpoints import Endpoints
from tests.simulation.network import SimulatedNetwork
from tests.versions import CURRENT, Version

# The simulated time that a controller's work in another thread takes.
COMPUTE_TIME = seconds(0.01)


class ControllerProcesses:
    """Starts and ends controllers. `connect_peers` puts a controller's peer connections on the network."""

    def __init__(
        self,
        clock: ManualClock,
        rng: Random,
        config: DeploymentConfig,
        settings: OperatorSettings,
        endpoints: Endpoints,
        network: SimulatedNetwork,
        connections: OpenConnections,
        connect_peers: Callable[[str, PeerNetwork], PeerNetwork],
    ) -> None:
        self._clock, self._rng, self._config, self._settings = clock, rng, config, settings
        self._endpoints, self._network, self._connections = endpoints, network, connections
        self._connect_peers = connect_peers
        # The clock of each controller's latest process.
        self.clocks: dict[str, ProcessClock] = {}

    def start(self, index: int) -> None:
        """Starts a process of the version that is set for this controller, the current one by default."""
        name = self._endpoints.controller_names[index]
        process_clock = self.clocks[name] = ProcessClock(self._clock)
        version = self._endpoints.versions.get(name, CURRENT)
        platform = version.platform(platform_settings(index, self._config))
        connection_budget = version.member("http.connection_budget", "ConnectionBudget")(self._config.sockets)
        self._connections.budgets[name] = viewed(connection_budget)
        http = SimulatedHttpClient(self._network, self._connections, name, process_clock, version)
        process = version.member("controller.controller", "Controller")(
            platform,
            self._operator_settings(version),
            process_clock,
            http,
            version.member("http.concurrency", "ConcurrencyLimiter")(http, process_clock, connection_budget),
            self._peer_network_factory(name, version, platform, process_clock),
            _delayed_compute(process_clock),
        )
        controller = viewed(process)
        controller.election._rng = Random(self._rng.random())
        self._endpoints.controllers[name] = controller
        controller.start()

    def start_unless_running(self, index: int) -> None:
        """Starts the controller, unless a fault has restarted it already."""
        if self._endpoints.controller_names[index] not in self._endpoints.controllers:
            self.start(index)

    def kill(self, index: int) -> None:
        """Ends the controller's process, if it runs, and closes its connections to peers."""
        name = self._endpoints.controller_names[index]
        if name in self._endpoints.controllers:
            process_clock = self.clocks[name]
            process_clock.alive = False
            del self._endpoints.controllers[name]
            for connection in list(self._network.peer_connections):
                connection.close_if_of_process(process_clock)

    def announce_limits(self, next_limits: dict[str, float]) -> None:
        """Adds lower limits of the state service to the settings of processes that start from now on."""
        self._config = replace(self._config, next_limits=next_limits)

    def _operator_settings(self, version: Version) -> Any:
        return version.module("settings").OperatorSettings() if version.is_production else self._settings

    def _peer_network_factory(
        self, name: str, version: Version, platform: Any, process_clock: ProcessClock
    ) -> Callable[..., PeerNetwork]:
        def create_peer_network(*handlers: Any) -> PeerNetwork:
            # Replaces the handler of a peer's ended process: a new leader has to wait until the lease
            # expires, which is the harder case.
            handlers = (*handlers[:-1], lambda peer: None)
            network = version.member("leadership.peer_network", "PeerNetwork")(
                None,
                process_clock,
                platform.siblings if version.is_production else platform.peers,
                seconds(self._settings.leadership.ping_s),
                *(handlers if version.is_production else [PeerHandlers(*handlers)]),
            )
            self._connect_peers(name, viewed(network))
            return network

        return create_peer_network


def _delayed_compute(process_clock: ProcessClock) -> Callable[..., Any]:
    async def compute(work: Callable[..., Any], *args: Any) -> Any:
        waiter: Deferred[None] = Deferred()
        process_clock.later(COMPUTE_TIME, waiter.callback, None)
        await waiter
        return work(*args)

    return compute
