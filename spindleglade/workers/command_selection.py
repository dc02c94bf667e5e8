"""Selects the commands that each machine is sent, and tracks whether they reach it.

Commands are sent in the response to a heartbeat, or directly in a message of their own.
"""

from collections.abc import Iterable
from datetime import timedelta
from enum import Enum, auto
from typing import NamedTuple

from spindleglade.workers.attempts import FETCHING, RUNNING, SAVING, Attempt
from spindleglade.workers.cluster_data import ClusterData
from spindleglade.workers.machines import Machine, MachineReachability
from spindleglade.workers.messages import Command, CommandBatch, Operation, split_task
from spindleglade.workers.state_changes import StateChanges

# Keeps a message below the limit of 64 KiB per line; a task's name may take 100 bytes.
MAX_COMMANDS_PER_MESSAGE = 400

# Looked up once: access to a member of an enumeration is slow in Python 3.11, and every attempt needs these.
_START, _STOP, _FORGET = Operation.START, Operation.STOP, Operation.FORGET


class DeliveryOutcome(Enum):
    """The outcome of sending commands directly to a machine."""

    # The machine accepted or rejected the commands.
    ANSWERED = auto()
    # This controller had no free connection, which says nothing about the machine's reachability.
    NOT_SENT = auto()
    # No connection to the machine could be opened.
    UNREACHABLE = auto()
    # No conclusive response came: the machine may still execute the commands, even minutes later.
    UNKNOWN = auto()


class DirectCommands(NamedTuple):
    """A message with commands to send directly to a machine."""

    machine: Machine
    batch: CommandBatch


