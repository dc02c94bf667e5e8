"""Compares heartbeats with the placed attempts, updates the cluster state and selects the responses.

A placed task returns to waiting only on proof that its attempt is no longer on the machine. Silence proves
nothing. The proof is one of:
- a heartbeat of the same incarnation under a token of this leader, newer than the last one, that shows the
  attempt exited, or does not list it while no start of it can be in flight
- a heartbeat of a newer incarnation
- the cloud's statement that the machine is terminated
"""

import logging
from datetime import timedelta

from spindleglade.leadership.term import last_token_of_term
from spindleglade.workers.attempt_outcomes import AttemptOutcomes
from spindleglade.workers.attempts import Attempt, AttemptKey, EndReason, StopReason
from spindleglade.workers.cluster_data import ClusterData
from spindleglade.workers.command_selection import CommandSelection
from spindleglade.workers.errors import StaleTokenError
from spindleglade.workers.jobs import grace_period_s
from spindleglade.workers.machines import Machine
from spindleglade.workers.messages import Command, Heartbeat, HeartbeatResponse, TaskStatus
from spindleglade.workers.state_changes import StateChanges

log = logging.getLogger("spindleglade.workers")

# A machine counts as unreachable once it has not executed this many starts of an attempt.
MAX_LOST_STARTS = 2


