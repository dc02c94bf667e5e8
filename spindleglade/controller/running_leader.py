"""Creates, connects, starts and stops the components that act on the cluster state during a term."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial

from spindleglade.backfill.distributions import Predictor
from spindleglade.backfill.plan import Plan
from spindleglade.backfill.planner import Planner
from spindleglade.controller.history_writer import HistoryWriter
from spindleglade.controller.leader_dependencies import LeaderDependencies
from spindleglade.controller.pipelines import PipelineUpdater
from spindleglade.controller.planning_loop import PlanningLoop
from spindleglade.controller.recovery import RecordLoader
from spindleglade.controller.upkeep import Upkeep
from spindleglade.fleet.autoscaler import Autoscaler
from spindleglade.fleet.parameters import AutoscalerContext, MachineSupply, WorkerConnections
from spindleglade.leadership.term import Term
from spindleglade.runtime.clock import seconds, sleep
from spindleglade.runtime.periodic_task import PeriodicTask
from spindleglade.submissions.records import JobRecord
from spindleglade.workers.command_dispatcher import CommandDispatcher, DispatcherEvents
from spindleglade.workers.errors import StaleTokenError
from spindleglade.workers.messages import Heartbeat, HeartbeatResponse
from spindleglade.workers.state_writer import StateWriter, StateWriterEvents

# The time between two passes of the upkeep.
UPKEEP_INTERVAL = seconds(1)
# The time between two writes of the teams' run-time histories.
HISTORY_INTERVAL = seconds(10)


class RunningLeader:
    """The components of a leader whose recovery is complete, and the events between them.

    All methods are called from the event loop.
    """

    def __init__(
        self,
        term: Term,
        loader: RecordLoader,
        predictor: Predictor,
        dependencies: LeaderDependencies,
        on_deposed: Callable[[str], None],
    ) -> None:
        """Applies the dependency graph to the recovered jobs and creates the components; none is started.

        `on_deposed` is called, with the reason, when a component learns that another term has begun.
        """
        self.term = term
        self.cluster = loader.cluster
        self._loader = loader
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._cancellation_freshness = dependencies.cancellation_freshness
        self._on_deposed = on_deposed
        self._stopped = False
        self.pipelines = PipelineUpdater(
            self.cluster, dependencies.views, predictor, self._clock, self._on_cluster_changed
        )
        self.pipelines.update_all()
        self.cluster.finish_loading()
        self._state_writer = self._create_state_writer()
        self._dispatcher = self._create_dispatcher()
        self.autoscaler = self._create_autoscaler()
        self._planning_loop = self._create_planning_loop()
        self._upkeep = self._create_upkeep()
        self._history_writer = HistoryWriter(
            self.cluster, predictor, dependencies.client, term, loader.history_mod_revisions, on_deposed
        )
        self._history_task = self._create_periodic_task(
            "histories", self._history_writer.write_changed, HISTORY_INTERVAL
        )

    def start(self) -> None:
        """Starts all components."""
        self._state_writer.start()
        self._planning_loop.start()
        self.autoscaler.start()
        self._upkeep.start()
        self._history_task.start()

    def stop(self) -> None:
        """Stops all components. After that, nothing is written, sent or applied."""
        self._stopped = True
        self.pipelines.stop()
        self._planning_loop.stop()
        self._state_writer.stop()
        self._dispatcher.stop()
        self.autoscaler.stop()
        self._upkeep.stop()
        self._history_task.stop()
        self._history_writer.stop()

    @property
    def stall_reason(self) -> str | None:
        """Why the leader has stalled: the state writer, the planning loop or the autoscaler fails repeatedly
        or has been in one pass for too long. None if it has not stalled."""
        return (
            self._state_writer.stall_reason
            or self._planning_loop.stall_reason
            or self.autoscaler.stall_reason
        )

    def receives_no_heartbeats(self, silence_limit: timedelta) -> bool:
        """Whether there are machines, and none of them has sent a heartbeat within `silence_limit`."""
        with self.cluster.lock:
            has_machines = any(machine.address for machine in self.cluster.machines.values())
        return has_machines and self._clock.now() - self.cluster.last_heartbeat_at > silence_limit

    def on_job_changed(self, record: JobRecord, mod_revision: int) -> None:
        """Applies a job record that has changed in the store."""
        self._loader.observe_job(record, mod_revision)
        self.pipelines.update(record.spec.id)
        self._on_cluster_changed()

    def on_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatResponse | None:
        """Applies a worker's heartbeat and returns the response.

        Returns None if the worker's lease must not be renewed. The heartbeat is applied nevertheless, because
        a machine that gets no response would otherwise be terminated as silent.
        """
        changes_before = self.cluster.change_count
        may_renew = self._cancellation_freshness.permits_renewals
        try:
            response = self.cluster.on_heartbeat(heartbeat, self._clock.now(), renews_lease=may_renew)
        except StaleTokenError as error:
            self._on_deposed(str(error))
            return None
        if self.cluster.change_count != changes_before:
            self._on_cluster_changed()
        return response if may_renew else None

    def _create_state_writer(self) -> StateWriter:
        return StateWriter(
            self.cluster,
            self._dependencies.client,
            self._clock,
            self.term,
            self._loader.range_mod_revisions,
            StateWriterEvents(self._on_committed, self._on_deposed, self._dependencies.replica.observe),
        )

    def _create_dispatcher(self) -> CommandDispatcher:
        return CommandDispatcher(
            self.cluster,
            self._dependencies.machine_requester,
            self._clock,
            seconds(self._dependencies.settings.workers.command_timeout_s),
            DispatcherEvents(self._on_deposed, self._on_cluster_changed),
            self._cancellation_freshness,
        )

    def _create_autoscaler(self) -> Autoscaler:
        dependencies = self._dependencies
        machine_types = dependencies.machine_types
        return Autoscaler(
            AutoscalerContext(
                self.cluster,
                dependencies.cloud,
                self._clock,
                self.term.token,
                dependencies.is_leadership_proven,
                dependencies.settings.fleet,
                dependencies.settings.workers,
            ),
            MachineSupply(
                lambda: machine_types.types,
                dependencies.platform.params.zones,
                dependencies.platform.min_start_objective,
            ),
            WorkerConnections(
                self._dispatcher.request_status,
                self._dispatcher.introduce_leader,
                dependencies.machine_requester.max_concurrent // 2,
            ),
            self._on_cluster_changed,
        )

    def _create_planning_loop(self) -> PlanningLoop:
        settings = self._dependencies.settings.backfill
        return PlanningLoop(
            self.cluster,
            Planner(settings.tau, settings.preempt),
            self._clock,
            self._dependencies.compute,
            seconds(settings.planning_interval_s),
            self._on_planned,
        )

    def _create_upkeep(self) -> PeriodicTask:
        upkeep = Upkeep(
            self.cluster,
            self._dependencies.machine_types,
            self.autoscaler,
            self._cancellation_freshness,
            self._clock,
            self._on_cluster_changed,
        )
        return self._create_periodic_task("upkeep", upkeep.run_pass, UPKEEP_INTERVAL)

    def _create_periodic_task(
        self, name: str, run_pass: Callable[[], Awaitable[None]], interval: timedelta
    ) -> PeriodicTask:
        """Creates a periodic task that waits for `interval` before each pass, including the first."""
        return PeriodicTask(
            self._clock, name, run_pass, partial(sleep, self._clock, interval), waits_first=True
        )

    def _on_cluster_changed(self) -> None:
        """Wakes the components that act on a changed cluster state."""
        if not self._stopped:
            self._state_writer.wake()
            self._planning_loop.wake()
            self._dispatcher.dispatch()

    def _on_committed(self) -> None:
        """Sends the commands that had to wait until the changes behind them were recorded."""
        if not self._stopped:
            self._dispatcher.dispatch()

    def _on_planned(self, plan: Plan, placement_count: int) -> None:
        """Passes on a plan that has been applied with `placement_count` new placements."""
        self.autoscaler.on_plan(plan)
        if placement_count:
            self._state_writer.wake()
        if plan.preemptions:
            self._dispatcher.dispatch()
