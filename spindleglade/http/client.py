"""Outgoing HTTP requests over kept connections."""

from datetime import timedelta
from typing import Any, NamedTuple, Protocol

from twisted.internet import defer
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

from spindleglade.http.connection_budget import ConnectionBudget
from spindleglade.http.errors import NoResponseError, NotSentError


class ClientResponse(NamedTuple):
    status: int
    body: bytes


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
