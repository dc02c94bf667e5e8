"""What the autoscaler and its parts are constructed with."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta

from spindleglade.fleet.client import CloudClient
from spindleglade.fleet.messages import MachineType
from spindleglade.runtime.clock import Clock, seconds
from spindleglade.settings.operator import FleetSettings, WorkerSettings
from spindleglade.workers.cluster_state import ClusterState
from spindleglade.workers.machines import Machine

# A machine has missed heartbeats when it was silent for this many intervals and the tolerance.
MISSED_HEARTBEATS = 2
HEARTBEAT_TOLERANCE = seconds(0.5)
# A machine that does not answer either is silent for at least this long before it is terminated.
MIN_UNANSWERED_SILENCE = seconds(4)


@dataclass(frozen=True, slots=True)
class AutoscalerContext:
    """What all parts of the autoscaler work with."""

    cluster: ClusterState
    cloud: CloudClient
    clock: Clock
    # Of the leader's term; no other controller is ever given the same one.
    token: int
    # The cloud knows no tokens, so no request is sent to it unless this holds.
    is_leadership_proven: Callable[[], bool]
    settings: FleetSettings
    worker_settings: WorkerSettings


@dataclass(frozen=True, slots=True)
class MachineSupply:
    """The machines that can be provisioned, and how soon work on them has to start."""

    # The machine types known at present.
    types: Callable[[], list[MachineType]]
    # Zones of the machine types that name none themselves.
    zones: list[str]
    # The shortest time to a start that an objective of the deployment allows; None: no objective says.
    min_start_objective: timedelta | None


@dataclass(frozen=True, slots=True)
class WorkerConnections:
    """How the autoscaler reaches workers."""

    # Asks a machine's worker for its status.
    request_status: Callable[[Machine], Awaitable[None]]
    # Tells the worker at an address, in a given incarnation, who leads.
    introduce_leader: Callable[[str, int], None]
    max_concurrent_probes: int


@dataclass(frozen=True, slots=True)
class SilenceLimits:
    """For how long a machine may be silent before something is done about it."""

    # It has missed heartbeats and is asked for its status.
    probe: timedelta
    # It is terminated if it does not answer either.
    unanswered: timedelta
    # It is terminated: its lease is over.
    lease: timedelta

    @classmethod
    def of(cls, context: AutoscalerContext) -> "SilenceLimits":
        """The limits that follow from the worker policy and the operators' settings."""
        policy, settings = context.cluster.policy, context.worker_settings
        return cls(
            probe=policy.heartbeat_interval * MISSED_HEARTBEATS + HEARTBEAT_TOLERANCE,
            unanswered=max(policy.heartbeat_interval * settings.missed_heartbeats, MIN_UNANSWERED_SILENCE),
            lease=policy.lease + seconds(settings.silence_margin_s),
        )
