"""Sends and receives messages over one TCP connection, and matches responses to requests."""

import logging
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.protocols.basic import Int32StringReceiver

from spindleglade.leadership.errors import PeerUnreachableError
from spindleglade.leadership.peer_messages import Message, Response, decode_message, encode_message
from spindleglade.runtime.clock import Clock

log = logging.getLogger("spindleglade.leadership")

# The maximum length of a message. A longer message closes the connection.
MAX_MESSAGE_BYTES = 1 << 20


class PeerProtocol(Int32StringReceiver):
    """One end of a connection between two controllers; a length of four bytes precedes each message."""

    MAX_LENGTH = MAX_MESSAGE_BYTES
    # Set by Twisted before connectionMade is called.
    transport: Any

    def __init__(
        self,
        on_message: Callable[["PeerProtocol", Message], None],
        on_connection_lost: Callable[["PeerProtocol"], None],
    ) -> None:
        self._on_message = on_message
        self._on_connection_lost = on_connection_lost

    def connectionMade(self) -> None:
        """Called by Twisted when the connection is established."""
        self.transport.setTcpNoDelay(True)

    def stringReceived(self, string: bytes) -> None:
        """Called by Twisted with each complete message."""
        try:
            message = decode_message(string)
        except msgspec.DecodeError as error:
            log.warning("peer message dropped reason=%s", error)
            return
        self._on_message(self, message)

    def lengthLimitExceeded(self, length: int) -> None:
        """Called by Twisted when the length of a message exceeds the limit."""
        log.warning("peer message dropped reason=%d bytes long", length)
        self.transport.abortConnection()

    def send(self, message: Message) -> None:
        """Sends a message unless the connection is closed."""
        if self.connected:
            self.sendString(encode_message(message))  # type: ignore[no-untyped-call]  # Twisted's

    def connectionLost(self, reason: Any = None) -> None:
        """Called by Twisted when either end has closed the connection."""
        self._on_connection_lost(self)


class PendingRequests:
    """The requests to one peer that wait for a response."""

    def __init__(self, clock: Clock, peer: str) -> None:
        self._clock = clock
        self._peer = peer
        self._responses: dict[int, Deferred[Any]] = {}
        self._last_request_id = 0

    async def send(
        self, connection: PeerProtocol, make_request: Callable[[int], Message], timeout: timedelta
    ) -> Any:
        """Sends the request that `make_request` creates for a new request ID, and returns the response.

        Raises PeerUnreachableError if no response arrives within `timeout` or the connection is lost.
        """
        self._last_request_id += 1
        request_id = self._last_request_id
        response: Deferred[Any] = Deferred()
        self._responses[request_id] = response
        timer = self._clock.later(timeout, self._on_timeout, request_id)
        connection.send(make_request(request_id))
        try:
            return await response
        finally:
            if timer.active():
                timer.cancel()

    def on_response(self, message: Response) -> None:
        """Passes a response to the caller that waits for it; ignored if the request is no longer pending."""
        response = self._responses.pop(message.request_id, None)
        if response is not None:
            response.callback(message)

    def fail_all(self, reason: str) -> None:
        """Fails all pending requests with PeerUnreachableError."""
        responses, self._responses = self._responses, {}
        for response in responses.values():
            response.errback(PeerUnreachableError(self._peer, reason))

    def _on_timeout(self, request_id: int) -> None:
        response = self._responses.pop(request_id, None)
        if response is not None:
            response.errback(PeerUnreachableError(self._peer, "no response in time"))
