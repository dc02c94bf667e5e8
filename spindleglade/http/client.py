"""HTTP client that reuses its connections."""

from datetime import timedelta
from typing import Any, NamedTuple, Protocol

from twisted.internet import defer
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer  # type: ignore[import-untyped]  # no type annotations

from spindleglade.http.connection_budget import ConnectionBudget
from spindleglade.http.errors import NoResponseError, NotSentError
from spindleglade.runtime.clock import seconds

# Timeout of a request for which the caller gives none.
DEFAULT_TIMEOUT = seconds(5)
# Timeout of a connection attempt.
CONNECT_TIMEOUT = seconds(2)
# An idle connection is closed after this time.
IDLE_CONNECTION_TIMEOUT = seconds(60)


class ClientResponse(NamedTuple):
    """The status and body of the response to an outgoing request."""

    status: int
    body: bytes


class Requester(Protocol):
    """Sends HTTP requests. Implemented by HttpClient, ConcurrencyLimiter and the fakes of the tests."""

    async def request(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes | None = None,
        timeout: timedelta | None = None,
    ) -> ClientResponse:
        """Sends a request to `address` (host:port) and returns the response.

        Fails once `timeout` has passed; None means the implementation's default. Raises NotSentError or
        NoResponseError.
        """
        ...


class PooledRequester(Requester, Protocol):
    """A requester that keeps idle connections open for reuse."""

    def close_idle_connections(self) -> None:
        """Closes the pooled connections on which no request is in progress."""
        ...


class HttpClient:
    """Sends requests over pooled connections, which are counted in `connection_budget` if one is given.

    Implements PooledRequester.
    """

    def __init__(
        self, reactor: Any, connections_per_host: int, connection_budget: ConnectionBudget | None = None
    ) -> None:
        self._reactor = reactor
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = connections_per_host
        pool.cachedConnectionTimeout = int(IDLE_CONNECTION_TIMEOUT.total_seconds())
        # Only the caller knows whether it is safe to repeat a request that got no response.
        pool.retryAutomatically = False
        self._pool = pool
        self._agent = Agent.usingEndpointFactory(
            reactor, _EndpointFactory(reactor, connection_budget), pool=pool
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
        """See Requester."""
        timeout = timeout or DEFAULT_TIMEOUT
        response = self._agent.request(
            method.encode(),
            f"http://{address}{path}".encode(),
            self._headers if body is not None else None,
            _RequestBody(body) if body is not None else None,
        )
        complete_response: defer.Deferred[ClientResponse] = response.addCallback(self._read_body)
        complete_response.addTimeout(timeout.total_seconds(), self._reactor)
        try:
            return await complete_response
        except NotSentError:
            raise
        except Exception as error:
            raise NoResponseError(f"{type(error).__name__}: {error}", f"{method} {path}") from error

    def close_idle_connections(self) -> None:
        """See PooledRequester."""
        self._pool.closeCachedConnections()

    @staticmethod
    def _read_body(response: Any) -> defer.Deferred[ClientResponse]:
        return readBody(response).addCallback(lambda body: ClientResponse(response.code, body))


@implementer(IBodyProducer)
class _RequestBody:
    """A request body that is held in memory and written in one piece."""

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
    """Connects by IP address, counts its connections, and reports a failure to connect as NotSentError.

    A connection is counted from the start of the attempt until it is closed: an attempt that hangs occupies a
    socket too.
    """

    def __init__(
        self,
        reactor: Any,
        host: str,
        port: int,
        timeout: timedelta = CONNECT_TIMEOUT,
        connection_budget: ConnectionBudget | None = None,
    ) -> None:
        super().__init__(reactor, host, port, timeout=timeout.total_seconds())
        self._address = (host, port)
        self._connection_budget = connection_budget

    def connect(self, factory: Any) -> defer.Deferred[Any]:
        """Opens a connection. The result fails with NotSentError, or CancelledError if cancelled."""
        if self._connection_budget is not None:
            self._connection_budget.on_opened()
        return super().connect(factory).addCallbacks(self._on_connected, self._on_failed)

    def _on_connected(self, protocol: Any) -> Any:
        budget = self._connection_budget
        if budget is None:
            return protocol
        connection_lost = protocol.connectionLost

        def on_connection_lost(reason: Any) -> None:
            budget.on_closed()
            connection_lost(reason)

        protocol.connectionLost = on_connection_lost
        return protocol

    def _on_failed(self, failure: Any) -> Any:
        if self._connection_budget is not None:
            self._connection_budget.on_closed()
        if failure.check(defer.CancelledError):
            return failure
        host, port = self._address
        raise NotSentError(failure.getErrorMessage(), f"connect to {host}:{port}") from failure.value


@implementer(IAgentEndpointFactory)
class _EndpointFactory:
    """Creates the endpoints through which Twisted's Agent connects."""

    def __init__(self, reactor: Any, connection_budget: ConnectionBudget | None) -> None:
        self._reactor = reactor
        self._connection_budget = connection_budget

    def endpointForURI(self, uri: Any) -> TCP4ClientEndpoint:
        return _TrackedEndpoint(
            self._reactor, uri.host.decode(), uri.port, CONNECT_TIMEOUT, self._connection_budget
        )
