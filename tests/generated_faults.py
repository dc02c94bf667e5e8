"""Faults of all kinds for generated tests: which, when, how long, and where they strike."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from hypothesis import strategies as st

from spindleglade.runtime.clock import seconds
from tests.deployment_config import CANCEL
from tests.simulated_deployment import SimulatedDeployment

CONTROLLERS = 3
# The share of messages, requests or jobs that one of these faults affects.
AFFECTED = 0.3
CANCELLED_AT_END = 0.6
LOST = 0.1
MAX_LINK_DELAY = seconds(0.3)
FAST_BOOT_S = (0.2, 1.5)


@dataclass(frozen=True)
class Strike:
    """One fault that begins now. `hold`: what is sent over a cut arrives at its end; `pick`, from 0 to 100,
    chooses where it strikes."""

    deployment: SimulatedDeployment
    length_s: float
    hold: bool
    pick: int

    @property
    def span(self) -> timedelta:
        """How long it lasts."""
        return seconds(self.length_s)

    @property
    def any_controller(self) -> int:
        """The index of some controller."""
        return self.pick % CONTROLLERS

    @property
    def leader(self) -> int:
        """The leader's index, or some other if nobody leads."""
        leader = self.deployment.leader()
        return self.any_controller if leader is None else leader

    @property
    def leader_name(self) -> str:
        """That controller's name."""
        return self.deployment.controller_names[self.leader]

    @property
    def machines(self) -> list[str]:
        """The addresses of all machines that are there."""
        workers = self.deployment.workers.values()
        return [worker.machine.address for worker in workers if not worker.terminated]

    @property
    def zone(self) -> str:
        """The name of some zone."""
        return "ab"[self.pick % 2]


Begin = Callable[[Strike], None]


def _on_machine(begin: Callable[[Strike, str], None]) -> Begin:
    """A fault of one machine, by its address; nothing if there is none."""

    def begin_on_some(strike: Strike) -> None:
        machines = strike.machines
        if machines:
            begin(strike, machines[strike.pick % len(machines)])

    return begin_on_some


def _rate(name: str, value: float | timedelta | bool) -> Begin:
    """Sets a fault rate for the span."""
    return lambda strike: strike.deployment.faults.during(strike.span, name, value)


def _refuse_leader_then_outage(strike: Strike) -> None:
    # Longer than a cancellation may take; some are cancelled as it begins.
    faults = strike.deployment.faults
    faults.refuse_leader_then_outage(seconds(1 + strike.length_s), CANCEL + seconds(strike.length_s / 3))
    faults.cancel_running(3, seconds(0))


def _slow_store(strike: Strike) -> None:
    strike.deployment.faults.during(strike.span, "slow_store", seconds(0.2 + strike.pick / 50))


def _kill_all(strike: Strike) -> None:
    for index in range(CONTROLLERS):
        strike.deployment.faults.restart(index, strike.span)


def _restart_leader(strike: Strike) -> None:
    # Back at once, and once more in the middle of the election.
    leader, faults = strike.leader, strike.deployment.faults
    faults.restart(leader, seconds(0.1 + strike.pick / 250))
    strike.deployment.clock.later(seconds(0.6 + strike.pick / 100), faults.restart, leader, seconds(0.2))


def _restart_all(strike: Strike) -> None:
    for index in range(CONTROLLERS):
        strike.deployment.faults.restart(index, seconds(0.1 + strike.pick / 250))


def _cut_leader_from(strike: Strike, others: list[str]) -> None:
    strike.deployment.network.cut(strike.leader_name, others, strike.hold, strike.span)


def _poll_everywhere(strike: Strike) -> None:
    strike.deployment.faults.during(strike.span, "cancel_at_once", AFFECTED)
    strike.deployment.faults.during(strike.span, "poll_everywhere", True)


def _cloud_unavailable(strike: Strike) -> None:
    strike.deployment.fault_window.extend(strike.span)
    strike.deployment.cloud.unavailable = True
    strike.deployment.clock.later(strike.span, setattr, strike.deployment.cloud, "unavailable", False)


def _fast_boots(strike: Strike) -> None:
    strike.deployment.cloud.boot_time_s = FAST_BOOT_S


