"""Clocks and timers. All code of the package reads the time from a Clock, so that tests can control it."""

import heapq
import time
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from typing import Any, Protocol

from twisted.internet.defer import Deferred

ZERO = timedelta(0)


def seconds(value: float) -> timedelta:
    """Converts a number of seconds to a duration."""
    return timedelta(seconds=value)


class Clock(Protocol):
    """Time and timers. May be used only in the reactor's thread."""

    def now(self) -> timedelta:
        """Returns the monotonic time since the clock was created."""
        ...

    def utc(self) -> datetime:
        """Returns the wall-clock time. It may jump, so it is only for records and log lines, not to measure
        durations."""
        ...

    def later(self, delay: timedelta, callback: Callable[..., Any], *args: Any) -> Any:
        """Calls `callback` with `args` after `delay`, or in the next reactor iteration if it is not positive.

        Returns a timer with `cancel()` and `active()`, which is true until the timer fires or is cancelled.
        """
        ...


class ReactorClock:
    """The system's clock, with timers of the Twisted reactor.

    Twisted's timers use the wall clock by default, which drifts and jumps on the machines. The reactor is
    therefore set to use the monotonic clock too.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        reactor.seconds = time.monotonic
        self._started_at = time.monotonic()

    def now(self) -> timedelta:
        """See Clock."""
        return timedelta(seconds=time.monotonic() - self._started_at)

    def utc(self) -> datetime:
        """See Clock."""
        return datetime.now(UTC)

    def later(self, delay: timedelta, callback: Callable[..., Any], *args: Any) -> Any:
        """See Clock."""
        return self._reactor.callLater(max(0.0, delay.total_seconds()), callback, *args)


class ManualClock:
    """A clock for tests. Time passes only in `advance`, which fires the timers in order of their due times.

    The timers are kept in a heap because the test of a whole fleet has thousands of them.
    """

    def __init__(self) -> None:
        self._now = ZERO
        # Heap of (due time, sequence number, timer). The sequence number keeps timers that are due at the
        # same time in the order of their creation.
        self._timers: list[tuple[timedelta, int, _Timer]] = []
        self._timer_count = 0

    def now(self) -> timedelta:
        """See Clock. Starts at zero."""
        return self._now

    def utc(self) -> datetime:
        """See Clock. Starts at 2026-01-01 00:00."""
        return datetime(2026, 1, 1, tzinfo=UTC) + self.now()

    def later(self, delay: timedelta, callback: Callable[..., Any], *args: Any) -> Any:
        """See Clock."""
        timer = _Timer(callback, args)
        self._timer_count += 1
        heapq.heappush(self._timers, (self._now + max(ZERO, delay), self._timer_count, timer))
        return timer

    def advance(self, duration: timedelta) -> None:
        """Advances the time by `duration` and fires all timers due by then, including those set meanwhile."""
        end = self._now + duration
        while self._timers and self._timers[0][0] <= end:
            due_at, _, timer = heapq.heappop(self._timers)
            self._now = max(self._now, due_at)
            timer.fire()
        self._now = end


class _Timer:
    """A timer of ManualClock."""

    def __init__(self, callback: Callable[..., Any], args: tuple[Any, ...]) -> None:
        # None once the timer has fired or been cancelled.
        self._callback: Callable[..., Any] | None = callback
        self._args = args

    def active(self) -> bool:
        return self._callback is not None

    def cancel(self) -> None:
        self._callback = None

    def fire(self) -> None:
        callback, self._callback = self._callback, None
        if callback is not None:
            callback(*self._args)


async def sleep(clock: Clock, delay: timedelta) -> None:
    """Suspends the calling coroutine for `delay` without blocking the reactor's thread."""
    waiter: Deferred[None] = Deferred()
    clock.later(delay, waiter.callback, None)
    await waiter
