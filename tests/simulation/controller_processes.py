"""The processes of controllers in a simulated deployment: each runs real code of some version."""

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
from tests.processes import LifeClock, SimHttp
from tests.production_names import viewed
from tests.simulation.connections import OpenConnections
from tests.simulation.endpoints import Endpoints
from tests.simulation.network import SimulatedNetwork
from tests.versions import CURRENT, Version

# How long work takes that a controller does in another thread.
COMPUTE_TIME = seconds(0.01)


class ControllerProcesses:
    """Starts and ends controllers. `connect_peers` puts a controller's connections on the network."""

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
        self.clocks: dict[str, LifeClock] = {}

    def start(self, index: int) -> None:
        """Starts a process of the version that the controller has now."""
        name = self._endpoints.controller_names[index]
        life = self.clocks[name] = LifeClock(self._clock)
        version = self._endpoints.versions.get(name, CURRENT)
        platform = version.platform(platform_settings(index, self._config))
        sockets = version.named("http.connection_budget", "ConnectionBudget")(self._config.sockets)
        self._connections.budgets[name] = viewed(sockets)
        http = SimHttp(self._network, self._connections, name, life, version)
        process = version.named("controller.controller", "Controller")(
            platform,
            self._operator_settings(version),
            life,
            http,
            version.named("http.concurrency", "ConcurrencyLimiter")(http, life, sockets),
            self._peer_network_factory(name, version, platform, life),
            _compute_after_a_while(life),
        )
        controller = viewed(process)
        controller.election._rng = Random(self._rng.random())
        self._endpoints.controllers[name] = controller
        controller.start()

    def start_unless_running(self, index: int) -> None:
        """Starts the controller unless a fault has done so."""
        if self._endpoints.controller_names[index] not in self._endpoints.controllers:
            self.start(index)

    def kill(self, index: int) -> None:
        """Ends the process, if there is one, and its connections to peers."""
        name = self._endpoints.controller_names[index]
        if name in self._endpoints.controllers:
            life = self.clocks[name]
            life.alive = False
            del self._endpoints.controllers[name]
            for connection in list(self._network.peer_connections):
                connection.end_with(life)

    def announce_limits(self, next_limits: dict[str, float]) -> None:
        """Processes that start from now on are told of these lower limits of the state service."""
        self._config = replace(self._config, next_limits=next_limits)

    def _operator_settings(self, version: Version) -> Any:
        return version.module("settings").OperatorSettings() if version.is_production else self._settings

    def _peer_network_factory(
        self, name: str, version: Version, platform: Any, life: LifeClock
    ) -> Callable[..., PeerNetwork]:
        def connect(*handlers: Any) -> PeerNetwork:
            # Nobody is told of ended processes: successors wait for the lease, which is harder.
            handlers = (*handlers[:-1], lambda peer: None)
            network = version.named("leadership.peer_network", "PeerNetwork")(
                None,
                life,
                platform.siblings if version.is_production else platform.peers,
                seconds(self._settings.leadership.ping_s),
                *(handlers if version.is_production else [PeerHandlers(*handlers)]),
            )
            self._connect_peers(name, viewed(network))
            return network

        return connect


def _compute_after_a_while(life: LifeClock) -> Callable[..., Any]:
    async def compute(work: Callable[..., Any], *args: Any) -> Any:
        waiter: Deferred[None] = Deferred()
        life.later(COMPUTE_TIME, waiter.callback, None)
        await waiter
        return work(*args)

    return compute
