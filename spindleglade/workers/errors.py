"""Errors of the worker protocol."""


class WorkerProtocolError(Exception):
    """Base of all errors that this package raises."""


class StaleTokenError(WorkerProtocolError):
    """A machine has acknowledged a later leader, by a higher token than this leader's."""

    def __init__(self, machine: str, token: int, own_token: int) -> None:
        super().__init__(f"machine {machine} has acknowledged token {token}, above this leader's {own_token}")
        self.machine = machine
        self.token = token
        self.own_token = own_token
