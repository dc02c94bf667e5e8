"""Updates machines from the information of the cloud and of the peers."""

import logging
from collections.abc import Iterable
from datetime import timedelta

from spindleglade.workers.attempts import EndReason
from spindleglade.workers.cluster_data import ClusterData
from spindleglade.workers.machines import Machine, MachineLocation
from spindleglade.workers.state_changes import StateChanges

log = logging.getLogger("spindleglade.workers")


class MachineRegistry:
    """Applies the information of the cloud and of the peers to the machines. Called with the lock held."""

    def __init__(self, data: ClusterData, changes: StateChanges) -> None:
        self._data = data
        self._changes = changes

    def on_machine_terminated(self, name: str, reason: str) -> None:
        """Removes a machine that the cloud reports as terminated, and ends all attempts on it."""
        self._data.terminated.add(name)
        machine = self._data.machines.get(name)
        if machine is None:
            return
        log.info("machine terminated machine=%s tasks=%d reason=%s", name, len(machine.placed), reason)
        for attempt in list(machine.placed.values()):
            self._changes.end_attempt(attempt, EndReason.MACHINE_TERMINATED)
        del self._data.machines[name]

    def observe_listed_machines(self, locations: Iterable[MachineLocation]) -> None:
        """Sets the addresses of machines that have not sent this leader a heartbeat, from the cloud's list of
        running machines. The leader can then request the status of these machines. Otherwise it would wait a
        whole lease before it gives up a machine that failed together with the former leader."""
        for name, address, zone in locations:
            machine = self._data.machines.get(name)
            if machine is not None and not machine.address:
                machine.address, machine.zone = address, zone
                self._data.dispatch_queue[name] = None

    def on_leases_renewed_by_peer(self, names: Iterable[str], now: timedelta) -> None:
        """Records that a peer renews the leases of these machines: they are alive, though their heartbeats do
        not reach this leader."""
        for name in names:
            machine = self._data.machines.get(name)
            if machine is not None:
                machine.renewed_by_peer_at = now

    def is_silent(self, machine: Machine, now: timedelta, limit: timedelta) -> bool:
        """Whether neither the machine nor a peer has shown for longer than `limit` that the machine lives."""
        started_at = self._data.started_at
        latest = max(machine.last_heartbeat_at or started_at, machine.renewed_by_peer_at or started_at)
        return now - latest > limit
