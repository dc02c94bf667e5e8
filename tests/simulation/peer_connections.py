"""The real connections between controllers, over the network of a simulated deployment."""

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

from spindleglade.leadership.peer_connection import PeerConnection
from spindleglade.leadership.peer_messages import Message
from spindleglade.leadership.peer_network import PeerNetwork
from spindleglade.runtime.clock import Clock, seconds, sleep
from tests.processes import LifeClock
from tests.versions import is_of_production

if TYPE_CHECKING:
    from tests.simulated_deployment import SimulatedDeployment

CONNECT_TIMEOUT = seconds(1)


class SimulatedPeerConnection:
    """One end of a connection between two controllers, in place of a PeerProtocol.

    What is sent arrives in its order, once the network lets it through. An end that was closed receives
    nothing more.
    """

    def __init__(self, deployment: "SimulatedDeployment", own: str, other: str, on_message: Any) -> None:
        self._deployment, self._own, self._other = deployment, own, other
        self._on_message = on_message
        self._clocks = [deployment.processes.clocks[own], deployment.processes.clocks[other]]
        self.peer: SimulatedPeerConnection | None = None
        self.transport = self
        # Called when the process at either end ends.
        self.on_closed: Callable[[], None] = lambda: None

    def send(self, message: Message) -> None:
        """Sends a message to the other end."""
        deployment = self._deployment
        if self._other in deployment.network.silent:
            deployment.network.sent_to_silent[self._own, type(message)].append(deployment.clock.now())
        received = deployment.network.as_received(message, self._other)
        deployment.network.pass_to_peer(self._own, self._other, lambda: self._arrive(received))

    def _arrive(self, message: Message) -> None:
        if self.peer is not None and all(clock.alive for clock in self._clocks):
            self.peer._on_message(self.peer, message)

    def abortConnection(self) -> None:
        """Closes this end."""
        self._deployment.network.peer_connections.pop(self, None)

    def end_with(self, clock: LifeClock) -> None:
        """Closes the connection if the clock of the process that has ended is that of either end."""
        if clock in self._clocks:
            self.abortConnection()
            self.on_closed()


def connect_peers(deployment: "SimulatedDeployment", own: str, network: PeerNetwork) -> PeerNetwork:
    """Puts a controller's connections on the simulated network."""
    for connection in network.connections:
        connection._connect = partial(_connect, deployment, own, connection)
    return network


async def _connect(
    deployment: "SimulatedDeployment", own: str, connection: PeerConnection, host: str, port: int
) -> None:
    other, clock = connection.peer.name, deployment.processes.clocks[own]
    if other not in deployment.controllers:
        raise ConnectionRefusedError
    if deployment.network.is_cut(own, other) and other not in deployment.network.silent:
        await sleep(clock, CONNECT_TIMEOUT)
        raise TimeoutError
    near = SimulatedPeerConnection(deployment, own, other, connection._on_message)
    far = SimulatedPeerConnection(deployment, other, own, deployment.controllers[other].peers._on_request)
    near.peer, far.peer = far, near

    def on_closed() -> None:
        if connection._connection is near:
            _close_by_peer(connection, clock)

    near.on_closed = on_closed
    deployment.network.peer_connections[near] = None
    connection._connection = near


def _close_by_peer(connection: PeerConnection, clock: Clock) -> None:
    """Does what the connection does when the other end closes it, in either version."""
    if is_of_production(connection):
        connection._closed_at = clock.now()
        connection._on_connection_lost()
    else:
        connection._on_closed_by_peer()
