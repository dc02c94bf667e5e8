"""What a controller does on the events of its peer network."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from spindleglade.leadership.peer_messages import PeerHeartbeat


class ForwardedResponse(Protocol):
    """The HTTP response to a forwarded user request."""

    status: int
    body: bytes
    retry_after: int | None


@dataclass(frozen=True, slots=True)
class PeerHandlers:
    """The functions that a peer network calls."""

    # Makes a heartbeat: an acknowledgement if it is given the revision of the peer that sent one.
    make_heartbeat: Callable[[int | None], PeerHeartbeat]
    # Answers relayed heartbeats of workers; None if this controller does not lead.
    on_relayed_heartbeats: Callable[[list[bytes]], list[bytes] | None]
    # Serves a forwarded user request, given its method, path and body.
    on_forwarded_request: Callable[[str, str, bytes], Awaitable[ForwardedResponse]]
    # Observes a peer's heartbeat and, if it is an acknowledgement, when the acknowledged one was sent.
    on_heartbeat: Callable[[PeerHeartbeat, timedelta | None], None]
    # Called with the name of a peer whose process seems to have ended.
    on_peer_process_ended: Callable[[str], None]
