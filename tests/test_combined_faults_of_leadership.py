"""Combinations of two faults while one leader ends and another controller takes over.

SimulatedDeployment.run checks every invariant throughout the run; `settle` checks at the end that every job
is over and that users are told so. docs/combined-faults.md lists which test covers which combination, and
which safeguard handles it.
"""

import pytest

from spindleglade.runtime.clock import seconds
from tests.deployment_config import DeploymentConfig
from tests.simulated_deployment import SimulatedDeployment
from tests.workloads import (
    LARGE_TEAMS,
    address,
    assert_none_began_twice,
    settle,
    submit_and_await_running,
    submit_stream,
)


@pytest.mark.parametrize("seed", range(6))
def test_old_heartbeats_reach_every_controller_as_a_new_leader_begins(seed):
    """A new leader must not be misled by outdated heartbeats. Some heartbeats are copied, also those of
    earlier incarnations and attempts. The copies either reach all controllers when the next leader is
    elected, or arrive late, by up to 2.5 lease durations."""
    deployment = SimulatedDeployment(
        300 + seed, task_failure_rate=0.1, config=DeploymentConfig(capacity=8, teams=LARGE_TEAMS)
    )
    submit_stream(deployment, 60)
    deployment.run(seconds(2))
    deployment.faults.set_rate_during(seconds(36), "kept_heartbeats", 0.6)
    deployment.faults.set_rate_during(seconds(36), "late_heartbeats", 0.3)
    for at in (6, 12, 18, 24, 30):
        deployment.clock.later(
            seconds(at),
            deployment.faults.restart_leader,
            seconds(1),
        )
    # The cut outlasts the worker's lease, so the worker's incarnation ends.
    for at in (4, 15):
        deployment.clock.later(seconds(at), cut_off_some_worker, deployment, seconds(9))
    deployment.run(seconds(40))
    assert deployment.counts["kept heartbeats delivered"] > 100 and deployment.counts["leaders"] >= 5
    settle(deployment)


