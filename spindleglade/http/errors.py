"""Errors of outgoing requests, and the base of those that the clients of a service raise."""


class NoResponseError(Exception):
    """The request got no response: it may have been carried out, or may still be, later.

    Base of all errors of this package.

    Attributes:
        reason: Why there is no response, for people.
        operation: What failed, such as "POST /txn"; None if unknown.

    """

    def __init__(self, reason: str = "no response", operation: str | None = None) -> None:
        self.reason = reason
        self.operation = operation
        super().__init__(reason if operation is None else f"{operation}: {reason}")


class NotSentError(NoResponseError):
    """The connection was never made, so the request cannot have been carried out, now or later."""


class ConnectionLimitError(NotSentError):
    """This process has no connection to spare, which says nothing about the other side."""


class ServiceRequestError(Exception):
    """Base of the errors that the clients of the state service and of the cloud raise.

    Attributes:
        reason: Why it failed, for people.
        operation: The request that failed and what it was about, such as "get sg/leader"; None if unknown.
        status: The HTTP status that the service answered; None if there was no answer.

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
