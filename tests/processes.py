"""What surrounds one controller process in a simulated deployment: its clock, its requests, its links."""

import logging
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from spindleglade.clock import ManualClock, seconds
from spindleglade.leadership.links import Forward, Forwarded, LinkDown, Ping, Relay, Relayed
from spindleglade.settings.platform import Sibling
from spindleglade.tasks import spawn
from spindleglade.web import NoAnswer, NotSent, Response
from tests.standins import Reply

if TYPE_CHECKING:
    from tests.world import World


class Errors(logging.Handler):
    """What the nodes log as an error: some coroutine or listener broke, which no trouble may bring about."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.found: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        # What a world leaves unfinished is closed when it is collected, maybe while another one runs.
        if "cannot reuse already awaited coroutine" not in record.getMessage():
            self.found.append(record.getMessage())


class LifeClock:
    """A process's view of the clock: once it is killed, none of its timers runs any more."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self._began = clock.now()
        self.alive = True
        # Until then it stands still, while time goes on.
        self.frozen = timedelta(0)

    def now(self) -> timedelta:
        return self._clock.now() - self._began

    def utc(self) -> Any:
        return self._clock.utc()

    def later(self, delay: timedelta, call: Any, *args: Any) -> Any:
        def fire() -> None:
            if not self.alive:
                return
            still = self.frozen - self._clock.now()
            if still > timedelta(0):
                self._clock.later(still, fire)
            else:
                call(*args)

        return self._clock.later(delay, fire)


class SimHttp:
    """The outgoing requests of one process."""

    def __init__(self, world: "World", name: str, life: LifeClock) -> None:
        self._world, self._name, self._life = world, name, life

    async def request(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes | None = None,
        timeout: timedelta | None = None,
    ) -> Response:
        waiter: Deferred[Response] = Deferred()

        def answered(answer: Reply | None) -> None:
            if self._life.alive and not waiter.called:
                if answer is None:
                    waiter.errback(NoAnswer("lost"))
                else:
                    waiter.callback(Response(*answer))

        def late() -> None:
            if not waiter.called:
                waiter.errback(NoAnswer("timed out"))

        target = self._world.names.get(address, address)
        if self._world.refuses(self._name, target):
            raise NotSent("refused")
        sockets = self._world.sockets[self._name]
        if target.startswith("n-"):
            self._world.opened(sockets)
        self._world.carry(self._name, target, method, path, body or b"", answered)
        timer = self._life.later(timeout or seconds(5), late)
        try:
            return await waiter
        finally:
            if target.startswith("n-"):
                sockets.closed()
            if timer.active():
                timer.cancel()

    def let_go(self) -> None:
        """Nothing is kept here."""


class SimLink:
    def __init__(self, world: "World", own: str, other: str) -> None:
        self._world, self._own, self.other = world, own, other
        self.state: Ping | None = None
        self.sibling = Sibling(other, "a", "10.0.0.0:2")
        # When the sibling was last heard, by this node's clock, which goes on while the node stands still.
        self.heard: timedelta | None = None
        self.shown: timedelta | None = None

    @property
    def linked(self) -> bool:
        return self.other in self._world.nodes and not self._world.is_cut(self._own, self.other)

    @property
    def up(self) -> bool:
        return self.linked and self._lately(self.heard)

    @property
    def shown_lately(self) -> bool:
        return self._lately(self.shown)

    def _lately(self, at: timedelta | None) -> bool:
        return at is not None and self._world.lives[self._own].now() - at < seconds(2)

    async def ask(self, make: Any, timeout: timedelta) -> Any:
        if not self.up:
            raise LinkDown(self.other)
        node, message = self._world.nodes[self.other], self._world.as_sent(make(0))
        waiter: Deferred[Any] = Deferred()
        life = self._world.lives[self._own]

        async def serve() -> None:
            if isinstance(message, Relay):
                answer: Any = Relayed(0, node._relayed(message.reports))
            else:
                assert isinstance(message, Forward)
                got = await node._forwarded(message.method, message.path, message.body)
                answer = Forwarded(0, got.status, got.retry_after, got.body)
            if self.up and life.alive and not waiter.called:
                waiter.callback(self._world.as_sent(answer))

        def late() -> None:
            if not waiter.called:
                waiter.errback(LinkDown(self.other))

        life.later(timeout, late)
        self._world.lives[self.other].later(seconds(0.002), lambda: spawn(serve(), "sibling"))
        return await waiter


class SimLinks:
    def __init__(self, world: "World", own: str, hello: Any, saw: Any) -> None:
        self._world, self._own, self._hello, self._saw = world, own, hello, saw
        self.links = [SimLink(world, own, name) for name in world.node_names if name != own]

    def start(self) -> None:
        self._ping()

    def _ping(self) -> None:
        for link in self.links:
            if link.linked:
                turn = self._world.nodes[self._own].replica.turn
                state = self._world.as_sent(self._world.nodes[link.other]._hello(turn))
                life = self._world.lives[self._own]
                life.later(seconds(0.005), self._hear, link, state, life.now())
        self._world.lives[self._own].later(seconds(0.5), self._ping)

    def _hear(self, link: SimLink, state: Ping, asked: timedelta) -> None:
        if link.linked:
            link.heard, link.state, link.shown = self._world.lives[self._own].now(), state, asked
            self._saw(state, asked)

    def to(self, node: str) -> SimLink | None:
        return next((link for link in self.links if link.other == node and link.up), None)
