"""Tests of connections to peers: when they are up, what acknowledgements prove, how often they are opened."""

from twisted.internet.defer import ensureDeferred

from spindleglade.leadership.errors import PeerUnreachableError
from spindleglade.leadership.peer_connection import PeerConnection
from spindleglade.leadership.peer_handlers import PeerHandlers
from spindleglade.leadership.peer_messages import PeerHeartbeat, UserRequestForward
from spindleglade.runtime.clock import ManualClock, seconds
from spindleglade.settings.platform import Peer


class SilentProtocol:
    """A connection that records sent messages and never delivers one."""

    def __init__(self):
        self.sent = []
        self.transport = self

    def send(self, message):
        self.sent.append(message)

    def abortConnection(self):
        self.sent.clear()


def peer_connection(clock, on_connect):
    """Creates a connection to a peer. Every attempt to connect succeeds, and then `on_connect` is called."""
    handlers = PeerHandlers(
        make_heartbeat=lambda revision: "heartbeat",
        on_relayed_heartbeats=lambda heartbeats: None,
        on_forwarded_request=lambda method, path, body: None,
        on_heartbeat=lambda heartbeat, sent_at: None,
        on_peer_process_ended=lambda peer: None,
    )
    connection = PeerConnection(None, clock, Peer("other", "a", "10.0.0.1:1"), seconds(0.5), handlers)

    async def connect(host, port):
        connection._connection = SilentProtocol()
        on_connect(connection)

    connection._connect = connect
    return connection


def test_an_acknowledgement_read_after_a_suspension_proves_no_leadership_since():
    """A process that resumes after a suspension of 20 s first reads messages that its peers sent before.
    These must not count as a proof that it still leads."""
    clock = ManualClock()
    connection = peer_connection(clock, lambda connection: None)
    heartbeat = PeerHeartbeat("other", 1, False, 0)
    connection.start()
    protocol = connection._connection
    clock.advance(seconds(0.1))
    connection._on_message(protocol, heartbeat)
    assert connection.acknowledged_heartbeat_sent_at == seconds(0)
    clock.advance(seconds(1))
    assert len(protocol.sent) == 3
    # The acknowledgement of the second heartbeat is read 20 s late, before any timer.
    clock._now += seconds(20)
    connection._on_message(protocol, heartbeat)
    assert connection.last_message_at == clock.now()
    assert connection.acknowledged_heartbeat_sent_at == seconds(0.5)
    # Acknowledgements arrive in the order of the heartbeats. One without an unacknowledged heartbeat is
    # ignored.
    connection._on_message(protocol, heartbeat)
    connection._on_message(protocol, heartbeat)
    assert connection.acknowledged_heartbeat_sent_at == seconds(1)
    # A message over an earlier connection does not acknowledge a heartbeat over the current one.
    clock.advance(seconds(0.5))
    connection._on_message(SilentProtocol(), heartbeat)
    assert connection.acknowledged_heartbeat_sent_at == seconds(1)


def test_a_connection_without_a_message_from_the_peer_is_not_up():
    """The operating system accepts connections for a suspended process. Messages over earlier connections
    must not count, or users' requests would be forwarded to that process and time out."""
    clock, protocols = ManualClock(), []
    connection = peer_connection(clock, lambda connection: protocols.append(connection._connection))
    connection.start()
    connection._on_message(connection._connection, PeerHeartbeat("other", 1, True, 0))
    assert connection.is_up
    clock.advance(seconds(2.5))
    for _ in range(70):
        clock.advance(seconds(1))
        assert not connection.is_up
    errors = []
    request = ensureDeferred(
        connection.request(
            lambda request_id: UserRequestForward(request_id, "GET", "/ready", b""), seconds(1)
        )
    )
    request.addErrback(lambda failure: errors.append(failure.type))
    assert errors == [PeerUnreachableError]
    # There is one connection at a time, and each is closed after four heartbeat intervals without a message.
    assert 30 <= len(protocols) <= 37
    # The connection is up again after the first message over it.
    connection._on_message(connection._connection, PeerHeartbeat("other", 1, False, 0))
    assert connection.is_up and not connection.last_heartbeat.leads


def test_a_peer_that_closes_each_connection_at_once_is_connected_to_once_a_heartbeat_interval():
    clock, attempts = ManualClock(), []

    def close(connection):
        attempts.append(clock.now())
        clock.later(seconds(0.001), connection._on_connection_lost)

    peer_connection(clock, close).start()
    clock.advance(seconds(10.1))
    assert len(attempts) == 21
