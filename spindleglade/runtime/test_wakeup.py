"""Tests of waiting for a wakeup."""

from twisted.internet.defer import ensureDeferred

from spindleglade.runtime.wakeup import Wakeup


def start_waiting(wakeup):
    """Starts a wait; the returned list gets an entry when the wait ends."""
    ended = []
    ensureDeferred(wakeup.wait()).addCallback(lambda _: ended.append(True))
    return ended


def test_a_wait_ends_when_it_is_woken_and_not_before():
    wakeup = Wakeup()
    ended = start_waiting(wakeup)
    assert not ended
    wakeup.wake()
    assert ended


def test_a_wake_without_a_wait_is_not_remembered():
    wakeup = Wakeup()
    wakeup.wake()
    ended = start_waiting(wakeup)
    assert not ended
    wakeup.wake()
    wakeup.wake()
    assert ended == [True]
