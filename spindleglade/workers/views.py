"""The cluster state as planning sees it."""

from datetime import timedelta

from spindleglade.backfill.snapshot import JobView, MachineView, RunningTask
from spindleglade.workers.jobs import Job, estimate
from spindleglade.workers.machines import Machine, MachineTypeCapacity

# Of a machine whose type is not known.
UNKNOWN_TYPE = MachineTypeCapacity(0.0, 0.0, 0.0, 0.0, 1.0)


def machine_view(machine: Machine, kind: MachineTypeCapacity) -> MachineView:
    tasks = []
    fetching = set()
    for assignment in machine.placed.values():
        spec = assignment.job.spec
        if assignment.state == "pulling" and spec.image not in machine.images:
            fetching.add(spec.image)
        since = None
        if assignment.state == "running":
            since = assignment.running_since or assignment.placed_at
        tasks.append(
            RunningTask(
                spec.id,
                assignment.index,
                spec.team,
                assignment.job.rank,
                spec.cpus,
                spec.gpus,
                spec.memory_gb,
                estimate(spec),
                since,
                timedelta(seconds=spec.save_s) if spec.checkpoint_s > 0 else None,
                assignment.stop_reason is not None,
                assignment.started_overdue,
            )
        )
    return MachineView(
        machine.name,
        machine.type,
        machine.zone,
        machine.spot,
        kind.cpus,
        kind.gpus,
        kind.memory,
        kind.pull_gb_per_s,
        tasks,
        set(machine.images),
        fetching,
    )


def job_view(
    job: Job,
    machines: dict[str, Machine],
    room: float,
    overdue: bool,
    excluded_machines: dict[int, set[str]],
    is_probe: bool = False,
    is_urgent: bool = False,
) -> JobView:
    """`room`: CPUs that one round could at most fill."""
    spec = job.spec
    most = 1 if is_probe else int(room / spec.cpus) + 1
    zones: dict[str, int] = {}
    if spec.one_zone or spec.spread:
        for assignment in job.placed.values():
            machine = machines.get(assignment.machine)
            zone = machine.zone if machine is not None else ""
            zones[zone] = zones.get(zone, 0) + 1
    return JobView(
        job.id,
        spec.team,
        spec.job_class,
        job.rank,
        job.waiting_tasks(len(job.task_states) if spec.is_gang else most),
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
        zones,
        spec.is_gang and not job.placed,
        overdue,
        frozenset(job.avoided_machines),
        excluded_machines,
        is_probe,
        is_urgent,
    )
