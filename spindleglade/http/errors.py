"""Errors of outgoing requests: whether the request may have been carried out."""


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
