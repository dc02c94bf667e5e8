"""Builds the snapshots of the cluster state that planning passes work on, and applies their plans."""

import logging
from datetime import timedelta

from spindleglade.backfill.plan import Placement, Plan, Preemption
from spindleglade.backfill.snapshot import JobView, MachineView, Snapshot
from spindleglade.submissions.messages import JobKind
from spindleglade.workers.attempts import RUNNING, Attempt, preemption_reason
from spindleglade.workers.cluster_data import ClusterData
from spindleglade.workers.jobs import PLACED, WAITING, Job, grace_period_s
from spindleglade.workers.machine_usability import MachineUsability
from spindleglade.workers.machines import Machine, MachineTypeCapacity, ReservedCapacity
from spindleglade.workers.messages import split_task
from spindleglade.workers.state_changes import StateChanges
from spindleglade.workers.views import UNKNOWN_TYPE_CAPACITY, JobCircumstances, job_view, machine_view
from spindleglade.workers.write_batch import TaskRangeId

log = logging.getLogger("spindleglade.workers")

# Limits the waiting tasks of a job that a planning pass is offered to about as many as fill the CPUs of this
# number of machines of the largest type. A gang is always offered whole.
MAX_MACHINES_FILLED_PER_PASS = 64

# The names of the machines that a waiting task must not be placed on, by job ID and task number.
ExcludedMachines = dict[str, dict[int, set[str]]]


