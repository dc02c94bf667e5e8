"""Cancellations that another controller confirms while the store refuses the leader alone.

Then the store is down for all controllers, for longer than a cancellation may take, while the workers go on
sending their heartbeats to the old leader.
"""

import pytest

from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import seconds
from tests.deployment_config import CANCEL
from tests.simulated_deployment import SimulatedDeployment


def start_jobs(seed):
    """A deployment with three running jobs of two tasks each, their names, and the leader's name."""
    deployment = SimulatedDeployment(seed)
    deployment.run(seconds(3))
    jobs = [deployment.users.submit(number, threads=2, run_s=200.0) for number in range(3)]
    while len(deployment.executions.began_at) < 3:
        deployment.run(seconds(0.5))
    deployment.run(seconds(3))
    return deployment, jobs, deployment.controller_names[deployment.leader()]


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("peers_connected", [True, False])
def test_tasks_cancelled_before_a_store_outage_are_gone_in_time(seed, peers_connected):
    """SimulatedDeployment.run fails if a task is on a machine later than `CANCEL` after the cancellation was
    confirmed to its user. `peers_connected`: whether the controllers reach each other meanwhile."""
    deployment, jobs, leader = start_jobs(seed)
    deployment.network.refused_by_store.add(leader)
    for worker in deployment.workers.values():
        worker.controller_index = deployment.controller_names.index(leader)
    if not peers_connected:
        for name in deployment.controller_names:
            deployment.network.cut(name, deployment.controller_names, False, seconds(60))
    # Messages of the other controllers to the machines are delayed too: only the old leader reaches them.
    machines = [worker.machine.address for worker in deployment.workers.values() if not worker.terminated]
    for name in deployment.controller_names:
        if name != leader:
            deployment.network.cut(name, machines, True, seconds(60))
    for job in jobs[:2]:
        deployment.users.cancel(job)
    # The refused controller tells users to retry in a second.
    while not set(deployment.jobs.cancelled_at) >= set(jobs[:2]):
        deployment.run(seconds(0.1))
    # Leases have their full time again after an outage: the old leader's key outlives it.
    deployment.state.outage(CANCEL + seconds(15))
    deployment.clock.later(seconds(14), deployment.network.refused_by_store.clear)
    started = deployment.executions.started
    deployment.run(CANCEL + seconds(10))
    if peers_connected:
        # Peers report the cancellations that they have confirmed, so the job that nobody cancelled runs on.
        assert (
            deployment.executions.started == started
            and sum(map(len, deployment.executions.running_on.values())) == 2
        )
    deployment.run(seconds(20))
    assert all(
        not deployment.executions.running_on.get(f"{job}/{index}") for job in jobs[:2] for index in range(2)
    )
    deployment.run(seconds(40))
    deployment.users.poll(jobs[2])
    deployment.run(seconds(1))
    assert deployment.jobs.observed_states[jobs[2]] in ("pending", "running", "done")


def test_tasks_outlive_a_store_outage_longer_than_a_cancellation_may_take():
    """Leases are renewed throughout: no cancellation can be confirmed without the store."""
    deployment, jobs, leader = start_jobs(7)
    started = deployment.executions.started
    deployment.state.outage(CANCEL * 2)
    deployment.run(CANCEL * 2 + seconds(5))
    assert (
        deployment.executions.started == started
        and sum(map(len, deployment.executions.running_on.values())) == 6
    )
    # After a restart nobody may renew: no one can know what the former process had confirmed.
    deployment.state.outage(CANCEL * 2)
    deployment.run(seconds(2))
    follower = (deployment.leader() + 1) % 3
    deployment.processes.kill(follower)
    deployment.run(seconds(1))
    deployment.processes.start(follower)
    deployment.run(CANCEL)
    assert not any(deployment.executions.running_on.values())


def test_a_controller_that_confirmed_a_cancellation_knows_it_without_the_watch():
    """The store may be down a moment after the transaction, before the watch delivers the change."""
    deployment, jobs, leader = start_jobs(8)
    for (name, controller), job in zip(deployment.controllers.items(), jobs, strict=True):
        controller.replica.apply = lambda revision, changes: None
        results = []

        async def cancel(controller=controller, job=job, results=results):
            results.append(await controller.handle("POST", f"/submissions/{job}/abort", b""))
            results.append(controller.views.cancellations_since(0))

        run_in_background(cancel(), "cancelling")
        while len(results) < 2:
            deployment.run(seconds(0.05))
        assert b'"aborted"' in results[0].body and job in dict(results[1]), name
    # The leader stops its own job's tasks at once, and the others' after their next heartbeats.
    cluster = deployment.controllers[leader].leader.cluster
    deployment.run(seconds(1.5))
    assert all(cluster.jobs[job].cancelled for job in jobs if job in cluster.jobs)
