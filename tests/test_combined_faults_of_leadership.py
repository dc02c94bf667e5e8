"""Two faults at once, as leaders end and others take over.

SimulatedDeployment.run checks every rule all the time; `settle` asks at the end that all is served again. The
table in docs/combined-faults.md says which test brings about which combination, and which guard holds it.
"""

import pytest

from spindleglade.runtime.clock import seconds
from tests.deployment_config import DeploymentConfig
from tests.simulated_deployment import SimulatedDeployment
from tests.workloads import ROOMY, address, assert_none_began_twice, busy, running, settle


@pytest.mark.parametrize("seed", range(6))
def test_old_heartbeats_reach_every_controller_as_a_new_leader_begins(seed):
    """Copies of reports of each age, from earlier sessions and attempts too: kept until the next leader leads
    and then brought to all controllers, or late by up to more than two leases."""
    deployment = SimulatedDeployment(300 + seed, error=0.1, config=DeploymentConfig(capacity=8, teams=ROOMY))
    busy(deployment, 60)
    deployment.run(seconds(2))
    deployment.faults.during(seconds(36), "kept_heartbeats", 0.6)
    deployment.faults.during(seconds(36), "late_heartbeats", 0.3)
    for at in (6, 12, 18, 24, 30):
        deployment.clock.later(
            seconds(at),
            deployment.faults.restart_leader,
            seconds(1),
        )
    # A session ends: cut off for longer than a lease.
    for at in (4, 15):
        deployment.clock.later(seconds(at), cut_one, deployment, seconds(9))
    deployment.run(seconds(40))
    assert deployment.counts["kept delivered"] > 100 and deployment.counts["leaders"] >= 5
    settle(deployment)


def cut_one(deployment, length):
    machines = sorted(name for name, worker in deployment.workers.items() if not worker.terminated)
    deployment.network.cut(
        address(deployment, deployment.rng.choice(machines)), deployment.controller_names, False, length
    )


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("how", ["cut", "held", "deaf", "mute", "hang"])
def test_a_leader_ends_while_machines_with_long_tasks_cannot_be_reached(seed, how):
    """Or do not hear the new leader's answer, or hang. Some of their jobs are cancelled meanwhile, and others
    must go on or begin anew, never twice."""
    deployment = SimulatedDeployment(320 + seed, config=DeploymentConfig(capacity=8, teams=ROOMY))
    deployment.run(seconds(3))
    jobs = running(deployment, 10, vcpus=4.0, run_s=40.0)
    # Within a lease, or well beyond it.
    length = seconds(4 if seed % 2 else 25)
    machines = sorted({machine for job in jobs for machine in deployment.executions.machines_of(job)})
    for name in machines[: len(machines) // 2 + 1]:
        if how in ("cut", "held"):
            deployment.network.cut(
                address(deployment, name), deployment.controller_names, how == "held", length
            )
        elif how == "deaf":
            deployment.faults.make_unreachable(address(deployment, name), length)
        elif how == "mute":
            deployment.faults.stop_heartbeats(address(deployment, name), length)
        else:
            deployment.faults.hang(name, length)
    deployment.run(seconds(deployment.rng.uniform(0, 1)))
    deployment.faults.restart(deployment.leader(), seconds(deployment.rng.choice([0.3, 8])))
    deployment.faults.cancel_running(3, seconds(0))
    deployment.run(seconds(4))
    more = [deployment.users.submit(100 + number, threads=2, vcpus=2.0, run_s=3.0) for number in range(4)]
    deployment.run(seconds(30))
    settle(deployment, 150)
    assert not set(more) & deployment.jobs.cancel_requested and len(deployment.jobs.cancelled_at) == 3


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("outage", [False, True])
def test_ten_leaders_in_two_minutes(seed, outage):
    """Also inside an outage; jobs whose tasks end far apart, and cancellations in the seconds in which the
    work changes hands."""
    deployment = SimulatedDeployment(340 + seed, config=DeploymentConfig(capacity=8, teams=ROOMY))
    deployment.run(seconds(3))
    far = [
        deployment.users.submit(500 + number, threads=3, vcpus=1.0, run_s=[1.0, 30.0, 75.0])
        for number in range(3)
    ]
    for job in far:
        deployment.users.poll_until_over(job)
    busy(deployment, 60, every=1.5, cancelled=0.1)
    deployment.faults.change_leaders(10, seconds(110))
    for number in range(10):
        # The leader has just ended or is about to.
        at = seconds(11 * number + deployment.rng.uniform(-0.5, 4))
        deployment.clock.later(at, deployment.faults.cancel_running, 1, seconds(0))
    if outage:
        deployment.clock.later(seconds(40), deployment.faults.outage, seconds(25))
    for job in far:
        deployment.jobs.cancel_requested.add(job)
    deployment.run(seconds(5))
    # `cancel_now` leaves alone whom somebody has asked to cancel; these are not cancelled.
    for job in far:
        deployment.jobs.cancel_requested.discard(job)
    deployment.run(seconds(107))
    assert deployment.counts["leaders ended"] >= 8 and deployment.counts["leaders"] >= (5 if outage else 8)
    settle(deployment, 150)


@pytest.mark.parametrize("seed", range(6))
def test_a_leader_cut_from_store_and_peers_but_not_from_workers(seed):
    """Workers and users still reach it, and jobs are cancelled through the new leader."""
    deployment = SimulatedDeployment(360 + seed, config=DeploymentConfig(capacity=8, teams=ROOMY))
    deployment.run(seconds(3))
    jobs = running(deployment, 10, vcpus=2.0, run_s=70.0)
    busy(deployment, 20, cancelled=0.3)
    deployment.run(seconds(3))
    old = deployment.leader()
    if seed % 2:
        # All machines at the old one.
        for worker in deployment.workers.values():
            worker.controller_index = old
    deployment.faults.isolate(old, seed % 3 == 0, seconds(35))
    deployment.run(seconds(6))
    others = [name for at, name in enumerate(deployment.controller_names) if at != old]
    for job in sorted(deployment.jobs.descriptions)[:6]:
        deployment.users.cancel(job, controller=deployment.rng.choice(others))
    deployment.run(seconds(40))
    assert len(deployment.jobs.cancelled_at) >= 6
    settle(deployment, 150)
    assert_none_began_twice(deployment, jobs)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("away", [0.2, 8.0, 15.0])
def test_all_controllers_restart_at_once(seed, away):
    """For a moment, or for longer than a lease; one is back within a second and hands over again."""
    deployment = SimulatedDeployment(380 + seed, config=DeploymentConfig(capacity=8, teams=ROOMY))
    deployment.run(seconds(3))
    jobs = running(deployment, 6, vcpus=2.0, run_s=20.0)
    busy(deployment, 40, cancelled=0.3)
    deployment.run(seconds(6))
    for at in range(3):
        deployment.clock.later(
            seconds(at * deployment.rng.uniform(0, 0.4)),
            deployment.faults.restart,
            at,
            seconds(away + at * 0.3),
        )
    deployment.faults.cancel_running(3, seconds(0))
    deployment.run(seconds(away + 2))
    for at in (0, 1, 0, 2, 1):
        # Over and back, each within a second.
        deployment.faults.restart(at, seconds(deployment.rng.uniform(0.05, 0.8)))
        deployment.run(seconds(0.7))
    settle(deployment, 90)
    if away < 1:
        assert_none_began_twice(deployment, jobs)
