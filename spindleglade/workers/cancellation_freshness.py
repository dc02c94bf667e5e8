"""How long a controller's knowledge of cancellations suffices to renew leases and to start tasks."""

from collections.abc import Callable
from datetime import timedelta

from spindleglade.runtime.clock import Clock


class CancellationFreshness:
    """The one rule for whoever renews leases or starts tasks.

    A cancellation that this controller does not know of was confirmed to its user after `known_as_of`, the
    time at which the controller last asked whether it knew all of them. What it renews or starts within
    `validity`, which is `cancel_s` less the lease and a margin, ends with a lease within `cancel_s` of that
    confirmation; what it did later might not.
    """

    def __init__(
        self, clock: Clock, validity: timedelta, known_as_of: Callable[[], timedelta | None]
    ) -> None:
        """`known_as_of` returns None while the cancellations are not known at all."""
        self._clock = clock
        self._validity = validity
        self._known_as_of = known_as_of

    @property
    def permits_renewals(self) -> bool:
        """Whether leases may be renewed and tasks started now."""
        known_as_of = self._known_as_of()
        return known_as_of is not None and self._clock.now() - known_as_of <= self._validity
