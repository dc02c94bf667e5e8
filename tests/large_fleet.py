"""Simulates a very large fleet under load. Run by hand, since it takes minutes:

    python -m tests.large_fleet --machines 4000

Thousands of machines are provisioned, all controllers restart within three seconds, and a zone is cut off.
The invariants are checked throughout. The output shows resource use next to its limits. See
docs/large-fleet.md.
"""

import argparse
import logging
import re
import resource
import time
from datetime import timedelta

from spindleglade.runtime.clock import seconds
from tests.deployment_config import DeploymentConfig
from tests.simulated_deployment import SimulatedDeployment

RESTART_AT, CUT_AT, CUT_FOR = seconds(60), seconds(80), seconds(15)
RUN_LENGTH = seconds(170)
STEP = timedelta(milliseconds=200)
TEAMS = ("red", "blue", "green")
CPUS_PER_MACHINE = 8
# Fields of the jobs by class. Jobs of the classes are submitted in turn.
CLASSES = {
    "short": {"vcpus": 1.0, "threads": 200, "run_s": 4.0, "reckon_s": 4.0, "urgency": "high"},
    "middle": {"vcpus": 2.0, "threads": 200, "run_s": 15.0, "reckon_s": 15.0},
    "large": {"vcpus": 8.0, "threads": 100, "run_s": 20.0, "reckon_s": 20.0},
}
# CPU-seconds of work submitted per CPU and second.
OFFERED_LOAD = 0.75
LAST_SUBMISSION = seconds(110)
PLANNING_PASS_LOG = re.compile(r"planned starts=(\d+) .* cpu_ms=([\d.]+)")


class PlanningPassTimes(logging.Handler):
    """Collects the starts and CPU times that the controllers log for their planning passes."""

    def __init__(self) -> None:
        super().__init__(logging.DEBUG)
        self.cpu_ms: list[float] = []
        self.starts: list[int] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Reads the figures of a planning pass from its log line."""
        match = PLANNING_PASS_LOG.match(record.getMessage())
        if match:
            self.starts.append(int(match[1]))
            self.cpu_ms.append(float(match[2]))


def large_deployment_config(machines: int) -> DeploymentConfig:
    """The rate limits of today's largest deployment, with more machines, and sockets for twice as many
    connections as there are workers."""
    cpus = machines * CPUS_PER_MACHINE / len(TEAMS)
    teams = tuple({"name": name, "cpus": cpus / 2, "cpus_max": cpus * 1.5} for name in TEAMS)
    return DeploymentConfig(
        capacity=machines,
        heartbeat_interval=seconds(2.5),
        lease=seconds(14),
        teams=teams,
        rps=600.0,
        write_rps=120.0,
        cloud_rps=6.0,
        sockets=2 * machines,
        txn_ops=32,
    )


def submit_all(deployment: SimulatedDeployment, machines: int) -> list[str]:
    """Schedules submissions at an even rate. Returns a list that receives each job when it is submitted."""
    jobs: list[str] = []
    mean_cpu_s = sum(job["vcpus"] * job["threads"] * job["run_s"] for job in CLASSES.values()) / len(CLASSES)
    interval_s = mean_cpu_s / (machines * CPUS_PER_MACHINE * OFFERED_LOAD)

    def submit(number: int) -> None:
        name = list(CLASSES)[number % len(CLASSES)]
        fields = CLASSES[name] | {"bobbin": name, "crew": TEAMS[number % len(TEAMS)]}
        job = deployment.users.submit(number, **fields)
        deployment.users.poll_until_over(job, seconds(5))
        jobs.append(job)

    for number in range(int(LAST_SUBMISSION.total_seconds() / interval_s)):
        deployment.clock.later(seconds(1 + number * interval_s), submit, number)
    return jobs


def restart_all(deployment: SimulatedDeployment) -> None:
    """Stops all controllers within three seconds and restarts each after a while."""
    for index, (stop_s, downtime_s) in enumerate(((0.0, 4.0), (1.0, 0.2), (2.5, 3.0))):
        deployment.clock.later(seconds(stop_s), deployment.faults.restart, index, seconds(downtime_s))


def percentile(values: list[float], fraction: float) -> float:
    """The value that this fraction of the values does not exceed, or 0 without values."""
    return sorted(values)[int(fraction * (len(values) - 1))] if values else 0.0


def main() -> None:
    """Runs the simulation and prints its figures."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--machines", type=int, default=4000)
    parser.add_argument("--seed", type=int, default=41)
    options = parser.parse_args()
    passes = PlanningPassTimes()
    planner_log = logging.getLogger("spindleglade.backfill")
    planner_log.setLevel(logging.DEBUG)
    planner_log.addHandler(passes)
    started_at = time.monotonic()
    deployment = SimulatedDeployment(options.seed, config=large_deployment_config(options.machines))
    deployment.cloud.page_size = 500
    jobs = submit_all(deployment, options.machines)
    deployment.clock.later(RESTART_AT, restart_all, deployment)
    deployment.clock.later(CUT_AT, deployment.network.cut_zone, "b", True, CUT_FOR)
    most_machines = 0
    while deployment.clock.now() < RUN_LENGTH:
        deployment.run(seconds(10), STEP)
        machines = sum(not worker.terminated for worker in deployment.workers.values())
        most_machines = max(most_machines, machines)
        at_s = deployment.clock.now().total_seconds()
        done = sum(stage == "done" for stage in deployment.jobs.observed_states.values())
        print(
            f"at {at_s:.0f} s: {machines} machines, {deployment.executions.started} starts, "
            f"{done} of {len(jobs)} jobs done, "
            f"{len(deployment.state.keys)} keys, revision {deployment.state.revision}, "
            f"{time.monotonic() - started_at:.0f} s elapsed",
            flush=True,
        )
    delays_s = [
        (deployment.executions.first_start_at[job] - deployment.jobs.submitted_at[job]).total_seconds()
        for job in jobs
        if job in deployment.executions.first_start_at
    ]
    print(f"machines: {most_machines} at most, {deployment.cloud.provisioned_count} provisioned in total")
    print(f"jobs: {len(jobs)}, accepted {len(deployment.jobs.accepted)}, started {len(delays_s)}")
    print(
        f"time to first start in s: p50 {percentile(delays_s, 0.5):.1f}, "
        f"p90 {percentile(delays_s, 0.9):.1f}, max {max(delays_s):.1f}"
    )
    print(
        f"planning passes: {len(passes.cpu_ms)}, CPU ms p50 {percentile(passes.cpu_ms, 0.5):.0f}, "
        f"p95 {percentile(passes.cpu_ms, 0.95):.0f}, max {max(passes.cpu_ms):.0f}"
    )
    print(
        f"state service: {deployment.state.changes} changes, "
        f"{deployment.state.rejected_for_rate} requests rejected by the rate limits"
    )
    print(
        f"connections of one controller: {deployment.connections.max_open} at most, "
        f"limit {deployment.config.sockets}"
    )
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(f"memory of the whole simulation, fakes included: {peak_mb:.0f} MB")
    print("invariants: none violated")


if __name__ == "__main__":
    main()
