"""The leader's cluster state: jobs, tasks and machines, what is recorded, placed and proven over.

It decides nothing about placement and does no I/O. It takes in records, reports and results, and gives out
three things: chunks to write, orders to send, snapshots to plan on. Every public method takes the lock for as
long as it runs and calls nothing outside.

How a task comes to be taken off a machine is the heart of it. Silence proves nothing. Proof is: a report of
the same session under this leader's own token, newer than the last, that lacks the attempt while no start of
it can be under way, or shows it exited; a newer session; the cloud's word that the machine is released. Only
then does a task wait again.
"""

import logging
from datetime import timedelta

from spindleglade.workers.heartbeat_reconciliation import HeartbeatReconciliation
from spindleglade.workers.machines import Machine
from spindleglade.workers.persistence import Persistence
from spindleglade.workers.planning_bridge import PlanningBridge

log = logging.getLogger("spindleglade.workers")


class ClusterState(HeartbeatReconciliation, Persistence, PlanningBridge):
    """All parts of the cluster state, and what the cloud and the siblings say of machines."""

    def has_begun(self, job_id: str) -> bool:
        """Whether a task of the job is on a machine, or done."""
        with self.lock:
            job = self.jobs.get(job_id)
            return job is not None and bool(job.placed or job.done)

    def on_machine_terminated(self, name: str, reason: str) -> None:
        """The cloud has said that the machine and all on it are gone."""
        with self.lock:
            self.terminated.add(name)
            machine = self.machines.get(name)
            if machine is None:
                return
            log.info("machine gone machine=%s tasks=%d reason=%s", name, len(machine.placed), reason)
            for assignment in list(machine.placed.values()):
                self._end_attempt(assignment, "its machine is gone")
            del self.machines[name]

    def observe_listed_machines(self, listed: list[tuple[str, str, str]]) -> None:
        """Names, addresses and zones: where the cloud says that machines are. Those that have not reported to
        this leader yet can be asked then; those that died with the leader before used to be waited for until
        a whole lease was over."""
        with self.lock:
            for name, address, zone in listed:
                machine = self.machines.get(name)
                if machine is not None and not machine.address:
                    machine.address, machine.zone = address, zone
                    self.dispatch_queue[name] = None

    def on_leases_renewed_by_peer(self, names: list[str], now: timedelta) -> None:
        """A sibling renews these machines' leases: they live, though nothing is heard of them here."""
        with self.lock:
            for name in names:
                machine = self.machines.get(name)
                if machine is not None:
                    machine.renewed_by_peer_at = now

    def is_silent(self, machine: Machine, now: timedelta, since: timedelta) -> bool:
        latest = max(
            machine.last_heartbeat_at or self.started_at, machine.renewed_by_peer_at or self.started_at
        )
        return now - latest > since
