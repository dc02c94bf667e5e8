"""What a leader checks every second even if nothing happens, and the log lines on why work does not start."""

import logging
from collections.abc import Callable

from spindleglade.fleet.autoscaler import Autoscaler
from spindleglade.fleet.machine_types import MachineTypeCatalog
from spindleglade.runtime.clock import Clock, seconds
from spindleglade.runtime.log_throttle import LogThrottle
from spindleglade.workers.cancellation_freshness import CancellationFreshness
from spindleglade.workers.cluster_state import ClusterState

log = logging.getLogger("spindleglade.leadership")

# How often the log says why nothing starts.
STALL_LOG_INTERVAL = seconds(5)


class Upkeep:
    """Carries machine types and the autoscaler's preference over to the cluster state."""

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
        self._stall_log = LogThrottle(clock, STALL_LOG_INTERVAL)
        # Whether starts and lease renewals were permitted in the previous pass.
        self._renewals_were_permitted = True

    async def run_once(self) -> None:
        """One pass."""
        self._log_stall()
        self._log_renewal_permission()
        self._cluster.set_machine_types(self._machine_types.capacities())
        self._cluster.prefers_on_demand = self._autoscaler.needs_headroom
        self._on_changed()

    def _log_stall(self) -> None:
        """Logs why nothing starts, while work waits and nothing has started for a while."""
        now = self._clock.now()
        if now - self._cluster.latest_start < STALL_LOG_INTERVAL or not self._stall_log.allows():
            return
        stall = self._cluster.scheduling_stall(now)
        if stall is not None:
            idle_s = (now - self._cluster.latest_start).total_seconds()
            log.info("nothing started for_s=%.0f %s %s", idle_s, stall, self._autoscaler.summary)

    def _log_renewal_permission(self) -> None:
        """Logs when starts and lease renewals begin and cease to be withheld."""
        are_permitted = self._cancellation_freshness.permits_renewals
        if are_permitted == self._renewals_were_permitted:
            return
        self._renewals_were_permitted = are_permitted
        if are_permitted:
            log.info("starts and renewals permitted token=%d", self._cluster.token)
        else:
            log.info("starts and renewals withheld reason=no recent proof of knowing all cancellations")
