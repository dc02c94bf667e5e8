"""The leader's cluster state: jobs, tasks and machines, and which attempts are recorded, placed and ended.

The cluster state makes no placement decisions and does no I/O. Its inputs are records, heartbeats and the
outcomes of writes and messages. Its outputs are task ranges to write, commands to send, and snapshots for
planning.
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
from spindleglade.workers.attempt_outcomes import AttemptOutcomes
from spindleglade.workers.cluster_data import ClusterData, DataField
from spindleglade.workers.command_selection import CommandSelection, DeliveryOutcome, DirectCommands
from spindleglade.workers.failure_tracker import FailureTracker
from spindleglade.workers.heartbeat_reconciliation import HeartbeatReconciliation
from spindleglade.workers.job_updates import JobUpdates
from spindleglade.workers.jobs import Job, PipelineMember
from spindleglade.workers.machine_registry import MachineRegistry
from spindleglade.workers.machine_usability import MachineUsability
from spindleglade.workers.machines import Machine, MachineLocation, MachineReachability, MachineTypeCapacity
from spindleglade.workers.messages import Command, Heartbeat, HeartbeatResponse
from spindleglade.workers.planning_bridge import PlanningBridge
from spindleglade.workers.policy import WorkerPolicy
from spindleglade.workers.reasons import MachineUnusableReason, SchedulingStall
from spindleglade.workers.state_changes import StateChanges
from spindleglade.workers.state_recovery import StateRecovery
from spindleglade.workers.write_batch import TaskRangeId, WriteBatch
from spindleglade.workers.write_collection import TransactionLimits, WriteCollection
from spindleglade.workers.write_queue import WriteQueue


class ClusterState:
    """The parts of the cluster state as one object.

    Every method holds the lock while it runs, except `is_usable`, `unusable_reason` and `is_silent`, which
    are called with the lock held. No method calls code outside the cluster state.
    """

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
        failures = FailureTracker(data)
        outcomes = AttemptOutcomes(data, changes, failures)
        usability = MachineUsability(data)
        self._data = data
        self._changes = changes
        self._commands = commands
        self._usability = usability
        self._heartbeats = HeartbeatReconciliation(data, changes, commands, outcomes)
        self._machine_registry = MachineRegistry(data, changes)
        self._job_updates = JobUpdates(data, changes, failures)
        self._recovery = StateRecovery(data, changes)
        self._write_queue = WriteQueue(data)
        self._planning = PlanningBridge(data, changes, usability)
        # These objects are never replaced, only changed. Callers hold the lock while they use them.
        self.lock: threading.Lock = data.lock
        self.predictor: Predictor = predictor
        self.jobs: dict[str, Job] = data.jobs
        self.machines: dict[str, Machine] = data.machines
        self.terminated: set[str] = data.terminated
        self.pending_writes: dict[TaskRangeId, None] = data.pending_writes
        self.pending_start_writes: dict[TaskRangeId, None] = data.pending_start_writes
        self.suspended_writes: dict[TaskRangeId, int] = data.suspended_writes
        self.dispatch_queue: dict[str, None] = data.dispatch_queue

    # Machines.

    def on_heartbeat(
        self, heartbeat: Heartbeat, now: timedelta, renews_lease: bool
    ) -> HeartbeatResponse | None:
        """Applies a heartbeat. Returns the response, or None if it must not be answered."""
        with self.lock:
            return self._heartbeats.on_heartbeat(heartbeat, now, renews_lease)

    def on_machine_terminated(self, name: str, reason: str) -> None:
        """Removes a machine that the cloud reports as terminated, and ends all attempts on it."""
        with self.lock:
            self._machine_registry.on_machine_terminated(name, reason)

    def observe_listed_machines(self, locations: Iterable[MachineLocation]) -> None:
        """Applies the cloud's list of running machines."""
        with self.lock:
            self._machine_registry.observe_listed_machines(locations)

    def on_leases_renewed_by_peer(self, names: Iterable[str], now: timedelta) -> None:
        """Records that a peer renews the leases of these machines."""
        with self.lock:
            self._machine_registry.on_leases_renewed_by_peer(names, now)

    def is_silent(self, machine: Machine, now: timedelta, limit: timedelta) -> bool:
        """Whether neither the machine nor a peer has shown for longer than `limit` that the machine lives."""
        return self._machine_registry.is_silent(machine, now, limit)

    def take_direct_commands(self, starts: bool = True) -> list[DirectCommands]:
        """Returns the commands that cannot wait for the next heartbeat; no starts if `starts` is false."""
        with self.lock:
            return self._commands.take_direct_commands(starts)

    def on_commands_sent(
        self, machine: Machine, commands: Iterable[Command], outcome: DeliveryOutcome, now: timedelta
    ) -> None:
        """Records the outcome of direct commands."""
        with self.lock:
            self._commands.on_commands_sent(machine, commands, outcome, now)

    def on_machine_reached(self, machine: Machine, now: timedelta) -> None:
        """Records that a message has reached the machine."""
        with self.lock:
            self._commands.on_machine_reached(machine, now)

    def reachability(self, now: timedelta) -> MachineReachability:
        """Groups the machines with recent heartbeats by the outcome of the latest direct message to them."""
        with self.lock:
            return self._commands.reachability(now)

    # Jobs.

    def has_begun(self, job_id: str) -> bool:
        """Whether any task of the job is placed or done."""
        with self.lock:
            job = self.jobs.get(job_id)
            return job is not None and bool(job.placed or job.done_count)

    def observe_job(
        self, record: JobRecord, mod_revision: int, now: timedelta = ZERO, age: timedelta = ZERO
    ) -> None:
        """Applies a job record, loaded after the election or observed as a later change. `age` is the time
        since the job was accepted."""
        with self.lock:
            self._job_updates.observe_job(record, mod_revision, now, age)

    def cancel_through_dependency(self, job_id: str) -> None:
        """Cancels a job because a dependency of it is cancelled."""
        with self.lock:
            self._job_updates.cancel_through_dependency(job_id)

    def release_job(self, job_id: str, now: timedelta, age: timedelta) -> None:
        """Lets the tasks of a job start, since all its dependencies are recorded as done. `age` is the time
        since the last dependency was done, or since the job was accepted if that was later."""
        with self.lock:
            self._job_updates.release_job(job_id, now, age)

    def set_has_dependents(self, job_id: str, has_dependents: bool) -> None:
        """Sets whether other jobs depend on this one."""
        with self.lock:
            self._job_updates.set_has_dependents(job_id, has_dependents)

    def pipeline_members(self, names: Iterable[str]) -> dict[str, PipelineMember]:
        """The properties that urgencies are computed from, for each named job that is open, by job ID."""
        with self.lock:
            return self._job_updates.pipeline_members(names)

    def set_urgency(self, job_id: str, rank: int, latest_start: timedelta | None) -> None:
        """Sets the rank and the latest start that the job inherits from its dependents."""
        with self.lock:
            self._job_updates.set_urgency(job_id, rank, latest_start)

    def on_job_recorded_done(self, job_id: str, mod_revision: int) -> None:
        """Finishes a job that is recorded as done."""
        with self.lock:
            self._job_updates.on_job_recorded_done(job_id, mod_revision)

    def forget_job(self, job_id: str) -> None:
        """Removes a done or cancelled job from memory, once its task ranges are removed from the store."""
        with self.lock:
            self._job_updates.forget_job(job_id)

    # Recovery of the stored task ranges.

    def add_overflow_range(self, job_id: str, first_task: int) -> None:
        """Adds an overflow range that the store holds. All of them are added before any range is loaded."""
        with self.lock:
            self._recovery.add_overflow_range(job_id, first_task)

    def load_range(self, job_id: str, number: int, record: TaskRangeRecord, now: timedelta) -> None:
        """Loads a task range, identified by its number, that a former leader stored."""
        with self.lock:
            self._recovery.load_range(job_id, number, record, now)

    def load_overflow_range(
        self, job_id: str, first_task: int, record: TaskRangeRecord, now: timedelta
    ) -> None:
        """Loads an overflow range, identified by its first task, that a former leader stored."""
        with self.lock:
            self._recovery.load_overflow_range(job_id, first_task, record, now)

    def finish_loading(self) -> None:
        """Completes the recovery after all task ranges are loaded, and queues the writes that are due."""
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
        """Removes as many pending writes from the queue as fit into one transaction, and returns them.

        `stored_revisions` maps the task range keys in the store to their modification revisions. The limits
        are those of `TransactionLimits`.
        """
        limits = TransactionLimits(max_operations, max_background_operations, max_value_bytes)
        with self.lock:
            return WriteCollection(
                self._data, self._changes, self._write_queue, stored_revisions, limits
            ).collect()

    def on_range_committed(self, job_id: str, first_task: int, version: int) -> None:
        """Records that the store holds this version of the task range."""
        with self.lock:
            self._write_queue.on_range_committed(job_id, first_task, version)

    def suspend_writes(self, batch: WriteBatch) -> None:
        """Suspends the single write of a batch that failed, such as one that is too large, until the write
        changes."""
        with self.lock:
            self._write_queue.suspend(batch)

    def requeue(self, batch: WriteBatch) -> None:
        """Puts back all writes of a batch that was not committed."""
        with self.lock:
            self._write_queue.requeue(batch)

    # Planning.

    def set_machine_types(self, machine_types: dict[str, MachineTypeCapacity]) -> None:
        """Sets the capacities of the machine types."""
        with self.lock:
            self._planning.set_machine_types(machine_types)

    def snapshot(self, now: timedelta) -> Snapshot:
        """Returns the snapshot that a planning pass works on."""
        with self.lock:
            return self._planning.snapshot(now)

    def apply_plan(self, plan: Plan, now: timedelta) -> int:
        """Applies those parts of a plan that are still valid, and returns the number of placements."""
        with self.lock:
            return self._planning.apply_plan(plan, now)

    def is_usable(self, machine: Machine, now: timedelta) -> bool:
        """Whether tasks may be started on the machine."""
        return self._usability.unusable_reason(machine, now) is None

    def unusable_reason(self, machine: Machine, now: timedelta) -> MachineUnusableReason | None:
        """Why no task may be started on the machine; None if tasks may be started."""
        return self._usability.unusable_reason(machine, now)

    def scheduling_stall(self, now: timedelta) -> SchedulingStall | None:
        """Why waiting tasks are not started, for the log; None if no job has waiting tasks."""
        with self.lock:
            return self._usability.scheduling_stall(now)
