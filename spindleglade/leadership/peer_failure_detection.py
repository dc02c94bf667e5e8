"""Detects from the traffic with one peer that it is silent, or that its process has ended."""

from collections import deque
from datetime import timedelta

from twisted.internet.error import ConnectionRefusedError as TcpConnectionRefusedError

from spindleglade.runtime.clock import Clock

# Heartbeat intervals without a message after which a peer is taken to be silent.
SILENCE_LIMIT_INTERVALS = 4
# A peer's process is taken to have ended if a connection is refused within so many heartbeat intervals after
# the peer closed the one before.
PROCESS_END_INTERVALS = 2


class PeerFailureDetector:
    """Keeps the times of the messages exchanged with one peer, and what follows from them."""

    def __init__(self, clock: Clock, heartbeat_interval: timedelta) -> None:
        self._clock = clock
        self._silence_limit = heartbeat_interval * SILENCE_LIMIT_INTERVALS
        self._process_end_limit = heartbeat_interval * PROCESS_END_INTERVALS
        # When the peer last sent something over the present connection; None before its first message. An
        # established connection proves nothing: the system accepts it also for a process that is suspended.
        self.last_message_at: timedelta | None = None
        # When the heartbeat was sent that the peer last acknowledged. A message that is read after this
        # process was suspended may have been sent long before; this bounds its age.
        self.acknowledged_heartbeat_sent_at: timedelta | None = None
        # Send times of the heartbeats without an acknowledgement, which come in the order of the heartbeats.
        self._unacknowledged_sent_at: deque[timedelta] = deque()
        self._connected_at: timedelta | None = None
        self._closed_at: timedelta | None = None

    @property
    def received_recently(self) -> bool:
        """Whether the peer has lately sent something over the present connection."""
        return self._is_recent(self.last_message_at)

    @property
    def acknowledged_recently(self) -> bool:
        """Whether the peer has acknowledged a heartbeat that was sent lately."""
        return self._is_recent(self.acknowledged_heartbeat_sent_at)

    @property
    def is_silent(self) -> bool:
        """Whether the present connection has been open for the silence limit without a recent message."""
        return not self._is_recent(
            self._connected_at if self.last_message_at is None else self.last_message_at
        )

    def on_connected(self) -> None:
        """Begins to observe a new connection."""
        self._connected_at = self._clock.now()
        self.last_message_at = None
        self._unacknowledged_sent_at.clear()

    def on_heartbeat_sent(self) -> None:
        """Records that a heartbeat is sent."""
        self._unacknowledged_sent_at.append(self._clock.now())

    def on_message(self) -> None:
        """Records that a message of any kind was received."""
        self.last_message_at = self._clock.now()

    def on_acknowledgement(self) -> timedelta | None:
        """Records an acknowledgement, and returns when its heartbeat was sent; None if none is due."""
        if not self._unacknowledged_sent_at:
            return None
        self.acknowledged_heartbeat_sent_at = self._unacknowledged_sent_at.popleft()
        return self.acknowledged_heartbeat_sent_at

    def on_closed_by_peer(self) -> None:
        """Records that the peer's end has closed the connection."""
        self._closed_at = self._clock.now()

    def has_process_ended(self, connect_error: Exception) -> bool:
        """Whether a failed attempt to connect shows that the peer's process has ended.

        It does if the peer has just closed the connection and its port refuses a new one. Only the first
        attempt after the connection was closed can show this.
        """
        closed_at, self._closed_at = self._closed_at, None
        return (
            isinstance(connect_error, TcpConnectionRefusedError)
            and closed_at is not None
            and self._clock.now() - closed_at < self._process_end_limit
        )

    def _is_recent(self, at: timedelta | None) -> bool:
        return at is not None and self._clock.now() - at < self._silence_limit
