"""The usable machines of a planning pass as columns, with one row per machine."""

import numpy as np

from spindleglade.backfill.arrays import Array, Mask
from spindleglade.backfill.snapshot import MachineView


class MachineColumns:
    """Attributes of machines by row. Free capacity and image fetches change as tasks are placed."""

    def __init__(self, machines: list[MachineView]) -> None:
        # Free CPUs, GPUs and memory of each machine.
        self.free = np.array(
            [(view.free_cpus, view.free_gpus, view.free_memory) for view in machines], float
        ).reshape(-1, 3)
        self.is_spot = np.array([view.spot for view in machines], bool)
        self.fetch_gb_per_s = np.array([view.fetch_gb_per_s for view in machines], float)
        # Number of images that each machine is fetching.
        self.fetch_counts = np.array([len(view.fetching) for view in machines], float)
        self.row_by_name = {view.name: row for row, view in enumerate(machines)}
        # The machines in each zone, and those of each type.
        self.zone_masks: dict[str, Mask] = {}
        self.type_masks: dict[str, Mask] = {}
        # Rows of the machines that have each image, and of those that are fetching it.
        self.rows_with_image: dict[str, list[int]] = {}
        self.rows_fetching_image: dict[str, set[int]] = {}
        # Rows of the machines with reserved capacity.
        self.reserved_rows: list[int] = []
        for row, view in enumerate(machines):
            self._add_machine(row, view, len(machines))

    def _add_machine(self, row: int, view: MachineView, count: int) -> None:
        if view.zone not in self.zone_masks:
            self.zone_masks[view.zone] = np.zeros(count, bool)
        self.zone_masks[view.zone][row] = True
        if view.type not in self.type_masks:
            self.type_masks[view.type] = np.zeros(count, bool)
        self.type_masks[view.type][row] = True
        for image in view.images:
            self.rows_with_image.setdefault(image, []).append(row)
        for image in view.fetching:
            self.rows_fetching_image.setdefault(image, set()).add(row)
        if view.reserved_capacity:
            self.reserved_rows.append(row)

    def fetch_s(self, image: str, image_gb: float) -> Array:
        """Seconds until the image is on each machine. Concurrent fetches share the machine's bandwidth."""
        unshared_s = image_gb / self.fetch_gb_per_s
        fetches_sharing = self.fetch_counts + 1
        fetching_rows = self.rows_fetching_image.get(image)
        if fetching_rows:
            fetches_sharing[list(fetching_rows)] -= 1
        seconds: Array = unshared_s * fetches_sharing
        present_rows = self.rows_with_image.get(image)
        if present_rows:
            seconds[present_rows] = 0.0
        return seconds

    def start_fetch(self, image: str, row: int) -> None:
        """Counts the fetch of an image for a placement, unless the machine is fetching the image already."""
        fetching_rows = self.rows_fetching_image.setdefault(image, set())
        if row not in fetching_rows:
            fetching_rows.add(row)
            self.fetch_counts[row] += 1
