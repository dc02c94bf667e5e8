"""The reservation of the first job that did not fit: when it is expected to start, what may be backfilled."""

from datetime import timedelta

import numpy as np

from spindleglade.backfill.planning_state import PlanningState
from spindleglade.backfill.probability import DelayModel
from spindleglade.backfill.readiness import readiness
from spindleglade.backfill.snapshot import GroupKey, JobView

# Overdue jobs may reserve capacity until one in this many machines, and at least one, has reserved capacity.
_MACHINES_PER_RESERVATION = 16


class Reservation:
    """Holds the reserved job and decides which tasks may be backfilled ahead of it.

    A unit is an eligible machine that fits one task of the reserved job now, or will once enough of the tasks
    running on it have ended.
    """

    def __init__(self, state: PlanningState, tau: float) -> None:
        self._state = state
        # A task may be backfilled if the probability that it delays the reserved job is below this.
        self._tau = tau
        self._reserved_job: JobView | None = None
        # How many tasks of the reserved job must fit at once: all tasks of a gang, otherwise one.
        self._task_count = 1
        # Computed, with `_spare_capacity`, when the first backfill candidate is checked.
        self._cached_model: DelayModel | None = None
        # For each unit that is not taken, by the machine's row: CPUs, GPUs and memory that backfilled tasks
        # may use without taking the unit.
        self._spare_capacity: dict[int, tuple[float, float, float]] = {}
        # Units taken by tasks that were backfilled in this pass.
        self._units_taken = 0
        # Equivalence keys of tasks that may not take a unit.
        self._refused_keys: set[GroupKey] = set()

    def reserve(self, job: JobView, task_count: int) -> None:
        """Gives the reservation to the job, unless another job holds it already."""
        if self._reserved_job is None:
            self._reserved_job = job
            self._task_count = task_count
            self._state.plan.reserved_job = job.id

    def is_refused(self, job: JobView) -> bool:
        """Whether tasks equivalent to those of the job may not take a unit."""
        return job.equivalence_key() in self._refused_keys

    def may_be_ignored_by(self, job: JobView) -> bool:
        """Whether the job need not respect the reservation: there is none, or the job outranks its holder.

        No job outranks an overdue job.
        """
        return self._reserved_job is None or (
            not self._reserved_job.is_overdue and self._outranks(job, self._reserved_job)
        )

    def _outranks(self, job: JobView, reserved_job: JobView) -> bool:
        """Whether the job might preempt a task of the reserved job by the protocol's rules.

        Holding the job back would only postpone the preemption, and the preempted task would lose its work.
        """
        if job.rank > reserved_job.rank:
            return True
        return (
            job.team != reserved_job.team
            and self._state.is_within_guarantee(job)
            and not self._state.is_within_guarantee(reserved_job)
        )

    def count_allowed(self, job: JobView, row: int, max_tasks: int) -> int:
        """How many of `max_tasks` tasks that fit on the machine may be backfilled.

        Tasks that leave enough capacity for a task of the reserved job take no unit and delay nothing. For
        tasks that would take the unit, Algorithm 2 decides. If it refuses one, all equivalent tasks are
        refused.
        """
        model = self._delay_model()
        spare = self._spare_capacity.get(row)
        if spare is None:
            return max_tasks
        count = min(max_tasks, job.count_fitting(*spare))
        if count < max_tasks and not self.is_refused(job):
            if self._is_delay_unlikely(job, model):
                self._units_taken += 1
                del self._spare_capacity[row]
                return max_tasks
            self._refused_keys.add(job.equivalence_key())
        if count:
            self._spare_capacity[row] = (
                spare[0] - job.cpus * count,
                spare[1] - job.gpus * count,
                spare[2] - job.memory * count,
            )
        return count

    def _is_delay_unlikely(self, job: JobView, model: DelayModel) -> bool:
        """Whether the probability that a task of the job delays the reserved job is below tau."""
        self._state.plan.delay_checks += 1
        ends, weights = self._state.predictor.remaining(job.team, job.estimate, timedelta(0))
        return model.delay_probability(ends, weights, self._units_taken + 1) < self._tau

    def _delay_model(self) -> DelayModel:
        """Returns the delay model of the reserved job. The first call also fills `_spare_capacity`."""
        if self._cached_model is None:
            assert self._reserved_job is not None
            units = readiness(self._state, self._reserved_job)
            rows = np.nonzero(units.is_unit)[0]
            self._spare_capacity = {int(row): tuple(units.left_over[row]) for row in rows}
            ready_count = int((units.is_unit & (units.seconds_until == 0.0)).sum())
            missing_units = max(1, min(self._task_count, len(self._spare_capacity)) - ready_count)
            self._cached_model = DelayModel(
                units.ends, units.weights, units.ending_machine_rows, missing_units
            )
        return self._cached_model


def reserve_capacity(state: PlanningState, job: JobView, task_count: int) -> None:
    """Reserves capacity for tasks of an overdue job on the machines that are expected to fit one soonest.

    This keeps small tasks off a machine until it has enough free capacity for a task of the job. Capacity
    that is already reserved for the job stays reserved. The number of reserved machines is limited because
    they are partly idle until the task starts.
    """
    machines, columns, plan = state.machines, state.columns, state.plan
    reserved_count = 0
    for row in columns.reserved_rows:
        count = machines[row].reserved_capacity.get(job.id, 0)
        if count > 0:
            plan.reserved_capacity.append((machines[row].name, job.id, count))
            reserved_count += count
    max_reserved = max(1, len(machines) // _MACHINES_PER_RESERVATION)
    additional = min(task_count - reserved_count, max_reserved - len(columns.reserved_rows))
    if additional <= 0:
        return
    units = readiness(state, job)
    seconds_until = np.where(units.is_unit, units.seconds_until, np.inf)
    for row in np.argsort(seconds_until, kind="stable")[:additional]:
        if not np.isfinite(seconds_until[row]):
            break
        if machines[row].reserved_capacity:
            continue
        machines[row].reserved_capacity[job.id] = 1
        columns.reserved_rows.append(int(row))
        plan.reserved_capacity.append((machines[row].name, job.id, 1))
