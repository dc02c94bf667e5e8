"""The leader's cluster state: jobs, tasks and machines, what is recorded, placed and proven over.

It decides nothing about placement and does no I/O. It takes in records, heartbeats and results, and gives out
three things: task ranges to write, commands to send, snapshots to plan on.
"""

import threading
from collections.abc import Iterable
from datetime import timedelta

from spindleglade.backfill.distributions import Predictor
from spindleglade.backfill.plan import Plan
from spindleglade.backfill.snapshot import Snapshot
from spindleglade.runtime.clock import ZERO
from spindleglade.settings.platform import Team
from spindleglade.submissions.records import JobRecord, TaskRangeRecord
from spindleglade.workers.cluster_data import ClusterData, DataField
from spindleglade.workers.command_selection import CommandSelection, DirectCommands
from spindleglade.workers.heartbeat_reconciliation import HeartbeatReconciliation
from spindleglade.workers.job_updates import JobUpdates
from spindleglade.workers.jobs import ChainMember, Job
from spindleglade.workers.machine_registry import MachineRegistry
from spindleglade.workers.machine_usability import MachineUsability
from spindleglade.workers.machines import Machine, MachineLocation, MachineReachability, MachineTypeCapacity
from spindleglade.workers.messages import Command, Heartbeat
from spindleglade.workers.planning_bridge import PlanningBridge
from spindleglade.workers.policy import WorkerPolicy
from spindleglade.workers.reasons import MachineUnusableReason, SchedulingStall
from spindleglade.workers.state_changes import StateChanges
from spindleglade.workers.state_recovery import StateRecovery
from spindleglade.workers.write_batch import TaskRangeId, WriteBatch
from spindleglade.workers.write_collection import TransactionLimits, WriteCollection
from spindleglade.workers.write_queue import WriteQueue


