"""The plan that a planning pass returns: placements, preemptions, reserved capacity and unplaced demand."""

from collections.abc import Callable
from dataclasses import dataclass, field

import numpy as np

from spindleglade.backfill.arrays import Array, Counts
from spindleglade.backfill.snapshot import JobView, MachineView


@dataclass(slots=True)
class Placement:
    """A task that is to start on a machine."""

    job: str
    index: int
    machine: str


@dataclass(slots=True)
class Preemption:
    """A task that is to stop, so that another job fits its machine."""

    job: str
    index: int
    machine: str
    # The job that the capacity is freed for.
    beneficiary: str


@dataclass(slots=True)
class UnplacedDemand:
    """Waiting tasks of one job that fit no machine now and are within their team's limit."""

    job: JobView
    count: int
    within_guarantee: bool
    # Whether on-demand machines may be provisioned for them though the job may use spot ones.
    may_use_on_demand: bool = False


@dataclass(slots=True)
class ExpectedRelease:
    """What machines have free, and what their tasks are expected to release."""

    machines: list[MachineView]
    # A row of CPUs, GPUs and memory for each machine.
    free: Array
    # For each task, the index of its machine, the seconds until it is expected to end, and what it releases,
    # a row of CPUs, GPUs and memory.
    machine_indices: Counts
    seconds_until: Array
    released: Array

    @classmethod
    def nothing(cls) -> "ExpectedRelease":
        """No machines, and nothing that is released."""
        return cls([], np.zeros((0, 3)), np.zeros(0, np.int64), np.zeros(0), np.zeros((0, 3)))


@dataclass(slots=True)
class Plan:
    """What one planning pass decides, and what it learns for the fleet."""

    placements: list[Placement] = field(default_factory=list)
    preemptions: list[Preemption] = field(default_factory=list)
    # Capacity reserved for a job's tasks: machine, job, number of tasks.
    reserved_capacity: list[tuple[str, str, int]] = field(default_factory=list)
    unplaced: list[UnplacedDemand] = field(default_factory=list)
    # Computed only if the fleet needs it.
    expected_release: Callable[[], ExpectedRelease] = ExpectedRelease.nothing
    # CPUs of usable machines that nothing uses, and those that each team uses.
    spare_cpus: float = 0.0
    used_cpus: dict[str, float] = field(default_factory=dict)
    # The first job that did not fit, which holds the reservation.
    reserved_job: str | None = None
    # How often a candidate's chance of delaying the reserved job was computed.
    delay_checks: int = 0
