"""The snapshot that a planning pass works on: waiting jobs, machines with their tasks, and teams."""

import math
from collections.abc import Hashable
from dataclasses import dataclass, field
from datetime import timedelta

import numpy as np

from spindleglade.backfill.arrays import Array
from spindleglade.backfill.distributions import Predictor
from spindleglade.settings.platform import Team

# Free CPUs, GPUs and gigabytes are sums and differences, so a lack of less than this is a rounding error.
CAPACITY_TOLERANCE = 1e-6

# More tasks than there can be, for where nothing limits their number.
UNLIMITED_TASKS = 1e9


# What jobs or tasks are grouped by.
Key = tuple[Hashable, ...]

# The columns of `task_rows`. A task that has not begun to run has no start.
TEAM_COLUMN = 0
ESTIMATE_COLUMN = 1
RUNNING_SINCE_COLUMN = 2
# CPUs, GPUs, memory.
DEMAND_COLUMNS = slice(3, 6)
_COLUMN_COUNT = 6


@dataclass(slots=True)
class RunningTask:
    """A task that is, or must be assumed to be, on a machine."""

    job: str
    index: int
    team: str
    rank: int
    cpus: float
    gpus: float
    memory: float
    estimate: timedelta
    # Since when it runs; None while it fetches its image.
    running_since: timedelta | None = None
    # The most run time that preempting it loses; None: all of it.
    max_loss: timedelta | None = None
    # Whether it is being stopped already.
    stopping: bool = False
    # Whether it was started because its job was overdue.
    started_overdue: bool = False


@dataclass(slots=True)
class MachineView:
    """A machine as planning sees it.

    Reused until something on the machine changes, so a planning pass may write to `reserved_capacity` and to
    nothing else.
    """

    name: str
    type: str
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory: float
    fetch_gb_per_s: float
    tasks: list[RunningTask]
    # Images present, and those being fetched.
    images: set[str] = field(default_factory=set)
    fetching: set[str] = field(default_factory=set)
    is_usable: bool = True
    # For each job that capacity is reserved for, how many tasks it may place here.
    reserved_capacity: dict[str, int] = field(default_factory=dict)
    free_cpus: float = 0.0
    free_gpus: float = 0.0
    free_memory: float = 0.0
    # CPUs and GPUs in use, by team.
    used: dict[str, tuple[float, float]] = field(default_factory=dict)
    _rows: Array | None = None

    def __post_init__(self) -> None:
        self.free_cpus = self.cpus - sum(task.cpus for task in self.tasks)
        self.free_gpus = self.gpus - sum(task.gpus for task in self.tasks)
        self.free_memory = self.memory - sum(task.memory for task in self.tasks)
        for task in self.tasks:
            cpus, gpus = self.used.get(task.team, (0.0, 0.0))
            self.used[task.team] = (cpus + task.cpus, gpus + task.gpus)

    def task_rows(self, team_codes: dict[str, int]) -> Array:
        """The rows of its tasks, computed once."""
        if self._rows is None:
            self._rows = task_rows(self.tasks, team_codes)
        return self._rows


def task_rows(tasks: list[RunningTask], team_codes: dict[str, int]) -> Array:
    """A row for each task; a team without a code has -1."""
    return np.array(
        [
            (
                team_codes.get(task.team, -1),
                task.estimate.total_seconds(),
                np.nan if task.running_since is None else task.running_since.total_seconds(),
                task.cpus,
                task.gpus,
                task.memory,
            )
            for task in tasks
        ],
        float,
    ).reshape(-1, _COLUMN_COUNT)


@dataclass(slots=True)
class JobView:
    """A job with waiting tasks as planning sees it."""

    id: str
    team: str
    job_class: str
    rank: int
    # Numbers of waiting tasks, in order; only as many as one planning pass may place.
    waiting_tasks: list[int]
    task_count: int
    cpus: float
    gpus: float
    memory: float
    image: str
    image_gb: float
    types: frozenset[str] | None
    zone: str | None
    one_zone: bool
    spread: bool
    spot: bool
    estimate: timedelta
    # Tasks now placed, by zone.
    tasks_by_zone: dict[str, int] = field(default_factory=dict)
    # All waiting tasks are placed in one planning pass, or none is.
    is_gang: bool = False
    # No task of it was started for so long that nothing may go before it.
    is_overdue: bool = False
    # Machines on which its tasks failed.
    avoided_machines: frozenset[str] = frozenset()
    # For waiting tasks, the machines that still hold an earlier attempt.
    excluded_machines: dict[int, set[str]] = field(default_factory=dict)
    # It failed on several machines; one task shows whether it still does.
    is_probe: bool = False
    # Dependents will miss a deadline unless it starts now.
    is_urgent: bool = False

    def equivalence_key(self) -> Key:
        """Once a task with this key may not go ahead of the reserved job, none with the same key may."""
        return (
            self.team,
            self.job_class,
            self.rank,
            self.cpus,
            self.gpus,
            self.memory,
            self.types,
            self.zone,
            self.one_zone,
            self.spread,
            self.spot,
            self.image,
            self.estimate,
        )

    def placement_key(self) -> Key:
        """Tasks with the same key fit the same machines."""
        return (self.cpus, self.gpus, self.memory, self.types, self.zone, self.spot)

    @property
    def demand(self) -> tuple[float, float, float]:
        """What a task uses: CPUs, GPUs, memory."""
        return (self.cpus, self.gpus, self.memory)

    def count_fitting(self, cpus: float, gpus: float, memory: float = math.inf) -> int:
        """How many of its tasks fit into this capacity, which is infinite for a team without a limit."""
        count = min(UNLIMITED_TASKS, (cpus + CAPACITY_TOLERANCE) / self.cpus)
        if self.gpus > 0:
            count = min(count, (gpus + CAPACITY_TOLERANCE) / self.gpus)
        if self.memory > 0:
            count = min(count, (memory + CAPACITY_TOLERANCE) / self.memory)
        return max(0, int(count))

    def count_fitting_each(self, free: Array) -> Array:
        """How many of its tasks fit into each row of free CPUs, GPUs and memory."""
        demand = np.array(self.demand)
        needed = demand > 0
        counts = np.floor((free[:, needed] + CAPACITY_TOLERANCE) / demand[needed])
        fitting: Array = np.maximum(counts.min(axis=1), 0.0)
        return fitting

    @property
    def is_independent(self) -> bool:
        """Whether the machines that one task may be placed on do not depend on where the others are."""
        return not (self.one_zone or self.spread or self.is_gang or self.excluded_machines)


def is_best_effort(work: RunningTask | JobView, teams: dict[str, Team]) -> bool:
    """Whether it only uses capacity that would be idle: it has the lowest priority, and its team has no
    guarantee."""
    team = teams.get(work.team)
    return work.rank == 0 and (team is None or not (team.cpus or team.gpus))


def unclaimed_guarantee_cpus(teams: dict[str, Team], used: dict[str, float]) -> float:
    """CPUs of the teams' guarantees that they do not use."""
    return sum(max(0.0, team.cpus - used.get(team.name, 0.0)) for team in teams.values())


@dataclass(slots=True)
class Snapshot:
    """All that one planning pass depends on."""

    # In submission order.
    jobs: list[JobView]
    machines: list[MachineView]
    teams: dict[str, Team]
    predictor: Predictor
    now: timedelta
    # On-demand machines are not reclaimed by the cloud. Spot ones are cheaper, and where they are preferred
    # the on-demand ones are idle sooner.
    prefers_on_demand: bool = False
