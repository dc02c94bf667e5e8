"""Free capacity that waiting tasks are packed onto before any machine is provisioned. Pure logic."""

from collections.abc import Sequence
from typing import NamedTuple, cast

import numpy as np
from numpy.typing import ArrayLike

from spindleglade.backfill.arrays import Array
from spindleglade.backfill.plan import ExpectedRelease
from spindleglade.backfill.snapshot import JobView, MachineView
from spindleglade.fleet.machine_pool import MachineOffer, MachinePool

# CPUs, GPUs and memory: the columns of what a machine has free.
RESOURCE_COUNT = 3


class FreeCapacity(NamedTuple):
    """A machine on its way, and what is still free on it once it is up."""

    type: str
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory: float


class CapacityPool:
    """The free capacity of many machines, in columns, allocated in the order in which it was added."""

    def __init__(self, machines: Sequence[FreeCapacity] = ()) -> None:
        # Machine pools, numbered in the order in which they were first added.
        self._pool_indices: dict[MachinePool, int] = {}
        # Of each machine: the number of its pool, and what it has free.
        self._pools_of_machines = np.zeros(0, np.int64)
        self._free = np.zeros((0, RESOURCE_COUNT))
        self._append(
            [(machine.type, machine.zone, machine.spot) for machine in machines],
            [(machine.cpus, machine.gpus, machine.memory) for machine in machines],
        )

    def _append(self, pools: list[tuple[str, str, bool]], free: ArrayLike) -> None:
        """Adds machines of the pools, which may be plain tuples: with thousands of machines it takes time to
        make a `MachinePool` for each."""
        for pool in dict.fromkeys(pools):
            if pool not in self._pool_indices:
                self._pool_indices[MachinePool(*pool)] = len(self._pool_indices)
        # A plain tuple finds the index of the machine pool that equals it.
        indices = [self._pool_indices[cast(MachinePool, pool)] for pool in pools]
        self._pools_of_machines = np.append(self._pools_of_machines, np.array(indices, np.int64))
        self._free = np.vstack((self._free, np.reshape(free, (-1, RESOURCE_COUNT))))

    def add_running(self, machines: Sequence[MachineView], free: Array) -> None:
        """Adds machines that run, with a row each of what they have free."""
        self._append([(view.type, view.zone, view.spot) for view in machines], free)

    def add_empty(self, offer: MachineOffer) -> None:
        """Adds an empty machine as offered."""
        self._append([offer.pool], (offer.type.cpus, offer.type.gpus, offer.type.memory_gb))

    def allocate(self, job: JobView, max_tasks: int) -> int:
        """Allocates capacity to up to that many tasks of the job; returns to how many."""
        eligible = np.array([is_eligible(job, pool) for pool in self._pool_indices], bool)
        if max_tasks <= 0 or not eligible.any():
            return 0
        fitting = np.where(eligible[self._pools_of_machines], job.count_fitting_each(self._free), 0.0)
        fitting_before = np.cumsum(fitting) - fitting
        allocated = np.clip(max_tasks - fitting_before, 0.0, fitting)
        self._free -= allocated[:, None] * np.array(job.demand)
        return int(allocated.sum())


def add_soon_free_capacity(
    capacity: CapacityPool, release: ExpectedRelease, boot_s_by_type: dict[str, float]
) -> None:
    """Adds what running machines will have free before a machine provisioned now could be up. Provisioning
    for work that fits there would pay for a boot and save no time."""
    horizon_s = np.array([boot_s_by_type.get(view.type, 0.0) for view in release.machines])
    free = release.free.copy()
    if len(release.machine_indices):
        is_soon = release.seconds_until < horizon_s[release.machine_indices]
        np.add.at(free, release.machine_indices[is_soon], release.released[is_soon])
    capacity.add_running(release.machines, free)


def is_eligible(job: JobView, pool: MachinePool) -> bool:
    """Whether tasks of the job may run on machines of the pool, if they fit."""
    return (
        (job.types is None or pool.type in job.types)
        and (job.zone is None or job.zone == pool.zone)
        and (job.spot or not pool.spot)
        and not (job.one_zone and _has_tasks_outside(job, pool.zone))
    )


def _has_tasks_outside(job: JobView, zone: str) -> bool:
    return any(count and other != zone for other, count in job.tasks_by_zone.items())
