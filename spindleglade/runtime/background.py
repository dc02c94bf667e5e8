"""Coroutines that run beside the others. One that breaks is logged, and its owner told."""

import logging
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred

from spindleglade.runtime.clock import Clock

log = logging.getLogger("spindleglade")


def run_in_background(
    work: Coroutine[Any, Any, Any], what: str, broken: Callable[[str], None] | None = None
) -> Deferred[Any]:
    def failed(failure: Any) -> None:
        log.error("%s broke: %s", what, failure.getTraceback())
        if broken is not None:
            broken(f"{what} broke")

    return ensureDeferred(work).addErrback(failed)


def run_forever(clock: Clock, make: Callable[[], Coroutine[Any, Any, Any]], what: str) -> None:
    """A loop that the node cannot do without: if it breaks it begins again, a second later."""
    run_in_background(
        make(), what, lambda _: clock.later(timedelta(seconds=1), run_forever, clock, make, what)
    )
