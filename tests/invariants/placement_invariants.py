"""Where and when tasks may run, checked at each start and while they run."""

from collections.abc import Callable

from spindleglade.runtime.clock import ManualClock
from tests.deployment_config import CANCEL, DeploymentConfig
from tests.fakes.worker import Worker
from tests.simulation.job_records import JobRecords, job_of

# For sums of CPUs.
ROUNDING = 1e-9


class PlacementInvariants:
    """Notes in `violations` what breaks a rule.

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
        # Starts after a confirmed cancellation that came within `cancel_s`.
        self.started_late: list[str] = []

    def check_start(self, machine: str, task: str, running_on: dict[str, set[str]], team_cpus: float) -> None:
        """The task starts on the machine now. `running_on` and the team's CPUs count it."""
        self._check_single(task, running_on)
        self._check_not_cancelled(task)
        self._check_machine(machine, task)
        self._check_zones(task, running_on)
        team = self._jobs.description_of_task(task)["crew"]
        if team_cpus > self._config.limit(team) + ROUNDING:
            self._violations.append(f"quota {team} {team_cpus}")

    def check_after_hang(self, worker: Worker) -> None:
        """What a machine that hung goes on with may not have been cancelled long ago."""
        if worker.terminated:
            return
        for task in worker.tasks.values():
            if task.state == "running" and self._is_overdue(job_of(task.name)):
                self._violations.append(f"ran_cancelled {task.name} goes on after a hang")

    def check_cancelled(self, job_id: str, machines_of: Callable[[str], list[str]]) -> None:
        """At any moment, for each cancelled job. What hangs is looked at when it goes on."""
        if not self._is_overdue(job_id):
            return
        on = [name for name in machines_of(job_id) if self._workers[name].hung_until is None]
        if on:
            self._violations.append(f"ran_cancelled {job_id} still on {on}")

    def _is_overdue(self, job_id: str) -> bool:
        at = self._jobs.cancelled_at.get(job_id)
        return at is not None and self._clock.now() - at > CANCEL

    def _check_single(self, task: str, running_on: dict[str, set[str]]) -> None:
        if len(running_on[task]) > 1:
            self._violations.append(f"ran_twice {task} on {sorted(running_on[task])} at {self._clock.now()}")

    def _check_not_cancelled(self, task: str) -> None:
        if self._is_overdue(job_of(task)):
            self._violations.append(f"ran_cancelled {task} started at {self._clock.now()}")
        elif job_of(task) in self._jobs.cancelled_at:
            self.started_late.append(task)

    def _check_machine(self, machine: str, task: str) -> None:
        job, at = self._jobs.description_of_task(task), self._workers[machine].machine
        if (at.spot and not job["windfall"]) or (job["glade"] and at.zone != job["glade"]):
            self._violations.append(f"wrong_place {task} on {machine}")

    def _check_zones(self, task: str, running_on: dict[str, set[str]]) -> None:
        job = self._jobs.description_of_task(task)
        zones = [
            self._workers[name].machine.zone
            for other in self._jobs.tasks(job_of(task))
            for name in running_on.get(other, ())
        ]
        if job["together"] and len(set(zones)) > 1:
            self._violations.append(f"wrong_place {task}: not together")
        if job["scatter"] and max(zones.count(zone) for zone in zones) > (job["threads"] + 1) // 2:
            self._violations.append(f"wrong_place {task}: not scattered")
