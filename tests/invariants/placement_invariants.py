"""Invariants of where and when tasks run, checked at each start and while they run."""

from collections.abc import Callable

from spindleglade.runtime.clock import ManualClock
from tests.deployment_config import CANCEL_TIMEOUT, DeploymentConfig
from tests.fakes.worker import Worker
from tests.simulation.job_records import JobRecords, job_of

# Rounding errors that are tolerated in sums of CPUs.
CPU_TOLERANCE = 1e-9


class PlacementInvariants:
    """Appends each violation of a rule to `violations`.

    - `ran_twice`: a task runs on two machines at once.
    - `ran_cancelled`: a task starts or runs more than `cancel_s` after a user was told that its job is
      aborted.
    - `wrong_place`: a task runs on a machine or in a zone that its job's description excludes.
    - `quota`: a team uses more CPUs than its limit.
    """

    def __init__(
        self,
        clock: ManualClock,
        config: DeploymentConfig,
        jobs: JobRecords,
        workers: dict[str, Worker],
        violations: list[str],
    ) -> None:
        self._clock, self._config, self._jobs = clock, config, jobs
        self._workers, self._violations = workers, violations
        # Tasks that started after a confirmed cancellation, but still within `cancel_s`, which is allowed.
        self.started_late: list[str] = []

    def check_start(self, machine: str, task: str, running_on: dict[str, set[str]], team_cpus: float) -> None:
        """Checks a task that starts on a machine now; `running_on` and `team_cpus` already include it."""
        self._check_not_running_twice(task, running_on)
        self._check_not_cancelled(task)
        self._check_machine(machine, task)
        self._check_zones(task, running_on)
        team = self._jobs.description_of_task(task)["crew"]
        if team_cpus > self._config.limit(team) + CPU_TOLERANCE:
            self._violations.append(f"quota {team} uses {team_cpus}")

    def check_after_hang(self, worker: Worker) -> None:
        """Checks that a machine resuming from a hang runs no task of a job cancelled over `cancel_s` ago."""
        if worker.terminated:
            return
        for task in worker.tasks.values():
            if task.state == "running" and self._is_overdue(job_of(task.name)):
                self._violations.append(f"ran_cancelled {task.name} still runs after its machine hung")

    def check_cancelled(self, job_id: str, machines_of: Callable[[str], list[str]]) -> None:
        """Checks that a cancelled job no longer runs; called at every step.

        Machines that hang are skipped here and checked by `check_after_hang`.
        """
        if not self._is_overdue(job_id):
            return
        machines = [name for name in machines_of(job_id) if self._workers[name].hung_until is None]
        if machines:
            self._violations.append(f"ran_cancelled {job_id} still runs on {machines}")

    def _is_overdue(self, job_id: str) -> bool:
        cancelled_at = self._jobs.cancelled_at.get(job_id)
        return cancelled_at is not None and self._clock.now() - cancelled_at > CANCEL_TIMEOUT

    def _check_not_running_twice(self, task: str, running_on: dict[str, set[str]]) -> None:
        if len(running_on[task]) > 1:
            self._violations.append(
                f"ran_twice {task} runs on {sorted(running_on[task])} at {self._clock.now()}"
            )

    def _check_not_cancelled(self, task: str) -> None:
        if self._is_overdue(job_of(task)):
            self._violations.append(f"ran_cancelled {task} started at {self._clock.now()}")
        elif job_of(task) in self._jobs.cancelled_at:
            self.started_late.append(task)

    def _check_machine(self, machine: str, task: str) -> None:
        job, cloud_machine = self._jobs.description_of_task(task), self._workers[machine].machine
        if (cloud_machine.spot and not job["windfall"]) or (
            job["glade"] and cloud_machine.zone != job["glade"]
        ):
            self._violations.append(f"wrong_place {task} runs on {machine}")

    def _check_zones(self, task: str, running_on: dict[str, set[str]]) -> None:
        job = self._jobs.description_of_task(task)
        zones = [
            self._workers[name].machine.zone
            for sibling_task in self._jobs.tasks(job_of(task))
            for name in running_on.get(sibling_task, ())
        ]
        if job["together"] and len(set(zones)) > 1:
            self._violations.append(f"wrong_place {task}: its job's tasks run in several zones")
        if job["scatter"] and max(zones.count(zone) for zone in zones) > (job["threads"] + 1) // 2:
            self._violations.append(f"wrong_place {task}: over half of its job's tasks run in one zone")
