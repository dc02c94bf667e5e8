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

from spindleglade.http.connection_budget import ConnectionBudget
from spindleglade.runtime.clock import Clock

log = logging.getLogger("spindleglade.http")

BODY_LIMIT = 64 * 1024


class ClientResponse(NamedTuple):
    status: int
    body: bytes


class NoResponseError(Exception):
    """The request got no response: it may have been carried out, or may still be, later."""


class NotSentError(NoResponseError):
    """The connection was never made, so the request cannot have been carried out, now or later."""


class ConnectionLimitError(NotSentError):
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

    sockets: ConnectionBudget | None = None

    def connect(self, factory: Any) -> defer.Deferred[Any]:
        sockets = self.sockets

        def failed(failure: Any) -> Any:
            if sockets is not None:
                sockets.on_closed()
            if failure.check(defer.CancelledError):
                return failure
            raise NotSentError(failure.getErrorMessage())

        def made(protocol: Any) -> Any:
            if sockets is not None:
                ended = protocol.connectionLost

                def lost(reason: Any) -> None:
                    sockets.on_closed()
                    ended(reason)

                protocol.connectionLost = lost
            return protocol

        if sockets is not None:
            sockets.on_opened()
        return super().connect(factory).addCallbacks(made, failed)


@implementer(IAgentEndpointFactory)
class _Endpoints:
    def __init__(self, reactor: Any, connect_timeout: timedelta, sockets: ConnectionBudget | None) -> None:
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
    ) -> ClientResponse:
        """Raises NotSent or NoAnswer; every call ends within its timeout."""
        ...


class PooledRequester(Requester, Protocol):
    """One that keeps its connections."""

    def close_idle_connections(self) -> None:
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
        sockets: ConnectionBudget | None = None,
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
    ) -> ClientResponse:
        timeout = timeout or timedelta(seconds=5)
        sent = self._agent.request(
            method.encode(),
            f"http://{address}{path}".encode(),
            self._headers if body is not None else None,
            _Body(body) if body is not None else None,
        )
        whole: defer.Deferred[ClientResponse] = sent.addCallback(self._read)
        whole.addTimeout(timeout.total_seconds(), self._reactor)
        try:
            return await whole
        except NotSentError:
            raise
        except Exception as error:
            raise NoResponseError(f"{method} {path}: {type(error).__name__} {error}") from None

    def close_idle_connections(self) -> None:
        self._pool.closeCachedConnections()

    @staticmethod
    def _read(response: Any) -> defer.Deferred[ClientResponse]:
        return readBody(response).addCallback(lambda body: ClientResponse(response.code, body))


# How long a request waits for its turn.
MAX_QUEUE_TIME = timedelta(seconds=0.5)


class ConcurrencyLimiter:
    """Lets only so many requests be under way at a time, and keeps connections only while there are enough to
    spare. After all controllers have restarted, a leader has something to say to every machine at once."""

    def __init__(self, http: PooledRequester, clock: Clock, sockets: ConnectionBudget) -> None:
        self._http = http
        self._clock = clock
        self._connection_budget = sockets
        self.max_concurrent = sockets.max_concurrent_commands
        self._semaphore = defer.DeferredSemaphore(self.max_concurrent)

    async def request(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes | None = None,
        timeout: timedelta | None = None,
    ) -> ClientResponse:
        turn = self._semaphore.acquire()
        late = None if turn.called else self._clock.later(MAX_QUEUE_TIME, turn.cancel)
        try:
            await turn
        except defer.CancelledError:
            raise ConnectionLimitError(f"{method} {path}: too many under way") from None
        if late is not None and late.active():
            late.cancel()
        try:
            if self._connection_budget.exhausted:
                raise ConnectionLimitError(f"{method} {path}: no connection to spare")
            return await self._http.request(method, address, path, body, timeout)
        finally:
            self._semaphore.release()
            if self._connection_budget.nearly_exhausted:
                self._http.close_idle_connections()


class HttpResponse(NamedTuple):
    """What an interface answers: a status, a JSON body, and when to come back."""

    status: int
    body: bytes = b""
    retry_after: int | None = None


encode_json = msgspec.json.encode

Handler = Callable[[str, str, bytes], Awaitable[HttpResponse]]


class RequestResource(Resource):
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
        running.addErrback(self._on_handler_failed, path)
        running.addCallback(self._send_response, request, gone)
        return NOT_DONE_YET

    @staticmethod
    def _on_handler_failed(failure: Any, path: str) -> HttpResponse:
        log.error("request failed path=%s error=%s", path, failure.getTraceback())
        return HttpResponse(503, b"", 1)

    @staticmethod
    def _send_response(answer: HttpResponse, request: Request, gone: list[Any]) -> None:
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
        self.site.sockets.on_opened()

    def connectionLost(self, reason: Any) -> None:
        self.site.channels.discard(self)
        self.site.sockets.on_closed()
        super().connectionLost(reason)


class _Request(server.Request):
    def process(self) -> None:
        # All paths lead to one resource; finding it, and telling date and server, would cost each of hundreds
        # of reports a second a tenth of its time.
        channel = self.channel
        channel.used = channel.site.clock.now()
        channel.worker = self.path == HEARTBEAT_PATH
        channel.site.resource.render(self)


HEARTBEAT_PATH = b"/v1/report"
# Users ask every few seconds; a connection that has been silent for so long is one that they have left, and
# for the shorter time where connections run short.
USER_IDLE_LIMIT_S, USER_IDLE_LIMIT_UNDER_PRESSURE_S = 60.0, 15.0


class HttpServer(Site):
    """Knows its connections, and closes those that nobody uses: of machines that died or are cut off, of
    users that reconnected. None of them tells that it is gone."""

    def __init__(
        self, handler: Handler, sockets: ConnectionBudget, clock: Clock, workers_idle: timedelta
    ) -> None:
        # Bodies are JSON; looking whether they are forms takes a quarter of a request's time.
        super().__init__(
            RequestResource(handler), requestFactory=_Request, timeout=None, parsePOSTFormSubmission=False
        )
        self.channels: set[Any] = set()
        self.sockets = sockets
        self.clock = clock
        self._workers_idle = workers_idle

    def close_idle(self) -> int:
        """Closes what is idle; returns how many those were."""
        now = self.clock.now()
        users_idle = timedelta(
            seconds=USER_IDLE_LIMIT_UNDER_PRESSURE_S if self.sockets.nearly_exhausted else USER_IDLE_LIMIT_S
        )
        idle = [
            channel
            for channel in self.channels
            if now - channel.used > (self._workers_idle if channel.worker else users_idle)
        ]
        for channel in idle:
            # At once: what is still to be written to a machine behind a cut would keep it open for ever.
            channel.transport.abortConnection()
        return len(idle)


def http_server(
    handler: Handler, sockets: ConnectionBudget, clock: Clock, workers_idle: timedelta
) -> HttpServer:
    made = HttpServer(handler, sockets, clock, workers_idle)
    made.protocol = _Channel
    made.displayTracebacks = False
    # The access log is off: it would cost more than the request itself.
    made.log = lambda request: None  # type: ignore[method-assign]
    return made
