"""All that a node does only while it leads: the cluster and everything that acts on it."""

import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial
from typing import Any

import msgspec

from spindleglade.backfill.distributions import Bins, History, Predictor
from spindleglade.backfill.plan import Plan
from spindleglade.backfill.planner import Planner
from spindleglade.controller.history_writer import HistoryWriter
from spindleglade.controller.pipelines import PipelineUpdater
from spindleglade.controller.planning_loop import PlanningLoop
from spindleglade.fleet.autoscaler import Autoscaler
from spindleglade.fleet.client import CloudClient
from spindleglade.fleet.machine_types import MachineTypeCatalog
from spindleglade.fleet.parameters import AutoscalerContext, MachineSupply, WorkerConnections
from spindleglade.http.concurrency import ConcurrencyLimiter
from spindleglade.leadership.term import Term
from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import Clock, seconds, sleep
from spindleglade.runtime.log_throttle import LogThrottle
from spindleglade.runtime.periodic_task import PeriodicTask
from spindleglade.settings import OperatorSettings, Platform
from spindleglade.store.client import StateClient
from spindleglade.store.errors import NotAppliedError, OutcomeUnknownError, RevisionCompactedError
from spindleglade.store.messages import Entry, Listing
from spindleglade.store.replica import Replica
from spindleglade.submissions.records import (
    DEPENDENCIES,
    HISTORY,
    JOBS,
    OVERFLOW_RANGES,
    PREFIX,
    TASK_RANGES,
    JobRecord,
    TaskRangeRecord,
    overflow_range_key,
    range_key,
    split_overflow_range_key,
    split_range_key,
)
from spindleglade.submissions.views import JobViews
from spindleglade.workers.cancellation_freshness import CancellationFreshness
from spindleglade.workers.cluster_state import ClusterState
from spindleglade.workers.command_dispatcher import CommandDispatcher, DispatcherEvents
from spindleglade.workers.errors import StaleTokenError
from spindleglade.workers.messages import Heartbeat, HeartbeatResponse
from spindleglade.workers.policy import WorkerPolicy
from spindleglade.workers.state_writer import StateWriter, StateWriterEvents

log = logging.getLogger("spindleglade.leadership")

# Between two passes of the upkeep, and between two records of the teams' histories.
UPKEEP_INTERVAL = seconds(1)
HISTORY_INTERVAL = seconds(10)
# How soon records that could not be read are asked for again.
RECOVERY_RETRY_DELAY = seconds(0.3)
# How often the log says why nothing starts.
STALL_LOG_INTERVAL = seconds(5)
# A leader that has not read all records after so long leaves it to a sibling.
MAX_FAILOVER_DURATION = seconds(30)


