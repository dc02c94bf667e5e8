"""The state of a planning pass: machines, the teams' usage, and which tasks fit where."""

import numpy as np

from spindleglade.backfill.arrays import Array, Counts, Mask
from spindleglade.backfill.machine_columns import MachineColumns
from spindleglade.backfill.plan import Plan
from spindleglade.backfill.snapshot import JobView, RunningTask, Snapshot


class PlanningState:
    """What the snapshot says, with what the pass has decided so far. Machines go by their rows."""

    def __init__(self, snapshot: Snapshot) -> None:
        self.plan = Plan()
        self.jobs = snapshot.jobs
        self.jobs_by_id = {job.id: job for job in snapshot.jobs}
        self.machines = [machine for machine in snapshot.machines if machine.is_usable]
        self.teams = snapshot.teams
        self.team_codes = {name: code for code, name in enumerate(snapshot.teams)}
        self.predictor = snapshot.predictor
        self.now = snapshot.now
        self.prefers_on_demand = snapshot.prefers_on_demand
        self.columns = MachineColumns(self.machines)
        # Tasks placed in this pass, with their machines.
        self.placed: list[tuple[int, RunningTask]] = []
        # Every attempt that is not known to have ended counts, on machines that are not usable too.
        self.used_cpus: dict[str, float] = {}
        self.used_gpus: dict[str, float] = {}
        for machine in snapshot.machines:
            for team, (cpus, gpus) in machine.used.items():
                self.add_usage(team, cpus, gpus)
        # CPUs and GPUs of the teams' limits that are kept for their overdue jobs.
        self.reserved_quota: dict[str, tuple[float, float]] = {}

    def add_usage(self, team: str, cpus: float, gpus: float) -> None:
        """Adds to what a team uses, or subtracts if negative."""
        self.used_cpus[team] = self.used_cpus.get(team, 0.0) + cpus
        self.used_gpus[team] = self.used_gpus.get(team, 0.0) + gpus

    def quota_left(self, job: JobView) -> int:
        """How many more tasks of the job keep its team within its limit."""
        team = self.teams.get(job.team)
        if team is None:
            return 0
        cpus, gpus = team.cpus_max, team.gpus_max
        if not job.is_overdue and job.team in self.reserved_quota:
            reserved_cpus, reserved_gpus = self.reserved_quota[job.team]
            cpus, gpus = cpus - reserved_cpus, gpus - reserved_gpus
        return self._count_within(job, cpus, gpus)

    def guarantee_left(self, job: JobView) -> int:
        """How many more tasks of the job keep its team within its guarantee."""
        team = self.teams.get(job.team)
        return 0 if team is None else self._count_within(job, team.cpus, team.gpus)

    def _count_within(self, job: JobView, cpus: float, gpus: float) -> int:
        return job.count_fitting(
            cpus - self.used_cpus.get(job.team, 0.0), gpus - self.used_gpus.get(job.team, 0.0)
        )

    def is_within_limit(self, job: JobView) -> bool:
        """Whether one more task of the job keeps its team within its limit."""
        return self.quota_left(job) > 0

    def is_within_guarantee(self, job: JobView) -> bool:
        """Whether one more task of the job keeps its team within its guarantee."""
        return self.guarantee_left(job) > 0

    def eligible_machines(self, job: JobView) -> Mask:
        """The machines that tasks of the job may be placed on, whether they fit or not."""
        columns = self.columns
        mask = self._machines_of_types(job.types)
        if job.zone is not None:
            mask &= columns.zones.get(job.zone, False)
        if not job.spot:
            mask &= ~columns.spot
        if job.one_zone or job.spread:
            for zone, machines in columns.zones.items():
                if not self._is_zone_eligible(job, zone):
                    mask &= ~machines
        for name in job.avoided_machines:
            if name in columns.rows:
                mask[columns.rows[name]] = False
        return mask

    def _machines_of_types(self, types: frozenset[str] | None) -> Mask:
        """The machines of these types, or all machines for None."""
        if types is None:
            return np.ones(len(self.machines), bool)
        mask: Mask = np.zeros(len(self.machines), bool)
        for name in types:
            if name in self.columns.types:
                mask |= self.columns.types[name]
        return mask

    def _is_zone_eligible(self, job: JobView, zone: str) -> bool:
        """Whether a task more in this zone keeps the job in one zone, or spread over several."""
        in_other_zones = any(count and other != zone for other, count in job.tasks_by_zone.items())
        over_half = job.tasks_by_zone.get(zone, 0) + 1 > (job.task_count + 1) // 2
        return not ((job.one_zone and in_other_zones) or (job.spread and over_half))

    def unreserved_capacity(self, job: JobView | None) -> Array:
        """What is free on each machine, without the capacity reserved for jobs other than this one."""
        columns = self.columns
        if not columns.reserved:
            return columns.free
        free = columns.free.copy()
        for row in columns.reserved:
            for beneficiary, count in self.machines[row].reserved_capacity.items():
                other = self.jobs_by_id.get(beneficiary) if job is None or beneficiary != job.id else None
                if other is not None and count > 0:
                    free[row] -= np.multiply(other.demand, count)
        return free

    def has_eligible_machine(self, job: JobView) -> bool:
        """Whether a task of the job fits an eligible machine, were it empty."""
        machines = (self.machines[row] for row in np.nonzero(self.eligible_machines(job))[0])
        return any(job.count_fitting(machine.cpus, machine.gpus, machine.memory) for machine in machines)

    def count_fitting(self, job: JobView) -> Counts:
        """How many tasks of the job fit each machine now."""
        counts = job.count_fitting_each(self.unreserved_capacity(job))
        return np.where(self.eligible_machines(job), counts, 0.0).astype(np.int64)

    def placement_order(self, job: JobView, fitting: Counts) -> Counts:
        """The machines that fit a task, in the order in which they are used: where it runs soonest; among
        those, the preferred kind of machine; and then the fullest, so that others stay empty."""
        rows = np.nonzero(fitting)[0]
        fetch_s = self.columns.fetch_s(job.image, job.image_gb)
        not_preferred = self.columns.spot == self.prefers_on_demand
        return rows[np.lexsort((self.columns.free[rows, 0], not_preferred[rows], fetch_s[rows]))]

    def free_cpus(self) -> float:
        """CPUs of usable machines that nothing uses."""
        return float(np.maximum(self.columns.free[:, 0], 0.0).sum())
