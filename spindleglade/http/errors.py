"""Errors of outgoing requests, and the base class of the errors of the service clients."""


class NoResponseError(Exception):
    """The request got no response: the server may have executed it, or may still execute it later.

    Base class of all errors that a Requester raises.

    Attributes:
        reason: Why there is no response, as text for log lines.
        operation: The request that failed, such as "POST /txn"; None if unknown.

    """

    def __init__(self, reason: str = "no response", operation: str | None = None) -> None:
        self.reason = reason
        self.operation = operation
        super().__init__(reason if operation is None else f"{operation}: {reason}")


class NotSentError(NoResponseError):
    """The request was never sent, so the server cannot have executed it and never will."""


class ConnectionLimitError(NotSentError):
    """The request was not sent because of this process's own limits; the server may be healthy."""


class ServiceRequestError(Exception):
    """Base class of the errors that the clients of the state service and of the cloud raise.

    Attributes:
        reason: Why the request failed, as text for log lines.
        operation: The request that failed and its subject, such as "get sg/leader"; None if unknown.
        status: The HTTP status of the service's response; None if there was no response.

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
