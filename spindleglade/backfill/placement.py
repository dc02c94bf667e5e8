"""Placement: which waiting tasks start on which machines, in the order of the queue."""

import math
from dataclasses import replace

from spindleglade.backfill.plan import Placement, UnplacedDemand
from spindleglade.backfill.planning_state import PlanningState
from spindleglade.backfill.reservation import Reservation, reserve_capacity
from spindleglade.backfill.snapshot import JobView, Key, RunningTask, is_best_effort, unclaimed_guarantee_cpus

# Of an overdue job's tasks, one of so many goes before all other jobs.
_TASKS_PER_OVERDUE_START = 8


class JobPlacer:
    """Places the jobs of a snapshot, past the reservation where it allows that."""

    def __init__(self, state: PlanningState, reservation: Reservation) -> None:
        self._state = state
        self._reservation = reservation
        # Keys of jobs that fit no machine now.
        self._unplaceable: set[Key] = set()

    def place_all(self) -> None:
        """Places overdue jobs, then all by priority, urgency and order of submission."""
        jobs = self._state.jobs
        for job in jobs:
            if job.is_overdue and job.waiting_tasks:
                self._place_overdue(job)
        # A higher priority goes first because it could preempt what a lower one started in the same pass,
        # and starting only to stop loses work. Within a priority, a job with dependents goes first once their
        # deadline leaves it no time to wait.
        for job in sorted(jobs, key=lambda job: (-job.rank, not job.is_urgent)):
            if job.waiting_tasks:
                self._place_job(job)

    def _place_overdue(self, job: JobView) -> None:
        """Places some tasks of an overdue job ahead of all priorities.

        Without that, an endless stream of small tasks of high priority would starve large ones. Where all
        jobs are late, all of the tasks would leave no priority; the job is no longer overdue once one has
        started.
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
        wanted = min(len(job.waiting_tasks), quota)
        # Delayed only by its team's limit: it gets no reservation, and others need not wait for it.
        if not wanted or (job.is_gang and wanted < len(job.waiting_tasks)):
            return
        unplaced = wanted - self._place_up_to(job, wanted)
        # For a job that failed repeatedly, capacity is neither reserved nor provisioned to see it fail once
        # more, unless it is overdue or fits no machine there is.
        if unplaced and (job.is_overdue or not job.is_probe or not state.has_eligible_machine(job)):
            self._add_unplaced(job, unplaced)

    def _reserve_quota(self, job: JobView) -> None:
        """Keeps the next CPUs and GPUs of its team's limit for an overdue job: its team's small tasks would
        use each one as it is released, and a large one would never start."""
        cpus, gpus = self._state.reserved_quota.get(job.team, (0.0, 0.0))
        self._state.reserved_quota[job.team] = cpus + job.cpus, gpus + job.gpus

    def _add_unplaced(self, job: JobView, count: int) -> None:
        state = self._state
        state.plan.unplaced.append(UnplacedDemand(job, count, state.is_within_guarantee(job)))
        if job.is_overdue:
            reserve_capacity(state, job, count)
        self._reservation.reserve(job, count if job.is_gang else 1)

    def _place_up_to(self, job: JobView, wanted: int) -> int:
        """Places at most so many tasks of the job, and returns how many."""
        ignores_reservation = self._reservation.may_be_ignored_by(job)
        allowed = self._count_beside_guarantees(job, wanted)
        if not allowed or not (ignores_reservation or not self._reservation.is_refused(job)):
            return 0
        if not job.is_independent:
            return self._place_task_by_task(job, allowed, ignores_reservation)
        if job.placement_key() in self._unplaceable and not job.avoided_machines:
            return 0
        return self._place_independent_tasks(job, allowed, ignores_reservation)

    def _count_beside_guarantees(self, job: JobView, wanted: int) -> int:
        """How many of the tasks leave enough CPUs for every team to claim its guarantee.

        Where work must start sooner than a machine boots, capacity is kept free for that. Best-effort work
        must not use it: each urgent start would wait until some of it had saved and stopped.
        """
        state = self._state
        if not state.prefers_on_demand or job.is_overdue or not is_best_effort(job, state.teams):
            return wanted
        unclaimed = unclaimed_guarantee_cpus(state.teams, state.used_cpus)
        return min(wanted, job.count_fitting(max(0.0, state.free_cpus() - unclaimed), math.inf))

    def _place_independent_tasks(self, job: JobView, wanted: int, ignores_reservation: bool) -> int:
        """Fills one machine after the other with tasks that are all alike."""
        fitting = self._state.count_fitting(job)
        if not fitting.any():
            if not job.avoided_machines:
                self._unplaceable.add(job.placement_key())
            return 0
        placed = 0
        for row in self._state.placement_order(job, fitting):
            count = min(int(fitting[row]), wanted - placed)
            if not ignores_reservation:
                count = self._reservation.count_allowed(job, int(row), count)
            for index in job.waiting_tasks[placed : placed + count]:
                self._place_task(job, index, int(row))
            placed += count
            if placed == wanted:
                break
        return placed

    def _place_task_by_task(self, job: JobView, wanted: int, ignores_reservation: bool) -> int:
        """Places tasks that depend on each other's machines. Those of a gang are placed all or not at all."""
        placed: list[int] = []
        for index in job.waiting_tasks[:wanted]:
            row = self._choose_machine(job, index, ignores_reservation)
            if row is None:
                if job.excluded_machines and not job.is_gang:
                    continue
                break
            self._place_task(job, index, row)
            placed.append(row)
        if job.is_gang and len(placed) < len(job.waiting_tasks):
            self._undo_placements(job, placed)
            return 0
        return len(placed)

    def _choose_machine(self, job: JobView, index: int, ignores_reservation: bool) -> int | None:
        """The machine that one task is placed on; None if there is none."""
        columns = self._state.columns
        fitting = self._state.count_fitting(job)
        for name in job.excluded_machines.get(index, ()):
            if name in columns.rows:
                fitting[columns.rows[name]] = 0
        for row in self._state.placement_order(job, fitting):
            if ignores_reservation or self._reservation.count_allowed(job, int(row), 1):
                return int(row)
        return None

    def _place_task(self, job: JobView, index: int, row: int) -> None:
        state = self._state
        machine = state.machines[row]
        state.plan.placements.append(Placement(job.id, index, machine.name))
        task = RunningTask(job.id, index, job.team, job.rank, job.cpus, job.gpus, job.memory, job.estimate)
        state.placed.append((row, task))
        state.columns.free[row] -= job.demand
        if job.image not in machine.images:
            state.columns.start_fetch(job.image, row)
        if machine.reserved_capacity.get(job.id):
            machine.reserved_capacity[job.id] -= 1
        job.tasks_by_zone[machine.zone] = job.tasks_by_zone.get(machine.zone, 0) + 1
        state.add_usage(job.team, job.cpus, job.gpus)

    def _undo_placements(self, job: JobView, placed: list[int]) -> None:
        """Removes the placements of a gang that did not fit as a whole."""
        state = self._state
        for row in reversed(placed):
            state.plan.placements.pop()
            state.placed.pop()
            state.columns.free[row] += job.demand
            job.tasks_by_zone[state.machines[row].zone] -= 1
            state.add_usage(job.team, -job.cpus, -job.gpus)
