"""The components that act on the cluster state while a controller leads."""

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

# Between two passes of the upkeep, and between two writes of the teams' histories.
UPKEEP_INTERVAL = seconds(1)
HISTORY_INTERVAL = seconds(10)


class RunningLeader:
    """A leader whose recovery is complete. Creates its components, starts and stops them, and passes events
    between them. All methods are called from the event loop."""

    def __init__(
        self,
        term: Term,
        loader: RecordLoader,
        predictor: Predictor,
        dependencies: LeaderDependencies,
        on_deposed: Callable[[str], None],
    ) -> None:
        """Applies the dependency graph to the recovered jobs and creates the components; none is started.
        `on_deposed` is called, with the reason, when something shows that another term has begun."""
        self.term = term
        self.cluster = loader.cluster
        self._loader = loader
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._cancellation_freshness = dependencies.cancellation_freshness
        self._on_deposed = on_deposed
        self._stopped = False
        self.pipelines = PipelineUpdater(
            self.cluster, dependencies.views, predictor, self._clock, self._on_changed
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
        self._history_task = self._periodic("histories", self._history_writer.write_changed, HISTORY_INTERVAL)

    def start(self) -> None:
        """Starts all components."""
        self._state_writer.start()
        self._planning_loop.start()
        self.autoscaler.start()
        self._upkeep.start()
        self._history_task.start()

    def stop(self) -> None:
        """Stops all components; nothing more is written, sent or applied."""
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
        """Why the components get nothing done, if so: one of their loops fails again and again or a pass of
        it does not end."""
        return (
            self._state_writer.stall_reason
            or self._planning_loop.stall_reason
            or self.autoscaler.stall_reason
        )

    def receives_no_heartbeats(self, silence_limit: timedelta) -> bool:
        """Whether there are machines, and no heartbeat of any of them has arrived for that long."""
        with self.cluster.lock:
            machines = any(machine.address for machine in self.cluster.machines.values())
        return machines and self._clock.now() - self.cluster.last_heartbeat_at > silence_limit

    def on_job_changed(self, record: JobRecord, mod_revision: int) -> None:
        """Applies a job record that has changed in the store."""
        self._loader.observe_job(record, mod_revision)
        self.pipelines.update(record.spec.id)
        self._on_changed()

    def on_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatResponse | None:
        """The response, or None if the worker's lease must not be renewed. What the heartbeat says is
        applied in either case: a machine must not be given up as silent because it got no response."""
        changes_before = self.cluster.change_count
        permitted = self._cancellation_freshness.permits_renewals
        try:
            commands = self.cluster.on_heartbeat(heartbeat, self._clock.now(), renews_lease=permitted)
        except StaleTokenError as error:
            self._on_deposed(str(error))
            return None
        if self.cluster.change_count != changes_before:
            self._on_changed()
        return None if commands is None or not permitted else HeartbeatResponse(self.term.token, commands)

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
            DispatcherEvents(self._on_deposed, self._on_changed),
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
                dependencies.platform.soonest_start,
            ),
            WorkerConnections(
                self._dispatcher.request_status,
                self._dispatcher.introduce_leader,
                dependencies.machine_requester.max_concurrent // 2,
            ),
            self._on_changed,
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
            self._on_changed,
        )
        return self._periodic("upkeep", upkeep.run_once, UPKEEP_INTERVAL)

    def _periodic(self, name: str, run_once: Callable[[], Awaitable[None]], delay: timedelta) -> PeriodicTask:
        """A task that waits for `delay` before each pass, the first one included."""
        return PeriodicTask(self._clock, name, run_once, partial(sleep, self._clock, delay), waits_first=True)

    def _on_changed(self) -> None:
        """The cluster state has changed."""
        if not self._stopped:
            self._state_writer.wake()
            self._planning_loop.wake()
            self._dispatcher.dispatch()

    def _on_committed(self) -> None:
        """Changes have been recorded, so commands that waited for that may be sent."""
        if not self._stopped:
            self._dispatcher.dispatch()

    def _on_planned(self, plan: Plan, placed: int) -> None:
        """A plan with this many new placements has been applied."""
        self.autoscaler.on_plan(plan)
        if placed:
            self._state_writer.wake()
        if plan.preemptions:
            self._dispatcher.dispatch()
