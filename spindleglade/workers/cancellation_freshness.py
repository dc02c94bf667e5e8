"""How long what a node knows of cancellations is enough to keep work alive or to start it."""

from collections.abc import Callable
from datetime import timedelta

from spindleglade.runtime.clock import Clock


class CancellationFreshness:
    """The one rule for whoever renews leases or starts tasks.

    A cancellation that this node does not know of was confirmed to its user after `proven`, the time at
    which the node last asked whether it knew all. What it does within `lasts`, that is `cancel_s` less the
    lease and a margin, ends with a lease within `cancel_s` of that confirmation; what it did later might not.
    """

    def __init__(self, clock: Clock, lasts: timedelta, proven: Callable[[], timedelta | None]) -> None:
        self._clock = clock
        self._validity = lasts
        self._known_as_of = proven

    @property
    def permits_renewals(self) -> bool:
        proven = self._known_as_of()
        return proven is not None and self._clock.now() - proven <= self._validity
