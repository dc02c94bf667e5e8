"""Renews the leader's lease, and decides when the next renewal is due."""

import logging
from datetime import timedelta

from spindleglade.leadership.term import Term
from spindleglade.store.client import StateClient
from spindleglade.store.errors import NotAppliedError, OutcomeUnknownError, RateLimitedError

log = logging.getLogger("spindleglade.leadership")

# Shares of the lease after which it is renewed, and after which a failed renewal is tried again. Where the
# store rate-limits requests, two refusals in a row are common; sixteen are not.
RENEWAL_SHARE = 1 / 4
RETRY_SHARE = 1 / 16
# Retry delays for which ordinary requests pause after a rate-limited renewal, so that the retry gets through.
PAUSE_RETRY_DELAYS = 2


class LeaseRenewer:
    """Renews the lease of a term."""

    def __init__(self, client: StateClient, lease_ttl: timedelta) -> None:
        self._client = client
        self._retry_delay = lease_ttl * RETRY_SHARE
        # Between a successful renewal and the next.
        self.renewal_interval = lease_ttl * RENEWAL_SHARE

    async def renew(self, term: Term) -> timedelta:
        """Renews the lease, and returns the delay until the next renewal or retry.

        Raises LeaseExpiredError if the lease has expired.
        """
        try:
            await self._client.keep_alive(term.lease)
        except (NotAppliedError, OutcomeUnknownError) as error:
            # No reason to step down: in an outage of the store no other controller can lead either, and where
            # it refuses this controller alone, this controller's writes fail by their condition.
            log.info("lease not renewed token=%d reason=%s", term.token, error)
            if isinstance(error, RateLimitedError):
                self._client.pause_ordinary_requests(self._retry_delay * PAUSE_RETRY_DELAYS)
            return self._retry_delay
        return self.renewal_interval
