"""Token bucket for a controller's share of one rate limit of a service.

The limit holds for all controllers together. A controller cannot see what its peers use, so each controller
keeps to a fixed share. Urgent requests (leases, submissions, cancellations, catch-ups for users) may put the
bucket in debt, because the burst that the service allows covers them. Ordinary requests wait until the debt
is paid off.
"""

from datetime import timedelta

from spindleglade.runtime.clock import Clock


class TokenBucket:
    """Gains `rate` tokens per second, up to `burst`. The number of tokens may be negative."""

    def __init__(self, clock: Clock, rate: float, burst: float) -> None:
        """Creates a bucket with `burst` tokens."""
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = clock.now()

    def set_rate(self, rate: float, burst: float) -> None:
        """Sets the rate and the burst from now on. Tokens beyond the new burst are lost."""
        self._refill()
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    @property
    def spare(self) -> float:
        """Tokens that may be spent now while leaving half a burst for urgent requests; may be negative."""
        self._refill()
        return self._tokens - self._burst / 2

    def spend(self, amount: float = 1.0) -> None:
        """Takes tokens for an urgent request, which is sent at once. The debt is limited to one burst."""
        self._refill()
        self._tokens = max(-self._burst, self._tokens - amount)

    def reserve(self, amount: float = 1.0) -> timedelta:
        """Takes tokens for an ordinary request, and returns the delay after which it may be sent."""
        self._refill()
        self._tokens -= amount
        return timedelta(seconds=max(0.0, -self._tokens / self._rate))

    def _refill(self) -> None:
        now = self._clock.now()
        self._tokens = min(self._burst, self._tokens + (now - self._refilled_at).total_seconds() * self._rate)
        self._refilled_at = now
