"""Connections to peers: when they are up, what an acknowledgement proves, and how often they are opened."""

from twisted.internet.defer import ensureDeferred

from spindleglade.leadership.errors import PeerUnreachableError
from spindleglade.leadership.peer_connection import PeerConnection
from spindleglade.leadership.peer_handlers import PeerHandlers
from spindleglade.leadership.peer_messages import PeerHeartbeat, UserRequestForward
from spindleglade.runtime.clock import ManualClock, seconds
from spindleglade.settings.platform import Peer


class SilentProtocol:
    """A connection that takes what is sent and delivers nothing."""

    def __init__(self):
        self.sent = []
        self.transport = self

    def send(self, message):
        self.sent.append(message)

    def abortConnection(self):
        self.sent.clear()


def peer_connection(clock, on_connect):
    """A connection to a peer whose every attempt to connect succeeds; `on_connect` is called after each."""
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
    """A process that resumes after 20 s first reads what its peers sent before. That must not count as a
    proof that it still leads."""
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
    # Acknowledgements come in the order of the heartbeats; one more than there were proves nothing.
    connection._on_message(protocol, heartbeat)
    connection._on_message(protocol, heartbeat)
    assert connection.acknowledged_heartbeat_sent_at == seconds(1)
    # What an earlier connection still delivers acknowledges nothing that was sent over this one.
    clock.advance(seconds(0.5))
    connection._on_message(SilentProtocol(), heartbeat)
    assert connection.acknowledged_heartbeat_sent_at == seconds(1)


def test_a_connection_without_a_message_from_the_peer_is_not_up():
    """The system accepts connections for a process that is suspended. Messages received before must not
    count, or requests would be forwarded to it and wait for their timeout."""
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
    # One connection at a time, given up after four heartbeats.
    assert 30 <= len(protocols) <= 37
    # The first message over the present connection makes it up.
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
