"""Preemption: running tasks that are stopped for waiting jobs which the protocol ranks above them."""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from functools import cached_property

import numpy as np

from spindleglade.backfill.arrays import Array
from spindleglade.backfill.plan import Preemption, UnplacedDemand
from spindleglade.backfill.planning_state import PlanningState
from spindleglade.backfill.snapshot import CAPACITY_TOLERANCE, JobView, Key, RunningTask, is_best_effort

# Tasks preempted in one planning pass; the rest waits for the next.
_MAX_PREEMPTIONS = 24
# Machines examined for one task.
_MAX_CANDIDATE_MACHINES = 32
_MIN_RUN_BEFORE_PREEMPTION = timedelta(seconds=20)


class PreemptionMode(StrEnum):
    """Which tasks may be preempted, as the operators set it."""

    NONE = "none"
    # Tasks of a lower priority that lose little, or are best effort.
    SAVING = "saving"
    # Tasks beyond their team's guarantee, for jobs within theirs.
    GUARANTEES = "guarantees"
    # The same, and tasks of a lower priority.
    ALL = "all"


@dataclass(slots=True)
class _Victims:
    """Tasks to preempt on one machine, and the CPU seconds of their work that are lost."""

    row: int
    tasks: list[RunningTask]
    loss: float


class PreemptionPolicy:
    """Chooses the tasks to preempt for jobs that were not placed."""

    def __init__(self, state: PlanningState, mode: PreemptionMode) -> None:
        self._state = state
        self._mode = mode
        # Tasks preempted in this pass, whatever the snapshot says.
        self._preempted: set[tuple[str, int]] = set()
        # What preemption could free on each machine, by the rank it would be for.
        self._preemptible_capacity: dict[int, Array] = {}

    def preempt_for_unplaced(self) -> None:
        """Preempts tasks for the plan's unplaced demand."""
        if self._mode is PreemptionMode.NONE:
            return
        reserved_counts = self._apply_earlier_preemptions()
        # Keys of jobs for which nothing more can be preempted.
        refused: set[Key] = set()
        for demand in self._eligible_demand():
            job = demand.job
            key = (job.team, job.rank, job.placement_key())
            if not self.candidate_machines or key in refused:
                continue
            for _ in range(demand.count - reserved_counts.get(job.id, 0)):
                if self._is_exhausted() or not self._state.is_within_limit(job):
                    break
                if not self._preempt_for(job):
                    refused.add(key)
                    break

    def _is_exhausted(self) -> bool:
        return len(self._state.plan.preemptions) >= _MAX_PREEMPTIONS

    def _apply_earlier_preemptions(self) -> dict[str, int]:
        """Counts tasks that are stopping as ended, and reserved capacity as used: otherwise the same excess
        would be preempted in each pass until its team is far below its guarantee. Returns for each job how
        many of its tasks have reserved capacity."""
        state = self._state
        reserved_counts: dict[str, int] = {}
        for machine in state.machines:
            for task in machine.tasks:
                if task.stopping:
                    state.add_usage(task.team, -task.cpus, -task.gpus)
            for beneficiary, count in machine.reserved_capacity.items():
                reserved_counts[beneficiary] = reserved_counts.get(beneficiary, 0) + count
                other = state.jobs_by_id.get(beneficiary)
                if other is not None:
                    state.add_usage(other.team, other.cpus * count, other.gpus * count)
        return reserved_counts

    def _eligible_demand(self) -> list[UnplacedDemand]:
        """The demand that may preempt anything: guarantees first, then by priority."""
        priorities_count = self._mode is not PreemptionMode.GUARANTEES
        eligible = [
            demand
            for demand in self._state.plan.unplaced
            if demand.within_guarantee or (priorities_count and demand.job.rank > 0)
        ]
        eligible.sort(key=lambda demand: (not demand.within_guarantee, -demand.job.rank))
        return eligible

    @cached_property
    def candidate_machines(self) -> list[int]:
        """The machines with a task that may be preempted, or is stopping."""
        return [
            row
            for row, machine in enumerate(self._state.machines)
            if any(task.stopping or self._is_preemptible(task) for task in machine.tasks)
        ]

    @cached_property
    def _min_losses(self) -> Array:
        """The least that a preemption on each machine loses, in CPU seconds."""
        min_losses = np.full(len(self._state.machines), np.inf)
        for row in self.candidate_machines:
            tasks = self._state.machines[row].tasks
            losses = [self._loss_s(task) * task.cpus for task in tasks if self._is_preemptible(task)]
            min_losses[row] = min(losses, default=0.0)
        return min_losses

    def _is_preemptible(self, task: RunningTask) -> bool:
        """Whether the task may be preempted for any job.

        Where only work that can save is preempted, a task must also have run for a while: else it would
        alternate between fetching its image and saving. Best-effort work uses its capacity only until others
        need it, so it is preempted at once. A task that was started because its job was overdue is not: such
        a job would never begin.
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
        self, job: JobView, is_guaranteed: bool, victim: RunningTask, freed_cpus: dict[str, float]
    ) -> bool:
        """Whether the job may preempt this task, after others that free so many CPUs of each team.

        Work within its team's guarantee ranks above work beyond one, then the priorities decide. The protocol
        gives both reasons; without one order between them, a high priority beyond its guarantee and a normal
        one within would preempt each other for ever.
        """
        if not self._is_preemptible(victim):
            return False
        if self._mode is PreemptionMode.SAVING:
            return victim.rank < job.rank
        team = self._state.teams.get(victim.team)
        if team is None:
            return self._mode is PreemptionMode.ALL
        used = self._state.used_cpus.get(victim.team, 0.0) - freed_cpus.get(victim.team, 0.0)
        is_beyond_guarantee = used - victim.cpus >= team.cpus - CAPACITY_TOLERANCE
        is_other_team = victim.team != job.team
        if is_guaranteed and is_beyond_guarantee and is_other_team:
            return True
        if self._mode is not PreemptionMode.ALL:
            return False
        if is_other_team and is_beyond_guarantee == is_guaranteed:
            return False
        return victim.rank < job.rank

    def _loss_s(self, task: RunningTask) -> float:
        """Seconds of its run that preempting the task now would lose."""
        started = task.running_since
        elapsed = timedelta(0) if started is None else self._state.now - started
        return (elapsed if task.max_loss is None else min(elapsed, task.max_loss)).total_seconds()

    def _is_stopping(self, task: RunningTask) -> bool:
        return task.stopping or (task.job, task.index) in self._preempted

    def _preemptible_capacity_for(self, rank: int) -> Array:
        """The most that preemption for work of this rank could free on each machine."""
        if rank not in self._preemptible_capacity:
            freed = np.zeros((len(self._state.machines), 3))
            all_ranks = self._mode is not PreemptionMode.SAVING
            for row in self.candidate_machines:
                for task in self._state.machines[row].tasks:
                    is_stopping = task.stopping or (task.job, task.index) in self._preempted
                    if is_stopping or ((all_ranks or task.rank < rank) and self._is_preemptible(task)):
                        freed[row] += task.cpus, task.gpus, task.memory
            self._preemptible_capacity[rank] = freed
        return self._preemptible_capacity[rank]

    def _promising_machines(self, job: JobView) -> list[int]:
        """Machines on which enough may be preempted for a task of the job, those with the least loss first.

        Next to none have anything to preempt for a given job, and examining every one for every job would
        take most of a planning pass.
        """
        state = self._state
        free = state.unreserved_capacity(None) + self._preemptible_capacity_for(job.rank)
        is_enough = (job.count_fitting_each(free) > 0) & state.eligible_machines(job)
        candidates = np.array(self.candidate_machines, np.int64)
        promising = candidates[is_enough[candidates]]
        if len(promising) > _MAX_CANDIDATE_MACHINES:
            by_loss = np.argsort(self._min_losses[promising], kind="stable")
            promising = promising[by_loss[:_MAX_CANDIDATE_MACHINES]]
        return [int(row) for row in promising]

    def _preempt_for(self, job: JobView) -> bool:
        """Preempts tasks for one task of the job where that loses least. Returns whether it could."""
        is_guaranteed = self._state.is_within_guarantee(job)
        free = self._state.unreserved_capacity(None)
        best: _Victims | None = None
        for row in self._promising_machines(job):
            victims = self._choose_victims(job, is_guaranteed, row, free[row])
            if victims is not None and (best is None or victims.loss < best.loss):
                best = victims
        if best is None:
            return False
        self._preempt(best, job)
        self._reserve_capacity(best.row, job)
        return True

    def _choose_victims(self, job: JobView, is_guaranteed: bool, row: int, free: Array) -> _Victims | None:
        """The tasks to preempt on this machine for a task of the job to fit; None if that is impossible."""
        cpus, gpus, memory = free
        chosen: list[RunningTask] = []
        freed_cpus: dict[str, float] = {}
        loss = 0.0
        tasks = [(task, self._is_stopping(task)) for task in self._state.machines[row].tasks]
        # Those that are stopping anyway, then the lowest priority and the least loss.
        tasks.sort(key=lambda entry: (not entry[1], entry[0].rank, self._loss_s(entry[0])))
        for task, is_stopping in tasks:
            if job.count_fitting(cpus, gpus, memory):
                break
            if not is_stopping:
                if not self._may_preempt(job, is_guaranteed, task, freed_cpus):
                    continue
                chosen.append(task)
                loss += self._loss_s(task) * task.cpus
                freed_cpus[task.team] = freed_cpus.get(task.team, 0.0) + task.cpus
            cpus += task.cpus
            gpus += task.gpus
            memory += task.memory
        return _Victims(row, chosen, loss) if job.count_fitting(cpus, gpus, memory) else None

    def _preempt(self, victims: _Victims, job: JobView) -> None:
        state = self._state
        machine = state.machines[victims.row]
        for task in victims.tasks:
            self._preempted.add((task.job, task.index))
            for rank, freed in self._preemptible_capacity.items():
                # What is stopping is freed for every rank.
                if self._mode is PreemptionMode.SAVING and task.rank >= rank:
                    freed[victims.row] += task.cpus, task.gpus, task.memory
            state.plan.preemptions.append(Preemption(task.job, task.index, machine.name, job.id))
            state.add_usage(task.team, -task.cpus, -task.gpus)

    def _reserve_capacity(self, row: int, job: JobView) -> None:
        """Reserves the capacity that is freed on the machine for one more task of the job."""
        state = self._state
        machine = state.machines[row]
        machine.reserved_capacity[job.id] = machine.reserved_capacity.get(job.id, 0) + 1
        if row not in state.columns.reserved:
            state.columns.reserved.append(row)
        state.plan.reserved_capacity.append((machine.name, job.id, machine.reserved_capacity[job.id]))
        state.add_usage(job.team, job.cpus, job.gpus)
