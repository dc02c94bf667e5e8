"""Reads the cloud's machine list: adopts machines, terminates failed ones and introduces the leader."""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

from spindleglade.fleet.errors import CloudError
from spindleglade.fleet.messages import ListedMachine, MachineState, MachineType
from spindleglade.fleet.parameters import AutoscalerContext, MachineSupply
from spindleglade.fleet.state import BootingMachine, FleetState
from spindleglade.fleet.termination import MachineTermination, TerminationReason
from spindleglade.runtime.clock import ZERO, seconds
from spindleglade.workers.cluster_state import ClusterState
from spindleglade.workers.machines import MachineLocation

log = logging.getLogger("spindleglade.fleet")

# Incarnation with which a worker is addressed if no task is placed there.
FIRST_INCARNATION = 1


@dataclass(frozen=True, slots=True)
class _KnownMachines:
    """The machines that the cluster state knows, by name."""

    present: set[str]
    terminated: set[str]
    # Machines whose workers have acknowledged this leader's token.
    acknowledged: set[str]
    # Machine name to the latest incarnation of the attempts placed there; only machines with attempts.
    incarnations: dict[str, int]

    @classmethod
    def from_cluster(cls, cluster: ClusterState) -> "_KnownMachines":
        """Copies what the cluster state knows now."""
        with cluster.lock:
            machines = cluster.machines.values()
            return cls(
                present=set(cluster.machines),
                terminated=set(cluster.terminated),
                acknowledged={machine.name for machine in machines if machine.acknowledged_token},
                incarnations={
                    machine.name: max(attempt.incarnation for attempt in machine.placed.values())
                    for machine in machines
                    if machine.placed
                },
            )


class MachineListReader:
    """Reads the machine list and updates the cluster state and the fleet state by it."""

    def __init__(
        self,
        context: AutoscalerContext,
        supply: MachineSupply,
        state: FleetState,
        termination: MachineTermination,
        introduce_leader: Callable[[str, int], None],
    ) -> None:
        self._cluster = context.cluster
        self._cloud = context.cloud
        self._clock = context.clock
        self._is_leadership_proven = context.is_leadership_proven
        self._supply = supply
        self._state = state
        self._termination = termination
        self._introduce_leader = introduce_leader
        # Names of the machines whose workers have been told which controller leads.
        self._introduced: set[str] = set()

    async def read(self) -> None:
        """Runs one pass: reads the list and applies it."""
        try:
            self.apply(await self._cloud.list_machines())
        except CloudError as error:
            log.info("machine list not read reason=%s", error)

    def apply(self, listed: list[ListedMachine]) -> None:
        """Introduces the leader to listed machines, adopts unknown ones and terminates failed ones."""
        now = self._clock.now()
        types = {machine_type.name: machine_type for machine_type in self._supply.types()}
        known = _KnownMachines.from_cluster(self._cluster)
        current = [machine for machine in listed if machine.name not in self._state.terminating]
        self._cluster.observe_listed_machines(
            [
                MachineLocation(machine.name, machine.address, machine.zone)
                for machine in current
                if _is_running(machine)
            ]
        )
        for machine in current:
            self._introduce_leader_to(machine, known)
            self._adopt(machine, known, types, now)
        failed = _failed_machines(current, known)
        if failed and self._is_leadership_proven():
            self._termination.terminate(failed)

    def _introduce_leader_to(self, machine: ListedMachine, known: _KnownMachines) -> None:
        """Tells the worker of a running machine which controller leads, unless the worker has been told
        before or has acknowledged this leader's token."""
        name = machine.name
        if not _is_running(machine) or name in known.acknowledged or name in known.terminated:
            return
        if name not in self._introduced:
            self._introduced.add(name)
            self._introduce_leader(machine.address, known.incarnations.get(name, FIRST_INCARNATION))

    def _adopt(
        self, machine: ListedMachine, known: _KnownMachines, types: dict[str, MachineType], now: timedelta
    ) -> None:
        """Records a machine as booting that was provisioned by a previous leader or by a request that was
        given up. The machine then sends a heartbeat or is terminated with a boot timeout."""
        name = machine.name
        if machine.state == MachineState.FAILED or name in known.present or name in known.terminated:
            return
        if name in self._state.booting or machine.type not in types:
            return
        age = min(seconds(machine.age_s), now) if machine.state == MachineState.STARTING else ZERO
        self._state.booting[name] = BootingMachine(
            types[machine.type], machine.zone, machine.spot, now - age, _is_running(machine)
        )
        log.info("machine adopted machine=%s state=%s", name, machine.state)


def _is_running(machine: ListedMachine) -> bool:
    return machine.state == MachineState.RUNNING


def _failed_machines(listed: Iterable[ListedMachine], known: _KnownMachines) -> dict[str, TerminationReason]:
    return {
        machine.name: TerminationReason.FAILED
        for machine in listed
        if machine.state == MachineState.FAILED and machine.name not in known.terminated
    }
