"""Preemption: running work that is stopped for waiting work which the protocol puts above it."""

from datetime import timedelta
from functools import cached_property

import numpy as np

from spindleglade.backfill.arrays import Array
from spindleglade.backfill.round_state import Round
from spindleglade.backfill.snapshot import EPS, JobView, Running, Stop, idle_time

# Tasks stopped in one round; the rest waits for the next.
_MOST_STOPS = 24
# Machines looked at closely for one task.
_MOST_LOOKED = 32
_RUN_BEFORE_STOP = timedelta(seconds=20)


class Preempting(Round):
    def _make_room(self) -> None:
        """Stops running work for waiting work that the protocol puts above it."""
        # What earlier rounds have stopped or promised, though it still runs or waits: counted as it was, the
        # same excess would be taken again each round until its team is far below its guarantee.
        claimed: dict[str, int] = {}
        for machine in self.machines:
            for task in machine.tasks:
                if task.stopping:
                    self._use(task.team, -task.cpus, -task.gpus)
            for claimant, count in machine.claims.items():
                claimed[claimant] = claimed.get(claimant, 0) + count
                other = self.by_id.get(claimant)
                if other is not None:
                    self._use(other.team, other.cpus * count, other.gpus * count)
        every = self.preempt != "guarantees"
        refused: set[tuple] = set()
        wanting = [unmet for unmet in self.plan.unmet if unmet.guaranteed or (every and unmet.job.rank > 0)]
        wanting.sort(key=lambda unmet: (not unmet.guaranteed, -unmet.job.rank))
        for unmet in wanting:
            job = unmet.job
            like = (job.team, job.rank, job.place())
            if not self.rooms or like in refused:
                continue
            for _ in range(unmet.count - claimed.get(job.id, 0)):
                if len(self.plan.stops) >= _MOST_STOPS or not self._within(job, guarantee=False):
                    break
                if not self._stop_for(job):
                    refused.add(like)
                    break

    @cached_property
    def rooms(self) -> list[int]:
        """Where something may be stopped, or is."""
        return [
            at
            for at, machine in enumerate(self.machines)
            if any(task.stopping or self._stoppable(task) for task in machine.tasks)
        ]

    @cached_property
    def least(self) -> Array:
        """The least that a stop on each machine loses."""
        found = np.full(len(self.machines), np.inf)
        for at in self.rooms:
            losses = [
                self._loss(task) * task.cpus for task in self.machines[at].tasks if self._stoppable(task)
            ]
            found[at] = min(losses, default=0.0)
        return found

    def _stoppable(self, task: Running) -> bool:
        """Where only work that can save is stopped, it must also have run for a while: else it would run in
        circles, fetching its image and saving by turns. Idle-time work has its room only until others need
        it: what had just started, or still fetched its image, kept them waiting for 20 s and more. What was
        started because its job was overdue is not taken back at once: it would never begin."""
        if self.preempt != "saving" or (idle_time(task, self.teams) and not task.owed):
            return True
        return task.loses is not None and task.since is not None and self.now - task.since >= _RUN_BEFORE_STOP

    def _may_stop(self, job: JobView, guaranteed: bool, victim: Running, freed: dict[str, float]) -> bool:
        """Work within its team's guarantee stands above work beyond one, then the priorities decide. Both of
        the protocol's reasons are kept to, but with one order between them: taken each for itself, a high
        priority beyond its guarantee and a normal one within would stop each other for ever."""
        if not self._stoppable(victim):
            return False
        if self.preempt == "saving":
            return victim.rank < job.rank
        team = self.teams.get(victim.team)
        if team is None:
            return self.preempt == "all"
        used = self.used_cpus.get(victim.team, 0.0) - freed.get(victim.team, 0.0)
        beyond = used - victim.cpus >= team.cpus - EPS
        if guaranteed and beyond and victim.team != job.team:
            return True
        if self.preempt != "all" or (beyond != (not guaranteed) and victim.team != job.team):
            return False
        return victim.rank < job.rank

    def _loss(self, task: Running) -> float:
        """Seconds of its work that stopping the task now would lose."""
        elapsed = timedelta(0) if task.since is None else self.now - task.since
        return (elapsed if task.loses is None else min(elapsed, task.loses)).total_seconds()

    def _freed_for(self, rank: int) -> Array:
        """At most so much comes free on each machine for work of that rank."""
        if rank not in self.stoppable:
            freed = np.zeros((len(self.machines), 3))
            for at in self.rooms:
                for task in self.machines[at].tasks:
                    lower = self.preempt != "saving" or task.rank < rank
                    stopping = task.stopping or (task.job, task.index) in self.stopped
                    if stopping or (lower and self._stoppable(task)):
                        freed[at] += task.cpus, task.gpus, task.memory
            self.stoppable[rank] = freed
        return self.stoppable[rank]

    def _worth_looking(self, job: JobView) -> list[int]:
        """Machines on which enough may be stopped for a task of the job, those with the least to lose first.
        Hundreds of machines looked through for each of hundreds of jobs, though next to none had anything to
        stop for them, made rounds of more than a second."""
        free = self._unclaimed(None) + self._freed_for(job.rank)
        enough = (job.fitting_each(free) > 0) & self._allowed(job)
        rooms = np.array(self.rooms, np.int64)
        able = rooms[enough[rooms]]
        if len(able) > _MOST_LOOKED:
            able = able[np.argsort(self.least[able], kind="stable")[:_MOST_LOOKED]]
        return [int(at) for at in able]

    def _stop_for(self, job: JobView) -> bool:
        guaranteed = self._within(job, guarantee=True)
        best, best_loss = None, None
        free = self._unclaimed(None)
        for at in self._worth_looking(job):
            machine = self.machines[at]
            cpus, gpus, memory = free[at]
            chosen: list[Running] = []
            freed: dict[str, float] = {}
            loss = 0.0
            tasks = [
                (task, task.stopping or (task.job, task.index) in self.stopped) for task in machine.tasks
            ]
            for task, stopping in sorted(tasks, key=lambda at: (not at[1], at[0].rank, self._loss(at[0]))):
                if job.fitting(cpus, gpus, memory):
                    break
                if not stopping:
                    if not self._may_stop(job, guaranteed, task, freed):
                        continue
                    chosen.append(task)
                    loss += self._loss(task) * task.cpus
                    freed[task.team] = freed.get(task.team, 0.0) + task.cpus
                cpus += task.cpus
                gpus += task.gpus
                memory += task.memory
            if not job.fitting(cpus, gpus, memory):
                continue
            if best_loss is None or loss < best_loss:
                best, best_loss = (int(at), chosen), loss
        if best is None:
            return False
        at, chosen = best
        machine = self.machines[at]
        for task in chosen:
            self.stopped.add((task.job, task.index))
            for rank, freed in self.stoppable.items():
                if self.preempt == "saving" and task.rank >= rank:
                    freed[at] += task.cpus, task.gpus, task.memory
            self.plan.stops.append(Stop(task.job, task.index, machine.name, job.id))
            self._use(task.team, -task.cpus, -task.gpus)
        machine.claims[job.id] = machine.claims.get(job.id, 0) + 1
        if at not in self.columns.claimed:
            self.columns.claimed.append(at)
        self.plan.claims.append((machine.name, job.id, machine.claims[job.id]))
        self._use(job.team, job.cpus, job.gpus)
        return True
