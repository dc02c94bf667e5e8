"""The usable machines of a planning pass as columns, one row each."""

import numpy as np

from spindleglade.backfill.arrays import Array, Mask
from spindleglade.backfill.snapshot import MachineView


class MachineColumns:
    """Machines by row. The free capacity and the images being fetched change as tasks are placed."""

    def __init__(self, machines: list[MachineView]) -> None:
        # CPUs, GPUs and memory that each has free.
        self.free = np.array(
            [(view.free_cpus, view.free_gpus, view.free_memory) for view in machines], float
        ).reshape(-1, 3)
        self.spot = np.array([view.spot for view in machines], bool)
        self.fetch_gb_per_s = np.array([view.fetch_gb_per_s for view in machines], float)
        self.fetch_counts = np.array([len(view.fetching) for view in machines], float)
        self.rows = {view.name: row for row, view in enumerate(machines)}
        self.zones: dict[str, Mask] = {}
        self.types: dict[str, Mask] = {}
        # The machines that have each image, and those that are fetching it.
        self.images: dict[str, list[int]] = {}
        self.fetching: dict[str, set[int]] = {}
        # The machines with reserved capacity.
        self.reserved: list[int] = []
        for row, view in enumerate(machines):
            self._add(row, view, len(machines))

    def _add(self, row: int, view: MachineView, count: int) -> None:
        if view.zone not in self.zones:
            self.zones[view.zone] = np.zeros(count, bool)
        self.zones[view.zone][row] = True
        if view.type not in self.types:
            self.types[view.type] = np.zeros(count, bool)
        self.types[view.type][row] = True
        for image in view.images:
            self.images.setdefault(image, []).append(row)
        for image in view.fetching:
            self.fetching.setdefault(image, set()).add(row)
        if view.reserved_capacity:
            self.reserved.append(row)

    def fetch_s(self, image: str, gb: float) -> Array:
        """Seconds until the image is on each machine; fetches under way share the machine's rate."""
        alone = gb / self.fetch_gb_per_s
        sharing = self.fetch_counts + 1
        fetching = self.fetching.get(image)
        if fetching:
            sharing[list(fetching)] -= 1
        seconds: Array = alone * sharing
        present = self.images.get(image)
        if present:
            seconds[present] = 0.0
        return seconds

    def start_fetch(self, image: str, row: int) -> None:
        """Counts a fetch that a placement starts."""
        fetching = self.fetching.setdefault(image, set())
        if row not in fetching:
            fetching.add(row)
            self.fetch_counts[row] += 1
