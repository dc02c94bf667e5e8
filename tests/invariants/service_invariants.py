"""Invariants of the service that users get, beyond the rules of the protocol."""

from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from spindleglade.runtime.clock import seconds
from tests.deployment_config import requested_cpus
from tests.fakes.cloud import Machine
from tests.invariants.dependency_invariants import FINAL_STATES

if TYPE_CHECKING:
    from tests.simulated_deployment import SimulatedDeployment

# The maximum time that a job may wait while there is capacity for it, once all faults are over.
MAX_WAIT_WITH_CAPACITY = seconds(90)
# The maximum time until the largest jobs of a class start, and the minimum share of done jobs of each class
# and team.
MAX_START_DELAY = seconds(240)
MIN_SERVED_SHARE = 0.5
# The minimum time between two checks for jobs that wait in spite of free capacity.
CHECK_INTERVAL = seconds(2)
# The maximum run time of a task, as a multiple of its job's `run_s`.
MAX_RUN_TIME_FACTOR = 1.5


class ServiceInvariants:
    """Records jobs that wait in spite of free capacity as violations, and checks the objectives of a whole
    run at its end."""

    def __init__(self, deployment: "SimulatedDeployment") -> None:
        self._deployment = deployment
        # Since when each job has waited although a machine has capacity for it.
        self._waiting_since: dict[str, timedelta] = {}
        # The time of the last check.
        self._checked_at = timedelta(0)

    def done_shares(self, key: Callable[[dict], Any]) -> dict:
        """Returns the share of done jobs among those nobody cancelled, by class, team or any other `key`."""
        outcomes: dict = {}
        for job_id, job in self._deployment.jobs.descriptions.items():
            if not self._deployment.dependencies.is_cancel_requested(job_id):
                outcomes.setdefault(key(job), []).append(
                    self._deployment.jobs.observed_states.get(job_id) == "done"
                )
        return {name: sum(done) / len(done) for name, done in outcomes.items()}

    def largest_jobs(self) -> set[str]:
        """Returns the ids of the largest jobs of each class by the total CPUs of all tasks."""
        max_sizes: dict[str, float] = {}
        for job in self._deployment.jobs.descriptions.values():
            max_sizes[job["bobbin"]] = max(max_sizes.get(job["bobbin"], 0.0), requested_cpus(job))
        return {
            job_id
            for job_id, job in self._deployment.jobs.descriptions.items()
            if requested_cpus(job) >= max_sizes[job["bobbin"]]
        }

    def check_objectives(self) -> None:
        """Checks the objectives of a whole run at its end.

        Every job must be accepted, `MIN_SERVED_SHARE` of the jobs of each class, of each team and of the
        largest jobs of each class must be done, and the largest jobs must start within `MAX_START_DELAY`.
        """
        largest = self.largest_jobs()
        assert self._deployment.jobs.descriptions.keys() == self._deployment.jobs.accepted, sorted(
            self._deployment.jobs.descriptions.keys() - self._deployment.jobs.accepted
        )
        for key in (
            lambda job: job["bobbin"],
            lambda job: job["crew"],
            lambda job: (job["bobbin"], job["ref"] in largest),
        ):
            shares = self.done_shares(key)
            assert min(shares.values(), default=1.0) >= MIN_SERVED_SHARE, shares
        waits = {
            job: self._deployment.executions.first_start_at.get(
                job, self._deployment.clock.now() + MAX_START_DELAY
            )
            - self._deployment.jobs.submitted_at[job]
            for job in largest
            if not self._deployment.dependencies.is_cancel_requested(job)
        }
        late = {job: wait for job, wait in waits.items() if wait >= MAX_START_DELAY}
        assert not late, late

    def _resource_usage(self) -> tuple[list[tuple[Machine, float, float]], Counter]:
        """Returns the free CPUs and memory of each healthy machine, and the CPUs that each team holds.

        A machine is healthy if it neither hangs nor has a termination notice. A team holds the CPUs of a task
        until the worker has cleared the task, even after its exit.
        """
        free_resources: list[tuple[Machine, float, float]] = []
        cpus_held: Counter[str] = Counter()
        for worker in self._deployment.workers.values():
            if worker.terminated:
                continue
            for name, _ in worker.tasks:
                job = self._deployment.jobs.descriptions[name.rpartition("/")[0]]
                cpus_held[job["crew"]] += job["vcpus"]
            if worker.hung_until is None and worker.terminates_at is None:
                free_resources.append((worker.machine, *worker.free_resources()))
        return free_resources, cpus_held

    def _fits(
        self, job: dict, free_resources: list[tuple[Machine, float, float]], cpus_held: Counter
    ) -> bool:
        """Whether a task of the job could start on some machine under the placement rules and team limit."""
        if cpus_held[job["crew"]] + job["vcpus"] > self._deployment.config.limit(job["crew"]):
            return False
        tasks = (f"{job['ref']}/{index}" for index in range(job["threads"]))
        zones = [
            self._deployment.workers[name].machine.zone
            for task in tasks
            for name in self._deployment.executions.running_on.get(task, ())
        ]
        for machine, cpus, memory in free_resources:
            if (machine.spot and not job["windfall"]) or (job["glade"] and job["glade"] != machine.zone):
                continue
            if job["together"] and zones and machine.zone not in zones:
                continue
            if job["scatter"] and zones.count(machine.zone) + 1 > (job["threads"] + 1) // 2:
                continue
            if cpus >= job["vcpus"] and memory >= job["mem_gb"]:
                return True
        return False

    def has_capacity_for(self, job: dict) -> bool:
        """Whether a task of the job could start on a machine that runs now."""
        return self._fits(job, *self._resource_usage())

    def max_work_time(self, team: str) -> timedelta:
        """Returns how long a team's jobs take at its CPU limit if each runs for its maximum time."""
        cpu_s = sum(
            requested_cpus(job) * MAX_RUN_TIME_FACTOR * job["run_s"]
            for job in self._deployment.jobs.descriptions.values()
            if job["crew"] == team
        )
        return seconds(cpu_s / self._deployment.config.limit(team))

    def check(self) -> None:
        """Checks that no job waits too long while a machine and its team's limit allow a start."""
        now = self._deployment.clock.now()
        if now < self._deployment.fault_window.ends_at or now - self._checked_at < CHECK_INTERVAL:
            return
        self._checked_at = now
        free_resources, cpus_held = self._resource_usage()
        for job_id in self._deployment.jobs.accepted:
            job = self._deployment.jobs.descriptions[job_id]
            tasks = [f"{job_id}/{index}" for index in range(job["threads"])]
            if (
                self._deployment.dependencies.is_cancel_requested(job_id)
                or not self._deployment.dependencies.is_released(job_id)
                or self._deployment.jobs.observed_states.get(job_id) in FINAL_STATES
                or all(
                    task in self._deployment.executions.completed
                    or self._deployment.executions.running_on.get(task)
                    for task in tasks
                )
                or not self._fits(job, free_resources, cpus_held)
            ):
                self._waiting_since.pop(job_id, None)
                continue
            since = max(
                self._waiting_since.setdefault(job_id, now),
                self._deployment.executions.latest_start_at.get(job_id, now * 0),
            )
            if now - since > MAX_WAIT_WITH_CAPACITY:
                self._deployment.violations.append(
                    f"waits {job_id} since {since} though a machine has capacity for it"
                )
