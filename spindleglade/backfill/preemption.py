"""Preemption: which running tasks are stopped for waiting jobs that the protocol ranks above them."""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from functools import cached_property

import numpy as np

from spindleglade.backfill.arrays import Array
from spindleglade.backfill.plan import Preemption, UnplacedDemand
from spindleglade.backfill.planning_state import PlanningState
from spindleglade.backfill.snapshot import CAPACITY_TOLERANCE, GroupKey, JobView, RunningTask, is_best_effort

# Once a planning pass preempts this many tasks, the remaining demand waits for the next pass.
_MAX_PREEMPTIONS = 24
# Maximum number of machines examined for one waiting task.
_MAX_CANDIDATE_MACHINES = 32
_MIN_RUN_BEFORE_PREEMPTION = timedelta(seconds=20)


class PreemptionMode(StrEnum):
    """Which running tasks may be preempted, as set by the operators."""

    NONE = "none"
    # Tasks of a lower priority that can save their work or are best effort.
    SAVING = "saving"
    # Tasks beyond their team's guarantee, for jobs within the guarantee of another team.
    GUARANTEES = "guarantees"
    # As GUARANTEES, and also tasks of a lower priority.
    ALL = "all"


@dataclass(slots=True)
class _Victims:
    """Tasks to preempt on one machine, and the CPU seconds of work that this loses."""

    row: int
    tasks: list[RunningTask]
    lost_cpu_s: float


