"""Updates the heartbeat balancer periodically with the number of workers that each controller serves."""

from collections.abc import Callable

from spindleglade.controller.connectivity import PeerConnectivity
from spindleglade.runtime.background import run_forever
from spindleglade.runtime.clock import Clock, seconds, sleep
from spindleglade.workers.heartbeat_balancer import ControllerLoad, HeartbeatBalancer

BALANCE_INTERVAL = seconds(0.5)


class HeartbeatBalancingLoop:
    """Rebalances the workers' heartbeats over the controllers periodically."""

    def __init__(
        self,
        controller: str,
        clock: Clock,
        balancer: HeartbeatBalancer,
        connectivity: PeerConnectivity,
        is_leader: Callable[[], bool],
    ) -> None:
        self._controller = controller
        self._clock = clock
        self._balancer = balancer
        self._connectivity = connectivity
        self._is_leader = is_leader

    def start(self) -> None:
        """Starts the periodic rebalancing."""
        run_forever(self._clock, self._run, "balancing")

    async def _run(self) -> None:
        while True:
            await sleep(self._clock, BALANCE_INTERVAL)
            self._rebalance()

    def _rebalance(self) -> None:
        own = ControllerLoad(self._controller, self._balancer.workers, self._is_leader())
        others = [
            ControllerLoad(
                connection.peer.name, connection.last_heartbeat.workers, connection.last_heartbeat.leads
            )
            for connection in self._connectivity.serving_connections()
        ]
        self._balancer.rebalance(own, others)
