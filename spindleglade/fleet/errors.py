"""Errors of requests to the cloud.

Callers must distinguish two outcomes of a failed request. After a `CloudRequestRejectedError`, it was
certainly not carried out. After a `CloudTimeoutError`, it may have been carried out, or may still be.
"""

from spindleglade.http.errors import ServiceRequestError


class CloudError(ServiceRequestError):
    """Base of all errors of requests to the cloud."""


class CloudRequestRejectedError(CloudError):
    """The request was rejected or never sent, so it was not carried out."""

    default_reason = "not carried out"


class InsufficientCapacityError(CloudRequestRejectedError):
    """The cloud has no machine of the requested machine pool."""

    default_reason = "no capacity"


class CloudTimeoutError(CloudError):
    """There was no usable response. The request may have been carried out, or may still be."""

    default_reason = "outcome unknown"


class LeadershipUnprovenError(CloudError):
    """The request was not sent because the leadership could not be proven when it was about to be sent."""

    default_reason = "leadership unproven"
