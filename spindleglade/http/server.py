"""The HTTP server: hands every request to one coroutine, and closes connections that nobody uses."""

import logging
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any, NamedTuple, cast

import msgspec
from twisted.internet import defer
from twisted.internet.protocol import connectionDone
from twisted.web import http, server
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from spindleglade.http.connection_budget import ConnectionBudget
from spindleglade.runtime.clock import ZERO, Clock, seconds

log = logging.getLogger("spindleglade.http")

# Largest body of a request, in bytes; handlers refuse what is longer.
BODY_LIMIT = 64 * 1024
# Where workers send their heartbeats.
HEARTBEAT_PATH = b"/v1/report"
# Users send a request every few seconds; a connection that has been idle for so long is one that they have
# left. The shorter limit holds while connections are nearly exhausted.
USER_IDLE_LIMIT = seconds(60)
USER_IDLE_LIMIT_UNDER_PRESSURE = seconds(15)
# When a client is told to retry after a request whose handler failed, in seconds.
RETRY_AFTER_FAILURE_S = 1


class HttpResponse(NamedTuple):
    """The response to an incoming request: a status, a JSON body, and after how many seconds to retry."""

    status: int
    body: bytes = b""
    retry_after: int | None = None


encode_json = msgspec.json.encode

# Takes method, path and body. A body over BODY_LIMIT is cut, or replaced, to just above the limit.
Handler = Callable[[str, str, bytes], Coroutine[Any, Any, HttpResponse]]


class RequestResource(Resource):
    """Hands every request to one coroutine."""

    isLeaf = True

    def __init__(self, handler: Handler) -> None:
        super().__init__()  # type: ignore[no-untyped-call]  # Twisted's
        self._handler = handler

    def render(self, request: Request) -> int:
        """Starts the handler; the response is sent when it returns, unless the client has disconnected."""
        body = _read_body(request)
        disconnects: list[Any] = []
        request.notifyFinish().addErrback(disconnects.append)
        path = request.path.decode("utf-8", "replace")
        running: defer.Deferred[Any] = defer.ensureDeferred(
            self._handler(request.method.decode("ascii", "replace"), path, body)
        )
        running.addErrback(self._on_handler_failed, path)
        running.addCallback(self._send_response, request, disconnects)
        return NOT_DONE_YET

    @staticmethod
    def _on_handler_failed(failure: Any, path: str) -> HttpResponse:
        log.error("request failed path=%s reason=%s", path, failure.getTraceback())
        return HttpResponse(503, b"", RETRY_AFTER_FAILURE_S)

    @staticmethod
    def _send_response(response: HttpResponse, request: Request, disconnects: list[Any]) -> None:
        if disconnects:
            return
        request.setResponseCode(response.status)
        request.setHeader(b"Content-Type", b"application/json")
        request.setHeader(b"Content-Length", str(len(response.body)).encode())
        if response.retry_after is not None:
            request.setHeader(b"Retry-After", str(response.retry_after).encode())
        if response.body and request.method != b"HEAD":
            request.write(response.body)
        request.finish()


def _read_body(request: Request) -> bytes:
    """The body; of one that is too long only enough to tell."""
    length = request.getHeader(b"content-length")
    if length is not None and length.isdigit() and int(length) > BODY_LIMIT:
        return b" " * (BODY_LIMIT + 1)
    return request.content.read(BODY_LIMIT + 1) if request.content else b""


class _Channel(http.HTTPChannel):
    """An incoming connection."""

    site: "HttpServer"
    # When the last request came, or else the connection; and whether a worker sent it.
    last_used_at = ZERO
    is_worker = False

    def connectionMade(self) -> None:
        super().connectionMade()  # type: ignore[no-untyped-call]  # Twisted's
        self.last_used_at = self.site.clock.now()
        self.site.channels.add(self)
        self.site.connection_budget.on_opened()

    def connectionLost(self, reason: Any = connectionDone) -> None:
        self.site.channels.discard(self)
        self.site.connection_budget.on_closed()
        super().connectionLost(reason)  # type: ignore[no-untyped-call]  # Twisted's


class _Request(server.Request):
    def process(self) -> None:
        # All paths lead to one resource; finding it, and sending date and server, would cost each of hundreds
        # of heartbeats a second a tenth of its time.
        channel = cast(_Channel, self.channel)
        channel.last_used_at = channel.site.clock.now()
        channel.is_worker = self.path == HEARTBEAT_PATH
        channel.site.resource.render(self)


class HttpServer(Site):
    """Knows its connections, and closes those that nobody uses.

    Those are of machines that died or are partitioned, and of users that reconnected: none of them closes its
    connection.
    """

    def __init__(
        self,
        handler: Handler,
        connection_budget: ConnectionBudget,
        clock: Clock,
        worker_idle_limit: timedelta,
    ) -> None:
        # Bodies are JSON; looking whether they are forms takes a quarter of a request's time.
        super().__init__(  # type: ignore[no-untyped-call]  # Twisted's
            RequestResource(handler), requestFactory=_Request, timeout=None, parsePOSTFormSubmission=False
        )
        self.channels: set[Any] = set()
        self.connection_budget = connection_budget
        self.clock = clock
        self._worker_idle_limit = worker_idle_limit

    def close_idle(self) -> int:
        """Closes the connections that have been idle for too long; returns how many those were."""
        now = self.clock.now()
        under_pressure = self.connection_budget.nearly_exhausted
        user_limit = USER_IDLE_LIMIT_UNDER_PRESSURE if under_pressure else USER_IDLE_LIMIT
        idle = [
            channel
            for channel in self.channels
            if now - channel.last_used_at > (self._worker_idle_limit if channel.is_worker else user_limit)
        ]
        for channel in idle:
            # At once: what is still to be written to a partitioned machine would keep it open for ever.
            channel.transport.abortConnection()
        return len(idle)


def http_server(
    handler: Handler, connection_budget: ConnectionBudget, clock: Clock, worker_idle_limit: timedelta
) -> HttpServer:
    """A server to listen with; a worker's connection is closed once it is idle for `worker_idle_limit`."""
    site = HttpServer(handler, connection_budget, clock, worker_idle_limit)
    site.protocol = _Channel  # type: ignore[assignment]  # A channel class makes channels.
    site.displayTracebacks = False
    # The access log is off: it would cost more than the request itself.
    site.log = lambda request: None  # type: ignore[method-assign]
    return site
