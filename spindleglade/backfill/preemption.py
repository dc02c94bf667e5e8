"""Preemption: running work that is stopped for waiting work which the protocol puts above it."""

from datetime import timedelta
from functools import cached_property

import numpy as np

from spindleglade.backfill.arrays import Array
from spindleglade.backfill.plan import Preemption
from spindleglade.backfill.planning_state import PlanningState
from spindleglade.backfill.snapshot import CAPACITY_TOLERANCE, JobView, RunningTask, is_best_effort

# Tasks stopped in one round; the rest waits for the next.
_MAX_PREEMPTIONS = 24
# Machines looked at closely for one task.
_MAX_CANDIDATE_MACHINES = 32
_MIN_RUN_BEFORE_PREEMPTION = timedelta(seconds=20)


class PreemptionMixin(PlanningState):
    def _preempt_for_unplaced(self) -> None:
        """Stops running work for waiting work that the protocol puts above it."""
        # What earlier rounds have stopped or promised, though it still runs or waits: counted as it was, the
        # same excess would be taken again each round until its team is far below its guarantee.
        claimed: dict[str, int] = {}
        for machine in self.machines:
            for task in machine.tasks:
                if task.stopping:
                    self._use(task.team, -task.cpus, -task.gpus)
            for beneficiary, count in machine.reserved_capacity.items():
                claimed[beneficiary] = claimed.get(beneficiary, 0) + count
                other = self.by_id.get(beneficiary)
                if other is not None:
                    self._use(other.team, other.cpus * count, other.gpus * count)
        every = self.preempt != "guarantees"
        refused: set[tuple] = set()
        wanting = [
            unplaced
            for unplaced in self.plan.unplaced
            if unplaced.within_guarantee or (every and unplaced.job.rank > 0)
        ]
        wanting.sort(key=lambda unplaced: (not unplaced.within_guarantee, -unplaced.job.rank))
        for unplaced in wanting:
            job = unplaced.job
            like = (job.team, job.rank, job.placement_key())
            if not self.candidate_machines or like in refused:
                continue
            for _ in range(unplaced.count - claimed.get(job.id, 0)):
                if len(self.plan.preemptions) >= _MAX_PREEMPTIONS or not self._is_within(
                    job, guarantee=False
                ):
                    break
                if not self._preempt_for(job):
                    refused.add(like)
                    break

    @cached_property
    def candidate_machines(self) -> list[int]:
        """Where something may be stopped, or is."""
        return [
            at
            for at, machine in enumerate(self.machines)
            if any(task.stopping or self._is_preemptible(task) for task in machine.tasks)
        ]

    @cached_property
    def min_losses(self) -> Array:
        """The least that a stop on each machine loses."""
        found = np.full(len(self.machines), np.inf)
        for at in self.candidate_machines:
            losses = [
                self._loss(task) * task.cpus for task in self.machines[at].tasks if self._is_preemptible(task)
            ]
            found[at] = min(losses, default=0.0)
        return found

    def _is_preemptible(self, task: RunningTask) -> bool:
        """Where only work that can save is stopped, it must also have run for a while: else it would run in
        circles, fetching its image and saving by turns. Idle-time work has its room only until others need
        it: what had just started, or still fetched its image, kept them waiting for 20 s and more. What was
        started because its job was overdue is not taken back at once: it would never begin."""
        if self.preempt != "saving" or (is_best_effort(task, self.teams) and not task.started_overdue):
            return True
        return (
            task.max_loss is not None
            and task.running_since is not None
            and self.now - task.running_since >= _MIN_RUN_BEFORE_PREEMPTION
        )

    def _may_preempt(
        self, job: JobView, guaranteed: bool, victim: RunningTask, freed: dict[str, float]
    ) -> bool:
        """Work within its team's guarantee stands above work beyond one, then the priorities decide. Both of
        the protocol's reasons are kept to, but with one order between them: taken each for itself, a high
        priority beyond its guarantee and a normal one within would stop each other for ever."""
        if not self._is_preemptible(victim):
            return False
        if self.preempt == "saving":
            return victim.rank < job.rank
        team = self.teams.get(victim.team)
        if team is None:
            return self.preempt == "all"
        used = self.used_cpus.get(victim.team, 0.0) - freed.get(victim.team, 0.0)
        beyond = used - victim.cpus >= team.cpus - CAPACITY_TOLERANCE
        if guaranteed and beyond and victim.team != job.team:
            return True
        if self.preempt != "all" or (beyond != (not guaranteed) and victim.team != job.team):
            return False
        return victim.rank < job.rank

    def _loss(self, task: RunningTask) -> float:
        """Seconds of its work that stopping the task now would lose."""
        elapsed = timedelta(0) if task.running_since is None else self.now - task.running_since
        return (elapsed if task.max_loss is None else min(elapsed, task.max_loss)).total_seconds()

    def _preemptible_capacity_for(self, rank: int) -> Array:
        """At most so much comes free on each machine for work of that rank."""
        if rank not in self.preemptible_capacity:
            freed = np.zeros((len(self.machines), 3))
            for at in self.candidate_machines:
                for task in self.machines[at].tasks:
                    lower = self.preempt != "saving" or task.rank < rank
                    stopping = task.stopping or (task.job, task.index) in self.preempted
                    if stopping or (lower and self._is_preemptible(task)):
                        freed[at] += task.cpus, task.gpus, task.memory
            self.preemptible_capacity[rank] = freed
        return self.preemptible_capacity[rank]

    def _promising_machines(self, job: JobView) -> list[int]:
        """Machines on which enough may be stopped for a task of the job, those with the least to lose first.
        Hundreds of machines looked through for each of hundreds of jobs, though next to none had anything to
        stop for them, made rounds of more than a second."""
        free = self._unreserved_capacity(None) + self._preemptible_capacity_for(job.rank)
        enough = (job.count_fitting_each(free) > 0) & self._eligible_machines(job)
        rooms = np.array(self.candidate_machines, np.int64)
        able = rooms[enough[rooms]]
        if len(able) > _MAX_CANDIDATE_MACHINES:
            able = able[np.argsort(self.min_losses[able], kind="stable")[:_MAX_CANDIDATE_MACHINES]]
        return [int(at) for at in able]

    def _preempt_for(self, job: JobView) -> bool:
        guaranteed = self._is_within(job, guarantee=True)
        best, best_loss = None, None
        free = self._unreserved_capacity(None)
        for at in self._promising_machines(job):
            machine = self.machines[at]
            cpus, gpus, memory = free[at]
            chosen: list[RunningTask] = []
            freed: dict[str, float] = {}
            loss = 0.0
            tasks = [
                (task, task.stopping or (task.job, task.index) in self.preempted) for task in machine.tasks
            ]
            for task, stopping in sorted(tasks, key=lambda at: (not at[1], at[0].rank, self._loss(at[0]))):
                if job.count_fitting(cpus, gpus, memory):
                    break
                if not stopping:
                    if not self._may_preempt(job, guaranteed, task, freed):
                        continue
                    chosen.append(task)
                    loss += self._loss(task) * task.cpus
                    freed[task.team] = freed.get(task.team, 0.0) + task.cpus
                cpus += task.cpus
                gpus += task.gpus
                memory += task.memory
            if not job.count_fitting(cpus, gpus, memory):
                continue
            if best_loss is None or loss < best_loss:
                best, best_loss = (int(at), chosen), loss
        if best is None:
            return False
        at, chosen = best
        machine = self.machines[at]
        for task in chosen:
            self.preempted.add((task.job, task.index))
            for rank, freed in self.preemptible_capacity.items():
                if self.preempt == "saving" and task.rank >= rank:
                    freed[at] += task.cpus, task.gpus, task.memory
            self.plan.preemptions.append(Preemption(task.job, task.index, machine.name, job.id))
            self._use(task.team, -task.cpus, -task.gpus)
        machine.reserved_capacity[job.id] = machine.reserved_capacity.get(job.id, 0) + 1
        if at not in self.columns.reserved:
            self.columns.reserved.append(at)
        self.plan.reserved_capacity.append((machine.name, job.id, machine.reserved_capacity[job.id]))
        self._use(job.team, job.cpus, job.gpus)
        return True
