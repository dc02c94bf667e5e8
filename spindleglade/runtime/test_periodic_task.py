"""Loops that survive what breaks in a pass."""

import logging

import pytest

from spindleglade.runtime.clock import ZERO, ManualClock, seconds, sleep
from spindleglade.runtime.periodic_task import (
    MAX_FAILURE_PAUSE,
    MAX_PASS_DURATION,
    STALLED_AFTER_FAILURES,
    PeriodicTask,
)

EVERY = seconds(1)


class Passes:
    """Counts passes; each does what `does` says."""

    def __init__(self, does, waits_first=False):
        self.clock, self.times, self._does = ManualClock(), [], does
        self.loop = PeriodicTask(
            self.clock, "counting", self._one, lambda: sleep(self.clock, EVERY), waits_first
        )
        self.loop.start()

    async def _one(self):
        self.times.append(self.clock.now())
        await self._does(len(self.times))


async def nothing(number):
    pass


async def breaks(number):
    raise ValueError("always")


def test_passes_follow_one_another_until_the_loop_is_stopped():
    passes = Passes(nothing)
    passes.clock.advance(seconds(2.5))
    passes.loop.stop()
    passes.clock.advance(seconds(9))
    assert passes.times == [ZERO, EVERY, EVERY * 2]
    assert passes.loop.stall_reason is None


def test_a_loop_may_wait_before_its_first_pass():
    passes = Passes(nothing, waits_first=True)
    passes.clock.advance(seconds(1))
    assert passes.times == [EVERY]


def test_a_pass_that_breaks_is_logged_with_its_trace_and_the_loop_goes_on(caplog):
    async def breaks_twice(number):
        if number <= 2:
            raise ValueError("once or twice")

    passes = Passes(breaks_twice)
    passes.clock.advance(seconds(5))
    assert len(passes.times) >= 4
    assert passes.loop.stall_reason is None
    assert [bool(record.exc_info) for record in caplog.records] == [True, False]
    assert all(record.levelno == logging.ERROR for record in caplog.records)


def test_a_loop_that_only_breaks_has_stalled_and_is_tried_less_often():
    passes = Passes(breaks)
    passes.clock.advance(seconds(60))
    assert len(passes.times) > STALLED_AFTER_FAILURES
    assert passes.times[-1] - passes.times[-2] == MAX_FAILURE_PAUSE
    assert "always" in passes.loop.stall_reason


def test_a_loop_that_works_again_has_not_stalled():
    async def breaks_at_first(number):
        if number <= STALLED_AFTER_FAILURES:
            raise ValueError("at first")

    passes = Passes(breaks_at_first)
    passes.clock.advance(seconds(60))
    assert passes.loop.stall_reason is None


@pytest.mark.parametrize("lasts, stalled", [(MAX_PASS_DURATION - seconds(1), False), (seconds(1000), True)])
def test_a_pass_that_does_not_come_back_has_stalled(lasts, stalled):
    passes = Passes(lambda number: sleep(passes.clock, lasts), waits_first=True)
    passes.clock.advance(EVERY + MAX_PASS_DURATION + seconds(0.5))
    assert (passes.loop.stall_reason is not None) == stalled
