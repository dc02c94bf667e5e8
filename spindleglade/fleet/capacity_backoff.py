"""Backs off from machine pools that the cloud had no capacity of."""

from dataclasses import dataclass
from datetime import timedelta

from spindleglade.fleet.machine_pool import MachinePool


@dataclass(slots=True)
class Backoff:
    """Until when a machine pool is not requested, and how long the latest delay was."""

    until: timedelta
    delay: timedelta


class CapacityBackoff:
    """Exponential backoff by machine pool."""

    def __init__(self, initial_delay: timedelta, max_delay: timedelta) -> None:
        self._initial_delay = initial_delay
        self._max_delay = max_delay
        self._backoffs: dict[MachinePool, Backoff] = {}

    def on_rejected(self, pool: MachinePool, now: timedelta) -> None:
        """The cloud had not all the machines that were requested: the delay begins, doubled each time."""
        backoff = self._backoffs.get(pool)
        delay = self._initial_delay if backoff is None else min(backoff.delay * 2, self._max_delay)
        self._backoffs[pool] = Backoff(now + delay, delay)

    def on_provisioned(self, pool: MachinePool) -> None:
        """The cloud had all the machines that were requested: the backoff is reset."""
        self._backoffs.pop(pool, None)

    def on_terminated(self, pool: MachinePool, now: timedelta) -> None:
        """A machine of the pool has become available again: the delay ends now. Rejected once more, the pool
        gets the doubled delay all the same."""
        backoff = self._backoffs.get(pool)
        if backoff is not None:
            backoff.until = min(backoff.until, now)

    def allows(self, pool: MachinePool, now: timedelta) -> bool:
        """Whether the pool may be requested."""
        backoff = self._backoffs.get(pool)
        return backoff is None or now >= backoff.until

    def count_backed_off(self, now: timedelta) -> int:
        """How many pools may not be requested now."""
        return sum(now < backoff.until for backoff in self._backoffs.values())
