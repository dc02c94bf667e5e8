"""Limits the number of concurrent requests to machines."""

from datetime import timedelta

from twisted.internet import defer

from spindleglade.http.client import ClientResponse, PooledRequester
from spindleglade.http.connection_budget import ConnectionBudget
from spindleglade.http.errors import ConnectionLimitError
from spindleglade.runtime.clock import Clock, seconds

# How long a request may wait for earlier requests to finish.
MAX_QUEUE_TIME = seconds(0.5)


class ConcurrencyLimiter:
    """A requester that limits its concurrent requests; implements Requester.

    While the connection budget is nearly exhausted, idle connections are closed after each request. This
    matters after all controllers have restarted, when a leader sends a command to every machine at once.
    """

    def __init__(self, http: PooledRequester, clock: Clock, connection_budget: ConnectionBudget) -> None:
        self._http = http
        self._clock = clock
        self._connection_budget = connection_budget
        self.max_concurrent = connection_budget.max_concurrent_commands
        self._semaphore = defer.DeferredSemaphore(self.max_concurrent)

    async def request(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes | None = None,
        timeout: timedelta | None = None,
    ) -> ClientResponse:
        """See Requester. Raises ConnectionLimitError if the request has waited for MAX_QUEUE_TIME, or the
        connection budget is exhausted."""
        await self._acquire(f"{method} {path}")
        try:
            if self._connection_budget.exhausted:
                raise ConnectionLimitError(
                    f"connection budget of {self._connection_budget.limit} exhausted", f"{method} {path}"
                )
            return await self._http.request(method, address, path, body, timeout)
        finally:
            self._semaphore.release()
            if self._connection_budget.nearly_exhausted:
                self._http.close_idle_connections()

    async def _acquire(self, operation: str) -> None:
        acquired = self._semaphore.acquire()
        timer = None if acquired.called else self._clock.later(MAX_QUEUE_TIME, acquired.cancel)
        try:
            await acquired
        except defer.CancelledError as error:
            raise ConnectionLimitError(
                f"more than {self.max_concurrent} concurrent requests", operation
            ) from error
        if timer is not None and timer.active():
            timer.cancel()
