"""Maintains a connection to one peer, sends heartbeats over it, and replaces it when the peer is silent.

A connection across a network partition hangs without an error, so only silence reveals the partition.
"""

import logging
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory

from spindleglade.leadership.errors import PeerUnreachableError
from spindleglade.leadership.peer_failure_detection import PeerFailureDetector
from spindleglade.leadership.peer_handlers import PeerHandlers
from spindleglade.leadership.peer_messages import (
    HeartbeatRelayResponse,
    Message,
    PeerHeartbeat,
    UserRequestForwardResponse,
)
from spindleglade.leadership.peer_transport import PeerProtocol, PendingRequests
from spindleglade.runtime.background import run_forever
from spindleglade.runtime.clock import ZERO, Clock, sleep
from spindleglade.runtime.wakeup import Wakeup
from spindleglade.settings.platform import Peer, split_address

log = logging.getLogger("spindleglade.leadership")

# The timeout of an attempt to connect, in heartbeat intervals, and the smallest timeout in seconds.
CONNECT_TIMEOUT_INTERVALS = 2
MIN_CONNECT_TIMEOUT_S = 1.0


class PeerConnection:
    """The connection that this controller opens to one peer to send heartbeats and requests."""

    def __init__(
        self, reactor: Any, clock: Clock, peer: Peer, heartbeat_interval: timedelta, handlers: PeerHandlers
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._heartbeat_interval = heartbeat_interval
        self._handlers = handlers
        # The current connection; None while the peer is not connected.
        self._connection: PeerProtocol | None = None
        self._failure_detector = PeerFailureDetector(clock, heartbeat_interval)
        self._pending_requests = PendingRequests(clock, peer.name)
        self._wakeup = Wakeup()
        self.peer = peer
        # The latest heartbeat of the peer, over any connection; None before the first.
        self.last_heartbeat: PeerHeartbeat | None = None

    @property
    def is_up(self) -> bool:
        """Whether requests can be sent: the peer has recently sent a message over the current connection."""
        return self._connection is not None and self._failure_detector.received_recently

    @property
    def last_message_at(self) -> timedelta | None:
        """When the latest message of the peer over the current connection arrived; None before the first."""
        return self._failure_detector.last_message_at

    @property
    def acknowledged_recently(self) -> bool:
        """Whether the peer has acknowledged a heartbeat that was sent recently."""
        return self._failure_detector.acknowledged_recently

    @property
    def acknowledged_heartbeat_sent_at(self) -> timedelta | None:
        """When the heartbeat that the peer acknowledged last was sent; None before the first."""
        return self._failure_detector.acknowledged_heartbeat_sent_at

    def start(self) -> None:
        """Starts to connect to the peer, and to reconnect whenever the connection is lost."""
        run_forever(self._clock, self._run, "peer connection")

    async def request(self, make_request: Callable[[int], Message], timeout: timedelta) -> Any:
        """Sends the request that `make_request` creates for a new request ID, and returns the response.

        Raises PeerUnreachableError if the connection is down or is lost, or if no response arrives within
        `timeout`.
        """
        if not self.is_up:
            raise PeerUnreachableError(self.peer.name, "the connection is down")
        assert self._connection is not None
        return await self._pending_requests.send(self._connection, make_request, timeout)

    async def _run(self) -> None:
        host, port = split_address(self.peer.address)
        while True:
            started_at = self._clock.now()
            try:
                await self._connect(host, port)
            except Exception as error:  # noqa: BLE001  (whatever fails, the connection is retried)
                self._on_connect_failed(error)
                await sleep(self._clock, self._heartbeat_interval)
                continue
            await self._send_heartbeats_until_lost()
            # A peer that closes each connection at once is connected to at most once per heartbeat interval.
            remaining = started_at + self._heartbeat_interval - self._clock.now()
            if remaining > ZERO:
                await sleep(self._clock, remaining)

    async def _connect(self, host: str, port: int) -> None:
        factory: Any = Factory.forProtocol(lambda: PeerProtocol(self._on_message, self._on_connection_closed))
        factory.noisy = False
        interval_s = self._heartbeat_interval.total_seconds()
        timeout = max(MIN_CONNECT_TIMEOUT_S, interval_s * CONNECT_TIMEOUT_INTERVALS)
        endpoint = TCP4ClientEndpoint(self._reactor, host, port, timeout=timeout)
        self._connection = await endpoint.connect(factory)
        log.info("peer connected peer=%s", self.peer.name)

    def _on_connect_failed(self, error: Exception) -> None:
        log.debug("peer connection failed peer=%s reason=%s", self.peer.name, error)
        if self._failure_detector.has_process_ended(error):
            self._handlers.on_peer_process_ended(self.peer.name)

    async def _send_heartbeats_until_lost(self) -> None:
        """Sends heartbeats over a new connection until it is lost or is closed because the peer is silent."""
        self._failure_detector.on_connected()
        while self._connection is not None:
            self._failure_detector.on_heartbeat_sent()
            self._connection.send(self._handlers.make_heartbeat(None))
            await self._wait_for_next_heartbeat()
            if self._connection is not None and self._failure_detector.is_silent:
                self._connection.transport.abortConnection()
                self._on_connection_lost()

    async def _wait_for_next_heartbeat(self) -> None:
        """Waits until the next heartbeat is due or the connection is lost."""
        timer = self._clock.later(self._heartbeat_interval, self._wakeup.wake)
        await self._wakeup.wait()
        if timer.active():
            timer.cancel()

    def _on_connection_closed(self, connection: PeerProtocol) -> None:
        # A connection that this controller has closed is no longer the current one.
        if connection is self._connection:
            self._on_closed_by_peer()

    def _on_closed_by_peer(self) -> None:
        self._failure_detector.on_closed_by_peer()
        self._on_connection_lost()

    def _on_connection_lost(self) -> None:
        log.info("peer disconnected peer=%s", self.peer.name)
        self._connection = None
        self._pending_requests.fail_all("the connection was lost")
        self._wakeup.wake()

    def _on_message(self, connection: PeerProtocol, message: Message) -> None:
        if connection is not self._connection:
            return
        self._failure_detector.on_message()
        if isinstance(message, PeerHeartbeat):
            self._on_heartbeat(message)
        elif isinstance(message, (HeartbeatRelayResponse, UserRequestForwardResponse)):
            self._pending_requests.on_response(message)

    def _on_heartbeat(self, heartbeat: PeerHeartbeat) -> None:
        self.last_heartbeat = heartbeat
        sent_at = self._failure_detector.on_acknowledgement()
        if sent_at is not None:
            self._handlers.on_heartbeat(heartbeat, sent_at)
