"""Coroutines that run beside the others. One that breaks is logged, and its owner told."""

import logging
from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred

log = logging.getLogger("spindleglade")


def spawn(
    work: Coroutine[Any, Any, Any], what: str, broken: Callable[[str], None] | None = None
) -> Deferred[Any]:
    def failed(failure: Any) -> None:
        log.error("%s broke: %s", what, failure.getTraceback())
        if broken is not None:
            broken(f"{what} broke")

    return ensureDeferred(work).addErrback(failed)
