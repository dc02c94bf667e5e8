"""HTTP plumbing shared by the slices: one outgoing client, one base for incoming resources."""

import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any, NamedTuple, Protocol

import msgspec
from twisted.internet import defer
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.web import http, server
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site
from zope.interface import implementer

from spindleglade.clock import Clock
from spindleglade.sockets import Sockets

log = logging.getLogger("spindleglade.web")

BODY_LIMIT = 64 * 1024


class Response(NamedTuple):
    status: int
    body: bytes


class NoAnswer(Exception):
    """The request got no response: it may have been carried out, or may still be, later."""


class NotSent(NoAnswer):
    """The connection was never made, so the request cannot have been carried out, now or later."""


class Crowded(NotSent):
    """This process has no connection to spare; it says nothing about the other side."""


@implementer(IBodyProducer)
class _Body:
    def __init__(self, body: bytes) -> None:
        self.body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> defer.Deferred[None]:
        consumer.write(self.body)
        return defer.succeed(None)

    def pauseProducing(self) -> None: ...

    def resumeProducing(self) -> None: ...

    def stopProducing(self) -> None: ...


class _TrackedEndpoint(TCP4ClientEndpoint):
    """Connects by number; a failure to connect is told apart from a lost answer. Connections are counted from
    the attempt to the end: one that hangs holds a socket too."""

    sockets: Sockets | None = None

    def connect(self, factory: Any) -> defer.Deferred[Any]:
        sockets = self.sockets

        def failed(failure: Any) -> Any:
            if sockets is not None:
                sockets.closed()
            if failure.check(defer.CancelledError):
                return failure
            raise NotSent(failure.getErrorMessage())

        def made(protocol: Any) -> Any:
            if sockets is not None:
                ended = protocol.connectionLost

                def lost(reason: Any) -> None:
                    sockets.closed()
                    ended(reason)

                protocol.connectionLost = lost
            return protocol

        if sockets is not None:
            sockets.opened()
        return super().connect(factory).addCallbacks(made, failed)


@implementer(IAgentEndpointFactory)
class _Endpoints:
    def __init__(self, reactor: Any, connect_timeout: timedelta, sockets: Sockets | None) -> None:
        self.reactor = reactor
        self.timeout = connect_timeout.total_seconds()
        self.sockets = sockets

    def endpointForURI(self, uri: Any) -> TCP4ClientEndpoint:
        made = _TrackedEndpoint(self.reactor, uri.host.decode(), uri.port, timeout=self.timeout)
        made.sockets = self.sockets
        return made


class Requester(Protocol):
    async def request(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes | None = None,
        timeout: timedelta | None = None,
    ) -> Response:
        """Raises NotSent or NoAnswer; every call ends within its timeout."""
        ...


class Keeper(Requester, Protocol):
    """One that keeps its connections."""

    def let_go(self) -> None:
        """Closes the connections that are kept and not in use."""
        ...


class HttpClient:
    """Requests over kept connections, counted in `sockets`; every call ends within its timeout."""

    def __init__(
        self,
        reactor: Any,
        per_host: int,
        connect_timeout: timedelta = timedelta(seconds=2),
        idle: timedelta = timedelta(seconds=60),
        sockets: Sockets | None = None,
    ) -> None:
        self._reactor = reactor
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = per_host
        pool.cachedConnectionTimeout = idle.total_seconds()
        # A lost answer is the callers' business: only they know whether the request may be repeated.
        pool.retryAutomatically = False
        self._pool = pool
        self._agent = Agent.usingEndpointFactory(
            reactor, _Endpoints(reactor, connect_timeout, sockets), pool=pool
        )
        self._headers = Headers({b"Content-Type": [b"application/json"]})

    async def request(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes | None = None,
        timeout: timedelta | None = None,
    ) -> Response:
        timeout = timeout or timedelta(seconds=5)
        sent = self._agent.request(
            method.encode(),
            f"http://{address}{path}".encode(),
            self._headers if body is not None else None,
            _Body(body) if body is not None else None,
        )
        whole: defer.Deferred[Response] = sent.addCallback(self._read)
        whole.addTimeout(timeout.total_seconds(), self._reactor)
        try:
            return await whole
        except NotSent:
            raise
        except Exception as error:
            raise NoAnswer(f"{method} {path}: {type(error).__name__} {error}") from None

    def let_go(self) -> None:
        self._pool.closeCachedConnections()

    @staticmethod
    def _read(response: Any) -> defer.Deferred[Response]:
        return readBody(response).addCallback(lambda body: Response(response.code, body))


# How long a request waits for its turn.
TURN = timedelta(seconds=0.5)


