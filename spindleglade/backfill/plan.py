"""The plan that a planning pass returns: placements, preemptions, reserved capacity and unplaced demand."""

from collections.abc import Callable
from dataclasses import dataclass, field

import numpy as np

from spindleglade.backfill.arrays import Array, IntArray
from spindleglade.backfill.snapshot import JobView, MachineView


@dataclass(slots=True)
class Placement:
    """A task to start on a machine."""

    job: str
    index: int
    machine: str


@dataclass(slots=True)
class Preemption:
    """A task to stop so that a task of another job fits on its machine."""

    job: str
    index: int
    machine: str
    # Id of the job for which the capacity is freed.
    beneficiary: str


@dataclass(slots=True)
class UnplacedDemand:
    """Waiting tasks of one job that could not be placed, although their team's limit allows them."""

    job: JobView
    count: int
    # Whether one more task of the job is within its team's guarantee.
    within_guarantee: bool
    # Whether on-demand machines may be provisioned for them although the job may also use spot machines.
    may_use_on_demand: bool = False


@dataclass(slots=True)
class ExpectedRelease:
    """Free capacity of machines, and the capacity that their tasks are expected to release."""

    machines: list[MachineView]
    # One row of CPUs, GPUs and memory per machine.
    free: Array
    # For each task: the index of its machine, the seconds until it is expected to end, and the CPUs, GPUs and
    # memory that it releases.
    machine_indices: IntArray
    seconds_until: Array
    released: Array

    @classmethod
    def empty(cls) -> "ExpectedRelease":
        """An empty release: no machines and no tasks."""
        return cls([], np.zeros((0, 3)), np.zeros(0, np.int64), np.zeros(0), np.zeros((0, 3)))


@dataclass(slots=True)
class Plan:
    """The decisions of one planning pass, and the figures that scaling the fleet depends on."""

    placements: list[Placement] = field(default_factory=list)
    preemptions: list[Preemption] = field(default_factory=list)
    # Capacity reserved for tasks of a job: machine name, job id, number of tasks.
    reserved_capacity: list[tuple[str, str, int]] = field(default_factory=list)
    unplaced: list[UnplacedDemand] = field(default_factory=list)
    # A function, so that the release is computed only when scaling the fleet needs it.
    expected_release: Callable[[], ExpectedRelease] = ExpectedRelease.empty
    # Free CPUs of usable machines, and the CPUs that each team uses.
    spare_cpus: float = 0.0
    used_cpus: dict[str, float] = field(default_factory=dict)
    # Id of the job that holds the reservation, the first that did not fit; None if no job holds it.
    reserved_job: str | None = None
    # How many times the probability that a candidate delays the reserved job was computed.
    delay_checks: int = 0
