"""What workers are told, with the answer to a report or straight, and whether it reaches them."""

from collections.abc import Iterable
from datetime import timedelta

from spindleglade.workers.attempts import MOST_ORDERS, Assignment, Machine
from spindleglade.workers.cluster_base import ClusterBase
from spindleglade.workers.messages import Order, split_task


class Orders(ClusterBase):
    def _orders(
        self, machine: Machine, now: timedelta, tally: int | None, starts: bool = True
    ) -> list[Order]:
        """What to tell the machine now. `tally` is that of the report being answered, None for a message of
        our own; starts already under way one way are not sent another."""
        orders = self._pending_orders(machine)
        if not starts:
            return orders
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
            for (task, attempt), exited in machine.exited.items():
                # After `clear` a start that lands late would start the task again.
                if exited.recorded and not exited.kept and (task, attempt) not in machine.unsure:
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
            and assignment.job.released
        )

    def to_send(self, now: timedelta, starts: bool = True) -> list[tuple[Machine, int, list[Order]]]:
        """Orders to send straight to machines: those that bear no waiting for the next report. Without
        `starts` no task is started: its job may be cancelled by now, and this leader not know. Stops do no
        harm at any time."""
        found = []
        with self.lock:
            due, self.due = self.due, {}
            for name in due:
                machine = self.machines.get(name)
                if (
                    machine is None
                    or machine.sending
                    or machine.releasing
                    or machine.not_receiving is not None
                    or not machine.address
                    or not machine.proven
                    or not any(self._pressing(machine, assignment) for assignment in machine.placed.values())
                ):
                    continue
                orders = self._orders(machine, now, None, starts)
                if not starts:
                    # What is withheld is looked at again once this leader knows enough.
                    self.due[name] = None
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
                self._not_receiving(machine, now, "does not answer orders")
            for order in orders:
                if order.verb != "start":
                    continue
                if unsure:
                    machine.unsure[(order.task, order.attempt)] = now
                job_id, index = split_task(order.task)
                assignment = machine.placed.get((job_id, index))
                if assignment is not None and assignment.attempt == order.attempt:
                    assignment.sending = 0

    def hears(self, machine: Machine, now: timedelta) -> None:
        """A message has reached the machine: it answered one, or did what one said."""
        with self.lock:
            machine.not_receiving = None
            machine.reached = now
            self.due[machine.name] = None

    def contacts(self, now: timedelta) -> tuple[list[Machine], list[Machine], list[Machine]]:
        """The machines heard of late, by what became of the latest message straight to them: unanswered,
        answered, and those that got none of late."""
        window = self.rules.lease / 2
        unanswered, answered, untried = [], [], []
        with self.lock:
            for machine in self.machines.values():
                if not machine.address or not self._lately(machine.heard, now):
                    continue
                failed = machine.unreached is not None and now - machine.unreached <= window
                worked = machine.reached is not None and now - machine.reached <= window
                if failed and (machine.reached is None or machine.reached < machine.unreached):
                    unanswered.append(machine)
                else:
                    (answered if worked else untried).append(machine)
        return unanswered, answered, untried
