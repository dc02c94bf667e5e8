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

log = logging.getLogger("spindleglade.web")

BODY_LIMIT = 64 * 1024


class Response(NamedTuple):
    status: int
    body: bytes


class NoAnswer(Exception):
    """The request got no response: it may have been carried out, or may still be, later."""


class NotSent(NoAnswer):
    """The connection was never made, so the request cannot have been carried out, now or later."""


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
    """Connects by number; a failure to connect is told apart from a lost answer."""

    def connect(self, factory: Any) -> defer.Deferred[Any]:
        def failed(failure: Any) -> Any:
            if failure.check(defer.CancelledError):
                return failure
            raise NotSent(failure.getErrorMessage())

        return super().connect(factory).addErrback(failed)


@implementer(IAgentEndpointFactory)
class _Endpoints:
    def __init__(self, reactor: Any, connect_timeout: timedelta) -> None:
        self.reactor = reactor
        self.timeout = connect_timeout.total_seconds()

    def endpointForURI(self, uri: Any) -> TCP4ClientEndpoint:
        return _TrackedEndpoint(self.reactor, uri.host.decode(), uri.port, timeout=self.timeout)


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


class HttpClient:
    """Requests over kept connections; every call ends within its timeout."""

    def __init__(
        self,
        reactor: Any,
        per_host: int,
        connect_timeout: timedelta = timedelta(seconds=2),
        idle: timedelta = timedelta(seconds=60),
    ) -> None:
        self._reactor = reactor
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = per_host
        pool.cachedConnectionTimeout = idle.total_seconds()
        # A lost answer is the callers' business: only they know whether the request may be repeated.
        pool.retryAutomatically = False
        self._agent = Agent.usingEndpointFactory(reactor, _Endpoints(reactor, connect_timeout), pool=pool)
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

    @staticmethod
    def _read(response: Any) -> defer.Deferred[Response]:
        return readBody(response).addCallback(lambda body: Response(response.code, body))


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
    # The platform bounds bodies; more than this is refused before it is held in memory.
    maxLength = BODY_LIMIT


class _Request(server.Request):
    def process(self) -> None:
        # All paths lead to one resource; finding it, and telling date and server, would cost each of hundreds
        # of reports a second a tenth of its time.
        self.channel.site.resource.render(self)


def site(handler: Handler) -> Site:
    # Bodies are JSON; looking whether they are forms takes a quarter of a request's time.
    made = Site(Endpoint(handler), requestFactory=_Request, timeout=None, parsePOSTFormSubmission=False)
    made.displayTracebacks = False
    # The access log is off: it would cost more than the request itself.
    made.log = lambda request: None  # type: ignore[method-assign]
    return made
