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

from dataclasses import replace
from datetime import timedelta
from functools import cached_property

import numpy as np
from numpy.typing import NDArray

from spindleglade.backfill.probability import Reservation
from spindleglade.backfill.snapshot import (
    EPS,
    Freeing,
    JobView,
    MachineView,
    Plan,
    Running,
    Snapshot,
    Start,
    Stop,
    Unmet,
    task_rows,
)

Array = NDArray[np.float64]
Mask = NDArray[np.bool_]
Counts = NDArray[np.int64]


# Tasks stopped in one round; the rest waits for the next.
_MOST_STOPS = 24
# Machines looked at closely for one task.
_MOST_LOOKED = 32
_RUN_BEFORE_STOP = timedelta(seconds=20)


class Planner:
    def __init__(self, tau: float, preempt: str = "none") -> None:
        self._tau = tau
        self._preempt = preempt

    def plan(self, snapshot: Snapshot) -> Plan:
        return _Round(snapshot, self._tau, self._preempt).run()


class _Field:
    """The open machines as columns."""

    def __init__(self, machines: list[MachineView]) -> None:
        self.views = machines
        self.cpus = np.array([view.free_cpus for view in machines], float)
        self.gpus = np.array([view.free_gpus for view in machines], float)
        self.memory = np.array([view.free_memory for view in machines], float)
        self.spot = np.array([view.spot for view in machines], bool)
        self.pull = np.array([view.pull_gb_per_s for view in machines], float)
        self.pulls = np.array([len(view.pulling) for view in machines], float)
        self.index = {view.name: at for at, view in enumerate(machines)}
        self.zones: dict[str, Mask] = {}
        self.types: dict[str, Mask] = {}
        # Where each image is, and where it is being fetched.
        self.images: dict[str, list[int]] = {}
        self.pulling: dict[str, set[int]] = {}
        self.claimed: list[int] = []
        for at, view in enumerate(machines):
            if view.zone not in self.zones:
                self.zones[view.zone] = np.zeros(len(machines), bool)
            self.zones[view.zone][at] = True
            if view.type not in self.types:
                self.types[view.type] = np.zeros(len(machines), bool)
            self.types[view.type][at] = True
            for image in view.images:
                self.images.setdefault(image, []).append(at)
            for image in view.pulling:
                self.pulling.setdefault(image, set()).add(at)
            if view.claims:
                self.claimed.append(at)

    def fetch_s(self, image: str, gb: float) -> Array:
        """How long the image takes to be on each machine; fetches under way share the rate."""
        alone = gb / self.pull
        sharing = self.pulls + 1
        coming = self.pulling.get(image)
        if coming:
            sharing[list(coming)] -= 1
        seconds = alone * sharing
        there = self.images.get(image)
        if there:
            seconds[there] = 0.0
        return seconds


