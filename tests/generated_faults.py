"""Generated faults of all kinds for property tests: the kind, start, duration and target of each fault."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from hypothesis import strategies as st

from spindleglade.runtime.clock import seconds
from tests.deployment_config import CANCEL_TIMEOUT
from tests.simulated_deployment import SimulatedDeployment

CONTROLLER_COUNT = 3
# Fractions of the messages, requests or jobs that a fault affects.
AFFECTED_FRACTION = 0.3
CANCELLED_AT_END_FRACTION = 0.6
LOST_FRACTION = 0.1
MAX_LINK_DELAY = seconds(0.3)
# The minimum and maximum boot time of machines that boot fast.
FAST_BOOT_S = (0.2, 1.5)


@dataclass(frozen=True)
class InjectedFault:
    """One fault that begins now.

    With `hold`, messages sent over a cut connection arrive when the cut ends; without it they are lost.
    `selector`, from 0 to 100, selects the target of the fault.
    """

    deployment: SimulatedDeployment
    duration_s: float
    hold: bool
    selector: int

    @property
    def duration(self) -> timedelta:
        """How long the fault lasts."""
        return seconds(self.duration_s)

    @property
    def controller_index(self) -> int:
        """The index of the selected controller."""
        return self.selector % CONTROLLER_COUNT

    @property
    def leader_index(self) -> int:
        """The index of the leader, or of the selected controller if there is no leader."""
        leader = self.deployment.leader()
        return self.controller_index if leader is None else leader

    @property
    def leader_name(self) -> str:
        """The name of the controller at `leader_index`."""
        return self.deployment.controller_names[self.leader_index]

    @property
    def machines(self) -> list[str]:
        """The addresses of all machines that are not terminated."""
        workers = self.deployment.workers.values()
        return [worker.machine.address for worker in workers if not worker.terminated]

    @property
    def zone(self) -> str:
        """The name of the selected zone."""
        return "ab"[self.selector % 2]


Injector = Callable[[InjectedFault], None]


def _on_machine(inject_at: Callable[[InjectedFault, str], None]) -> Injector:
    """An injector for the selected machine, given by its address. It does nothing if there is no machine."""

    def inject_on_machine(fault: InjectedFault) -> None:
        machines = fault.machines
        if machines:
            inject_at(fault, machines[fault.selector % len(machines)])

    return inject_on_machine


def _set_rate(rate: str, value: float | timedelta | bool) -> Injector:
    """An injector that sets a fault rate while the fault lasts."""
    return lambda fault: fault.deployment.faults.set_rate_during(fault.duration, rate, value)


def _refuse_leader_then_outage(fault: InjectedFault) -> None:
    # The outage lasts longer than `cancel_s`, and some running jobs are cancelled as the fault begins.
    faults = fault.deployment.faults
    faults.refuse_leader_then_outage(
        seconds(1 + fault.duration_s), CANCEL_TIMEOUT + seconds(fault.duration_s / 3)
    )
    faults.cancel_running(3, seconds(0))


def _slow_store(fault: InjectedFault) -> None:
    fault.deployment.faults.set_rate_during(fault.duration, "slow_store", seconds(0.2 + fault.selector / 50))


def _kill_all(fault: InjectedFault) -> None:
    for index in range(CONTROLLER_COUNT):
        fault.deployment.faults.restart(index, fault.duration)


def _restart_leader(fault: InjectedFault) -> None:
    # The leader restarts at once, and again in the middle of the election.
    leader, faults = fault.leader_index, fault.deployment.faults
    faults.restart(leader, seconds(0.1 + fault.selector / 250))
    fault.deployment.clock.later(seconds(0.6 + fault.selector / 100), faults.restart, leader, seconds(0.2))


def _restart_all(fault: InjectedFault) -> None:
    for index in range(CONTROLLER_COUNT):
        fault.deployment.faults.restart(index, seconds(0.1 + fault.selector / 250))


def _cut_leader_from(fault: InjectedFault, others: list[str]) -> None:
    fault.deployment.network.cut(fault.leader_name, others, fault.hold, fault.duration)


def _poll_everywhere(fault: InjectedFault) -> None:
    fault.deployment.faults.set_rate_during(fault.duration, "cancel_at_once", AFFECTED_FRACTION)
    fault.deployment.faults.set_rate_during(fault.duration, "poll_everywhere", True)


def _cloud_unavailable(fault: InjectedFault) -> None:
    fault.deployment.fault_window.extend(fault.duration)
    fault.deployment.cloud.unavailable = True
    fault.deployment.clock.later(fault.duration, setattr, fault.deployment.cloud, "unavailable", False)


def _fast_boots(fault: InjectedFault) -> None:
    fault.deployment.cloud.boot_time_s = FAST_BOOT_S


INJECTORS: dict[str, Injector] = {
    "outage": lambda fault: fault.deployment.faults.outage(fault.duration),
    "refuse_leader": lambda fault: fault.deployment.faults.refuse_by_store(
        fault.leader_index, fault.duration
    ),
    "refuse_any": lambda fault: fault.deployment.faults.refuse_by_store(
        fault.controller_index, fault.duration
    ),
    "refuse_leader_then_outage": _refuse_leader_then_outage,
    "slow_store": _slow_store,
    "late_writes": _set_rate("late_writes", AFFECTED_FRACTION),
    "lost_answers": _set_rate("lost_answers", AFFECTED_FRACTION),
    "kill_leader": lambda fault: fault.deployment.faults.restart(fault.leader_index, fault.duration),
    "kill_any": lambda fault: fault.deployment.faults.restart(fault.controller_index, fault.duration),
    "kill_all": _kill_all,
    "restart_leader": _restart_leader,
    "restart_all": _restart_all,
    "ten_leaders": lambda fault: fault.deployment.faults.change_leaders(
        10, seconds(10 + 2 * fault.duration_s)
    ),
    "freeze_leader": lambda fault: fault.deployment.faults.freeze(fault.leader_index, fault.duration),
    "freeze_any": lambda fault: fault.deployment.faults.freeze(fault.controller_index, fault.duration),
    "cut_leader_workers": lambda fault: _cut_leader_from(fault, fault.machines),
    "cut_leader_peers": lambda fault: _cut_leader_from(fault, fault.deployment.controller_names),
    "cut_leader_all": lambda fault: fault.deployment.network.cut_off(
        fault.leader_name, fault.hold, fault.duration
    ),
    "isolate_leader": lambda fault: fault.deployment.faults.isolate(
        fault.leader_index, fault.hold, fault.duration
    ),
    "isolate_any": lambda fault: fault.deployment.faults.isolate(
        fault.controller_index, fault.hold, fault.duration
    ),
    "cut_zone": lambda fault: fault.deployment.network.cut_zone(fault.zone, fault.hold, fault.duration),
    "cut_machine": _on_machine(
        lambda fault, machine: fault.deployment.network.cut(
            machine, fault.deployment.controller_names, fault.hold, fault.duration
        )
    ),
    "unreachable_machine": _on_machine(
        lambda fault, machine: fault.deployment.faults.make_unreachable(machine, fault.duration)
    ),
    "stopped_heartbeats": _on_machine(
        lambda fault, machine: fault.deployment.faults.stop_heartbeats(machine, fault.duration)
    ),
    "machine_hangs": _on_machine(
        lambda fault, machine: fault.deployment.faults.hang(machine, fault.duration)
    ),
    "machine_dies": _on_machine(
        lambda fault, machine: fault.deployment.faults.kill_machine(machine.partition(":")[0])
    ),
    "spot_notice": _on_machine(
        lambda fault, machine: fault.deployment.faults.terminate_with_notice(
            machine.partition(":")[0], fault.duration
        )
    ),
    "cloud_unavailable": _cloud_unavailable,
    "fast_boots": _fast_boots,
    "lost_messages": _set_rate("lost_messages", LOST_FRACTION),
    "slow_links": _set_rate("slow_links", MAX_LINK_DELAY),
    "late_heartbeats": _set_rate("late_heartbeats", AFFECTED_FRACTION),
    "kept_heartbeats": _set_rate("kept_heartbeats", AFFECTED_FRACTION),
    "repeated_requests": _set_rate("repeated_requests", AFFECTED_FRACTION),
    "cancel_running": lambda fault: fault.deployment.faults.cancel_running(4, seconds(0)),
    "cancel_running_and_hang": lambda fault: fault.deployment.faults.cancel_running(4, fault.duration),
    "cancel_at_end": _set_rate("cancel_at_end", CANCELLED_AT_END_FRACTION),
    "invalid_requests": lambda fault: fault.deployment.invalid_requests.send_for(fault.duration),
    "poll_everywhere": _poll_everywhere,
}

# Tuples of kind, start and duration in seconds, `hold` and `selector`.
FAULTS = st.lists(
    st.tuples(
        st.sampled_from(list(INJECTORS)),
        st.floats(2, 22),
        st.floats(0.3, 12),
        st.booleans(),
        st.integers(0, 100),
    ),
    min_size=1,
    max_size=6,
)


def inject(deployment: SimulatedDeployment, kind: str, duration_s: float, hold: bool, selector: int) -> None:
    """Starts a fault of this kind now."""
    INJECTORS[kind](InjectedFault(deployment, duration_s, hold, selector))
