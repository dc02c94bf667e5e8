"""What the cloud and the controllers say to each other, by the published protocol."""

import msgspec


class MachineType(msgspec.Struct, frozen=True):
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
    types: list[MachineType] = msgspec.field(name="frames")


class ProvisionRequest(msgspec.Struct, frozen=True):
    request_id: str = msgspec.field(name="ask")
    type: str = msgspec.field(name="frame")
    zone: str = msgspec.field(name="glade")
    spot: bool = msgspec.field(name="windfall")
    count: int = msgspec.field(name="how_many")


class ProvisionResponse(msgspec.Struct, frozen=True):
    machines: list[str] = msgspec.field(name="spindles")


class TerminateRequest(msgspec.Struct, frozen=True):
    machines: list[str] = msgspec.field(name="spindles")


class ListedMachine(msgspec.Struct, frozen=True):
    name: str = msgspec.field(name="ref")
    address: str = msgspec.field(name="addr")
    type: str = msgspec.field(name="frame")
    zone: str = msgspec.field(name="glade")
    spot: bool = msgspec.field(name="windfall")
    state: str = msgspec.field(name="stage")
    age_s: float = msgspec.field(name="held_s")


class MachinePage(msgspec.Struct, frozen=True):
    machines: list[ListedMachine] = msgspec.field(name="spindles")
    more: bool = msgspec.field(name="has_next", default=False)
