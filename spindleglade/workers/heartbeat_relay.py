"""Relays workers' heartbeats to the leader, many in one message.

Hundreds of heartbeats arrive per second. Relayed one by one, each would cost the leader one message received
and one sent. Relayed in batches, they cost it little more than their decoding.
"""

from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta
from typing import NamedTuple

from twisted.internet.defer import Deferred

from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import Clock

# A batch is relayed as soon as it has this size. However large its last heartbeat is, the message then stays
# well below the size limit between controllers.
FLUSH_THRESHOLD_BYTES = 256 * 1024

# Sends heartbeats to the leader and returns its responses in the same order; None if the leader could not be
# reached. A response is empty if the leader does not renew the lease.
SendToLeader = Callable[[list[bytes]], Awaitable[Sequence[bytes | None] | None]]


class PendingHeartbeat(NamedTuple):
    """An encoded heartbeat and the deferred response to it."""

    body: bytes
    response: Deferred[bytes | None]


class HeartbeatRelay:
    """Gathers heartbeats for a short window and relays them in one message."""

    def __init__(self, clock: Clock, window: timedelta, send_to_leader: SendToLeader) -> None:
        self._clock = clock
        self._window = window
        self._send_to_leader = send_to_leader
        self._pending: list[PendingHeartbeat] = []
        self._pending_bytes = 0
        self._timer: object | None = None

    async def send(self, heartbeat: bytes) -> bytes | None:
        """Relays a heartbeat and returns the leader's response; None if the leader cannot be reached."""
        response: Deferred[bytes | None] = Deferred()
        self._pending.append(PendingHeartbeat(heartbeat, response))
        self._pending_bytes += len(heartbeat)
        if self._pending_bytes >= FLUSH_THRESHOLD_BYTES:
            self._flush()
        elif self._timer is None:
            self._timer = self._clock.later(self._window, self._on_window_elapsed)
        return await response

    def _on_window_elapsed(self) -> None:
        self._timer = None
        self._flush()

    def _flush(self) -> None:
        batch, self._pending, self._pending_bytes = self._pending, [], 0
        if batch:
            run_in_background(self._relay(batch), "heartbeat relay")

    async def _relay(self, batch: list[PendingHeartbeat]) -> None:
        responses = None
        try:
            responses = await self._send_to_leader([heartbeat.body for heartbeat in batch])
        finally:
            if responses is None or len(responses) != len(batch):
                responses = [None] * len(batch)
            for heartbeat, response in zip(batch, responses, strict=True):
                heartbeat.response.callback(response)
