"""All that a node does only while it leads: the cluster and everything that acts on it."""

import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial
from typing import Any

import msgspec

from spindleglade.backfill.distributions import Bins, History, Predictor
from spindleglade.backfill.planner import Planner
from spindleglade.backfill.rounds import Rounds
from spindleglade.backfill.snapshot import Plan
from spindleglade.clock import Clock, seconds, sleep
from spindleglade.fleet.client import CloudClient
from spindleglade.fleet.manager import FleetManager
from spindleglade.fleet.types import TypeBook
from spindleglade.histories import HistoryRecorder
from spindleglade.leadership.election import Term
from spindleglade.loop import Loop
from spindleglade.pipelines import PipelineUpdater
from spindleglade.settings import OperatorSettings, Platform
from spindleglade.store.client import (
    Entry,
    Listing,
    StateClient,
    TooOld,
    Unavailable,
    Unknown,
)
from spindleglade.store.replica import Replica
from spindleglade.submissions.records import (
    DEPENDENCIES,
    HISTORY,
    JOBS,
    PARTS,
    PREFIX,
    TASKS,
    Chunk,
    JobRecord,
    chunk_key,
    part_key,
    split_chunk_key,
    split_part_key,
)
from spindleglade.submissions.views import JobViews
from spindleglade.tasks import spawn
from spindleglade.throttle import Throttle
from spindleglade.web import Turns
from spindleglade.workers.attempts import Deposed, Rules
from spindleglade.workers.cancellation_bound import CancellationBound
from spindleglade.workers.cluster import Cluster
from spindleglade.workers.dispatch import Dispatcher
from spindleglade.workers.messages import Report, ReportAnswer
from spindleglade.workers.recorder import Recorder

log = logging.getLogger("spindleglade.leadership")

# Between two passes of the upkeep, and between two records of the teams' histories.
UPKEEP_EVERY = seconds(1)
HISTORIES_EVERY = seconds(10)
# How soon records that could not be read are asked for again.
READ_AGAIN_AFTER = seconds(0.3)
# How often the log says why nothing starts.
STANDSTILL_LOGGED_EVERY = seconds(5)
# A leader that has not read all records after so long leaves it to a sibling.
LONGEST_TAKEOVER = seconds(30)


