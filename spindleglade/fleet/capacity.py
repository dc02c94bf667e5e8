"""Free capacity to which waiting tasks are allocated before any machine is provisioned. Pure logic."""

from collections.abc import Sequence
from typing import NamedTuple, cast

import numpy as np
from numpy.typing import ArrayLike

from spindleglade.backfill.arrays import Array
from spindleglade.backfill.plan import ExpectedRelease
from spindleglade.backfill.snapshot import JobView, MachineView
from spindleglade.fleet.machine_pool import MachineOffer, MachinePool

# Number of columns of an array of free resources: CPUs, GPUs and memory in GB.
RESOURCE_COUNT = 3


class FreeCapacity(NamedTuple):
    """A machine that is booting or requested, and the resources that will be free on it."""

    type: str
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory_gb: float


class CapacityPool:
    """The free capacity of many machines as arrays, allocated in the order in which machines were added."""

    def __init__(self, machines: Sequence[FreeCapacity] = ()) -> None:
        # The index of each machine pool, in the order in which pools were first added.
        self._pool_indices: dict[MachinePool, int] = {}
        # For each machine, the index of its pool and a row of its free CPUs, GPUs and memory.
        self._pool_index_by_machine = np.zeros(0, np.int64)
        self._free = np.zeros((0, RESOURCE_COUNT))
        self._append(
            [(machine.type, machine.zone, machine.spot) for machine in machines],
            [(machine.cpus, machine.gpus, machine.memory_gb) for machine in machines],
        )

    def _append(self, pools: list[tuple[str, str, bool]], free: ArrayLike) -> None:
        """Adds one machine for each entry of `pools`, with its row of `free`. Pools may be plain tuples,
        because creating a `MachinePool` for each of thousands of machines takes time."""
        for pool in dict.fromkeys(pools):
            if pool not in self._pool_indices:
                self._pool_indices[MachinePool(*pool)] = len(self._pool_indices)
        # A plain tuple hashes and compares like the equal `MachinePool`.
        indices = [self._pool_indices[cast(MachinePool, pool)] for pool in pools]
        self._pool_index_by_machine = np.append(self._pool_index_by_machine, np.array(indices, np.int64))
        self._free = np.vstack((self._free, np.reshape(free, (-1, RESOURCE_COUNT))))

    def add_running(self, machines: Sequence[MachineView], free: Array) -> None:
        """Adds running machines; `free` has a row of free CPUs, GPUs and memory for each."""
        self._append([(view.type, view.zone, view.spot) for view in machines], free)

    def add_empty(self, offer: MachineOffer) -> None:
        """Adds one machine of the offer with all its resources free."""
        self._append([offer.pool], (offer.type.cpus, offer.type.gpus, offer.type.memory_gb))

    def allocate(self, job: JobView, max_tasks: int) -> int:
        """Allocates capacity to at most `max_tasks` tasks of the job and returns their number."""
        eligible = np.array([is_eligible(job, pool) for pool in self._pool_indices], bool)
        if max_tasks <= 0 or not eligible.any():
            return 0
        fitting = np.where(eligible[self._pool_index_by_machine], job.count_fitting_each(self._free), 0.0)
        fitting_before = np.cumsum(fitting) - fitting
        allocated = np.clip(max_tasks - fitting_before, 0.0, fitting)
        self._free -= allocated[:, None] * np.array(job.demand)
        return int(allocated.sum())


def add_soon_free_capacity(
    capacity: CapacityPool, release: ExpectedRelease, boot_s_by_type: dict[str, float]
) -> None:
    """Adds the capacity that running machines have free, or will have before a machine provisioned now could
    boot. Provisioning for work that fits there would pay for a boot and save no time."""
    horizon_s = np.array([boot_s_by_type.get(view.type, 0.0) for view in release.machines])
    free = release.free.copy()
    if len(release.machine_indices):
        is_soon = release.seconds_until < horizon_s[release.machine_indices]
        np.add.at(free, release.machine_indices[is_soon], release.released[is_soon])
    capacity.add_running(release.machines, free)


def is_eligible(job: JobView, pool: MachinePool) -> bool:
    """Whether the job may use machines of the pool, apart from whether its tasks fit."""
    return (
        (job.types is None or pool.type in job.types)
        and (job.zone is None or job.zone == pool.zone)
        and (job.spot or not pool.spot)
        and not (job.one_zone and _has_tasks_outside(job, pool.zone))
    )


def _has_tasks_outside(job: JobView, zone: str) -> bool:
    return any(count and task_zone != zone for task_zone, count in job.tasks_by_zone.items())
