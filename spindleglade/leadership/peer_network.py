"""Connects a controller to all of its peers and serves the requests of the peers."""

from datetime import timedelta
from typing import Any, Protocol

from twisted.internet.protocol import Factory

from spindleglade.leadership.peer_connection import PeerConnection
from spindleglade.leadership.peer_handlers import PeerHandlers
from spindleglade.leadership.peer_messages import (
    HeartbeatRelayRequest,
    HeartbeatRelayResponse,
    Message,
    PeerHeartbeat,
    UserRequestForward,
    UserRequestForwardResponse,
)
from spindleglade.leadership.peer_transport import PeerProtocol
from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import Clock
from spindleglade.settings.platform import Peer


class PeerNetworkInterface(Protocol):
    """The part of a peer network that a controller uses."""

    # One connection per peer.
    connections: list[Any]

    def start(self) -> None:
        """Starts to connect to all peers."""

    def connection_to(self, controller: str) -> Any:
        """Returns the connection to the named controller; None if it is not up."""

    def server_factory(self) -> Any:
        """Returns the Twisted factory for the connections that peers open to this controller."""


class PeerNetwork:
    """The connections to all peers, and the server that the peers connect to."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        peers: list[Peer],
        heartbeat_interval: timedelta,
        handlers: PeerHandlers,
    ) -> None:
        self._handlers = handlers
        self.connections = [
            PeerConnection(reactor, clock, peer, heartbeat_interval, handlers) for peer in peers
        ]

    def start(self) -> None:
        """Starts to connect to all peers."""
        for connection in self.connections:
            connection.start()

    def connection_to(self, controller: str) -> PeerConnection | None:
        """Returns the connection to the named controller; None if it is not up."""
        return next(
            (
                connection
                for connection in self.connections
                if connection.peer.name == controller and connection.is_up
            ),
            None,
        )

    def server_factory(self) -> "Factory[PeerProtocol]":
        """Returns the Twisted factory for the connections that peers open to this controller."""
        factory = Factory.forProtocol(lambda: PeerProtocol(self._on_peer_message, lambda connection: None))
        factory.noisy = False
        return factory

    def _on_peer_message(self, connection: PeerProtocol, message: Message) -> None:
        if isinstance(message, PeerHeartbeat):
            self._handlers.on_heartbeat(message, None)
            connection.send(self._handlers.make_heartbeat(message.revision))
        elif isinstance(message, HeartbeatRelayRequest):
            responses = self._handlers.on_relayed_heartbeats(message.heartbeats)
            connection.send(HeartbeatRelayResponse(message.request_id, responses))
        elif isinstance(message, UserRequestForward):
            run_in_background(self._respond_to_forward(connection, message), "respond to forwarded request")

    async def _respond_to_forward(self, connection: PeerProtocol, message: UserRequestForward) -> None:
        response = await self._handlers.on_forwarded_request(message.method, message.path, message.body)
        connection.send(
            UserRequestForwardResponse(
                message.request_id, response.status, response.retry_after, response.body
            )
        )
