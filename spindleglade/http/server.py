"""The HTTP server: hands every request to one coroutine, and closes connections that nobody uses."""

import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any, NamedTuple

import msgspec
from twisted.internet import defer
from twisted.web import http, server
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from spindleglade.http.connection_budget import ConnectionBudget
from spindleglade.runtime.clock import Clock

log = logging.getLogger("spindleglade.http")

BODY_LIMIT = 64 * 1024


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
