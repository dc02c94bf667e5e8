"""Tests that outgoing connections are counted in the connection budget."""

from twisted.internet.address import IPv4Address
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.testing import MemoryReactorClock, StringTransport

from spindleglade.http.client import _TrackedEndpoint
from spindleglade.http.connection_budget import ConnectionBudget


def test_a_connection_counts_from_the_attempt_to_its_end():
    reactor, budget = MemoryReactorClock(), ConnectionBudget(320)

    def connect():
        endpoint = _TrackedEndpoint(reactor, "10.0.0.1", 9000, connection_budget=budget)
        connection = endpoint.connect(Factory.forProtocol(Protocol))
        return connection, reactor.tcpClients[-1][2]

    attempt, factory = connect()
    assert budget.open_connections == 1
    factory.clientConnectionFailed(None, OSError("refused"))
    assert budget.open_connections == 0
    attempt.addErrback(lambda failure: None)
    _, factory = connect()
    protocol = factory.buildProtocol(IPv4Address("TCP", "10.0.0.1", 9000))
    protocol.makeConnection(StringTransport())
    assert budget.open_connections == 1
    protocol.connectionLost(None)
    assert budget.open_connections == 0
