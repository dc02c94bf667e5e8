"""Detects zones that are partitioned from this controller, as opposed to machines that die one by one."""

from datetime import timedelta

from spindleglade.fleet.state import FleetState
from spindleglade.workers.cluster_state import ClusterState

# Fewer silent machines do not make a partition.
MIN_SILENT_MACHINES_IN_ZONE = 3
# Share of a zone's machines that are silent together in a partition.
SILENT_SHARE_OF_ZONE = 1 / 2


class ZonePartitionDetector:
    """Keeps `FleetState.partitioned_zones` by the heartbeats of the machines in each zone."""

    def __init__(self, cluster: ClusterState, state: FleetState, probe_after: timedelta) -> None:
        self._cluster = cluster
        self._state = state
        self._probe_after = probe_after

    def observe(self, now: timedelta) -> None:
        """Where most of a zone fell silent together, that is a partition. Its workers need some seconds to
        find a controller that they reach, and it some more to report the renewals. The partition lasts until
        a machine there is heard: that all have been terminated by then says nothing about the zone. The
        caller holds the cluster's lock."""
        silent_by_zone: dict[str, list[bool]] = {}
        for machine in self._cluster.machines.values():
            is_silent = self._cluster.is_silent(machine, now, self._probe_after)
            silent_by_zone.setdefault(machine.zone, []).append(is_silent)
        partitioned = self._state.partitioned_zones
        for zone, silent in silent_by_zone.items():
            if sum(silent) >= max(MIN_SILENT_MACHINES_IN_ZONE, len(silent) * SILENT_SHARE_OF_ZONE):
                partitioned.add(zone)
            elif not all(silent):
                partitioned.discard(zone)
