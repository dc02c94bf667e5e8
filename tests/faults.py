"""Troubles of all kinds for generated tests: which, when, how long, and where they strike."""

from hypothesis import strategies as st

from spindleglade.runtime.clock import seconds
from tests.deployment_config import CANCEL
from tests.simulated_deployment import SimulatedDeployment

FAULTS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "outage",
                "refuse_leader",
                "refuse_any",
                "gap",
                "slow_store",
                "late_writes",
                "lost_answers",
                "kill_leader",
                "kill_any",
                "kill_all",
                "restart_leader",
                "restart_all",
                "ten_leaders",
                "freeze_leader",
                "freeze_any",
                "cut_leader_workers",
                "cut_leader_siblings",
                "cut_leader_all",
                "isolate_leader",
                "isolate_any",
                "cut_zone",
                "cut_machine",
                "deaf_machine",
                "mute_machine",
                "machine_hang",
                "machine_dies",
                "spot_notice",
                "cloud_trouble",
                "quick_boots",
                "losses",
                "slow_links",
                "late_reports",
                "kept_reports",
                "repeats",
                "cancel_now",
                "cancel_now_hang",
                "cancel_at_end",
                "odd_requests",
                "close_looks",
            ]
        ),
        st.floats(2, 22),
        st.floats(0.3, 12),
        st.booleans(),
        st.integers(0, 100),
    ),
    min_size=1,
    max_size=6,
)


def do(deployment: SimulatedDeployment, kind: str, length: float, hold: bool, pick: int) -> None:
    """Begins one trouble now. `length` is in seconds; `pick` chooses where it strikes."""
    span = seconds(length)
    leader = deployment.leader()
    index = pick % 3 if leader is None or kind.endswith("any") else leader
    name = deployment.node_names[index]
    machines = [worker.machine.address for worker in deployment.workers.values() if not worker.gone]
    machine = machines[pick % len(machines)] if machines else None
    if kind == "outage":
        deployment.outage(span)
    elif kind.startswith("refuse"):
        deployment.refuse(index, span)
    elif kind == "gap":
        # Longer than a cancellation may take; some are cancelled as it begins.
        deployment.gap(seconds(1 + length), CANCEL + seconds(length / 3))
        deployment.cancel_now(3, seconds(0))
    elif kind == "kill_all":
        for at in range(3):
            deployment.restart(at, span)
    elif kind.startswith("kill"):
        deployment.restart(index, span)
    elif kind == "restart_leader":
        # Back at once, and once more in the middle of the election.
        deployment.restart(index, seconds(0.1 + pick / 250))
        deployment.clock.later(seconds(0.6 + pick / 100), deployment.restart, index, seconds(0.2))
    elif kind == "restart_all":
        for at in range(3):
            deployment.restart(at, seconds(0.1 + pick / 250))
    elif kind == "ten_leaders":
        deployment.change_leaders(10, seconds(10 + 2 * length))
    elif kind.startswith("freeze"):
        deployment.freeze_node(index, span)
    elif kind == "cut_leader_workers":
        deployment.cut(name, machines, hold, span)
    elif kind == "cut_leader_siblings":
        deployment.cut(name, deployment.node_names, hold, span)
    elif kind == "cut_leader_all":
        deployment.cut_off(name, hold, span)
    elif kind.startswith("isolate"):
        deployment.isolate(index, hold, span)
    elif kind == "cut_zone":
        deployment.cut_zone("ab"[pick % 2], hold, span)
    elif kind == "cut_machine" and machine:
        deployment.cut(machine, deployment.node_names, hold, span)
    elif kind == "deaf_machine" and machine:
        deployment.make_deaf(machine, span)
    elif kind == "mute_machine" and machine:
        deployment.make_mute(machine, span)
    elif kind == "machine_hang" and machine:
        deployment.hang(machine, span)
    elif kind == "machine_dies" and machine:
        deployment.kill_machine(machine.partition(":")[0])
    elif kind == "spot_notice" and machine:
        deployment.notice(machine.partition(":")[0], span)
    elif kind == "cancel_now":
        deployment.cancel_now(4, seconds(0))
    elif kind == "cancel_now_hang":
        deployment.cancel_now(4, span)
    elif kind == "odd_requests":
        deployment.odd_requests(span)
    elif kind == "close_looks":
        deployment.during(span, "cancels_at_once", 0.3)
        deployment.during(span, "close_looks", True)
    elif kind == "cancel_at_end":
        deployment.during(span, kind, 0.6)
    elif kind in ("slow_store", "slow_links"):
        deployment.during(span, kind, seconds(0.2 + pick / 50 if kind == "slow_store" else 0.3))
    elif kind in ("late_writes", "lost_answers", "late_reports", "kept_reports", "repeats"):
        deployment.during(span, kind, 0.3)
    elif kind == "losses":
        deployment.during(span, "lose", 0.1)
    elif kind == "cloud_trouble":
        deployment.trouble(span)
        deployment.cloud.trouble = True
        deployment.clock.later(span, setattr, deployment.cloud, "trouble", False)
    elif kind == "quick_boots":
        deployment.cloud.boot_s = (0.2, 1.5)
