"""The base of the leader's cluster state: jobs, tasks, machines, and the changes that all its parts make.

Its parts are `intake` (what workers say), `orders` (what they are told), `recording` (what the store
holds) and `placing` (what planning sees and decides); `cluster` binds them. All are under one lock. The
methods here are called with it held.
"""

import logging
import threading
from datetime import timedelta

from spindleglade.backfill.distributions import Predictor
from spindleglade.settings.platform import Team
from spindleglade.workers.attempts import Attempt
from spindleglade.workers.jobs import ALL_VERSIONS, PLACED, WAITING, Job
from spindleglade.workers.machines import Machine, MachineTypeCapacity
from spindleglade.workers.policy import WorkerPolicy

log = logging.getLogger("spindleglade.workers")


class ClusterBase:
    def __init__(
        self,
        token: int,
        rules: WorkerPolicy,
        teams: dict[str, Team],
        kinds: dict[str, MachineTypeCapacity],
        predictor: Predictor,
        now: timedelta,
    ) -> None:
        self.lock = threading.Lock()
        self.token = token
        self.policy = rules
        self.teams = teams
        self.machine_types = kinds
        self.predictor = predictor
        self.started_at = now
        # When a report last came that was not a late copy, by whichever way.
        self.last_heartbeat_at = now
        # When a task was last placed.
        self.latest_start = now
        self.jobs: dict[str, Job] = {}
        self.machines: dict[str, Machine] = {}
        # Machines proven gone; late reports of theirs must not bring them back. Never emptied: nothing bounds
        # how late a report, or the list of machines, may still speak of one.
        self.terminated: set[str] = set()
        # Pieces, by job and first task, that differ from what is recorded, the longest first.
        self.pending_writes: dict[tuple[str, int], None] = {}
        # Those of them with a start that waits for its record.
        self.pending_start_writes: dict[tuple[str, int], None] = {}
        # Pieces, and records (DONE_RECORD) of jobs that are done, that the store refused as too large, and
        # the versions and marks that it refused: not tried again before they change.
        self.oversized_writes: dict[tuple[str, int], int] = {}
        # Machines that may have something to be sent straight, the longest first. One that has not leaves,
        # and is put in again by whatever may change that: its report, a record, an order answered, a stop.
        # Looking at all that wait for their records, each time, took a third of the leader's time after a
        # restart. While it was a set, chance chose which came first, and no test ran the same way twice.
        self.dispatch_queue: dict[str, None] = {}
        self.teams_with_new_runs: set[str] = set()
        # Whether work goes to ordinary machines before spot ones, or the other way round.
        self.prefers_on_demand = False
        # Counts what planning or recording could want to know.
        self.change_count = 0

    def _is_recent(self, at: timedelta | None, now: timedelta) -> bool:
        return at is not None and now - at < self.policy.heartbeat_interval * 2 + timedelta(seconds=1)

    def _mark_changed(self, machine: Machine) -> None:
        """Something on the machine has changed."""
        machine.planning_view = machine.reconciled_tasks = None
        self.change_count += 1

    def _stop_attempt(self, assignment: Attempt, reason: str, slack: float) -> None:
        assignment.stop_reason, assignment.grace_period_s = reason, slack
        machine = self.machines.get(assignment.machine)
        if machine is not None:
            self._mark_changed(machine)
            self.dispatch_queue[machine.name] = None

    def _end_attempt(self, assignment: Attempt, reason: str | None) -> None:
        """The attempt is proven off its machine (or was never sent there)."""
        if assignment.has_ended:
            return
        assignment.has_ended = True
        job = assignment.job
        job.placed.pop(assignment.index, None)
        machine = self.machines.get(assignment.machine)
        if machine is not None:
            machine.placed.pop((job.id, assignment.index), None)
            self._mark_changed(machine)
        if job.task_states[assignment.index] == PLACED:
            job.task_states[assignment.index] = WAITING
        if reason is not None:
            log.info(
                "over task=%s try=%d machine=%s reason=%s",
                assignment.task,
                assignment.attempt,
                assignment.machine,
                reason,
            )
        self._mark_task_changed(job, assignment.index)

    def _mark_task_changed(self, job: Job, index: int) -> None:
        first = job.ranges.start(index)
        job.versions[first] = job.versions.get(first, 0) + 1
        self.pending_writes[(job.id, first)] = None
        self.change_count += 1

    def _queue_removal(self, job: Job) -> None:
        """A job that is over and nowhere any more: its chunks are to be removed."""
        if not job.is_open and not job.placed:
            self.pending_writes[(job.id, 0)] = None

    def _drop_unsent_starts(self, job: Job, reason: str) -> None:
        """Starts that wait for their record were never sent, and now never will be."""
        for assignment in list(job.placed.values()):
            if not assignment.is_confirmed and not assignment.is_recorded:
                self._end_attempt(assignment, reason)

    def _finish_job(self, job: Job) -> None:
        # A record older than the one that says so, told late by the replica, may have opened it again; what
        # was placed then would hold its room for good.
        self._drop_unsent_starts(job, "its job is done")
        job.finished = True
        self._mark_all_committed(job)
        self.pending_writes[(job.id, 0)] = None
        log.info("done job=%s", job.id)

    @staticmethod
    def _mark_all_committed(job: Job) -> None:
        for first in [*job.ranges.range_starts, *job.ranges.overflow_starts]:
            job.committed_versions[first] = ALL_VERSIONS

    def _mark_unreachable(self, machine: Machine, now: timedelta, reason: str) -> None:
        """Hearing a machine is not being heard by it. Nothing more is placed there until something shows that
        messages arrive; its tasks are moved on proof only, as ever."""
        if machine.unreachable_since is None:
            log.info("machine does not hear machine=%s reason=%s", machine.name, reason)
            machine.unreachable_since = now
            self.change_count += 1