class PreemptionPolicy:
    """Chooses the tasks to preempt for unplaced demand."""

    def __init__(self, state: PlanningState, mode: PreemptionMode) -> None:
        self._state = state
        self._mode = mode
        # Job id and index of tasks preempted in this pass, which the snapshot does not show as stopping.
        self._preempted: set[tuple[str, int]] = set()
        # The most that preemption could free on each machine, by the rank of the waiting job.
        self._preemptible_capacity_by_rank: dict[int, Array] = {}

    def preempt_for_unplaced(self) -> None:
        """Preempts tasks for the plan's unplaced demand, unless the mode is NONE."""
        if self._mode is PreemptionMode.NONE:
            return
        reserved_counts = self._apply_earlier_preemptions()
        # Keys of jobs for which no further task can be preempted.
        refused_keys: set[GroupKey] = set()
        for demand in self._eligible_demand():
            job = demand.job
            key = (job.team, job.rank, job.placement_key())
            if not self.candidate_machines or key in refused_keys:
                continue
            for _ in range(demand.count - reserved_counts.get(job.id, 0)):
                if self._has_reached_limit() or not self._state.is_within_limit(job):
                    break
                if not self._preempt_for(job):
                    refused_keys.add(key)
                    break

    def _has_reached_limit(self) -> bool:
        return len(self._state.plan.preemptions) >= _MAX_PREEMPTIONS

    def _apply_earlier_preemptions(self) -> dict[str, int]:
        """Counts tasks that are stopping as ended, and reserved capacity as used.

        Otherwise each pass would preempt for the same excess over a guarantee again, until the team is far
        below it. Returns how many tasks of each job have reserved capacity.
        """
        state = self._state
        reserved_counts: dict[str, int] = {}
        for machine in state.machines:
            for task in machine.tasks:
                if task.stopping:
                    state.add_usage(task.team, -task.cpus, -task.gpus)
            for job_id, count in machine.reserved_capacity.items():
                reserved_counts[job_id] = reserved_counts.get(job_id, 0) + count
                beneficiary = state.jobs_by_id.get(job_id)
                if beneficiary is not None:
                    state.add_usage(beneficiary.team, beneficiary.cpus * count, beneficiary.gpus * count)
        return reserved_counts

    def _eligible_demand(self) -> list[UnplacedDemand]:
        """The unplaced demand that may preempt tasks: demand within guarantees first, then by priority."""
        may_preempt_by_priority = self._mode is not PreemptionMode.GUARANTEES
        eligible = [
            demand
            for demand in self._state.plan.unplaced
            if demand.within_guarantee or (may_preempt_by_priority and demand.job.rank > 0)
        ]
        eligible.sort(key=lambda demand: (not demand.within_guarantee, -demand.job.rank))
        return eligible

    @cached_property
    def candidate_machines(self) -> list[int]:
        """Rows of the machines with a task that may be preempted or is already stopping."""
        return [
            row
            for row, machine in enumerate(self._state.machines)
            if any(task.stopping or self._is_preemptible(task) for task in machine.tasks)
        ]

    @cached_property
    def _min_losses_cpu_s(self) -> Array:
        """The least work, in CPU seconds, that a preemption on each machine would lose."""
        min_losses = np.full(len(self._state.machines), np.inf)
        for row in self.candidate_machines:
            tasks = self._state.machines[row].tasks
            losses = [self._loss_s(task) * task.cpus for task in tasks if self._is_preemptible(task)]
            min_losses[row] = min(losses, default=0.0)
        return min_losses

    def _is_preemptible(self, task: RunningTask) -> bool:
        """Whether the task may be preempted for any job.

        In the mode SAVING, a task that can save must also have run for a minimum time, or it would alternate
        between fetching its image and saving. Best-effort work uses capacity only until other work needs it,
        so it is preempted at once. The exception is a task that was started because its job was overdue: if
        it were preempted at once, the job would never begin.
        """
        if self._mode is not PreemptionMode.SAVING:
            return True
        if is_best_effort(task, self._state.teams) and not task.started_overdue:
            return True
        return (
            task.max_loss is not None
            and task.running_since is not None
            and self._state.now - task.running_since >= _MIN_RUN_BEFORE_PREEMPTION
        )

    def _may_preempt(
        self, job: JobView, is_guaranteed: bool, victim: RunningTask, freed_cpus_by_team: dict[str, float]
    ) -> bool:
        """Whether the job may preempt this task.

        `is_guaranteed` is whether one more task of the job is within its team's guarantee.
        `freed_cpus_by_team` holds the CPUs of the tasks that are already chosen to be preempted for it.

        Work within its team's guarantee ranks above work beyond a guarantee; otherwise priorities decide. The
        protocol gives both reasons for preemption. Without a fixed order between them, a high-priority job
        beyond its guarantee and a normal-priority job within its guarantee would preempt each other forever.
        """
        if not self._is_preemptible(victim):
            return False
        if self._mode is PreemptionMode.SAVING:
            return victim.rank < job.rank
        team = self._state.teams.get(victim.team)
        if team is None:
            return self._mode is PreemptionMode.ALL
        used = self._state.used_cpus.get(victim.team, 0.0) - freed_cpus_by_team.get(victim.team, 0.0)
        is_beyond_guarantee = used - victim.cpus >= team.cpus - CAPACITY_TOLERANCE
        is_other_team = victim.team != job.team
        if is_guaranteed and is_beyond_guarantee and is_other_team:
            return True
        if self._mode is not PreemptionMode.ALL:
            return False
        # Equal only if both are false: the job is beyond a guarantee, and the task within one.
        if is_other_team and is_beyond_guarantee == is_guaranteed:
            return False
        return victim.rank < job.rank

    def _loss_s(self, task: RunningTask) -> float:
        """Seconds of the task's run that would be lost if it were preempted now."""
        started = task.running_since
        elapsed = timedelta(0) if started is None else self._state.now - started
        return (elapsed if task.max_loss is None else min(elapsed, task.max_loss)).total_seconds()

    def _is_stopping(self, task: RunningTask) -> bool:
        return task.stopping or (task.job, task.index) in self._preempted

    def _preemptible_capacity_for(self, rank: int) -> Array:
        """The most CPUs, GPUs and memory that preemption for this rank could free on each machine."""
        if rank not in self._preemptible_capacity_by_rank:
            freed = np.zeros((len(self._state.machines), 3))
            ignores_rank = self._mode is not PreemptionMode.SAVING
            for row in self.candidate_machines:
                for task in self._state.machines[row].tasks:
                    is_stopping = task.stopping or (task.job, task.index) in self._preempted
                    if is_stopping or ((ignores_rank or task.rank < rank) and self._is_preemptible(task)):
                        freed[row] += task.cpus, task.gpus, task.memory
            self._preemptible_capacity_by_rank[rank] = freed
        return self._preemptible_capacity_by_rank[rank]

    def _feasible_machines(self, job: JobView) -> list[int]:
        """Rows of machines where preemption may free enough for a task of the job.

        If there are too many, only those with the least loss are returned. Few machines have anything to
        preempt for a given job, and examining every machine for every job would take most of a planning pass.
        """
        state = self._state
        free = state.unreserved_capacity(None) + self._preemptible_capacity_for(job.rank)
        fits_after_preemption = (job.count_fitting_each(free) > 0) & state.eligible_machines(job)
        candidates = np.array(self.candidate_machines, np.int64)
        feasible = candidates[fits_after_preemption[candidates]]
        if len(feasible) > _MAX_CANDIDATE_MACHINES:
            loss_order = np.argsort(self._min_losses_cpu_s[feasible], kind="stable")
            feasible = feasible[loss_order[:_MAX_CANDIDATE_MACHINES]]
        return [int(row) for row in feasible]

    def _preempt_for(self, job: JobView) -> bool:
        """Preempts tasks for one task of the job on the machine where the least work is lost.

        Returns False if no machine can be freed for the task.
        """
        is_guaranteed = self._state.is_within_guarantee(job)
        free = self._state.unreserved_capacity(None)
        best: _Victims | None = None
        for row in self._feasible_machines(job):
            victims = self._choose_victims(job, is_guaranteed, row, free[row])
            if victims is not None and (best is None or victims.lost_cpu_s < best.lost_cpu_s):
                best = victims
        if best is None:
            return False
        self._preempt(best, job)
        self._reserve_capacity(best.row, job)
        return True

    def _choose_victims(self, job: JobView, is_guaranteed: bool, row: int, free: Array) -> _Victims | None:
        """The tasks to preempt on this machine so that a task of the job fits; None if it cannot fit."""
        cpus, gpus, memory = free
        chosen: list[RunningTask] = []
        freed_cpus_by_team: dict[str, float] = {}
        lost_cpu_s = 0.0
        tasks = [(task, self._is_stopping(task)) for task in self._state.machines[row].tasks]
        # Tasks that are stopping anyway come first, then those of the lowest priority and the least loss.
        tasks.sort(key=lambda entry: (not entry[1], entry[0].rank, self._loss_s(entry[0])))
        for task, is_stopping in tasks:
            if job.count_fitting(cpus, gpus, memory):
                break
            if not is_stopping:
                if not self._may_preempt(job, is_guaranteed, task, freed_cpus_by_team):
                    continue
                chosen.append(task)
                lost_cpu_s += self._loss_s(task) * task.cpus
                freed_cpus_by_team[task.team] = freed_cpus_by_team.get(task.team, 0.0) + task.cpus
            cpus += task.cpus
            gpus += task.gpus
            memory += task.memory
        return _Victims(row, chosen, lost_cpu_s) if job.count_fitting(cpus, gpus, memory) else None

    def _preempt(self, victims: _Victims, job: JobView) -> None:
        state = self._state
        machine = state.machines[victims.row]
        for task in victims.tasks:
            self._preempted.add((task.job, task.index))
            for rank, freed in self._preemptible_capacity_by_rank.items():
                # A stopping task is freed for every rank. Ranks that could preempt it include it already.
                if self._mode is PreemptionMode.SAVING and task.rank >= rank:
                    freed[victims.row] += task.cpus, task.gpus, task.memory
            state.plan.preemptions.append(Preemption(task.job, task.index, machine.name, job.id))
            state.add_usage(task.team, -task.cpus, -task.gpus)

    def _reserve_capacity(self, row: int, job: JobView) -> None:
        """Reserves the capacity freed on the machine for one more task of the job."""
        state = self._state
        machine = state.machines[row]
        machine.reserved_capacity[job.id] = machine.reserved_capacity.get(job.id, 0) + 1
        if row not in state.columns.reserved_rows:
            state.columns.reserved_rows.append(row)
        state.plan.reserved_capacity.append((machine.name, job.id, machine.reserved_capacity[job.id]))
        state.add_usage(job.team, job.cpus, job.gpus)
