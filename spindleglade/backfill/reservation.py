"""The reservation of the first job that did not fit: when it is expected to start, and what may go ahead."""

from datetime import timedelta

import numpy as np

from spindleglade.backfill.planning_state import PlanningState
from spindleglade.backfill.probability import DelayModel
from spindleglade.backfill.readiness import readiness
from spindleglade.backfill.snapshot import JobView, Key

# Machines that may have capacity reserved for overdue jobs: one of so many, and at least one.
_MACHINES_PER_RESERVATION = 16


class Reservation:
    """Holds the reserved job, and decides which tasks may be placed ahead of it."""

    def __init__(self, state: PlanningState, tau: float) -> None:
        self._state = state
        # The highest chance of delaying the reserved job at which a task may still go ahead.
        self._tau = tau
        self._job: JobView | None = None
        self._task_count = 1
        # Made once a task asks to go ahead.
        self._model: DelayModel | None = None
        # For each machine that is a unit for the reserved job, CPUs, GPUs and memory that others may use
        # without taking the unit.
        self._spare: dict[int, tuple[float, float, float]] = {}
        # Units that tasks which went ahead have taken in this pass.
        self._units_taken = 0
        # Keys of tasks that may not take a unit.
        self._refused: set[Key] = set()

    def reserve(self, job: JobView, task_count: int) -> None:
        """Reserves for this job, unless another holds the reservation already."""
        if self._job is None:
            self._job = job
            self._task_count = task_count
            self._state.plan.reserved_job = job.id

    def is_refused(self, job: JobView) -> bool:
        """Whether tasks like those of the job may not take a unit."""
        return job.equivalence_key() in self._refused

    def may_be_ignored_by(self, job: JobView) -> bool:
        """Whether the job need not consider the reservation: there is none, or the job outranks it. Nothing
        outranks an overdue job."""
        return self._job is None or (not self._job.is_overdue and self._outranks(job, self._job))

    def _outranks(self, job: JobView, reserved_job: JobView) -> bool:
        """Whether the job might preempt a task of the reserved job by the protocol's rules. To hold it back
        would only make it do so later, and lose that task's work."""
        if job.rank > reserved_job.rank:
            return True
        return (
            job.team != reserved_job.team
            and self._state.is_within_guarantee(job)
            and not self._state.is_within_guarantee(reserved_job)
        )

    def count_allowed(self, job: JobView, row: int, wanted: int) -> int:
        """How many of the tasks that fit the machine may go ahead of the reserved job.

        Tasks that leave enough for the reserved job's task take no unit and delay nothing. The first that
        does not is decided by Algorithm 2, for all alike.
        """
        model = self._delay_model()
        spare = self._spare.get(row)
        if spare is None:
            return wanted
        count = min(wanted, job.count_fitting(*spare))
        if count < wanted and not self.is_refused(job):
            if self._is_delay_unlikely(job, model):
                self._units_taken += 1
                del self._spare[row]
                return wanted
            self._refused.add(job.equivalence_key())
        if count:
            self._spare[row] = (
                spare[0] - job.cpus * count,
                spare[1] - job.gpus * count,
                spare[2] - job.memory * count,
            )
        return count

    def _is_delay_unlikely(self, job: JobView, model: DelayModel) -> bool:
        """Whether the chance that a task of the job delays the reserved job is below tau."""
        self._state.plan.delay_checks += 1
        ends, weights = self._state.predictor.remaining(job.team, job.estimate, timedelta(0))
        return model.delay_probability(ends, weights, self._units_taken + 1) < self._tau

    def _delay_model(self) -> DelayModel:
        if self._model is None:
            assert self._job is not None
            units = readiness(self._state, self._job)
            rows = np.nonzero(units.is_unit)[0]
            self._spare = {int(row): tuple(units.left_over[row]) for row in rows}
            ready_count = int((units.is_unit & (units.seconds_until == 0.0)).sum())
            missing_units = max(1, min(self._task_count, len(self._spare)) - ready_count)
            self._model = DelayModel(units.ends, units.weights, units.ending_machines, missing_units)
        return self._model


def reserve_capacity(state: PlanningState, job: JobView, task_count: int) -> None:
    """Reserves capacity for tasks of an overdue job on the machines that fit one soonest, so that nothing
    small is placed there before enough is free in one place.

    It keeps what is reserved already. Reserved machines are partly idle meanwhile, so only some may be.
    """
    machines, columns, plan = state.machines, state.columns, state.plan
    reserved_count = 0
    for row in columns.reserved:
        count = machines[row].reserved_capacity.get(job.id, 0)
        if count > 0:
            plan.reserved_capacity.append((machines[row].name, job.id, count))
            reserved_count += count
    max_reserved = max(1, len(machines) // _MACHINES_PER_RESERVATION)
    additional = min(task_count - reserved_count, max_reserved - len(columns.reserved))
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
        columns.reserved.append(int(row))
        plan.reserved_capacity.append((machines[row].name, job.id, 1))
