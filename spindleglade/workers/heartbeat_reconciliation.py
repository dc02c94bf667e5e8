"""Heartbeats: what they say of machines and tasks is compared with what is placed, and answered.

How a task comes to be taken off a machine is the heart of it. Silence proves nothing. Proof is: a heartbeat
of the same incarnation under this leader's own token, newer than the last, that lacks the attempt while no
start of it can be under way, or shows it exited; a newer incarnation; the cloud's word that the machine is
terminated. Only then does a task wait again.
"""

import logging
from datetime import timedelta

from spindleglade.workers.attempt_outcomes import AttemptOutcomes
from spindleglade.workers.attempts import Attempt, AttemptKey, EndReason, StopReason
from spindleglade.workers.cluster_data import ClusterData
from spindleglade.workers.command_selection import CommandSelection
from spindleglade.workers.errors import StaleTokenError
from spindleglade.workers.jobs import grace_period_s
from spindleglade.workers.machines import Machine
from spindleglade.workers.messages import Command, Heartbeat, TaskStatus
from spindleglade.workers.state_changes import StateChanges

log = logging.getLogger("spindleglade.workers")

# A machine that did not execute so many starts is taken to be unreachable.
MAX_LOST_STARTS = 2


class HeartbeatReconciliation:
    """Takes heartbeats into the cluster state and answers them. Called with the lock held."""

    def __init__(self, data: ClusterData, changes: StateChanges, commands: CommandSelection) -> None:
        self._data = data
        self._changes = changes
        self._commands = commands
        self._outcomes = AttemptOutcomes(data, changes)

    def on_heartbeat(self, heartbeat: Heartbeat, now: timedelta, renews_lease: bool) -> list[Command] | None:
        """`renews_lease`: the worker sent the heartbeat by its own request and waits for the response, which
        renews its lease and may carry commands; a status that the leader requested does not. Returns the
        commands, or None if the machine is terminated or its lease must run out."""
        if heartbeat.token > self._data.token:
            raise StaleTokenError(heartbeat.machine, heartbeat.token, self._data.token)
        if heartbeat.machine in self._data.terminated:
            return None
        machine = self._data.machines.get(heartbeat.machine)
        if machine is None:
            machine = self._add_machine(heartbeat, now)
        if (heartbeat.incarnation, heartbeat.sequence) <= (machine.incarnation, machine.sequence):
            # A late copy, or overtaken by a newer one: its list is as old as it is, and it says nothing of
            # how the machine is now. Answered all the same: the worker drops a response that it does not
            # wait for.
            return None if machine.unacknowledged_starts_of_cancelled_jobs() else []
        self._observe_arrival(machine, heartbeat, now, renews_lease)
        if renews_lease and self._is_unchanged(machine, heartbeat):
            machine.sequence, machine.last_response_at = heartbeat.sequence, now
            return []
        self._apply_heartbeat(machine, heartbeat, now, renews_lease)
        if not renews_lease:
            return []
        return self._select_response(machine, heartbeat, now)

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
        """The machine lives, whatever the heartbeat says."""
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
            # Its lease would have run out, had no response reached it since.
            machine.unreachable_since = None

    def _is_unchanged(self, machine: Machine, heartbeat: Heartbeat) -> bool:
        """Most heartbeats say what the one before said, and no command is pending."""
        return (
            machine.reconciled_tasks is not None
            and heartbeat.incarnation == machine.incarnation
            and heartbeat.token == self._data.token
            and heartbeat.warning_s is None
            and heartbeat.tasks == machine.reconciled_tasks
        )

    def _select_response(
        self, machine: Machine, heartbeat: Heartbeat, now: timedelta
    ) -> list[Command] | None:
        if machine.unacknowledged_starts_of_cancelled_jobs():
            # Nothing takes such a start back but the end of the incarnation: were the lease renewed until the
            # cloud terminates the machine, a start held up for a minute would run a cancelled task.
            return None
        machine.last_response_at = now
        commands = self._commands.commands_for(machine, heartbeat.sequence)
        if not commands and heartbeat.token == self._data.token and self._is_reconciled(machine):
            machine.reconciled_tasks = heartbeat.tasks
        return commands

    @staticmethod
    def _is_reconciled(machine: Machine) -> bool:
        """Whether its latest heartbeat lists just what is placed there."""
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
        # Under this token, commands of former leaders can no longer be executed.
        is_current = heartbeat.token == self._data.token
        self._update_machine(machine, heartbeat, is_current)
        self._observe_termination_notice(machine, heartbeat.warning_s, now)
        unmatched = {(status.task, status.attempt): status for status in heartbeat.tasks}
        listed = set(unmatched)
        sequence = heartbeat.sequence if renews_lease else None
        self._reconcile_placed(machine, unmatched, sequence, is_current, now)
        machine.unexpected_attempts.clear()
        for key in [key for key in machine.exited if key not in listed]:
            # Forgotten by the worker. An unacknowledged start of it could still arrive, so that entry stays.
            del machine.exited[key]
        # While a command of a former leader may still be under way, attempts that are not placed are let be.
        if is_current:
            for key, status in unmatched.items():
                if key not in machine.exited:
                    self._outcomes.on_unexpected_attempt(machine, key, status)
        if machine.placed:
            machine.idle_since = None
        elif machine.idle_since is None:
            machine.idle_since = now

    def _update_machine(self, machine: Machine, heartbeat: Heartbeat, is_current: bool) -> None:
        if (
            heartbeat.tasks != machine.tasks
            or machine.acknowledged_token != (machine.acknowledged_token or is_current)
            or (heartbeat.warning_s is None) != (machine.terminates_at is None)
        ):
            self._changes.mark_machine_changed(machine)
        machine.reconciled_tasks = None
        machine.address, machine.type = heartbeat.address, heartbeat.type
        machine.zone, machine.spot = heartbeat.zone, heartbeat.spot
        machine.sequence, machine.tasks = heartbeat.sequence, heartbeat.tasks
        if is_current:
            machine.acknowledged_token = True

    def _observe_termination_notice(self, machine: Machine, warning_s: float | None, now: timedelta) -> None:
        """The machine has, or has not, been notified how soon the cloud takes it away."""
        if warning_s is None:
            machine.terminates_at = None
            return
        if machine.terminates_at is None:
            log.info("machine terminates machine=%s warning_s=%.1f", machine.name, warning_s)
        machine.terminates_at = now + timedelta(seconds=max(0.0, warning_s))
        # Tasks that can save do so while the machine still runs; the others may yet finish.
        for attempt in machine.placed.values():
            spec = attempt.job.spec
            if attempt.stop_reason is None and spec.checkpoint_s > 0:
                self._changes.stop_attempt(attempt, StopReason.MACHINE_TERMINATES, grace_period_s(spec))

    def _reconcile_placed(
        self,
        machine: Machine,
        unmatched: dict[AttemptKey, TaskStatus],
        sequence: int | None,
        is_current: bool,
        now: timedelta,
    ) -> None:
        """Compares the placed attempts with those listed, and takes them out of `unmatched`. `sequence` is
        None if the heartbeat renews no lease."""
        for attempt in list(machine.placed.values()):
            if attempt.incarnation < machine.incarnation:
                self._changes.end_attempt(attempt, EndReason.INCARNATION_ENDED)
                continue
            if attempt.incarnation != machine.incarnation:
                continue
            key = (attempt.task, attempt.attempt)
            status = unmatched.pop(key, None)
            sent_with = attempt.start_sent_with_sequence
            if sequence is not None and sent_with is not None and sequence > sent_with:
                self._observe_start_result(machine, attempt, status is not None, now)
            if status is not None:
                self._outcomes.on_attempt_listed(machine, attempt, status, now)
            elif is_current:
                self._outcomes.on_attempt_missing(machine, attempt, key)
            if not attempt.has_ended and (not attempt.is_confirmed or attempt.stop_reason is not None):
                self._data.dispatch_queue[machine.name] = None

    def _observe_start_result(
        self, machine: Machine, attempt: Attempt, is_listed: bool, now: timedelta
    ) -> None:
        """The worker has one heartbeat under way at a time: the response that carried the start has been
        executed or dropped by now."""
        attempt.start_sent_with_sequence = None
        if is_listed:
            return
        attempt.lost_starts += 1
        if attempt.lost_starts >= MAX_LOST_STARTS and machine.unreachable_since is None:
            self._changes.mark_unreachable(machine, now, "starts not executed")

    def _begin_incarnation(self, machine: Machine, incarnation: int, now: timedelta) -> None:
        """The worker's lease expired, and it killed and forgot all its tasks."""
        self._changes.mark_machine_changed(machine)
        if machine.last_response_at is not None and now - machine.last_response_at < self._data.policy.lease:
            # Its heartbeats were answered all the time, yet its lease expired.
            self._changes.mark_unreachable(machine, now, "lease expired though heartbeats were answered")
        machine.last_response_at = None
        for attempt in list(machine.placed.values()):
            if attempt.incarnation < incarnation:
                self._changes.end_attempt(attempt, EndReason.INCARNATION_ENDED)
        machine.incarnation, machine.sequence, machine.acknowledged_token = incarnation, -1, False
        machine.exited.clear()
        machine.unacknowledged_starts.clear()
