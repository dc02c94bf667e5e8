"""Machine pools: what the cloud has or lacks capacity of."""

from dataclasses import dataclass, field
from typing import NamedTuple

from spindleglade.fleet.messages import MachineType


class MachinePool(NamedTuple):
    """All machines of one type, in one zone, that are spot or on-demand."""

    type: str
    zone: str
    spot: bool


@dataclass(slots=True)
class MachineOffer:
    """A machine that may be requested now."""

    type: MachineType
    zone: str
    spot: bool
    # Machines already in its zone, booting ones too.
    machines_in_zone: int = 0
    # No heartbeat arrives from its zone.
    zone_partitioned: bool = False
    # The machine pool it comes from; looked at for each job and machine, so it is kept.
    pool: MachinePool = field(init=False)

    def __post_init__(self) -> None:
        self.pool = MachinePool(self.type.name, self.zone, self.spot)

    @property
    def price(self) -> float:
        """The price of the machine type, spot or on-demand."""
        return self.type.spot_price if self.spot else self.type.price
