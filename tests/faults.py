"""Troubles of all kinds for generated tests: which, when, how long, and where they strike."""

from hypothesis import strategies as st

from spindleglade.runtime.clock import seconds
from tests.deployment import CANCEL
from tests.world import World

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


def do(world: World, kind: str, length: float, hold: bool, pick: int) -> None:
    """Begins one trouble now. `length` is in seconds; `pick` chooses where it strikes."""
    span = seconds(length)
    leader = world.leader()
    index = pick % 3 if leader is None or kind.endswith("any") else leader
    name = world.node_names[index]
    machines = [worker.machine.address for worker in world.workers.values() if not worker.gone]
    machine = machines[pick % len(machines)] if machines else None
    if kind == "outage":
        world.outage(span)
    elif kind.startswith("refuse"):
        world.refuse(index, span)
    elif kind == "gap":
        # Longer than a cancellation may take; some are cancelled as it begins.
        world.gap(seconds(1 + length), CANCEL + seconds(length / 3))
        world.cancel_now(3, seconds(0))
    elif kind == "kill_all":
        for at in range(3):
            world.restart(at, span)
    elif kind.startswith("kill"):
        world.restart(index, span)
    elif kind == "restart_leader":
        # Back at once, and once more in the middle of the election.
        world.restart(index, seconds(0.1 + pick / 250))
        world.clock.later(seconds(0.6 + pick / 100), world.restart, index, seconds(0.2))
    elif kind == "restart_all":
        for at in range(3):
            world.restart(at, seconds(0.1 + pick / 250))
    elif kind == "ten_leaders":
        world.change_leaders(10, seconds(10 + 2 * length))
    elif kind.startswith("freeze"):
        world.freeze_node(index, span)
    elif kind == "cut_leader_workers":
        world.cut(name, machines, hold, span)
    elif kind == "cut_leader_siblings":
        world.cut(name, world.node_names, hold, span)
    elif kind == "cut_leader_all":
        world.cut_off(name, hold, span)
    elif kind.startswith("isolate"):
        world.isolate(index, hold, span)
    elif kind == "cut_zone":
        world.cut_zone("ab"[pick % 2], hold, span)
    elif kind == "cut_machine" and machine:
        world.cut(machine, world.node_names, hold, span)
    elif kind == "deaf_machine" and machine:
        world.make_deaf(machine, span)
    elif kind == "mute_machine" and machine:
        world.make_mute(machine, span)
    elif kind == "machine_hang" and machine:
        world.hang(machine, span)
    elif kind == "machine_dies" and machine:
        world.kill_machine(machine.partition(":")[0])
    elif kind == "spot_notice" and machine:
        world.notice(machine.partition(":")[0], span)
    elif kind == "cancel_now":
        world.cancel_now(4, seconds(0))
    elif kind == "cancel_now_hang":
        world.cancel_now(4, span)
    elif kind == "odd_requests":
        world.odd_requests(span)
    elif kind == "close_looks":
        world.during(span, "cancels_at_once", 0.3)
        world.during(span, "close_looks", True)
    elif kind == "cancel_at_end":
        world.during(span, kind, 0.6)
    elif kind in ("slow_store", "slow_links"):
        world.during(span, kind, seconds(0.2 + pick / 50 if kind == "slow_store" else 0.3))
    elif kind in ("late_writes", "lost_answers", "late_reports", "kept_reports", "repeats"):
        world.during(span, kind, 0.3)
    elif kind == "losses":
        world.during(span, "lose", 0.1)
    elif kind == "cloud_trouble":
        world.trouble(span)
        world.cloud.trouble = True
        world.clock.later(span, setattr, world.cloud, "trouble", False)
    elif kind == "quick_boots":
        world.cloud.boot_s = (0.2, 1.5)