class _Round:
    def __init__(self, snapshot: Snapshot, tau: float, preempt: str) -> None:
        self.plan = Plan()
        self.jobs = snapshot.jobs
        self.by_id = {job.id: job for job in snapshot.jobs}
        self.machines = [machine for machine in snapshot.machines if machine.open]
        self.teams = snapshot.teams
        self.codes = {name: code for code, name in enumerate(snapshot.teams)}
        self.predictor = snapshot.predictor
        self.now = snapshot.now
        self.ordinary_first = snapshot.ordinary_first
        self.tau = tau
        self.preempt = preempt
        self.field = _Field(self.machines)
        # Tasks started in this round, by machine.
        self.added: list[tuple[int, Running]] = []
        # Every assignment not proven over counts, on closed machines too.
        self.used_cpus: dict[str, float] = {}
        self.used_gpus: dict[str, float] = {}
        for machine in snapshot.machines:
            for team, (cpus, gpus) in machine.used.items():
                self._use(team, cpus, gpus)
        # Of the teams' limits, what is kept for their overdue jobs: CPUs and GPUs.
        self.kept: dict[str, tuple[float, float]] = {}
        self.head: JobView | None = None
        self.head_tasks = 1
        # For each machine that is a unit for the head, the room a candidate may take without taking the unit.
        self.spare: dict[int, tuple[float, float, float]] = {}
        self.reservation: Reservation | None = None
        # Units that tasks which passed the head have taken in this round.
        self.taken = 0
        # Tasks stopped in this round, whatever the views say.
        self.stopped: set[tuple[str, int]] = set()
        # What stopping could free on each machine, by the rank it would be for.
        self.stoppable: dict[int, Array] = {}

    def _use(self, team: str, cpus: float, gpus: float) -> None:
        self.used_cpus[team] = self.used_cpus.get(team, 0.0) + cpus
        self.used_gpus[team] = self.used_gpus.get(team, 0.0) + gpus

    def _room(self, job: JobView, guarantee: bool) -> int:
        """How many more tasks of the job keep its team within its limit, or within its guarantee."""
        team = self.teams.get(job.team)
        if team is None:
            return 0
        cpus, gpus = (team.cpus, team.gpus) if guarantee else (team.cpus_max, team.gpus_max)
        if not guarantee and not job.overdue and job.team in self.kept:
            cpus, gpus = cpus - self.kept[job.team][0], gpus - self.kept[job.team][1]
        return job.fitting(cpus - self.used_cpus.get(job.team, 0.0), gpus - self.used_gpus.get(job.team, 0.0))

    def _within(self, job: JobView, guarantee: bool) -> bool:
        return self._room(job, guarantee) > 0

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
        for job in sorted(self.jobs, key=lambda job: -job.rank):
            if job.waiting:
                self._place_job(job, refused, full)
        if self.preempt != "none":
            self._make_room()
        self.plan.spare_cpus = float(np.maximum(self.field.cpus, 0.0).sum())
        self.plan.used_cpus = self.used_cpus
        self.plan.freeing = self._freeing
        return self.plan

    def _freeing(self) -> Freeing:
        where, rows, expected, _, _ = self._outlook()
        free = np.column_stack((self.field.cpus, self.field.gpus, self.field.memory))
        return Freeing(self.machines, free, where, expected, rows[:, 3:])

    # Starts.

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
        if passes or job.like() not in refused:
            if not job.plain:
                placed = self._place_singly(job, wanted, passes, refused)
            elif job.place() in full and not job.avoid:
                placed = 0
            else:
                placed = self._place_alike(job, wanted, passes, refused, full)
        else:
            placed = 0
        rest = wanted - placed
        if rest:
            self.plan.unmet.append(Unmet(job, rest, self._within(job, guarantee=True)))
            if job.overdue:
                self._hold(job, rest)
            if self.head is None:
                self.head, self.head_tasks = job, rest if job.whole else 1
                self.plan.head = job.id

    def _allowed(self, job: JobView) -> Mask:
        columns = self.field
        mask = np.ones(len(self.machines), bool)
        if job.types is not None:
            mask[:] = False
            for name in job.types:
                if name in columns.types:
                    mask |= columns.types[name]
        if job.zone is not None:
            mask &= columns.zones.get(job.zone, False)
        if not job.spot:
            mask &= ~columns.spot
        if job.one_zone or job.spread:
            for zone, here in columns.zones.items():
                elsewhere = any(count and other != zone for other, count in job.zones.items())
                crowded = job.zones.get(zone, 0) + 1 > (job.tasks + 1) // 2
                if (job.one_zone and elsewhere) or (job.spread and crowded):
                    mask &= ~here
        for name in job.avoid:
            if name in columns.index:
                mask[columns.index[name]] = False
        return mask

    def _unclaimed(self, job: JobView | None) -> tuple[Array, Array, Array]:
        """What is free on each machine, less the room held there for jobs other than this one."""
        columns = self.field
        if not columns.claimed:
            return columns.cpus, columns.gpus, columns.memory
        cpus, gpus, memory = columns.cpus.copy(), columns.gpus.copy(), columns.memory.copy()
        for at in columns.claimed:
            for claimant, count in self.machines[at].claims.items():
                other = self.by_id.get(claimant) if job is None or claimant != job.id else None
                if other is not None and count > 0:
                    cpus[at] -= other.cpus * count
                    gpus[at] -= other.gpus * count
                    memory[at] -= other.memory * count
        return cpus, gpus, memory

    def _fits(self, job: JobView) -> Counts:
        """How many tasks of the job each machine has room for."""
        fits = job.fitting_each(np.column_stack(self._unclaimed(job)))
        return np.where(self._allowed(job), fits, 0.0).astype(np.int64)

    def _order(self, job: JobView, fits: Counts) -> Counts:
        """Where a task runs soonest; among those, the kind of machine preferred here, and the fullest first,
        so that others stay whole or idle."""
        able = np.nonzero(fits)[0]
        fetch = self.field.fetch_s(job.image, job.image_gb)
        dear = self.field.spot == self.ordinary_first
        return able[np.lexsort((self.field.cpus[able], dear[able], fetch[able]))]

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
                if name in self.field.index:
                    fits[self.field.index[name]] = 0
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
        columns, machine = self.field, self.machines[at]
        self.plan.starts.append(Start(job.id, index, machine.name))
        task = Running(job.id, index, job.team, job.rank, job.cpus, job.gpus, job.memory, job.estimate)
        self.added.append((at, task))
        columns.cpus[at] -= job.cpus
        columns.gpus[at] -= job.gpus
        columns.memory[at] -= job.memory
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
            self.field.cpus[at] += job.cpus
            self.field.gpus[at] += job.gpus
            self.field.memory[at] += job.memory
            job.zones[self.machines[at].zone] -= 1
            self._use(job.team, -job.cpus, -job.gpus)

    def _outranks(self, job: JobView) -> bool:
        """Whether the job might stop a task of the head by the protocol's rules; then holding it back behind
        the head would only make it do so later, at the price of the work lost."""
        assert self.head is not None
        if job.rank > self.head.rank:
            return True
        return (
            job.team != self.head.team
            and self._within(job, guarantee=True)
            and not self._within(self.head, guarantee=True)
        )

    # The reservation.

    def _outlook(self) -> tuple[Counts, Array, Array, Array, Array]:
        """All tasks on open machines, those started in this round too: where they are, their rows, when they
        are expected to end, and the possible ends with their weights."""
        parts = [view.rows(self.codes) for view in self.machines]
        where = np.repeat(np.arange(len(parts)), [len(part) for part in parts])
        if self.added:
            parts.append(task_rows([task for _, task in self.added], self.codes))
            where = np.concatenate((where, [at for at, _ in self.added]))
        rows = np.concatenate(parts) if parts else np.zeros((0, 6))
        elapsed = np.nan_to_num(self.now.total_seconds() - rows[:, 2], nan=0.0)
        ends, weights = self.predictor.outlook(
            list(self.codes), np.column_stack((rows[:, 0], rows[:, 1], elapsed))
        )
        return where, rows, (ends * weights).sum(axis=1), ends, weights

    def _units(self, job: JobView) -> tuple[Mask, Array, Array, Counts, Counts, Array, Array]:
        """Each machine as a unit for the job: which of its tasks must end for one task of the job to fit,
        soonest first. Returns whether it is a unit at all, after how many seconds it is expected to be one,
        what would then be left over, for the tasks that must end their places and machines, and all ends and
        weights."""
        where, rows, expected, ends, weights = self._outlook()
        need = np.array([job.cpus, job.gpus, job.memory]) - EPS
        free = np.column_stack(self._unclaimed(job))
        order = np.lexsort((expected, where))
        at = where[order]
        freed = np.cumsum(rows[order, 3:], axis=0)
        firsts = np.searchsorted(at, np.arange(len(self.machines) + 1))
        before = np.vstack((np.zeros(3), freed))[firsts[:-1]]
        have = free[at] + freed - before[at]
        enough = np.nonzero((have >= need).all(axis=1))[0]
        ready = np.full(len(self.machines), np.inf)
        left = np.zeros((len(self.machines), 3))
        last = np.full(len(self.machines), -1)
        # The first place on each machine at which enough is free: it is written after the later ones.
        last[at[enough[::-1]]] = enough[::-1]
        some = last >= 0
        ready[some] = expected[order][last[some]]
        left[some] = have[last[some]]
        now = (free >= need).all(axis=1)
        ready[now], left[now], last[now] = 0.0, free[now], -1
        allowed = self._allowed(job)
        unit = allowed & np.isfinite(ready)
        ending = np.arange(len(order)) <= last[at]
        ending &= unit[at]
        return unit, ready, left - need - EPS, order[ending], at[ending], ends, weights

    def _reserve(self) -> Reservation:
        """The head's reservation; made only once something asks to go before it."""
        if self.reservation is None:
            assert self.head is not None
            unit, ready, left, ending, at, ends, weights = self._units(self.head)
            self.spare = {int(machine): tuple(left[machine]) for machine in np.nonzero(unit)[0]}
            free = int((unit & (ready == 0.0)).sum())
            lacks = max(1, min(self.head_tasks, len(self.spare)) - free)
            self.reservation = Reservation(ends[ending], weights[ending], at, lacks)
        return self.reservation

    def _passing(self, job: JobView, at: int, wanted: int, refused: set[tuple]) -> int:
        """How many of the tasks that fit the machine may go before the head. Those that leave it room for the
        head's task take no unit and delay nothing; the first that does not is asked for by Algorithm 2, for
        all alike."""
        reservation = self._reserve()
        spare = self.spare.get(at)
        if spare is None:
            return wanted
        count = min(wanted, job.fitting(*spare))
        if count < wanted and job.like() not in refused:
            self.plan.checks += 1
            ends, weights = self.predictor.remaining(job.team, job.estimate, timedelta(0))
            if reservation.delay(ends, weights, self.taken + 1) < self.tau:
                self.taken += 1
                del self.spare[at]
                return wanted
            refused.add(job.like())
        if count:
            self.spare[at] = (
                spare[0] - job.cpus * count,
                spare[1] - job.gpus * count,
                spare[2] - job.memory * count,
            )
        return count

    def _hold(self, job: JobView, rest: int) -> None:
        """Holds room that frees for an overdue job, so that nothing small slips in before enough is free in
        one place: what it has already, and more on the machines that will have room soonest. On a sixteenth
        of the machines at most: they stand half empty meanwhile, and the others must get on as well."""
        held = 0
        for at in self.field.claimed:
            count = self.machines[at].claims.get(job.id, 0)
            if count > 0:
                self.plan.claims.append((self.machines[at].name, job.id, count))
                held += count
        more = min(rest - held, max(1, len(self.machines) // 16) - len(self.field.claimed))
        if more <= 0:
            return
        unit, ready, *_ = self._units(job)
        ready = np.where(unit, ready, np.inf)
        for at in np.argsort(ready, kind="stable")[:more]:
            if not np.isfinite(ready[at]):
                break
            if self.machines[at].claims:
                continue
            self.machines[at].claims[job.id] = 1
            self.field.claimed.append(int(at))
            self.plan.claims.append((self.machines[at].name, job.id, 1))

    # Preemption.

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
        circles, fetching its image and saving by turns."""
        if self.preempt != "saving":
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
        free = np.column_stack(self._unclaimed(None)) + self._freed_for(job.rank)
        enough = (job.fitting_each(free) > 0) & self._allowed(job)
        rooms = np.array(self.rooms, np.int64)
        able = rooms[enough[rooms]]
        if len(able) > _MOST_LOOKED:
            able = able[np.argsort(self.least[able], kind="stable")[:_MOST_LOOKED]]
        return [int(at) for at in able]

    def _stop_for(self, job: JobView) -> bool:
        guaranteed = self._within(job, guarantee=True)
        best, best_loss = None, None
        free_cpus, free_gpus, free_memory = self._unclaimed(None)
        for at in self._worth_looking(job):
            machine = self.machines[at]
            cpus, gpus, memory = free_cpus[at], free_gpus[at], free_memory[at]
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
        if at not in self.field.claimed:
            self.field.claimed.append(at)
        self.plan.claims.append((machine.name, job.id, machine.claims[job.id]))
        self._use(job.team, job.cpus, job.gpus)
        return True
