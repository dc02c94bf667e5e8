"""Machine pools, the units by which the cloud has or lacks capacity, and the offers of machines from them."""

from dataclasses import dataclass, field
from typing import NamedTuple

from spindleglade.fleet.messages import MachineType


class MachinePool(NamedTuple):
    """All machines of one type in one zone that are either spot or on-demand."""

    type: str
    zone: str
    spot: bool


@dataclass(slots=True)
class MachineOffer:
    """A machine pool that may be requested now, with what the choice between pools depends on."""

    type: MachineType
    zone: str
    spot: bool
    # Number of machines in the zone, including those that are booting or requested.
    machines_in_zone: int = 0
    # Whether the zone is partitioned from this controller.
    zone_partitioned: bool = False
    # The machine pool, computed once because it is read for each job and machine.
    pool: MachinePool = field(init=False)

    def __post_init__(self) -> None:
        self.pool = MachinePool(self.type.name, self.zone, self.spot)

    @property
    def price(self) -> float:
        """The spot or on-demand price of the machine type."""
        return self.type.spot_price if self.spot else self.type.price
