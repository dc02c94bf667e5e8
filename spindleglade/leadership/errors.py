"""The errors of the leadership package."""


class LeadershipError(Exception):
    """Base of all errors of the leadership package."""


class PeerUnreachableError(LeadershipError):
    """A request to a peer was not sent, or no response to it arrived in time."""

    def __init__(self, peer: str, reason: str) -> None:
        super().__init__(f"request to controller {peer} failed: {reason}")
        self.peer = peer
        self.reason = reason
