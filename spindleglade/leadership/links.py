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

from spindleglade.clock import ZERO, Clock, sleep
from spindleglade.decoding import decode
from spindleglade.settings.platform import Sibling, split_address
from spindleglade.tasks import keep, spawn

log = logging.getLogger("spindleglade.leadership")


class Ping(msgspec.Struct, tag="ping", array_like=True):
    """Says who is there, the highest token it knows and whether it leads; sent and answered regularly."""

    node: str
    token: int
    leads: bool
    # Milliseconds since the sender's replica was last proven current; None before the first time.
    unconfirmed_ms: int | None
    # Workers that report to the sender.
    workers: int = 0
    # The sender's process: another after each restart.
    process: str = ""
    # The revision up to which the sender knows all.
    turn: int = 0
    # In an answer: the cancellations the sender knows of since the asker's revision, by job and mark; None if
    # they are too many to state.
    aborts: list[tuple[str, int]] | None = None


class Relay(msgspec.Struct, tag="relay", array_like=True):
    """Workers' reports, as they came, for the leader."""

    number: int
    reports: list[bytes]


class Relayed(msgspec.Struct, tag="relayed", array_like=True):
    """The leader's answers to them, as the workers shall get them: empty for a machine that is none of ours
    any more; nothing at all if this node does not lead."""

    number: int
    answers: list[bytes] | None


class Forward(msgspec.Struct, tag="forward", array_like=True):
    """A user's request that the sender cannot serve, because it cannot reach the store."""

    number: int
    method: str
    path: str
    body: bytes


class Forwarded(msgspec.Struct, tag="forwarded", array_like=True):
    number: int
    status: int
    retry_after: int | None
    body: bytes


# Makes a ping; given the revision of an asker, the answer to its ping.
Hello = Callable[[int | None], Ping]
# Told of each ping heard, and when it was asked for if it is an answer.
Saw = Callable[[Ping, timedelta | None], None]

Message = Ping | Relay | Relayed | Forward | Forwarded
_decoder = msgspec.msgpack.Decoder(Message)
_encode = msgspec.msgpack.encode


def decode_message(data: bytes) -> Message:
    """Raises msgspec.DecodeError on anything malformed."""
    return decode(_decoder.decode, data)


class LinkDown(Exception):
    """The sibling cannot be asked, or did not answer in time."""


class _Connection(Int32StringReceiver):
    MAX_LENGTH = 1 << 20

    def __init__(self, received: Callable[["_Connection", Message], None], lost: Callable[[], None]) -> None:
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


