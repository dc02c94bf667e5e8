"""Tests of pipelines after a rolling upgrade.

Pipelines depend on jobs that production accepted, and production has ended jobs whose records have
dependencies.
"""

import pytest

from spindleglade.runtime.clock import seconds
from tests.deployment_config import DeploymentConfig
from tests.pipelines import Pipelines, chain, diamond, fan_out
from tests.production_writer import ProductionWriter
from tests.recorded_day import LARGE_ARRAY, answers_of_all_controllers, recorded_deployment
from tests.simulated_deployment import SimulatedDeployment
from tests.stored_tasks import AttemptInvariants, StoredTaskInvariants
from tests.waiting import settle

SMALL = {"threads": 1, "vcpus": 1.0, "mem_gb": 0.1, "run_s": 2.0}
TEAMS = tuple({"name": name, "cpus": 40.0, "cpus_max": 80.0} for name in ("red", "blue"))


def upgraded_deployment(seed):
    """Returns a deployment of the current version that continues from the recorded state."""
    deployment = recorded_deployment(seed, controllers=(0, 1, 2))
    StoredTaskInvariants(deployment)
    AttemptInvariants(deployment)
    for job in list(deployment.jobs.descriptions):
        deployment.users.poll_until_over(job)
    deployment.run(seconds(2))
    return deployment


def recorded_job(deployment, stage):
    return next(
        job
        for job in sorted(deployment.jobs.observed_states)
        if job != LARGE_ARRAY and deployment.jobs.observed_states[job] == stage
    )


@pytest.mark.parametrize("seed", range(2))
def test_jobs_may_name_what_production_accepted_in_any_state(seed):
    deployment = upgraded_deployment(700 + seed)
    done, aborted, running = (recorded_job(deployment, stage) for stage in ("done", "aborted", "running"))
    after_done = deployment.users.submit(801, awaits=[done], **SMALL)
    after_aborted = deployment.users.submit(802, awaits=[done, aborted], **SMALL)
    after_running = deployment.users.submit(803, awaits=[running, done], **SMALL)
    after_array = deployment.users.submit(804, awaits=[LARGE_ARRAY], **SMALL)
    for job in (after_done, after_aborted, after_running, after_array):
        deployment.users.poll_until_over(job)
    deployment.run(seconds(3))
    stages = {
        job: body["stage"]
        for (_, job), (_, body) in answers_of_all_controllers(deployment, [after_aborted]).items()
    }
    assert stages == {after_aborted: "aborted"}
    settle(deployment, 120.0)
    assert [deployment.jobs.observed_states[job] for job in (after_done, after_running, after_array)] == [
        "done"
    ] * 3
    assert (
        deployment.jobs.observed_states[after_aborted] == "aborted"
        and after_aborted not in deployment.executions.first_start_at
    )


@pytest.mark.parametrize("seed", range(2))
def test_a_running_job_of_production_is_cancelled_with_all_after_it(seed):
    deployment = upgraded_deployment(710 + seed)
    job = deployment.users.submit(801, awaits=[LARGE_ARRAY], **SMALL)
    deployment.users.poll_until_over(job)
    deployment.run(seconds(2))
    deployment.users.cancel(LARGE_ARRAY)
    deployment.run(seconds(3))
    assert deployment.jobs.observed_states[job] == "aborted"
    settle(deployment, 120.0)


@pytest.mark.parametrize("seed", range(2))
def test_pipelines_while_all_controllers_restart_in_turn_after_the_roll(seed):
    deployment = upgraded_deployment(720 + seed)
    pipelines = Pipelines(deployment)
    for shape in (chain(4, late=True), diamond(), fan_out(3)):
        pipelines.begin(shape, **SMALL)
    for index in range(3):
        deployment.clock.later(seconds(2 + 3 * index), deployment.faults.restart, index, seconds(1.5))
    deployment.run(seconds(12))
    pipelines.settle(seconds(120))


@pytest.mark.parametrize("place", range(3))
@pytest.mark.parametrize("stage", ["done", "aborted"])
def test_a_chained_job_that_production_ended_counts_as_ended(stage, place):
    """Production drops the dependencies from the record of a job that it ends. The descendants must still
    start or be aborted."""
    deployment = SimulatedDeployment(730 + place, config=DeploymentConfig(capacity=8, teams=TEAMS))
    deployment.run(seconds(3))
    pipelines = Pipelines(deployment)
    pipeline = pipelines.begin(chain(4), **(SMALL | {"run_s": 3.0}))
    job = pipeline.job(place)
    while not (pipeline.complete and deployment.executions.machines_of(job)):
        deployment.run(seconds(0.05))
    if stage == "aborted":
        deployment.jobs.cancel_requested.add(job)
    else:
        while not deployment.executions.is_complete(job):
            deployment.run(seconds(0.01), seconds(0.01))
        assert deployment.state.keys[f"sg/job/{job}"][0]["stage"] == "open", (
            "the leader recorded the end before production did"
        )
    ProductionWriter(deployment).end_job(job, stage)
    assert "dependencies" not in str(deployment.state.keys[f"sg/job/{job}"][0])
    pipelines.settle()
    expected = ["done"] * 4 if stage == "done" else ["done"] * place + ["aborted"] * (4 - place)
    assert [deployment.jobs.observed_states[one] for one in pipeline.jobs] == expected
