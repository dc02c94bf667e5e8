"""The data of the leader's cluster state, shared by its parts under one lock."""

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
    """Jobs, machines, and their pending writes and commands. Read and changed only with the lock held."""

    # The first token of this leader's term.
    token: int
    policy: WorkerPolicy
    teams: dict[str, Team]
    machine_types: dict[str, MachineTypeCapacity]
    predictor: Predictor
    started_at: timedelta
    lock: threading.Lock = field(default_factory=threading.Lock)
    jobs: dict[str, Job] = field(default_factory=dict)
    machines: dict[str, Machine] = field(default_factory=dict)
    # The names of terminated machines, so that late heartbeats do not add them again. Names are never
    # removed, since there is no limit on how late a heartbeat or a list of machines may still contain one.
    terminated: set[str] = field(default_factory=set)
    # When the latest heartbeat was received, in a request of a worker or in a response to this leader. Late
    # copies do not count.
    last_heartbeat_at: timedelta = field(init=False)
    # When a task was last placed; before that, the time of the election.
    latest_start: timedelta = field(init=False)
    # Task ranges that differ from what the store holds, the longest pending first.
    pending_writes: dict[TaskRangeId, None] = field(default_factory=dict)
    # The pending task ranges with a start that is not sent until the range is written.
    pending_start_writes: dict[TaskRangeId, None] = field(default_factory=dict)
    # Writes that failed when tried alone, such as those that are too large: the version of a task range, or
    # the revision of the record of a done job (DONE_RECORD). They are not tried again before they change.
    suspended_writes: dict[TaskRangeId, int] = field(default_factory=dict)
    # The names of machines that may have commands to be sent directly, the longest queued first. A machine
    # without such commands leaves the queue. Each event that may lead to a command queues it again: its
    # heartbeat, a committed write, an answered command, a stop. Examining every machine each time would take
    # a third of the leader's time after a restart. The order makes the same events lead to the same commands.
    dispatch_queue: dict[str, None] = field(default_factory=dict)
    # Teams with run times in the predictor that are not stored yet.
    teams_with_new_runs: set[str] = field(default_factory=set)
    # Whether planning prefers on-demand machines to spot machines. If false, it prefers spot machines.
    prefers_on_demand: bool = False
    # Incremented with each change that planning or the state writer may have to act on.
    change_count: int = 0

    def message_token(self, machine: Machine) -> int:
        """The token that messages to the machine carry now."""
        return self.token + machine.token_raises

    def __post_init__(self) -> None:
        self.last_heartbeat_at = self.started_at
        self.latest_start = self.started_at


Value = TypeVar("Value")


class DataField(Generic[Value]):
    """A descriptor that reads and writes the field of the same name in its owner's cluster data."""

    def __set_name__(self, owner: type, name: str) -> None:
        self._name = name

    def __get__(self, owner: Any, owner_type: type | None = None) -> Value:
        value: Value = getattr(owner._data, self._name)
        return value

    def __set__(self, owner: Any, value: Value) -> None:
        setattr(owner._data, self._name, value)
