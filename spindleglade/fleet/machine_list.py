"""Follows the cloud's machine list: adopts machines, terminates failed ones, introduces the leader."""

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

# The incarnation in which a worker without tasks is addressed.
FIRST_INCARNATION = 1


@dataclass(frozen=True, slots=True)
class _KnownMachines:
    """What the cluster state knows of machines, by name."""

    present: set[str]
    terminated: set[str]
    # Their workers know this leader.
    acknowledged: set[str]
    # The latest incarnation in which tasks were placed there.
    incarnations: dict[str, int]

    @classmethod
    def of(cls, cluster: ClusterState) -> "_KnownMachines":
        """What the cluster state knows now."""
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
    """Reads the machine list and acts by it."""

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
        # Names of the machines whose workers have been told who leads.
        self._introduced: set[str] = set()

    async def read(self) -> None:
        """One pass: reads the list and applies it."""
        try:
            self.apply(await self._cloud.list_machines())
        except CloudError as error:
            log.info("machine list not read reason=%s", error)

    def apply(self, listed: list[ListedMachine]) -> None:
        """Acts by a list that has been read."""
        now = self._clock.now()
        types = {machine_type.name: machine_type for machine_type in self._supply.types()}
        known = _KnownMachines.of(self._cluster)
        current = [machine for machine in listed if machine.name not in self._state.terminating]
        self._cluster.observe_listed_machines(
            [MachineLocation(item.name, item.address, item.zone) for item in current if _is_running(item)]
        )
        for machine in current:
            self._introduce_leader_to(machine, known)
            self._adopt(machine, known, types, now)
        failed = _failed_machines(current, known)
        if failed and self._is_leadership_proven():
            self._termination.terminate(failed)

    def _introduce_leader_to(self, machine: ListedMachine, known: _KnownMachines) -> None:
        """Tells a running machine's worker who leads, once, unless it knows already."""
        name = machine.name
        if not _is_running(machine) or name in known.acknowledged or name in known.terminated:
            return
        if name not in self._introduced:
            self._introduced.add(name)
            self._introduce_leader(machine.address, known.incarnations.get(name, FIRST_INCARNATION))

    def _adopt(
        self, machine: ListedMachine, known: _KnownMachines, types: dict[str, MachineType], now: timedelta
    ) -> None:
        """Keeps as booting a machine that a previous leader provisioned, or a request that was given up. It
        reports, or is terminated for booting too long."""
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
