"""Tests of the messages between controllers: round trips, and the rejection of malformed data."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from spindleglade.leadership.peer_messages import (
    HeartbeatRelayRequest,
    HeartbeatRelayResponse,
    PeerHeartbeat,
    UserRequestForward,
    UserRequestForwardResponse,
    decode_message,
)

numbers = st.integers(0, (1 << 63) - 1)
messages = st.one_of(
    st.builds(
        PeerHeartbeat,
        st.text(),
        numbers,
        st.booleans(),
        st.none() | numbers,
        numbers,
        st.text(),
        numbers,
        st.none() | st.lists(st.tuples(st.text(), numbers)),
    ),
    st.builds(HeartbeatRelayRequest, numbers, st.lists(st.binary())),
    st.builds(HeartbeatRelayResponse, numbers, st.none() | st.lists(st.binary())),
    st.builds(UserRequestForward, numbers, st.text(), st.text(), st.binary()),
    st.builds(UserRequestForwardResponse, numbers, st.integers(100, 599), st.none() | numbers, st.binary()),
)


@given(messages)
def test_messages_decode_to_what_was_encoded(message):
    assert decode_message(msgspec.msgpack.encode(message)) == message


@given(st.binary(max_size=60))
def test_malformed_data_is_refused(data):
    try:
        decode_message(data)
    except msgspec.DecodeError:
        return
    # Data that decodes must be an array with as many items as one of the message types, the tag included.
    assert data[:1] in (b"\x92", b"\x93", b"\x94", b"\x95", b"\x96", b"\x97", b"\x98", b"\x99")


def test_a_message_nested_too_deeply_is_malformed():
    with pytest.raises(msgspec.DecodeError):
        decode_message(msgspec.msgpack.encode(["ping"])[:1] + b"\xa4ping" + b"\x91" * 100_000)


def test_a_heartbeat_of_an_older_version_decodes_without_cancellations():
    heartbeat = decode_message(msgspec.msgpack.encode(["ping", "node-1", 3, True, 12, 40]))
    assert (heartbeat.controller, heartbeat.workers) == ("node-1", 40)
    assert (heartbeat.process, heartbeat.cancellations) == ("", None)
