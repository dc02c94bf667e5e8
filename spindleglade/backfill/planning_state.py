"""A planning round's state: the open machines as columns, what teams use, and what fits where."""

import numpy as np

from spindleglade.backfill.arrays import Array, Counts, Mask
from spindleglade.backfill.plan import Plan
from spindleglade.backfill.probability import Reservation
from spindleglade.backfill.snapshot import JobView, MachineView, RunningTask, Snapshot


class MachineColumns:
    """The open machines as columns."""

    def __init__(self, machines: list[MachineView]) -> None:
        # What each has free: CPUs, GPUs, memory.
        self.free = np.array(
            [(view.free_cpus, view.free_gpus, view.free_memory) for view in machines], float
        ).reshape(-1, 3)
        self.spot = np.array([view.spot for view in machines], bool)
        self.fetch_gb_per_s = np.array([view.fetch_gb_per_s for view in machines], float)
        self.fetch_counts = np.array([len(view.fetching) for view in machines], float)
        self.index = {view.name: at for at, view in enumerate(machines)}
        self.zones: dict[str, Mask] = {}
        self.types: dict[str, Mask] = {}
        # Where each image is, and where it is being fetched.
        self.images: dict[str, list[int]] = {}
        self.fetching: dict[str, set[int]] = {}
        self.reserved: list[int] = []
        for at, view in enumerate(machines):
            if view.zone not in self.zones:
                self.zones[view.zone] = np.zeros(len(machines), bool)
            self.zones[view.zone][at] = True
            if view.type not in self.types:
                self.types[view.type] = np.zeros(len(machines), bool)
            self.types[view.type][at] = True
            for image in view.images:
                self.images.setdefault(image, []).append(at)
            for image in view.fetching:
                self.fetching.setdefault(image, set()).add(at)
            if view.reserved_capacity:
                self.reserved.append(at)

    def fetch_s(self, image: str, gb: float) -> Array:
        """How long the image takes to be on each machine; fetches under way share the rate."""
        alone = gb / self.fetch_gb_per_s
        sharing = self.fetch_counts + 1
        coming = self.fetching.get(image)
        if coming:
            sharing[list(coming)] -= 1
        seconds = alone * sharing
        there = self.images.get(image)
        if there:
            seconds[there] = 0.0
        return seconds


class PlanningState:
    def __init__(self, snapshot: Snapshot, tau: float, preempt: str) -> None:
        self.plan = Plan()
        self.jobs = snapshot.jobs
        self.by_id = {job.id: job for job in snapshot.jobs}
        self.machines = [machine for machine in snapshot.machines if machine.is_usable]
        self.teams = snapshot.teams
        self.team_codes = {name: code for code, name in enumerate(snapshot.teams)}
        self.predictor = snapshot.predictor
        self.now = snapshot.now
        self.prefers_on_demand = snapshot.prefers_on_demand
        self.tau = tau
        self.preempt = preempt
        self.columns = MachineColumns(self.machines)
        # Tasks started in this round, by machine.
        self.placed: list[tuple[int, RunningTask]] = []
        # Every assignment not proven over counts, on closed machines too.
        self.used_cpus: dict[str, float] = {}
        self.used_gpus: dict[str, float] = {}
        for machine in snapshot.machines:
            for team, (cpus, gpus) in machine.used.items():
                self._use(team, cpus, gpus)
        # Of the teams' limits, what is kept for their overdue jobs: CPUs and GPUs.
        self.reserved_quota: dict[str, tuple[float, float]] = {}
        self.reserved_job: JobView | None = None
        self.reserved_task_count = 1
        # For each machine that is a unit for the head, the room a candidate may take without taking the unit.
        self.spare: dict[int, tuple[float, float, float]] = {}
        self.reservation: Reservation | None = None
        # Units that tasks which passed the head have taken in this round.
        self.units_taken = 0
        # Tasks stopped in this round, whatever the views say.
        self.preempted: set[tuple[str, int]] = set()
        # What stopping could free on each machine, by the rank it would be for.
        self.preemptible_capacity: dict[int, Array] = {}

    def _use(self, team: str, cpus: float, gpus: float) -> None:
        self.used_cpus[team] = self.used_cpus.get(team, 0.0) + cpus
        self.used_gpus[team] = self.used_gpus.get(team, 0.0) + gpus

    def _quota_left(self, job: JobView, guarantee: bool) -> int:
        """How many more tasks of the job keep its team within its limit, or within its guarantee."""
        team = self.teams.get(job.team)
        if team is None:
            return 0
        cpus, gpus = (team.cpus, team.gpus) if guarantee else (team.cpus_max, team.gpus_max)
        if not guarantee and not job.is_overdue and job.team in self.reserved_quota:
            cpus, gpus = cpus - self.reserved_quota[job.team][0], gpus - self.reserved_quota[job.team][1]
        return job.count_fitting(
            cpus - self.used_cpus.get(job.team, 0.0), gpus - self.used_gpus.get(job.team, 0.0)
        )

    def _is_within(self, job: JobView, guarantee: bool) -> bool:
        return self._quota_left(job, guarantee) > 0

    def _eligible_machines(self, job: JobView) -> Mask:
        columns = self.columns
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
                elsewhere = any(count and other != zone for other, count in job.tasks_by_zone.items())
                crowded = job.tasks_by_zone.get(zone, 0) + 1 > (job.task_count + 1) // 2
                if (job.one_zone and elsewhere) or (job.spread and crowded):
                    mask &= ~here
        for name in job.avoided_machines:
            if name in columns.index:
                mask[columns.index[name]] = False
        return mask

    def _unreserved_capacity(self, job: JobView | None) -> Array:
        """What is free on each machine, less the room held there for jobs other than this one."""
        columns = self.columns
        if not columns.reserved:
            return columns.free
        free = columns.free.copy()
        for at in columns.reserved:
            for beneficiary, count in self.machines[at].reserved_capacity.items():
                other = self.by_id.get(beneficiary) if job is None or beneficiary != job.id else None
                if other is not None and count > 0:
                    free[at] -= np.multiply(other.demand, count)
        return free

    def _has_place(self, job: JobView) -> bool:
        """Whether a task of the job fits a machine that is there, were it empty."""
        machines = (self.machines[at] for at in np.nonzero(self._eligible_machines(job))[0])
        return any(job.count_fitting(machine.cpus, machine.gpus, machine.memory) for machine in machines)

    def _fits(self, job: JobView) -> Counts:
        """How many tasks of the job each machine has room for."""
        fits = job.count_fitting_each(self._unreserved_capacity(job))
        return np.where(self._eligible_machines(job), fits, 0.0).astype(np.int64)

    def _order(self, job: JobView, fits: Counts) -> Counts:
        """Where a task runs soonest; among those, the kind of machine preferred here, and the fullest first,
        so that others stay whole or idle."""
        able = np.nonzero(fits)[0]
        fetch = self.columns.fetch_s(job.image, job.image_gb)
        dear = self.columns.spot == self.prefers_on_demand
        return able[np.lexsort((self.columns.free[able, 0], dear[able], fetch[able]))]
