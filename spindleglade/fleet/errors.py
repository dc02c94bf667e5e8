"""Errors of requests to the cloud.

Callers must tell two outcomes of a failed request apart: `CloudRequestRejectedError`, it was certainly not
carried out, and `CloudTimeoutError`, it may have been, or may still be.
"""

from spindleglade.http.errors import ServiceRequestError


class CloudError(ServiceRequestError):
    """Base of all errors of requests to the cloud."""


class CloudRequestRejectedError(CloudError):
    """The request was not carried out: refused, or never sent."""

    default_reason = "not carried out"


class InsufficientCapacityError(CloudRequestRejectedError):
    """The cloud has no machine of the requested machine pool."""

    default_reason = "no capacity"


class CloudTimeoutError(CloudError):
    """No usable answer: the request may have been carried out, or may still be."""

    default_reason = "outcome unknown"


class LeadershipUnprovenError(CloudError):
    """The request was not sent, since its caller could not prove its leadership when its turn came."""

    default_reason = "leadership unproven"
