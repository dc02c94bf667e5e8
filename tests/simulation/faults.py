"""Faults that tests bring about. Each is in place at once and ends by itself."""

from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from random import Random
from typing import Any

from spindleglade.runtime.clock import ManualClock, seconds
from tests.invariants.placement_invariants import PlacementInvariants
from tests.processes import LifeClock
from tests.simulation.controller_processes import ControllerProcesses
from tests.simulation.endpoints import STATE, Endpoints
from tests.simulation.executions import TaskExecutions
from tests.simulation.fault_window import FaultRates, FaultWindow
from tests.simulation.job_records import JobRecords
from tests.simulation.machines import SimulatedMachines
from tests.simulation.network import SimulatedNetwork

# Between the refusal of the leader alone and the outage for all.
OUTAGE_AFTER_REFUSAL = seconds(1)
# Users that cancel together do so within this time.
CANCELLED_WITHIN_S = 0.2
HANG_PROBABILITY = 0.5
# How long a leader is away that makes room for the next one.
LEADER_AWAY_S = (0.2, 0.8, 3.0, 9.0)


class Faults:
    """Makes the store, the network, controllers and machines fail for a while."""

    def __init__(
        self,
        clock: ManualClock,
        rng: Random,
        window: FaultWindow,
        rates: FaultRates,
        counts: Counter[str],
        endpoints: Endpoints,
        network: SimulatedNetwork,
        processes: ControllerProcesses,
        machines: SimulatedMachines,
        jobs: JobRecords,
        executions: TaskExecutions,
        placement: PlacementInvariants,
        cancel: Callable[[str], None],
    ) -> None:
        """`cancel` has a user cancel a job."""
        self._clock, self._rng, self._window, self._rates, self._counts = clock, rng, window, rates, counts
        self._endpoints, self._network = endpoints, network
        self._processes, self._machines = processes, machines
        self._jobs, self._executions, self._placement = jobs, executions, placement
        self._cancel = cancel

    def during(self, length: timedelta, rate: str, value: Any) -> None:
        """Sets one of the fault rates for a while."""
        self._window.extend(length)
        none = type(getattr(self._rates, rate))()
        setattr(self._rates, rate, value)
        self._clock.later(length, setattr, self._rates, rate, none)

    # The store.

    def outage(self, length: timedelta) -> None:
        """The store answers nobody."""
        self._window.extend(length)
        self._endpoints.state.outage(length)

    def refuse(self, index: int, length: timedelta) -> None:
        """The store answers this controller alone with 503."""
        name = self._endpoints.controller_names[index]
        self._window.extend(length)
        self._network.refused_by_store.add(name)
        self._clock.later(length, self._network.refused_by_store.discard, name)

    def refuse_leader_then_outage(self, alone: timedelta, length: timedelta) -> None:
        """The store refuses the leader alone, and a second later it is down for all."""
        leader = self._endpoints.leader()
        if leader is not None:
            self.refuse(leader, alone)
        self._clock.later(OUTAGE_AFTER_REFUSAL, self.outage, length)

    # Controllers.

    def restart(self, index: int, away: timedelta) -> None:
        """The controller's process ends; another one starts after that time."""
        self._window.extend(away)
        self._processes.kill(index)
        self._clock.later(away, self._processes.start_unless_running, index)

    def restart_leader(self, away: timedelta) -> None:
        """The same with whoever leads now, if anybody does."""
        leader = self._endpoints.leader()
        if leader is not None:
            self.restart(leader, away)

    def change_leaders(self, changes: int, span: timedelta) -> None:
        """Leader after leader ends and is back a while later, or at once."""
        self._window.extend(span)

        def end_leader() -> None:
            leader = self._endpoints.leader()
            if leader is not None:
                self._counts["leaders ended"] += 1
                self.restart(leader, seconds(self._rng.choice(LEADER_AWAY_S)))

        for number in range(changes):
            self._clock.later(span * number / changes, end_leader)

    def freeze(self, index: int, length: timedelta) -> None:
        """The process stands still; what is sent to it waits."""
        name = self._endpoints.controller_names[index]
        if name in self._endpoints.controllers:
            life: LifeClock = self._processes.clocks[name]
            life.frozen = self._clock.now() + length
            self._network.cut_off(name, True, length)

    def silence(self, index: int, length: timedelta) -> None:
        """It says nothing more, and nothing that is sent to it arrives, though connections to it are made."""
        name = self._endpoints.controller_names[index]
        self._network.silent.add(name)
        self._clock.later(length, self._network.silent.discard, name)
        self._network.cut_off(name, False, length)

    def isolate(self, index: int, hold: bool, length: timedelta) -> None:
        """No store and no peers, while workers and users still reach it."""
        names = self._endpoints.controller_names
        self._network.cut(names[index], [*names, STATE], hold, length)

    # Machines.

    def make_unreachable(self, machine: str, length: timedelta) -> None:
        """Neither answers nor commands reach the machine, while its heartbeats arrive."""
        self._window.extend(length)
        self._network.unreachable.add(machine)
        self._clock.later(length, self._network.unreachable.discard, machine)

    def stop_heartbeats(self, machine: str, length: timedelta) -> None:
        """The machine reaches no controller, while direct commands reach it."""
        self._window.extend(length)
        self._network.cannot_report.add(machine)
        self._clock.later(length, self._network.cannot_report.discard, machine)

    def hang(self, machine: str, length: timedelta) -> None:
        """The machine, by name or address, does nothing, and then goes on."""
        worker = self._endpoints.workers.get(machine.partition(":")[0])
        if worker is not None and not worker.terminated:
            self._counts["hung"] += 1
            self._window.extend(length)
            worker.hang(length)
            self._clock.later(length, self._placement.check_after_hang, worker)

    def give_notice(self, name: str, length: timedelta) -> None:
        """The cloud takes the machine away after a notice."""
        self._window.extend(length)
        worker = self._endpoints.workers[name]
        worker.terminates_at = self._clock.now() + length
        worker.has_changes = True

        def terminate() -> None:
            self._endpoints.cloud.machines.pop(name, None)
            worker.terminate()

        self._clock.later(length, terminate)

    def kill_machine(self, name: str) -> None:
        """The machine is lost without notice."""
        self._window.extend(timedelta(0))
        machines = self._endpoints.cloud.machines
        if name in machines:
            machines[name].state = "failed"
        self._machines.stop_worker(name)

    # Users.

    def cancel_running(self, count: int, hang: timedelta) -> None:
        """Users cancel running jobs within a fifth of a second; some of their machines hang then."""
        running = [
            job
            for job in self._jobs.descriptions
            if self._executions.machines_of(job) and job not in self._jobs.cancel_requested
        ]
        self._window.extend(seconds(CANCELLED_WITHIN_S))
        for job in self._rng.sample(running, min(count, len(running))):
            self._counts["cancelled now"] += 1
            machines = self._executions.machines_of(job)
            if hang and self._rng.random() < HANG_PROBABILITY:
                self.hang(self._rng.choice(machines), hang)
            delay = seconds(self._rng.uniform(0, CANCELLED_WITHIN_S))
            self._clock.later(delay, self._cancel, job)
