"""Passes workers' reports on to the leader, many in one message.

Hundreds of reports come in a second. Each alone would cost the leader a message to take in and one to answer;
gathered for a moment they cost it little more than their reading.
"""

from collections.abc import Awaitable, Callable
from datetime import timedelta

from twisted.internet.defer import Deferred

from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import Clock

# A message between siblings is well below its limit with this, whatever the last report adds.
MAX_MESSAGE_BYTES = 256 * 1024

# Takes reports to the leader and brings back its answers, in order; None if it could not be reached.
SendToLeader = Callable[[list[bytes]], Awaitable[list[bytes | None] | None]]


class HeartbeatRelay:
    def __init__(self, clock: Clock, window: timedelta, carry: SendToLeader) -> None:
        self._clock = clock
        self._window = window
        self._send_to_leader = carry
        self._pending: list[tuple[bytes, Deferred[bytes | None]]] = []
        self._pending_bytes = 0
        self._timer: object | None = None

    async def send(self, report: bytes) -> bytes | None:
        """The leader's answer; nothing if there is none to be reached."""
        waiter: Deferred[bytes | None] = Deferred()
        self._pending.append((report, waiter))
        self._pending_bytes += len(report)
        if self._pending_bytes >= MAX_MESSAGE_BYTES:
            self._flush()
        elif self._timer is None:
            self._timer = self._clock.later(self._window, self._on_window_elapsed)
        return await waiter

    def _on_window_elapsed(self) -> None:
        self._timer = None
        self._flush()

    def _flush(self) -> None:
        gathered, self._pending, self._pending_bytes = self._pending, [], 0
        if gathered:
            run_in_background(self._relay(gathered), "relay")

    async def _relay(self, gathered: list[tuple[bytes, Deferred[bytes | None]]]) -> None:
        answers = None
        try:
            answers = await self._send_to_leader([report for report, _ in gathered])
        finally:
            if answers is None or len(answers) != len(gathered):
                answers = [None] * len(gathered)
            for (_, waiter), answer in zip(gathered, answers, strict=True):
                waiter.callback(answer)
