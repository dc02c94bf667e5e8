"""The gap: the store refuses the leader alone, another node confirms cancellations, and then the store is
down for all, for longer than a cancellation may take, while the workers go on reporting to the old leader."""

import pytest

from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import seconds
from tests.deployment_config import CANCEL
from tests.simulated_deployment import SimulatedDeployment


def busy(seed, **fields):
    deployment = SimulatedDeployment(seed)
    deployment.run(seconds(3))
    jobs = [deployment.submit(number, threads=2, run_s=200.0, **fields) for number in range(3)]
    while len(deployment.began) < 3:
        deployment.run(seconds(0.5))
    deployment.run(seconds(3))
    return deployment, jobs, deployment.node_names[deployment.leader()]


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("siblings", [True, False])
def test_cancelled_in_the_gap_tasks_are_gone_in_time(seed, siblings):
    """SimulatedDeployment.run fails if a task is on a machine later than `CANCEL` after its user was told.
    `siblings`: the links between the nodes hold meanwhile, or are cut."""
    deployment, jobs, leader = busy(seed)
    deployment.refused.add(leader)
    for worker in deployment.workers.values():
        worker.at = deployment.node_names.index(leader)
    if not siblings:
        for name in deployment.node_names:
            deployment.cut(name, deployment.node_names, False, seconds(60))
    # Direct messages of the others to the machines are held up too: only the old leader reaches them.
    machines = [worker.machine.address for worker in deployment.workers.values() if not worker.gone]
    for name in deployment.node_names:
        if name != leader:
            deployment.cut(name, machines, True, seconds(60))
    for job in jobs[:2]:
        deployment.abort(job)
    # Users that ask the refused node are told to come back in a second.
    while not set(deployment.aborted_at) >= set(jobs[:2]):
        deployment.run(seconds(0.1))
    # The lease in the store has its full time again afterwards: the old leader's key lives through it all.
    deployment.state.outage(CANCEL + seconds(15))
    deployment.clock.later(seconds(14), deployment.refused.clear)
    begun = deployment.started
    deployment.run(CANCEL + seconds(10))
    if siblings:
        # They state what they have confirmed, so the work of the job that nobody cancelled goes on.
        assert deployment.started == begun and sum(map(len, deployment.on.values())) == 2
    deployment.run(seconds(20))
    assert all(not deployment.on.get(f"{job}/{index}") for job in jobs[:2] for index in range(2))
    deployment.run(seconds(40))
    deployment.poll(jobs[2])
    deployment.run(seconds(1))
    assert deployment.told[jobs[2]] in ("pending", "running", "done")


def test_work_outlives_an_outage_longer_than_a_cancellation():
    """All leases ran out in it, though no cancellation could be confirmed without the store."""
    deployment, jobs, leader = busy(7)
    begun = deployment.started
    deployment.state.outage(CANCEL * 2)
    deployment.run(CANCEL * 2 + seconds(5))
    assert deployment.started == begun and sum(map(len, deployment.on.values())) == 6
    # Nor does a restart in it let anybody renew who cannot know what the process before had told.
    deployment.state.outage(CANCEL * 2)
    deployment.run(seconds(2))
    follower = (deployment.leader() + 1) % 3
    deployment.kill_node(follower)
    deployment.run(seconds(1))
    deployment.start_node(follower)
    deployment.run(CANCEL)
    assert not any(deployment.on.values())


def test_whoever_has_confirmed_a_cancellation_knows_it_without_the_watch():
    """The store may be down for all a moment after the transaction, before the watch tells of it."""
    deployment, jobs, leader = busy(8)
    for (name, node), job in zip(deployment.nodes.items(), jobs, strict=True):
        node.replica.apply = lambda revision, changes: None
        answers = []

        async def abort(node=node, job=job, answers=answers):
            answers.append(await node.handle("POST", f"/submissions/{job}/abort", b""))
            answers.append(node.views.cancellations_since(0))

        run_in_background(abort(), "aborting")
        while len(answers) < 2:
            deployment.run(seconds(0.05))
        assert b'"aborted"' in answers[0].body and job in dict(answers[1]), name
    # The leader stops its tasks at once, and those of the others once their next pings have told it.
    cluster = deployment.nodes[leader].leader.cluster
    deployment.run(seconds(1.5))
    assert all(cluster.jobs[job].cancelled for job in jobs if job in cluster.jobs)
