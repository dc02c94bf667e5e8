"""Coroutines that run beside the others in the reactor's thread."""

import logging
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred

from spindleglade.runtime.clock import Clock

log = logging.getLogger("spindleglade")

# How long after its failure a coroutine of `run_forever` begins again.
RESTART_DELAY = timedelta(seconds=1)


def run_in_background(
    work: Coroutine[Any, Any, Any], name: str, on_failed: Callable[[str], None] | None = None
) -> Deferred[Any]:
    """Starts a coroutine at once and returns without waiting for its end.

    An exception that it raises is logged with its traceback, and `on_failed` is called with the reason. The
    result fires with what the coroutine returns, None if it raised. To be called in the reactor's thread.
    """

    def handle_failure(failure: Any) -> None:
        log.error("background task failed name=%s reason=%s", name, failure.getTraceback())
        if on_failed is not None:
            on_failed(f"{name} failed")

    return ensureDeferred(work).addErrback(handle_failure)


def run_forever(clock: Clock, start: Callable[[], Coroutine[Any, Any, Any]], name: str) -> None:
    """Runs a loop that the controller cannot do without.

    `start` makes the coroutine. If it raises, that is logged, and it is started again after RESTART_DELAY; if
    it returns, that is the end. To be called in the reactor's thread.
    """

    def restart_later(_: str) -> None:
        clock.later(RESTART_DELAY, run_forever, clock, start, name)

    run_in_background(start(), name, restart_later)
