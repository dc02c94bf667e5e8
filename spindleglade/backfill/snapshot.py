"""The snapshot that a planning pass works on: waiting jobs, machines with their tasks, and teams."""

import math
from collections.abc import Hashable
from dataclasses import dataclass, field
from datetime import timedelta

import numpy as np

from spindleglade.backfill.arrays import Array
from spindleglade.backfill.distributions import Predictor
from spindleglade.settings.platform import Team

# Free capacity (CPUs, GPUs, GB) is a sum of floats, so a shortage of less than this is a rounding error.
CAPACITY_TOLERANCE = 1e-6

# Stands for an unlimited number of tasks; more than there can be.
UNLIMITED_TASKS = 1e9


# A key by which jobs or tasks are grouped.
GroupKey = tuple[Hashable, ...]

# The columns of `task_rows`. The start of a task that has not begun to run is NaN.
TEAM_COLUMN = 0
ESTIMATE_COLUMN = 1
RUNNING_SINCE_COLUMN = 2
# CPUs, GPUs and memory.
DEMAND_COLUMNS = slice(3, 6)
_COLUMN_COUNT = 6


@dataclass(slots=True)
class RunningTask:
    """A task that is on a machine, or must be assumed to be."""

    job: str
    index: int
    team: str
    rank: int
    cpus: float
    gpus: float
    memory: float
    estimate: timedelta
    # When it began to run; None while it fetches its image.
    running_since: timedelta | None = None
    # The most run time that is lost if it is preempted; None if all of it is lost.
    max_loss: timedelta | None = None
    # Whether it is already being stopped.
    stopping: bool = False
    # Whether it was started because its job was overdue.
    started_overdue: bool = False


@dataclass(slots=True)
class MachineView:
    """A machine as planning sees it.

    A view is reused for later snapshots until something on the machine changes, so a planning pass must not
    modify any field but `reserved_capacity`.
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
    # Images on the machine, and images being fetched.
    images: set[str] = field(default_factory=set)
    fetching: set[str] = field(default_factory=set)
    is_usable: bool = True
    # Capacity reserved on this machine: number of tasks by job id.
    reserved_capacity: dict[str, int] = field(default_factory=dict)
    free_cpus: float = 0.0
    free_gpus: float = 0.0
    free_memory: float = 0.0
    # CPUs and GPUs in use, by team.
    used: dict[str, tuple[float, float]] = field(default_factory=dict)
    _cached_task_rows: Array | None = None

    def __post_init__(self) -> None:
        self.free_cpus = self.cpus - sum(task.cpus for task in self.tasks)
        self.free_gpus = self.gpus - sum(task.gpus for task in self.tasks)
        self.free_memory = self.memory - sum(task.memory for task in self.tasks)
        for task in self.tasks:
            cpus, gpus = self.used.get(task.team, (0.0, 0.0))
            self.used[task.team] = (cpus + task.cpus, gpus + task.gpus)

    def task_rows(self, team_codes: dict[str, int]) -> Array:
        """The `task_rows` of the machine's tasks, computed once."""
        if self._cached_task_rows is None:
            self._cached_task_rows = task_rows(self.tasks, team_codes)
        return self._cached_task_rows


def task_rows(tasks: list[RunningTask], team_codes: dict[str, int]) -> Array:
    """The tasks as an array: one row per task, with the columns above. The code of an unknown team is -1."""
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
    # Indices of waiting tasks in order, limited to as many as one planning pass may place.
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
    # Number of tasks that are now placed in each zone.
    tasks_by_zone: dict[str, int] = field(default_factory=dict)
    # Whether all waiting tasks must be placed in one planning pass, or none.
    is_gang: bool = False
    # Whether none of its tasks has been started for so long that the job is placed before all others.
    is_overdue: bool = False
    # Names of the machines on which its tasks failed.
    avoided_machines: frozenset[str] = frozenset()
    # By index of a waiting task, the names of the machines that still hold an earlier attempt of it.
    excluded_machines: dict[int, set[str]] = field(default_factory=dict)
    # Whether the job failed on several machines and one task is run to see whether it still fails.
    is_probe: bool = False
    # Whether its dependents will miss a deadline unless it starts now.
    is_urgent: bool = False

    def equivalence_key(self) -> GroupKey:
        """The key of equivalent tasks: if one may not be backfilled, none of them may."""
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

    def placement_key(self) -> GroupKey:
        """The key of tasks that fit on the same machines."""
        return (self.cpus, self.gpus, self.memory, self.types, self.zone, self.spot)

    @property
    def demand(self) -> tuple[float, float, float]:
        """CPUs, GPUs and memory that one task uses."""
        return (self.cpus, self.gpus, self.memory)

    def count_fitting(self, cpus: float, gpus: float, memory: float = math.inf) -> int:
        """How many of its tasks fit into this capacity, which may be infinite: a team may have no limit."""
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
        """Whether all tasks have the same eligible machines, wherever the others are placed."""
        return not (self.one_zone or self.spread or self.is_gang or self.excluded_machines)


def is_best_effort(work: RunningTask | JobView, teams: dict[str, Team]) -> bool:
    """Whether the work may use only capacity that would otherwise be idle.

    Such work has the lowest priority, and its team has no guarantee.
    """
    team = teams.get(work.team)
    return work.rank == 0 and (team is None or not (team.cpus or team.gpus))


def unclaimed_guarantee_cpus(teams: dict[str, Team], used: dict[str, float]) -> float:
    """Total of the CPUs that teams are guaranteed but do not use."""
    return sum(max(0.0, team.cpus - used.get(team.name, 0.0)) for team in teams.values())


@dataclass(slots=True)
class Snapshot:
    """The input of one planning pass."""

    # Jobs with waiting tasks, in submission order.
    jobs: list[JobView]
    machines: list[MachineView]
    teams: dict[str, Team]
    predictor: Predictor
    now: timedelta
    # Whether on-demand machines are filled before spot machines. The cloud does not reclaim on-demand ones.
    # Spot machines are cheaper, and where they are preferred, on-demand machines become idle sooner.
    prefers_on_demand: bool = False
