"""Headroom: capacity kept ready for the teams' guarantees where work cannot wait for a machine to boot."""

from spindleglade.backfill.plan import Plan
from spindleglade.backfill.snapshot import unclaimed_guarantee_cpus
from spindleglade.fleet.parameters import AutoscalerContext, MachineSupply
from spindleglade.fleet.state import FleetState
from spindleglade.runtime.clock import seconds

# The deficit while there is no work: whatever is spare is too much.
NO_WORK_DEFICIT_CPUS = -1e9


class Headroom:
    """Tells whether headroom is needed, and how much of it is missing."""

    def __init__(self, context: AutoscalerContext, supply: MachineSupply, state: FleetState) -> None:
        self._cluster = context.cluster
        self._clock = context.clock
        self._guarantee_share = context.settings.guarantee_headroom
        self._supply = supply
        self._state = state
        self._spare_cpus = 0.0
        self._used_cpus: dict[str, float] = {}

    def on_plan(self, plan: Plan) -> None:
        """Takes over from the latest plan what machines have spare and what teams use."""
        self._spare_cpus, self._used_cpus = plan.spare_cpus, plan.used_cpus

    @property
    def is_needed(self) -> bool:
        """Whether work has to start sooner than the fastest machine boots, so that machines are kept ready.
        The settings do not say whether money counts; it is taken to, except here. An objective that leaves
        time for a boot does not ask for headroom, which costs a multiple."""
        types = self._supply.types()
        if self._supply.min_start_objective is None or not types:
            return False
        return self._supply.min_start_objective < min(seconds(entry.boot_s) for entry in types)

    def has_open_jobs(self) -> bool:
        """Whether there is any work at all."""
        with self._cluster.lock:
            return any(job.is_open for job in self._cluster.jobs.values())

    def deficit_cpus(self) -> float:
        """CPUs that teams could claim by their guarantees beyond what is spare or booting; negative if there
        are more than that. While there is no work, no headroom is kept."""
        if not self.has_open_jobs():
            return NO_WORK_DEFICIT_CPUS
        unclaimed = unclaimed_guarantee_cpus(self._cluster.teams, self._used_cpus)
        now = self._clock.now()
        coming = sum(boot.type.cpus for boot in self._state.expected_machines(now))
        coming += sum(
            pending.request.count * pending.machine_type.cpus
            for pending in self._state.pending_requests.values()
        )
        return unclaimed * self._guarantee_share - self._spare_cpus - coming
