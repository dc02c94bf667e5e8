"""The upgrade under load: a day that production began, and whose controllers come back as this version."""

import pytest

from spindleglade.runtime.clock import seconds
from tests import production
from tests.deployment import description
from tests.production_writer import ConditionFailed, ProductionWriter
from tests.recorded_day import LARGE_ARRAY, answers_everywhere, read_store, recorded_world
from tests.rules import OVER
from tests.stored_tasks import Attempts, StoredTasks
from tests.waiting import settle

# The node that leads at the recorded moment.
OLD_LEADER = 1
ACCEPTED_BY_PRODUCTION = 600


def begin_upgrade(seed):
    """Production leads, and its other two processes are replaced one after the other."""
    world = recorded_world(seed)
    StoredTasks(world)
    Attempts(world)
    for job in list(world.jobs):
        world.watch(job)
    writer = ProductionWriter(world)
    writer.keep_lease()
    world.trouble(seconds(12))
    world.clock.later(seconds(0.3), world.start_node, (OLD_LEADER + 1) % 3)
    world.clock.later(seconds(3), world.start_node, (OLD_LEADER + 2) % 3)
    for at in (0.5, 2, 3.2, 5):
        world.clock.later(seconds(at), lead_as_production, world, writer)
    return world, writer


def lead_as_production(world, writer):
    """What its leader and its users' nodes still write."""
    number = ACCEPTED_BY_PRODUCTION + int(world.clock.now().total_seconds() * 10) % 100
    body = description(f"job-{number:06d}", {"threads": 2, "mem_gb": 0.1, "awaits": None, "run_s": 2.0})
    world.jobs[body["ref"]] = body
    world.sent[body["ref"]] = world.clock.now()
    writer.accept(body, 254, world.clock.utc())
    world.watch(body["ref"])
    writer.count_attempt(LARGE_ARRAY, 0)


def end_upgrade(world, writer):
    """The last process of production ends; its name comes back as this version."""
    writer.end()
    world.start_node(OLD_LEADER)


@pytest.mark.parametrize("seed", range(3))
def test_jobs_of_production_go_on_and_end_after_the_roll(seed):
    world, writer = begin_upgrade(500 + seed)
    recorded = dict(world.told)
    world.run(seconds(7))
    assert world.leader() is None, "production still leads"
    end_upgrade(world, writer)
    world.run(seconds(5))
    assert world.leader() is not None
    with pytest.raises(ConditionFailed):
        # Its writes fail from now on, as those of any deposed leader.
        stale = ProductionWriter(world)
        stale.mod_revision = lambda key: 1
        stale.rewrite(production.chunk_key(LARGE_ARRAY, 0), lambda chunk: chunk)
    settle(world, 100.0)
    assert sum(job >= f"job-{ACCEPTED_BY_PRODUCTION:06d}" for job in world.told) == 4
    for job, stage in recorded.items():
        assert world.told[job] == (stage if stage in OVER else "done"), job
    # What was done on record, or ran, was not run again by the new leader.
    chunk = production.decode_record("sg/task/", read_store().value(f"sg/task/{LARGE_ARRAY}/000000"))
    for first, last in chunk.done:
        for task in range(first, last + 1):
            assert f"{LARGE_ARRAY}/{task}" in world.completed
    for (_, job), (status, body) in answers_everywhere(world, sorted(world.jobs)).items():
        assert (status, body["stage"]) == (200, world.told[job]), job


@pytest.mark.parametrize("seed", range(3))
def test_placed_tasks_outlive_the_roll(seed):
    """Machines stay with their tasks: other nodes renew their leases, and the new leader knows the tasks."""
    world, writer = begin_upgrade(510 + seed)
    # No node without the leader renews the lease of a machine that may have tasks of a cancelled job.
    cancelled = {
        placement.machine
        for entry in read_store().under(production.TASKS)
        if world.told[production.split_chunk_key(entry.key)[0]] == "aborted"
        for placement in production.decode_record(entry.key, entry.value).placed.values()
    }
    running = {task for task, machines in world.on.items() if machines and not machines & cancelled}
    assert len(running) > 100
    starts = dict(world.starts)
    world.run(seconds(6))
    end_upgrade(world, writer)
    world.run(seconds(30))
    assert len(running & world.completed) > 80
    again = {task: world.starts[task] for task in running if world.starts[task] > starts[task]}
    assert not again


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("which", ["late_writes", "lost_answers"])
def test_transactions_without_an_answer_during_the_roll(seed, which):
    world, writer = begin_upgrade(520 + seed)
    world.during(seconds(20), which, 0.3)
    world.run(seconds(6))
    end_upgrade(world, writer)
    for index in range(3):
        world.clock.later(seconds(4 + 4 * index), world.restart, index, seconds(1.5))
    world.run(seconds(20))
    assert world.counts["astray"] > 3
    settle(world, 100.0)


@pytest.mark.parametrize("seed", range(2))
def test_a_process_that_dies_before_its_turn_leaves_its_lease(seed):
    """The old leader ends without coming back at once: a new node leads once its lease has run out."""
    world, writer = begin_upgrade(530 + seed)
    world.run(seconds(6))
    writer.end()
    world.run(seconds(10))
    assert world.leader() not in (None, OLD_LEADER)
    world.start_node(OLD_LEADER)
    settle(world, 100.0)
