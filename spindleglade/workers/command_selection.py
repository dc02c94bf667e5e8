"""What workers are told, with the answer to a report or straight, and whether it reaches them."""

from collections.abc import Iterable
from datetime import timedelta

from spindleglade.workers.attempts import Attempt
from spindleglade.workers.cluster_base import ClusterBase
from spindleglade.workers.machines import Machine
from spindleglade.workers.messages import Command, split_task

# Commands in one message: a line may not be longer than 64 KiB, and a task's name may take a hundred bytes.
MAX_COMMANDS_PER_MESSAGE = 400

# Commands in one message: a line may not be longer than 64 KiB, and a task's name may take a hundred bytes.
MAX_COMMANDS_PER_MESSAGE = 400


class CommandSelection(ClusterBase):
    def _commands_for(
        self, machine: Machine, now: timedelta, sequence: int | None, starts: bool = True
    ) -> list[Command]:
        """What to tell the machine now. `tally` is that of the report being answered, None for a message of
        our own; starts already under way one way are not sent another."""
        orders = self._pending_commands(machine)
        if not starts:
            return orders
        for assignment in machine.placed.values():
            if len(orders) >= MAX_COMMANDS_PER_MESSAGE:
                break
            if not self._may_start(machine, assignment):
                continue
            orders.append(Command("start", assignment.task, assignment.attempt))
            if sequence is None:
                assignment.starts_in_flight += 1
                assignment.started_directly = True
            else:
                assignment.start_sent_with_sequence = sequence
        return orders

    def _pending_commands(self, machine: Machine) -> list[Command]:
        """Clears and stops; what does not fit is told the next time."""
        orders: list[Command] = []
        if machine.acknowledged_token:
            for (task, attempt), exited in machine.exited.items():
                # After `clear` a start that lands late would start the task again.
                if (
                    exited.is_recorded
                    and not exited.never_forget
                    and (task, attempt) not in machine.unacknowledged_starts
                ):
                    orders.append(Command("clear", task, attempt))
            for (task, attempt), state in machine.unexpected_attempts.items():
                if state != "saving":
                    orders.append(Command("stop", task, attempt, 0.0))
        for assignment in machine.placed.values():
            if (
                assignment.incarnation == machine.incarnation
                and assignment.stop_reason is not None
                and assignment.is_confirmed
                and not (assignment.state == "saving" and assignment.grace_period_s > 0)
            ):
                orders.append(Command("stop", assignment.task, assignment.attempt, assignment.grace_period_s))
        return orders[:MAX_COMMANDS_PER_MESSAGE]

    @staticmethod
    def _may_start(machine: Machine, assignment: Attempt) -> bool:
        return (
            machine.acknowledged_token
            and not machine.terminating
            and assignment.incarnation == machine.incarnation
            and assignment.stop_reason is None
            and not assignment.is_confirmed
            and not assignment.starts_in_flight
            and assignment.start_sent_with_sequence is None
            and assignment.is_recorded
            and assignment.job.is_open
            and assignment.job.released
        )

    def take_direct_commands(
        self, now: timedelta, starts: bool = True
    ) -> list[tuple[Machine, int, list[Command]]]:
        """Orders to send straight to machines: those that bear no waiting for the next report. Without
        `starts` no task is started: its job may be cancelled by now, and this leader not know. Stops do no
        harm at any time."""
        found = []
        with self.lock:
            due, self.dispatch_queue = self.dispatch_queue, {}
            for name in due:
                machine = self.machines.get(name)
                if (
                    machine is None
                    or machine.command_in_flight
                    or machine.terminating
                    or machine.unreachable_since is not None
                    or not machine.address
                    or not machine.acknowledged_token
                    or not any(
                        self._needs_direct_command(machine, assignment)
                        for assignment in machine.placed.values()
                    )
                ):
                    continue
                orders = self._commands_for(machine, now, None, starts)
                if not starts:
                    # What is withheld is looked at again once this leader knows enough.
                    self.dispatch_queue[name] = None
                if orders:
                    machine.command_in_flight, machine.reconciled_tasks = True, None
                    found.append((machine, machine.incarnation, orders))
        return found

    def _needs_direct_command(self, machine: Machine, assignment: Attempt) -> bool:
        if assignment.incarnation != machine.incarnation:
            return False
        if assignment.stop_reason is not None:
            return assignment.is_confirmed and assignment.state in ("running", "pulling")
        key = (assignment.task, assignment.attempt)
        return key not in machine.unacknowledged_starts and self._may_start(machine, assignment)

    def on_commands_sent(
        self, machine: Machine, orders: Iterable[Command], unsure: bool, now: timedelta, reached: bool = True
    ) -> None:
        """What became of orders sent straight to a machine: answered or never sent, or else unsure; `reached`
        is false where not even a connection was made."""
        with self.lock:
            machine.command_in_flight = False
            self.dispatch_queue[machine.name] = None
            if unsure or not reached:
                machine.last_command_unanswered_at = now
                self._mark_unreachable(machine, now, "does not answer orders")
            for order in orders:
                if order.operation != "start":
                    continue
                if unsure:
                    machine.unacknowledged_starts[(order.task, order.attempt)] = now
                job_id, index = split_task(order.task)
                assignment = machine.placed.get((job_id, index))
                if assignment is not None and assignment.attempt == order.attempt:
                    assignment.starts_in_flight = 0

    def on_machine_reached(self, machine: Machine, now: timedelta) -> None:
        """A message has reached the machine: it answered one, or did what one said."""
        with self.lock:
            machine.unreachable_since = None
            machine.last_command_answered_at = now
            self.dispatch_queue[machine.name] = None

    def reachability(self, now: timedelta) -> tuple[list[Machine], list[Machine], list[Machine]]:
        """The machines heard of late, by what became of the latest message straight to them: unanswered,
        answered, and those that got none of late."""
        window = self.policy.lease / 2
        unanswered, answered, untried = [], [], []
        with self.lock:
            for machine in self.machines.values():
                if not machine.address or not self._is_recent(machine.last_heartbeat_at, now):
                    continue
                failed = (
                    machine.last_command_unanswered_at is not None
                    and now - machine.last_command_unanswered_at <= window
                )
                worked = (
                    machine.last_command_answered_at is not None
                    and now - machine.last_command_answered_at <= window
                )
                if failed and (
                    machine.last_command_answered_at is None
                    or machine.last_command_answered_at < machine.last_command_unanswered_at
                ):
                    unanswered.append(machine)
                else:
                    (answered if worked else untried).append(machine)
        return unanswered, answered, untried
