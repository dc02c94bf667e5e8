"""The gap: the store refuses the leader alone, another node confirms cancellations, and then the store is
down for all, for longer than a cancellation may take, while the workers go on reporting to the old leader."""

import pytest

from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import seconds
from tests.deployment import CANCEL
from tests.world import World


def busy(seed, **fields):
    world = World(seed)
    world.run(seconds(3))
    jobs = [world.submit(number, threads=2, run_s=200.0, **fields) for number in range(3)]
    while len(world.began) < 3:
        world.run(seconds(0.5))
    world.run(seconds(3))
    return world, jobs, world.node_names[world.leader()]


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("siblings", [True, False])
def test_cancelled_in_the_gap_tasks_are_gone_in_time(seed, siblings):
    """World.run fails if a task is on a machine later than `CANCEL` after its user was told. `siblings`: the
    links between the nodes hold meanwhile, or are cut."""
    world, jobs, leader = busy(seed)
    world.refused.add(leader)
    for worker in world.workers.values():
        worker.at = world.node_names.index(leader)
    if not siblings:
        for name in world.node_names:
            world.cut(name, world.node_names, False, seconds(60))
    # Direct messages of the others to the machines are held up too: only the old leader reaches them.
    machines = [worker.machine.address for worker in world.workers.values() if not worker.gone]
    for name in world.node_names:
        if name != leader:
            world.cut(name, machines, True, seconds(60))
    for job in jobs[:2]:
        world.abort(job)
    # Users that ask the refused node are told to come back in a second.
    while not set(world.aborted_at) >= set(jobs[:2]):
        world.run(seconds(0.1))
    # The lease in the store has its full time again afterwards: the old leader's key lives through it all.
    world.state.outage(CANCEL + seconds(15))
    world.clock.later(seconds(14), world.refused.clear)
    begun = world.started
    world.run(CANCEL + seconds(10))
    if siblings:
        # They state what they have confirmed, so the work of the job that nobody cancelled goes on.
        assert world.started == begun and sum(map(len, world.on.values())) == 2
    world.run(seconds(20))
    assert all(not world.on.get(f"{job}/{index}") for job in jobs[:2] for index in range(2))
    world.run(seconds(40))
    world.poll(jobs[2])
    world.run(seconds(1))
    assert world.told[jobs[2]] in ("pending", "running", "done")


def test_work_outlives_an_outage_longer_than_a_cancellation():
    """All leases ran out in it, though no cancellation could be confirmed without the store."""
    world, jobs, leader = busy(7)
    begun = world.started
    world.state.outage(CANCEL * 2)
    world.run(CANCEL * 2 + seconds(5))
    assert world.started == begun and sum(map(len, world.on.values())) == 6
    # Nor does a restart in it let anybody renew who cannot know what the process before had told.
    world.state.outage(CANCEL * 2)
    world.run(seconds(2))
    follower = (world.leader() + 1) % 3
    world.kill_node(follower)
    world.run(seconds(1))
    world.start_node(follower)
    world.run(CANCEL)
    assert not any(world.on.values())


def test_whoever_has_confirmed_a_cancellation_knows_it_without_the_watch():
    """The store may be down for all a moment after the transaction, before the watch tells of it."""
    world, jobs, leader = busy(8)
    for (name, node), job in zip(world.nodes.items(), jobs, strict=True):
        node.replica.apply = lambda revision, changes: None
        answers = []

        async def abort(node=node, job=job, answers=answers):
            answers.append(await node.handle("POST", f"/submissions/{job}/abort", b""))
            answers.append(node.views.cancellations_since(0))

        run_in_background(abort(), "aborting")
        while len(answers) < 2:
            world.run(seconds(0.05))
        assert b'"aborted"' in answers[0].body and job in dict(answers[1]), name
    # The leader stops its tasks at once, and those of the others once their next pings have told it.
    cluster = world.nodes[leader].leader.cluster
    world.run(seconds(1.5))
    assert all(cluster.jobs[job].cancelled for job in jobs if job in cluster.jobs)
