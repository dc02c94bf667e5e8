"""Connects the real peer connections of controllers over the network of a simulated deployment."""

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

from spindleglade.leadership.peer_connection import PeerConnection
from spindleglade.leadership.peer_messages import Message
from spindleglade.leadership.peer_network import PeerNetwork
from spindleglade.runtime.clock import Clock, seconds, sleep
from tests.processes import ProcessClock
from tests.versions import is_of_production

if TYPE_CHECKING:
    from tests.simulated_deployment import SimulatedDeployment

CONNECT_TIMEOUT = seconds(1)


class SimulatedPeerConnection:
    """One end of a connection between two controllers, in place of a PeerProtocol.

    Messages arrive in the order in which they were sent, except those dropped by a cut. Nothing arrives once
    the process at either end has ended.
    """

    def __init__(self, deployment: "SimulatedDeployment", local: str, remote: str, on_message: Any) -> None:
        self._deployment, self._local, self._remote = deployment, local, remote
        self._on_message = on_message
        self._process_clocks = [
            deployment.processes.clocks[local],
            deployment.processes.clocks[remote],
        ]
        self.peer: SimulatedPeerConnection | None = None
        self.transport = self
        # Called when the process at either end has ended.
        self.on_closed: Callable[[], None] = lambda: None

    def send(self, message: Message) -> None:
        """Sends a message to the remote end."""
        deployment = self._deployment
        if self._remote in deployment.network.silent:
            deployment.network.sent_to_silent[self._local, type(message)].append(deployment.clock.now())
        decoded = deployment.network.as_received(message, self._remote)
        deployment.network.pass_to_peer(self._local, self._remote, lambda: self._arrive(decoded))

    def _arrive(self, message: Message) -> None:
        if self.peer is not None and all(clock.alive for clock in self._process_clocks):
            self.peer._on_message(self.peer, message)

    def abortConnection(self) -> None:
        """Closes this end."""
        self._deployment.network.peer_connections.pop(self, None)

    def close_if_of_process(self, clock: ProcessClock) -> None:
        """Closes the connection if the ended process, given by its clock, was at either end."""
        if clock in self._process_clocks:
            self.abortConnection()
            self.on_closed()


def connect_peers(deployment: "SimulatedDeployment", local: str, network: PeerNetwork) -> PeerNetwork:
    """Makes a controller's peer connections use the simulated network."""
    for connection in network.connections:
        connection._connect = partial(_connect, deployment, local, connection)
    return network


async def _connect(
    deployment: "SimulatedDeployment", local: str, connection: PeerConnection, host: str, port: int
) -> None:
    remote, clock = connection.peer.name, deployment.processes.clocks[local]
    if remote not in deployment.controllers:
        raise ConnectionRefusedError
    if deployment.network.is_cut(local, remote) and remote not in deployment.network.silent:
        await sleep(clock, CONNECT_TIMEOUT)
        raise TimeoutError
    local_end = SimulatedPeerConnection(deployment, local, remote, connection._on_message)
    remote_end = SimulatedPeerConnection(
        deployment, remote, local, deployment.controllers[remote].peers._on_peer_message
    )
    local_end.peer, remote_end.peer = remote_end, local_end

    def on_closed() -> None:
        if connection._connection is local_end:
            _close_by_peer(connection, clock)

    local_end.on_closed = on_closed
    deployment.network.peer_connections[local_end] = None
    connection._connection = local_end


def _close_by_peer(connection: PeerConnection, clock: Clock) -> None:
    """Makes the connection handle its closing by the peer, as its version of the code does."""
    if is_of_production(connection):
        connection._closed_at = clock.now()
        connection._on_connection_lost()
    else:
        connection._on_closed_by_peer()
