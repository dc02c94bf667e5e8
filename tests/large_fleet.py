"""A day of a very large fleet on the simulated clock, run by hand: it takes minutes.

    python -m tests.large_fleet --machines 4000

Thousands of machines are rented, all controllers restart within three seconds, a zone is cut off. The rules
are checked all the time; printed is what the size costs, and against which limit. See docs/large-fleet.md.
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
DAY = seconds(170)
STEP = timedelta(milliseconds=200)
TEAMS = ("red", "blue", "green")
CPUS_PER_MACHINE = 8
# Classes of jobs; one job of each class in turn.
CLASSES = {
    "short": {"vcpus": 1.0, "threads": 200, "run_s": 4.0, "reckon_s": 4.0, "urgency": "high"},
    "middle": {"vcpus": 2.0, "threads": 200, "run_s": 15.0, "reckon_s": 15.0},
    "large": {"vcpus": 8.0, "threads": 100, "run_s": 20.0, "reckon_s": 20.0},
}
# CPU-seconds of work that come for each CPU and second.
LOAD = 0.75
LAST_SUBMISSION = seconds(110)
PLANNED = re.compile(r"planned starts=(\d+) .* cpu_ms=([\d.]+)")


class RoundTimes(logging.Handler):
    """Collects what the controllers log of their planning rounds."""

    def __init__(self) -> None:
        super().__init__(logging.DEBUG)
        self.cpu_ms: list[float] = []
        self.starts: list[int] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Takes one line of the log."""
        match = PLANNED.match(record.getMessage())
        if match:
            self.starts.append(int(match[1]))
            self.cpu_ms.append(float(match[2]))


def large_deployment_config(machines: int) -> DeploymentConfig:
    """The rates of the largest deployment that is served today, with more machines, and sockets for twice as
    many connections as there are workers."""
    cpus = machines * CPUS_PER_MACHINE / len(TEAMS)
    teams = tuple({"name": name, "cpus": cpus / 2, "cpus_max": cpus * 1.5} for name in TEAMS)
    return DeploymentConfig(
        capacity=machines,
        report=seconds(2.5),
        lease=seconds(14),
        teams=teams,
        rps=600.0,
        write_rps=120.0,
        cloud_rps=6.0,
        sockets=2 * machines,
        txn_ops=32,
    )


def submit_all(deployment: SimulatedDeployment, machines: int) -> list[str]:
    """Submits work at an even rate; returns the jobs, filled as the day goes on."""
    jobs: list[str] = []
    work = sum(job["vcpus"] * job["threads"] * job["run_s"] for job in CLASSES.values()) / len(CLASSES)
    every = work / (machines * CPUS_PER_MACHINE * LOAD)

    def submit(number: int) -> None:
        name = list(CLASSES)[number % len(CLASSES)]
        fields = CLASSES[name] | {"bobbin": name, "crew": TEAMS[number % len(TEAMS)]}
        job = deployment.users.submit(number, **fields)
        deployment.users.poll_until_over(job, seconds(5))
        jobs.append(job)

    for number in range(int(LAST_SUBMISSION.total_seconds() / every)):
        deployment.clock.later(seconds(1 + number * every), submit, number)
    return jobs


def restart_all(deployment: SimulatedDeployment) -> None:
    """All controllers end within three seconds."""
    for index, (ends, back) in enumerate(((0.0, 4.0), (1.0, 0.2), (2.5, 3.0))):
        deployment.clock.later(seconds(ends), deployment.faults.restart, index, seconds(back))


def share(values: list[float], part: float) -> float:
    """The value that so large a part of them does not exceed."""
    return sorted(values)[int(part * (len(values) - 1))] if values else 0.0


def main() -> None:
    """Plays the day and prints what it was like."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--machines", type=int, default=4000)
    parser.add_argument("--seed", type=int, default=41)
    options = parser.parse_args()
    rounds = RoundTimes()
    planner_log = logging.getLogger("spindleglade.backfill")
    planner_log.setLevel(logging.DEBUG)
    planner_log.addHandler(rounds)
    began = time.monotonic()
    deployment = SimulatedDeployment(options.seed, config=large_deployment_config(options.machines))
    deployment.cloud.page_size = 500
    jobs = submit_all(deployment, options.machines)
    deployment.clock.later(RESTART_AT, restart_all, deployment)
    deployment.clock.later(CUT_AT, deployment.network.cut_zone, "b", True, CUT_FOR)
    most_machines = 0
    while deployment.clock.now() < DAY:
        deployment.run(seconds(10), STEP)
        machines = sum(not worker.terminated for worker in deployment.workers.values())
        most_machines = max(most_machines, machines)
        at_s = deployment.clock.now().total_seconds()
        done = sum(stage == "done" for stage in deployment.jobs.observed_states.values())
        print(
            f"at {at_s:.0f} s: {machines} machines, {deployment.executions.started} starts, "
            f"{done} of {len(jobs)} jobs done, "
            f"{len(deployment.state.keys)} keys, revision {deployment.state.revision}, "
            f"{time.monotonic() - began:.0f} s real",
            flush=True,
        )
    waits = [
        (deployment.executions.began_at[job] - deployment.jobs.submitted_at[job]).total_seconds()
        for job in jobs
        if job in deployment.executions.began_at
    ]
    print(f"machines: {most_machines} at most, {deployment.cloud.provisioned_count} rented in all")
    print(f"jobs: {len(jobs)}, accepted {len(deployment.jobs.accepted)}, begun {len(waits)}")
    print(
        f"first start after s: p50 {share(waits, 0.5):.1f}, p90 {share(waits, 0.9):.1f}, max {max(waits):.1f}"
    )
    print(
        f"rounds: {len(rounds.cpu_ms)}, processor ms p50 {share(rounds.cpu_ms, 0.5):.0f}, "
        f"p95 {share(rounds.cpu_ms, 0.95):.0f}, max {max(rounds.cpu_ms):.0f}"
    )
    print(
        f"state service: {deployment.state.changes} changes, "
        f"{deployment.state.rejected_for_rate} requests refused as too many"
    )
    print(
        f"connections of one controller: {deployment.connections.most_open} at most, "
        f"limit {deployment.config.sockets}"
    )
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(f"memory of the whole simulation, fakes included: {peak_mb:.0f} MB")
    print("rules: none broken")


if __name__ == "__main__":
    main()
