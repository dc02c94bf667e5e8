"""The services that a controller passes to the leader of a term."""

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

# Runs a function with the given arguments outside the event loop, and returns the function's result.
Compute = Callable[..., Awaitable[Any]]


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaderDependencies:
    """The parts of the controller that the leader uses and that exist longer than a term."""

    platform: Platform
    settings: OperatorSettings
    clock: Clock
    # Runs the planning in the planning thread.
    compute: Compute
    # Sends requests to the machines.
    machine_requester: ConcurrencyLimiter
    client: StateClient
    cloud: CloudClient
    machine_types: MachineTypeCatalog
    replica: Replica
    views: JobViews
    # Permits starts and lease renewals only if the leader recently knew all cancellations.
    cancellation_freshness: CancellationFreshness
    # Returns whether there is recent proof that no later term has begun.
    is_leadership_proven: Callable[[], bool]
