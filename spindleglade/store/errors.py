"""Errors of the state service's client and of the replica.

Callers must tell two outcomes of a failed request apart: `NotAppliedError`, it was certainly not carried out,
and `OutcomeUnknownError`, it may have been, or may still be.
"""

from spindleglade.http.errors import ServiceRequestError


class StoreError(ServiceRequestError):
    """Base of all errors of this package."""


class NotAppliedError(StoreError):
    """The request was not carried out: refused, over the rate, or never sent."""

    default_reason = "not carried out"


class RateLimitedError(NotAppliedError):
    """The request exceeded one of the two rates (status 429)."""

    default_reason = "over the rate limit"


class ServiceUnavailableError(NotAppliedError):
    """The state service carries out nothing for this controller at present (status 503)."""

    default_reason = "state service unavailable"


class ValueTooLargeError(NotAppliedError):
    """A transaction, or a value in it, exceeds the size limit (status 400); never repeated unchanged."""

    default_reason = "value too large"


class OutcomeUnknownError(StoreError):
    """No usable response: carried out, not carried out, or carried out later."""

    default_reason = "outcome unknown"


class RevisionCompactedError(StoreError):
    """The changes after the requested revision are no longer kept: everything is to be read again."""

    default_reason = "revision compacted"


class LeaseExpiredError(StoreError):
    """The lease does not exist any more."""

    default_reason = "lease expired"


class StaleReplicaError(StoreError):
    """The replica could not be shown to be current."""

    default_reason = "replica may be stale"
