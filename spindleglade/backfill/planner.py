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

from spindleglade.backfill.preempting import Preempting
from spindleglade.backfill.reserving import Reserving
from spindleglade.backfill.snapshot import (
    Freeing,
    JobView,
    Plan,
    Running,
    Snapshot,
    Start,
    Unmet,
    claimable_cpus,
    idle_time,
)


class Planner:
    def __init__(self, tau: float, preempt: str = "none") -> None:
        self._tau = tau
        self._preempt = preempt

    def plan(self, snapshot: Snapshot) -> Plan:
        return _Round(snapshot, self._tau, self._preempt).run()


class _Round(Reserving, Preempting):
    """One round: starts in queue order, past the head where it may be, then stops."""

    def run(self) -> Plan:
        refused: set[tuple] = set()
        full: set[tuple] = set()
        # What is overdue goes before all: without that, an endless stream of small tasks of high priority
        # would starve large ones. Only some of its tasks do, or where all normal work is late no priority
        # would be left: an eighth, and it is overdue no more once one has started.
        for job in self.jobs:
            if job.overdue and job.waiting:
                first = len(job.waiting) if job.whole else max(1, len(job.waiting) // 8)
                ahead = replace(job, waiting=job.waiting[:first])
                self._place_job(ahead, refused, full)
                job.waiting, job.overdue = job.waiting[first:], False
        # Submission order within a priority. A higher priority goes first because it could stop what a lower
        # one started in the same round, and starting only to stop loses work.
        # Within a priority, a job that others need goes first once their deadline leaves it no time to wait.
        for job in sorted(self.jobs, key=lambda job: (-job.rank, not job.pressing)):
            if job.waiting:
                self._place_job(job, refused, full)
        if self.preempt != "none":
            self._make_room()
        self.plan.spare_cpus = self._free_cpus()
        self.plan.used_cpus = self.used_cpus
        self.plan.freeing = self._freeing
        return self.plan

    def _freeing(self) -> Freeing:
        where, rows, expected, _, _ = self._outlook()
        return Freeing(self.machines, self.columns.free, where, expected, rows[:, 3:])

    def _place_job(self, job: JobView, refused: set[tuple], full: set[tuple]) -> None:
        limit = self._room(job, guarantee=False)
        wanted = min(len(job.waiting), limit)
        if job.overdue and not limit:
            # Its team is at its limit. What the team's tasks free in single CPUs would go to its small ones
            # for ever: one of 13 tasks waited for 214 s.
            cpus, gpus = self.kept.get(job.team, (0.0, 0.0))
            self.kept[job.team] = cpus + job.cpus, gpus + job.gpus
        # Held only by its team's limit: no reservation, others need not make way for it.
        if not wanted or (job.whole and wanted < len(job.waiting)):
            return
        passes = self.head is None or (not self.head.overdue and self._outranks(job))
        now = wanted
        if self.ordinary_first and not job.overdue and idle_time(job, self.teams):
            now = min(wanted, job.fitting(self._beyond_guarantees(), math.inf))
        placed = 0
        if now and (passes or job.like() not in refused):
            if not job.plain:
                placed = self._place_singly(job, now, passes, refused)
            elif job.place() not in full or job.avoid:
                placed = self._place_alike(job, now, passes, refused, full)
        rest = wanted - placed
        # Room is neither reserved nor rented to see a job fail once more, unless it waits too long for it or
        # no machine there could ever take it.
        if rest and (job.overdue or not job.trial or not self._has_place(job)):
            self.plan.unmet.append(Unmet(job, rest, self._within(job, guarantee=True)))
            if job.overdue:
                self._hold(job, rest)
            if self.head is None:
                self.head, self.head_tasks = job, rest if job.whole else 1
                self.plan.head = job.id

    def _free_cpus(self) -> float:
        return float(np.maximum(self.columns.free[:, 0], 0.0).sum())

    def _beyond_guarantees(self) -> float:
        """CPUs that would stand idle even if every team claimed its guarantee. Where work must start sooner
        than a machine boots, room is kept up for that. Idle-time work took it, and each urgent start then
        waited until something had been stopped for it and had saved."""
        return max(0.0, self._free_cpus() - claimable_cpus(self.teams, self.used_cpus))

    def _place_alike(
        self, job: JobView, wanted: int, passes: bool, refused: set[tuple], full: set[tuple]
    ) -> int:
        """Tasks that are all alike fill one machine after the other."""
        fits = self._fits(job)
        if not fits.any():
            if not job.avoid:
                full.add(job.place())
            return 0
        placed = 0
        for at in self._order(job, fits):
            here = min(int(fits[at]), wanted - placed)
            if not passes:
                here = self._passing(job, int(at), here, refused)
            for index in job.waiting[placed : placed + here]:
                self._start(job, index, int(at))
            placed += here
            if placed == wanted:
                break
        return placed

    def _place_singly(self, job: JobView, wanted: int, passes: bool, refused: set[tuple]) -> int:
        placed: list[int] = []
        for index in job.waiting[:wanted]:
            fits = self._fits(job)
            for name in job.barred.get(index, ()):
                if name in self.columns.index:
                    fits[self.columns.index[name]] = 0
            able = self._order(job, fits)
            at = next((at for at in able if passes or self._passing(job, int(at), 1, refused)), None)
            if at is None:
                if job.barred and not job.whole:
                    continue
                break
            self._start(job, index, int(at))
            placed.append(int(at))
        if job.whole and len(placed) < len(job.waiting):
            self._take_back(job, placed)
            return 0
        return len(placed)

    def _start(self, job: JobView, index: int, at: int) -> None:
        columns, machine = self.columns, self.machines[at]
        self.plan.starts.append(Start(job.id, index, machine.name))
        task = Running(job.id, index, job.team, job.rank, job.cpus, job.gpus, job.memory, job.estimate)
        self.added.append((at, task))
        columns.free[at] -= job.need
        if job.image not in machine.images:
            coming = columns.pulling.setdefault(job.image, set())
            if at not in coming:
                coming.add(at)
                columns.pulls[at] += 1
        if machine.claims.get(job.id):
            machine.claims[job.id] -= 1
        job.zones[machine.zone] = job.zones.get(machine.zone, 0) + 1
        self._use(job.team, job.cpus, job.gpus)

    def _take_back(self, job: JobView, placed: list[int]) -> None:
        """Undoes the starts of a job that did not find room as a whole."""
        for at in reversed(placed):
            self.plan.starts.pop()
            self.added.pop()
            self.columns.free[at] += job.need
            job.zones[self.machines[at].zone] -= 1
            self._use(job.team, -job.cpus, -job.gpus)
