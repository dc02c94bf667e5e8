"""The messages between controllers: msgpack arrays that begin with the name of the message type."""

import msgspec

from spindleglade.runtime.decoding import decode


class PeerHeartbeat(msgspec.Struct, tag="ping", array_like=True):
    """Sent to each peer at a fixed interval; the peer acknowledges it with a heartbeat of its own."""

    controller: str
    # The highest fencing token that the sender has observed.
    token: int
    # Whether the sender leads and has completed its recovery.
    leads: bool
    # Milliseconds since the sender's replica was last known to be current; None if it never was.
    replica_age_ms: int | None
    # The number of workers that send their heartbeats to the sender.
    workers: int = 0
    # Identifies the sender's process; it changes with each restart.
    process: str = ""
    # The store revision up to which the sender's replica contains all changes.
    revision: int = 0
    # In an acknowledgement, the cancelled jobs known to the sender, each with the mod_revision of its record.
    # Only records that changed after the revision in the acknowledged heartbeat are included. None if there
    # are too many of them, and in any other heartbeat.
    cancellations: list[tuple[str, int]] | None = None


class HeartbeatRelayRequest(msgspec.Struct, tag="relay", array_like=True):
    """Encoded heartbeats of workers that a follower has received and relays to the leader."""

    request_id: int
    heartbeats: list[bytes]


class HeartbeatRelayResponse(msgspec.Struct, tag="relayed", array_like=True):
    """The leader's encoded responses to relayed heartbeats, in the order of the heartbeats."""

    request_id: int
    # A response is empty if the worker's lease must not be renewed, for example because the machine no longer
    # belongs to the fleet. The field is None if the responding controller does not lead.
    responses: list[bytes] | None


class UserRequestForward(msgspec.Struct, tag="forward", array_like=True):
    """A user's HTTP request, forwarded because the sender cannot reach the store."""

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
