"""A controller's share of one of the rates that a service allows.

The limits hold for all controllers together. A controller cannot see what the others use, so each keeps to a
fixed share; urgent requests (leases, submissions, cancellations, catch-ups for users) may overdraw it, since
the burst that the service allows covers them, and ordinary ones then wait the longer.
"""

from datetime import timedelta

from spindleglade.runtime.clock import Clock


class TokenBucket:
    """Fills by `rate` tokens a second up to `burst`; may be in debt."""

    def __init__(self, clock: Clock, rate: float, burst: float) -> None:
        """The bucket is full at first."""
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = clock.now()

    def set_rate(self, rate: float, burst: float) -> None:
        """Changes rate and burst from now on; what was saved up beyond the new burst is lost."""
        self._refill()
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    @property
    def spare(self) -> float:
        """Tokens that may be spent now and leave half a burst for requests that others wait for."""
        self._refill()
        return self._tokens - self._burst / 2

    def spend(self, amount: float = 1.0) -> None:
        """Takes tokens for an urgent request, to be sent at once; the debt grows to one burst at most."""
        self._refill()
        self._tokens = max(-self._burst, self._tokens - amount)

    def reserve(self, amount: float = 1.0) -> timedelta:
        """Takes tokens for an ordinary request, which is to be sent only after the delay returned."""
        self._refill()
        self._tokens -= amount
        return timedelta(seconds=max(0.0, -self._tokens / self._rate))

    def _refill(self) -> None:
        now = self._clock.now()
        self._tokens = min(self._burst, self._tokens + (now - self._refilled_at).total_seconds() * self._rate)
        self._refilled_at = now
