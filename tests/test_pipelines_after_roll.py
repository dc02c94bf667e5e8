"""Pipelines that name jobs of production, once all controllers are of this version, and records of chained
jobs that a process of production ends."""

import pytest

from spindleglade.runtime.clock import seconds
from tests.deployment import Deployment
from tests.pipelines import Pipelines, chain, diamond, fan_out
from tests.production_writer import ProductionWriter
from tests.recorded_day import LARGE_ARRAY, answers_everywhere, recorded_world
from tests.stored_tasks import Attempts, StoredTasks
from tests.waiting import settle
from tests.world import World

SMALL = {"threads": 1, "vcpus": 1.0, "mem_gb": 0.1, "run_s": 2.0}
TEAMS = tuple({"name": name, "cpus": 40.0, "cpus_max": 80.0} for name in ("red", "blue"))


def rolled_world(seed):
    """All three are of this version, and production's day goes on."""
    world = recorded_world(seed, nodes=(0, 1, 2))
    StoredTasks(world)
    Attempts(world)
    for job in list(world.jobs):
        world.watch(job)
    world.run(seconds(2))
    return world


def recorded_job(world, stage):
    return next(job for job in sorted(world.told) if job != LARGE_ARRAY and world.told[job] == stage)


@pytest.mark.parametrize("seed", range(2))
def test_jobs_may_name_what_production_accepted_in_any_state(seed):
    world = rolled_world(700 + seed)
    done, aborted, running = (recorded_job(world, stage) for stage in ("done", "aborted", "running"))
    after_done = world.submit(801, awaits=[done], **SMALL)
    after_aborted = world.submit(802, awaits=[done, aborted], **SMALL)
    after_running = world.submit(803, awaits=[running, done], **SMALL)
    after_array = world.submit(804, awaits=[LARGE_ARRAY], **SMALL)
    for job in (after_done, after_aborted, after_running, after_array):
        world.watch(job)
    world.run(seconds(3))
    stages = {
        job: body["stage"] for (_, job), (_, body) in answers_everywhere(world, [after_aborted]).items()
    }
    assert stages == {after_aborted: "aborted"}
    settle(world, 120.0)
    assert [world.told[job] for job in (after_done, after_running, after_array)] == ["done"] * 3
    assert world.told[after_aborted] == "aborted" and after_aborted not in world.began


@pytest.mark.parametrize("seed", range(2))
def test_a_running_job_of_production_is_cancelled_with_all_after_it(seed):
    world = rolled_world(710 + seed)
    job = world.submit(801, awaits=[LARGE_ARRAY], **SMALL)
    world.watch(job)
    world.run(seconds(2))
    world.abort(LARGE_ARRAY)
    world.run(seconds(3))
    assert world.told[job] == "aborted"
    settle(world, 120.0)


@pytest.mark.parametrize("seed", range(2))
def test_pipelines_while_all_controllers_restart_in_turn_after_the_roll(seed):
    world = rolled_world(720 + seed)
    pipelines = Pipelines(world)
    for shape in (chain(4, late=True), diamond(), fan_out(3)):
        pipelines.begin(shape, **SMALL)
    for index in range(3):
        world.clock.later(seconds(2 + 3 * index), world.restart, index, seconds(1.5))
    world.run(seconds(12))
    pipelines.settle(seconds(120))


@pytest.mark.parametrize("place", range(3))
@pytest.mark.parametrize("stage", ["done", "aborted"])
def test_a_chained_job_that_production_ended_counts_as_ended(stage, place):
    """Its record lacks the dependencies from then on; what comes after it goes on, or is aborted."""
    world = World(730 + place, deployment=Deployment(capacity=8, teams=TEAMS))
    world.run(seconds(3))
    pipelines = Pipelines(world)
    pipeline = pipelines.begin(chain(4), **(SMALL | {"run_s": 3.0}))
    job = pipeline.job(place)
    while not (pipeline.complete and world.machines_of(job)):
        world.run(seconds(0.05))
    if stage == "aborted":
        world.asked_abort.add(job)
    else:
        while not world.is_complete(job):
            world.run(seconds(0.01), seconds(0.01))
        assert world.state.keys[f"sg/job/{job}"][0]["stage"] == "open", "the leader was faster"
    ProductionWriter(world).end_job(job, stage)
    assert "dependencies" not in str(world.state.keys[f"sg/job/{job}"][0])
    pipelines.settle()
    expected = ["done"] * 4 if stage == "done" else ["done"] * place + ["aborted"] * (4 - place)
    assert [world.told[one] for one in pipeline.jobs] == expected
