"""A periodic task of the leader that continues after an error in one of its passes.

If a task ended at an unexpected error while the leader kept renewing its lease, the task's work would not be
done for as long as the controller leads. The task therefore logs the error, pauses and continues. If passes
keep failing or a pass hangs, `stall_reason` reports it, so that the leader can resign.
"""

import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta

from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import Clock, seconds, sleep

log = logging.getLogger("spindleglade")

# After a failed pass the task pauses for FAILURE_PAUSE times the number of consecutive failed passes, but for
# MAX_FAILURE_PAUSE at most.
FAILURE_PAUSE = seconds(0.5)
MAX_FAILURE_PAUSE = seconds(5)
# Number of consecutive failed passes after which a task has stalled.
STALLED_AFTER_FAILURES = 6
# A task has also stalled while one pass takes longer than this.
MAX_PASS_DURATION = seconds(30)


class PeriodicTask:
    """Calls `run_pass` repeatedly in the reactor's thread, one pass at a time.

    It awaits `wait_for_next` between two passes, and before the first pass if `waits_first` is set. `name` is
    used in log lines and in `stall_reason`.
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
        # Time at which the current pass began; None between passes.
        self._pass_started_at: timedelta | None = None
        # Failed passes since the last successful one, and the error of the latest failed pass.
        self._consecutive_failures = 0
        self._latest_error: str | None = None

    def start(self) -> None:
        """Starts the first pass, or the wait before it. Must be called only once."""
        run_in_background(self._run(), self._name)

    def stop(self) -> None:
        """Prevents further passes. A pass that is running is not interrupted."""
        self._stopped = True

    @property
    def stall_reason(self) -> str | None:
        """Why the task has stalled, as text; None if it has not."""
        if self._consecutive_failures >= STALLED_AFTER_FAILURES:
            return f"{self._name} failed {self._consecutive_failures} times in a row: {self._latest_error}"
        if self._pass_started_at is None:
            return None
        duration = self._clock.now() - self._pass_started_at
        if duration > MAX_PASS_DURATION:
            return f"a pass of {self._name} has been running for {duration}, longer than {MAX_PASS_DURATION}"
        return None

    async def _run(self) -> None:
        if self._waits_first:
            await self._wait_for_next()
        while not self._stopped:
            self._pass_started_at = self._clock.now()
            try:
                await self._run_pass()
                self._consecutive_failures = 0
            except Exception as error:  # noqa: BLE001  (the task must continue after any error of a pass)
                self._on_pass_failed(error)
            self._pass_started_at = None
            if self._stopped:
                return
            if self._consecutive_failures:
                await sleep(self._clock, min(FAILURE_PAUSE * self._consecutive_failures, MAX_FAILURE_PAUSE))
            else:
                await self._wait_for_next()

    def _on_pass_failed(self, error: Exception) -> None:
        """Logs the traceback of a new error, and a line without traceback if the same error repeats."""
        self._consecutive_failures += 1
        previous_error, self._latest_error = self._latest_error, repr(error)
        if self._consecutive_failures == 1 or previous_error != self._latest_error:
            log.exception("loop failed and goes on loop=%s", self._name)
        else:
            log.error("loop failed again loop=%s failures=%d", self._name, self._consecutive_failures)
