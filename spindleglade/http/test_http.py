"""Connections: how many there may be, and which are closed."""

import pytest
from twisted.internet.address import IPv4Address
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.testing import MemoryReactorClock, StringTransport

from spindleglade.http.client import ClientResponse, _TrackedEndpoint
from spindleglade.http.concurrency import MAX_QUEUE_TIME, ConcurrencyLimiter
from spindleglade.http.connection_budget import ConnectionBudget
from spindleglade.http.errors import ConnectionLimitError
from spindleglade.http.server import HttpResponse, http_server
from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import ManualClock, seconds


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


def test_a_connection_counts_from_the_attempt_to_its_end():
    reactor, budget = MemoryReactorClock(), ConnectionBudget(320)

    def connect():
        endpoint = _TrackedEndpoint(reactor, "10.0.0.1", 9000, connection_budget=budget)
        connection = endpoint.connect(Factory.forProtocol(Protocol))
        return connection, reactor.tcpClients[-1][2]

    attempt, factory = connect()
    assert budget.open == 1
    factory.clientConnectionFailed(None, OSError("refused"))
    assert budget.open == 0
    attempt.addErrback(lambda failure: None)
    _, factory = connect()
    protocol = factory.buildProtocol(IPv4Address("TCP", "10.0.0.1", 9000))
    protocol.makeConnection(StringTransport())
    assert budget.open == 1
    protocol.connectionLost(None)
    assert budget.open == 0


class Connection:
    """A connection of a client to the server."""

    def __init__(self, server):
        self.transport = StringTransport()
        self.channel = server.buildProtocol(IPv4Address("TCP", "10.0.0.9", 1))
        self.channel.makeConnection(self.transport)

    def send(self, path):
        self.channel.dataReceived(b"POST " + path + b" HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}")

    @property
    def closed(self):
        if self.transport.disconnected:
            self.channel.connectionLost(None)
            return True
        return False


@pytest.mark.parametrize(("under_pressure", "user_idle_limit"), [(False, 60), (True, 15)])
def test_connections_that_nobody_uses_are_closed(under_pressure, user_idle_limit):
    """Machines that died or are partitioned never close theirs."""

    async def handle(method, path, body):
        return HttpResponse(200, b"{}")

    clock, budget = ManualClock(), ConnectionBudget(320)
    server = http_server(handle, budget, clock, seconds(14))
    worker, user, fresh = Connection(server), Connection(server), Connection(server)
    assert budget.open == 3
    if under_pressure:
        budget.open += 300
    worker.send(b"/v1/report")
    user.send(b"/submissions")
    clock.advance(seconds(13))
    fresh.send(b"/v1/report")
    assert server.close_idle() == 0
    clock.advance(seconds(1.5))
    assert server.close_idle() == 1 and worker.closed and not fresh.closed
    clock.advance(seconds(user_idle_limit - 15))
    fresh.send(b"/v1/report")
    assert server.close_idle() == 0
    clock.advance(seconds(1))
    assert server.close_idle() == 1 and user.closed and not fresh.closed
    assert len(server.channels) == 1 and budget.open == (301 if under_pressure else 1)
