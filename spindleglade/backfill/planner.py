"""One planning round: which waiting tasks start where, which running ones are stopped for them.

The ordinary path is the design's: one queue in submission order, array jobs task by task; the first job that
does not fit holds a reservation; a later one passes it if its chance of delaying it is below tau. Priority
and guarantees enter where the protocol lets them: work that could stop a task of the head is not held back
by the head's reservation, and may stop running work to make room. A job that has had no start for long is
overdue: it comes first, nothing outranks its reservation, and room that frees is held for it.

Everything here is a function of the snapshot it is given, so it runs without any lock. Tasks of one job are
decided together: machines are sorted once for all of them, which gives the same starts as choosing the best
machine for one task after the other.
"""

import math
from dataclasses import replace

import numpy as np

from spindleglade.backfill.plan import ExpectedRelease, Placement, Plan, UnplacedDemand
from spindleglade.backfill.preemption import PreemptionMixin
from spindleglade.backfill.reservation import ReservationMixin
from spindleglade.backfill.snapshot import (
    JobView,
    RunningTask,
    Snapshot,
    is_best_effort,
    unclaimed_guarantee_cpus,
)


class Planner:
    def __init__(self, tau: float, preempt: str = "none") -> None:
        self._tau = tau
        self._preempt = preempt

    def plan(self, snapshot: Snapshot) -> Plan:
        return _PlanningPass(snapshot, self._tau, self._preempt).run()


