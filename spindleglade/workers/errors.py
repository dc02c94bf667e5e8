"""Errors of the worker protocol."""


class WorkerProtocolError(Exception):
    """Base of all errors that this package raises."""


class StaleTokenError(WorkerProtocolError):
    """A worker has seen a higher token than this leader's."""

    def __init__(self, token: int) -> None:
        super().__init__(f"token {token}")
        self.token = token
