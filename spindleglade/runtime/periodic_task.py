"""A loop of the leader that survives an error in one of its passes.

A loop that ended at an unexpected error while its leader went on renewing the lease would leave that work
undone for as long as the controller leads. So a loop logs the error, pauses and goes on; whether it has
stalled tells the leader when that does not help.
"""

import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta

from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import Clock, seconds, sleep

log = logging.getLogger("spindleglade")

# The pause after a pass that failed, for each that failed in a row, and the longest.
FAILURE_PAUSE = seconds(0.5)
MAX_FAILURE_PAUSE = seconds(5)
# A loop has stalled if so many of its passes failed in a row, or one has been under way for so long.
STALLED_AFTER_FAILURES = 6
MAX_PASS_DURATION = seconds(30)


class PeriodicTask:
    """Calls `run_pass` again and again in the reactor's thread, one pass at a time.

    Between two passes, and with `waits_first` before the first one, it waits for `wait_for_next`. `name` is
    for the log.
    """

    def __init__(
        self,
        clock: Clock,
        name: str,
        run_pass: Callable[[], Awaitable[None]],
        wait_for_next: Callable[[], Awaitable[None]],
        waits_first: bool = False,
    ) -> None:
        self._clock = clock
        self._name = name
        self._run_pass = run_pass
        self._wait_for_next = wait_for_next
        self._waits_first = waits_first
        self._stopped = False
        # When the pass under way began.
        self._pass_started_at: timedelta | None = None
        # Passes that failed since one did not, and the latest error.
        self._failures = 0
        self._error: str | None = None

    def start(self) -> None:
        """Begins the first pass, or the wait before it; to be called once."""
        run_in_background(self._run(), self._name)

    def stop(self) -> None:
        """Lets no further pass begin; one under way comes to its end."""
        self._stopped = True

    @property
    def stall_reason(self) -> str | None:
        """Why the loop gets nothing done; None if it does."""
        if self._failures >= STALLED_AFTER_FAILURES:
            return f"{self._name} failed {self._failures} times in a row: {self._error}"
        if self._pass_started_at is None:
            return None
        duration = self._clock.now() - self._pass_started_at
        if duration > MAX_PASS_DURATION:
            return f"{self._name} has been under way for {duration}"
        return None

    async def _run(self) -> None:
        if self._waits_first:
            await self._wait_for_next()
        while not self._stopped:
            self._pass_started_at = self._clock.now()
            try:
                await self._run_pass()
                self._failures = 0
            except Exception as error:  # noqa: BLE001  (a task survives whatever fails in one pass)
                self._on_pass_failed(error)
            self._pass_started_at = None
            if self._stopped:
                return
            if self._failures:
                await sleep(self._clock, min(FAILURE_PAUSE * self._failures, MAX_FAILURE_PAUSE))
            else:
                await self._wait_for_next()

    def _on_pass_failed(self, error: Exception) -> None:
        """Logs the traceback of a new error, and that alone of one that repeats."""
        self._failures += 1
        previous, self._error = self._error, repr(error)
        if self._failures == 1 or previous != self._error:
            log.exception("loop failed and goes on loop=%s", self._name)
        else:
            log.error("loop failed again loop=%s failures=%d", self._name, self._failures)
