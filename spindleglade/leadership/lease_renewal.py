"""Renews the leader's lease and determines when the next renewal is due."""

import logging
from datetime import timedelta

from spindleglade.leadership.term import Term
from spindleglade.store.client import StateClient
from spindleglade.store.errors import NotAppliedError, OutcomeUnknownError, RateLimitedError

log = logging.getLogger("spindleglade.leadership")

# The shares of the lease TTL after which the lease is renewed, and after which a failed renewal is retried.
# When the store rate-limits requests, two rejections in a row are common, and sixteen are not.
RENEWAL_SHARE = 1 / 4
RETRY_SHARE = 1 / 16
# How long ordinary requests pause after a rate-limited renewal, in retry delays. The pause includes the next
# retry, so that it is not rate-limited too.
PAUSE_RETRY_DELAYS = 2


class LeaseRenewer:
    """Renews the lease of a term."""

    def __init__(self, client: StateClient, lease_ttl: timedelta) -> None:
        self._client = client
        self._retry_delay = lease_ttl * RETRY_SHARE
        # The delay between a successful renewal and the next one.
        self.renewal_interval = lease_ttl * RENEWAL_SHARE

    async def renew(self, term: Term) -> timedelta:
        """Renews the lease and returns the delay until the next renewal or retry.

        Raises LeaseExpiredError if the lease has expired.
        """
        try:
            await self._client.keep_alive(term.lease)
        except (NotAppliedError, OutcomeUnknownError) as error:
            # The leader does not step down. In an outage of the store no other controller can be elected. If
            # the store refuses only this controller, another one may be elected, but then the condition on
            # the leader key makes this controller's writes fail.
            log.info("lease not renewed token=%d reason=%s", term.token, error)
            if isinstance(error, RateLimitedError):
                self._client.pause_ordinary_requests(self._retry_delay * PAUSE_RETRY_DELAYS)
            return self._retry_delay
        return self.renewal_interval
