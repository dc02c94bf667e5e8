"""The callbacks by which a peer network passes its events to the controller."""

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
    """The callbacks of a peer network."""

    # Creates a heartbeat. The argument is the revision in the heartbeat that it acknowledges; None if the new
    # heartbeat is not an acknowledgement.
    make_heartbeat: Callable[[int | None], PeerHeartbeat]
    # Returns the responses to relayed heartbeats of workers; None if this controller does not lead.
    on_relayed_heartbeats: Callable[[list[bytes]], list[bytes] | None]
    # Serves a forwarded user request; the arguments are its method, path and body.
    on_forwarded_request: Callable[[str, str, bytes], Awaitable[ForwardedResponse]]
    # Observes a peer's heartbeat. The second argument is when the heartbeat that it acknowledges was sent;
    # None if it is not an acknowledgement.
    on_heartbeat: Callable[[PeerHeartbeat, timedelta | None], None]
    # Called with the name of a peer whose process appears to have ended.
    on_peer_process_ended: Callable[[str], None]