class Link:
    """The connection to one sibling."""

    def __init__(self, reactor: Any, clock: Clock, sibling: Sibling, ping: timedelta, hello: Hello) -> None:
        self._reactor = reactor
        self._clock = clock
        self._ping = ping
        self._hello = hello
        self._connection: _Connection | None = None
        self._waiting: dict[int, Deferred[Any]] = {}
        self._number = 0
        self._waker: Deferred[None] | None = None
        self.sibling = sibling
        # When the sibling last said something over this connection; None before its first word. That the
        # connection was made shows nothing: the system accepts it also for a process that stands still.
        self.heard: timedelta | None = None
        self.state: Ping | None = None
        # When the ping was sent that the sibling last answered. What is heard after standing still may have
        # been said before; this shows how old it is.
        self.shown: timedelta | None = None
        # When the pings were sent that are not answered yet. Answers come in their order.
        self._asked: deque[timedelta] = deque()
        self.saw: Saw = lambda ping, asked: None
        # Told when the sibling's process seems to have ended: its end closed the link, and its port refuses.
        self.ended: Callable[[str], None] = lambda name: None
        self._closed: timedelta | None = None

    @property
    def up(self) -> bool:
        """Whether the sibling can be asked: it has lately said something over this connection."""
        return self._connection is not None and self._lately(self.heard)

    @property
    def shown_lately(self) -> bool:
        return self._lately(self.shown)

    def _lately(self, at: timedelta | None) -> bool:
        return at is not None and self._clock.now() - at < self._ping * 4

    def start(self) -> None:
        keep(self._clock, self._run, "link")

    async def _run(self) -> None:
        host, port = split_address(self.sibling.address)
        while True:
            dialled = self._clock.now()
            try:
                await self._connect(host, port)
            except Exception as error:
                self._not_connected(error)
                await sleep(self._clock, self._ping)
                continue
            await self._ping_until_down()
            # A sibling that accepts each connection and closes it at once must not be dialled in a loop.
            early = dialled + self._ping - self._clock.now()
            if early > ZERO:
                await sleep(self._clock, early)

    def _not_connected(self, error: Exception) -> None:
        log.debug("no link sibling=%s reason=%s", self.sibling.name, error)
        closed, self._closed = self._closed, None
        if (
            isinstance(error, ConnectionRefusedError)
            and closed is not None
            and self._clock.now() - closed < self._ping * 2
        ):
            self.ended(self.sibling.name)

    async def _ping_until_down(self) -> None:
        """Pings over a new connection until it is lost, or cut because nothing was heard for a while."""
        connected = self._clock.now()
        self.heard = None
        self._asked.clear()
        while self._connection is not None:
            self._asked.append(self._clock.now())
            self._connection.send(self._hello(None))
            await self._pause()
            if self._connection is not None and not self._lately(
                connected if self.heard is None else self.heard
            ):
                self._connection.transport.abortConnection()
                self._down()

    async def _pause(self) -> None:
        """Until the next ping, or until the link is lost."""
        self._waker = Deferred()
        timer = self._clock.later(self._ping, self._wake)
        await self._waker
        if timer.active():
            timer.cancel()

    def _wake(self) -> None:
        if self._waker is not None and not self._waker.called:
            self._waker.callback(None)

    async def _connect(self, host: str, port: int) -> None:
        made: list[_Connection] = []

        def lost() -> None:
            if made and self._connection is made[0]:
                self._closed = self._clock.now()
                self._down()

        factory = Factory.forProtocol(lambda: _Connection(self._received, lost))
        factory.noisy = False
        timeout = max(1.0, self._ping.total_seconds() * 2)
        connection = await TCP4ClientEndpoint(self._reactor, host, port, timeout=timeout).connect(factory)
        made.append(connection)
        self._connection = connection
        log.info("link up sibling=%s", self.sibling.name)

    def _down(self) -> None:
        log.info("link down sibling=%s", self.sibling.name)
        self._connection = None
        waiting, self._waiting = self._waiting, {}
        for waiter in waiting.values():
            waiter.errback(LinkDown(self.sibling.name))
        self._wake()

    def _received(self, connection: _Connection, message: Message) -> None:
        if connection is not self._connection:
            return
        self.heard = self._clock.now()
        if isinstance(message, Ping):
            self.state = message
            if not self._asked:
                return
            self.shown = self._asked.popleft()
            self.saw(message, self.shown)
        elif isinstance(message, (Relayed, Forwarded)):
            waiter = self._waiting.pop(message.number, None)
            if waiter is not None:
                waiter.callback(message)

    async def ask(self, make: Callable[[int], Message], timeout: timedelta) -> Any:
        if not self.up:
            raise LinkDown(self.sibling.name)
        assert self._connection is not None
        self._number += 1
        number = self._number
        waiter: Deferred[Any] = Deferred()
        self._waiting[number] = waiter

        def late() -> None:
            gone = self._waiting.pop(number, None)
            if gone is not None:
                gone.errback(LinkDown(f"{self.sibling.name} did not answer"))

        timer = self._clock.later(timeout, late)
        self._connection.send(make(number))
        try:
            return await waiter
        finally:
            if timer.active():
                timer.cancel()


class Siblings(Protocol):
    """What a node needs of its links."""

    links: list[Any]

    def start(self) -> None: ...

    def to(self, node: str) -> Any:
        """The link to that node if it is up."""


class Links:
    """All siblings, and the port at which they reach this node."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        siblings: list[Sibling],
        ping: timedelta,
        hello: Hello,
        relay: Callable[[list[bytes]], list[bytes] | None],
        forward: Callable[[str, str, bytes], Awaitable[Any]],
        saw: Saw,
        ended: Callable[[str], None],
    ) -> None:
        self._hello = hello
        self._relay = relay
        self._forward = forward
        self._saw = saw
        self.links = [Link(reactor, clock, sibling, ping, hello) for sibling in siblings]
        for link in self.links:
            link.saw = saw
            link.ended = ended

    def start(self) -> None:
        for link in self.links:
            link.start()

    def to(self, node: str) -> Link | None:
        return next((link for link in self.links if link.sibling.name == node and link.up), None)

    def factory(self) -> Factory:
        factory = Factory.forProtocol(lambda: _Connection(self._asked, lambda: None))
        factory.noisy = False
        return factory

    def _asked(self, connection: _Connection, message: Message) -> None:
        if isinstance(message, Ping):
            self._saw(message, None)
            connection.send(self._hello(message.turn))
        elif isinstance(message, Relay):
            connection.send(Relayed(message.number, self._relay(message.reports)))
        elif isinstance(message, Forward):
            spawn(self._answer_forward(connection, message), "answer forward")

    async def _answer_forward(self, connection: _Connection, message: Forward) -> None:
        answer = await self._forward(message.method, message.path, message.body)
        connection.send(Forwarded(message.number, answer.status, answer.retry_after, answer.body))
