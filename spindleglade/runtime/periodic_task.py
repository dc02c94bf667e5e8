"""A loop of the leader that survives whatever breaks in one of its passes.

The recorder and the fleet's loops used to end for good at their first unexpected error, while the leader that
they belonged to went on renewing its lease: no start was recorded, or no machine rented, for as long as that
node led. A loop now logs the error, pauses, and goes on; its health tells the leader when that does not help.
"""

import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta

from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import Clock, seconds, sleep

log = logging.getLogger("spindleglade")

# The pause after a pass that broke, for each that broke in a row, and the longest.
FAILURE_PAUSE = seconds(0.5)
MAX_FAILURE_PAUSE = seconds(5)
# A loop has stalled if so many of its passes broke in a row, or one has been under way for so long.
STALLED_AFTER_FAILURES = 6
MAX_PASS_DURATION = seconds(30)


class PeriodicTask:
    """Calls `one_pass` again and again; between two passes, and with `waits_first` before the first one, it
    waits for `until_next`."""

    def __init__(
        self,
        clock: Clock,
        name: str,
        one_pass: Callable[[], Awaitable[None]],
        until_next: Callable[[], Awaitable[None]],
        waits_first: bool = False,
    ) -> None:
        self._clock = clock
        self._name = name
        self._run_pass = one_pass
        self._wait_for_next = until_next
        self._waits_first = waits_first
        self._stopped = False
        # When the pass under way began.
        self._pass_started_at: timedelta | None = None
        # Passes that broke since one did not, and the latest error.
        self._failures = 0
        self._error: str | None = None

    def start(self) -> None:
        """Begins the first pass."""
        run_in_background(self._run(), self._name)

    def stop(self) -> None:
        """No further pass begins."""
        self._stopped = True

    @property
    def stall_reason(self) -> str | None:
        """Why the loop gets nothing done, if so."""
        if self._failures >= STALLED_AFTER_FAILURES:
            return f"{self._name} broke {self._failures} times in a row: {self._error}"
        if (
            self._pass_started_at is not None
            and self._clock.now() - self._pass_started_at > MAX_PASS_DURATION
        ):
            return f"{self._name} has not come back since {self._clock.now() - self._pass_started_at}"
        return None

    async def _run(self) -> None:
        if self._waits_first:
            await self._wait_for_next()
        while not self._stopped:
            self._pass_started_at = self._clock.now()
            try:
                await self._run_pass()
                self._failures = 0
            except Exception as error:
                self._on_pass_failed(error)
            self._pass_started_at = None
            if self._stopped:
                return
            if self._failures:
                await sleep(self._clock, min(FAILURE_PAUSE * self._failures, MAX_FAILURE_PAUSE))
            else:
                await self._wait_for_next()

    def _on_pass_failed(self, error: Exception) -> None:
        self._failures += 1
        known, self._error = self._error, repr(error)
        if self._failures == 1 or known != self._error:
            log.exception("loop broke and goes on loop=%s", self._name)
        else:
            log.error("loop broke again loop=%s times=%d", self._name, self._failures)
