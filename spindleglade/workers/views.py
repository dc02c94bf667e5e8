"""Builds the views of machines and jobs that planning passes work on."""

from datetime import timedelta
from typing import NamedTuple

from spindleglade.backfill.snapshot import JobView, MachineView, RunningTask
from spindleglade.workers.attempts import FETCHING, RUNNING, Attempt
from spindleglade.workers.jobs import Job, estimate
from spindleglade.workers.machines import Machine, MachineTypeCapacity

# Stands in for the capacity of a machine type that is not known.
UNKNOWN_TYPE_CAPACITY = MachineTypeCapacity(0.0, 0.0, 0.0, 0.0, 1.0)


class JobCircumstances(NamedTuple):
    """The conditions of a job that planning takes into account besides the job's own state."""

    # The CPUs that one pass can fill at most, which limits the number of waiting tasks in the view.
    max_cpus: float
    is_overdue: bool
    # Machines that no task of the job must be placed on.
    avoided_machines: frozenset[str]
    # Machines that a waiting task must not be placed on, by task number.
    excluded_machines: dict[int, set[str]]
    # Whether only one task is offered, to test whether the job still fails.
    is_probe: bool
    # Whether dependents will miss their deadlines unless the job starts now.
    is_urgent: bool


def machine_view(machine: Machine, capacity: MachineTypeCapacity) -> MachineView:
    """The view of a machine with its tasks and images. The caller sets `is_usable`."""
    tasks = []
    fetching = set()
    for attempt in machine.placed.values():
        image = attempt.job.spec.image
        if attempt.state == FETCHING and image not in machine.images:
            fetching.add(image)
        tasks.append(_running_task(attempt))
    return MachineView(
        machine.name,
        machine.type,
        machine.zone,
        machine.spot,
        capacity.cpus,
        capacity.gpus,
        capacity.memory_gb,
        capacity.fetch_gb_per_s,
        tasks,
        set(machine.images),
        fetching,
    )


def _running_task(attempt: Attempt) -> RunningTask:
    spec = attempt.job.spec
    running_since = None
    if attempt.state == RUNNING:
        running_since = attempt.running_since or attempt.placed_at
    return RunningTask(
        spec.id,
        attempt.index,
        spec.team,
        attempt.job.rank,
        spec.cpus,
        spec.gpus,
        spec.memory_gb,
        estimate(spec),
        running_since,
        timedelta(seconds=spec.save_s) if spec.checkpoint_s > 0 else None,
        attempt.stop_reason is not None,
        attempt.started_overdue,
    )


def job_view(job: Job, machines: dict[str, Machine], circumstances: JobCircumstances) -> JobView:
    """The view of a job with as many of its waiting tasks as one pass may place."""
    spec = job.spec
    if spec.is_gang:
        max_tasks = len(job.task_states)
    elif circumstances.is_probe:
        max_tasks = 1
    else:
        max_tasks = int(circumstances.max_cpus / spec.cpus) + 1
    return JobView(
        job.id,
        spec.team,
        spec.job_class,
        job.rank,
        job.waiting_tasks(max_tasks),
        spec.tasks,
        spec.cpus,
        spec.gpus,
        spec.memory_gb,
        spec.image,
        spec.image_gb,
        job.types,
        spec.zone,
        spec.one_zone,
        spec.spread,
        spec.spot,
        estimate(spec),
        _tasks_by_zone(job, machines) if spec.one_zone or spec.spread else {},
        spec.is_gang and not job.placed,
        circumstances.is_overdue,
        circumstances.avoided_machines,
        circumstances.excluded_machines,
        circumstances.is_probe,
        circumstances.is_urgent,
    )


def _tasks_by_zone(job: Job, machines: dict[str, Machine]) -> dict[str, int]:
    """The number of placed tasks of the job, by zone. Machines that are not known have an empty zone."""
    zones: dict[str, int] = {}
    for attempt in job.placed.values():
        machine = machines.get(attempt.machine)
        zone = machine.zone if machine is not None else ""
        zones[zone] = zones.get(zone, 0) + 1
    return zones