class HeartbeatReconciliation:
    """Applies heartbeats to the cluster state and selects the responses. Called with the lock held."""

    def __init__(
        self,
        data: ClusterData,
        changes: StateChanges,
        commands: CommandSelection,
        outcomes: AttemptOutcomes,
    ) -> None:
        self._data = data
        self._changes = changes
        self._commands = commands
        self._outcomes = outcomes

    def on_heartbeat(
        self, heartbeat: Heartbeat, now: timedelta, renews_lease: bool
    ) -> HeartbeatResponse | None:
        """Applies a heartbeat. Returns the response, or None if the machine is terminated or its lease must
        expire.

        `renews_lease` is true if the worker sent the heartbeat in a request of its own: the response
        renews the worker's lease and may carry commands. It is false for a status that the leader requested,
        and while the leader may not renew leases.
        """
        last_token = last_token_of_term(self._data.token)
        if heartbeat.token > last_token:
            raise StaleTokenError(heartbeat.machine, heartbeat.token, last_token)
        if heartbeat.machine in self._data.terminated:
            return None
        machine = self._data.machines.get(heartbeat.machine)
        if machine is None:
            machine = self._add_machine(heartbeat, now)
        if (heartbeat.incarnation, heartbeat.sequence) <= (machine.incarnation, machine.sequence):
            # A late copy, or overtaken by a newer heartbeat: it does not show the present state of the
            # machine and its tasks. It is answered all the same: the worker drops a response that it does not
            # wait for.
            is_withheld = bool(machine.unacknowledged_starts_of_cancelled_jobs())
            return None if is_withheld else self._respond(machine, [])
        self._observe_arrival(machine, heartbeat, now, renews_lease)
        if renews_lease and self._is_unchanged(machine, heartbeat):
            machine.sequence, machine.last_response_at = heartbeat.sequence, now
            return self._respond(machine, [])
        self._apply_heartbeat(machine, heartbeat, now, renews_lease)
        if not renews_lease:
            return self._respond(machine, [])
        return self._select_response(machine, heartbeat, now)

    def _respond(self, machine: Machine, commands: list[Command]) -> HeartbeatResponse:
        return HeartbeatResponse(self._data.message_token(machine), commands)

    def _add_machine(self, heartbeat: Heartbeat, now: timedelta) -> Machine:
        machine = Machine(
            heartbeat.machine,
            heartbeat.address,
            heartbeat.type,
            heartbeat.zone,
            heartbeat.spot,
            last_own_heartbeat_at=now,
        )
        self._data.machines[heartbeat.machine] = machine
        log.info(
            "machine registered machine=%s type=%s zone=%s spot=%s",
            heartbeat.machine,
            heartbeat.type,
            heartbeat.zone,
            heartbeat.spot,
        )
        return machine

    def _observe_arrival(
        self, machine: Machine, heartbeat: Heartbeat, now: timedelta, renews_lease: bool
    ) -> None:
        """Records that the machine is alive, whatever the heartbeat lists."""
        self._data.last_heartbeat_at = machine.last_heartbeat_at = now
        if renews_lease:
            machine.last_own_heartbeat_at = now
        machine.unanswered_since = None
        policy = self._data.policy
        if (
            machine.unreachable_since is not None
            and heartbeat.incarnation == machine.incarnation
            and now - machine.unreachable_since > policy.lease + policy.heartbeat_interval
        ):
            # If no response had reached the machine since then, its lease would have expired.
            machine.unreachable_since = None

    def _is_unchanged(self, machine: Machine, heartbeat: Heartbeat) -> bool:
        """Whether the heartbeat repeats the previous one and no command is pending, as is usual."""
        return (
            machine.reconciled_tasks is not None
            and heartbeat.incarnation == machine.incarnation
            and heartbeat.token >= self._data.token
            and heartbeat.warning_s is None
            and heartbeat.tasks == machine.reconciled_tasks
        )

    def _select_response(
        self, machine: Machine, heartbeat: Heartbeat, now: timedelta
    ) -> HeartbeatResponse | None:
        if machine.unacknowledged_starts_of_cancelled_jobs():
            # Only the end of the incarnation invalidates such a start. If the lease were renewed until the
            # cloud terminates the machine, a start delayed by a minute would run a cancelled task.
            return None
        machine.last_response_at = now
        commands = self._commands.commands_for(machine, heartbeat.sequence)
        if not commands and heartbeat.token >= self._data.token and self._is_reconciled(machine):
            machine.reconciled_tasks = heartbeat.tasks
        return self._respond(machine, commands)

    @staticmethod
    def _is_reconciled(machine: Machine) -> bool:
        """Whether the latest heartbeat lists exactly the placed attempts, and nothing is pending."""
        return (
            machine.acknowledged_token
            and machine.terminates_at is None
            and len(machine.tasks) == len(machine.placed)
            and not (machine.unexpected_attempts or machine.exited or machine.unacknowledged_starts)
            and all(
                attempt.is_confirmed
                and attempt.stop_reason is None
                and attempt.incarnation == machine.incarnation
                for attempt in machine.placed.values()
            )
        )

    def _apply_heartbeat(
        self, machine: Machine, heartbeat: Heartbeat, now: timedelta, renews_lease: bool
    ) -> None:
        if heartbeat.incarnation > machine.incarnation:
            self._begin_incarnation(machine, heartbeat.incarnation, now)
        # A worker that has a token of this leader no longer executes commands of former leaders.
        has_current_token = heartbeat.token >= self._data.token
        self._update_machine(machine, heartbeat, has_current_token)
        self._observe_termination_notice(machine, heartbeat.warning_s, now)
        unmatched = {(status.task, status.attempt): status for status in heartbeat.tasks}
        listed = set(unmatched)
        sequence = heartbeat.sequence if renews_lease else None
        self._reconcile_placed(machine, unmatched, sequence, has_current_token, now)
        machine.unexpected_attempts.clear()
        for key in [key for key in machine.exited if key not in listed]:
            # The worker has forgotten the attempt. Its entry in `unacknowledged_starts` stays, since such a
            # start could still arrive.
            del machine.exited[key]
        # While a command of a former leader may still be in flight, unexpected attempts are left alone.
        if has_current_token:
            for key, status in unmatched.items():
                if key not in machine.exited:
                    self._outcomes.on_unexpected_attempt(machine, key, status)
        if machine.placed:
            machine.idle_since = None
        elif machine.idle_since is None:
            machine.idle_since = now

    def _update_machine(self, machine: Machine, heartbeat: Heartbeat, has_current_token: bool) -> None:
        if (
            heartbeat.tasks != machine.tasks
            or machine.acknowledged_token != (machine.acknowledged_token or has_current_token)
            or (heartbeat.warning_s is None) != (machine.terminates_at is None)
        ):
            self._changes.mark_machine_changed(machine)
        machine.reconciled_tasks = None
        machine.address, machine.type = heartbeat.address, heartbeat.type
        machine.zone, machine.spot = heartbeat.zone, heartbeat.spot
        machine.sequence, machine.tasks = heartbeat.sequence, heartbeat.tasks
        if has_current_token:
            machine.acknowledged_token = True

    def _observe_termination_notice(self, machine: Machine, warning_s: float | None, now: timedelta) -> None:
        """Applies the termination notice of a heartbeat: the cloud terminates the machine in `warning_s`
        seconds. None: the heartbeat has no notice, and an earlier notice no longer applies."""
        if warning_s is None:
            machine.terminates_at = None
            return
        if machine.terminates_at is None:
            log.info("machine terminates machine=%s warning_s=%.1f", machine.name, warning_s)
        machine.terminates_at = now + timedelta(seconds=max(0.0, warning_s))
        # Tasks that can save their work do so while the machine still runs. Other tasks may still finish.
        for attempt in machine.placed.values():
            spec = attempt.job.spec
            if attempt.stop_reason is None and spec.checkpoint_s > 0:
                self._changes.stop_attempt(attempt, StopReason.MACHINE_TERMINATES, grace_period_s(spec))

    def _reconcile_placed(
        self,
        machine: Machine,
        unmatched: dict[AttemptKey, TaskStatus],
        sequence: int | None,
        has_current_token: bool,
        now: timedelta,
    ) -> None:
        """Compares the placed attempts with the listed ones, and removes the placed ones from `unmatched`.
        `sequence` is the sequence number of the heartbeat; None if the heartbeat renews no lease."""
        for attempt in list(machine.placed.values()):
            if attempt.incarnation < machine.incarnation:
                self._changes.end_attempt(attempt, EndReason.INCARNATION_ENDED)
                continue
            if attempt.incarnation != machine.incarnation:
                continue
            key = (attempt.task, attempt.attempt)
            status = unmatched.pop(key, None)
            start_sequence = attempt.start_sent_with_sequence
            if sequence is not None and start_sequence is not None and sequence > start_sequence:
                self._observe_start_result(machine, attempt, status is not None, now)
            if status is not None:
                self._outcomes.on_attempt_listed(machine, attempt, status, now)
            elif has_current_token:
                self._outcomes.on_attempt_missing(machine, attempt, key)
            if not attempt.has_ended and (not attempt.is_confirmed or attempt.stop_reason is not None):
                self._data.dispatch_queue[machine.name] = None

    def _observe_start_result(
        self, machine: Machine, attempt: Attempt, is_listed: bool, now: timedelta
    ) -> None:
        """Records whether a start sent in a response was executed. A worker has one heartbeat in flight at a
        time, so it has executed or dropped the response that carried the start by now."""
        attempt.start_sent_with_sequence = None
        if is_listed:
            return
        attempt.lost_starts += 1
        if attempt.lost_starts >= MAX_LOST_STARTS and machine.unreachable_since is None:
            self._changes.mark_unreachable(machine, now, "starts not executed")

    def _begin_incarnation(self, machine: Machine, incarnation: int, now: timedelta) -> None:
        """Applies a newer incarnation: the worker's lease expired, and it killed and forgot all its tasks."""
        self._changes.mark_machine_changed(machine)
        if machine.last_response_at is not None and now - machine.last_response_at < self._data.policy.lease:
            # The leader sent a response less than one lease ago, yet the lease expired.
            self._changes.mark_unreachable(machine, now, "lease expired though heartbeats were answered")
        machine.last_response_at = None
        for attempt in list(machine.placed.values()):
            if attempt.incarnation < incarnation:
                self._changes.end_attempt(attempt, EndReason.INCARNATION_ENDED)
        machine.incarnation, machine.sequence, machine.acknowledged_token = incarnation, -1, False
        machine.exited.clear()
        machine.unacknowledged_starts.clear()
