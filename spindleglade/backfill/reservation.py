"""The head's reservation: when it is expected to start, and what may go before it."""

from datetime import timedelta

import numpy as np

from spindleglade.backfill.arrays import Array, Counts, Mask
from spindleglade.backfill.planning_state import PlanningState
from spindleglade.backfill.probability import Reservation
from spindleglade.backfill.snapshot import CAPACITY_TOLERANCE, JobView, task_rows


class ReservationMixin(PlanningState):
    def _outlook(self) -> tuple[Counts, Array, Array, Array, Array]:
        """All tasks on open machines, those started in this round too: where they are, their rows, when they
        are expected to end, and the possible ends with their weights."""
        parts = [view.task_rows(self.team_codes) for view in self.machines]
        where = np.repeat(np.arange(len(parts)), [len(part) for part in parts])
        if self.placed:
            parts.append(task_rows([task for _, task in self.placed], self.team_codes))
            where = np.concatenate((where, [at for at, _ in self.placed]))
        rows = np.concatenate(parts) if parts else np.zeros((0, 6))
        elapsed = np.nan_to_num(self.now.total_seconds() - rows[:, 2], nan=0.0)
        ends, weights = self.predictor.remaining_of_tasks(
            list(self.team_codes), np.column_stack((rows[:, 0], rows[:, 1], elapsed))
        )
        return where, rows, (ends * weights).sum(axis=1), ends, weights

    def _units(self, job: JobView) -> tuple[Mask, Array, Array, Counts, Counts, Array, Array]:
        """Each machine as a unit for the job: which of its tasks must end for one task of the job to fit,
        soonest first. Returns whether it is a unit at all, after how many seconds it is expected to be one,
        what would then be left over, for the tasks that must end their places and machines, and all ends and
        weights."""
        where, rows, expected, ends, weights = self._outlook()
        need = np.array(job.demand) - CAPACITY_TOLERANCE
        free = self._unreserved_capacity(job)
        order = np.lexsort((expected, where))
        at = where[order]
        freed = np.cumsum(rows[order, 3:], axis=0)
        firsts = np.searchsorted(at, np.arange(len(self.machines) + 1))
        before = np.vstack((np.zeros(3), freed))[firsts[:-1]]
        have = free[at] + freed - before[at]
        enough = np.nonzero((have >= need).all(axis=1))[0]
        ready = np.full(len(self.machines), np.inf)
        left = np.zeros((len(self.machines), 3))
        last = np.full(len(self.machines), -1)
        # The first place on each machine at which enough is free: it is written after the later ones.
        last[at[enough[::-1]]] = enough[::-1]
        some = last >= 0
        ready[some] = expected[order][last[some]]
        left[some] = have[last[some]]
        now = (free >= need).all(axis=1)
        ready[now], left[now], last[now] = 0.0, free[now], -1
        allowed = self._eligible_machines(job)
        unit = allowed & np.isfinite(ready)
        ending = np.arange(len(order)) <= last[at]
        ending &= unit[at]
        return unit, ready, left - need - CAPACITY_TOLERANCE, order[ending], at[ending], ends, weights

    def _reserve(self) -> Reservation:
        """The head's reservation; made only once something asks to go before it."""
        if self.reservation is None:
            assert self.reserved_job is not None
            unit, ready, left, ending, at, ends, weights = self._units(self.reserved_job)
            self.spare = {int(machine): tuple(left[machine]) for machine in np.nonzero(unit)[0]}
            free = int((unit & (ready == 0.0)).sum())
            lacks = max(1, min(self.reserved_task_count, len(self.spare)) - free)
            self.reservation = Reservation(ends[ending], weights[ending], at, lacks)
        return self.reservation

    def _passing(self, job: JobView, at: int, wanted: int, refused: set[tuple]) -> int:
        """How many of the tasks that fit the machine may go before the head. Those that leave it room for the
        head's task take no unit and delay nothing; the first that does not is asked for by Algorithm 2, for
        all alike."""
        reservation = self._reserve()
        spare = self.spare.get(at)
        if spare is None:
            return wanted
        count = min(wanted, job.count_fitting(*spare))
        if count < wanted and job.equivalence_key() not in refused:
            self.plan.delay_checks += 1
            ends, weights = self.predictor.remaining(job.team, job.estimate, timedelta(0))
            if reservation.delay_probability(ends, weights, self.units_taken + 1) < self.tau:
                self.units_taken += 1
                del self.spare[at]
                return wanted
            refused.add(job.equivalence_key())
        if count:
            self.spare[at] = (
                spare[0] - job.cpus * count,
                spare[1] - job.gpus * count,
                spare[2] - job.memory * count,
            )
        return count

    def _hold(self, job: JobView, rest: int) -> None:
        """Holds room that frees for an overdue job, so that nothing small slips in before enough is free in
        one place: what it has already, and more on the machines that will have room soonest. On a sixteenth
        of the machines at most: they stand half empty meanwhile, and the others must get on as well."""
        held = 0
        for at in self.columns.reserved:
            count = self.machines[at].reserved_capacity.get(job.id, 0)
            if count > 0:
                self.plan.reserved_capacity.append((self.machines[at].name, job.id, count))
                held += count
        more = min(rest - held, max(1, len(self.machines) // 16) - len(self.columns.reserved))
        if more <= 0:
            return
        unit, ready, *_ = self._units(job)
        ready = np.where(unit, ready, np.inf)
        for at in np.argsort(ready, kind="stable")[:more]:
            if not np.isfinite(ready[at]):
                break
            if self.machines[at].reserved_capacity:
                continue
            self.machines[at].reserved_capacity[job.id] = 1
            self.columns.reserved.append(int(at))
            self.plan.reserved_capacity.append((self.machines[at].name, job.id, 1))

    def _outranks(self, job: JobView) -> bool:
        """Whether the job might stop a task of the head by the protocol's rules; then holding it back behind
        the head would only make it do so later, at the price of the work lost."""
        assert self.reserved_job is not None
        if job.rank > self.reserved_job.rank:
            return True
        return (
            job.team != self.reserved_job.team
            and self._is_within(job, guarantee=True)
            and not self._is_within(self.reserved_job, guarantee=True)
        )