class CommandSelection:
    """Selects commands for machines and records whether they were delivered. Called with the lock held."""

    def __init__(self, data: ClusterData, changes: StateChanges) -> None:
        self._data = data
        self._changes = changes

    def commands_for(self, machine: Machine, sequence: int | None, starts: bool = True) -> list[Command]:
        """Returns the commands to send to the machine now, and records the starts among them as in flight.

        `sequence` is the sequence number of the heartbeat that is answered; None for a direct message. A
        start that is already in flight, in a response or in a direct message, is not selected again. If
        `starts` is false, no starts are selected.
        """
        # A message that is in flight would be rejected if the token was raised before it arrives.
        may_raise_token = sequence is not None and not machine.command_in_flight
        commands = self._pending_commands(machine, may_raise_token)
        if not starts:
            return commands
        for attempt in machine.placed.values():
            if len(commands) >= MAX_COMMANDS_PER_MESSAGE:
                break
            if not self._may_start(machine, attempt):
                continue
            commands.append(Command(_START, attempt.task, attempt.attempt))
            if sequence is None:
                attempt.starts_in_flight += 1
                attempt.direct_start_token = self._data.message_token(machine)
            else:
                attempt.start_sent_with_sequence = sequence
        return commands

    def _pending_commands(self, machine: Machine, may_raise_token: bool) -> list[Command]:
        """Commands to forget and to stop attempts. What exceeds one message is selected the next time."""
        commands: list[Command] = []
        if machine.acknowledged_token:
            commands += self._forget_exited(machine, may_raise_token)
            commands += self._stop_unexpected(machine)
        for attempt in machine.placed.values():
            if (
                attempt.incarnation == machine.incarnation
                and attempt.stop_reason is not None
                and attempt.is_confirmed
                and not (attempt.state == SAVING and attempt.grace_period_s > 0)
            ):
                commands.append(Command(_STOP, attempt.task, attempt.attempt, attempt.grace_period_s))
        return commands[:MAX_COMMANDS_PER_MESSAGE]

    def _forget_exited(self, machine: Machine, may_raise_token: bool) -> list[Command]:
        """Commands to forget the exited attempts that are recorded.

        After the worker forgets an attempt, a late copy of its start would run the task again. The command is
        therefore sent under a higher token than the start, so that the worker rejects the copy. The token is
        raised for that if `may_raise_token` is true, otherwise the command has to wait.
        """
        recorded = {
            key: exited
            for key, exited in machine.exited.items()
            if exited.is_recorded and key not in machine.unacknowledged_starts
        }
        start_tokens = [exited.start_token for exited in recorded.values() if exited.start_token is not None]
        if may_raise_token and max(start_tokens, default=0) >= self._data.message_token(machine):
            machine.token_raises += 1
        token = self._data.message_token(machine)
        return [
            Command(_FORGET, task, attempt)
            for (task, attempt), exited in recorded.items()
            if exited.start_token is None or exited.start_token < token
        ]

    @staticmethod
    def _stop_unexpected(machine: Machine) -> list[Command]:
        return [
            Command(_STOP, task, attempt, 0.0)
            for (task, attempt), state in machine.unexpected_attempts.items()
            if state != SAVING
        ]

    @staticmethod
    def _may_start(machine: Machine, attempt: Attempt) -> bool:
        return (
            machine.acknowledged_token
            and not machine.terminating
            and attempt.incarnation == machine.incarnation
            and attempt.stop_reason is None
            and not attempt.is_confirmed
            and not attempt.starts_in_flight
            and attempt.start_sent_with_sequence is None
            and attempt.is_recorded
            and attempt.job.is_open
            and attempt.job.released
        )

    def take_direct_commands(self, starts: bool) -> list[DirectCommands]:
        """Returns the commands that cannot wait for the next heartbeat, and marks them as in flight. If
        `starts` is false, no starts are selected, because their jobs may have been cancelled without this
        leader's knowledge. Stops are always safe to send."""
        selected = []
        queue = self._data.dispatch_queue
        names = list(queue)
        queue.clear()
        for name in names:
            machine = self._data.machines.get(name)
            if machine is None or not self._accepts_direct_commands(machine):
                continue
            if not any(self._needs_direct_command(machine, attempt) for attempt in machine.placed.values()):
                continue
            commands = self.commands_for(machine, None, starts)
            if not starts:
                # The withheld starts are selected once this leader knows of all cancellations.
                queue[name] = None
            if commands:
                machine.command_in_flight, machine.reconciled_tasks = True, None
                token = self._data.message_token(machine)
                selected.append(DirectCommands(machine, CommandBatch(token, machine.incarnation, commands)))
        return selected

    @staticmethod
    def _accepts_direct_commands(machine: Machine) -> bool:
        return (
            not machine.command_in_flight
            and not machine.terminating
            and machine.unreachable_since is None
            and bool(machine.address)
            and machine.acknowledged_token
        )

    def _needs_direct_command(self, machine: Machine, attempt: Attempt) -> bool:
        if attempt.incarnation != machine.incarnation:
            return False
        if attempt.stop_reason is not None:
            return attempt.is_confirmed and attempt.state in (RUNNING, FETCHING)
        key = (attempt.task, attempt.attempt)
        return key not in machine.unacknowledged_starts and self._may_start(machine, attempt)

    def on_commands_sent(
        self, machine: Machine, commands: Iterable[Command], outcome: DeliveryOutcome, now: timedelta
    ) -> None:
        """Records the outcome of direct commands."""
        machine.command_in_flight = False
        self._data.dispatch_queue[machine.name] = None
        if outcome in (DeliveryOutcome.UNKNOWN, DeliveryOutcome.UNREACHABLE):
            machine.last_command_unanswered_at = now
            self._changes.mark_unreachable(machine, now, "commands unanswered")
        for command in commands:
            if command.operation != _START:
                continue
            if outcome is DeliveryOutcome.UNKNOWN:
                machine.unacknowledged_starts[(command.task, command.attempt)] = now
            attempt = machine.placed.get(split_task(command.task))
            if attempt is not None and attempt.attempt == command.attempt:
                attempt.starts_in_flight = 0

    def on_machine_reached(self, machine: Machine, now: timedelta) -> None:
        """Records that a message has reached the machine, since it responded."""
        machine.unreachable_since = None
        machine.last_command_answered_at = now
        self._data.dispatch_queue[machine.name] = None

    def reachability(self, now: timedelta) -> MachineReachability:
        """Groups the machines with recent heartbeats by the outcome of the latest direct message to them."""
        window = self._data.policy.lease / 2
        groups = MachineReachability([], [], [])
        for machine in self._data.machines.values():
            if not machine.address or not self._data.policy.is_recent(machine.last_heartbeat_at, now):
                continue
            answered_at, unanswered_at = machine.last_command_answered_at, machine.last_command_unanswered_at
            if (
                unanswered_at is not None
                and now - unanswered_at <= window
                and (answered_at is None or answered_at < unanswered_at)
            ):
                groups.unanswered.append(machine)
            elif answered_at is not None and now - answered_at <= window:
                groups.answered.append(machine)
            else:
                groups.untried.append(machine)
        return groups
