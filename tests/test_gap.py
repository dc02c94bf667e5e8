"""The gap: the store refuses the leader alone, another node confirms cancellations, and then the store is
down for all, for longer than a cancellation may take, while the workers go on reporting to the old leader."""

import pytest

from spindleglade.clock import seconds
from tests.world import CANCEL, World


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
    world.run(seconds(1.2))
    assert set(world.aborted_at) >= set(jobs[:2])
    # The lease in the store has its full time again afterwards: the old leader's key lives through it all.
    world.state.outage(CANCEL + seconds(15))
    world.clock.later(seconds(14), world.refused.clear)
    world.run(CANCEL + seconds(30))
    assert all(not world.on.get(f"{job}/{index}") for job in jobs[:2] for index in range(2))
    world.run(seconds(40))
    world.poll(jobs[2])
    world.run(seconds(1))
    assert world.told[jobs[2]] in ("pending", "running", "done")