KINDS: dict[str, Begin] = {
    "outage": lambda strike: strike.deployment.faults.outage(strike.span),
    "refuse_leader": lambda strike: strike.deployment.faults.refuse(strike.leader, strike.span),
    "refuse_any": lambda strike: strike.deployment.faults.refuse(strike.any_controller, strike.span),
    "refuse_leader_then_outage": _refuse_leader_then_outage,
    "slow_store": _slow_store,
    "late_writes": _rate("late_writes", AFFECTED),
    "lost_answers": _rate("lost_answers", AFFECTED),
    "kill_leader": lambda strike: strike.deployment.faults.restart(strike.leader, strike.span),
    "kill_any": lambda strike: strike.deployment.faults.restart(strike.any_controller, strike.span),
    "kill_all": _kill_all,
    "restart_leader": _restart_leader,
    "restart_all": _restart_all,
    "ten_leaders": lambda strike: strike.deployment.faults.change_leaders(
        10, seconds(10 + 2 * strike.length_s)
    ),
    "freeze_leader": lambda strike: strike.deployment.faults.freeze(strike.leader, strike.span),
    "freeze_any": lambda strike: strike.deployment.faults.freeze(strike.any_controller, strike.span),
    "cut_leader_workers": lambda strike: _cut_leader_from(strike, strike.machines),
    "cut_leader_peers": lambda strike: _cut_leader_from(strike, strike.deployment.controller_names),
    "cut_leader_all": lambda strike: strike.deployment.network.cut_off(
        strike.leader_name, strike.hold, strike.span
    ),
    "isolate_leader": lambda strike: strike.deployment.faults.isolate(
        strike.leader, strike.hold, strike.span
    ),
    "isolate_any": lambda strike: strike.deployment.faults.isolate(
        strike.any_controller, strike.hold, strike.span
    ),
    "cut_zone": lambda strike: strike.deployment.network.cut_zone(strike.zone, strike.hold, strike.span),
    "cut_machine": _on_machine(
        lambda strike, machine: strike.deployment.network.cut(
            machine, strike.deployment.controller_names, strike.hold, strike.span
        )
    ),
    "unreachable_machine": _on_machine(
        lambda strike, machine: strike.deployment.faults.make_unreachable(machine, strike.span)
    ),
    "stopped_heartbeats": _on_machine(
        lambda strike, machine: strike.deployment.faults.stop_heartbeats(machine, strike.span)
    ),
    "machine_hangs": _on_machine(lambda strike, machine: strike.deployment.faults.hang(machine, strike.span)),
    "machine_dies": _on_machine(
        lambda strike, machine: strike.deployment.faults.kill_machine(machine.partition(":")[0])
    ),
    "spot_notice": _on_machine(
        lambda strike, machine: strike.deployment.faults.give_notice(machine.partition(":")[0], strike.span)
    ),
    "cloud_unavailable": _cloud_unavailable,
    "fast_boots": _fast_boots,
    "lost_messages": _rate("lost_messages", LOST),
    "slow_links": _rate("slow_links", MAX_LINK_DELAY),
    "late_heartbeats": _rate("late_heartbeats", AFFECTED),
    "kept_heartbeats": _rate("kept_heartbeats", AFFECTED),
    "repeated_requests": _rate("repeated_requests", AFFECTED),
    "cancel_running": lambda strike: strike.deployment.faults.cancel_running(4, seconds(0)),
    "cancel_running_and_hang": lambda strike: strike.deployment.faults.cancel_running(4, strike.span),
    "cancel_at_end": _rate("cancel_at_end", CANCELLED_AT_END),
    "invalid_requests": lambda strike: strike.deployment.invalid_requests.send_for(strike.span),
    "poll_everywhere": _poll_everywhere,
}

# Kind, when it begins and how long it lasts in seconds, `hold` and `pick`.
FAULTS = st.lists(
    st.tuples(
        st.sampled_from(list(KINDS)),
        st.floats(2, 22),
        st.floats(0.3, 12),
        st.booleans(),
        st.integers(0, 100),
    ),
    min_size=1,
    max_size=6,
)


def inject(deployment: SimulatedDeployment, kind: str, length_s: float, hold: bool, pick: int) -> None:
    """Begins one fault now."""
    KINDS[kind](Strike(deployment, length_s, hold, pick))
