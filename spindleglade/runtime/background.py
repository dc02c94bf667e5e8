"""Runs coroutines in the background of the reactor's thread."""

import logging
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred

from spindleglade.runtime.clock import Clock

log = logging.getLogger("spindleglade")

# Delay between the failure of a coroutine in `run_forever` and its restart.
RESTART_DELAY = timedelta(seconds=1)


def run_in_background(
    coroutine: Coroutine[Any, Any, Any], name: str, on_failed: Callable[[str], None] | None = None
) -> Deferred[Any]:
    """Starts a coroutine immediately and returns without waiting for its result.

    If the coroutine raises, the exception is logged with its traceback and `on_failed` is called with the
    reason as text. The returned Deferred fires with the coroutine's result, or None if it raised. Must be
    called in the reactor's thread.
    """

    def handle_failure(failure: Any) -> None:
        log.error("background task failed name=%s reason=%s", name, failure.getTraceback())
        if on_failed is not None:
            on_failed(f"{name} failed")

    return ensureDeferred(coroutine).addErrback(handle_failure)


def run_forever(clock: Clock, make_coroutine: Callable[[], Coroutine[Any, Any, Any]], name: str) -> None:
    """Runs a coroutine that the controller cannot do without in the background, and restarts it if it raises.

    `make_coroutine` creates the coroutine for each start. An exception is logged, and the next start follows
    after RESTART_DELAY. A coroutine that returns is not restarted. Must be called in the reactor's thread.
    """

    def restart_later(_: str) -> None:
        clock.later(RESTART_DELAY, run_forever, clock, make_coroutine, name)

    run_in_background(make_coroutine(), name, restart_later)
