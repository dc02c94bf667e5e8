"""The leader's book of jobs, tasks and machines: what is recorded, what is on which machine, what is proven.

The book decides nothing about placement and does no I/O. It takes in records, reports and results, and gives
out three things: chunks to write, orders to send, snapshots to plan on. Every public method takes the lock
for as long as it runs and calls nothing outside.

How a task comes to be taken off a machine is the heart of it. Silence proves nothing. Proof is: a report of
the same session under this leader's own token, newer than the last, that lacks the attempt while no start of
it can be under way, or shows it exited; a newer session; the cloud's word that the machine is released. Only
then does a task wait again.
"""

import logging
import threading
from collections.abc import Iterable
from datetime import timedelta

from spindleglade.backfill.distributions import Predictor
from spindleglade.backfill.snapshot import Plan, Snapshot
from spindleglade.settings.platform import Team
from spindleglade.submissions.records import TASKS, Chunk, JobRecord, chunk_key
from spindleglade.workers.attempts import (
    DONE,
    FOREVER,
    MOST_ORDERS,
    PLACED,
    WAITING,
    ZERO,
    Assignment,
    Batch,
    Deposed,
    Job,
    Lying,
    Machine,
    MachineKind,
    Rules,
    slack,
)
from spindleglade.workers.messages import Order, Report, TaskReport, split_task
from spindleglade.workers.views import NO_KIND, job_view, machine_view

log = logging.getLogger("spindleglade.workers")


