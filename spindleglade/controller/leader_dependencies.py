"""What a controller hands to the leader that it creates for a term."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from spindleglade.fleet.client import CloudClient
from spindleglade.fleet.machine_types import MachineTypeCatalog
from spindleglade.http.concurrency import ConcurrencyLimiter
from spindleglade.runtime.clock import Clock
from spindleglade.settings import OperatorSettings, Platform
from spindleglade.store.client import StateClient
from spindleglade.store.replica import Replica
from spindleglade.submissions.views import JobViews
from spindleglade.workers.cancellation_freshness import CancellationFreshness

# Runs a function with its arguments outside the event loop and returns its result.
Compute = Callable[..., Awaitable[Any]]


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaderDependencies:
    """The parts of the controller that outlive a term and that its leader uses."""

    platform: Platform
    settings: OperatorSettings
    clock: Clock
    # Runs the planning in its own thread.
    compute: Compute
    # Sends requests to the machines.
    machine_requester: ConcurrencyLimiter
    client: StateClient
    cloud: CloudClient
    machine_types: MachineTypeCatalog
    replica: Replica
    views: JobViews
    # Permits starts and lease renewals while the leader knows of all cancellations.
    cancellation_freshness: CancellationFreshness
    # Whether the controller may currently take itself for the leader.
    is_leadership_proven: Callable[[], bool]
