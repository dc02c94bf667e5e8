"""Detects zones that are partitioned from this controller, as opposed to individual machines that fail."""

from datetime import timedelta

from spindleglade.fleet.state import FleetState
from spindleglade.workers.cluster_state import ClusterState

# Minimum number of silent machines in a zone for the zone to count as partitioned.
MIN_SILENT_MACHINES_IN_ZONE = 3
# Minimum share of a zone's machines that are silent for the zone to count as partitioned.
MIN_SILENT_SHARE_OF_ZONE = 1 / 2


class ZonePartitionDetector:
    """Updates `FleetState.partitioned_zones` from the heartbeats of the machines in each zone."""

    def __init__(self, cluster: ClusterState, state: FleetState, probe_after: timedelta) -> None:
        self._cluster = cluster
        self._state = state
        self._probe_after = probe_after

    def observe(self, now: timedelta) -> None:
        """Marks zones as partitioned when most of their machines are silent at the same time.

        The workers in such a zone need some seconds to find a controller that they can reach, and that
        controller needs some more to report the lease renewals. A zone stays partitioned until one of its
        machines is heard from: that all of them have been terminated meanwhile says nothing about the zone.
        The caller holds the cluster's lock.
        """
        silent_by_zone: dict[str, list[bool]] = {}
        for machine in self._cluster.machines.values():
            is_silent = self._cluster.is_silent(machine, now, self._probe_after)
            silent_by_zone.setdefault(machine.zone, []).append(is_silent)
        partitioned = self._state.partitioned_zones
        for zone, silent in silent_by_zone.items():
            if sum(silent) >= max(MIN_SILENT_MACHINES_IN_ZONE, len(silent) * MIN_SILENT_SHARE_OF_ZONE):
                partitioned.add(zone)
            elif not all(silent):
                partitioned.discard(zone)
