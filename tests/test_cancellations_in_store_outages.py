"""Tests of cancellations around outages of the store.

Another controller confirms a cancellation while the store refuses the leader alone. Then the store is down
for all controllers, for longer than `cancel_s`, and the workers keep sending their heartbeats to the old
leader, which must not renew the leases of cancelled tasks.
"""

import pytest

from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import seconds
from tests.deployment_config import CANCEL_TIMEOUT
from tests.simulated_deployment import SimulatedDeployment


def start_jobs(seed):
    """Returns a deployment with three running jobs of two tasks each, the job ids, and the leader's name."""
    deployment = SimulatedDeployment(seed)
    deployment.run(seconds(3))
    jobs = [deployment.users.submit(number, threads=2, run_s=200.0) for number in range(3)]
    while len(deployment.executions.first_start_at) < 3:
        deployment.run(seconds(0.5))
    deployment.run(seconds(3))
    return deployment, jobs, deployment.controller_names[deployment.leader()]


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("peers_connected", [True, False])
def test_tasks_cancelled_before_a_store_outage_are_gone_in_time(seed, peers_connected):
    """SimulatedDeployment.run fails if a task is still on a machine `CANCEL_TIMEOUT` after the cancellation
    was confirmed to the user. `peers_connected` says whether the controllers reach each other meanwhile."""
    deployment, jobs, leader = start_jobs(seed)
    deployment.network.refused_by_store.add(leader)
    for worker in deployment.workers.values():
        worker.controller_index = deployment.controller_names.index(leader)
    if not peers_connected:
        for name in deployment.controller_names:
            deployment.network.cut(name, deployment.controller_names, False, seconds(60))
    # Messages between the other controllers and the machines are held: only the old leader reaches machines.
    machines = [worker.machine.address for worker in deployment.workers.values() if not worker.terminated]
    for name in deployment.controller_names:
        if name != leader:
            deployment.network.cut(name, machines, True, seconds(60))
    for job in jobs[:2]:
        deployment.users.cancel(job)
    # The controller that the store refuses tells users to retry in a second.
    while not set(deployment.jobs.cancelled_at) >= set(jobs[:2]):
        deployment.run(seconds(0.1))
    # After an outage the store's leases start again with their full time, so the old leader keeps its key.
    deployment.state.outage(CANCEL_TIMEOUT + seconds(15))
    deployment.clock.later(seconds(14), deployment.network.refused_by_store.clear)
    started = deployment.executions.started
    deployment.run(CANCEL_TIMEOUT + seconds(10))
    if peers_connected:
        # Peers tell the old leader which cancellations they confirmed, so it goes on renewing the leases of
        # the job that was not cancelled.
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
    """Workers' leases are renewed during the outage: no cancellation can be confirmed without the store."""
    deployment, jobs, leader = start_jobs(7)
    started = deployment.executions.started
    deployment.state.outage(CANCEL_TIMEOUT * 2)
    deployment.run(CANCEL_TIMEOUT * 2 + seconds(5))
    assert (
        deployment.executions.started == started
        and sum(map(len, deployment.executions.running_on.values())) == 6
    )
    # Once a controller has restarted during an outage, none may renew leases: the process that ended may have
    # confirmed cancellations that no other controller knows.
    deployment.state.outage(CANCEL_TIMEOUT * 2)
    deployment.run(seconds(2))
    follower = (deployment.leader() + 1) % 3
    deployment.processes.kill(follower)
    deployment.run(seconds(1))
    deployment.processes.start(follower)
    deployment.run(CANCEL_TIMEOUT)
    assert not any(deployment.executions.running_on.values())


def test_a_controller_that_confirmed_a_cancellation_knows_it_without_the_watch():
    """The store may fail right after the transaction, before the watch delivers the change. Here the watches
    deliver nothing at all."""
    deployment, jobs, leader = start_jobs(8)
    for (name, controller), job in zip(deployment.controllers.items(), jobs, strict=True):
        controller.replica.apply = lambda revision, changes: None
        results = []

        async def cancel(controller=controller, job=job, results=results):
            results.append(await controller.handle("POST", f"/submissions/{job}/abort", b""))
            results.append(controller.views.cancellations_since(0))

        run_in_background(cancel(), "cancellation")
        while len(results) < 2:
            deployment.run(seconds(0.05))
        assert b'"aborted"' in results[0].body and job in dict(results[1]), name
    # The leader stops the tasks of the job that was cancelled through it at once, and those of the other jobs
    # after the peers' next heartbeats.
    cluster = deployment.controllers[leader].leader.cluster
    deployment.run(seconds(1.5))
    assert all(cluster.jobs[job].cancelled for job in jobs if job in cluster.jobs)
