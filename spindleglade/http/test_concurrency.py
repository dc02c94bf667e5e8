"""The limit on requests that are under way at a time, and the reserve of connections."""

from twisted.internet.defer import Deferred

from spindleglade.http.client import ClientResponse
from spindleglade.http.concurrency import MAX_QUEUE_TIME, ConcurrencyLimiter
from spindleglade.http.connection_budget import ConnectionBudget
from spindleglade.http.errors import ConnectionLimitError
from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import ManualClock


class SlowRequester:
    """Responds when the test says so."""

    def __init__(self):
        self.waiting = []
        self.closings = 0

    async def request(self, method, address, path, body=None, timeout=None):
        self.waiting.append(Deferred())
        return await self.waiting[-1]

    def close_idle_connections(self):
        self.closings += 1


def send(limiter, count):
    """Sends so many requests; the list of their results fills as they end."""
    results = []

    async def request():
        try:
            results.append(await limiter.request("POST", "m:1", "/orders"))
        except ConnectionLimitError as error:
            results.append(error)

    for _ in range(count):
        run_in_background(request(), "request")
    return results


def test_only_so_many_requests_to_machines_are_under_way():
    """After a change of leader every machine is sent the new leader; all at once would exceed the budget."""
    http, clock, budget = SlowRequester(), ManualClock(), ConnectionBudget(320)
    limiter = ConcurrencyLimiter(http, clock, budget)
    results = send(limiter, budget.max_concurrent_commands + 5)
    assert len(http.waiting) == budget.max_concurrent_commands == 20
    for waiter in http.waiting[:2]:
        waiter.callback(ClientResponse(200, b""))
    assert len(http.waiting) == 22
    # The other three are given up, with an error that says nothing about the machine.
    clock.advance(MAX_QUEUE_TIME)
    assert [type(result) for result in results] == [ClientResponse] * 2 + [ConnectionLimitError] * 3
    for waiter in http.waiting[2:]:
        waiter.callback(ClientResponse(200, b""))
    assert len(results) == 25 and send(limiter, 20) == [] and len(http.waiting) == 42


def test_the_reserve_stays_free_and_nothing_idle_is_kept_near_it():
    http, budget = SlowRequester(), ConnectionBudget(320)
    limiter = ConcurrencyLimiter(http, ManualClock(), budget)
    budget.open = 239
    send(limiter, 1)
    http.waiting.pop().callback(ClientResponse(200, b""))
    assert http.closings == 0
    budget.open = 240
    send(limiter, 1)
    http.waiting.pop().callback(ClientResponse(200, b""))
    assert http.closings == 1
    budget.open = 280
    assert isinstance(send(limiter, 1)[0], ConnectionLimitError) and not http.waiting
