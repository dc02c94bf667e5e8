"""The autoscaler, which runs on the leader: scale-out, scale-in, the machine list and health probes."""

from collections.abc import Callable
from functools import partial

from spindleglade.backfill.plan import Plan
from spindleglade.fleet.capacity_backoff import CapacityBackoff
from spindleglade.fleet.headroom import Headroom
from spindleglade.fleet.health_probes import HealthProbes
from spindleglade.fleet.machine_list import MachineListReader
from spindleglade.fleet.parameters import (
    AutoscalerContext,
    MachineSupply,
    SilenceLimits,
    WorkerConnections,
)
from spindleglade.fleet.scale_in import ScaleIn
from spindleglade.fleet.scale_out import ScaleOut
from spindleglade.fleet.state import FleetState
from spindleglade.fleet.termination import MachineTermination
from spindleglade.runtime.clock import seconds, sleep
from spindleglade.runtime.periodic_task import PeriodicTask

# Time between two scaling passes.
SCALING_INTERVAL = seconds(0.5)


class Autoscaler:
    """Runs periodic scaling passes and owns the state that the scaling components share."""

    def __init__(
        self,
        context: AutoscalerContext,
        supply: MachineSupply,
        connections: WorkerConnections,
        on_changed: Callable[[], None],
    ) -> None:
        limits = SilenceLimits.from_context(context)
        settings = context.settings
        self._cluster = context.cluster
        self._clock = context.clock
        self._is_leadership_proven = context.is_leadership_proven
        self._state = state = FleetState(limits.lease)
        self._capacity_backoff = CapacityBackoff(
            seconds(settings.capacity_backoff_s), seconds(settings.max_capacity_backoff_s)
        )
        self._headroom = Headroom(context, supply, state)
        termination = MachineTermination(context, state, self._capacity_backoff, on_changed)
        self._health_probes = HealthProbes(context, limits, connections, state)
        self._scale_in = ScaleIn(context, limits, state, self._headroom, termination)
        self._scale_out = ScaleOut(context, supply, state, self._headroom, self._capacity_backoff)
        self._machine_list = MachineListReader(
            context, supply, state, termination, connections.introduce_leader
        )
        self._tasks = self._periodic_tasks(settings.list_interval_s)

    def _periodic_tasks(self, list_interval_s: float) -> tuple[PeriodicTask, ...]:
        wait_for_list = partial(sleep, self._clock, seconds(list_interval_s))
        wait_for_scaling = partial(sleep, self._clock, SCALING_INTERVAL)
        return (
            PeriodicTask(self._clock, "machine list", self._machine_list.read, wait_for_list),
            PeriodicTask(self._clock, "fleet", self._scale, wait_for_scaling, waits_first=True),
        )

    def start(self) -> None:
        """Starts to read the machine list and to scale periodically."""
        for task in self._tasks:
            task.start()

    def stop(self) -> None:
        """Stops all passes and the retries of requests to the cloud."""
        self._state.stopped = True
        for task in self._tasks:
            task.stop()

    @property
    def stall_reason(self) -> str | None:
        """Why a periodic task makes no progress, so that machines are not managed; None if all do."""
        return next((task.stall_reason for task in self._tasks if task.stall_reason), None)

    @property
    def summary(self) -> str:
        """What is booting or requested and what prevents provisioning, as `key=value` pairs for the log."""
        backed_off = self._capacity_backoff.count_backed_off(self._clock.now())
        return (
            f"machines_booting={len(self._state.booting)} "
            f"requests_pending={len(self._state.pending_requests)} "
            f"pools_backed_off={backed_off} leadership_proven={self._is_leadership_proven()}"
        )

    @property
    def needs_headroom(self) -> bool:
        """Whether work must start sooner than a machine boots, so that spare machines are kept running."""
        return self._headroom.is_needed

    @property
    def is_unreachable_for_machines(self) -> bool:
        """Whether this controller's messages reach so few machines that another controller should lead."""
        return self._health_probes.is_controller_unreachable

    def on_plan(self, plan: Plan) -> None:
        """Takes over the unplaced demand, the spare capacity and the expected releases of the latest plan."""
        self._headroom.on_plan(plan)
        self._scale_out.on_plan(plan)

    async def _scale(self) -> None:
        """Runs one scaling pass."""
        now = self._clock.now()
        self._forget_booted_machines()
        self._health_probes.is_controller_unreachable = False
        if not self._is_leadership_proven():
            # The cloud does not check fencing tokens and obeys any controller. A leader that was suspended
            # and does not know of its successor yet would terminate every machine as silent.
            return
        self._health_probes.run(now)
        self._scale_in.run(now)
        self._scale_out.run(now)

    def _forget_booted_machines(self) -> None:
        """Drops the booting machines that the cluster state knows, since their workers have reported."""
        booting = self._state.booting
        with self._cluster.lock:
            for name in [name for name in booting if name in self._cluster.machines]:
                del booting[name]