class Ledger:
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
        self.jobs: dict[str, Job] = {}
        self.machines: dict[str, Machine] = {}
        # Machines proven gone; late reports of theirs must not bring them back.
        self.gone: set[str] = set()
        # Chunks that differ from what is recorded, the longest first.
        self.dirty: dict[tuple[str, int], None] = {}
        # Those of them with a start that waits for its record.
        self.starting: dict[tuple[str, int], None] = {}
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

    # What the store says.

    def take_job(self, record: JobRecord, mark: int, now: timedelta = ZERO, age: timedelta = ZERO) -> None:
        """A job record, from the first reading or from a later change; `age` is the time since the job was
        accepted."""
        with self.lock:
            job = self.jobs.get(record.spec.id)
            if job is None:
                if record.stage != "done":
                    job = self.jobs[record.spec.id] = Job(record, mark)
                    job.hungry = now - age
                    self.changes += 1
                return
            if mark <= job.mark:
                return
            job.mark = mark
            self.changes += 1
            if record.stage == "done" and not job.finished:
                # Our own write, seen by watch before its answer came.
                self._finish(job)
            elif record.stage == "aborted" and not job.aborted:
                job.aborted = True
                # A copy: what was never started is over at once and leaves the dictionary.
                for assignment in list(job.placed.values()):
                    self._stop(assignment, "aborted", 0.0)
                    if not assignment.seen and not assignment.recorded:
                        # Its start was never sent, and now never will be.
                        self._over(assignment, "aborted before its start")
                self._retire(job)

    def load_chunk(self, job_id: str, number: int, chunk: Chunk, now: timedelta) -> None:
        """A chunk as a former leader left it; only for the first reading."""
        with self.lock:
            job = self.jobs.get(job_id)
            if job is None:
                # The job is done; what is left of its chunks is to be removed.
                self.dirty[(job_id, number)] = None
                return
            for first, last in chunk.done:
                for index in range(first, min(last + 1, len(job.state))):
                    job.state[index] = DONE
                    job.done += 1
            if chunk.done or chunk.placed:
                # When its latest start was is not on record.
                job.hungry = now
            job.attempts.update(chunk.tried)
            for index, placement in chunk.placed.items():
                assignment = Assignment(
                    job,
                    index,
                    placement.attempt,
                    placement.machine,
                    placement.session,
                    0,
                    now,
                    stop="aborted" if job.aborted else None,
                    loaded=True,
                )
                job.attempts[index] = placement.attempt
                job.state[index] = PLACED
                job.placed[index] = assignment
                machine = self.machines.get(placement.machine)
                if machine is None:
                    # Not heard of yet. It counts as heard now, so that it gets a full lease to report.
                    machine = Machine(placement.machine, "", "", "", True, heard=now)
                    self.machines[placement.machine] = machine
                machine.placed[(job_id, index)] = assignment
                self._touch(machine)

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

    def loaded(self) -> None:
        with self.lock:
            for job in list(self.jobs.values()):
                if job.complete and job.open:
                    self.dirty[(job.id, 0)] = None
                self._retire(job)

    # What workers say.

    def report(self, report: Report, now: timedelta, asked: bool) -> list[Order] | None:
        """Takes in a worker's report; `asked` if it came by the worker's own request, so that its answer
        may carry orders. Returns them, or None if the machine is none of ours any more."""
        with self.lock:
            if report.token > self.token:
                raise Deposed(report.token)
            if report.machine in self.gone:
                return None
            machine = self.machines.get(report.machine)
            if machine is None:
                machine = Machine(report.machine, report.address, report.type, report.zone, report.spot)
                self.machines[report.machine] = machine
                log.info(
                    "machine up machine=%s type=%s zone=%s spot=%s",
                    report.machine,
                    report.type,
                    report.zone,
                    report.spot,
                )
            if (report.session, report.tally) <= (machine.session, machine.tally):
                # A late copy, or overtaken by a newer one: its list is as old as it is, and it says nothing
                # of how the machine is now. Answered all the same: the worker drops what it does not await.
                return []
            self.heard = machine.heard = now
            machine.mute = None
            if (
                machine.deaf is not None
                and report.session == machine.session
                and now - machine.deaf > self.rules.lease + self.rules.report
            ):
                # Its lease would have run out, had no answer reached it since.
                machine.deaf = None
            if asked and self._unchanged(machine, report):
                machine.tally, machine.answered = report.tally, now
                return []
            self._take_report(machine, report, now, asked)
            if not asked:
                return []
            machine.answered = now
            orders = self._orders(machine, now, report.tally)
            if not orders and report.token == self.token and self._settled(machine):
                machine.steady = report.tasks
            return orders

    def _unchanged(self, machine: Machine, report: Report) -> bool:
        """Most reports say what the one before said, and there is nothing to order."""
        return (
            machine.steady is not None
            and report.session == machine.session
            and report.token == self.token
            and report.warning_s is None
            and report.tasks == machine.steady
        )

    @staticmethod
    def _settled(machine: Machine) -> bool:
        """Whether its latest report shows just what is booked there."""
        return (
            machine.proven
            and machine.leaves is None
            and len(machine.tasks) == len(machine.placed)
            and not (machine.strays or machine.lying or machine.unsure)
            and all(
                assignment.seen and assignment.stop is None and assignment.session == machine.session
                for assignment in machine.placed.values()
            )
        )

    def _take_report(self, machine: Machine, report: Report, now: timedelta, asked: bool) -> None:
        if report.session > machine.session:
            self._new_session(machine, report.session, now)
        # Under this token, orders of former leaders can no longer be executed.
        current = report.token == self.token
        if (
            report.tasks != machine.tasks
            or machine.proven != (machine.proven or current)
            or (report.warning_s is None) != (machine.leaves is None)
        ):
            self._touch(machine)
        machine.steady = None
        machine.address, machine.type = report.address, report.type
        machine.zone, machine.spot = report.zone, report.spot
        machine.tally, machine.tasks = report.tally, report.tasks
        if current:
            machine.proven = True
        if report.warning_s is None:
            machine.leaves = None
        else:
            if machine.leaves is None:
                log.info("machine leaves machine=%s warning_s=%.1f", machine.name, report.warning_s)
            machine.leaves = now + timedelta(seconds=max(0.0, report.warning_s))
            self._drain(machine)
        reported: dict[tuple[str, int], TaskReport] = {}
        for entry in report.tasks:
            reported[(entry.task, entry.attempt)] = entry
        listed = set(reported)
        for assignment in list(machine.placed.values()):
            if assignment.session < machine.session:
                self._over(assignment, "its session ended")
                continue
            if assignment.session != machine.session:
                continue
            key = (assignment.task, assignment.attempt)
            entry = reported.pop(key, None)
            if asked and assignment.answered is not None and report.tally > assignment.answered:
                # The worker has one report under way at a time: the answer that carried this start has been
                # executed or dropped by now.
                assignment.answered = None
                if entry is None:
                    assignment.lost += 1
                    if assignment.lost >= 2 and machine.deaf is None:
                        self._deaf(machine, now, "its starts do not show")
            if entry is not None:
                self._present(machine, assignment, entry, now)
            elif current:
                self._absent(machine, assignment, key)
            if not assignment.over and (not assignment.seen or assignment.stop is not None):
                self.due[machine.name] = None
        machine.strays.clear()
        for key in [key for key in machine.lying if key not in listed]:
            # Cleared. An unsure start of it could still land, so that mark stays.
            del machine.lying[key]
        for key, entry in reported.items():
            if key not in machine.lying:
                self._stray(machine, key, entry, current)
        if machine.placed:
            machine.idle_since = None
        elif machine.idle_since is None:
            machine.idle_since = now

    def _new_session(self, machine: Machine, session: int, now: timedelta) -> None:
        """The worker let its lease run out and killed and forgot all it had."""
        self._touch(machine)
        if machine.answered is not None and now - machine.answered < self.rules.lease:
            # Its reports were answered all the time, yet its lease ran out.
            self._deaf(machine, now, "its lease ran out though its reports were answered")
        machine.answered = None
        for assignment in list(machine.placed.values()):
            if assignment.session < session:
                self._over(assignment, "its session ended")
        machine.session, machine.tally, machine.proven = session, -1, False
        machine.lying.clear()
        machine.unsure.clear()

    def _deaf(self, machine: Machine, now: timedelta, reason: str) -> None:
        """Hearing a machine is not being heard by it. Nothing more is placed there until something shows that
        messages arrive; its tasks are moved on proof only, as ever."""
        if machine.deaf is None:
            log.info("machine does not hear machine=%s reason=%s", machine.name, reason)
            machine.deaf = now
            self.changes += 1

    def hears(self, machine: Machine, now: timedelta) -> None:
        """A message has reached the machine: it answered one, or did what one said."""
        with self.lock:
            machine.deaf = None
            machine.reached = now
            self.due[machine.name] = None

    def contacts(self, now: timedelta) -> tuple[list[Machine], list[Machine], list[Machine]]:
        """The machines heard of late, by what became of the latest message straight to them: unanswered,
        answered, and those that got none of late."""
        window = self.rules.lease / 2
        recent = self.rules.report * 2 + timedelta(seconds=1)
        unanswered, answered, untried = [], [], []
        with self.lock:
            for machine in self.machines.values():
                if machine.heard is None or now - machine.heard > recent or not machine.address:
                    continue
                failed = machine.unreached is not None and now - machine.unreached <= window
                worked = machine.reached is not None and now - machine.reached <= window
                if failed and (machine.reached is None or machine.reached < machine.unreached):
                    unanswered.append(machine)
                else:
                    (answered if worked else untried).append(machine)
        return unanswered, answered, untried

    def _present(self, machine: Machine, assignment: Assignment, entry: TaskReport, now: timedelta) -> None:
        first = not assignment.seen
        assignment.seen = True
        if first and not assignment.loaded:
            machine.deaf = None
        job = assignment.job
        if entry.on:
            if entry.stage == "running" and assignment.stage != "running" and not first:
                assignment.since = now
            if entry.stage == "running":
                self._have_image(machine, job)
            assignment.stage = entry.stage
            return
        started, image = assignment.since, assignment.stage != "pulling"
        if entry.cause == "done":
            job.state[assignment.index] = DONE
            job.done += 1
            self._have_image(machine, job)
            whole = assignment.attempt == 1 or job.spec.checkpoint_s == 0
            if started is not None and whole:
                self.predictor.add(job.spec.team, now - started)
                self.learned.add(job.spec.team)
            machine.errors.discard(job.id)
            job.backoff = timedelta(0)
        elif entry.cause == "error":
            self._failed(machine, job, assignment, now)
        elif entry.cause in ("full", "in_use"):
            # The worker counts otherwise than we do for the moment; ask it again a little later.
            machine.full_until = now + self.rules.report * 2
        elif entry.cause == "unknown":
            self._back_off(job, now)
        if job.spec.kind == "group" and entry.cause != "done":
            # The others wait for this one in vain; the group starts again as a whole.
            for other in job.placed.values():
                if other is not assignment and other.stop is None:
                    self._stop(other, "its group broke up", slack(job.spec))
        log.info(
            "ended task=%s try=%d machine=%s cause=%s saved=%s fetched=%s",
            assignment.task,
            assignment.attempt,
            machine.name,
            entry.cause,
            entry.saved,
            image,
        )
        self._over(assignment, None)
        machine.lying[(assignment.task, assignment.attempt)] = Lying(
            job,
            assignment.index,
            job.versions.get(assignment.index // job.chunk, 0),
            assignment.direct and entry.cause != "done",
        )

    def _failed(self, machine: Machine, job: Job, assignment: Assignment, now: timedelta) -> None:
        """One failure does not tell whose fault it is. Several jobs failing on a machine condemn it; a job
        failing on several machines is paused, and speaks against none of them."""
        job.failed_on.add(machine.name)
        job.avoid.add(machine.name)
        if len(job.failed_on) > 1:
            self._back_off(job, now)
            for name in job.failed_on:
                other = self.machines.get(name)
                if other is not None:
                    other.errors.discard(job.id)
        else:
            machine.errors.add(job.id)
            if len(machine.errors) >= self.rules.faulty_jobs and not machine.condemned:
                machine.condemned = True
                log.info("machine condemned machine=%s jobs=%s", machine.name, sorted(machine.errors))

    def _back_off(self, job: Job, now: timedelta) -> None:
        job.backoff = min(max(job.backoff * 2, self.rules.backoff), self.rules.backoff_most)
        job.not_before = now + job.backoff
        # Its old failures say little by then, and every machine must stay open to it.
        job.avoid.clear()
        log.info("job paused job=%s for_s=%.0f", job.id, job.backoff.total_seconds())

    def _absent(self, machine: Machine, assignment: Assignment, key: tuple[str, int]) -> None:
        """The newest report under this token lacks the attempt."""
        if assignment.sending or assignment.answered is not None or key in machine.unsure:
            return
        if not assignment.recorded:
            return
        if assignment.seen:
            self._over(assignment, "the worker has it no more")
        elif assignment.stop is not None:
            self._over(assignment, "stopped before its start")
        # Otherwise the start was lost, or never sent by the leader before us: it is sent again.

    def _stray(self, machine: Machine, key: tuple[str, int], entry: TaskReport, current: bool) -> None:
        """An attempt that no assignment speaks of."""
        if not current:
            # A former leader's word may still be under way; wait until this token has reached the worker.
            return
        try:
            job_id, index = split_task(entry.task)
        except ValueError:
            log.warning("task name not understood machine=%s task=%r", machine.name, entry.task)
            return
        job = self.jobs.get(job_id)
        if entry.on:
            machine.strays[key] = entry.stage
            return
        if (
            entry.cause == "done"
            and job is not None
            and 0 <= index < len(job.state)
            and job.state[index] == WAITING
        ):
            # Its work is done all the same, and the result is kept.
            job.state[index] = DONE
            job.done += 1
            self._changed(job, index)
            machine.lying[key] = Lying(job, index, job.versions[index // job.chunk])
        else:
            machine.lying[key] = Lying(None, 0, 0)

    def _have_image(self, machine: Machine, job: Job) -> None:
        machine.images[job.spec.image] = job.spec.image_gb
        machine.images.move_to_end(job.spec.image)
        kind = self.kinds.get(machine.type)
        if kind is not None:
            while len(machine.images) > 1 and sum(machine.images.values()) > kind.cache_gb:
                machine.images.popitem(last=False)

    # Ends.

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
        number = index // job.chunk
        job.versions[number] = job.versions.get(number, 0) + 1
        self.dirty[(job.id, number)] = None
        self.changes += 1

    def _retire(self, job: Job) -> None:
        """A job that is over and nowhere any more: its chunks are to be removed."""
        if not job.open and not job.placed:
            self.dirty[(job.id, 0)] = None

    def _drain(self, machine: Machine) -> None:
        """Tasks that can save do so while the machine still stands; the others may yet finish."""
        for assignment in machine.placed.values():
            spec = assignment.job.spec
            if assignment.stop is None and spec.checkpoint_s > 0:
                self._stop(assignment, "machine leaves", slack(spec))

    def machine_gone(self, name: str, reason: str) -> None:
        """The cloud has said that the machine and all on it are gone."""
        with self.lock:
            self.gone.add(name)
            machine = self.machines.get(name)
            if machine is None:
                return
            log.info("machine gone machine=%s tasks=%d reason=%s", name, len(machine.placed), reason)
            for assignment in list(machine.placed.values()):
                self._over(assignment, "its machine is gone")
            del self.machines[name]

    def found(self, listed: list[tuple[str, str, str]]) -> None:
        """Names, addresses and zones: where the cloud says that machines are. Those that have not reported to
        this leader yet can be asked then; those that died with the leader before used to be waited for until
        a whole lease was over."""
        with self.lock:
            for name, address, zone in listed:
                machine = self.machines.get(name)
                if machine is not None and not machine.address:
                    machine.address, machine.zone = address, zone
                    self.due[name] = None

    def vouch(self, names: list[str], now: timedelta) -> None:
        """A sibling renews these machines' leases: they live, though nothing is heard of them here."""
        with self.lock:
            for name in names:
                machine = self.machines.get(name)
                if machine is not None:
                    machine.vouched = now

    def silent(self, machine: Machine, now: timedelta, since: timedelta) -> bool:
        latest = max(machine.heard or self.began, machine.vouched or self.began)
        return now - latest > since

    # Orders.

    def _orders(self, machine: Machine, now: timedelta, tally: int | None) -> list[Order]:
        """What to tell the machine now. `tally` is that of the report being answered, None for a message of
        our own; starts already under way one way are not sent another."""
        orders = self._pending_orders(machine)
        for assignment in machine.placed.values():
            if len(orders) >= MOST_ORDERS:
                break
            if not self._may_start(machine, assignment):
                continue
            orders.append(Order("start", assignment.task, assignment.attempt))
            if tally is None:
                assignment.sending += 1
                assignment.direct = True
            else:
                assignment.answered = tally
        return orders

    def _pending_orders(self, machine: Machine) -> list[Order]:
        """Clears and stops; what does not fit is told the next time."""
        orders: list[Order] = []
        if machine.proven:
            for (task, attempt), lying in machine.lying.items():
                # After `clear` a start that lands late would start the task again.
                if lying.recorded and not lying.kept and (task, attempt) not in machine.unsure:
                    orders.append(Order("clear", task, attempt))
            for (task, attempt), stage in machine.strays.items():
                if stage != "saving":
                    orders.append(Order("stop", task, attempt, 0.0))
        for assignment in machine.placed.values():
            if (
                assignment.session == machine.session
                and assignment.stop is not None
                and assignment.seen
                and not (assignment.stage == "saving" and assignment.slack > 0)
            ):
                orders.append(Order("stop", assignment.task, assignment.attempt, assignment.slack))
        return orders[:MOST_ORDERS]

    @staticmethod
    def _may_start(machine: Machine, assignment: Assignment) -> bool:
        return (
            machine.proven
            and not machine.releasing
            and assignment.session == machine.session
            and assignment.stop is None
            and not assignment.seen
            and not assignment.sending
            and assignment.answered is None
            and assignment.recorded
            and assignment.job.open
        )

    def to_send(self, now: timedelta) -> list[tuple[Machine, int, list[Order]]]:
        """Orders to send straight to machines: those that bear no waiting for the next report."""
        found = []
        with self.lock:
            due, self.due = self.due, {}
            for name in due:
                machine = self.machines.get(name)
                if (
                    machine is None
                    or machine.sending
                    or machine.releasing
                    or machine.deaf is not None
                    or not machine.address
                    or not machine.proven
                    or not any(self._pressing(machine, assignment) for assignment in machine.placed.values())
                ):
                    continue
                orders = self._orders(machine, now, None)
                if orders:
                    machine.sending, machine.steady = True, None
                    found.append((machine, machine.session, orders))
        return found

    def _pressing(self, machine: Machine, assignment: Assignment) -> bool:
        if assignment.session != machine.session:
            return False
        if assignment.stop is not None:
            return assignment.seen and assignment.stage in ("running", "pulling")
        key = (assignment.task, assignment.attempt)
        return key not in machine.unsure and self._may_start(machine, assignment)

    def sent(
        self, machine: Machine, orders: Iterable[Order], unsure: bool, now: timedelta, reached: bool = True
    ) -> None:
        """What became of orders sent straight to a machine: answered or never sent, or else unsure; `reached`
        is false where not even a connection was made."""
        with self.lock:
            machine.sending = False
            self.due[machine.name] = None
            if unsure or not reached:
                machine.unreached = now
                self._deaf(machine, now, "does not answer orders")
            for order in orders:
                if order.verb != "start":
                    continue
                if unsure:
                    machine.unsure[(order.task, order.attempt)] = now
                job_id, index = split_task(order.task)
                assignment = machine.placed.get((job_id, index))
                if assignment is not None and assignment.attempt == order.attempt:
                    assignment.sending = 0

    # Records.

    def committed(self, job_id: str, number: int, version: int) -> None:
        with self.lock:
            job = self.jobs.get(job_id)
            if job is None:
                return
            job.committed_versions[number] = max(job.committed_versions.get(number, 0), version)
            for index, assignment in job.placed.items():
                if index // job.chunk == number and not assignment.seen:
                    self.due[assignment.machine] = None

    def finished(self, job_id: str, mark: int) -> None:
        """The record says that the job is done."""
        with self.lock:
            job = self.jobs.get(job_id)
            if job is not None and not job.finished:
                job.mark = max(job.mark, mark)
                self._finish(job)

    def _finish(self, job: Job) -> None:
        job.finished = True
        self._all_recorded(job)
        self.dirty[(job.id, 0)] = None
        log.info("done job=%s", job.id)

    @staticmethod
    def _all_recorded(job: Job) -> None:
        for number in range((len(job.state) - 1) // job.chunk + 1):
            job.committed_versions[number] = FOREVER

    def forget(self, job_id: str) -> None:
        """All of a finished job's chunks are removed."""
        with self.lock:
            job = self.jobs.get(job_id)
            if job is not None and not job.open and not job.placed:
                self._all_recorded(job)
                del self.jobs[job_id]

    def collect(self, most: int, stored: dict[str, int], spare: int | None = None) -> "Batch":
        """Takes out of the dirty chunks what one transaction can hold: first those with starts that wait for
        their record, then jobs that are done, of which users wait to hear, then the rest, which nobody waits
        for: at most `spare` of it. `stored` has the marks of the chunks that the store holds."""
        with self.lock:
            batch = Batch()
            rest: list[tuple[str, int]] = []
            for at in list(self.starting):
                if batch.size >= most:
                    break
                self._collect(batch, at, most, stored)
            if batch.size < most:
                for at in list(self.dirty):
                    job = self.jobs.get(at[0])
                    if job is not None and job.open and job.complete:
                        if batch.size < most:
                            self._collect(batch, at, most, stored)
                    else:
                        rest.append(at)
                room = most if spare is None else min(most, batch.size + spare)
                for at in rest:
                    if batch.size >= room:
                        break
                    self._collect(batch, at, room, stored)
            # Jobs with chunks left over are not forgotten yet.
            for job_id, _ in self.dirty:
                batch.over.pop(job_id, None)
            return batch

    def _collect(self, batch: Batch, at: tuple[str, int], most: int, stored: dict[str, int]) -> None:
        job_id, number = at
        self.dirty.pop(at, None)
        self.starting.pop(at, None)
        job = self.jobs.get(job_id)
        if job is not None and job.open and job.complete:
            if all(done != job_id for done, _, _ in batch.done):
                record = JobRecord("done", job.spec, job.chunk, job.accepted)
                batch.done.append((job_id, job.mark, record))
        elif job is None or (not job.open and not job.placed):
            for key in self._stored_chunks(job_id, stored):
                if batch.size < most:
                    batch.removed.append((job_id, key))
                else:
                    self.dirty[at] = None
            batch.over[job_id] = None
        else:
            version = job.versions.get(number, 0)
            batch.chunks.append((job_id, job.mark if job.open else None, number, version, job.encode(number)))

    def _stored_chunks(self, job_id: str, stored: dict[str, int]) -> list[str]:
        job = self.jobs.get(job_id)
        if job is None:
            return [key for key in stored if key.startswith(f"{TASKS}{job_id}/")]
        numbers = range((len(job.state) - 1) // job.chunk + 1)
        return [key for key in (chunk_key(job_id, number) for number in numbers) if key in stored]

    def put_back(self, batch: "Batch") -> None:
        with self.lock:
            for job_id, _, number, _, _ in batch.chunks:
                self.dirty[(job_id, number)] = None
                job = self.jobs.get(job_id)
                if job is not None and any(
                    not assignment.recorded
                    for index, assignment in job.placed.items()
                    if index // job.chunk == number
                ):
                    self.starting[(job_id, number)] = None
            for job_id in [
                *(job_id for job_id, _, _ in batch.done),
                *batch.over,
                *(job_id for job_id, _ in batch.removed),
            ]:
                self.dirty[(job_id, 0)] = None

    # Planning.

    def usable(self, machine: Machine, now: timedelta) -> bool:
        return (
            machine.proven
            and machine.leaves is None
            and machine.deaf is None
            and not machine.condemned
            and not machine.releasing
            and machine.type in self.kinds
            and machine.heard is not None
            and now - machine.heard < self.rules.report * 2 + timedelta(seconds=1)
            and now >= machine.full_until
        )

    def snapshot(self, now: timedelta) -> Snapshot:
        with self.lock:
            machines = []
            barred: dict[str, dict[int, set[str]]] = {}
            for machine in self.machines.values():
                if machine.view is None:
                    kind = self.kinds.get(machine.type, NO_KIND)
                    machine.view = machine_view(machine, kind)
                view = machine.view
                view.open = self.usable(machine, now)
                view.claims = {
                    job: count for job, (count, until) in machine.claims.items() if until > now and count > 0
                }
                machines.append(view)
                if machine.lying or machine.unsure:
                    self._bar(machine, barred)
            room = max((kind.cpus for kind in self.kinds.values()), default=0.0)
            jobs = []
            for job in sorted(self.jobs.values(), key=lambda job: job.order):
                if not job.open or job.not_before > now or job.done + len(job.placed) >= len(job.state):
                    continue
                if job.spec.kind == "group" and job.placed:
                    continue
                overdue = now - job.hungry >= self.rules.patience
                jobs.append(job_view(job, self.machines, room * 64, overdue, barred.get(job.id, {})))
            return Snapshot(jobs, machines, self.teams, self.predictor.copy(), now, self.ordinary_first)

    def _bar(self, machine: Machine, barred: dict[str, dict[int, set[str]]]) -> None:
        """Tasks that wait again, and may not come back here while an older attempt lies here uncleared."""
        for task, _ in [*machine.lying, *machine.unsure]:
            job_id, index = split_task(task)
            job = self.jobs.get(job_id)
            if job is not None and 0 <= index < len(job.state) and job.state[index] == WAITING:
                barred.setdefault(job_id, {}).setdefault(index, set()).add(machine.name)

    def apply(self, plan: Plan, now: timedelta) -> int:
        """Takes over a plan as far as it still holds; the starts wait for their record."""
        placed = 0
        with self.lock:
            for start in plan.starts:
                job, machine = self.jobs.get(start.job), self.machines.get(start.machine)
                if (
                    job is None
                    or machine is None
                    or not job.open
                    or job.state[start.index] != WAITING
                    or not self.usable(machine, now)
                ):
                    continue
                attempt = job.attempts.get(start.index, 0) + 1
                job.attempts[start.index] = attempt
                job.hungry = now
                self._changed(job, start.index)
                self.starting[(job.id, start.index // job.chunk)] = None
                self.due[machine.name] = None
                assignment = Assignment(
                    job,
                    start.index,
                    attempt,
                    machine.name,
                    machine.session,
                    job.versions[start.index // job.chunk],
                    now,
                )
                job.state[start.index] = PLACED
                job.placed[start.index] = assignment
                machine.placed[(job.id, start.index)] = assignment
                machine.view = machine.steady = None
                machine.idle_since = None
                claim = machine.claims.get(job.id)
                if claim is not None:
                    machine.claims[job.id] = (claim[0] - 1, claim[1])
                placed += 1
            for stop in plan.stops:
                machine = self.machines.get(stop.machine)
                if machine is None:
                    continue
                stopping = machine.placed.get((stop.job, stop.index))
                if stopping is not None and stopping.stop is None:
                    self._stop(stopping, f"room for {stop.claimant}", slack(stopping.job.spec))
                    log.info(
                        "stopping task=%s machine=%s reason=%s", stopping.task, machine.name, stopping.stop
                    )
            for name, claimant, count in plan.claims:
                machine = self.machines.get(name)
                if machine is not None:
                    machine.claims[claimant] = (count, now + self.rules.lease)
        return placed
