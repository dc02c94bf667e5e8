"""Tests of the limit on concurrent requests and of the reserve of connections."""

from twisted.internet.defer import Deferred

from spindleglade.http.client import ClientResponse
from spindleglade.http.concurrency import MAX_QUEUE_TIME, ConcurrencyLimiter
from spindleglade.http.connection_budget import ConnectionBudget
from spindleglade.http.errors import ConnectionLimitError
from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import ManualClock


class ControlledRequester:
    """Keeps each request pending until the test supplies its response."""

    def __init__(self):
        self.pending = []
        self.idle_close_calls = 0

    async def request(self, method, address, path, body=None, timeout=None):
        self.pending.append(Deferred())
        return await self.pending[-1]

    def close_idle_connections(self):
        self.idle_close_calls += 1


def send(limiter, count):
    """Sends `count` requests and returns a list to which each adds its response or ConnectionLimitError."""
    results = []

    async def request():
        try:
            results.append(await limiter.request("POST", "m:1", "/orders"))
        except ConnectionLimitError as error:
            results.append(error)

    for _ in range(count):
        run_in_background(request(), "request")
    return results


def test_the_number_of_concurrent_requests_to_machines_is_limited():
    """A new leader announces itself to every machine; sending all at once would exceed the budget."""
    http, clock, budget = ControlledRequester(), ManualClock(), ConnectionBudget(320)
    limiter = ConcurrencyLimiter(http, clock, budget)
    results = send(limiter, budget.max_concurrent_commands + 5)
    assert len(http.pending) == budget.max_concurrent_commands == 20
    for response in http.pending[:2]:
        response.callback(ClientResponse(200, b""))
    assert len(http.pending) == 22
    # The last three requests time out in the queue, with an error that does not blame the machine.
    clock.advance(MAX_QUEUE_TIME)
    assert [type(result) for result in results] == [ClientResponse] * 2 + [ConnectionLimitError] * 3
    for response in http.pending[2:]:
        response.callback(ClientResponse(200, b""))
    assert len(results) == 25 and send(limiter, 20) == [] and len(http.pending) == 42


def test_idle_connections_are_closed_near_the_reserve_and_the_reserve_stays_free():
    http, budget = ControlledRequester(), ConnectionBudget(320)
    limiter = ConcurrencyLimiter(http, ManualClock(), budget)
    budget.open_connections = 239
    send(limiter, 1)
    http.pending.pop().callback(ClientResponse(200, b""))
    assert http.idle_close_calls == 0
    budget.open_connections = 240
    send(limiter, 1)
    http.pending.pop().callback(ClientResponse(200, b""))
    assert http.idle_close_calls == 1
    budget.open_connections = 280
    assert isinstance(send(limiter, 1)[0], ConnectionLimitError) and not http.pending
