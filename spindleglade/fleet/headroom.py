"""Headroom: spare capacity for the teams' guarantees where work cannot wait for a machine to boot."""

from spindleglade.backfill.plan import Plan
from spindleglade.backfill.snapshot import unclaimed_guarantee_cpus
from spindleglade.fleet.parameters import AutoscalerContext, MachineSupply
from spindleglade.fleet.state import FleetState
from spindleglade.runtime.clock import seconds

# Deficit while there are no open jobs. It is so negative that all spare capacity is surplus.
NO_WORK_DEFICIT_CPUS = -1e9


class Headroom:
    """Computes whether headroom is needed and how many CPUs of it are missing."""

    def __init__(self, context: AutoscalerContext, supply: MachineSupply, state: FleetState) -> None:
        self._cluster = context.cluster
        self._clock = context.clock
        self._guarantee_share = context.settings.guarantee_headroom
        self._supply = supply
        self._state = state
        self._spare_cpus = 0.0
        self._used_cpus_by_team: dict[str, float] = {}

    def on_plan(self, plan: Plan) -> None:
        """Takes over from the latest plan the spare CPUs of machines and the used CPUs of each team."""
        self._spare_cpus, self._used_cpus_by_team = plan.spare_cpus, plan.used_cpus

    @property
    def is_needed(self) -> bool:
        """Whether work must start sooner than the fastest machine type boots, so that spare machines are kept
        running. The settings do not say whether cost matters; it is assumed to matter everywhere but here. An
        objective that leaves time for a boot does not justify headroom, which multiplies the cost."""
        types = self._supply.types()
        if self._supply.min_start_objective is None or not types:
            return False
        return self._supply.min_start_objective < min(seconds(entry.boot_s) for entry in types)

    def has_open_jobs(self) -> bool:
        """Whether any job is open."""
        with self._cluster.lock:
            return any(job.is_open for job in self._cluster.jobs.values())

    def deficit_cpus(self) -> float:
        """The number of CPUs that headroom lacks; negative if there is a surplus.

        Headroom is the share `guarantee_headroom` of the CPUs that teams may still claim by their guarantees.
        Spare CPUs and those of booting and requested machines cover it. While no job is open, no headroom is
        kept.
        """
        if not self.has_open_jobs():
            return NO_WORK_DEFICIT_CPUS
        unclaimed = unclaimed_guarantee_cpus(self._cluster.teams, self._used_cpus_by_team)
        now = self._clock.now()
        expected_cpus = sum(booting.type.cpus for booting in self._state.expected_machines(now))
        expected_cpus += sum(
            pending.request.count * pending.machine_type.cpus
            for pending in self._state.pending_requests.values()
        )
        return unclaimed * self._guarantee_share - self._spare_cpus - expected_cpus
