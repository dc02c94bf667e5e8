"""Rate limit for log lines that could otherwise be written many times a second."""

from datetime import timedelta

from spindleglade.runtime.clock import Clock


class LogThrottle:
    """Allows one log line per interval."""

    def __init__(self, clock: Clock, interval: timedelta) -> None:
        self._clock = clock
        self._interval = interval
        # Time at which a line was last allowed; None before the first one.
        self._last_allowed_at: timedelta | None = None

    def allows(self) -> bool:
        """Returns whether the line may be written now. If so, the next one is allowed after the interval."""
        now = self._clock.now()
        if self._last_allowed_at is not None and now - self._last_allowed_at < self._interval:
            return False
        self._last_allowed_at = now
        return True