class Leader:
    def __init__(
        self,
        term: Term,
        platform: Platform,
        settings: OperatorSettings,
        clock: Clock,
        compute: Callable[..., Awaitable[Any]],
        machines: ConcurrencyLimiter,
        client: StateClient,
        cloud: CloudClient,
        types: MachineTypeCatalog,
        proven: Callable[[], bool],
        bound: CancellationFreshness,
        deposed: Callable[[str], None],
        replica: Replica,
        views: JobViews,
    ) -> None:
        self.term = term
        self._platform = platform
        self._settings = settings
        self._clock = clock
        self._compute = compute
        self._machines = machines
        self._client = client
        self._cloud = cloud
        self._machine_types = types
        self._is_leadership_proven = proven
        self._cancellation_freshness = bound
        self._on_deposed = deposed
        self._replica = replica
        self._views = views
        self._ended = False
        # Everything has been read: from here on it orders.
        self.is_active = False
        self._elected_at = clock.now()
        self._stall_log = LogThrottle(clock, STALL_LOG_INTERVAL)
        # Whether starts and renewals were allowed when this was last looked at.
        self._renewals_were_permitted = True
        # Changes that came while everything was being read.
        self._changes_during_recovery: list[tuple[JobRecord, int]] = []
        # Set once everything has been read.
        self._pipelines: PipelineUpdater | None = None
        # Jobs with a record that cannot be read.
        self._unreadable_jobs: set[str] = set()
        # Marks of the teams' histories in the store.
        self._history_mod_revisions: dict[str, int] = {}
        bins = Bins(seconds(settings.backfill.first_bin_s), settings.backfill.bin_factor)
        self.predictor = Predictor(
            bins,
            settings.backfill.history_runs,
            settings.backfill.history_kept,
            settings.backfill.predictor == "distributions",
        )

    def start(self) -> None:
        run_in_background(self._take_over(), "taking over", self._on_deposed)

    def stop(self) -> None:
        self._ended = True
        if self._pipelines is not None:
            self._pipelines.stop()
        if self.is_active:
            self.is_active = False
            self._planning_loop.stop()
            self._state_writer.stop()
            self._dispatcher.stop()
            self._autoscaler.stop()
            self._upkeep.stop()
            self._history_task.stop()
            self._history_writer.stop()

    async def _take_over(self) -> None:
        """Reads all records, and begins to act by them."""
        listing = await self._read_listing()
        if listing is None:
            return
        now = self._clock.now()
        self.cluster = cluster = self._new_cluster_state(now)
        mod_revisions = self._load_records(cluster, listing.entries, now)
        for record, mod_revision in self._changes_during_recovery:
            self._observe_job(cluster, record, mod_revision)
        self._pipelines = PipelineUpdater(cluster, self._views, self.predictor, self._clock, self._on_changed)
        self._pipelines.update_all()
        cluster.finish_loading()
        self._create_components(cluster, mod_revisions)
        self.is_active = True
        log.info(
            "took over token=%d jobs=%d placed=%d keys=%d",
            self.term.token,
            len(cluster.jobs),
            sum(len(job.placed) for job in cluster.jobs.values()),
            len(listing.entries),
        )
        self._state_writer.start()
        self._planning_loop.start()
        self._autoscaler.start()
        self._upkeep.start()
        self._history_task.start()

    async def _read_listing(self) -> Listing | None:
        """All that the store holds; None if the term is over before it could be read."""
        while not self._ended:
            try:
                listing = await self._client.read_all(PREFIX)
                return None if self._ended else listing
            except (NotAppliedError, OutcomeUnknownError, RevisionCompactedError) as error:
                log.info("records not read reason=%s", error)
                await sleep(self._clock, RECOVERY_RETRY_DELAY)
        return None

    def _new_cluster_state(self, now: timedelta) -> ClusterState:
        """A cluster state without jobs and machines."""
        workers = self._platform.params.workers
        own = self._settings.workers
        rules = WorkerPolicy(
            workers.lease,
            workers.heartbeat_interval,
            own.faulty_jobs,
            seconds(own.backoff_s),
            seconds(own.backoff_most_s),
            seconds(self._settings.backfill.overdue_s),
        )
        return ClusterState(
            self.term.token,
            rules,
            self._platform.teams,
            self._machine_types.capacities(),
            self.predictor,
            now,
        )

    def _create_components(self, cluster: ClusterState, mod_revisions: dict[str, int]) -> None:
        """All that acts on the cluster state; nothing is started yet."""
        own = self._settings.workers
        self._state_writer = StateWriter(
            cluster,
            self._client,
            self._clock,
            self.term,
            mod_revisions,
            StateWriterEvents(self._on_committed, self._on_deposed, self._replica.observe),
        )
        self._dispatcher = CommandDispatcher(
            cluster,
            self._machines,
            self._clock,
            seconds(own.order_timeout_s),
            DispatcherEvents(self._on_deposed, self._on_changed),
            self._cancellation_freshness,
        )
        self._autoscaler = Autoscaler(
            AutoscalerContext(
                cluster,
                self._cloud,
                self._clock,
                self.term.token,
                self._is_leadership_proven,
                self._settings.fleet,
                own,
            ),
            MachineSupply(
                lambda: self._machine_types.types,
                self._platform.params.zones,
                self._platform.soonest_start,
            ),
            WorkerConnections(
                self._dispatcher.request_status,
                self._dispatcher.introduce_leader,
                self._machines.max_concurrent // 2,
            ),
            self._on_changed,
        )
        self._planning_loop = PlanningLoop(
            cluster,
            Planner(self._settings.backfill.tau, self._settings.backfill.preempt),
            self._clock,
            self._compute,
            seconds(self._settings.backfill.round_s),
            self._on_planned,
        )
        self._upkeep = self._periodic("upkeep", self._run_upkeep, UPKEEP_INTERVAL)
        self._history_writer = HistoryWriter(
            cluster, self.predictor, self._client, self.term, self._history_mod_revisions, self._on_deposed
        )
        self._history_task = self._periodic("histories", self._history_writer.record, HISTORY_INTERVAL)

    def _periodic(self, name: str, one_pass: Callable[[], Awaitable[None]], every: timedelta) -> PeriodicTask:
        """A loop that waits so long before each pass."""
        return PeriodicTask(self._clock, name, one_pass, partial(sleep, self._clock, every), waits_first=True)

    def _load_records(self, cluster: ClusterState, entries: list[Entry], now: timedelta) -> dict[str, int]:
        """Takes in what the store holds; returns the marks of the chunks. A record that cannot be read must
        not keep every node from leading: its job is left alone, neither placed, since its tasks may be on
        machines, nor tidied up."""
        mod_revisions: dict[str, int] = {}
        records: list[tuple[JobRecord, int]] = []
        chunks: list[tuple[str, int, TaskRangeRecord]] = []
        parts: list[tuple[str, int, TaskRangeRecord]] = []
        for entry in entries:
            if entry.key.startswith((JOBS, DEPENDENCIES)):
                # The listing may be ahead of the watch, and the graph of dependencies is the replica's.
                self._replica.observe(entry.key, bytes(entry.value), entry.mod_revision)
        for entry in entries:
            try:
                if entry.key.startswith(JOBS):
                    records.append((msgspec.json.decode(entry.value, type=JobRecord), entry.mod_revision))
                elif entry.key.startswith(TASK_RANGES):
                    job, number = split_range_key(entry.key)
                    chunks.append((job, number, msgspec.json.decode(entry.value, type=TaskRangeRecord)))
                    mod_revisions[entry.key] = entry.mod_revision
                elif entry.key.startswith(OVERFLOW_RANGES):
                    job, first = split_overflow_range_key(entry.key)
                    parts.append((job, first, msgspec.json.decode(entry.value, type=TaskRangeRecord)))
                    mod_revisions[entry.key] = entry.mod_revision
                elif entry.key.startswith(HISTORY):
                    self._history_mod_revisions[entry.key] = entry.mod_revision
                    team = entry.key[len(HISTORY) :]
                    self.predictor.load(team, msgspec.json.decode(entry.value, type=History))
            except (msgspec.DecodeError, ValueError) as error:
                log.error("record not understood key=%s reason=%s", entry.key, error)
                if not entry.key.startswith(HISTORY):
                    self._unreadable_jobs.add(entry.key.split("/")[2])
        for record, mod_revision in records:
            self._observe_job(cluster, record, mod_revision)
        # The parts say how far each value is to be believed, so all are known before any is taken in.
        for job, first, _ in parts:
            if job not in self._unreadable_jobs:
                cluster.add_overflow_range(job, first)
        for job, number, chunk in chunks:
            if job in self._unreadable_jobs:
                mod_revisions.pop(range_key(job, number), None)
            else:
                cluster.load_range(job, number, chunk, now)
        for job, first, chunk in parts:
            if job in self._unreadable_jobs:
                mod_revisions.pop(overflow_range_key(job, first), None)
            else:
                cluster.load_overflow_range(job, first, chunk, now)
        return mod_revisions

    def on_job_changed(self, record: JobRecord, mod_revision: int) -> None:
        if self._pipelines is None:
            self._changes_during_recovery.append((record, mod_revision))
            return
        self._observe_job(self.cluster, record, mod_revision)
        self._on_changed()

    def _observe_job(self, cluster: ClusterState, record: JobRecord, mod_revision: int) -> None:
        if record.spec.id in self._unreadable_jobs:
            return
        # The time of day differs a little from node to node; it may not make a job come from the future.
        age = timedelta(0)
        if record.accepted is not None:
            age = max(age, self._clock.utc() - record.accepted)
        cluster.observe_job(record, mod_revision, self._clock.now(), age)
        if self._pipelines is not None:
            self._pipelines.update(record.spec.id)

    def on_dependency_changed(self, job: str) -> None:
        """The job was released, cancelled through an ancestor, or is now awaited by others."""
        if self._pipelines is not None:
            self._pipelines.on_job_changed(job)

    @property
    def stall_reason(self) -> str | None:
        """Why this leader gets nothing done, if so: its records cannot be read, or one of its loops breaks
        again and again or does not come back."""
        if self.is_active:
            return (
                self._state_writer.stall_reason
                or self._planning_loop.stall_reason
                or self._autoscaler.stall_reason
            )
        if self._clock.now() - self._elected_at > MAX_FAILOVER_DURATION:
            return "the records could not be read"
        return None

    @property
    def is_unreachable_for_machines(self) -> bool:
        return self.is_active and self._autoscaler.is_unreachable_for_machines

    def receives_no_heartbeats(self, patience: timedelta) -> bool:
        """Whether there are machines, and none of them has been heard for so long."""
        with self.cluster.lock:
            machines = any(machine.address for machine in self.cluster.machines.values())
        return machines and self._clock.now() - self.cluster.last_heartbeat_at > patience

    def on_leases_renewed_by_peer(self, machines: list[str]) -> None:
        if self.is_active:
            self.cluster.on_leases_renewed_by_peer(machines, self._clock.now())

    def on_heartbeat(self, report: Heartbeat) -> HeartbeatResponse | None:
        """The answer, or nothing where the worker's lease must not be renewed. What the report says is taken
        in all the same: the machines used to be given up as silent while they were only not answered."""
        before = self.cluster.change_count
        holds = self._cancellation_freshness.permits_renewals
        try:
            orders = self.cluster.on_heartbeat(report, self._clock.now(), renews_lease=holds)
        except StaleTokenError as error:
            self._on_deposed(str(error))
            return None
        if self.cluster.change_count != before:
            self._on_changed()
        return None if orders is None or not holds else HeartbeatResponse(self.term.token, orders)

    def _on_changed(self) -> None:
        if self.is_active:
            self._state_writer.wake()
            self._planning_loop.wake()
            self._dispatcher.dispatch()

    def _on_committed(self) -> None:
        if self.is_active:
            self._dispatcher.dispatch()

    def _on_planned(self, plan: Plan, placed: int) -> None:
        self._autoscaler.on_plan(plan)
        if placed:
            self._state_writer.wake()
        if plan.preemptions:
            self._dispatcher.dispatch()

    async def _run_upkeep(self) -> None:
        """Rounds even if nothing happens."""
        self._log_stall()
        self._log_renewal_permission()
        self.cluster.set_machine_types(self._machine_types.capacities())
        self.cluster.prefers_on_demand = self._autoscaler.needs_headroom
        self._on_changed()

    def _log_stall(self) -> None:
        """Says why nothing starts, while work waits and nothing has started for a while."""
        now = self._clock.now()
        if now - self.cluster.latest_start < STALL_LOG_INTERVAL or not self._stall_log.allows():
            return
        standstill = self.cluster.scheduling_stall(now)
        if standstill is not None:
            idle_s = (now - self.cluster.latest_start).total_seconds()
            log.info("nothing started for_s=%.0f %s %s", idle_s, standstill, self._autoscaler.summary)

    def _log_renewal_permission(self) -> None:
        """Says when starts and renewals begin and cease to be withheld."""
        holds = self._cancellation_freshness.permits_renewals
        if holds != self._renewals_were_permitted:
            self._renewals_were_permitted = holds
            if holds:
                log.info("starts and renewals allowed token=%d", self.term.token)
            else:
                log.info("starts and renewals withheld reason=no recent proof of knowing all cancellations")
