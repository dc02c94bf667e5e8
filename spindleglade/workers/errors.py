"""Errors of the worker protocol."""


class WorkerProtocolError(Exception):
    """Base class of the errors that this package raises."""


class StaleTokenError(WorkerProtocolError):
    """A machine has acknowledged the token of a later leader, which is above this leader's last token."""

    def __init__(self, machine: str, token: int, own_token: int) -> None:
        super().__init__(f"machine {machine} has acknowledged token {token}, above this leader's {own_token}")
        self.machine = machine
        self.token = token
        self.own_token = own_token
