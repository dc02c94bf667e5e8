"""Rebuilds the cluster state of a new leader from the stored records."""

import logging
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec

from spindleglade.backfill.distributions import Bins, History, Predictor
from spindleglade.controller.leader_dependencies import LeaderDependencies
from spindleglade.runtime.clock import ZERO, Clock, seconds, sleep
from spindleglade.settings.operator import BackfillSettings
from spindleglade.store.errors import NotAppliedError, OutcomeUnknownError, RevisionCompactedError
from spindleglade.store.messages import Entry, Listing
from spindleglade.store.replica import Replica
from spindleglade.submissions.records import (
    DEPENDENCY_KEY_PREFIX,
    HISTORY_KEY_PREFIX,
    JOB_KEY_PREFIX,
    KEY_PREFIX,
    OVERFLOW_RANGE_KEY_PREFIX,
    TASK_RANGE_KEY_PREFIX,
    JobRecord,
    TaskRangeRecord,
    overflow_range_key,
    range_key,
    split_overflow_range_key,
    split_range_key,
)
from spindleglade.workers.cluster_state import ClusterState
from spindleglade.workers.policy import WorkerPolicy

log = logging.getLogger("spindleglade.leadership")

# The delay between a failed attempt to read the records and the next one.
RECOVERY_RETRY_DELAY = seconds(0.3)


def new_predictor(settings: BackfillSettings) -> Predictor:
    """Creates a run-time predictor without any history."""
    return Predictor(
        Bins(seconds(settings.first_bin_s), settings.bin_factor),
        settings.history_runs,
        settings.history_kept,
        settings.predictor == "distributions",
    )


def new_cluster_state(
    token: int, dependencies: LeaderDependencies, predictor: Predictor, now: timedelta
) -> ClusterState:
    """Creates a cluster state without jobs and machines for the term with this fencing token."""
    workers = dependencies.platform.params.workers
    settings = dependencies.settings
    policy = WorkerPolicy(
        workers.lease,
        workers.heartbeat_interval,
        settings.workers.quarantine_after_failed_jobs,
        seconds(settings.workers.backoff_s),
        seconds(settings.workers.max_backoff_s),
        seconds(settings.backfill.overdue_after_s),
    )
    return ClusterState(
        token,
        policy,
        dependencies.platform.teams,
        dependencies.machine_types.capacities(),
        predictor,
        now,
    )


@dataclass(slots=True)
class _DecodedRecords:
    """The records of a listing, decoded but not yet applied."""

    # Each job record and its mod revision.
    jobs: list[tuple[JobRecord, int]] = field(default_factory=list)
    # The job, the number of the task range, and the record of each task range.
    ranges: list[tuple[str, int, TaskRangeRecord]] = field(default_factory=list)
    # The job, the first task, and the record of each overflow range.
    overflow_ranges: list[tuple[str, int, TaskRangeRecord]] = field(default_factory=list)


