"""The parameters with which the autoscaler and its components are constructed."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta

from spindleglade.fleet.client import CloudClient
from spindleglade.fleet.messages import MachineType
from spindleglade.runtime.clock import Clock, seconds
from spindleglade.settings.operator import FleetSettings, WorkerSettings
from spindleglade.workers.cluster_state import ClusterState
from spindleglade.workers.machines import Machine

# A machine is probed after it has been silent for this many heartbeat intervals plus the tolerance.
MISSED_HEARTBEATS_BEFORE_PROBE = 2
HEARTBEAT_TOLERANCE = seconds(0.5)
# A machine that leaves the probe unanswered is terminated after at least this much silence.
MIN_SILENCE_IF_PROBE_UNANSWERED = seconds(4)


@dataclass(frozen=True, slots=True)
class AutoscalerContext:
    """What all components of the autoscaler depend on."""

    cluster: ClusterState
    cloud: CloudClient
    clock: Clock
    # Fencing token of the leader's term. It is never given to another controller.
    token: int
    # The cloud does not check fencing tokens, so it is sent no request to provision or terminate unless this
    # returns True.
    is_leadership_proven: Callable[[], bool]
    settings: FleetSettings
    worker_settings: WorkerSettings


@dataclass(frozen=True, slots=True)
class MachineSupply:
    """The machines that can be provisioned, and how soon work must start."""

    # Returns the machine types known at present.
    types: Callable[[], list[MachineType]]
    # Zones of machine types that list no zones themselves.
    zones: list[str]
    # The shortest time to a task's start that an objective of the deployment demands; None if none does.
    min_start_objective: timedelta | None


@dataclass(frozen=True, slots=True)
class WorkerConnections:
    """How the autoscaler reaches workers."""

    # Asks a machine's worker for its status.
    request_status: Callable[[Machine], Awaitable[None]]
    # Tells the worker at an address, in a given incarnation, which controller leads.
    introduce_leader: Callable[[str, int], None]
    max_concurrent_probes: int


@dataclass(frozen=True, slots=True)
class SilenceLimits:
    """How long a machine may be silent before it is probed or terminated."""

    # After this silence a machine is probed.
    probe: timedelta
    # After this silence a machine is terminated if it left a probe unanswered.
    unanswered: timedelta
    # After this silence a machine is terminated in any case, since its lease has expired.
    lease: timedelta

    @classmethod
    def from_context(cls, context: AutoscalerContext) -> "SilenceLimits":
        """Computes the limits from the worker policy and the operator settings."""
        policy, settings = context.cluster.policy, context.worker_settings
        return cls(
            probe=policy.heartbeat_interval * MISSED_HEARTBEATS_BEFORE_PROBE + HEARTBEAT_TOLERANCE,
            unanswered=max(
                policy.heartbeat_interval * settings.missed_heartbeats, MIN_SILENCE_IF_PROBE_UNANSWERED
            ),
            lease=policy.lease + seconds(settings.silence_margin_s),
        )
