"""Faults that tests inject. Each takes effect at once and ends after its length has passed."""

from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from random import Random
from typing import Any

from spindleglade.runtime.clock import ManualClock, seconds
from tests.invariants.placement_invariants import PlacementInvariants
from tests.processes import ProcessClock
from tests.simulation.controller_processes import ControllerProcesses
from tests.simulation.endpoints import STATE, Endpoints
from tests.simulation.executions import TaskExecutions
from tests.simulation.fault_window import FaultRates, FaultWindow
from tests.simulation.job_records import JobRecords
from tests.simulation.machines import SimulatedMachines
from tests.simulation.network import SimulatedNetwork

# The time from the start of the store's refusal of the leader to its outage for all controllers.
OUTAGE_AFTER_REFUSAL = seconds(1)
# Users who cancel jobs together do so within this time.
CANCELLATION_SPREAD_S = 0.2
HANG_PROBABILITY = 0.5
# How long the process of a leader that was ended stays down.
LEADER_DOWNTIMES_S = (0.2, 0.8, 3.0, 9.0)


class Faults:
    """Injects faults of the store, the network, controllers and machines, and bursts of cancellations."""

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
        """`cancel` makes a user cancel a job, given by its id."""
        self._clock, self._rng, self._window, self._rates, self._counts = clock, rng, window, rates, counts
        self._endpoints, self._network = endpoints, network
        self._processes, self._machines = processes, machines
        self._jobs, self._executions, self._placement = jobs, executions, placement
        self._cancel = cancel

    def set_rate_during(self, length: timedelta, rate: str, value: Any) -> None:
        """Sets one field of the fault rates for the given time, and then resets it to zero or False."""
        self._window.extend(length)
        zero = type(getattr(self._rates, rate))()
        setattr(self._rates, rate, value)
        self._clock.later(length, setattr, self._rates, rate, zero)

    # The store.

    def outage(self, length: timedelta) -> None:
        """Makes the store unavailable to all controllers."""
        self._window.extend(length)
        self._endpoints.state.outage(length)

    def refuse_by_store(self, index: int, length: timedelta) -> None:
        """Makes the store answer this controller, and no other, with 503."""
        name = self._endpoints.controller_names[index]
        self._window.extend(length)
        self._network.refused_by_store.add(name)
        self._clock.later(length, self._network.refused_by_store.discard, name)

    def refuse_leader_then_outage(self, refusal_length: timedelta, length: timedelta) -> None:
        """Makes the store refuse the leader for `refusal_length`, and starts an outage a second later."""
        leader = self._endpoints.leader()
        if leader is not None:
            self.refuse_by_store(leader, refusal_length)
        self._clock.later(OUTAGE_AFTER_REFUSAL, self.outage, length)

    # Controllers.

    def restart(self, index: int, downtime: timedelta) -> None:
        """Ends the controller's process, and starts another one after the given downtime."""
        self._window.extend(downtime)
        self._processes.kill(index)
        self._clock.later(downtime, self._processes.start_unless_running, index)

    def restart_leader(self, downtime: timedelta) -> None:
        """Restarts the current leader, if there is one."""
        leader = self._endpoints.leader()
        if leader is not None:
            self.restart(leader, downtime)

    def change_leaders(self, changes: int, length: timedelta) -> None:
        """Ends the current leader `changes` times, spread evenly over `length`; each restarts later."""
        self._window.extend(length)

        def end_leader() -> None:
            leader = self._endpoints.leader()
            if leader is not None:
                self._counts["leaders ended"] += 1
                self.restart(leader, seconds(self._rng.choice(LEADER_DOWNTIMES_S)))

        for number in range(changes):
            self._clock.later(length * number / changes, end_leader)

    def freeze(self, index: int, length: timedelta) -> None:
        """Pauses the controller's process. Messages to and from it are queued until it resumes."""
        name = self._endpoints.controller_names[index]
        if name in self._endpoints.controllers:
            process_clock: ProcessClock = self._processes.clocks[name]
            process_clock.frozen_until = self._clock.now() + length
            self._network.cut_off(name, True, length)

    def silence(self, index: int, length: timedelta) -> None:
        """Drops all messages to and from the controller, while connections to it are still accepted."""
        name = self._endpoints.controller_names[index]
        self._network.silent.add(name)
        self._clock.later(length, self._network.silent.discard, name)
        self._network.cut_off(name, False, length)

    def isolate(self, index: int, queue_messages: bool, length: timedelta) -> None:
        """Cuts the controller off from the store and its peers, while workers and users still reach it."""
        names = self._endpoints.controller_names
        self._network.cut(names[index], [*names, STATE], queue_messages, length)

    # Machines.

    def make_unreachable(self, machine: str, length: timedelta) -> None:
        """Drops answers and commands to the machine, while its heartbeats arrive at controllers."""
        self._window.extend(length)
        self._network.unreachable.add(machine)
        self._clock.later(length, self._network.unreachable.discard, machine)

    def stop_heartbeats(self, machine: str, length: timedelta) -> None:
        """Drops the machine's heartbeats, while direct commands reach it."""
        self._window.extend(length)
        self._network.cannot_send_heartbeats.add(machine)
        self._clock.later(length, self._network.cannot_send_heartbeats.discard, machine)

    def hang(self, machine: str, length: timedelta) -> None:
        """Makes the machine, given by name or address, hang for the given time and then resume."""
        worker = self._endpoints.workers.get(machine.partition(":")[0])
        if worker is not None and not worker.terminated:
            self._counts["hung"] += 1
            self._window.extend(length)
            worker.hang(length)
            self._clock.later(length, self._placement.check_after_hang, worker)

    def terminate_with_notice(self, name: str, length: timedelta) -> None:
        """Gives notice that the cloud terminates the machine after the given time, and terminates it then."""
        self._window.extend(length)
        worker = self._endpoints.workers[name]
        worker.terminates_at = self._clock.now() + length
        worker.has_changes = True

        def terminate() -> None:
            self._endpoints.cloud.machines.pop(name, None)
            worker.terminate()

        self._clock.later(length, terminate)

    def kill_machine(self, name: str) -> None:
        """Makes the machine fail without notice."""
        self._window.extend(timedelta(0))
        machines = self._endpoints.cloud.machines
        if name in machines:
            machines[name].state = "failed"
        self._machines.stop_worker(name)

    # Users.

    def cancel_running(self, count: int, hang_length: timedelta) -> None:
        """Cancels up to `count` running jobs within 0.2 s.

        For about half of these jobs, one machine that runs the job hangs for `hang_length` from now on.
        No machine hangs if `hang_length` is zero.
        """
        running = [
            job
            for job in self._jobs.descriptions
            if self._executions.machines_of(job) and job not in self._jobs.cancel_requested
        ]
        self._window.extend(seconds(CANCELLATION_SPREAD_S))
        for job in self._rng.sample(running, min(count, len(running))):
            self._counts["cancelled now"] += 1
            machines = self._executions.machines_of(job)
            if hang_length and self._rng.random() < HANG_PROBABILITY:
                self.hang(self._rng.choice(machines), hang_length)
            delay = seconds(self._rng.uniform(0, CANCELLATION_SPREAD_S))
            self._clock.later(delay, self._cancel, job)
