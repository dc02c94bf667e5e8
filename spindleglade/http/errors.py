"""Errors of outgoing requests: whether the request may have been carried out."""


class NoResponseError(Exception):
    """The request got no response: it may have been carried out, or may still be, later."""


class NotSentError(NoResponseError):
    """The connection was never made, so the request cannot have been carried out, now or later."""


class ConnectionLimitError(NotSentError):
    """This process has no connection to spare; it says nothing about the other side."""
