"""Tests of periodic tasks: passes and waits, errors in a pass, and stalls."""

import logging

import pytest

from spindleglade.runtime.clock import ZERO, ManualClock, seconds, sleep
from spindleglade.runtime.periodic_task import (
    MAX_FAILURE_PAUSE,
    MAX_PASS_DURATION,
    STALLED_AFTER_FAILURES,
    PeriodicTask,
)

INTERVAL = seconds(1)


class CountedPasses:
    """A periodic task that records the start time of each pass and calls `action` with the pass number."""

    def __init__(self, action, waits_first=False):
        self.clock, self.times, self._action = ManualClock(), [], action
        self.loop = PeriodicTask(
            self.clock, "counting", self._run_pass, lambda: sleep(self.clock, INTERVAL), waits_first
        )
        self.loop.start()

    async def _run_pass(self):
        self.times.append(self.clock.now())
        await self._action(len(self.times))


async def do_nothing(number):
    pass


async def fail(number):
    raise ValueError("always")


def test_passes_follow_one_another_until_the_loop_is_stopped():
    passes = CountedPasses(do_nothing)
    passes.clock.advance(seconds(2.5))
    passes.loop.stop()
    passes.clock.advance(seconds(9))
    assert passes.times == [ZERO, INTERVAL, INTERVAL * 2]
    assert passes.loop.stall_reason is None


def test_a_loop_may_wait_before_its_first_pass():
    passes = CountedPasses(do_nothing, waits_first=True)
    passes.clock.advance(seconds(1))
    assert passes.times == [INTERVAL]


def test_a_failed_pass_is_logged_with_its_traceback_and_the_loop_goes_on(caplog):
    async def fail_twice(number):
        if number <= 2:
            raise ValueError("once or twice")

    passes = CountedPasses(fail_twice)
    passes.clock.advance(seconds(5))
    assert len(passes.times) >= 4
    assert passes.loop.stall_reason is None
    assert [bool(record.exc_info) for record in caplog.records] == [True, False]
    assert all(record.levelno == logging.ERROR for record in caplog.records)


def test_a_loop_whose_passes_all_fail_has_stalled_and_is_retried_less_often():
    passes = CountedPasses(fail)
    passes.clock.advance(seconds(60))
    assert len(passes.times) > STALLED_AFTER_FAILURES
    assert passes.times[-1] - passes.times[-2] == MAX_FAILURE_PAUSE
    assert "always" in passes.loop.stall_reason


def test_a_loop_that_works_again_has_not_stalled():
    async def fail_at_first(number):
        if number <= STALLED_AFTER_FAILURES:
            raise ValueError("at first")

    passes = CountedPasses(fail_at_first)
    passes.clock.advance(seconds(60))
    assert passes.loop.stall_reason is None


@pytest.mark.parametrize(
    ("duration", "stalled"), [(MAX_PASS_DURATION - seconds(1), False), (seconds(1000), True)]
)
def test_a_loop_with_a_pass_that_does_not_return_has_stalled(duration, stalled):
    passes = CountedPasses(lambda number: sleep(passes.clock, duration), waits_first=True)
    passes.clock.advance(INTERVAL + MAX_PASS_DURATION + seconds(0.5))
    assert (passes.loop.stall_reason is not None) == stalled
