"""Which tasks run on which machines, observed at the workers."""

from collections import Counter
from collections.abc import Callable
from datetime import timedelta

from spindleglade.runtime.clock import ManualClock
from tests.fakes.worker import Worker
from tests.invariants.placement_invariants import PlacementInvariants
from tests.simulation.job_records import JobRecords, job_of


class TaskExecutions:
    """Follows the starts and ends of all tasks, and has each start checked."""

    def __init__(
        self,
        clock: ManualClock,
        jobs: JobRecords,
        workers: dict[str, Worker],
        placement: PlacementInvariants,
    ) -> None:
        self._clock, self._jobs, self._workers, self._placement = clock, jobs, workers, placement
        # The machines on which each task runs now.
        self.running_on: dict[str, set[str]] = {}
        # CPUs that each team uses.
        self.cpus_in_use: dict[str, float] = {}
        # When each job began, and when its latest task started.
        self.began_at: dict[str, timedelta] = {}
        self.latest_start_at: dict[str, timedelta] = {}
        self.started = 0
        self.start_counts: Counter[str] = Counter()
        self.completed: set[str] = set()
        # Called with job and task before a start is recorded, and with a job whose tasks are all done.
        self.start_callbacks: list[Callable[[str, str], None]] = []
        self.completion_callbacks: list[Callable[[str], None]] = []

    def on_task_started(self, machine: str, task: str) -> None:
        """A worker began to run the task."""
        self.started += 1
        self.start_counts[task] += 1
        job_id, now = job_of(task), self._clock.now()
        job = self._jobs.descriptions[job_id]
        for call in self.start_callbacks:
            call(job_id, task)
        self.running_on.setdefault(task, set()).add(machine)
        team = job["crew"]
        self.cpus_in_use[team] = self.cpus_in_use.get(team, 0.0) + job["vcpus"]
        self._placement.check_start(machine, task, self.running_on, self.cpus_in_use[team])
        self.began_at.setdefault(job_id, now)
        self.latest_start_at[job_id] = now

    def on_task_ended(self, machine: str, task: str) -> None:
        """A worker runs the task no more, whatever ended it."""
        self.running_on.get(task, set()).discard(machine)
        job = self._jobs.description_of_task(task)
        self.cpus_in_use[job["crew"]] -= job["vcpus"]
        worker = self._workers[machine]
        if any(entry.name == task and entry.cause == "done" for entry in worker.tasks.values()):
            self.completed.add(task)
            if self.is_complete(job["ref"]):
                for call in self.completion_callbacks:
                    call(job["ref"])

    def is_complete(self, job_id: str) -> bool:
        """Whether all tasks of the job have run to their end."""
        return all(task in self.completed for task in self._jobs.tasks(job_id))

    def machines_of(self, job_id: str) -> list[str]:
        """Where the job's tasks run."""
        return sorted(
            {machine for task in self._jobs.tasks(job_id) for machine in self.running_on.get(task, ())}
        )
