"""Each node's share of the state service's two rates.

The limits hold for all nodes together. A node cannot see what the others use, so each keeps to a fixed
share; urgent requests (leases, submissions, aborts, proofs for users) may overdraw it, since the burst the
service allows covers them, and ordinary ones then wait the longer.
"""

from datetime import timedelta

from spindleglade.runtime.clock import Clock


class TokenBucket:
    def __init__(self, clock: Clock, rate: float, burst: float) -> None:
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = clock.now()

    def _refill(self) -> None:
        now = self._clock.now()
        self._tokens = min(self._burst, self._tokens + (now - self._refilled_at).total_seconds() * self._rate)
        self._refilled_at = now

    def set_rate(self, rate: float, burst: float) -> None:
        """Another rate from now on; what was saved up beyond the new burst is lost."""
        self._refill()
        self._rate, self._burst = rate, burst
        self._tokens = min(self._tokens, burst)

    @property
    def spare(self) -> float:
        """What may be spent now without reaching into the half kept for what others wait for."""
        self._refill()
        return self._tokens - self._burst / 2

    def spend(self, amount: float = 1.0) -> None:
        """Urgent: taken at once, down to one whole burst in debt."""
        self._refill()
        self._tokens = max(-self._burst, self._tokens - amount)

    def reserve(self, amount: float = 1.0) -> timedelta:
        """Ordinary: taken now, to be used only after the delay returned."""
        self._refill()
        self._tokens -= amount
        return timedelta(seconds=max(0.0, -self._tokens / self._rate))
