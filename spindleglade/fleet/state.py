"""The machines between the cloud and the cluster state: requested, booting, or being terminated."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta

from spindleglade.fleet.machine_pool import MachinePool
from spindleglade.fleet.messages import MachineType, ProvisionRequest


@dataclass(slots=True)
class BootingMachine:
    """A machine that the cloud has provisioned and whose worker has not reported yet."""

    type: MachineType
    zone: str
    spot: bool
    since: timedelta
    # The machine list already named it as running when it was adopted.
    listed_as_running: bool = False

    @property
    def pool(self) -> MachinePool:
        """The machine pool it belongs to."""
        return MachinePool(self.type.name, self.zone, self.spot)


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A provisioning request that has not been answered; its machines count as booting until then."""

    request: ProvisionRequest
    machine_type: MachineType

    @property
    def pool(self) -> MachinePool:
        """The machine pool that is requested."""
        return MachinePool(self.request.type, self.request.zone, self.request.spot)


@dataclass(slots=True)
class FleetState:
    """What the parts of the autoscaler share. The `Autoscaler` owns it; each field names who writes to it."""

    # For how long a machine adopted as running may stay silent before it no longer counts.
    silence_limit: timedelta
    # By machine name. Added by provisioning and the machine list, removed once the worker has reported or
    # the machine is terminated.
    booting: dict[str, BootingMachine] = field(default_factory=dict)
    # By request id. Written by provisioning alone.
    pending_requests: dict[str, PendingRequest] = field(default_factory=dict)
    # Machines being terminated, with their machine pool where it is known. Written by termination alone.
    terminating: dict[str, MachinePool | None] = field(default_factory=dict)
    # Zones from which no heartbeat arrives. Written by partition detection alone.
    partitioned_zones: set[str] = field(default_factory=set)
    # Set by the autoscaler when it stops: nothing more is requested of the cloud.
    stopped: bool = False

    def expected_machines(self, now: timedelta) -> Iterator[BootingMachine]:
        """The booting machines whose capacity can be counted on."""
        return (boot for boot in self.booting.values() if not self._is_presumed_terminated(boot, now))

    def _is_presumed_terminated(self, boot: BootingMachine, now: timedelta) -> bool:
        """Whether a machine adopted as running is likely to be gone. The machine list lags behind, so after a
        change of leader it still names machines that the previous leader has terminated. A machine that does
        run sends heartbeats if it can."""
        return boot.listed_as_running and now - boot.since > self.silence_limit
