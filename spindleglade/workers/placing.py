"""What planning sees of the cluster state, and the taking over of its plans."""

import logging
from collections import Counter
from datetime import timedelta

from spindleglade.backfill.snapshot import Plan, Snapshot
from spindleglade.workers.attempts import PLACED, WAITING, Assignment, Job, Machine, MachineKind, slack
from spindleglade.workers.cluster_base import ClusterBase
from spindleglade.workers.messages import split_task
from spindleglade.workers.reasons import Standstill, Unusable, Waiting
from spindleglade.workers.views import NO_KIND, job_view, machine_view

log = logging.getLogger("spindleglade.workers")


class Placing(ClusterBase):
    def learn_kinds(self, kinds: dict[str, MachineKind]) -> None:
        """What the cloud says of the machine types. A machine that reported before they were known was kept
        as one without any room: it changed in nothing, so it was never looked at again. Where a leader came
        half a second before the types, all machines that were there stood idle."""
        with self.lock:
            if kinds == self.kinds:
                return
            self.kinds = kinds
            self.changes += 1
            for machine in self.machines.values():
                machine.view = None

    def usable(self, machine: Machine, now: timedelta) -> bool:
        """Whether tasks may be started on the machine."""
        return self.why_unusable(machine, now) is None

    def why_unusable(self, machine: Machine, now: timedelta) -> Unusable | None:
        """Why no task may be started on the machine; None if one may."""
        reason = None
        if not machine.proven:
            reason = Unusable.TOKEN_NOT_SHOWN
        elif machine.leaves is not None:
            reason = Unusable.LEAVES
        elif machine.not_receiving is not None:
            reason = Unusable.NOT_RECEIVING
        elif machine.condemned:
            reason = Unusable.CONDEMNED
        elif machine.releasing:
            reason = Unusable.RELEASING
        elif machine.type not in self.kinds:
            reason = Unusable.TYPE_UNKNOWN
        elif not self._lately(machine.heard, now):
            reason = Unusable.SILENT
        elif not self._lately(max(machine.reported or self.began, machine.vouched or self.began), now):
            # What it answers when it is asked renews no lease: one that reaches no node lost all that it was
            # given, lease after lease.
            reason = Unusable.NOT_RENEWED
        elif now < machine.full_until:
            reason = Unusable.REFUSED_START
        return reason

    def standstill(self, now: timedelta) -> Standstill | None:
        """What waits and why, for the log; None if no job has waiting tasks."""
        with self.lock:
            used: dict[str, tuple[float, float]] = {}
            for job in self.jobs.values():
                cpus, gpus = used.get(job.spec.team, (0.0, 0.0))
                count = len(job.placed)
                used[job.spec.team] = (cpus + job.spec.cpus * count, gpus + job.spec.gpus * count)
            waits = Counter(
                self._why_waiting(job, used, now)
                for job in self.jobs.values()
                if job.open and job.done + len(job.placed) < len(job.state)
            )
            if not waits:
                return None
            reasons = [self.why_unusable(machine, now) for machine in self.machines.values()]
            return Standstill(waits, reasons.count(None), Counter(filter(None, reasons)))

    def _why_waiting(self, job: Job, used: dict[str, tuple[float, float]], now: timedelta) -> Waiting:
        if not job.released:
            return Waiting.DEPENDENCIES
        if job.not_before > now:
            return Waiting.PAUSED
        cpus, gpus = used[job.spec.team]
        team = self.teams.get(job.spec.team)
        if team is None or cpus + job.spec.cpus > team.cpus_max or gpus + job.spec.gpus > team.gpus_max:
            return Waiting.TEAM_LIMIT
        return Waiting.NO_ROOM

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
                if machine.exited or machine.unsure:
                    self._bar(machine, barred)
            room = max((kind.cpus for kind in self.kinds.values()), default=0.0)
            jobs = []
            for job in sorted(self.jobs.values(), key=lambda job: job.order):
                if not job.released:
                    continue
                if not job.open or job.not_before > now or job.done + len(job.placed) >= len(job.state):
                    continue
                if job.spec.kind == "group" and job.placed:
                    continue
                overdue = now - job.hungry >= self.rules.patience
                trial = self._on_trial(job, now)
                if trial and job.placed:
                    continue
                pressing = job.latest_start is not None and job.latest_start <= now
                bars = barred.get(job.id, {})
                jobs.append(job_view(job, self.machines, room * 64, overdue, bars, trial, pressing))
            return Snapshot(jobs, machines, self.teams, self.predictor.copy(), now, self.ordinary_first)

    @staticmethod
    def _on_trial(job: Job, now: timedelta) -> bool:
        """A job that has failed on several machines and had no task done since was probably submitted with a
        mistake: it fails on every machine until its user cancels it. One task at a time shows how it is; one
        that has run for longer than the pause before it shows that the others may start as well."""
        return job.backoff > timedelta(0) and not any(
            assignment.stage == "running" and now - (assignment.since or assignment.placed_at) > job.backoff
            for assignment in job.placed.values()
        )

    def _bar(self, machine: Machine, barred: dict[str, dict[int, set[str]]]) -> None:
        """Tasks that wait again, and may not come back here while an older attempt lies here uncleared."""
        for task, _ in [*machine.exited, *machine.unsure]:
            job_id, index = split_task(task)
            job = self.jobs.get(job_id)
            if job is not None and 0 <= index < len(job.state) and job.state[index] == WAITING:
                barred.setdefault(job_id, {}).setdefault(index, set()).add(machine.name)

    def apply(self, plan: Plan, now: timedelta) -> int:
        """Takes over a plan as far as it still holds; the starts wait for their record."""
        placed = 0
        owed: dict[str, bool] = {}
        with self.lock:
            for start in plan.starts:
                job, machine = self.jobs.get(start.job), self.machines.get(start.machine)
                if (
                    job is None
                    or machine is None
                    or not job.open
                    or not job.released
                    or job.state[start.index] != WAITING
                    or not self.usable(machine, now)
                ):
                    continue
                attempt = job.attempts.get(start.index, 0) + 1
                job.attempts[start.index] = attempt
                late = owed.setdefault(job.id, now - job.hungry >= self.rules.patience)
                job.hungry = now
                self._changed(job, start.index)
                self.starting[(job.id, job.pieces.start(start.index))] = None
                self.due[machine.name] = None
                assignment = Assignment(
                    job,
                    start.index,
                    attempt,
                    machine.name,
                    machine.session,
                    job.version(start.index),
                    now,
                    owed=late,
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
            if placed:
                self.latest_start = now
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
