"""Exponential backoff from machine pools for which the cloud had no capacity."""

from dataclasses import dataclass
from datetime import timedelta

from spindleglade.fleet.machine_pool import MachinePool


@dataclass(slots=True)
class Backoff:
    """The time until which a machine pool is not requested, and the latest delay."""

    until: timedelta
    delay: timedelta


class CapacityBackoff:
    """Tracks the backoff of each machine pool."""

    def __init__(self, initial_delay: timedelta, max_delay: timedelta) -> None:
        self._initial_delay = initial_delay
        self._max_delay = max_delay
        self._backoffs: dict[MachinePool, Backoff] = {}

    def on_rejected(self, pool: MachinePool, now: timedelta) -> None:
        """Starts a delay because the cloud did not provide all requested machines. Each delay is twice the
        previous one, up to the maximum."""
        backoff = self._backoffs.get(pool)
        delay = self._initial_delay if backoff is None else min(backoff.delay * 2, self._max_delay)
        self._backoffs[pool] = Backoff(now + delay, delay)

    def on_provisioned(self, pool: MachinePool) -> None:
        """Resets the backoff because the cloud provided all requested machines."""
        self._backoffs.pop(pool, None)

    def on_terminated(self, pool: MachinePool, now: timedelta) -> None:
        """Ends the delay now because a machine of the pool has become available again. The next rejection
        still doubles the delay."""
        backoff = self._backoffs.get(pool)
        if backoff is not None:
            backoff.until = min(backoff.until, now)

    def allows(self, pool: MachinePool, now: timedelta) -> bool:
        """Whether machines of the pool may be requested now."""
        backoff = self._backoffs.get(pool)
        return backoff is None or now >= backoff.until

    def count_backed_off(self, now: timedelta) -> int:
        """The number of pools that may not be requested now."""
        return sum(now < backoff.until for backoff in self._backoffs.values())