class ClusterState:
    """The parts of the cluster state as one object. Every method takes the lock for as long as it runs, but
    for `is_usable`, `unusable_reason` and `is_silent`, whose callers hold it; none calls anything outside."""

    token = DataField[int]()
    policy = DataField[WorkerPolicy]()
    teams = DataField[dict[str, Team]]()
    machine_types = DataField[dict[str, MachineTypeCapacity]]()
    last_heartbeat_at = DataField[timedelta]()
    latest_start = DataField[timedelta]()
    teams_with_new_runs = DataField[set[str]]()
    prefers_on_demand = DataField[bool]()
    change_count = DataField[int]()

    def __init__(
        self,
        token: int,
        policy: WorkerPolicy,
        teams: dict[str, Team],
        machine_types: dict[str, MachineTypeCapacity],
        predictor: Predictor,
        now: timedelta,
    ) -> None:
        data = ClusterData(token, policy, teams, machine_types, predictor, now)
        changes = StateChanges(data)
        commands = CommandSelection(data, changes)
        usability = MachineUsability(data)
        self._data = data
        self._changes = changes
        self._commands = commands
        self._usability = usability
        self._heartbeats = HeartbeatReconciliation(data, changes, commands)
        self._machine_registry = MachineRegistry(data, changes)
        self._job_updates = JobUpdates(data, changes)
        self._recovery = StateRecovery(data, changes)
        self._write_queue = WriteQueue(data)
        self._planning = PlanningBridge(data, changes, usability)
        # These objects stay the same for the life of the cluster state; callers hold the lock to use them.
        self.lock: threading.Lock = data.lock
        self.predictor: Predictor = predictor
        self.jobs: dict[str, Job] = data.jobs
        self.machines: dict[str, Machine] = data.machines
        self.terminated: set[str] = data.terminated
        self.pending_writes: dict[TaskRangeId, None] = data.pending_writes
        self.pending_start_writes: dict[TaskRangeId, None] = data.pending_start_writes
        self.oversized_writes: dict[TaskRangeId, int] = data.oversized_writes
        self.dispatch_queue: dict[str, None] = data.dispatch_queue

    # Machines.

    def on_heartbeat(self, heartbeat: Heartbeat, now: timedelta, renews_lease: bool) -> list[Command] | None:
        """Takes in a heartbeat; the commands of its response, or None if it must not be answered."""
        with self.lock:
            return self._heartbeats.on_heartbeat(heartbeat, now, renews_lease)

    def on_machine_terminated(self, name: str, reason: str) -> None:
        """The cloud has said that the machine and all on it are gone."""
        with self.lock:
            self._machine_registry.on_machine_terminated(name, reason)

    def observe_listed_machines(self, locations: Iterable[MachineLocation]) -> None:
        """The cloud's list of running machines."""
        with self.lock:
            self._machine_registry.observe_listed_machines(locations)

    def on_leases_renewed_by_peer(self, names: Iterable[str], now: timedelta) -> None:
        """A peer renews these machines' leases."""
        with self.lock:
            self._machine_registry.on_leases_renewed_by_peer(names, now)

    def is_silent(self, machine: Machine, now: timedelta, limit: timedelta) -> bool:
        """Whether nothing has shown for longer than `limit` that the machine lives."""
        return self._machine_registry.is_silent(machine, now, limit)

    def take_direct_commands(self, starts: bool = True) -> list[DirectCommands]:
        """The commands that cannot wait for the next heartbeat; without `starts` no task is started."""
        with self.lock:
            return self._commands.take_direct_commands(starts)

    def on_commands_sent(
        self,
        machine: Machine,
        commands: Iterable[Command],
        outcome_unknown: bool,
        now: timedelta,
        connected: bool = True,
    ) -> None:
        """Direct commands were answered or never sent, unless their outcome is unknown."""
        with self.lock:
            self._commands.on_commands_sent(machine, commands, outcome_unknown, now, connected)

    def on_machine_reached(self, machine: Machine, now: timedelta) -> None:
        """A message has reached the machine."""
        with self.lock:
            self._commands.on_machine_reached(machine, now)

    def reachability(self, now: timedelta) -> MachineReachability:
        """The machines by the outcome of the latest message sent directly to them."""
        with self.lock:
            return self._commands.reachability(now)

    # Jobs.

    def has_begun(self, job_id: str) -> bool:
        """Whether a task of the job is on a machine, or done."""
        with self.lock:
            job = self.jobs.get(job_id)
            return job is not None and bool(job.placed or job.done)

    def observe_job(
        self, record: JobRecord, mod_revision: int, now: timedelta = ZERO, age: timedelta = ZERO
    ) -> None:
        """A job record, from the first reading or from a later change."""
        with self.lock:
            self._job_updates.observe_job(record, mod_revision, now, age)

    def cancel_through_dependency(self, job_id: str) -> None:
        """A dependency of the job is cancelled, and so is the job."""
        with self.lock:
            self._job_updates.cancel_through_dependency(job_id)

    def release_job(self, job_id: str, now: timedelta, age: timedelta) -> None:
        """All dependencies of the job are on record as done, since `age`."""
        with self.lock:
            self._job_updates.release_job(job_id, now, age)

    def set_has_dependents(self, job_id: str, has_dependents: bool) -> None:
        """Whether other jobs wait for this one."""
        with self.lock:
            self._job_updates.set_has_dependents(job_id, has_dependents)

    def chain_members(self, names: Iterable[str]) -> dict[str, ChainMember]:
        """Those of the named jobs that are open."""
        with self.lock:
            return self._job_updates.chain_members(names)

    def set_urgency(self, job_id: str, rank: int, latest_start: timedelta | None) -> None:
        """What the job takes over from the jobs that need it."""
        with self.lock:
            self._job_updates.set_urgency(job_id, rank, latest_start)

    def on_job_recorded_done(self, job_id: str, mod_revision: int) -> None:
        """The record says that the job is done."""
        with self.lock:
            self._job_updates.on_job_recorded_done(job_id, mod_revision)

    def forget_job(self, job_id: str) -> None:
        """All task ranges of a job that is over are removed from the store."""
        with self.lock:
            self._job_updates.forget_job(job_id)

    # Recovery of what is stored.

    def add_overflow_range(self, job_id: str, first_task: int) -> None:
        """The store holds an overflow range; all are to be added before any value is loaded."""
        with self.lock:
            self._recovery.add_overflow_range(job_id, first_task)

    def load_range(self, job_id: str, number: int, record: TaskRangeRecord, now: timedelta) -> None:
        """Loads a task range, by its number, as a former leader stored it."""
        with self.lock:
            self._recovery.load_range(job_id, number, record, now)

    def load_overflow_range(
        self, job_id: str, first_task: int, record: TaskRangeRecord, now: timedelta
    ) -> None:
        """Loads an overflow range, by its first task, as a former leader stored it."""
        with self.lock:
            self._recovery.load_overflow_range(job_id, first_task, record, now)

    def finish_loading(self) -> None:
        """All that is stored has been loaded."""
        with self.lock:
            self._recovery.finish_loading()

    # Writes.

    def collect_writes(
        self,
        max_operations: int,
        stored_revisions: dict[str, int],
        max_background_operations: int | None = None,
        max_value_bytes: int | None = None,
    ) -> WriteBatch:
        """Takes out of the pending writes what one transaction can hold."""
        limits = TransactionLimits(max_operations, max_background_operations, max_value_bytes)
        with self.lock:
            return WriteCollection(
                self._data, self._changes, self._write_queue, stored_revisions, limits
            ).collect()

    def on_range_committed(self, job_id: str, first_task: int, version: int) -> None:
        """The store holds that version of the task range."""
        with self.lock:
            self._write_queue.on_range_committed(job_id, first_task, version)

    def suspend_oversized_writes(self, batch: WriteBatch) -> None:
        """What the store refuses as too large though it was tried alone waits until it changes."""
        with self.lock:
            self._write_queue.suspend_oversized(batch)

    def requeue(self, batch: WriteBatch) -> None:
        """Nothing of the batch was committed."""
        with self.lock:
            self._write_queue.requeue(batch)

    # Planning.

    def set_machine_types(self, machine_types: dict[str, MachineTypeCapacity]) -> None:
        """The capacities of the machine types are known, or have changed."""
        with self.lock:
            self._planning.set_machine_types(machine_types)

    def snapshot(self, now: timedelta) -> Snapshot:
        """What planning works on."""
        with self.lock:
            return self._planning.snapshot(now)

    def apply_plan(self, plan: Plan, now: timedelta) -> int:
        """Applies a plan as far as it still holds, and returns the number of placements."""
        with self.lock:
            return self._planning.apply_plan(plan, now)

    def is_usable(self, machine: Machine, now: timedelta) -> bool:
        """Whether tasks may be started on the machine."""
        return self._usability.unusable_reason(machine, now) is None

    def unusable_reason(self, machine: Machine, now: timedelta) -> MachineUnusableReason | None:
        """Why no task may be started on the machine; None if one may."""
        return self._usability.unusable_reason(machine, now)

    def scheduling_stall(self, now: timedelta) -> SchedulingStall | None:
        """What waits and why, for the log; None if no job has waiting tasks."""
        with self.lock:
            return self._usability.scheduling_stall(now)
