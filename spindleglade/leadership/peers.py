"""Links between sibling nodes: msgpack messages behind a length, one connection dialled to each sibling.

A node asks over the connection it dialled and is answered there. A link that says nothing for a while is cut
and dialled again: a connection across a cut hangs without any error.
"""

import logging
from collections import deque
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any, Protocol

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import Factory
from twisted.protocols.basic import Int32StringReceiver

from spindleglade.runtime.background import run_forever, run_in_background
from spindleglade.runtime.clock import ZERO, Clock, sleep
from spindleglade.runtime.decoding import decode
from spindleglade.settings.platform import Peer, split_address

log = logging.getLogger("spindleglade.leadership")


class PeerHeartbeat(msgspec.Struct, tag="ping", array_like=True):
    """Says who is there, the highest token it knows and whether it leads; sent and answered regularly."""

    controller: str
    token: int
    leads: bool
    # Milliseconds since the sender's replica was last proven current; None before the first time.
    replica_age_ms: int | None
    # Workers that report to the sender.
    workers: int = 0
    # The sender's process: another after each restart.
    process: str = ""
    # The revision up to which the sender knows all.
    revision: int = 0
    # In an answer: the cancellations the sender knows of since the asker's revision, by job and mark; None if
    # they are too many to state.
    cancellations: list[tuple[str, int]] | None = None


class HeartbeatRelayRequest(msgspec.Struct, tag="relay", array_like=True):
    """Workers' reports, as they came, for the leader."""

    request_id: int
    heartbeats: list[bytes]


class HeartbeatRelayResponse(msgspec.Struct, tag="relayed", array_like=True):
    """The leader's answers to them, as the workers shall get them: empty for a machine that is none of ours
    any more; nothing at all if this node does not lead."""

    request_id: int
    responses: list[bytes] | None


class UserRequestForward(msgspec.Struct, tag="forward", array_like=True):
    """A user's request that the sender cannot serve, because it cannot reach the store."""

    request_id: int
    method: str
    path: str
    body: bytes


class UserRequestForwardResponse(msgspec.Struct, tag="forwarded", array_like=True):
    request_id: int
    status: int
    retry_after: int | None
    body: bytes


# Makes a ping; given the revision of an asker, the answer to its ping.
MakePeerHeartbeat = Callable[[int | None], PeerHeartbeat]
# Told of each ping heard, and when it was asked for if it is an answer.
OnPeerHeartbeat = Callable[[PeerHeartbeat, timedelta | None], None]

Message = (
    PeerHeartbeat
    | HeartbeatRelayRequest
    | HeartbeatRelayResponse
    | UserRequestForward
    | UserRequestForwardResponse
)
_decoder = msgspec.msgpack.Decoder(Message)
_encode = msgspec.msgpack.encode


def decode_message(data: bytes) -> Message:
    """Raises msgspec.DecodeError on anything malformed."""
    return decode(_decoder.decode, data)


class PeerUnreachableError(Exception):
    """The sibling cannot be asked, or did not answer in time."""


class _PeerProtocol(Int32StringReceiver):
    MAX_LENGTH = 1 << 20

    def __init__(
        self, received: Callable[["_PeerProtocol", Message], None], lost: Callable[[], None]
    ) -> None:
        self._received = received
        self._lost = lost

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)

    def stringReceived(self, string: bytes) -> None:
        try:
            message = decode_message(string)
        except msgspec.DecodeError as error:
            log.warning("sibling message dropped reason=%s", error)
            return
        self._received(self, message)

    def lengthLimitExceeded(self, length: int) -> None:
        log.warning("sibling message dropped reason=%d bytes long", length)
        self.transport.abortConnection()

    def send(self, message: Message) -> None:
        if self.connected:
            self.sendString(_encode(message))

    def connectionLost(self, reason: Any = None) -> None:
        self._lost()


