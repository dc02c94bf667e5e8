"""Messages of the cloud's published API."""

from enum import StrEnum

import msgspec


class MachineState(StrEnum):
    """The states of a listed machine that the controllers handle. The cloud may report others."""

    STARTING = "starting"
    RUNNING = "running"
    FAILED = "failed"


class MachineType(msgspec.Struct, frozen=True):
    """A machine type: its resources, prices, boot time and the zones in which it is available."""

    name: str
    cpus: float = msgspec.field(name="vcpus")
    memory_gb: float = msgspec.field(name="mem_gb")
    price: float = msgspec.field(name="rate")
    spot_price: float
    boot_s: float = msgspec.field(name="ready_s")
    cache_gb: float = msgspec.field(name="local_gb")
    pull_gb_per_s: float
    gpus: float = msgspec.field(name="accelerators", default=0.0)
    zones: list[str] = msgspec.field(name="glades", default_factory=list)


class MachineTypeList(msgspec.Struct, frozen=True):
    """The list of all machine types."""

    types: list[MachineType] = msgspec.field(name="frames")


class ProvisionRequest(msgspec.Struct, frozen=True):
    """A request for machines of one machine pool. A retry with the same id returns the same machines."""

    request_id: str = msgspec.field(name="ask")
    type: str = msgspec.field(name="frame")
    zone: str = msgspec.field(name="glade")
    spot: bool = msgspec.field(name="windfall")
    count: int = msgspec.field(name="how_many")


class ProvisionResponse(msgspec.Struct, frozen=True):
    """The names of the provisioned machines, which may be fewer than requested."""

    machines: list[str] = msgspec.field(name="spindles")


class TerminateRequest(msgspec.Struct, frozen=True):
    """The names of the machines to be terminated."""

    machines: list[str] = msgspec.field(name="spindles")


class ListedMachine(msgspec.Struct, frozen=True):
    """A machine in the machine list."""

    name: str = msgspec.field(name="ref")
    address: str = msgspec.field(name="addr")
    type: str = msgspec.field(name="frame")
    zone: str = msgspec.field(name="glade")
    spot: bool = msgspec.field(name="windfall")
    # A `MachineState`, or a state that this version does not know.
    state: str = msgspec.field(name="stage")
    age_s: float = msgspec.field(name="held_s")


class MachinePage(msgspec.Struct, frozen=True):
    """One page of the machine list."""

    machines: list[ListedMachine] = msgspec.field(name="spindles")
    has_more: bool = msgspec.field(name="has_next", default=False)
