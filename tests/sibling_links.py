"""The real links between controllers, over the network of a simulated deployment."""

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

from spindleglade.leadership.peers import Message, PeerConnection, PeerNetwork
from spindleglade.runtime.clock import seconds, sleep
from tests.processes import LifeClock

if TYPE_CHECKING:
    from tests.simulated_deployment import SimulatedDeployment


class SimConnection:
    """One end of a connection between two controllers. What is sent arrives in its order, once the network
    lets it through; an end that was given up takes nothing in any more."""

    def __init__(self, deployment: "SimulatedDeployment", own: str, other: str, received: Any) -> None:
        self._deployment, self._own, self._other = deployment, own, other
        self._on_message = received
        self._lives = [deployment.lives[own], deployment.lives[other]]
        self.peer: SimConnection | None = None
        self.transport = self
        # Told when the other process ends.
        self.lost: Callable[[], None] = lambda: None

    def send(self, message: Message) -> None:
        deployment = self._deployment
        if self._other in deployment.silent:
            deployment.sent_to_silent[self._own, type(message)].append(deployment.clock.now())
        received = deployment.as_received(message, self._other)
        deployment.pass_to_sibling(self._own, self._other, lambda: self._arrive(received))

    def _arrive(self, message: Message) -> None:
        if self.peer is not None and all(life.alive for life in self._lives):
            self.peer._on_message(self.peer, message)

    def abortConnection(self) -> None:
        self._deployment.connections_of_siblings.pop(self, None)

    def end_with(self, life: LifeClock) -> None:
        if life in self._lives:
            self.abortConnection()
            self.lost()


def connect_links(deployment: "SimulatedDeployment", own: str, links: PeerNetwork) -> PeerNetwork:
    """Puts a controller's links on the simulated network."""
    for link in links.connections:
        link._connect = partial(_connect, deployment, own, link)
    return links


async def _connect(
    deployment: "SimulatedDeployment", own: str, link: PeerConnection, host: str, port: int
) -> None:
    other, life = link.peer.name, deployment.lives[own]
    if other not in deployment.nodes:
        raise ConnectionRefusedError
    if deployment.is_cut(own, other) and other not in deployment.silent:
        await sleep(life, seconds(1))
        raise TimeoutError
    near = SimConnection(deployment, own, other, link._on_message)
    far = SimConnection(deployment, other, own, deployment.nodes[other].peers._on_request)
    near.peer, far.peer = far, near

    def lost() -> None:
        if link._connection is near:
            link._closed_at = life.now()
            link._on_connection_lost()

    near.lost = lost
    deployment.connections_of_siblings[near] = None
    link._connection = near
