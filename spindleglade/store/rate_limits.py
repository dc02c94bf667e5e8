"""The rate limits of the state service that are in force, and when they allow a request.

The service may lower its limits to announced values (`params.state.next`) at an unannounced time. The only
sign is a request refused with status 429, so after each of them the lower limits are used for
`LOWER_RATES_DURATION`.
"""

from datetime import timedelta

from spindleglade.runtime.clock import ZERO, Clock, sleep
from spindleglade.settings.platform import StateLimits
from spindleglade.store.token_bucket import TokenBucket

# The share of the service's limit on writes per second that a single controller may use. The leader makes
# nearly all writes. The remaining share is for submissions and cancellations handled by other controllers.
LEADER_WRITE_SHARE = 0.7
# The burst of writes, as seconds of writes at the full rate.
WRITE_BURST_S = 0.5
# How long the lower of the present and the announced limits are used after a request refused with status 429.
LOWER_RATES_DURATION = timedelta(seconds=60)
# Requests of one kind are spaced so that they use at most 1/REQUEST_KINDS of a controller's share.
REQUEST_KINDS = 3


class RateLimits:
    """One controller's share of the state service's two rate limits: requests and writes per second."""

    def __init__(self, clock: Clock, limits: StateLimits, controllers: int) -> None:
        self._clock = clock
        self._limits = limits
        self._controllers = controllers
        # The limits that are in force at present, as far as this controller knows.
        self._limits_in_force = limits
        request_rate, write_rate = limits.rps / controllers, limits.write_rps * LEADER_WRITE_SHARE
        self._request_tokens = TokenBucket(clock, request_rate, request_rate)
        self._write_tokens = TokenBucket(clock, write_rate, write_rate * WRITE_BURST_S)
        # Until when the lower limits are used after a response with status 429; None before the first.
        self._lower_rates_until: timedelta | None = None
        # Until when ordinary requests wait because the renewal of a lease has failed.
        self._ordinary_paused_until = clock.now()

    @property
    def request_interval(self) -> timedelta:
        """Time between two requests of one kind that limits them to a third of this controller's share."""
        self._apply_rates()
        return timedelta(seconds=REQUEST_KINDS * self._controllers / self._limits_in_force.rps)

    @property
    def spare_writes(self) -> int:
        """The number of writes that may be made now while leaving a reserve for urgent requests."""
        self._apply_rates()
        return max(0, int(self._write_tokens.spare))

    def pause_ordinary_requests(self, duration: timedelta) -> None:
        """Delays ordinary requests for this duration, to give priority to the renewal of a lease."""
        self._ordinary_paused_until = max(self._ordinary_paused_until, self._clock.now() + duration)

    def on_rate_limited(self) -> None:
        """Switches to the lower limits after a request was refused with status 429."""
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
        """Waits until an ordinary transaction with this number of writes may be sent."""
        self._apply_rates()
        pause_left = self._ordinary_paused_until - self._clock.now()
        delay = max(self._request_tokens.reserve(), self._write_tokens.reserve(writes), pause_left)
        if delay > ZERO:
            await sleep(self._clock, delay)

    async def wait_for_listing(self) -> None:
        """Waits while ordinary requests are paused, then accounts for the request of one page."""
        pause_left = self._ordinary_paused_until - self._clock.now()
        if pause_left > ZERO:
            await sleep(self._clock, pause_left)
        self._request_tokens.spend()

    def _apply_rates(self) -> None:
        """Sets the token buckets to the limits that are in force now, if they have changed."""
        use_lowest_rates = self._lower_rates_until is not None and self._clock.now() < self._lower_rates_until
        limits = self._limits.lowest if use_lowest_rates else self._limits
        if (limits.rps, limits.write_rps) == (self._limits_in_force.rps, self._limits_in_force.write_rps):
            return
        self._limits_in_force = limits
        request_rate, write_rate = limits.rps / self._controllers, limits.write_rps * LEADER_WRITE_SHARE
        self._request_tokens.set_rate(request_rate, request_rate)
        self._write_tokens.set_rate(write_rate, write_rate * WRITE_BURST_S)
