"""A planning pass: which waiting tasks start where, and which running tasks are preempted for them.

Placement follows the paper. Jobs are taken in submission order, array jobs task by task. The first job that
does not fit holds the reservation, and a later job is backfilled if the probability that it delays the
reserved job is below tau. Priorities and guarantees change this where the protocol allows: work that could
preempt a task of the reserved job does not wait for the reservation, and may preempt running work. A job that
has had no task started for a long time is overdue: it is placed first, no job outranks its reservation, and
capacity is reserved for it.

A plan depends only on its snapshot, so planning needs no lock. The tasks of a job are placed together: the
machines are sorted once for all of them, which gives the same placements as choosing the best machine for
each task in turn.
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
    """Makes plans with the operators' settings for tau and preemption."""

    def __init__(self, tau: float, preempt: str = PreemptionMode.NONE) -> None:
        self._tau = tau
        self._preemption_mode = PreemptionMode(preempt)

    def plan(self, snapshot: Snapshot) -> Plan:
        """Makes the plan for a snapshot. Modifies the snapshot's jobs and the machines' reserved capacity."""
        state = PlanningState(snapshot)
        preemption = PreemptionPolicy(state, self._preemption_mode)
        return run_planning_pass(state, Reservation(state, self._tau), preemption)


def run_planning_pass(state: PlanningState, reservation: Reservation, preemption: PreemptionPolicy) -> Plan:
    """Places jobs in queue order, backfills past the reserved job, then preempts for unplaced demand."""
    JobPlacer(state, reservation).place_all()
    preemption.preempt_for_unplaced()
    plan = state.plan
    plan.spare_cpus = state.free_cpus()
    plan.used_cpus = state.used_cpus
    plan.expected_release = partial(expected_release, state)
    return plan