class _PlanningPass(ReservationMixin, PreemptionMixin):
    """One round: starts in queue order, past the head where it may be, then stops."""

    def run(self) -> Plan:
        refused: set[tuple] = set()
        full: set[tuple] = set()
        # What is overdue goes before all: without that, an endless stream of small tasks of high priority
        # would starve large ones. Only some of its tasks do, or where all normal work is late no priority
        # would be left: an eighth, and it is overdue no more once one has started.
        for job in self.jobs:
            if job.is_overdue and job.waiting_tasks:
                first = len(job.waiting_tasks) if job.is_gang else max(1, len(job.waiting_tasks) // 8)
                ahead = replace(job, waiting_tasks=job.waiting_tasks[:first])
                self._place_job(ahead, refused, full)
                job.waiting_tasks, job.is_overdue = job.waiting_tasks[first:], False
        # Submission order within a priority. A higher priority goes first because it could stop what a lower
        # one started in the same round, and starting only to stop loses work.
        # Within a priority, a job that others need goes first once their deadline leaves it no time to wait.
        for job in sorted(self.jobs, key=lambda job: (-job.rank, not job.is_urgent)):
            if job.waiting_tasks:
                self._place_job(job, refused, full)
        if self.preempt != "none":
            self._preempt_for_unplaced()
        self.plan.spare_cpus = self._free_cpus()
        self.plan.used_cpus = self.used_cpus
        self.plan.expected_release = self._expected_release
        return self.plan

    def _expected_release(self) -> ExpectedRelease:
        where, rows, expected, _, _ = self._outlook()
        return ExpectedRelease(self.machines, self.columns.free, where, expected, rows[:, 3:])

    def _place_job(self, job: JobView, refused: set[tuple], full: set[tuple]) -> None:
        limit = self._quota_left(job, guarantee=False)
        wanted = min(len(job.waiting_tasks), limit)
        if job.is_overdue and not limit:
            # Its team is at its limit. What the team's tasks free in single CPUs would go to its small ones
            # for ever: one of 13 tasks waited for 214 s.
            cpus, gpus = self.reserved_quota.get(job.team, (0.0, 0.0))
            self.reserved_quota[job.team] = cpus + job.cpus, gpus + job.gpus
        # Held only by its team's limit: no reservation, others need not make way for it.
        if not wanted or (job.is_gang and wanted < len(job.waiting_tasks)):
            return
        passes = self.reserved_job is None or (not self.reserved_job.is_overdue and self._outranks(job))
        now = wanted
        if self.prefers_on_demand and not job.is_overdue and is_best_effort(job, self.teams):
            now = min(wanted, job.count_fitting(self._cpus_beyond_guarantees(), math.inf))
        placed = 0
        if now and (passes or job.equivalence_key() not in refused):
            if not job.is_independent:
                placed = self._place_task_by_task(job, now, passes, refused)
            elif job.placement_key() not in full or job.avoided_machines:
                placed = self._place_independent_tasks(job, now, passes, refused, full)
        rest = wanted - placed
        # Room is neither reserved nor rented to see a job fail once more, unless it waits too long for it or
        # no machine there could ever take it.
        if rest and (job.is_overdue or not job.is_probe or not self._has_place(job)):
            self.plan.unplaced.append(UnplacedDemand(job, rest, self._is_within(job, guarantee=True)))
            if job.is_overdue:
                self._hold(job, rest)
            if self.reserved_job is None:
                self.reserved_job, self.reserved_task_count = job, rest if job.is_gang else 1
                self.plan.reserved_job = job.id

    def _free_cpus(self) -> float:
        return float(np.maximum(self.columns.free[:, 0], 0.0).sum())

    def _cpus_beyond_guarantees(self) -> float:
        """CPUs that would stand idle even if every team claimed its guarantee. Where work must start sooner
        than a machine boots, room is kept up for that. Idle-time work took it, and each urgent start then
        waited until something had been stopped for it and had saved."""
        return max(0.0, self._free_cpus() - unclaimed_guarantee_cpus(self.teams, self.used_cpus))

    def _place_independent_tasks(
        self, job: JobView, wanted: int, passes: bool, refused: set[tuple], full: set[tuple]
    ) -> int:
        """Tasks that are all alike fill one machine after the other."""
        fits = self._fits(job)
        if not fits.any():
            if not job.avoided_machines:
                full.add(job.placement_key())
            return 0
        placed = 0
        for at in self._order(job, fits):
            here = min(int(fits[at]), wanted - placed)
            if not passes:
                here = self._passing(job, int(at), here, refused)
            for index in job.waiting_tasks[placed : placed + here]:
                self._place_task(job, index, int(at))
            placed += here
            if placed == wanted:
                break
        return placed

    def _place_task_by_task(self, job: JobView, wanted: int, passes: bool, refused: set[tuple]) -> int:
        placed: list[int] = []
        for index in job.waiting_tasks[:wanted]:
            fits = self._fits(job)
            for name in job.excluded_machines.get(index, ()):
                if name in self.columns.index:
                    fits[self.columns.index[name]] = 0
            able = self._order(job, fits)
            at = next((at for at in able if passes or self._passing(job, int(at), 1, refused)), None)
            if at is None:
                if job.excluded_machines and not job.is_gang:
                    continue
                break
            self._place_task(job, index, int(at))
            placed.append(int(at))
        if job.is_gang and len(placed) < len(job.waiting_tasks):
            self._undo_placements(job, placed)
            return 0
        return len(placed)

    def _place_task(self, job: JobView, index: int, at: int) -> None:
        columns, machine = self.columns, self.machines[at]
        self.plan.placements.append(Placement(job.id, index, machine.name))
        task = RunningTask(job.id, index, job.team, job.rank, job.cpus, job.gpus, job.memory, job.estimate)
        self.placed.append((at, task))
        columns.free[at] -= job.demand
        if job.image not in machine.images:
            coming = columns.fetching.setdefault(job.image, set())
            if at not in coming:
                coming.add(at)
                columns.fetch_counts[at] += 1
        if machine.reserved_capacity.get(job.id):
            machine.reserved_capacity[job.id] -= 1
        job.tasks_by_zone[machine.zone] = job.tasks_by_zone.get(machine.zone, 0) + 1
        self._use(job.team, job.cpus, job.gpus)

    def _undo_placements(self, job: JobView, placed: list[int]) -> None:
        """Undoes the starts of a job that did not find room as a whole."""
        for at in reversed(placed):
            self.plan.placements.pop()
            self.placed.pop()
            self.columns.free[at] += job.demand
            job.tasks_by_zone[self.machines[at].zone] -= 1
            self._use(job.team, -job.cpus, -job.gpus)
