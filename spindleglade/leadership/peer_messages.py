"""The messages between controllers: msgpack arrays that begin with the name of their kind."""

import msgspec

from spindleglade.runtime.decoding import decode


class PeerHeartbeat(msgspec.Struct, tag="ping", array_like=True):
    """Sent to each peer at a fixed interval, and sent back by the peer as the acknowledgement."""

    controller: str
    # The highest leadership token that the sender knows.
    token: int
    leads: bool
    # Milliseconds since the sender's replica was last known to be current; None if it never was.
    replica_age_ms: int | None
    # Workers that send their heartbeats to the sender.
    workers: int = 0
    # Identifies the sender's process; it differs after each restart.
    process: str = ""
    # The revision of the store up to which the sender has seen all changes.
    revision: int = 0
    # In an acknowledgement only: the cancelled jobs that its sender knows of whose records changed after the
    # receiver's revision, each with its mod_revision. None if there are too many of them.
    cancellations: list[tuple[str, int]] | None = None


class HeartbeatRelayRequest(msgspec.Struct, tag="relay", array_like=True):
    """Heartbeats of workers, as they were received, for the leader to answer."""

    request_id: int
    heartbeats: list[bytes]


class HeartbeatRelayResponse(msgspec.Struct, tag="relayed", array_like=True):
    """The leader's responses to relayed heartbeats, as the workers are to receive them.

    A response is empty for a machine that does not belong to the fleet any more. There are no responses at
    all if the receiver of the request does not lead.
    """

    request_id: int
    responses: list[bytes] | None


class UserRequestForward(msgspec.Struct, tag="forward", array_like=True):
    """A user's HTTP request that the sender cannot serve because it cannot reach the store."""

    request_id: int
    method: str
    path: str
    body: bytes


class UserRequestForwardResponse(msgspec.Struct, tag="forwarded", array_like=True):
    """The HTTP response to a forwarded request."""

    request_id: int
    status: int
    retry_after: int | None
    body: bytes


Message = (
    PeerHeartbeat
    | HeartbeatRelayRequest
    | HeartbeatRelayResponse
    | UserRequestForward
    | UserRequestForwardResponse
)
Response = HeartbeatRelayResponse | UserRequestForwardResponse

_decoder = msgspec.msgpack.Decoder(Message)

encode_message = msgspec.msgpack.encode


def decode_message(data: bytes) -> Message:
    """Decodes one message. Raises msgspec.DecodeError if it is malformed."""
    return decode(_decoder.decode, data)