class RecordLoader:
    """Applies stored records to a cluster state and a predictor.

    A record that cannot be decoded does not fail the recovery, since no controller could lead then. The job
    of such a record is ignored: its tasks are not placed, because they may be running on machines already,
    and its stored task ranges are kept.
    """

    def __init__(self, cluster: ClusterState, predictor: Predictor, replica: Replica, clock: Clock) -> None:
        self.cluster = cluster
        # Mod revisions of the stored task ranges and overflow ranges by key, except those of ignored jobs.
        self.range_mod_revisions: dict[str, int] = {}
        # Mod revisions of the teams' stored run-time histories, by key.
        self.history_mod_revisions: dict[str, int] = {}
        # The number of entries in the loaded listing.
        self.entry_count = 0
        self._predictor = predictor
        self._replica = replica
        self._clock = clock
        # The IDs of the ignored jobs: those with a record that cannot be decoded.
        self._undecodable_jobs: set[str] = set()

    def load(self, entries: list[Entry], now: timedelta) -> None:
        """Applies all entries of a listing."""
        self.entry_count = len(entries)
        for entry in entries:
            if entry.key.startswith((JOB_KEY_PREFIX, DEPENDENCY_KEY_PREFIX)):
                # The dependency graph is built from the replica, which may be older than the listing.
                self._replica.observe(entry.key, bytes(entry.value), entry.mod_revision)
        decoded = _DecodedRecords()
        for entry in entries:
            try:
                self._decode_entry(entry, decoded)
            except (msgspec.DecodeError, ValueError) as error:
                self._on_undecodable_entry(entry, error)
        for record, mod_revision in decoded.jobs:
            self.observe_job(record, mod_revision)
        self._load_ranges(decoded, now)

    def observe_job(self, record: JobRecord, mod_revision: int) -> None:
        """Applies a job record unless one of the job's records could not be decoded."""
        if record.spec.id in self._undecodable_jobs:
            return
        # The wall clocks of controllers differ, and the age must not become negative when this one is behind.
        age = ZERO
        if record.accepted_at is not None:
            age = max(age, self._clock.utc() - record.accepted_at)
        self.cluster.observe_job(record, mod_revision, self._clock.now(), age)

    def _decode_entry(self, entry: Entry, decoded: _DecodedRecords) -> None:
        """Decodes one entry: a job record or task range goes into `decoded`, a history to the predictor.

        Raises msgspec.DecodeError or ValueError if the entry's key or value is malformed.
        """
        if entry.key.startswith(JOB_KEY_PREFIX):
            decoded.jobs.append((msgspec.json.decode(entry.value, type=JobRecord), entry.mod_revision))
        elif entry.key.startswith(TASK_RANGE_KEY_PREFIX):
            job, range_number = split_range_key(entry.key)
            decoded.ranges.append((job, range_number, msgspec.json.decode(entry.value, type=TaskRangeRecord)))
            self.range_mod_revisions[entry.key] = entry.mod_revision
        elif entry.key.startswith(OVERFLOW_RANGE_KEY_PREFIX):
            job, first_task = split_overflow_range_key(entry.key)
            record = msgspec.json.decode(entry.value, type=TaskRangeRecord)
            decoded.overflow_ranges.append((job, first_task, record))
            self.range_mod_revisions[entry.key] = entry.mod_revision
        elif entry.key.startswith(HISTORY_KEY_PREFIX):
            self.history_mod_revisions[entry.key] = entry.mod_revision
            team = entry.key[len(HISTORY_KEY_PREFIX) :]
            self._predictor.load(team, msgspec.json.decode(entry.value, type=History))

    def _on_undecodable_entry(self, entry: Entry, error: Exception) -> None:
        log.error("record not decoded key=%s reason=%s", entry.key, error)
        if not entry.key.startswith(HISTORY_KEY_PREFIX):
            self._undecodable_jobs.add(entry.key.split("/")[2])

    def _load_ranges(self, decoded: _DecodedRecords, now: timedelta) -> None:
        # The record of a task range does not cover tasks that belong to an overflow range, so all overflow
        # ranges are added before any record is loaded.
        for job, first_task, _ in decoded.overflow_ranges:
            if job not in self._undecodable_jobs:
                self.cluster.add_overflow_range(job, first_task)
        for job, range_number, record in decoded.ranges:
            if job in self._undecodable_jobs:
                self.range_mod_revisions.pop(range_key(job, range_number), None)
            else:
                self.cluster.load_range(job, range_number, record, now)
        for job, first_task, record in decoded.overflow_ranges:
            if job in self._undecodable_jobs:
                self.range_mod_revisions.pop(overflow_range_key(job, first_task), None)
            else:
                self.cluster.load_overflow_range(job, first_task, record, now)


class Recovery:
    """Recovers the cluster state of one term: lists the stored records and applies them, followed by the job
    changes that arrived in the meantime."""

    def __init__(self, token: int, dependencies: LeaderDependencies, predictor: Predictor) -> None:
        self._token = token
        self._dependencies = dependencies
        self._predictor = predictor
        self._clock = dependencies.clock
        self._stopped = False
        # Job records that changed during the recovery, each with its mod revision.
        self._pending_changes: list[tuple[JobRecord, int]] = []

    def stop(self) -> None:
        """Stops the recovery; `run` then returns None."""
        self._stopped = True

    def on_job_changed(self, record: JobRecord, mod_revision: int) -> None:
        """Keeps a changed job record until the listing has been applied."""
        self._pending_changes.append((record, mod_revision))

    async def run(self) -> RecordLoader | None:
        """Recovers the cluster state and returns its loader; None if the recovery was stopped."""
        listing = await self._read_listing()
        if listing is None:
            return None
        now = self._clock.now()
        cluster = new_cluster_state(self._token, self._dependencies, self._predictor, now)
        loader = RecordLoader(cluster, self._predictor, self._dependencies.replica, self._clock)
        loader.load(listing.entries, now)
        for record, mod_revision in self._pending_changes:
            loader.observe_job(record, mod_revision)
        return loader

    async def _read_listing(self) -> Listing | None:
        """Lists all records, with retries until it succeeds; returns None if the recovery was stopped."""
        while not self._stopped:
            try:
                listing = await self._dependencies.client.read_all(KEY_PREFIX)
                return None if self._stopped else listing
            except (NotAppliedError, OutcomeUnknownError, RevisionCompactedError) as error:
                log.info("records not read reason=%s", error)
                await sleep(self._clock, RECOVERY_RETRY_DELAY)
        return None