class PeerConnection:
    """The connection to one sibling."""

    def __init__(
        self, reactor: Any, clock: Clock, sibling: Peer, ping: timedelta, hello: MakePeerHeartbeat
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._ping_interval = ping
        self._make_heartbeat = hello
        self._connection: _PeerProtocol | None = None
        self._pending_requests: dict[int, Deferred[Any]] = {}
        self._last_request_id = 0
        self._waker: Deferred[None] | None = None
        self.peer = sibling
        # When the sibling last said something over this connection; None before its first word. That the
        # connection was made shows nothing: the system accepts it also for a process that stands still.
        self.last_message_at: timedelta | None = None
        self.last_heartbeat: PeerHeartbeat | None = None
        # When the ping was sent that the sibling last answered. What is heard after standing still may have
        # been said before; this shows how old it is.
        self.acknowledged_ping_sent_at: timedelta | None = None
        # When the pings were sent that are not answered yet. Answers come in their order.
        self._unanswered_pings: deque[timedelta] = deque()
        self.on_heartbeat: OnPeerHeartbeat = lambda ping, asked: None
        # Told when the sibling's process seems to have ended: its end closed the link, and its port refuses.
        self.on_process_ended: Callable[[str], None] = lambda name: None
        self._closed_at: timedelta | None = None

    @property
    def is_up(self) -> bool:
        """Whether the sibling can be asked: it has lately said something over this connection."""
        return self._connection is not None and self._is_recent(self.last_message_at)

    @property
    def acknowledged_recently(self) -> bool:
        return self._is_recent(self.acknowledged_ping_sent_at)

    def _is_recent(self, at: timedelta | None) -> bool:
        return at is not None and self._clock.now() - at < self._ping_interval * 4

    def start(self) -> None:
        run_forever(self._clock, self._run, "link")

    async def _run(self) -> None:
        host, port = split_address(self.peer.address)
        while True:
            dialled = self._clock.now()
            try:
                await self._connect(host, port)
            except Exception as error:
                self._on_connect_failed(error)
                await sleep(self._clock, self._ping_interval)
                continue
            await self._ping_until_down()
            # A sibling that accepts each connection and closes it at once must not be dialled in a loop.
            early = dialled + self._ping_interval - self._clock.now()
            if early > ZERO:
                await sleep(self._clock, early)

    def _on_connect_failed(self, error: Exception) -> None:
        log.debug("no link sibling=%s reason=%s", self.peer.name, error)
        closed, self._closed_at = self._closed_at, None
        if (
            isinstance(error, ConnectionRefusedError)
            and closed is not None
            and self._clock.now() - closed < self._ping_interval * 2
        ):
            self.on_process_ended(self.peer.name)

    async def _ping_until_down(self) -> None:
        """Pings over a new connection until it is lost, or cut because nothing was heard for a while."""
        connected = self._clock.now()
        self.last_message_at = None
        self._unanswered_pings.clear()
        while self._connection is not None:
            self._unanswered_pings.append(self._clock.now())
            self._connection.send(self._make_heartbeat(None))
            await self._pause()
            if self._connection is not None and not self._is_recent(
                connected if self.last_message_at is None else self.last_message_at
            ):
                self._connection.transport.abortConnection()
                self._on_connection_lost()

    async def _pause(self) -> None:
        """Until the next ping, or until the link is lost."""
        self._waker = Deferred()
        timer = self._clock.later(self._ping_interval, self._wake)
        await self._waker
        if timer.active():
            timer.cancel()

    def _wake(self) -> None:
        if self._waker is not None and not self._waker.called:
            self._waker.callback(None)

    async def _connect(self, host: str, port: int) -> None:
        made: list[_PeerProtocol] = []

        def lost() -> None:
            if made and self._connection is made[0]:
                self._closed_at = self._clock.now()
                self._on_connection_lost()

        factory = Factory.forProtocol(lambda: _PeerProtocol(self._on_message, lost))
        factory.noisy = False
        timeout = max(1.0, self._ping_interval.total_seconds() * 2)
        connection = await TCP4ClientEndpoint(self._reactor, host, port, timeout=timeout).connect(factory)
        made.append(connection)
        self._connection = connection
        log.info("link up sibling=%s", self.peer.name)

    def _on_connection_lost(self) -> None:
        log.info("link down sibling=%s", self.peer.name)
        self._connection = None
        waiting, self._pending_requests = self._pending_requests, {}
        for waiter in waiting.values():
            waiter.errback(PeerUnreachableError(self.peer.name))
        self._wake()

    def _on_message(self, connection: _PeerProtocol, message: Message) -> None:
        if connection is not self._connection:
            return
        self.last_message_at = self._clock.now()
        if isinstance(message, PeerHeartbeat):
            self.last_heartbeat = message
            if not self._unanswered_pings:
                return
            self.acknowledged_ping_sent_at = self._unanswered_pings.popleft()
            self.on_heartbeat(message, self.acknowledged_ping_sent_at)
        elif isinstance(message, (HeartbeatRelayResponse, UserRequestForwardResponse)):
            waiter = self._pending_requests.pop(message.request_id, None)
            if waiter is not None:
                waiter.callback(message)

    async def request(self, make: Callable[[int], Message], timeout: timedelta) -> Any:
        if not self.is_up:
            raise PeerUnreachableError(self.peer.name)
        assert self._connection is not None
        self._last_request_id += 1
        number = self._last_request_id
        waiter: Deferred[Any] = Deferred()
        self._pending_requests[number] = waiter

        def late() -> None:
            gone = self._pending_requests.pop(number, None)
            if gone is not None:
                gone.errback(PeerUnreachableError(f"{self.peer.name} did not answer"))

        timer = self._clock.later(timeout, late)
        self._connection.send(make(number))
        try:
            return await waiter
        finally:
            if timer.active():
                timer.cancel()


class Peers(Protocol):
    """What a node needs of its links."""

    connections: list[Any]

    def start(self) -> None: ...

    def connection_to(self, node: str) -> Any:
        """The link to that node if it is up."""


class PeerNetwork:
    """All siblings, and the port at which they reach this node."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        siblings: list[Peer],
        ping: timedelta,
        hello: MakePeerHeartbeat,
        relay: Callable[[list[bytes]], list[bytes] | None],
        forward: Callable[[str, str, bytes], Awaitable[Any]],
        saw: OnPeerHeartbeat,
        ended: Callable[[str], None],
    ) -> None:
        self._make_heartbeat = hello
        self._relay_heartbeats = relay
        self._forward_request = forward
        self._on_heartbeat = saw
        self.connections = [PeerConnection(reactor, clock, sibling, ping, hello) for sibling in siblings]
        for link in self.connections:
            link.on_heartbeat = saw
            link.on_process_ended = ended

    def start(self) -> None:
        for link in self.connections:
            link.start()

    def connection_to(self, node: str) -> PeerConnection | None:
        return next((link for link in self.connections if link.peer.name == node and link.is_up), None)

    def server_factory(self) -> Factory:
        factory = Factory.forProtocol(lambda: _PeerProtocol(self._on_request, lambda: None))
        factory.noisy = False
        return factory

    def _on_request(self, connection: _PeerProtocol, message: Message) -> None:
        if isinstance(message, PeerHeartbeat):
            self._on_heartbeat(message, None)
            connection.send(self._make_heartbeat(message.revision))
        elif isinstance(message, HeartbeatRelayRequest):
            connection.send(
                HeartbeatRelayResponse(message.request_id, self._relay_heartbeats(message.heartbeats))
            )
        elif isinstance(message, UserRequestForward):
            run_in_background(self._respond_to_forward(connection, message), "answer forward")

    async def _respond_to_forward(self, connection: _PeerProtocol, message: UserRequestForward) -> None:
        answer = await self._forward_request(message.method, message.path, message.body)
        connection.send(
            UserRequestForwardResponse(message.request_id, answer.status, answer.retry_after, answer.body)
        )
