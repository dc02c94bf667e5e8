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


class Slow:
    """Answers when told."""

    def __init__(self):
        self.waiting = []
        self.let_gone = 0

    async def request(self, method, address, path, body=None, timeout=None):
        self.waiting.append(Deferred())
        return await self.waiting[-1]

    def close_idle_connections(self):
        self.let_gone += 1


def asked(turns, count):
    results = []

    async def ask():
        try:
            results.append(await turns.request("POST", "m:1", "/orders"))
        except ConnectionLimitError as error:
            results.append(error)

    for _ in range(count):
        run_in_background(ask(), "asking")
    return results


def test_only_so_many_messages_to_machines_are_under_way():
    """After a change of leader every machine is greeted, at once with more than there are sockets."""
    http, clock, sockets = Slow(), ManualClock(), ConnectionBudget(320)
    turns = ConcurrencyLimiter(http, clock, sockets)
    results = asked(turns, sockets.max_concurrent_commands + 5)
    assert len(http.waiting) == sockets.max_concurrent_commands == 20
    for waiter in http.waiting[:2]:
        waiter.callback(ClientResponse(200, b""))
    assert len(http.waiting) == 22
    # The other three are given up, and say that it was not the machine's fault.
    clock.advance(MAX_QUEUE_TIME)
    assert [type(result) for result in results] == [ClientResponse] * 2 + [ConnectionLimitError] * 3
    for waiter in http.waiting[2:]:
        waiter.callback(ClientResponse(200, b""))
    assert len(results) == 25 and asked(turns, 20) == [] and len(http.waiting) == 42


def test_the_reserve_is_left_alone_and_nothing_idle_is_kept_near_it():
    http, sockets = Slow(), ConnectionBudget(320)
    turns = ConcurrencyLimiter(http, ManualClock(), sockets)
    sockets.open = 239
    asked(turns, 1)
    http.waiting.pop().callback(ClientResponse(200, b""))
    assert http.let_gone == 0
    sockets.open = 240
    asked(turns, 1)
    http.waiting.pop().callback(ClientResponse(200, b""))
    assert http.let_gone == 1
    sockets.open = 280
    assert isinstance(asked(turns, 1)[0], ConnectionLimitError) and not http.waiting


def test_a_connection_counts_from_the_attempt_to_its_end():
    reactor, sockets = MemoryReactorClock(), ConnectionBudget(320)

    def connect():
        endpoint = _TrackedEndpoint(reactor, "10.0.0.1", 9000)
        endpoint.sockets = sockets
        found = endpoint.connect(Factory.forProtocol(Protocol))
        return found, reactor.tcpClients[-1][2]

    attempt, factory = connect()
    assert sockets.open == 1
    factory.clientConnectionFailed(None, OSError("refused"))
    assert sockets.open == 0
    attempt.addErrback(lambda failure: None)
    _, factory = connect()
    protocol = factory.buildProtocol(IPv4Address("TCP", "10.0.0.1", 9000))
    protocol.makeConnection(StringTransport())
    assert sockets.open == 1
    protocol.connectionLost(None)
    assert sockets.open == 0


class Peer:
    def __init__(self, front):
        self.transport = StringTransport()
        self.channel = front.buildProtocol(IPv4Address("TCP", "10.0.0.9", 1))
        self.channel.makeConnection(self.transport)

    def send(self, path):
        self.channel.dataReceived(b"POST " + path + b" HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}")

    @property
    def closed(self):
        if self.transport.disconnected:
            self.channel.connectionLost(None)
            return True
        return False


@pytest.mark.parametrize(("crowded", "users_idle"), [(False, 60), (True, 15)])
def test_connections_that_nobody_uses_are_closed(crowded, users_idle):
    """Machines that died or are cut off never tell; their connections used to stay for good."""

    async def handle(method, path, body):
        return HttpResponse(200, b"{}")

    clock, sockets = ManualClock(), ConnectionBudget(320)
    front = http_server(handle, sockets, clock, seconds(14))
    worker, user, fresh = Peer(front), Peer(front), Peer(front)
    assert sockets.open == 3
    if crowded:
        sockets.open += 300
    worker.send(b"/v1/report")
    user.send(b"/submissions")
    clock.advance(seconds(13))
    fresh.send(b"/v1/report")
    assert front.close_idle() == 0
    clock.advance(seconds(1.5))
    assert front.close_idle() == 1 and worker.closed and not fresh.closed
    clock.advance(seconds(users_idle - 15))
    fresh.send(b"/v1/report")
    assert front.close_idle() == 0
    clock.advance(seconds(1))
    assert front.close_idle() == 1 and user.closed and not fresh.closed
    assert len(front.channels) == 1 and sockets.open == (301 if crowded else 1)
