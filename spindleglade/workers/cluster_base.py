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
from spindleglade.workers.attempts import (
    FOREVER,
    PLACED,
    WAITING,
    Assignment,
    Job,
    Machine,
    MachineKind,
    Rules,
)

log = logging.getLogger("spindleglade.workers")


class ClusterBase:
    def __init__(
        self,
        token: int,
        rules: Rules,
        teams: dict[str, Team],
        kinds: dict[str, MachineKind],
        predictor: Predictor,
        now: timedelta,
    ) -> None:
        self.lock = threading.Lock()
        self.token = token
        self.rules = rules
        self.teams = teams
        self.kinds = kinds
        self.predictor = predictor
        self.began = now
        # When a report last came that was not a late copy, by whichever way.
        self.heard = now
        # When a task was last placed.
        self.latest_start = now
        self.jobs: dict[str, Job] = {}
        self.machines: dict[str, Machine] = {}
        # Machines proven gone; late reports of theirs must not bring them back. Never emptied: nothing bounds
        # how late a report, or the list of machines, may still speak of one.
        self.gone: set[str] = set()
        # Pieces, by job and first task, that differ from what is recorded, the longest first.
        self.dirty: dict[tuple[str, int], None] = {}
        # Those of them with a start that waits for its record.
        self.starting: dict[tuple[str, int], None] = {}
        # Pieces, and records (DONE_RECORD) of jobs that are done, that the store refused as too large, and
        # the versions and marks that it refused: not tried again before they change.
        self.set_aside: dict[tuple[str, int], int] = {}
        # Machines that may have something to be sent straight, the longest first. One that has not leaves,
        # and is put in again by whatever may change that: its report, a record, an order answered, a stop.
        # Looking at all that wait for their records, each time, took a third of the leader's time after a
        # restart. While it was a set, chance chose which came first, and no test ran the same way twice.
        self.due: dict[str, None] = {}
        self.learned: set[str] = set()
        # Whether work goes to ordinary machines before spot ones, or the other way round.
        self.ordinary_first = False
        # Counts what planning or recording could want to know.
        self.changes = 0

    def _lately(self, at: timedelta | None, now: timedelta) -> bool:
        return at is not None and now - at < self.rules.report * 2 + timedelta(seconds=1)

    def _touch(self, machine: Machine) -> None:
        """Something on the machine has changed."""
        machine.view = machine.steady = None
        self.changes += 1

    def _stop(self, assignment: Assignment, reason: str, slack: float) -> None:
        assignment.stop, assignment.slack = reason, slack
        machine = self.machines.get(assignment.machine)
        if machine is not None:
            self._touch(machine)
            self.due[machine.name] = None

    def _over(self, assignment: Assignment, reason: str | None) -> None:
        """The attempt is proven off its machine (or was never sent there)."""
        if assignment.over:
            return
        assignment.over = True
        job = assignment.job
        job.placed.pop(assignment.index, None)
        machine = self.machines.get(assignment.machine)
        if machine is not None:
            machine.placed.pop((job.id, assignment.index), None)
            self._touch(machine)
        if job.state[assignment.index] == PLACED:
            job.state[assignment.index] = WAITING
        if reason is not None:
            log.info(
                "over task=%s try=%d machine=%s reason=%s",
                assignment.task,
                assignment.attempt,
                assignment.machine,
                reason,
            )
        self._changed(job, assignment.index)

    def _changed(self, job: Job, index: int) -> None:
        first = job.pieces.start(index)
        job.versions[first] = job.versions.get(first, 0) + 1
        self.dirty[(job.id, first)] = None
        self.changes += 1

    def _retire(self, job: Job) -> None:
        """A job that is over and nowhere any more: its chunks are to be removed."""
        if not job.open and not job.placed:
            self.dirty[(job.id, 0)] = None

    def _drop_unsent(self, job: Job, reason: str) -> None:
        """Starts that wait for their record were never sent, and now never will be."""
        for assignment in list(job.placed.values()):
            if not assignment.seen and not assignment.recorded:
                self._over(assignment, reason)

    def _finish(self, job: Job) -> None:
        # A record older than the one that says so, told late by the replica, may have opened it again; what
        # was placed then would hold its room for good.
        self._drop_unsent(job, "its job is done")
        job.finished = True
        self._all_recorded(job)
        self.dirty[(job.id, 0)] = None
        log.info("done job=%s", job.id)

    @staticmethod
    def _all_recorded(job: Job) -> None:
        for first in [*job.pieces.chunks, *job.pieces.parts]:
            job.committed_versions[first] = FOREVER

    def _not_receiving(self, machine: Machine, now: timedelta, reason: str) -> None:
        """Hearing a machine is not being heard by it. Nothing more is placed there until something shows that
        messages arrive; its tasks are moved on proof only, as ever."""
        if machine.not_receiving is None:
            log.info("machine does not hear machine=%s reason=%s", machine.name, reason)
            machine.not_receiving = now
            self.changes += 1
