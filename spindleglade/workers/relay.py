"""Passes workers' reports on to the leader, many in one message.

Hundreds of reports come in a second. Each alone would cost the leader a message to take in and one to answer;
gathered for a moment they cost it little more than their reading.
"""

from collections.abc import Awaitable, Callable
from datetime import timedelta

from twisted.internet.defer import Deferred

from spindleglade.clock import Clock
from spindleglade.tasks import spawn

# A message between siblings is well below its limit with this, whatever the last report adds.
MOST_BYTES = 256 * 1024

# Takes reports to the leader and brings back its answers, in order; None if it could not be reached.
Carry = Callable[[list[bytes]], Awaitable[list[bytes | None] | None]]


class Relays:
    def __init__(self, clock: Clock, window: timedelta, carry: Carry) -> None:
        self._clock = clock
        self._window = window
        self._carry = carry
        self._gathered: list[tuple[bytes, Deferred[bytes | None]]] = []
        self._bytes = 0
        self._timer: object | None = None

    async def send(self, report: bytes) -> bytes | None:
        """The leader's answer; nothing if there is none to be reached."""
        waiter: Deferred[bytes | None] = Deferred()
        self._gathered.append((report, waiter))
        self._bytes += len(report)
        if self._bytes >= MOST_BYTES:
            self._go()
        elif self._timer is None:
            self._timer = self._clock.later(self._window, self._due)
        return await waiter

    def _due(self) -> None:
        self._timer = None
        self._go()

    def _go(self) -> None:
        gathered, self._gathered, self._bytes = self._gathered, [], 0
        if gathered:
            spawn(self._take(gathered), "relay")

    async def _take(self, gathered: list[tuple[bytes, Deferred[bytes | None]]]) -> None:
        answers = None
        try:
            answers = await self._carry([report for report, _ in gathered])
        finally:
            if answers is None or len(answers) != len(gathered):
                answers = [None] * len(gathered)
            for (_, waiter), answer in zip(gathered, answers, strict=True):
                waiter.callback(answer)