def cut_off_some_worker(deployment, length):
    machines = sorted(name for name, worker in deployment.workers.items() if not worker.terminated)
    deployment.network.cut(
        address(deployment, deployment.rng.choice(machines)), deployment.controller_names, False, length
    )


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("fault", ["cut", "held", "unreachable", "no heartbeats", "hang"])
def test_a_leader_ends_while_machines_with_long_tasks_cannot_be_reached(seed, fault):
    """More than half of the machines with running tasks are cut off (messages are lost, or held until the cut
    ends), receive no messages, send no heartbeats, or hang. Some of their jobs are cancelled meanwhile; the
    tasks of the others must go on or be restarted, and must never run twice at the same time."""
    deployment = SimulatedDeployment(320 + seed, config=DeploymentConfig(capacity=8, teams=LARGE_TEAMS))
    deployment.run(seconds(3))
    jobs = submit_and_await_running(deployment, 10, vcpus=4.0, run_s=40.0)
    # Shorter than a lease, or much longer.
    length = seconds(4 if seed % 2 else 25)
    machines = sorted({machine for job in jobs for machine in deployment.executions.machines_of(job)})
    for name in machines[: len(machines) // 2 + 1]:
        if fault in ("cut", "held"):
            deployment.network.cut(
                address(deployment, name), deployment.controller_names, fault == "held", length
            )
        elif fault == "unreachable":
            deployment.faults.make_unreachable(address(deployment, name), length)
        elif fault == "no heartbeats":
            deployment.faults.stop_heartbeats(address(deployment, name), length)
        else:
            deployment.faults.hang(name, length)
    deployment.run(seconds(deployment.rng.uniform(0, 1)))
    deployment.faults.restart(deployment.leader(), seconds(deployment.rng.choice([0.3, 8])))
    deployment.faults.cancel_running(3, seconds(0))
    deployment.run(seconds(4))
    late_jobs = [
        deployment.users.submit(100 + number, threads=2, vcpus=2.0, run_s=3.0) for number in range(4)
    ]
    deployment.run(seconds(30))
    settle(deployment, 150)
    assert not set(late_jobs) & deployment.jobs.cancel_requested and len(deployment.jobs.cancelled_at) == 3


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("outage", [False, True])
def test_ten_leaders_in_two_minutes(seed, outage):
    """The leader changes ten times, optionally during an outage of the store. Some jobs have tasks of very
    different durations, and users cancel jobs around each takeover."""
    deployment = SimulatedDeployment(340 + seed, config=DeploymentConfig(capacity=8, teams=LARGE_TEAMS))
    deployment.run(seconds(3))
    long_jobs = [
        deployment.users.submit(500 + number, threads=3, vcpus=1.0, run_s=[1.0, 30.0, 75.0])
        for number in range(3)
    ]
    for job in long_jobs:
        deployment.users.poll_until_over(job)
    submit_stream(deployment, 60, every=1.5, cancelled=0.1)
    deployment.faults.change_leaders(10, seconds(110))
    for number in range(10):
        # Shortly before or after the end of a leader.
        at = seconds(11 * number + deployment.rng.uniform(-0.5, 4))
        deployment.clock.later(at, deployment.faults.cancel_running, 1, seconds(0))
    if outage:
        deployment.clock.later(seconds(40), deployment.faults.outage, seconds(25))
    for job in long_jobs:
        deployment.jobs.cancel_requested.add(job)
    deployment.run(seconds(5))
    # `cancel_running` skips jobs whose cancellation was requested. The long jobs were marked like this only
    # to exempt them for the first five seconds: nobody cancels them.
    for job in long_jobs:
        deployment.jobs.cancel_requested.discard(job)
    deployment.run(seconds(107))
    assert deployment.counts["leaders ended"] >= 8 and deployment.counts["leaders"] >= (5 if outage else 8)
    settle(deployment, 150)


@pytest.mark.parametrize("seed", range(6))
def test_a_leader_cut_from_store_and_peers_but_not_from_workers(seed):
    """Workers and users still reach the isolated leader while users cancel jobs through the other
    controllers. The cancellations must be confirmed, and no other task may be restarted."""
    deployment = SimulatedDeployment(360 + seed, config=DeploymentConfig(capacity=8, teams=LARGE_TEAMS))
    deployment.run(seconds(3))
    jobs = submit_and_await_running(deployment, 10, vcpus=2.0, run_s=70.0)
    submit_stream(deployment, 20, cancelled=0.3)
    deployment.run(seconds(3))
    old = deployment.leader()
    if seed % 2:
        # All workers send their heartbeats to the old leader.
        for worker in deployment.workers.values():
            worker.controller_index = old
    deployment.faults.isolate(old, seed % 3 == 0, seconds(35))
    deployment.run(seconds(6))
    others = [name for index, name in enumerate(deployment.controller_names) if index != old]
    for job in sorted(deployment.jobs.descriptions)[:6]:
        deployment.users.cancel(job, controller=deployment.rng.choice(others))
    deployment.run(seconds(40))
    assert len(deployment.jobs.cancelled_at) >= 6
    settle(deployment, 150)
    assert_none_began_twice(deployment, jobs)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("downtime_s", [0.2, 8.0, 15.0])
def test_all_controllers_restart_at_once(seed, downtime_s):
    """All controllers end within a second. Each starts again after about `downtime_s` seconds, which can be
    longer than a worker's lease. Then single controllers restart one after another, each for less than a
    second. After the short downtime no task may have been restarted."""
    deployment = SimulatedDeployment(380 + seed, config=DeploymentConfig(capacity=8, teams=LARGE_TEAMS))
    deployment.run(seconds(3))
    jobs = submit_and_await_running(deployment, 6, vcpus=2.0, run_s=20.0)
    submit_stream(deployment, 40, cancelled=0.3)
    deployment.run(seconds(6))
    for index in range(3):
        deployment.clock.later(
            seconds(index * deployment.rng.uniform(0, 0.4)),
            deployment.faults.restart,
            index,
            seconds(downtime_s + index * 0.3),
        )
    deployment.faults.cancel_running(3, seconds(0))
    deployment.run(seconds(downtime_s + 2))
    for index in (0, 1, 0, 2, 1):
        # The controller ends and is back within 0.8 s.
        deployment.faults.restart(index, seconds(deployment.rng.uniform(0.05, 0.8)))
        deployment.run(seconds(0.7))
    settle(deployment, 90)
    if downtime_s < 1:
        assert_none_began_twice(deployment, jobs)
