"""The state of a planning pass: machines, usage by team, and which tasks fit on which machines."""

import numpy as np

from spindleglade.backfill.arrays import Array, IntArray, Mask
from spindleglade.backfill.machine_columns import MachineColumns
from spindleglade.backfill.plan import Plan
from spindleglade.backfill.snapshot import JobView, RunningTask, Snapshot


class PlanningState:
    """The snapshot, updated by the decisions of the pass so far.

    A machine is identified by its row: its index in `machines` and in the columns.
    """

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
        # Tasks placed in this pass, each with the row of its machine.
        self.placed_tasks: list[tuple[int, RunningTask]] = []
        # Usage includes every attempt that is not known to have ended, also on machines that are not usable.
        self.used_cpus: dict[str, float] = {}
        self.used_gpus: dict[str, float] = {}
        for machine in snapshot.machines:
            for team, (cpus, gpus) in machine.used.items():
                self.add_usage(team, cpus, gpus)
        # CPUs and GPUs of each team's limit that are kept for the team's overdue jobs.
        self.reserved_quota: dict[str, tuple[float, float]] = {}

    def add_usage(self, team: str, cpus: float, gpus: float) -> None:
        """Adds CPUs and GPUs to the usage of a team. Negative values subtract."""
        self.used_cpus[team] = self.used_cpus.get(team, 0.0) + cpus
        self.used_gpus[team] = self.used_gpus.get(team, 0.0) + gpus

    def quota_left(self, job: JobView) -> int:
        """How many more tasks of the job its team's limit allows.

        Quota reserved for overdue jobs of the team is available only to overdue jobs.
        """
        team = self.teams.get(job.team)
        if team is None:
            return 0
        cpus, gpus = team.cpus_max, team.gpus_max
        if not job.is_overdue and job.team in self.reserved_quota:
            reserved_cpus, reserved_gpus = self.reserved_quota[job.team]
            cpus, gpus = cpus - reserved_cpus, gpus - reserved_gpus
        return self._count_tasks_within(job, cpus, gpus)

    def guarantee_left(self, job: JobView) -> int:
        """How many more tasks of the job are within its team's guarantee."""
        team = self.teams.get(job.team)
        return 0 if team is None else self._count_tasks_within(job, team.cpus, team.gpus)

    def _count_tasks_within(self, job: JobView, cpus: float, gpus: float) -> int:
        return job.count_fitting(
            cpus - self.used_cpus.get(job.team, 0.0), gpus - self.used_gpus.get(job.team, 0.0)
        )

    def is_within_limit(self, job: JobView) -> bool:
        """Whether its team's limit allows one more task of the job."""
        return self.quota_left(job) > 0

    def is_within_guarantee(self, job: JobView) -> bool:
        """Whether one more task of the job is within its team's guarantee."""
        return self.guarantee_left(job) > 0

    def eligible_machines(self, job: JobView) -> Mask:
        """The machines on which tasks of the job may be placed, whether or not they fit there now."""
        columns = self.columns
        mask = self._machines_of_types(job.types)
        if job.zone is not None:
            mask &= columns.zone_masks.get(job.zone, False)
        if not job.spot:
            mask &= ~columns.is_spot
        if job.one_zone or job.spread:
            for zone, machines in columns.zone_masks.items():
                if not self._is_zone_eligible(job, zone):
                    mask &= ~machines
        for name in job.avoided_machines:
            if name in columns.row_by_name:
                mask[columns.row_by_name[name]] = False
        return mask

    def _machines_of_types(self, types: frozenset[str] | None) -> Mask:
        """The machines of the given types; all machines if `types` is None."""
        if types is None:
            return np.ones(len(self.machines), bool)
        mask: Mask = np.zeros(len(self.machines), bool)
        for name in types:
            if name in self.columns.type_masks:
                mask |= self.columns.type_masks[name]
        return mask

    def _is_zone_eligible(self, job: JobView, zone: str) -> bool:
        """Whether the job may have one more task in the zone.

        All tasks of a `one_zone` job are in the same zone, and a `spread` job has at most half of its tasks,
        rounded up, in any one zone.
        """
        uses_other_zone = any(count and task_zone != zone for task_zone, count in job.tasks_by_zone.items())
        exceeds_half = job.tasks_by_zone.get(zone, 0) + 1 > (job.task_count + 1) // 2
        return not ((job.one_zone and uses_other_zone) or (job.spread and exceeds_half))

    def unreserved_capacity(self, job: JobView | None) -> Array:
        """Free CPUs, GPUs and memory of each machine, less what is reserved for jobs other than this one.

        If `job` is None, the capacity reserved for any job is subtracted.
        """
        columns = self.columns
        if not columns.reserved_rows:
            return columns.free
        free = columns.free.copy()
        for row in columns.reserved_rows:
            for job_id, count in self.machines[row].reserved_capacity.items():
                beneficiary = self.jobs_by_id.get(job_id) if job is None or job_id != job.id else None
                if beneficiary is not None and count > 0:
                    free[row] -= np.multiply(beneficiary.demand, count)
        return free

    def has_eligible_machine(self, job: JobView) -> bool:
        """Whether a task of the job would fit on some eligible machine if nothing else ran on it."""
        machines = (self.machines[row] for row in np.nonzero(self.eligible_machines(job))[0])
        return any(job.count_fitting(machine.cpus, machine.gpus, machine.memory) for machine in machines)

    def count_fitting(self, job: JobView) -> IntArray:
        """How many tasks of the job fit on each machine now; 0 on machines that are not eligible."""
        counts = job.count_fitting_each(self.unreserved_capacity(job))
        return np.where(self.eligible_machines(job), counts, 0.0).astype(np.int64)

    def placement_order(self, job: JobView, fitting: IntArray) -> IntArray:
        """Rows of the machines that fit a task, in the order in which they are filled.

        Machines where the task runs soonest come first, then spot or on-demand machines, depending on which
        are preferred, then those with the fewest free CPUs, so that other machines stay empty.
        """
        rows = np.nonzero(fitting)[0]
        fetch_s = self.columns.fetch_s(job.image, job.image_gb)
        not_preferred = self.columns.is_spot == self.prefers_on_demand
        return rows[np.lexsort((self.columns.free[rows, 0], not_preferred[rows], fetch_s[rows]))]

    def free_cpus(self) -> float:
        """Free CPUs of all usable machines."""
        return float(np.maximum(self.columns.free[:, 0], 0.0).sum())
