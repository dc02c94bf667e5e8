"""Periodic work of a leader that no event triggers, and the log lines that tell why no task starts."""

import logging
from collections.abc import Callable

from spindleglade.fleet.autoscaler import Autoscaler
from spindleglade.fleet.machine_types import MachineTypeCatalog
from spindleglade.runtime.clock import Clock, seconds
from spindleglade.runtime.log_throttle import LogThrottle
from spindleglade.workers.cancellation_freshness import CancellationFreshness
from spindleglade.workers.cluster_state import ClusterState

log = logging.getLogger("spindleglade.leadership")

# The time without a start after which the log says why no task starts, and between two such log lines.
STALL_LOG_INTERVAL = seconds(5)


class Upkeep:
    """Copies the machine types and the preference for on-demand machines to the cluster state."""

    def __init__(
        self,
        cluster: ClusterState,
        machine_types: MachineTypeCatalog,
        autoscaler: Autoscaler,
        cancellation_freshness: CancellationFreshness,
        clock: Clock,
        on_changed: Callable[[], None],
    ) -> None:
        """`on_changed` is called at the end of each pass."""
        self._cluster = cluster
        self._machine_types = machine_types
        self._autoscaler = autoscaler
        self._cancellation_freshness = cancellation_freshness
        self._clock = clock
        self._on_changed = on_changed
        self._stall_log_throttle = LogThrottle(clock, STALL_LOG_INTERVAL)
        # Whether starts and lease renewals were permitted in the previous pass.
        self._renewals_were_permitted = True

    async def run_pass(self) -> None:
        """Runs one pass: updates the cluster state, and logs why no task starts or renewals are withheld."""
        self._log_stall()
        self._log_renewal_permission()
        self._cluster.set_machine_types(self._machine_types.capacities())
        self._cluster.prefers_on_demand = self._autoscaler.needs_headroom
        self._on_changed()

    def _log_stall(self) -> None:
        """Logs why no task starts if tasks wait and none has started within STALL_LOG_INTERVAL."""
        now = self._clock.now()
        if now - self._cluster.latest_start < STALL_LOG_INTERVAL or not self._stall_log_throttle.allows():
            return
        scheduling_stall = self._cluster.scheduling_stall(now)
        if scheduling_stall is not None:
            idle_s = (now - self._cluster.latest_start).total_seconds()
            log.info("nothing started for_s=%.0f %s %s", idle_s, scheduling_stall, self._autoscaler.summary)

    def _log_renewal_permission(self) -> None:
        """Logs each change of whether starts and lease renewals are permitted."""
        are_permitted = self._cancellation_freshness.permits_renewals
        if are_permitted == self._renewals_were_permitted:
            return
        self._renewals_were_permitted = are_permitted
        if are_permitted:
            log.info("starts and renewals permitted token=%d", self._cluster.token)
        else:
            log.info("starts and renewals withheld reason=no recent proof of knowing all cancellations")
