"""Errors of requests to the cloud.

Callers must tell two outcomes of a failed request apart: `CloudRequestRejectedError`, it was certainly not
carried out, and `CloudTimeoutError`, it may have been, or may still be.
"""


class CloudError(Exception):
    """Base of all errors of requests to the cloud.

    Attributes:
        reason: Why it failed, for people.
        operation: The request that failed, such as "POST /hosts"; None if unknown.
        status: The HTTP status that the cloud answered; None if there was no answer.
    """

    default_reason = "failed"

    def __init__(
        self, reason: str | None = None, operation: str | None = None, status: int | None = None
    ) -> None:
        self.reason = reason or self.default_reason
        self.operation = operation
        self.status = status
        super().__init__(self._message())

    def _message(self) -> str:
        message = self.reason if self.operation is None else f"{self.operation}: {self.reason}"
        return message if self.status is None else f"{message} (status {self.status})"


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
