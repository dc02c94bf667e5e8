"""What a planning round is given, and what it gives back."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

import numpy as np

from spindleglade.backfill.arrays import Array, Counts
from spindleglade.backfill.distributions import Predictor
from spindleglade.settings.platform import Team

# Room in CPUs, GPUs and memory comes of sums and differences: what lacks less than this is there.
CAPACITY_TOLERANCE = 1e-6

# More tasks than there can be, where nothing bounds their number.
UNLIMITED_TASKS = 1e9


@dataclass(slots=True)
class RunningTask:
    """A task that is, or must be taken to be, on a machine."""

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
    # The most that stopping it loses; None: all it has run.
    max_loss: timedelta | None = None
    # Whether it is being stopped already.
    stopping: bool = False
    # It was started because its job was overdue.
    started_overdue: bool = False


@dataclass(slots=True)
class MachineView:
    """A machine as planning sees it. Kept from round to round until something on the machine changes, so a
    round may write to `claims` and to nothing else."""

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
    # Room held for a job: job -> tasks it may place here.
    reserved_capacity: dict[str, int] = field(default_factory=dict)
    free_cpus: float = 0.0
    free_gpus: float = 0.0
    free_memory: float = 0.0
    used: dict[str, tuple[float, float]] = field(default_factory=dict)
    _rows: Array | None = None

    def __post_init__(self) -> None:
        self.free_cpus = self.cpus - sum(task.cpus for task in self.tasks)
        self.free_gpus = self.gpus - sum(task.gpus for task in self.tasks)
        self.free_memory = self.memory - sum(task.memory for task in self.tasks)
        for task in self.tasks:
            cpus, gpus = self.used.get(task.team, (0.0, 0.0))
            self.used[task.team] = (cpus + task.cpus, gpus + task.gpus)

    def task_rows(self, codes: dict[str, int]) -> Array:
        """Its tasks: team, estimate, since when, CPUs, GPUs, memory."""
        if self._rows is None:
            self._rows = task_rows(self.tasks, codes)
        return self._rows


def task_rows(tasks: list[RunningTask], codes: dict[str, int]) -> Array:
    return np.array(
        [
            (
                codes.get(task.team, -1),
                task.estimate.total_seconds(),
                np.nan if task.running_since is None else task.running_since.total_seconds(),
                task.cpus,
                task.gpus,
                task.memory,
            )
            for task in tasks
        ],
        float,
    ).reshape(-1, 6)


@dataclass(slots=True)
class JobView:
    id: str
    team: str
    job_class: str
    rank: int
    # Waiting task numbers, in order; only as many as may be of use in one round.
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
    # All waiting tasks start in one round, or none does.
    is_gang: bool = False
    # Has had no start for so long that nothing may go before it.
    is_overdue: bool = False
    # Machines on which it failed.
    avoided_machines: frozenset[str] = frozenset()
    # Waiting tasks an older attempt of which still lies uncleared on some machines.
    excluded_machines: dict[int, set[str]] = field(default_factory=dict)
    # It has failed on several machines; this start only shows whether it still does.
    is_probe: bool = False
    # Jobs that need it will miss a deadline unless it starts now.
    is_urgent: bool = False

    def equivalence_key(self) -> tuple:
        """Tasks with the same key are decided together."""
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

    def placement_key(self) -> tuple:
        """Tasks with the same key fit the same machines."""
        return (self.cpus, self.gpus, self.memory, self.types, self.zone, self.spot)

    @property
    def demand(self) -> tuple[float, float, float]:
        """What a task takes: CPUs, GPUs, memory."""
        return (self.cpus, self.gpus, self.memory)

    def count_fitting(self, cpus: float, gpus: float, memory: float = math.inf) -> int:
        """How many of its tasks fit into that, which may be infinite: a team may be without a limit."""
        most = min(UNLIMITED_TASKS, (cpus + CAPACITY_TOLERANCE) / self.cpus)
        if self.gpus > 0:
            most = min(most, (gpus + CAPACITY_TOLERANCE) / self.gpus)
        if self.memory > 0:
            most = min(most, (memory + CAPACITY_TOLERANCE) / self.memory)
        return max(0, int(most))

    def count_fitting_each(self, free: Array) -> Array:
        """The same for many machines at once, a row of CPUs, GPUs and memory each."""
        need = np.array(self.demand)
        asked = need > 0
        return np.maximum(np.floor((free[:, asked] + CAPACITY_TOLERANCE) / need[asked]).min(axis=1), 0.0)

    @property
    def is_independent(self) -> bool:
        """Where one task may go does not depend on where the others are."""
        return not (self.one_zone or self.spread or self.is_gang or self.excluded_machines)


def is_best_effort(work: RunningTask | JobView, teams: dict[str, Team]) -> bool:
    """Whether it is there to use what would stand idle: it has the lowest priority, and its team is
    guaranteed nothing."""
    team = teams.get(work.team)
    return work.rank == 0 and (team is None or not (team.cpus or team.gpus))


def unclaimed_guarantee_cpus(teams: dict[str, Team], used: dict[str, float]) -> float:
    """CPUs that the teams could still claim by their guarantees."""
    return sum(max(0.0, team.cpus - used.get(team.name, 0.0)) for team in teams.values())


@dataclass(slots=True)
class Snapshot:
    # In submission order.
    jobs: list[JobView]
    machines: list[MachineView]
    teams: dict[str, Team]
    predictor: Predictor
    now: timedelta
    # Ordinary machines are not taken back; spot ones are cheaper, and the others then fall idle sooner.
    prefers_on_demand: bool = False


@dataclass(slots=True)
class Placement:
    job: str
    index: int
    machine: str


@dataclass(slots=True)
class Preemption:
    job: str
    index: int
    machine: str
    # The job room is made for.
    beneficiary: str


@dataclass(slots=True)
class UnplacedDemand:
    """Waiting tasks of one job that found no room and are within their team's limit."""

    job: JobView
    count: int
    within_guarantee: bool
    # Whether ordinary machines may be rented for them though the job may use spot ones.
    may_use_on_demand: bool = False


@dataclass(slots=True)
class ExpectedRelease:
    """What machines have free (a row each: CPUs, GPUs, memory), and what their tasks are expected to free:
    for each task the place of its machine, after how many seconds, and again CPUs, GPUs, memory."""

    machines: list[MachineView]
    free: Array
    machine_indices: Counts
    seconds_until: Array
    released: Array

    @classmethod
    def nothing(cls) -> "ExpectedRelease":
        return cls([], np.zeros((0, 3)), np.zeros(0, np.int64), np.zeros(0), np.zeros((0, 3)))


@dataclass(slots=True)
class Plan:
    placements: list[Placement] = field(default_factory=list)
    preemptions: list[Preemption] = field(default_factory=list)
    # Room held on a machine for a job's tasks: machine, job, tasks in all.
    reserved_capacity: list[tuple[str, str, int]] = field(default_factory=list)
    unplaced: list[UnplacedDemand] = field(default_factory=list)
    # For the fleet, which does not always ask.
    expected_release: Callable[[], ExpectedRelease] = ExpectedRelease.nothing
    # CPUs of usable machines that nothing takes, and those that teams use.
    spare_cpus: float = 0.0
    used_cpus: dict[str, float] = field(default_factory=dict)
    reserved_job: str | None = None
    delay_checks: int = 0
