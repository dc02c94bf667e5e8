"""The data of the leader's cluster state, which its parts share under one lock."""

import threading
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, Generic, TypeVar

from spindleglade.backfill.distributions import Predictor
from spindleglade.settings.platform import Team
from spindleglade.workers.jobs import Job
from spindleglade.workers.machines import Machine, MachineTypeCapacity
from spindleglade.workers.policy import WorkerPolicy
from spindleglade.workers.write_batch import TaskRangeId


@dataclass(slots=True, eq=False)
class ClusterData:
    """Jobs, machines and what is pending for them. Read and changed with the lock held only."""

    token: int
    policy: WorkerPolicy
    teams: dict[str, Team]
    machine_types: dict[str, MachineTypeCapacity]
    predictor: Predictor
    started_at: timedelta
    lock: threading.Lock = field(default_factory=threading.Lock)
    jobs: dict[str, Job] = field(default_factory=dict)
    machines: dict[str, Machine] = field(default_factory=dict)
    # Machines proven gone; late heartbeats must not bring them back. Never emptied: nothing bounds how late a
    # heartbeat, or the list of machines, may still name one.
    terminated: set[str] = field(default_factory=set)
    # When a heartbeat last came that was not a late copy, by whichever way.
    last_heartbeat_at: timedelta = field(init=False)
    # When a task was last placed.
    latest_start: timedelta = field(init=False)
    # Task ranges that differ from what the store holds, the longest pending first.
    pending_writes: dict[TaskRangeId, None] = field(default_factory=dict)
    # Those of them with a start that waits for its record.
    pending_start_writes: dict[TaskRangeId, None] = field(default_factory=dict)
    # Task ranges, and records of done jobs (DONE_RECORD), that the store refused as too large, and the
    # versions and revisions that it refused: not tried again before they change.
    oversized_writes: dict[TaskRangeId, int] = field(default_factory=dict)
    # Machines that may have commands to be sent directly, the longest queued first. One that has none leaves
    # the queue, and is put in again by whatever may change that: its heartbeat, a committed write, an
    # answered command, a stop. Looking at every machine each time would take a third of the leader's time
    # after a restart. It is ordered so that the same events lead to the same commands.
    dispatch_queue: dict[str, None] = field(default_factory=dict)
    teams_with_new_runs: set[str] = field(default_factory=set)
    # Whether work goes to on-demand machines before spot ones, or the other way round.
    prefers_on_demand: bool = False
    # Counts changes that planning or the state writer may have to act on.
    change_count: int = 0

    def __post_init__(self) -> None:
        self.last_heartbeat_at = self.started_at
        self.latest_start = self.started_at


Value = TypeVar("Value")


class DataField(Generic[Value]):
    """An attribute that stands for the field of the same name of its owner's cluster data."""

    def __set_name__(self, owner: type, name: str) -> None:
        self._name = name

    def __get__(self, owner: Any, owner_type: type | None = None) -> Value:
        value: Value = getattr(owner._data, self._name)
        return value

    def __set__(self, owner: Any, value: Value) -> None:
        setattr(owner._data, self._name, value)
