"""Limits how many requests are under way at a time."""

from datetime import timedelta

from twisted.internet import defer

from spindleglade.http.client import ClientResponse, PooledRequester
from spindleglade.http.connection_budget import ConnectionBudget
from spindleglade.http.errors import ConnectionLimitError
from spindleglade.runtime.clock import Clock

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
