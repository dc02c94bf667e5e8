"""State of the machines that are requested, booting or being terminated."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta

from spindleglade.fleet.machine_pool import MachinePool
from spindleglade.fleet.messages import MachineType, ProvisionRequest


@dataclass(slots=True)
class BootingMachine:
    """A provisioned machine whose worker has not sent a heartbeat yet."""

    type: MachineType
    zone: str
    spot: bool
    booting_since: timedelta
    # Whether the machine list already showed the machine as running when it was adopted.
    listed_as_running: bool = False

    @property
    def pool(self) -> MachinePool:
        """The machine pool that the machine belongs to."""
        return MachinePool(self.type.name, self.zone, self.spot)


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A provisioning request without a response yet. Its machines count as expected capacity until then."""

    request: ProvisionRequest
    machine_type: MachineType

    @property
    def pool(self) -> MachinePool:
        """The requested machine pool."""
        return MachinePool(self.request.type, self.request.zone, self.request.spot)


@dataclass(slots=True)
class FleetState:
    """State that the `Autoscaler` owns and its components share. Each field names who writes to it."""

    # How long a machine adopted as running may be silent before it no longer counts as capacity.
    silence_limit: timedelta
    # By machine name. Added by provisioning and the machine list. Removed by the autoscaler once the worker
    # has sent a heartbeat, and by termination.
    booting: dict[str, BootingMachine] = field(default_factory=dict)
    # By request id. Written only by provisioning.
    pending_requests: dict[str, PendingRequest] = field(default_factory=dict)
    # Machine name to machine pool, or None if the pool is unknown. Written only by termination.
    terminating: dict[str, MachinePool | None] = field(default_factory=dict)
    # Zones that are partitioned from this controller. Written only by partition detection.
    partitioned_zones: set[str] = field(default_factory=set)
    # Set by the autoscaler when it stops. Requests to the cloud are not repeated and none is added.
    stopped: bool = False

    def expected_machines(self, now: timedelta) -> Iterator[BootingMachine]:
        """The booting machines whose capacity can be relied on."""
        return (
            machine for machine in self.booting.values() if not self._is_presumed_terminated(machine, now)
        )

    def _is_presumed_terminated(self, machine: BootingMachine, now: timedelta) -> bool:
        """Whether a machine adopted as running is probably gone. The machine list lags behind, so after a
        change of leader it still contains machines that the previous leader has terminated. A machine that is
        really running sends heartbeats if it can."""
        return machine.listed_as_running and now - machine.booting_since > self.silence_limit
