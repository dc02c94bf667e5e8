"""The HTTP server: passes every request to one handler coroutine and closes idle connections."""

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

# Largest request body in bytes; handlers reject longer ones.
MAX_BODY_BYTES = 64 * 1024
# Path to which workers send their heartbeats.
HEARTBEAT_PATH = b"/v1/report"
# A user's connection is closed once it has been idle for this time: users send a request every few seconds,
# so it is no longer in use. The shorter timeout applies while the connection budget is nearly exhausted.
USER_IDLE_TIMEOUT = seconds(60)
USER_IDLE_TIMEOUT_UNDER_PRESSURE = seconds(15)
# Seconds after which a client is told to retry a request whose handler failed.
RETRY_AFTER_FAILURE_S = 1


class HttpResponse(NamedTuple):
    """The response to an incoming request: status, JSON body and value of Retry-After in seconds.

    With `retry_after` None the response has no Retry-After header.
    """

    status: int
    body: bytes = b""
    retry_after: int | None = None


encode_json = msgspec.json.encode

# Takes method, path and body. A body longer than MAX_BODY_BYTES arrives as MAX_BODY_BYTES + 1 bytes,
# truncated or replaced by spaces, so that the handler can tell that it is too long.
Handler = Callable[[str, str, bytes], Coroutine[Any, Any, HttpResponse]]


class RequestResource(Resource):
    """Passes the requests for all paths to one handler coroutine."""

    isLeaf = True

    def __init__(self, handler: Handler) -> None:
        super().__init__()  # type: ignore[no-untyped-call]  # not annotated by Twisted
        self._handler = handler

    def render(self, request: Request) -> int:
        """Starts the handler, and sends its response when it returns unless the client has disconnected."""
        body = _read_body(request)
        disconnects: list[Any] = []
        request.notifyFinish().addErrback(disconnects.append)
        path = request.path.decode("utf-8", "replace")
        response: defer.Deferred[Any] = defer.ensureDeferred(
            self._handler(request.method.decode("ascii", "replace"), path, body)
        )
        response.addErrback(self._on_handler_failed, path)
        response.addCallback(self._send_response, request, disconnects)
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
    """The request body; MAX_BODY_BYTES + 1 bytes in place of one that is longer than MAX_BODY_BYTES."""
    length = request.getHeader(b"content-length")
    if length is not None and length.isdigit() and int(length) > MAX_BODY_BYTES:
        return b" " * (MAX_BODY_BYTES + 1)
    return request.content.read(MAX_BODY_BYTES + 1) if request.content else b""


class _Channel(http.HTTPChannel):
    """An incoming connection, with the time of its last request."""

    site: "HttpServer"
    # Time at which the last request arrived, or the connection was opened if there was none.
    last_used_at = ZERO
    # Whether the last request was a worker's heartbeat.
    is_worker = False

    def connectionMade(self) -> None:
        super().connectionMade()  # type: ignore[no-untyped-call]  # not annotated by Twisted
        self.last_used_at = self.site.clock.now()
        self.site.channels.add(self)
        self.site.connection_budget.on_opened()

    def connectionLost(self, reason: Any = connectionDone) -> None:
        self.site.channels.discard(self)
        self.site.connection_budget.on_closed()
        super().connectionLost(reason)  # type: ignore[no-untyped-call]  # not annotated by Twisted


class _Request(server.Request):
    """A request that goes to the server's only resource without a lookup by path."""

    def process(self) -> None:
        # Twisted's own method looks the resource up by path and sets the Date and Server headers. That takes
        # a tenth of the time of a heartbeat, and there are hundreds of heartbeats a second.
        channel = cast(_Channel, self.channel)
        channel.last_used_at = channel.site.clock.now()
        channel.is_worker = self.path == HEARTBEAT_PATH
        channel.site.resource.render(self)


class HttpServer(Site):
    """An HTTP server that keeps track of its connections and closes idle ones.

    Machines that failed or are partitioned, and users that reconnected, leave connections open that they no
    longer use.
    """

    def __init__(
        self,
        handler: Handler,
        connection_budget: ConnectionBudget,
        clock: Clock,
        worker_idle_timeout: timedelta,
    ) -> None:
        # Bodies are always JSON. Twisted's check for form data takes a quarter of the time of a request.
        super().__init__(  # type: ignore[no-untyped-call]  # not annotated by Twisted
            RequestResource(handler), requestFactory=_Request, timeout=None, parsePOSTFormSubmission=False
        )
        self.channels: set[Any] = set()
        self.connection_budget = connection_budget
        self.clock = clock
        self._worker_idle_timeout = worker_idle_timeout

    def close_idle(self) -> int:
        """Closes the connections that have been idle for too long, and returns their number."""
        now = self.clock.now()
        under_pressure = self.connection_budget.nearly_exhausted
        user_idle_timeout = USER_IDLE_TIMEOUT_UNDER_PRESSURE if under_pressure else USER_IDLE_TIMEOUT
        idle = [
            channel
            for channel in self.channels
            if now - channel.last_used_at
            > (self._worker_idle_timeout if channel.is_worker else user_idle_timeout)
        ]
        for channel in idle:
            # An orderly close would wait until all pending data is written, which never happens if the
            # machine is partitioned.
            channel.transport.abortConnection()
        return len(idle)


def http_server(
    handler: Handler, connection_budget: ConnectionBudget, clock: Clock, worker_idle_timeout: timedelta
) -> HttpServer:
    """The server that passes requests to `handler`.

    `worker_idle_timeout` is how long the connection of a worker may be idle before `close_idle` closes it.
    """
    site = HttpServer(handler, connection_budget, clock, worker_idle_timeout)
    site.protocol = _Channel  # type: ignore[assignment]  # The class is the factory of channels.
    site.displayTracebacks = False
    # The access log is disabled: writing a line takes longer than the request itself.
    site.log = lambda request: None  # type: ignore[method-assign]
    return site