class Turns:
    """Lets only so many requests be under way at a time, and keeps connections only while there are enough to
    spare. After all controllers have restarted, a leader has something to say to every machine at once."""

    def __init__(self, http: Keeper, clock: Clock, sockets: Sockets) -> None:
        self._http = http
        self._clock = clock
        self._sockets = sockets
        self.at_once = sockets.orders_at_once
        self._turns = defer.DeferredSemaphore(self.at_once)

    async def request(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes | None = None,
        timeout: timedelta | None = None,
    ) -> Response:
        turn = self._turns.acquire()
        late = None if turn.called else self._clock.later(TURN, turn.cancel)
        try:
            await turn
        except defer.CancelledError:
            raise Crowded(f"{method} {path}: too many under way") from None
        if late is not None and late.active():
            late.cancel()
        try:
            if self._sockets.full:
                raise Crowded(f"{method} {path}: no connection to spare")
            return await self._http.request(method, address, path, body, timeout)
        finally:
            self._turns.release()
            if self._sockets.crowded:
                self._http.let_go()


class Answer(NamedTuple):
    """What an interface answers: a status, a JSON body, and when to come back."""

    status: int
    body: bytes = b""
    retry_after: int | None = None


encode_json = msgspec.json.encode

Handler = Callable[[str, str, bytes], Awaitable[Answer]]


class Endpoint(Resource):
    """Hands every request to one coroutine, which gets method, path and body."""

    isLeaf = True

    def __init__(self, handler: Handler) -> None:
        super().__init__()
        self._handler = handler

    def render(self, request: Request) -> int:
        length = request.getHeader(b"content-length")
        if length is not None and length.isdigit() and int(length) > BODY_LIMIT:
            body = b" " * (BODY_LIMIT + 1)
        else:
            body = request.content.read(BODY_LIMIT + 1) if request.content else b""
        gone: list[Any] = []
        request.notifyFinish().addErrback(gone.append)
        path = request.path.decode("utf-8", "replace")
        running = defer.ensureDeferred(self._handler(request.method.decode("ascii", "replace"), path, body))
        running.addErrback(self._broken, path)
        running.addCallback(self._send, request, gone)
        return NOT_DONE_YET

    @staticmethod
    def _broken(failure: Any, path: str) -> Answer:
        log.error("request failed path=%s error=%s", path, failure.getTraceback())
        return Answer(503, b"", 1)

    @staticmethod
    def _send(answer: Answer, request: Request, gone: list[Any]) -> None:
        if gone:
            return
        request.setResponseCode(answer.status)
        request.setHeader(b"Content-Type", b"application/json")
        request.setHeader(b"Content-Length", str(len(answer.body)).encode())
        if answer.retry_after is not None:
            request.setHeader(b"Retry-After", str(answer.retry_after).encode())
        if answer.body and request.method != b"HEAD":
            request.write(answer.body)
        request.finish()


class _Channel(http.HTTPChannel):
    # When the last request came, or else the connection; and whether a worker sent it.
    used = timedelta(0)
    worker = False

    def connectionMade(self) -> None:
        super().connectionMade()
        self.used = self.site.clock.now()
        self.site.channels.add(self)
        self.site.sockets.opened()

    def connectionLost(self, reason: Any) -> None:
        self.site.channels.discard(self)
        self.site.sockets.closed()
        super().connectionLost(reason)


class _Request(server.Request):
    def process(self) -> None:
        # All paths lead to one resource; finding it, and telling date and server, would cost each of hundreds
        # of reports a second a tenth of its time.
        channel = self.channel
        channel.used = channel.site.clock.now()
        channel.worker = self.path == REPORT_PATH
        channel.site.resource.render(self)


REPORT_PATH = b"/v1/report"
# Users ask every few seconds; a connection that has been silent for so long is one that they have left, and
# for the shorter time where connections run short.
USERS_IDLE_S, USERS_CROWDED_S = 60.0, 15.0


class CountedSite(Site):
    """Knows its connections, and closes those that nobody uses: of machines that died or are cut off, of
    users that reconnected. None of them tells that it is gone."""

    def __init__(self, handler: Handler, sockets: Sockets, clock: Clock, workers_idle: timedelta) -> None:
        # Bodies are JSON; looking whether they are forms takes a quarter of a request's time.
        super().__init__(
            Endpoint(handler), requestFactory=_Request, timeout=None, parsePOSTFormSubmission=False
        )
        self.channels: set[Any] = set()
        self.sockets = sockets
        self.clock = clock
        self._workers_idle = workers_idle

    def tidy(self) -> int:
        """Closes what is idle; returns how many those were."""
        now = self.clock.now()
        users_idle = timedelta(seconds=USERS_CROWDED_S if self.sockets.crowded else USERS_IDLE_S)
        idle = [
            channel
            for channel in self.channels
            if now - channel.used > (self._workers_idle if channel.worker else users_idle)
        ]
        for channel in idle:
            # At once: what is still to be written to a machine behind a cut would keep it open for ever.
            channel.transport.abortConnection()
        return len(idle)


def site(handler: Handler, sockets: Sockets, clock: Clock, workers_idle: timedelta) -> CountedSite:
    made = CountedSite(handler, sockets, clock, workers_idle)
    made.protocol = _Channel
    made.displayTracebacks = False
    # The access log is off: it would cost more than the request itself.
    made.log = lambda request: None  # type: ignore[method-assign]
    return made
