"""What planning sees of the cluster state, and the taking over of its plans."""

import logging
from collections import Counter
from datetime import timedelta

from spindleglade.backfill.plan import Plan
from spindleglade.backfill.snapshot import Snapshot
from spindleglade.workers.attempts import Attempt
from spindleglade.workers.cluster_base import ClusterBase
from spindleglade.workers.jobs import PLACED, WAITING, Job, grace_period_s
from spindleglade.workers.machines import Machine, MachineTypeCapacity
from spindleglade.workers.messages import split_task
from spindleglade.workers.reasons import MachineUnusableReason, PendingReason, SchedulingStall
from spindleglade.workers.views import UNKNOWN_TYPE, job_view, machine_view

log = logging.getLogger("spindleglade.workers")


class PlanningBridge(ClusterBase):
    def set_machine_types(self, kinds: dict[str, MachineTypeCapacity]) -> None:
        """What the cloud says of the machine types. A machine that reported before they were known was kept
        as one without any room: it changed in nothing, so it was never looked at again. Where a leader came
        half a second before the types, all machines that were there stood idle."""
        with self.lock:
            if kinds == self.machine_types:
                return
            self.machine_types = kinds
            self.change_count += 1
            for machine in self.machines.values():
                machine.planning_view = None

    def is_usable(self, machine: Machine, now: timedelta) -> bool:
        """Whether tasks may be started on the machine."""
        return self.unusable_reason(machine, now) is None

    def unusable_reason(self, machine: Machine, now: timedelta) -> MachineUnusableReason | None:
        """Why no task may be started on the machine; None if one may."""
        reason = None
        if not machine.acknowledged_token:
            reason = MachineUnusableReason.TOKEN_NOT_ACKNOWLEDGED
        elif machine.terminates_at is not None:
            reason = MachineUnusableReason.TERMINATION_ANNOUNCED
        elif machine.unreachable_since is not None:
            reason = MachineUnusableReason.UNREACHABLE
        elif machine.quarantined:
            reason = MachineUnusableReason.QUARANTINED
        elif machine.terminating:
            reason = MachineUnusableReason.TERMINATING
        elif machine.type not in self.machine_types:
            reason = MachineUnusableReason.TYPE_UNKNOWN
        elif not self._is_recent(machine.last_heartbeat_at, now):
            reason = MachineUnusableReason.SILENT
        elif not self._is_recent(
            max(
                machine.last_own_heartbeat_at or self.started_at,
                machine.renewed_by_peer_at or self.started_at,
            ),
            now,
        ):
            # What it answers when it is asked renews no lease: one that reaches no node lost all that it was
            # given, lease after lease.
            reason = MachineUnusableReason.LEASE_NOT_RENEWED
        elif now < machine.refuses_starts_until:
            reason = MachineUnusableReason.REFUSED_START
        return reason

    def scheduling_stall(self, now: timedelta) -> SchedulingStall | None:
        """What waits and why, for the log; None if no job has waiting tasks."""
        with self.lock:
            used: dict[str, tuple[float, float]] = {}
            for job in self.jobs.values():
                cpus, gpus = used.get(job.spec.team, (0.0, 0.0))
                count = len(job.placed)
                used[job.spec.team] = (cpus + job.spec.cpus * count, gpus + job.spec.gpus * count)
            waits = Counter(
                self._pending_reason(job, used, now)
                for job in self.jobs.values()
                if job.is_open and job.done + len(job.placed) < len(job.task_states)
            )
            if not waits:
                return None
            reasons = [self.unusable_reason(machine, now) for machine in self.machines.values()]
            return SchedulingStall(waits, reasons.count(None), Counter(filter(None, reasons)))

    def _pending_reason(
        self, job: Job, used: dict[str, tuple[float, float]], now: timedelta
    ) -> PendingReason:
        if not job.released:
            return PendingReason.DEPENDENCIES
        if job.paused_until > now:
            return PendingReason.PAUSED
        cpus, gpus = used[job.spec.team]
        team = self.teams.get(job.spec.team)
        if team is None or cpus + job.spec.cpus > team.cpus_max or gpus + job.spec.gpus > team.gpus_max:
            return PendingReason.TEAM_LIMIT
        return PendingReason.NO_CAPACITY

    def snapshot(self, now: timedelta) -> Snapshot:
        with self.lock:
            machines = []
            excluded_machines: dict[str, dict[int, set[str]]] = {}
            for machine in self.machines.values():
                if machine.planning_view is None:
                    kind = self.machine_types.get(machine.type, UNKNOWN_TYPE)
                    machine.planning_view = machine_view(machine, kind)
                view = machine.planning_view
                view.is_usable = self.is_usable(machine, now)
                view.reserved_capacity = {
                    job: count
                    for job, (count, until) in machine.reserved_capacity.items()
                    if until > now and count > 0
                }
                machines.append(view)
                if machine.exited or machine.unacknowledged_starts:
                    self._collect_excluded_machines(machine, excluded_machines)
            room = max((kind.cpus for kind in self.machine_types.values()), default=0.0)
            jobs = []
            for job in sorted(self.jobs.values(), key=lambda job: job.submission_revision):
                if not job.released:
                    continue
                if (
                    not job.is_open
                    or job.paused_until > now
                    or job.done + len(job.placed) >= len(job.task_states)
                ):
                    continue
                if job.spec.kind == "group" and job.placed:
                    continue
                overdue = now - job.waiting_since >= self.policy.overdue_after
                is_probe = self._is_probing(job, now)
                if is_probe and job.placed:
                    continue
                is_urgent = job.latest_start is not None and job.latest_start <= now
                bars = excluded_machines.get(job.id, {})
                jobs.append(job_view(job, self.machines, room * 64, overdue, bars, is_probe, is_urgent))
            return Snapshot(jobs, machines, self.teams, self.predictor.copy(), now, self.prefers_on_demand)

    @staticmethod
    def _is_probing(job: Job, now: timedelta) -> bool:
        """A job that has failed on several machines and had no task done since was probably submitted with a
        mistake: it fails on every machine until its user cancels it. One task at a time shows how it is; one
        that has run for longer than the pause before it shows that the others may start as well."""
        return job.backoff > timedelta(0) and not any(
            assignment.state == "running"
            and now - (assignment.running_since or assignment.placed_at) > job.backoff
            for assignment in job.placed.values()
        )

    def _collect_excluded_machines(
        self, machine: Machine, excluded_machines: dict[str, dict[int, set[str]]]
    ) -> None:
        """Tasks that wait again, and may not come back here while an older attempt lies here uncleared."""
        for task, _ in [*machine.exited, *machine.unacknowledged_starts]:
            job_id, index = split_task(task)
            job = self.jobs.get(job_id)
            if job is not None and 0 <= index < len(job.task_states) and job.task_states[index] == WAITING:
                excluded_machines.setdefault(job_id, {}).setdefault(index, set()).add(machine.name)

    def apply_plan(self, plan: Plan, now: timedelta) -> int:
        """Takes over a plan as far as it still holds; the starts wait for their record."""
        placed = 0
        started_overdue: dict[str, bool] = {}
        with self.lock:
            for start in plan.placements:
                job, machine = self.jobs.get(start.job), self.machines.get(start.machine)
                if (
                    job is None
                    or machine is None
                    or not job.is_open
                    or not job.released
                    or job.task_states[start.index] != WAITING
                    or not self.is_usable(machine, now)
                ):
                    continue
                attempt = job.attempts.get(start.index, 0) + 1
                job.attempts[start.index] = attempt
                late = started_overdue.setdefault(
                    job.id, now - job.waiting_since >= self.policy.overdue_after
                )
                job.waiting_since = now
                self._mark_task_changed(job, start.index)
                self.pending_start_writes[(job.id, job.ranges.start(start.index))] = None
                self.dispatch_queue[machine.name] = None
                assignment = Attempt(
                    job,
                    start.index,
                    attempt,
                    machine.name,
                    machine.incarnation,
                    job.version(start.index),
                    now,
                    started_overdue=late,
                )
                job.task_states[start.index] = PLACED
                job.placed[start.index] = assignment
                machine.placed[(job.id, start.index)] = assignment
                machine.planning_view = machine.reconciled_tasks = None
                machine.idle_since = None
                claim = machine.reserved_capacity.get(job.id)
                if claim is not None:
                    machine.reserved_capacity[job.id] = (claim[0] - 1, claim[1])
                placed += 1
            if placed:
                self.latest_start = now
            for stop in plan.preemptions:
                machine = self.machines.get(stop.machine)
                if machine is None:
                    continue
                stopping = machine.placed.get((stop.job, stop.index))
                if stopping is not None and stopping.stop_reason is None:
                    self._stop_attempt(
                        stopping, f"room for {stop.beneficiary}", grace_period_s(stopping.job.spec)
                    )
                    log.info(
                        "stopping task=%s machine=%s reason=%s",
                        stopping.task,
                        machine.name,
                        stopping.stop_reason,
                    )
            for name, claimant, count in plan.reserved_capacity:
                machine = self.machines.get(name)
                if machine is not None:
                    machine.reserved_capacity[claimant] = (count, now + self.policy.lease)
        return placed
