"""The one source of time: everything in the package takes a Clock instead of asking the system.

`now` is steady time since the process started; `utc` is the time of day, used only for log lines.
"""

import heapq
import time
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from typing import Any, Protocol

ZERO = timedelta(0)


def seconds(value: float) -> timedelta:
    return timedelta(seconds=value)


class Clock(Protocol):
    def now(self) -> timedelta: ...

    def utc(self) -> datetime: ...

    def later(self, delay: timedelta, call: Callable[..., Any], *args: Any) -> Any:
        """Runs `call` after `delay`; the result has `active()` and `cancel()`."""


class ReactorClock:
    """The real clock. Twisted's timers follow the time of day unless told otherwise, and the time of day
    drifts and jumps on the machines, so the reactor is put on the steady clock as well."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        reactor.seconds = time.monotonic
        self._start = time.monotonic()

    def now(self) -> timedelta:
        return timedelta(seconds=time.monotonic() - self._start)

    def utc(self) -> datetime:
        return datetime.now(UTC)

    def later(self, delay: timedelta, call: Callable[..., Any], *args: Any) -> Any:
        return self._reactor.callLater(max(0.0, delay.total_seconds()), call, *args)


class _Timer:
    def __init__(self, call: Callable[..., Any], args: tuple[Any, ...]) -> None:
        self._call: Callable[..., Any] | None = call
        self._args = args

    def active(self) -> bool:
        return self._call is not None

    def cancel(self) -> None:
        self._call = None

    def fire(self) -> None:
        call, self._call = self._call, None
        if call is not None:
            call(*self._args)


class ManualClock:
    """A clock for tests: time moves only by `advance`, timers run in order. A heap, since the test of a whole
    fleet has thousands of timers."""

    def __init__(self) -> None:
        self._now = ZERO
        self._timers: list[tuple[timedelta, int, _Timer]] = []
        self._made = 0

    def now(self) -> timedelta:
        return self._now

    def utc(self) -> datetime:
        return datetime(2026, 1, 1, tzinfo=UTC) + self.now()

    def later(self, delay: timedelta, call: Callable[..., Any], *args: Any) -> Any:
        timer = _Timer(call, args)
        self._made += 1
        heapq.heappush(self._timers, (self._now + max(ZERO, delay), self._made, timer))
        return timer

    def advance(self, delay: timedelta) -> None:
        end = self._now + delay
        while self._timers and self._timers[0][0] <= end:
            at, _, timer = heapq.heappop(self._timers)
            self._now = max(self._now, at)
            timer.fire()
        self._now = end


async def sleep(clock: Clock, delay: timedelta) -> None:
    from twisted.internet.defer import Deferred

    waiter: Deferred[None] = Deferred()
    clock.later(delay, waiter.callback, None)
    await waiter