class Leader:
    def __init__(
        self,
        term: Term,
        platform: Platform,
        settings: OperatorSettings,
        clock: Clock,
        compute: Callable[..., Awaitable[Any]],
        machines: Turns,
        client: StateClient,
        cloud: CloudClient,
        types: TypeBook,
        proven: Callable[[], bool],
        bound: CancellationBound,
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
        self._types = types
        self._proven = proven
        self._bound = bound
        self._deposed = deposed
        self._replica = replica
        self._views = views
        self._ended = False
        # Everything has been read: from here on it orders.
        self.active = False
        self._elected = clock.now()
        self._standstill_log = Throttle(clock, STANDSTILL_LOGGED_EVERY)
        # Whether starts and renewals were allowed when this was last looked at.
        self._bound_held = True
        # Changes that came while everything was being read.
        self._changes_while_reading: list[tuple[JobRecord, int]] = []
        # Set once everything has been read.
        self._pipelines: PipelineUpdater | None = None
        # Jobs with a record that cannot be read.
        self._unreadable: set[str] = set()
        # Marks of the teams' histories in the store.
        self._history_marks: dict[str, int] = {}
        bins = Bins(seconds(settings.backfill.first_bin_s), settings.backfill.bin_factor)
        self.predictor = Predictor(
            bins,
            settings.backfill.history_runs,
            settings.backfill.history_kept,
            settings.backfill.predictor == "distributions",
        )

    def start(self) -> None:
        spawn(self._begin(), "taking over", self._deposed)

    def end(self) -> None:
        self._ended = True
        if self._pipelines is not None:
            self._pipelines.stop()
        if self.active:
            self.active = False
            self._rounds.stop()
            self._recorder.stop()
            self._dispatcher.stop()
            self._fleet.stop()
            self._upkeep.stop()
            self._histories.stop()
            self._history_recorder.stop()

    async def _begin(self) -> None:
        """Reads all records, and begins to act by them."""
        listing = await self._read_listing()
        if listing is None:
            return
        now = self._clock.now()
        self.cluster = cluster = self._new_cluster(now)
        marks = self._read(cluster, listing.entries, now)
        for record, mark in self._changes_while_reading:
            self._take(cluster, record, mark)
        self._pipelines = PipelineUpdater(cluster, self._views, self.predictor, self._clock, self._changed)
        self._pipelines.update_all()
        cluster.loaded()
        self._make_parts(cluster, marks)
        self.active = True
        log.info(
            "took over token=%d jobs=%d placed=%d keys=%d",
            self.term.token,
            len(cluster.jobs),
            sum(len(job.placed) for job in cluster.jobs.values()),
            len(listing.entries),
        )
        self._recorder.start()
        self._rounds.start()
        self._fleet.start()
        self._upkeep.start()
        self._histories.start()

    async def _read_listing(self) -> Listing | None:
        """All that the store holds; None if the term is over before it could be read."""
        while not self._ended:
            try:
                listing = await self._client.read_all(PREFIX)
                return None if self._ended else listing
            except (Unavailable, Unknown, TooOld) as error:
                log.info("records not read reason=%s", error)
                await sleep(self._clock, READ_AGAIN_AFTER)
        return None

    def _new_cluster(self, now: timedelta) -> Cluster:
        """A cluster state without jobs and machines."""
        workers = self._platform.params.workers
        own = self._settings.workers
        rules = Rules(
            workers.lease,
            workers.report,
            own.faulty_jobs,
            seconds(own.backoff_s),
            seconds(own.backoff_most_s),
            seconds(self._settings.backfill.overdue_s),
        )
        return Cluster(self.term.token, rules, self._platform.teams, self._types.kinds(), self.predictor, now)

    def _make_parts(self, cluster: Cluster, marks: dict[str, int]) -> None:
        """All that acts on the cluster state; nothing is started yet."""
        own = self._settings.workers
        self._recorder = Recorder(
            cluster,
            self._client,
            self._clock,
            self.term,
            marks,
            self._committed,
            self._deposed,
            self._replica.learn,
        )
        self._dispatcher = Dispatcher(
            cluster,
            self._machines,
            self._clock,
            seconds(own.order_timeout_s),
            self._deposed,
            self._changed,
            self._bound,
        )
        self._fleet = FleetManager(
            cluster,
            self._cloud,
            self._clock,
            self.term.token,
            lambda: self._types.types,
            self._platform.params.zones,
            self._settings.fleet,
            own,
            self._dispatcher.show,
            self._machines.at_once // 2,
            self._proven,
            self._platform.soonest_start,
            self._changed,
            self._dispatcher.greet,
        )
        self._rounds = Rounds(
            cluster,
            Planner(self._settings.backfill.tau, self._settings.backfill.preempt),
            self._clock,
            self._compute,
            seconds(self._settings.backfill.round_s),
            self._planned,
        )
        self._upkeep = self._periodic("upkeep", self._keep, UPKEEP_EVERY)
        self._history_recorder = HistoryRecorder(
            cluster, self.predictor, self._client, self.term, self._history_marks, self._deposed
        )
        self._histories = self._periodic("histories", self._history_recorder.record, HISTORIES_EVERY)

    def _periodic(self, name: str, one_pass: Callable[[], Awaitable[None]], every: timedelta) -> Loop:
        """A loop that waits so long before each pass."""
        return Loop(self._clock, name, one_pass, partial(sleep, self._clock, every), waits_first=True)

    def _read(self, cluster: Cluster, entries: list[Entry], now: timedelta) -> dict[str, int]:
        """Takes in what the store holds; returns the marks of the chunks. A record that cannot be read must
        not keep every node from leading: its job is left alone, neither placed, since its tasks may be on
        machines, nor tidied up."""
        marks: dict[str, int] = {}
        records: list[tuple[JobRecord, int]] = []
        chunks: list[tuple[str, int, Chunk]] = []
        parts: list[tuple[str, int, Chunk]] = []
        for entry in entries:
            if entry.key.startswith((JOBS, DEPENDENCIES)):
                # The listing may be ahead of the watch, and the graph of dependencies is the replica's.
                self._replica.learn(entry.key, bytes(entry.value), entry.mark)
        for entry in entries:
            try:
                if entry.key.startswith(JOBS):
                    records.append((msgspec.json.decode(entry.value, type=JobRecord), entry.mark))
                elif entry.key.startswith(TASKS):
                    job, number = split_chunk_key(entry.key)
                    chunks.append((job, number, msgspec.json.decode(entry.value, type=Chunk)))
                    marks[entry.key] = entry.mark
                elif entry.key.startswith(PARTS):
                    job, first = split_part_key(entry.key)
                    parts.append((job, first, msgspec.json.decode(entry.value, type=Chunk)))
                    marks[entry.key] = entry.mark
                elif entry.key.startswith(HISTORY):
                    self._history_marks[entry.key] = entry.mark
                    team = entry.key[len(HISTORY) :]
                    self.predictor.load(team, msgspec.json.decode(entry.value, type=History))
            except (msgspec.DecodeError, ValueError) as error:
                log.error("record not understood key=%s reason=%s", entry.key, error)
                if not entry.key.startswith(HISTORY):
                    self._unreadable.add(entry.key.split("/")[2])
        for record, mark in records:
            self._take(cluster, record, mark)
        # The parts say how far each value is to be believed, so all are known before any is taken in.
        for job, first, _ in parts:
            if job not in self._unreadable:
                cluster.learn_part(job, first)
        for job, number, chunk in chunks:
            if job in self._unreadable:
                marks.pop(chunk_key(job, number), None)
            else:
                cluster.load_chunk(job, number, chunk, now)
        for job, first, chunk in parts:
            if job in self._unreadable:
                marks.pop(part_key(job, first), None)
            else:
                cluster.load_part(job, first, chunk, now)
        return marks

    def job_changed(self, record: JobRecord, mark: int) -> None:
        if self._pipelines is None:
            self._changes_while_reading.append((record, mark))
            return
        self._take(self.cluster, record, mark)
        self._changed()

    def _take(self, cluster: Cluster, record: JobRecord, mark: int) -> None:
        if record.spec.id in self._unreadable:
            return
        # The time of day differs a little from node to node; it may not make a job come from the future.
        age = timedelta(0)
        if record.accepted is not None:
            age = max(age, self._clock.utc() - record.accepted)
        cluster.take_job(record, mark, self._clock.now(), age)
        if self._pipelines is not None:
            self._pipelines.update(record.spec.id)

    def dependency_changed(self, job: str) -> None:
        """The job was released, cancelled through an ancestor, or is now awaited by others."""
        if self._pipelines is not None:
            self._pipelines.job_changed(job)

    @property
    def stalled(self) -> str | None:
        """Why this leader gets nothing done, if so: its records cannot be read, or one of its loops breaks
        again and again or does not come back."""
        if self.active:
            return self._recorder.stalled or self._rounds.stalled or self._fleet.stalled
        if self._clock.now() - self._elected > LONGEST_TAKEOVER:
            return "the records could not be read"
        return None

    @property
    def unheard(self) -> bool:
        return self.active and self._fleet.unheard

    def hears_nothing_since(self, patience: timedelta) -> bool:
        """Whether there are machines, and none of them has been heard for so long."""
        with self.cluster.lock:
            machines = any(machine.address for machine in self.cluster.machines.values())
        return machines and self._clock.now() - self.cluster.heard > patience

    def vouched(self, machines: list[str]) -> None:
        if self.active:
            self.cluster.vouch(machines, self._clock.now())

    def report(self, report: Report) -> ReportAnswer | None:
        """The answer, or nothing where the worker's lease must not be renewed. What the report says is taken
        in all the same: the machines used to be given up as silent while they were only not answered."""
        before = self.cluster.changes
        holds = self._bound.holds
        try:
            orders = self.cluster.report(report, self._clock.now(), asked=holds)
        except Deposed as error:
            self._deposed(str(error))
            return None
        if self.cluster.changes != before:
            self._changed()
        return None if orders is None or not holds else ReportAnswer(self.term.token, orders)

    def _changed(self) -> None:
        if self.active:
            self._recorder.wake()
            self._rounds.wake()
            self._dispatcher.send()

    def _committed(self) -> None:
        if self.active:
            self._dispatcher.send()

    def _planned(self, plan: Plan, placed: int) -> None:
        self._fleet.demand(plan)
        if placed:
            self._recorder.wake()
        if plan.stops:
            self._dispatcher.send()

    async def _keep(self) -> None:
        """Rounds even if nothing happens."""
        self._log_standstill()
        self._log_bound()
        self.cluster.learn_kinds(self._types.kinds())
        self.cluster.ordinary_first = self._fleet.ready
        self._changed()

    def _log_standstill(self) -> None:
        """Says why nothing starts, while work waits and nothing has started for a while."""
        now = self._clock.now()
        if now - self.cluster.latest_start < STANDSTILL_LOGGED_EVERY or not self._standstill_log.allows():
            return
        standstill = self.cluster.standstill(now)
        if standstill is not None:
            idle_s = (now - self.cluster.latest_start).total_seconds()
            log.info("nothing started for_s=%.0f %s %s", idle_s, standstill, self._fleet.summary)

    def _log_bound(self) -> None:
        """Says when starts and renewals begin and cease to be withheld."""
        holds = self._bound.holds
        if holds != self._bound_held:
            self._bound_held = holds
            if holds:
                log.info("starts and renewals allowed token=%d", self.term.token)
            else:
                log.info("starts and renewals withheld reason=no recent proof of knowing all cancellations")
