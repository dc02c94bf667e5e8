"""Errors of the state service's client and of the replica.

Callers must distinguish two outcomes of a failed request: `NotAppliedError` if it was certainly not carried
out, and `OutcomeUnknownError` if it may have been, or may still be, carried out.
"""

from spindleglade.http.errors import ServiceRequestError


class StoreError(ServiceRequestError):
    """Base of all errors of this package."""


class NotAppliedError(StoreError):
    """The request was not carried out: it was refused, exceeded a rate limit, or was never sent."""

    default_reason = "not carried out"


class RateLimitedError(NotAppliedError):
    """The request exceeded the limit on requests or writes per second (status 429)."""

    default_reason = "over the rate limit"


class ServiceUnavailableError(NotAppliedError):
    """The state service carries out no requests of this controller at present (status 503)."""

    default_reason = "state service unavailable"


class ValueTooLargeError(NotAppliedError):
    """A transaction, or a value in it, exceeds a size limit (status 400). Never retried unchanged."""

    default_reason = "value too large"


class OutcomeUnknownError(StoreError):
    """There was no usable response: the request may have been carried out, or may still be."""

    default_reason = "outcome unknown"


class RevisionCompactedError(StoreError):
    """The store no longer keeps the changes after the requested revision: all keys must be listed again."""

    default_reason = "revision compacted"


class LeaseExpiredError(StoreError):
    """The lease has expired or was revoked."""

    default_reason = "lease expired"


class StaleReplicaError(StoreError):
    """The replica could not be confirmed to be current."""

    default_reason = "replica may be stale"