class PlanningBridge:
    """Connects the cluster state with planning. Called with the lock held."""

    def __init__(self, data: ClusterData, changes: StateChanges, usability: MachineUsability) -> None:
        self._data = data
        self._changes = changes
        self._usability = usability

    def set_machine_types(self, machine_types: dict[str, MachineTypeCapacity]) -> None:
        """Sets the capacities of the machine types. The planning views of all machines are built again,
        because the view of a machine that registered before its type was known has no capacity."""
        if machine_types == self._data.machine_types:
            return
        self._data.machine_types = machine_types
        self._data.change_count += 1
        for machine in self._data.machines.values():
            machine.planning_view = None

    def snapshot(self, now: timedelta) -> Snapshot:
        """Returns all machines, and the jobs with tasks that may be placed, in the order of submission."""
        data = self._data
        excluded: ExcludedMachines = {}
        machines = []
        for machine in data.machines.values():
            machines.append(self._machine_view(machine, now))
            if machine.exited or machine.unacknowledged_starts:
                self._collect_excluded_machines(machine, excluded)
        jobs = self._job_views(excluded, now)
        return Snapshot(jobs, machines, data.teams, data.predictor.copy(), now, data.prefers_on_demand)

    def _machine_view(self, machine: Machine, now: timedelta) -> MachineView:
        view = machine.planning_view
        if view is None:
            capacity = self._data.machine_types.get(machine.type, UNKNOWN_TYPE_CAPACITY)
            view = machine.planning_view = machine_view(machine, capacity)
        view.is_usable = self._usability.unusable_reason(machine, now) is None
        view.reserved_capacity = {
            job: reserved.task_count
            for job, reserved in machine.reserved_capacity.items()
            if reserved.until > now and reserved.task_count > 0
        }
        return view

    def _job_views(self, excluded: ExcludedMachines, now: timedelta) -> list[JobView]:
        largest_cpus = max((capacity.cpus for capacity in self._data.machine_types.values()), default=0.0)
        max_cpus = largest_cpus * MAX_MACHINES_FILLED_PER_PASS
        views = []
        for job in sorted(self._data.jobs.values(), key=lambda job: job.submission_revision):
            if not self._is_candidate(job, now):
                continue
            is_probe = self._is_probing(job, now)
            if is_probe and job.placed:
                continue
            circumstances = JobCircumstances(
                max_cpus,
                now - job.waiting_since >= self._data.policy.overdue_after,
                job.avoided_machines(now),
                excluded.get(job.id, {}),
                is_probe,
                job.latest_start is not None and job.latest_start <= now,
            )
            views.append(job_view(job, self._data.machines, circumstances))
        return views

    @staticmethod
    def _is_candidate(job: Job, now: timedelta) -> bool:
        """Whether a task of the job may be placed. A gang starts again once all its tasks have ended."""
        return (
            job.released
            and job.is_open
            and job.paused_until <= now
            and job.done_count + len(job.placed) < len(job.task_states)
            and not (job.placed and job.spec.kind == JobKind.GANG)
        )

    @staticmethod
    def _is_probing(job: Job, now: timedelta) -> bool:
        """Whether only one task of the job may run at a time. A job that has failed on several machines and
        has had no task done since then probably contains an error, and fails on every machine until its user
        cancels it, so its tasks are tried one at a time. Once such a task has run for longer than the pause
        before it, the other tasks may start as well."""
        return job.backoff > timedelta(0) and not any(
            attempt.state == RUNNING and now - (attempt.running_since or attempt.placed_at) > job.backoff
            for attempt in job.placed.values()
        )

    def _collect_excluded_machines(self, machine: Machine, excluded: ExcludedMachines) -> None:
        """Excludes the machine for each waiting task with an earlier attempt that the machine has not
        forgotten yet, or with an earlier start that may still arrive there."""
        for task, _ in [*machine.exited, *machine.unacknowledged_starts]:
            job_id, index = split_task(task)
            job = self._data.jobs.get(job_id)
            if job is not None and 0 <= index < len(job.task_states) and job.task_states[index] == WAITING:
                excluded.setdefault(job_id, {}).setdefault(index, set()).add(machine.name)

    def apply_plan(self, plan: Plan, now: timedelta) -> int:
        """Applies those parts of a plan that are still valid, and returns the number of placements. The start
        of a placed task is sent once its placement is committed to the store."""
        count = self._apply_placements(plan.placements, now)
        if count:
            self._data.latest_start = now
        for preemption in plan.preemptions:
            self._apply_preemption(preemption)
        for name, job_id, task_count in plan.reserved_capacity:
            machine = self._data.machines.get(name)
            if machine is not None:
                until = now + self._data.policy.lease
                machine.reserved_capacity[job_id] = ReservedCapacity(task_count, until)
        return count

    def _apply_placements(self, placements: list[Placement], now: timedelta) -> int:
        count = 0
        # Whether each job was overdue before its first placement in this plan, by job ID.
        overdue: dict[str, bool] = {}
        for placement in placements:
            job = self._data.jobs.get(placement.job)
            machine = self._data.machines.get(placement.machine)
            if (
                job is None
                or machine is None
                or not job.is_open
                or not job.released
                or job.task_states[placement.index] != WAITING
                or self._usability.unusable_reason(machine, now) is not None
            ):
                continue
            started_overdue = overdue.setdefault(
                job.id, now - job.waiting_since >= self._data.policy.overdue_after
            )
            self._place(job, machine, placement.index, started_overdue, now)
            count += 1
        return count

    def _place(self, job: Job, machine: Machine, index: int, started_overdue: bool, now: timedelta) -> None:
        number = job.attempts.get(index, 0) + 1
        job.attempts[index] = number
        job.waiting_since = now
        self._changes.mark_task_changed(job, index)
        self._data.pending_start_writes[TaskRangeId(job.id, job.ranges.start(index))] = None
        self._data.dispatch_queue[machine.name] = None
        attempt = Attempt(
            job,
            index,
            number,
            machine.name,
            machine.incarnation,
            job.version(index),
            now,
            started_overdue=started_overdue,
        )
        job.task_states[index] = PLACED
        job.placed[index] = attempt
        machine.placed[(job.id, index)] = attempt
        machine.planning_view = machine.reconciled_tasks = None
        machine.idle_since = None
        reserved = machine.reserved_capacity.get(job.id)
        if reserved is not None:
            machine.reserved_capacity[job.id] = reserved._replace(task_count=reserved.task_count - 1)

    def _apply_preemption(self, preemption: Preemption) -> None:
        machine = self._data.machines.get(preemption.machine)
        if machine is None:
            return
        attempt = machine.placed.get((preemption.job, preemption.index))
        if attempt is None or attempt.stop_reason is not None:
            return
        reason = preemption_reason(preemption.beneficiary)
        self._changes.stop_attempt(attempt, reason, grace_period_s(attempt.job.spec))
        log.info("attempt preempted task=%s machine=%s reason=%s", attempt.task, machine.name, reason)
