"""The cluster state as planning sees it."""

from datetime import timedelta

from spindleglade.backfill.snapshot import JobView, MachineView, Running
from spindleglade.workers.attempts import Job, Machine, MachineKind, estimate

# Of a machine whose type is not known.
NO_KIND = MachineKind(0.0, 0.0, 0.0, 0.0, 1.0)


def machine_view(machine: Machine, kind: MachineKind) -> MachineView:
    tasks = []
    pulling = set()
    for assignment in machine.placed.values():
        spec = assignment.job.spec
        if assignment.stage == "pulling" and spec.image not in machine.images:
            pulling.add(spec.image)
        since = None
        if assignment.stage == "running":
            since = assignment.since or assignment.placed_at
        tasks.append(
            Running(
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
                assignment.stop is not None,
                assignment.owed,
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
        pulling,
    )


def job_view(
    job: Job,
    machines: dict[str, Machine],
    room: float,
    overdue: bool,
    barred: dict[int, set[str]],
    trial: bool = False,
    pressing: bool = False,
) -> JobView:
    """`room`: CPUs that one round could at most fill."""
    spec = job.spec
    most = 1 if trial else int(room / spec.cpus) + 1
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
        job.waiting(len(job.state) if spec.whole else most),
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
        spec.whole and not job.placed,
        overdue,
        frozenset(job.avoid),
        barred,
        trial,
        pressing,
    )
