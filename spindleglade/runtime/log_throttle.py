"""Limits how often a log line that could come many times a second is written."""

from datetime import timedelta

from spindleglade.runtime.clock import Clock


class LogThrottle:
    """Allows something at most once per interval."""

    def __init__(self, clock: Clock, interval: timedelta) -> None:
        self._clock = clock
        self._interval = interval
        # When it was last allowed; None before the first time.
        self._allowed_at: timedelta | None = None

    def allows(self) -> bool:
        """Whether the line may be written now; if so, not again before the interval has passed."""
        now = self._clock.now()
        if self._allowed_at is not None and now - self._allowed_at < self._interval:
            return False
        self._allowed_at = now
        return True
