"""The one source of time: everything in the package takes a Clock instead of asking the system.

`now` is steady time since the process started; `utc` is the time of day, used only for log lines.
"""

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


class ManualClock:
    """A clock for tests: time moves only by `advance`, timers run in order."""

    def __init__(self) -> None:
        from twisted.internet.task import Clock as TwistedClock

        self.twisted = TwistedClock()

    def now(self) -> timedelta:
        return timedelta(seconds=self.twisted.seconds())

    def utc(self) -> datetime:
        return datetime(2026, 1, 1, tzinfo=UTC) + self.now()

    def later(self, delay: timedelta, call: Callable[..., Any], *args: Any) -> Any:
        return self.twisted.callLater(max(0.0, delay.total_seconds()), call, *args)

    def advance(self, delay: timedelta) -> None:
        self.twisted.advance(delay.total_seconds())


async def sleep(clock: Clock, delay: timedelta) -> None:
    from twisted.internet.defer import Deferred

    waiter: Deferred[None] = Deferred()
    clock.later(delay, waiter.callback, None)
    await waiter
