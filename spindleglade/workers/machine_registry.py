"""What the cloud and the other controllers say of machines."""

import logging
from collections.abc import Iterable
from datetime import timedelta

from spindleglade.workers.attempts import EndReason
from spindleglade.workers.cluster_data import ClusterData
from spindleglade.workers.machines import Machine, MachineLocation
from spindleglade.workers.state_changes import StateChanges

log = logging.getLogger("spindleglade.workers")


class MachineRegistry:
    """Keeps the machines in step with the cloud and the peers. Called with the lock held."""

    def __init__(self, data: ClusterData, changes: StateChanges) -> None:
        self._data = data
        self._changes = changes

    def on_machine_terminated(self, name: str, reason: str) -> None:
        """The cloud has said that the machine and all on it are gone."""
        self._data.terminated.add(name)
        machine = self._data.machines.get(name)
        if machine is None:
            return
        log.info("machine terminated machine=%s tasks=%d reason=%s", name, len(machine.placed), reason)
        for attempt in list(machine.placed.values()):
            self._changes.end_attempt(attempt, EndReason.MACHINE_TERMINATED)
        del self._data.machines[name]

    def observe_listed_machines(self, locations: Iterable[MachineLocation]) -> None:
        """The cloud's list of running machines. The status of machines that have sent this leader no
        heartbeat yet can be requested then; without an address, one that died with the leader before would
        be waited for until a whole lease is over."""
        for name, address, zone in locations:
            machine = self._data.machines.get(name)
            if machine is not None and not machine.address:
                machine.address, machine.zone = address, zone
                self._data.dispatch_queue[name] = None

    def on_leases_renewed_by_peer(self, names: Iterable[str], now: timedelta) -> None:
        """A peer renews these machines' leases: they live, though no heartbeat of theirs arrives here."""
        for name in names:
            machine = self._data.machines.get(name)
            if machine is not None:
                machine.renewed_by_peer_at = now

    def is_silent(self, machine: Machine, now: timedelta, limit: timedelta) -> bool:
        """Whether neither the machine nor a peer has shown for longer than `limit` that it lives."""
        started_at = self._data.started_at
        latest = max(machine.last_heartbeat_at or started_at, machine.renewed_by_peer_at or started_at)
        return now - latest > limit
