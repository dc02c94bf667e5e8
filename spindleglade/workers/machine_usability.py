"""Determines whether tasks may be started on a machine, and why waiting tasks are not started."""

from collections import Counter
from datetime import timedelta

from spindleglade.workers.cluster_data import ClusterData
from spindleglade.workers.jobs import Job
from spindleglade.workers.machines import Machine
from spindleglade.workers.reasons import MachineUnusableReason, PendingReason, SchedulingStall


class MachineUsability:
    """Evaluates machines and waiting jobs without changing them. Called with the lock held."""

    def __init__(self, data: ClusterData) -> None:
        self._data = data

    def unusable_reason(self, machine: Machine, now: timedelta) -> MachineUnusableReason | None:
        """Why no task may be started on the machine; None if tasks may be started."""
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
        elif machine.type not in self._data.machine_types:
            reason = MachineUnusableReason.TYPE_UNKNOWN
        elif not self._data.policy.is_recent(machine.last_heartbeat_at, now):
            reason = MachineUnusableReason.SILENT
        elif not self._is_lease_renewed(machine, now):
            reason = MachineUnusableReason.LEASE_NOT_RENEWED
        elif now < machine.refuses_starts_until:
            reason = MachineUnusableReason.REFUSED_START
        return reason

    def _is_lease_renewed(self, machine: Machine, now: timedelta) -> bool:
        """Whether the worker's lease was renewed recently. A heartbeat in response to a status request does
        not renew it: a machine that reaches no controller itself loses all its tasks when its lease expires,
        and would lose newly started ones in the same way."""
        started_at = self._data.started_at
        renewed_at = max(
            machine.last_own_heartbeat_at or started_at, machine.renewed_by_peer_at or started_at
        )
        return self._data.policy.is_recent(renewed_at, now)

    def scheduling_stall(self, now: timedelta) -> SchedulingStall | None:
        """Why waiting tasks are not started, for the log; None if no job has waiting tasks."""
        used = self._used_by_team()
        pending = Counter(
            self._pending_reason(job, used, now)
            for job in self._data.jobs.values()
            if job.is_open and job.done_count + len(job.placed) < len(job.task_states)
        )
        if not pending:
            return None
        reasons = [self.unusable_reason(machine, now) for machine in self._data.machines.values()]
        return SchedulingStall(pending, reasons.count(None), Counter(filter(None, reasons)))

    def _used_by_team(self) -> dict[str, tuple[float, float]]:
        """The CPUs and GPUs that the placed tasks of each team use."""
        used: dict[str, tuple[float, float]] = {}
        for job in self._data.jobs.values():
            cpus, gpus = used.get(job.spec.team, (0.0, 0.0))
            count = len(job.placed)
            used[job.spec.team] = (cpus + job.spec.cpus * count, gpus + job.spec.gpus * count)
        return used

    def _pending_reason(
        self, job: Job, used: dict[str, tuple[float, float]], now: timedelta
    ) -> PendingReason:
        if not job.released:
            return PendingReason.DEPENDENCIES
        if job.paused_until > now:
            return PendingReason.PAUSED
        cpus, gpus = used[job.spec.team]
        team = self._data.teams.get(job.spec.team)
        if team is None or cpus + job.spec.cpus > team.cpus_max or gpus + job.spec.gpus > team.gpus_max:
            return PendingReason.TEAM_LIMIT
        return PendingReason.NO_CAPACITY
