"""The one source of time: everything in the package takes a Clock instead of asking the system."""

import heapq
import time
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from typing import Any, Protocol

from twisted.internet.defer import Deferred

ZERO = timedelta(0)


def seconds(value: float) -> timedelta:
    """A duration of so many seconds."""
    return timedelta(seconds=value)


class Clock(Protocol):
    """Time and timers, to be used in the reactor's thread alone."""

    def now(self) -> timedelta:
        """Monotonic time since the process started."""
        ...

    def utc(self) -> datetime:
        """The time of day. It may jump: only for records and log lines, never to measure a duration."""
        ...

    def later(self, delay: timedelta, call: Callable[..., Any], *args: Any) -> Any:
        """Calls `call` with `args` after `delay`, in the reactor's next iteration if that is not positive.

        Returns a timer with `active()` (it has neither fired nor been cancelled) and `cancel()`.
        """
        ...


class ReactorClock:
    """The real clock.

    Twisted's timers follow the time of day by default, which drifts and jumps on the machines, so the reactor
    is made to use the monotonic clock as well.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        reactor.seconds = time.monotonic
        self._start = time.monotonic()

    def now(self) -> timedelta:
        """See Clock."""
        return timedelta(seconds=time.monotonic() - self._start)

    def utc(self) -> datetime:
        """See Clock."""
        return datetime.now(UTC)

    def later(self, delay: timedelta, call: Callable[..., Any], *args: Any) -> Any:
        """See Clock."""
        return self._reactor.callLater(max(0.0, delay.total_seconds()), call, *args)


class ManualClock:
    """A clock for tests: time passes only in `advance`, which fires the timers in order.

    The timers are a heap, since the test of a whole fleet has thousands of them.
    """

    def __init__(self) -> None:
        self._now = ZERO
        # When each timer is due, and its number, which keeps timers of one instant in order.
        self._timers: list[tuple[timedelta, int, _Timer]] = []
        self._timer_count = 0

    def now(self) -> timedelta:
        """See Clock; zero at first."""
        return self._now

    def utc(self) -> datetime:
        """See Clock; the first of January 2026 at first."""
        return datetime(2026, 1, 1, tzinfo=UTC) + self.now()

    def later(self, delay: timedelta, call: Callable[..., Any], *args: Any) -> Any:
        """See Clock."""
        timer = _Timer(call, args)
        self._timer_count += 1
        heapq.heappush(self._timers, (self._now + max(ZERO, delay), self._timer_count, timer))
        return timer

    def advance(self, delay: timedelta) -> None:
        """Lets time pass, and fires the timers that become due, also those that others of them start."""
        end = self._now + delay
        while self._timers and self._timers[0][0] <= end:
            due_at, _, timer = heapq.heappop(self._timers)
            self._now = max(self._now, due_at)
            timer.fire()
        self._now = end


class _Timer:
    """A timer of the manual clock."""

    def __init__(self, call: Callable[..., Any], args: tuple[Any, ...]) -> None:
        # None once it has fired or been cancelled.
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


async def sleep(clock: Clock, delay: timedelta) -> None:
    """Suspends the calling coroutine for `delay`; other work of the reactor's thread goes on."""
    waiter: Deferred[None] = Deferred()
    clock.later(delay, waiter.callback, None)
    await waiter
