"""Keeps a log line that could come many times a second to once in a while."""

from datetime import timedelta

from spindleglade.runtime.clock import Clock


class LogThrottle:
    """Allows something at most once in `every`."""

    def __init__(self, clock: Clock, every: timedelta) -> None:
        self._clock = clock
        self._interval = every
        self._allowed_at: timedelta | None = None

    def allows(self) -> bool:
        """Whether it may be done now; if so, not again for a while."""
        now = self._clock.now()
        if self._allowed_at is not None and now - self._allowed_at < self._interval:
            return False
        self._allowed_at = now
        return True
