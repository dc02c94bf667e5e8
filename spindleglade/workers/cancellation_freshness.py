"""Limits how long a controller may renew leases and start tasks without news of cancellations."""

from collections.abc import Callable
from datetime import timedelta

from spindleglade.runtime.clock import Clock


class CancellationFreshness:
    """Decides whether the known cancellations are recent enough to renew leases and start tasks.

    `known_as_of` is the time up to which the controller knows all cancellations. A cancellation that it does
    not know was confirmed to a user after that time. `validity` is `cancel_s` less the lease and a margin. A
    lease that is renewed or a task that is started within `validity` of `known_as_of` ends within `cancel_s`
    of the confirmation: the task ends at the latest when the worker's lease expires. A lease renewed or a
    task started after that might not.
    """

    def __init__(
        self, clock: Clock, validity: timedelta, known_as_of: Callable[[], timedelta | None]
    ) -> None:
        """`known_as_of` returns None while the controller has never known all cancellations."""
        self._clock = clock
        self._validity = validity
        self._known_as_of = known_as_of

    @property
    def permits_renewals(self) -> bool:
        """Whether leases may be renewed and tasks started now."""
        known_as_of = self._known_as_of()
        return known_as_of is not None and self._clock.now() - known_as_of <= self._validity
