"""Tests that idle incoming connections are closed."""

import pytest
from twisted.internet.address import IPv4Address
from twisted.internet.testing import StringTransport

from spindleglade.http.connection_budget import ConnectionBudget
from spindleglade.http.server import HttpResponse, http_server
from spindleglade.runtime.clock import ManualClock, seconds


class Connection:
    """A client's connection to the server, over an in-memory transport."""

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


@pytest.mark.parametrize(("under_pressure", "user_idle_timeout"), [(False, 60), (True, 15)])
def test_idle_connections_are_closed(under_pressure, user_idle_timeout):
    """Machines that failed or are partitioned never close their connections."""

    async def handle(method, path, body):
        return HttpResponse(200, b"{}")

    clock, budget = ManualClock(), ConnectionBudget(320)
    server = http_server(handle, budget, clock, seconds(14))
    worker, user, active_worker = Connection(server), Connection(server), Connection(server)
    assert budget.open_connections == 3
    if under_pressure:
        budget.open_connections += 300
    worker.send(b"/v1/report")
    user.send(b"/submissions")
    clock.advance(seconds(13))
    active_worker.send(b"/v1/report")
    assert server.close_idle() == 0
    clock.advance(seconds(1.5))
    assert server.close_idle() == 1 and worker.closed and not active_worker.closed
    clock.advance(seconds(user_idle_timeout - 15))
    active_worker.send(b"/v1/report")
    assert server.close_idle() == 0
    clock.advance(seconds(1))
    assert server.close_idle() == 1 and user.closed and not active_worker.closed
    assert len(server.channels) == 1 and budget.open_connections == (301 if under_pressure else 1)
