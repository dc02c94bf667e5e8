"""What users ask of the service beyond the protocol's rules, checked in simulated deployments."""

from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from spindleglade.runtime.clock import seconds
from tests.deployment_config import size
from tests.fakes.cloud import Machine
from tests.invariants.dependency_invariants import OVER

if TYPE_CHECKING:
    from tests.simulated_deployment import SimulatedDeployment

# How long a job may wait, once all faults are over, while there is room for it.
IDLE_ROOM = seconds(90)
# How soon the largest jobs of a class must begin, and the share of each kind of job that must be served.
BEGINS_WITHIN = seconds(240)
LEAST_SERVED = 0.5
# Between two looks for room that stands idle.
LOOK_EVERY = seconds(2)
# A task may take so many times as long as its job says.
LONGEST_RUN = 1.5


class ServiceInvariants:
    """Notes in `violations` which jobs wait though there is room, and checks a whole day at its end."""

    def __init__(self, deployment: "SimulatedDeployment") -> None:
        self._deployment = deployment
        # Since when each job has waited although a machine had room for it; and when that was last looked at.
        self._passed_over: dict[str, timedelta] = {}
        self._looked = timedelta(0)

    def served(self, key: Callable[[dict], Any]) -> dict:
        """By class, team or whatever `key` gives: how much of its jobs is done, of those nobody cancelled."""
        found: dict = {}
        for job_id, job in self._deployment.jobs.descriptions.items():
            if not self._deployment.dependencies.cancelled(job_id):
                found.setdefault(key(job), []).append(
                    self._deployment.jobs.observed_states.get(job_id) == "done"
                )
        return {name: sum(done) / len(done) for name, done in found.items()}

    def largest(self) -> set[str]:
        """Of each class the jobs that take as much as any of it, all tasks together."""
        most: dict[str, float] = {}
        for job in self._deployment.jobs.descriptions.values():
            most[job["bobbin"]] = max(most.get(job["bobbin"], 0.0), size(job))
        return {
            job_id
            for job_id, job in self._deployment.jobs.descriptions.items()
            if size(job) >= most[job["bobbin"]]
        }

    def check_day(self) -> None:
        """Every job known, and half of each class, of each team and of each class's largest jobs served; the
        largest begun within four minutes."""
        largest = self.largest()
        assert self._deployment.jobs.descriptions.keys() == self._deployment.jobs.accepted, sorted(
            self._deployment.jobs.descriptions.keys() - self._deployment.jobs.accepted
        )
        for key in (
            lambda job: job["bobbin"],
            lambda job: job["crew"],
            lambda job: (job["bobbin"], job["ref"] in largest),
        ):
            shares = self.served(key)
            assert min(shares.values(), default=1.0) >= LEAST_SERVED, shares
        waits = {
            job: self._deployment.executions.began_at.get(job, self._deployment.clock.now() + BEGINS_WITHIN)
            - self._deployment.jobs.submitted_at[job]
            for job in largest
            if not self._deployment.dependencies.cancelled(job)
        }
        late = {job: wait for job, wait in waits.items() if wait >= BEGINS_WITHIN}
        assert not late, late

    def _room(self) -> tuple[list[tuple[Machine, float, float]], Counter]:
        """What each machine that is well has free, and the CPUs that each team holds."""
        free: list[tuple[Machine, float, float]] = []
        held: Counter[str] = Counter()
        for worker in self._deployment.workers.values():
            if worker.terminated:
                continue
            for name, _ in worker.tasks:
                job = self._deployment.jobs.descriptions[name.rpartition("/")[0]]
                held[job["crew"]] += job["vcpus"]
            if worker.hung_until is None and worker.terminates_at is None:
                free.append((worker.machine, *worker._free()))
        return free, held

    def _fits(self, job: dict, free: list[tuple[Machine, float, float]], held: Counter) -> bool:
        """Whether a task of the job could start somewhere, by all that the rules say."""
        if held[job["crew"]] + job["vcpus"] > self._deployment.config.limit(job["crew"]):
            return False
        tasks = (f"{job['ref']}/{index}" for index in range(job["threads"]))
        zones = [
            self._deployment.workers[name].machine.zone
            for task in tasks
            for name in self._deployment.executions.running_on.get(task, ())
        ]
        for machine, cpus, memory in free:
            if (machine.spot and not job["windfall"]) or (job["glade"] and job["glade"] != machine.zone):
                continue
            if job["together"] and zones and machine.zone not in zones:
                continue
            if job["scatter"] and zones.count(machine.zone) + 1 > (job["threads"] + 1) // 2:
                continue
            if cpus >= job["vcpus"] and memory >= job["mem_gb"]:
                return True
        return False

    def has_room(self, job: dict) -> bool:
        """Whether a task of the job could start on a machine that is there."""
        return self._fits(job, *self._room())

    def work(self, team: str) -> timedelta:
        """How long a team's jobs take at its limit, if each takes as long as it may."""
        cpu_s = sum(
            size(job) * LONGEST_RUN * job["run_s"]
            for job in self._deployment.jobs.descriptions.values()
            if job["crew"] == team
        )
        return seconds(cpu_s / self._deployment.config.limit(team))

    def check(self) -> None:
        """No job may wait for long while a machine that fits has room and its team is under its limit."""
        now = self._deployment.clock.now()
        if now < self._deployment.fault_window.ends_at or now - self._looked < LOOK_EVERY:
            return
        self._looked = now
        free, held = self._room()
        for job_id in self._deployment.jobs.accepted:
            job = self._deployment.jobs.descriptions[job_id]
            tasks = [f"{job_id}/{index}" for index in range(job["threads"])]
            if (
                self._deployment.dependencies.cancelled(job_id)
                or not self._deployment.dependencies.released(job_id)
                or self._deployment.jobs.observed_states.get(job_id) in OVER
                or all(
                    task in self._deployment.executions.completed
                    or self._deployment.executions.running_on.get(task)
                    for task in tasks
                )
                or not self._fits(job, free, held)
            ):
                self._passed_over.pop(job_id, None)
                continue
            since = max(
                self._passed_over.setdefault(job_id, now),
                self._deployment.executions.latest_start_at.get(job_id, now * 0),
            )
            if now - since > IDLE_ROOM:
                self._deployment.violations.append(f"waits {job_id} since {since} while there is room")
