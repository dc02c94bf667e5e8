"""A planning pass: which waiting tasks start where, and which running ones are preempted for them.

The ordinary path is the paper's: one queue in submission order, array jobs task by task; the first job that
does not fit holds a reservation, and a later one goes ahead of it if its chance of delaying it is below tau.
Priorities and guarantees enter where the protocol lets them: work that could preempt a task of the reserved
job does not wait for the reservation, and may preempt running work. A job that has had no start for long is
overdue: it comes first, nothing outranks its reservation, and capacity is reserved for it.

Everything here is a function of the snapshot, so it runs without any lock. Tasks of one job are decided
together: machines are sorted once for all of them, which gives the same placements as choosing the best
machine for one task after the other.
"""

from functools import partial

from spindleglade.backfill.placement import JobPlacer
from spindleglade.backfill.plan import Plan
from spindleglade.backfill.planning_state import PlanningState
from spindleglade.backfill.preemption import PreemptionMode, PreemptionPolicy
from spindleglade.backfill.readiness import expected_release
from spindleglade.backfill.reservation import Reservation
from spindleglade.backfill.snapshot import Snapshot


class Planner:
    """Makes plans by the operators' settings."""

    def __init__(self, tau: float, preempt: str = PreemptionMode.NONE) -> None:
        self._tau = tau
        self._preemption_mode = PreemptionMode(preempt)

    def plan(self, snapshot: Snapshot) -> Plan:
        """Makes the plan for a snapshot. Writes to the snapshot's jobs and reserved capacity."""
        state = PlanningState(snapshot)
        preemption = PreemptionPolicy(state, self._preemption_mode)
        return run_pass(state, Reservation(state, self._tau), preemption)


def run_pass(state: PlanningState, reservation: Reservation, preemption: PreemptionPolicy) -> Plan:
    """Places jobs in the queue's order, past the reserved job where that is allowed, then preempts."""
    JobPlacer(state, reservation).place_all()
    preemption.preempt_for_unplaced()
    plan = state.plan
    plan.spare_cpus = state.free_cpus()
    plan.used_cpus = state.used_cpus
    plan.expected_release = partial(expected_release, state)
    return plan
