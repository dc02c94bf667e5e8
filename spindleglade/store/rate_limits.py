"""Which of the state service's rates are in force, and when a request may be sent under them.

The service may lower its rates at a moment that is not announced (`params.state.next`). A request refused
with status 429 is the only sign, so after one the lower rates are kept to for `LOWER_RATES_DURATION`.
"""

from datetime import timedelta

from spindleglade.runtime.clock import ZERO, Clock, sleep
from spindleglade.settings.platform import StateLimits
from spindleglade.store.token_bucket import TokenBucket

# Share of the service's writes per second that one controller may make. The leader makes nearly all of them;
# the rest is for submissions and cancellations at the other controllers.
LEADER_WRITE_SHARE = 0.7
# How many seconds' worth of writes may be saved up.
WRITE_BURST_S = 0.5
# How long the lower of the present and the announced rates are kept to after a request refused with 429.
LOWER_RATES_DURATION = timedelta(seconds=60)
# Requests of one kind that follow each other leave room for so many kinds within a controller's share.
REQUEST_KINDS = 3


class RateLimits:
    """One controller's share of the two rates of the state service, requests and writes per second."""

    def __init__(self, clock: Clock, limits: StateLimits, controllers: int) -> None:
        self._clock = clock
        self._limits = limits
        self._controllers = controllers
        # The limits whose rates are kept to at present.
        self._in_force = limits
        request_rate, write_rate = limits.rps / controllers, limits.write_rps * LEADER_WRITE_SHARE
        self._request_tokens = TokenBucket(clock, request_rate, request_rate)
        self._write_tokens = TokenBucket(clock, write_rate, write_rate * WRITE_BURST_S)
        # When the lower rates end, after a 429.
        self._lower_rates_until: timedelta | None = None
        # Until when ordinary requests wait, because a lease was not renewed.
        self._ordinary_paused_until = clock.now()

    @property
    def request_interval(self) -> timedelta:
        """Time between two requests of one kind that keeps them to a third of this controller's share."""
        self._apply_rates()
        return timedelta(seconds=REQUEST_KINDS * self._controllers / self._in_force.rps)

    @property
    def spare_writes(self) -> int:
        """Writes that may be made now and still leave room for more urgent ones."""
        self._apply_rates()
        return max(0, int(self._write_tokens.spare))

    def pause_ordinary_requests(self, duration: timedelta) -> None:
        """Makes ordinary requests wait for so long, so that the renewal of a lease goes before them."""
        self._ordinary_paused_until = max(self._ordinary_paused_until, self._clock.now() + duration)

    def on_rate_limited(self) -> None:
        """Applies the lower rates, after a request was refused with status 429."""
        self._lower_rates_until = self._clock.now() + LOWER_RATES_DURATION
        self._apply_rates()

    def spend_request(self) -> None:
        """Accounts for a request that is sent at once."""
        self._request_tokens.spend()

    def spend_transaction(self, writes: int) -> None:
        """Accounts for an urgent transaction, which is sent at once."""
        self._apply_rates()
        self._request_tokens.spend()
        self._write_tokens.spend(writes)

    async def wait_for_transaction(self, writes: int) -> None:
        """Waits until an ordinary transaction with so many writes may be sent."""
        self._apply_rates()
        paused = self._ordinary_paused_until - self._clock.now()
        delay = max(self._request_tokens.reserve(), self._write_tokens.reserve(writes), paused)
        if delay > ZERO:
            await sleep(self._clock, delay)

    async def wait_for_listing(self) -> None:
        """Waits while ordinary requests are paused, then accounts for the request of a page."""
        paused = self._ordinary_paused_until - self._clock.now()
        if paused > ZERO:
            await sleep(self._clock, paused)
        self._request_tokens.spend()

    def _apply_rates(self) -> None:
        lower = self._lower_rates_until is not None and self._clock.now() < self._lower_rates_until
        limits = self._limits.lowest if lower else self._limits
        if (limits.rps, limits.write_rps) == (self._in_force.rps, self._in_force.write_rps):
            return
        self._in_force = limits
        request_rate, write_rate = limits.rps / self._controllers, limits.write_rps * LEADER_WRITE_SHARE
        self._request_tokens.set_rate(request_rate, request_rate)
        self._write_tokens.set_rate(write_rate, write_rate * WRITE_BURST_S)
