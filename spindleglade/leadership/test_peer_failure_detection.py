"""Tests of failure detection: when a peer counts as silent, and when its process counts as ended."""

import pytest
from twisted.internet.error import ConnectionRefusedError as TcpConnectionRefusedError
from twisted.internet.error import TimeoutError as TcpTimeoutError

from spindleglade.leadership.peer_failure_detection import PeerFailureDetector
from spindleglade.runtime.clock import ManualClock, seconds


@pytest.mark.parametrize(
    ("error", "delay_s", "ended"),
    [
        (TcpConnectionRefusedError(), 0.9, True),
        (TcpConnectionRefusedError(), 1.0, False),
        (TcpTimeoutError(), 0.1, False),
    ],
)
def test_a_process_has_ended_if_it_closed_its_connection_and_refuses_the_next(error, delay_s, ended):
    clock = ManualClock()
    detector = PeerFailureDetector(clock, seconds(0.5))
    assert not detector.has_process_ended(TcpConnectionRefusedError())
    detector.on_connected()
    detector.on_closed_by_peer()
    clock.advance(seconds(delay_s))
    assert detector.has_process_ended(error) == ended
    # Only the first attempt after the peer closed the connection can show that its process has ended.
    assert not detector.has_process_ended(TcpConnectionRefusedError())


def test_a_peer_is_silent_without_a_message_for_four_heartbeat_intervals():
    clock = ManualClock()
    detector = PeerFailureDetector(clock, seconds(0.5))
    detector.on_connected()
    clock.advance(seconds(1.9))
    assert not detector.is_silent and not detector.received_recently
    detector.on_message()
    clock.advance(seconds(1.9))
    assert not detector.is_silent and detector.received_recently
    clock.advance(seconds(0.1))
    assert detector.is_silent and not detector.received_recently


def test_a_new_connection_acknowledges_nothing_that_was_sent_over_the_one_before():
    clock = ManualClock()
    detector = PeerFailureDetector(clock, seconds(0.5))
    detector.on_connected()
    detector.on_heartbeat_sent()
    detector.on_connected()
    assert detector.on_acknowledgement() is None
    clock.advance(seconds(0.5))
    detector.on_heartbeat_sent()
    assert detector.on_acknowledgement() == clock.now() == detector.acknowledged_heartbeat_sent_at
