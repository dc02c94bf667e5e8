"""Records which tasks run on which machines, as observed at the workers."""

from collections import Counter
from collections.abc import Callable
from datetime import timedelta

from spindleglade.runtime.clock import ManualClock
from tests.fakes.worker import Worker
from tests.invariants.placement_invariants import PlacementInvariants
from tests.simulation.job_records import JobRecords, job_of


class TaskExecutions:
    """Records the starts and ends of all tasks, and checks each start against the placement rules."""

    def __init__(
        self,
        clock: ManualClock,
        jobs: JobRecords,
        workers: dict[str, Worker],
        placement: PlacementInvariants,
    ) -> None:
        self._clock, self._jobs, self._workers, self._placement = clock, jobs, workers, placement
        # The names of the machines that each task runs on now.
        self.running_on: dict[str, set[str]] = {}
        # The CPUs that each team's running tasks use.
        self.cpus_in_use: dict[str, float] = {}
        # When the first and the latest task of each job started.
        self.first_start_at: dict[str, timedelta] = {}
        self.latest_start_at: dict[str, timedelta] = {}
        self.started = 0
        self.start_counts: Counter[str] = Counter()
        self.completed: set[str] = set()
        # Called with the job and the task before a start is recorded, and with each job when its last task
        # has completed.
        self.start_callbacks: list[Callable[[str, str], None]] = []
        self.completion_callbacks: list[Callable[[str], None]] = []

    def on_task_started(self, machine: str, task: str) -> None:
        """Records and checks that a worker has begun to run the task."""
        self.started += 1
        self.start_counts[task] += 1
        job_id, now = job_of(task), self._clock.now()
        job = self._jobs.descriptions[job_id]
        for callback in self.start_callbacks:
            callback(job_id, task)
        self.running_on.setdefault(task, set()).add(machine)
        team = job["crew"]
        self.cpus_in_use[team] = self.cpus_in_use.get(team, 0.0) + job["vcpus"]
        self._placement.check_start(machine, task, self.running_on, self.cpus_in_use[team])
        self.first_start_at.setdefault(job_id, now)
        self.latest_start_at[job_id] = now

    def on_task_ended(self, machine: str, task: str) -> None:
        """Records that a worker has stopped running the task, for whatever cause."""
        self.running_on.get(task, set()).discard(machine)
        job = self._jobs.description_of_task(task)
        self.cpus_in_use[job["crew"]] -= job["vcpus"]
        worker = self._workers[machine]
        if any(attempt.name == task and attempt.cause == "done" for attempt in worker.tasks.values()):
            self.completed.add(task)
            if self.is_complete(job["ref"]):
                for callback in self.completion_callbacks:
                    callback(job["ref"])

    def is_complete(self, job_id: str) -> bool:
        """Whether every task of the job has completed."""
        return all(task in self.completed for task in self._jobs.tasks(job_id))

    def machines_of(self, job_id: str) -> list[str]:
        """Returns the sorted names of the machines that run tasks of the job."""
        return sorted(
            {machine for task in self._jobs.tasks(job_id) for machine in self.running_on.get(task, ())}
        )
