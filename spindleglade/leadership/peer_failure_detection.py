"""Detects that a peer is silent or that its process has ended, from the messages exchanged with it."""

from collections import deque
from datetime import timedelta

from twisted.internet.error import ConnectionRefusedError as TcpConnectionRefusedError

from spindleglade.runtime.clock import Clock

# The time without a message after which a peer counts as silent, in heartbeat intervals.
SILENCE_LIMIT_INTERVALS = 4
# A peer's process is assumed to have ended if the peer closes a connection and refuses a new one within this
# many heartbeat intervals.
PROCESS_END_INTERVALS = 2


class PeerFailureDetector:
    """Records when messages were exchanged with one peer, and derives the peer's state from that."""

    def __init__(self, clock: Clock, heartbeat_interval: timedelta) -> None:
        self._clock = clock
        self._silence_limit = heartbeat_interval * SILENCE_LIMIT_INTERVALS
        self._process_end_limit = heartbeat_interval * PROCESS_END_INTERVALS
        # When the latest message over the current connection arrived; None before the first. An established
        # connection does not show that the peer runs: the operating system accepts connections for a
        # suspended process too.
        self.last_message_at: timedelta | None = None
        # When the heartbeat that the peer acknowledged last was sent; None before the first. A message that
        # this process reads after a suspension may be old, and it was sent no earlier than the heartbeat that
        # it acknowledges.
        self.acknowledged_heartbeat_sent_at: timedelta | None = None
        # When each unacknowledged heartbeat was sent. Acknowledgements arrive in the order of the heartbeats.
        self._unacknowledged_sent_at: deque[timedelta] = deque()
        self._connected_at: timedelta | None = None
        self._closed_at: timedelta | None = None

    @property
    def received_recently(self) -> bool:
        """Whether the peer has recently sent a message over the current connection."""
        return self._is_recent(self.last_message_at)

    @property
    def acknowledged_recently(self) -> bool:
        """Whether the peer has acknowledged a heartbeat that was sent recently."""
        return self._is_recent(self.acknowledged_heartbeat_sent_at)

    @property
    def is_silent(self) -> bool:
        """Whether the current connection has been open for the silence limit without a recent message."""
        return not self._is_recent(
            self._connected_at if self.last_message_at is None else self.last_message_at
        )

    def on_connected(self) -> None:
        """Records that a new connection is established."""
        self._connected_at = self._clock.now()
        self.last_message_at = None
        self._unacknowledged_sent_at.clear()

    def on_heartbeat_sent(self) -> None:
        """Records that a heartbeat is sent."""
        self._unacknowledged_sent_at.append(self._clock.now())

    def on_message(self) -> None:
        """Records that a message of any type was received."""
        self.last_message_at = self._clock.now()

    def on_acknowledgement(self) -> timedelta | None:
        """Records an acknowledgement and returns when the acknowledged heartbeat was sent.

        Returns None if no heartbeat is unacknowledged.
        """
        if not self._unacknowledged_sent_at:
            return None
        self.acknowledged_heartbeat_sent_at = self._unacknowledged_sent_at.popleft()
        return self.acknowledged_heartbeat_sent_at

    def on_closed_by_peer(self) -> None:
        """Records that the peer has closed the connection."""
        self._closed_at = self._clock.now()

    def has_process_ended(self, connect_error: Exception) -> bool:
        """Whether a failed attempt to connect shows that the peer's process has ended.

        This is the case if the peer has just closed the connection and now refuses a new one. Only the first
        attempt after the connection was closed can show it.
        """
        closed_at, self._closed_at = self._closed_at, None
        return (
            isinstance(connect_error, TcpConnectionRefusedError)
            and closed_at is not None
            and self._clock.now() - closed_at < self._process_end_limit
        )

    def _is_recent(self, at: timedelta | None) -> bool:
        return at is not None and self._clock.now() - at < self._silence_limit
