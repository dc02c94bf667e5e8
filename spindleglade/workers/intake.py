"""What workers say, and what follows from it."""

import logging
from datetime import timedelta

from spindleglade.workers.attempts import (
    DONE,
    WAITING,
    Assignment,
    Deposed,
    ExitedAttempt,
    Job,
    Machine,
    slack,
)
from spindleglade.workers.messages import Order, Report, TaskReport, split_task
from spindleglade.workers.orders import Orders

log = logging.getLogger("spindleglade.workers")


class Intake(Orders):
    def report(self, report: Report, now: timedelta, asked: bool) -> list[Order] | None:
        """Takes in a worker's report; `asked` if it came by the worker's own request, so that its answer
        may carry orders. Returns them, or None if the machine is none of ours any more or its lease must run
        out."""
        with self.lock:
            if report.token > self.token:
                raise Deposed(report.token)
            if report.machine in self.gone:
                return None
            machine = self.machines.get(report.machine)
            if machine is None:
                machine = Machine(
                    report.machine, report.address, report.type, report.zone, report.spot, reported=now
                )
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
                return None if machine.unsure_of_aborted() else []
            self.heard = machine.heard = now
            if asked:
                machine.reported = now
            machine.unanswered_since = None
            if (
                machine.not_receiving is not None
                and report.session == machine.session
                and now - machine.not_receiving > self.rules.lease + self.rules.report
            ):
                # Its lease would have run out, had no answer reached it since.
                machine.not_receiving = None
            if asked and self._unchanged(machine, report):
                machine.tally, machine.answered = report.tally, now
                return []
            self._take_report(machine, report, now, asked)
            if not asked:
                return []
            if machine.unsure_of_aborted():
                # Nothing takes such a start back but the end of the session: were the lease renewed until the
                # cloud gives the machine up, a start held up for a minute would run a cancelled task.
                return None
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
            and not (machine.strays or machine.exited or machine.unsure)
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
                    if assignment.lost >= 2 and machine.not_receiving is None:
                        self._not_receiving(machine, now, "its starts do not show")
            if entry is not None:
                self._present(machine, assignment, entry, now)
            elif current:
                self._absent(machine, assignment, key)
            if not assignment.over and (not assignment.seen or assignment.stop is not None):
                self.due[machine.name] = None
        machine.strays.clear()
        for key in [key for key in machine.exited if key not in listed]:
            # Cleared. An unsure start of it could still land, so that mark stays.
            del machine.exited[key]
        for key, entry in reported.items():
            if key not in machine.exited:
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
            self._not_receiving(machine, now, "its lease ran out though its reports were answered")
        machine.answered = None
        for assignment in list(machine.placed.values()):
            if assignment.session < session:
                self._over(assignment, "its session ended")
        machine.session, machine.tally, machine.proven = session, -1, False
        machine.exited.clear()
        machine.unsure.clear()

    def _present(self, machine: Machine, assignment: Assignment, entry: TaskReport, now: timedelta) -> None:
        first = not assignment.seen
        assignment.seen = True
        if first and not assignment.loaded:
            machine.not_receiving = None
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
        machine.exited[(assignment.task, assignment.attempt)] = ExitedAttempt(
            job,
            assignment.index,
            job.version(assignment.index),
            assignment.direct and entry.cause != "done",
        )

    def _failed(self, machine: Machine, job: Job, assignment: Assignment, now: timedelta) -> None:
        """One failure does not tell whose fault it is. Several jobs failing on a machine condemn it; a job
        failing on several machines is paused, and speaks against none of them: a machine that its error had
        condemned is used again."""
        job.failed_on.add(machine.name)
        job.avoid.add(machine.name)
        if len(job.failed_on) > 1:
            self._back_off(job, now)
            for name in job.failed_on:
                other = self.machines.get(name)
                if other is not None and job.id in other.errors:
                    other.errors.discard(job.id)
                    if other.condemned and len(other.errors) < self.rules.faulty_jobs:
                        other.condemned = False
                        log.info("machine no longer condemned machine=%s job=%s", name, job.id)
        else:
            machine.errors.add(job.id)
            if len(machine.errors) >= self.rules.faulty_jobs and not machine.condemned:
                machine.condemned = True
                log.info("machine condemned machine=%s jobs=%s", machine.name, sorted(machine.errors))

    def _back_off(self, job: Job, now: timedelta) -> None:
        # Its old failures say little by then, and every machine must stay open to it.
        job.avoid.clear()
        if job.not_before > now:
            # Another of the tasks that were started together. Each lengthened the pause: it was the longest
            # at once, and at its end all failed again.
            return
        job.backoff = min(max(job.backoff * 2, self.rules.backoff), self.rules.backoff_most)
        job.not_before = now + job.backoff
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
            machine.exited[key] = ExitedAttempt(job, index, job.version(index))
        else:
            machine.exited[key] = ExitedAttempt(None, 0, 0)

    def _have_image(self, machine: Machine, job: Job) -> None:
        machine.images[job.spec.image] = job.spec.image_gb
        machine.images.move_to_end(job.spec.image)
        kind = self.kinds.get(machine.type)
        if kind is not None:
            while len(machine.images) > 1 and sum(machine.images.values()) > kind.cache_gb:
                machine.images.popitem(last=False)

    def _drain(self, machine: Machine) -> None:
        """Tasks that can save do so while the machine still stands; the others may yet finish."""
        for assignment in machine.placed.values():
            spec = assignment.job.spec
            if assignment.stop is None and spec.checkpoint_s > 0:
                self._stop(assignment, "machine leaves", slack(spec))
