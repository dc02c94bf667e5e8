"""What workers say, and what follows from it."""

import logging
from datetime import timedelta

from spindleglade.workers.attempts import Attempt, ExitedAttempt
from spindleglade.workers.command_selection import CommandSelection
from spindleglade.workers.errors import StaleTokenError
from spindleglade.workers.jobs import DONE, WAITING, Job, grace_period_s
from spindleglade.workers.machines import Machine
from spindleglade.workers.messages import Command, Heartbeat, TaskStatus, split_task

log = logging.getLogger("spindleglade.workers")


class HeartbeatReconciliation(CommandSelection):
    def on_heartbeat(self, report: Heartbeat, now: timedelta, asked: bool) -> list[Command] | None:
        """Takes in a worker's report; `asked` if it came by the worker's own request, so that its answer
        may carry orders. Returns them, or None if the machine is none of ours any more or its lease must run
        out."""
        with self.lock:
            if report.token > self.token:
                raise StaleTokenError(report.token)
            if report.machine in self.terminated:
                return None
            machine = self.machines.get(report.machine)
            if machine is None:
                machine = Machine(
                    report.machine,
                    report.address,
                    report.type,
                    report.zone,
                    report.spot,
                    last_own_heartbeat_at=now,
                )
                self.machines[report.machine] = machine
                log.info(
                    "machine up machine=%s type=%s zone=%s spot=%s",
                    report.machine,
                    report.type,
                    report.zone,
                    report.spot,
                )
            if (report.incarnation, report.sequence) <= (machine.incarnation, machine.sequence):
                # A late copy, or overtaken by a newer one: its list is as old as it is, and it says nothing
                # of how the machine is now. Answered all the same: the worker drops what it does not await.
                return None if machine.unacknowledged_starts_of_cancelled_jobs() else []
            self.last_heartbeat_at = machine.last_heartbeat_at = now
            if asked:
                machine.last_own_heartbeat_at = now
            machine.unanswered_since = None
            if (
                machine.unreachable_since is not None
                and report.incarnation == machine.incarnation
                and now - machine.unreachable_since > self.policy.lease + self.policy.heartbeat_interval
            ):
                # Its lease would have run out, had no answer reached it since.
                machine.unreachable_since = None
            if asked and self._is_unchanged(machine, report):
                machine.sequence, machine.last_response_at = report.sequence, now
                return []
            self._apply_heartbeat(machine, report, now, asked)
            if not asked:
                return []
            if machine.unacknowledged_starts_of_cancelled_jobs():
                # Nothing takes such a start back but the end of the session: were the lease renewed until the
                # cloud gives the machine up, a start held up for a minute would run a cancelled task.
                return None
            machine.last_response_at = now
            orders = self._commands_for(machine, now, report.sequence)
            if not orders and report.token == self.token and self._is_reconciled(machine):
                machine.reconciled_tasks = report.tasks
            return orders

    def _is_unchanged(self, machine: Machine, report: Heartbeat) -> bool:
        """Most reports say what the one before said, and there is nothing to order."""
        return (
            machine.reconciled_tasks is not None
            and report.incarnation == machine.incarnation
            and report.token == self.token
            and report.warning_s is None
            and report.tasks == machine.reconciled_tasks
        )

    @staticmethod
    def _is_reconciled(machine: Machine) -> bool:
        """Whether its latest report shows just what is booked there."""
        return (
            machine.acknowledged_token
            and machine.terminates_at is None
            and len(machine.tasks) == len(machine.placed)
            and not (machine.unexpected_attempts or machine.exited or machine.unacknowledged_starts)
            and all(
                assignment.is_confirmed
                and assignment.stop_reason is None
                and assignment.incarnation == machine.incarnation
                for assignment in machine.placed.values()
            )
        )

    def _apply_heartbeat(self, machine: Machine, report: Heartbeat, now: timedelta, asked: bool) -> None:
        if report.incarnation > machine.incarnation:
            self._begin_incarnation(machine, report.incarnation, now)
        # Under this token, orders of former leaders can no longer be executed.
        current = report.token == self.token
        if (
            report.tasks != machine.tasks
            or machine.acknowledged_token != (machine.acknowledged_token or current)
            or (report.warning_s is None) != (machine.terminates_at is None)
        ):
            self._mark_changed(machine)
        machine.reconciled_tasks = None
        machine.address, machine.type = report.address, report.type
        machine.zone, machine.spot = report.zone, report.spot
        machine.sequence, machine.tasks = report.sequence, report.tasks
        if current:
            machine.acknowledged_token = True
        if report.warning_s is None:
            machine.terminates_at = None
        else:
            if machine.terminates_at is None:
                log.info("machine leaves machine=%s warning_s=%.1f", machine.name, report.warning_s)
            machine.terminates_at = now + timedelta(seconds=max(0.0, report.warning_s))
            self._checkpoint_tasks(machine)
        reported: dict[tuple[str, int], TaskStatus] = {}
        for entry in report.tasks:
            reported[(entry.task, entry.attempt)] = entry
        listed = set(reported)
        for assignment in list(machine.placed.values()):
            if assignment.incarnation < machine.incarnation:
                self._end_attempt(assignment, "its session ended")
                continue
            if assignment.incarnation != machine.incarnation:
                continue
            key = (assignment.task, assignment.attempt)
            entry = reported.pop(key, None)
            if (
                asked
                and assignment.start_sent_with_sequence is not None
                and report.sequence > assignment.start_sent_with_sequence
            ):
                # The worker has one report under way at a time: the answer that carried this start has been
                # executed or dropped by now.
                assignment.start_sent_with_sequence = None
                if entry is None:
                    assignment.lost_starts += 1
                    if assignment.lost_starts >= 2 and machine.unreachable_since is None:
                        self._mark_unreachable(machine, now, "its starts do not show")
            if entry is not None:
                self._on_attempt_listed(machine, assignment, entry, now)
            elif current:
                self._on_attempt_missing(machine, assignment, key)
            if not assignment.has_ended and (
                not assignment.is_confirmed or assignment.stop_reason is not None
            ):
                self.dispatch_queue[machine.name] = None
        machine.unexpected_attempts.clear()
        for key in [key for key in machine.exited if key not in listed]:
            # Cleared. An unsure start of it could still land, so that mark stays.
            del machine.exited[key]
        for key, entry in reported.items():
            if key not in machine.exited:
                self._on_unexpected_attempt(machine, key, entry, current)
        if machine.placed:
            machine.idle_since = None
        elif machine.idle_since is None:
            machine.idle_since = now

    def _begin_incarnation(self, machine: Machine, incarnation: int, now: timedelta) -> None:
        """The worker let its lease run out and killed and forgot all it had."""
        self._mark_changed(machine)
        if machine.last_response_at is not None and now - machine.last_response_at < self.policy.lease:
            # Its reports were answered all the time, yet its lease ran out.
            self._mark_unreachable(machine, now, "its lease ran out though its reports were answered")
        machine.last_response_at = None
        for assignment in list(machine.placed.values()):
            if assignment.incarnation < incarnation:
                self._end_attempt(assignment, "its session ended")
        machine.incarnation, machine.sequence, machine.acknowledged_token = incarnation, -1, False
        machine.exited.clear()
        machine.unacknowledged_starts.clear()

    def _on_attempt_listed(
        self, machine: Machine, assignment: Attempt, entry: TaskStatus, now: timedelta
    ) -> None:
        first = not assignment.is_confirmed
        assignment.is_confirmed = True
        if first and not assignment.is_recovered:
            machine.unreachable_since = None
        job = assignment.job
        if entry.is_on_machine:
            if entry.state == "running" and assignment.state != "running" and not first:
                assignment.running_since = now
            if entry.state == "running":
                self._add_image(machine, job)
            assignment.state = entry.state
            return
        started, image = assignment.running_since, assignment.state != "pulling"
        if entry.cause == "done":
            job.task_states[assignment.index] = DONE
            job.done += 1
            self._add_image(machine, job)
            whole = assignment.attempt == 1 or job.spec.checkpoint_s == 0
            if started is not None and whole:
                self.predictor.add(job.spec.team, now - started)
                self.teams_with_new_runs.add(job.spec.team)
            machine.failed_jobs.discard(job.id)
            job.backoff = timedelta(0)
        elif entry.cause == "error":
            self._on_task_failed(machine, job, assignment, now)
        elif entry.cause in ("full", "in_use"):
            # The worker counts otherwise than we do for the moment; ask it again a little later.
            machine.refuses_starts_until = now + self.policy.heartbeat_interval * 2
        elif entry.cause == "unknown":
            self._pause_job(job, now)
        if job.spec.kind == "group" and entry.cause != "done":
            # The others wait for this one in vain; the group starts again as a whole.
            for other in job.placed.values():
                if other is not assignment and other.stop_reason is None:
                    self._stop_attempt(other, "its group broke up", grace_period_s(job.spec))
        log.info(
            "ended task=%s try=%d machine=%s cause=%s saved=%s fetched=%s",
            assignment.task,
            assignment.attempt,
            machine.name,
            entry.cause,
            entry.saved,
            image,
        )
        self._end_attempt(assignment, None)
        machine.exited[(assignment.task, assignment.attempt)] = ExitedAttempt(
            job,
            assignment.index,
            job.version(assignment.index),
            assignment.started_directly and entry.cause != "done",
        )

    def _on_task_failed(self, machine: Machine, job: Job, assignment: Attempt, now: timedelta) -> None:
        """One failure does not tell whose fault it is. Several jobs failing on a machine condemn it; a job
        failing on several machines is paused, and speaks against none of them: a machine that its error had
        condemned is used again."""
        job.failed_on.add(machine.name)
        job.avoided_machines.add(machine.name)
        if len(job.failed_on) > 1:
            self._pause_job(job, now)
            for name in job.failed_on:
                other = self.machines.get(name)
                if other is not None and job.id in other.failed_jobs:
                    other.failed_jobs.discard(job.id)
                    if (
                        other.quarantined
                        and len(other.failed_jobs) < self.policy.quarantine_after_failed_jobs
                    ):
                        other.quarantined = False
                        log.info("machine no longer condemned machine=%s job=%s", name, job.id)
        else:
            machine.failed_jobs.add(job.id)
            if (
                len(machine.failed_jobs) >= self.policy.quarantine_after_failed_jobs
                and not machine.quarantined
            ):
                machine.quarantined = True
                log.info("machine condemned machine=%s jobs=%s", machine.name, sorted(machine.failed_jobs))

    def _pause_job(self, job: Job, now: timedelta) -> None:
        # Its old failures say little by then, and every machine must stay open to it.
        job.avoided_machines.clear()
        if job.paused_until > now:
            # Another of the tasks that were started together. Each lengthened the pause: it was the longest
            # at once, and at its end all failed again.
            return
        job.backoff = min(max(job.backoff * 2, self.policy.backoff), self.policy.max_backoff)
        job.paused_until = now + job.backoff
        log.info("job paused job=%s for_s=%.0f", job.id, job.backoff.total_seconds())

    def _on_attempt_missing(self, machine: Machine, assignment: Attempt, key: tuple[str, int]) -> None:
        """The newest report under this token lacks the attempt."""
        if (
            assignment.starts_in_flight
            or assignment.start_sent_with_sequence is not None
            or key in machine.unacknowledged_starts
        ):
            return
        if not assignment.is_recorded:
            return
        if assignment.is_confirmed:
            self._end_attempt(assignment, "the worker has it no more")
        elif assignment.stop_reason is not None:
            self._end_attempt(assignment, "stopped before its start")

    def _on_unexpected_attempt(
        self, machine: Machine, key: tuple[str, int], entry: TaskStatus, current: bool
    ) -> None:
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
        if entry.is_on_machine:
            machine.unexpected_attempts[key] = entry.state
            return
        if (
            entry.cause == "done"
            and job is not None
            and 0 <= index < len(job.task_states)
            and job.task_states[index] == WAITING
        ):
            # Its work is done all the same, and the result is kept.
            job.task_states[index] = DONE
            job.done += 1
            self._mark_task_changed(job, index)
            machine.exited[key] = ExitedAttempt(job, index, job.version(index))
        else:
            machine.exited[key] = ExitedAttempt(None, 0, 0)

    def _add_image(self, machine: Machine, job: Job) -> None:
        machine.images[job.spec.image] = job.spec.image_gb
        machine.images.move_to_end(job.spec.image)
        kind = self.machine_types.get(machine.type)
        if kind is not None:
            while len(machine.images) > 1 and sum(machine.images.values()) > kind.cache_gb:
                machine.images.popitem(last=False)

    def _checkpoint_tasks(self, machine: Machine) -> None:
        """Tasks that can save do so while the machine still stands; the others may yet finish."""
        for assignment in machine.placed.values():
            spec = assignment.job.spec
            if assignment.stop_reason is None and spec.checkpoint_s > 0:
                self._stop_attempt(assignment, "machine leaves", grace_period_s(spec))
