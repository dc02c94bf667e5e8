"""Placement: which waiting tasks start on which machines, in queue order."""

import math
from dataclasses import replace

from spindleglade.backfill.plan import Placement, UnplacedDemand
from spindleglade.backfill.planning_state import PlanningState
from spindleglade.backfill.reservation import Reservation, reserve_capacity
from spindleglade.backfill.snapshot import (
    GroupKey,
    JobView,
    RunningTask,
    is_best_effort,
    unclaimed_guarantee_cpus,
)

# One in this many waiting tasks of an overdue job, and at least one, is placed ahead of all other jobs.
_TASKS_PER_OVERDUE_START = 8


class JobPlacer:
    """Places the jobs of a snapshot, and backfills past the reserved job where the reservation allows it."""

    def __init__(self, state: PlanningState, reservation: Reservation) -> None:
        self._state = state
        self._reservation = reservation
        # Placement keys of jobs that fit on no machine now.
        self._unplaceable_keys: set[GroupKey] = set()

    def place_all(self) -> None:
        """Places overdue jobs first, then all jobs by priority, urgency and submission order."""
        jobs = self._state.jobs
        for job in jobs:
            if job.is_overdue and job.waiting_tasks:
                self._place_overdue(job)
        # Higher priorities are placed first: they could preempt tasks of lower priority started in the same
        # pass, and a task that starts only to be stopped loses its work. Within a priority, a job is placed
        # first once the deadline of its dependents leaves it no time to wait.
        for job in sorted(jobs, key=lambda job: (-job.rank, not job.is_urgent)):
            if job.waiting_tasks:
                self._place_job(job)

    def _place_overdue(self, job: JobView) -> None:
        """Places some tasks of an overdue job ahead of all priorities.

        Without this, an endless stream of small tasks of high priority would starve large ones. Only some of
        the tasks, or a whole gang, are placed first: if all jobs were overdue, placing all of their tasks
        first would leave priorities without effect. The remaining tasks are placed by priority like those of
        other jobs, because a job is no longer overdue once one of its tasks has started.
        """
        count = len(job.waiting_tasks)
        if not job.is_gang:
            count = max(1, count // _TASKS_PER_OVERDUE_START)
        self._place_job(replace(job, waiting_tasks=job.waiting_tasks[:count]))
        job.waiting_tasks, job.is_overdue = job.waiting_tasks[count:], False

    def _place_job(self, job: JobView) -> None:
        state = self._state
        quota = state.quota_left(job)
        if job.is_overdue and not quota:
            self._reserve_quota(job)
        max_tasks = min(len(job.waiting_tasks), quota)
        # A job delayed only by its team's limit gets no reservation, so other jobs need not wait for it.
        if not max_tasks or (job.is_gang and max_tasks < len(job.waiting_tasks)):
            return
        unplaced = max_tasks - self._place_tasks(job, max_tasks)
        # A job that failed repeatedly runs one task as a probe. The probe may fail again, so no capacity is
        # reserved or provisioned for it, unless the job is overdue or fits on no existing machine.
        if unplaced and (job.is_overdue or not job.is_probe or not state.has_eligible_machine(job)):
            self._add_unplaced(job, unplaced)

    def _reserve_quota(self, job: JobView) -> None:
        """Reserves CPUs and GPUs within its team's limit for one task of an overdue job.

        Otherwise small tasks of the team would use each CPU or GPU as it is released, and a large task would
        never start.
        """
        cpus, gpus = self._state.reserved_quota.get(job.team, (0.0, 0.0))
        self._state.reserved_quota[job.team] = cpus + job.cpus, gpus + job.gpus

    def _add_unplaced(self, job: JobView, count: int) -> None:
        state = self._state
        state.plan.unplaced.append(UnplacedDemand(job, count, state.is_within_guarantee(job)))
        if job.is_overdue:
            reserve_capacity(state, job, count)
        self._reservation.reserve(job, count if job.is_gang else 1)

    def _place_tasks(self, job: JobView, max_tasks: int) -> int:
        """Places at most `max_tasks` tasks of the job. Returns how many were placed."""
        ignores_reservation = self._reservation.may_be_ignored_by(job)
        allowed = self._count_leaving_guarantees(job, max_tasks)
        if not allowed or not (ignores_reservation or not self._reservation.is_refused(job)):
            return 0
        if not job.is_independent:
            return self._place_task_by_task(job, allowed, ignores_reservation)
        if job.placement_key() in self._unplaceable_keys and not job.avoided_machines:
            return 0
        return self._place_independent_tasks(job, allowed, ignores_reservation)

    def _count_leaving_guarantees(self, job: JobView, max_tasks: int) -> int:
        """How many of the tasks may be placed so that every team can still claim its guarantee.

        Only best-effort work that is not overdue is restricted, and only if on-demand machines are preferred.
        They are preferred if work must start sooner than a machine boots. Capacity is then kept free for
        urgent starts. If best-effort work used this capacity, each urgent start would wait until enough
        best-effort tasks had saved and stopped.
        """
        state = self._state
        if not state.prefers_on_demand or job.is_overdue or not is_best_effort(job, state.teams):
            return max_tasks
        unclaimed = unclaimed_guarantee_cpus(state.teams, state.used_cpus)
        return min(max_tasks, job.count_fitting(max(0.0, state.free_cpus() - unclaimed), math.inf))

    def _place_independent_tasks(self, job: JobView, max_tasks: int, ignores_reservation: bool) -> int:
        """Places identical tasks, filling one machine after the other. Returns how many were placed."""
        fitting = self._state.count_fitting(job)
        if not fitting.any():
            if not job.avoided_machines:
                self._unplaceable_keys.add(job.placement_key())
            return 0
        placed = 0
        for row in self._state.placement_order(job, fitting):
            count = min(int(fitting[row]), max_tasks - placed)
            if not ignores_reservation:
                count = self._reservation.count_allowed(job, int(row), count)
            for index in job.waiting_tasks[placed : placed + count]:
                self._place_task(job, index, int(row))
            placed += count
            if placed == max_tasks:
                break
        return placed

    def _place_task_by_task(self, job: JobView, max_tasks: int, ignores_reservation: bool) -> int:
        """Places tasks one by one, because their eligible machines differ or depend on each other.

        All tasks of a gang are placed, or none. Returns how many were placed.
        """
        placed_rows: list[int] = []
        for index in job.waiting_tasks[:max_tasks]:
            row = self._choose_machine(job, index, ignores_reservation)
            if row is None:
                if job.excluded_machines and not job.is_gang:
                    continue
                break
            self._place_task(job, index, row)
            placed_rows.append(row)
        if job.is_gang and len(placed_rows) < len(job.waiting_tasks):
            self._undo_placements(job, placed_rows)
            return 0
        return len(placed_rows)

    def _choose_machine(self, job: JobView, index: int, ignores_reservation: bool) -> int | None:
        """The row of the machine on which to place one task; None if it cannot be placed now."""
        columns = self._state.columns
        fitting = self._state.count_fitting(job)
        for name in job.excluded_machines.get(index, ()):
            if name in columns.row_by_name:
                fitting[columns.row_by_name[name]] = 0
        for row in self._state.placement_order(job, fitting):
            if ignores_reservation or self._reservation.count_allowed(job, int(row), 1):
                return int(row)
        return None

    def _place_task(self, job: JobView, index: int, row: int) -> None:
        state = self._state
        machine = state.machines[row]
        state.plan.placements.append(Placement(job.id, index, machine.name))
        task = RunningTask(job.id, index, job.team, job.rank, job.cpus, job.gpus, job.memory, job.estimate)
        state.placed_tasks.append((row, task))
        state.columns.free[row] -= job.demand
        if job.image not in machine.images:
            state.columns.start_fetch(job.image, row)
        if machine.reserved_capacity.get(job.id):
            machine.reserved_capacity[job.id] -= 1
        job.tasks_by_zone[machine.zone] = job.tasks_by_zone.get(machine.zone, 0) + 1
        state.add_usage(job.team, job.cpus, job.gpus)

    def _undo_placements(self, job: JobView, placed_rows: list[int]) -> None:
        """Removes the latest placements, on these rows, of a gang that did not fit as a whole."""
        state = self._state
        for row in reversed(placed_rows):
            state.plan.placements.pop()
            state.placed_tasks.pop()
            state.columns.free[row] += job.demand
            job.tasks_by_zone[state.machines[row].zone] -= 1
            state.add_usage(job.team, -job.cpus, -job.gpus)
