"""Tests of cancellations in pipelines: all descendants of a cancelled job are cancelled in time.

SimulatedDeployment.run checks the invariants of dependencies throughout the run; `settle` checks at the end
that every job is over and that users are told so.
"""

import msgspec
import pytest

from spindleglade.runtime.clock import seconds
from tests.deployment_config import CANCEL_TIMEOUT
from tests.invariants.dependency_invariants import FINAL_STATES
from tests.pipeline_deployments import LONG_JOB_FIELDS, deployment_with_leader, post, stages_of
from tests.pipelines import chain, diamond, fan_out
from tests.waiting import run_until


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("shape", [chain(4), diamond(), fan_out(4)], ids=["chain", "diamond", "out"])
def test_cancelling_a_running_job_cancels_all_after_it(seed, shape):
    deployment, pipelines = deployment_with_leader(330 + seed)
    pipeline = pipelines.begin(shape, **LONG_JOB_FIELDS)
    run_until(deployment, lambda: pipeline.complete and deployment.executions.machines_of(pipeline.job(0)))
    deployment.users.cancel(pipeline.job(0))
    run_until(deployment, lambda: pipeline.job(0) in deployment.jobs.cancelled_at, 5)
    assert set(stages_of(deployment, pipeline.jobs)) == {"aborted"}
    deployment.run(CANCEL_TIMEOUT + seconds(5))
    assert not any(deployment.executions.machines_of(job) for job in pipeline.jobs)
    assert {job for job in pipeline.jobs if job in deployment.executions.first_start_at} == {pipeline.job(0)}


@pytest.mark.parametrize("seed", range(3))
def test_cancelling_in_the_middle_leaves_what_came_before(seed):
    deployment, pipelines = deployment_with_leader(340 + seed)
    pipeline = pipelines.begin(chain(4), **LONG_JOB_FIELDS)
    run_until(deployment, lambda: pipeline.complete)
    deployment.users.cancel(pipeline.job(2))
    pipelines.settle()
    assert [deployment.jobs.observed_states[job] for job in pipeline.jobs] == [
        "done",
        "done",
        "aborted",
        "aborted",
    ]


@pytest.mark.parametrize("seed", range(3))
def test_cancelling_while_the_pipeline_is_being_submitted(seed):
    """A job that depends on a cancelled job is accepted nevertheless, and aborted."""
    deployment, pipelines = deployment_with_leader(350 + seed)
    deployment.users.accepted_callbacks.append(
        lambda job: deployment.users.cancel(job) if job.endswith(("000", "004", "008")) else None
    )
    for shape in (chain(4), diamond(late=True), fan_out(3)):
        pipelines.begin(shape, **LONG_JOB_FIELDS)
    pipelines.settle()
    assert len(deployment.jobs.accepted) == 12 and set(deployment.jobs.observed_states.values()) == {
        "aborted"
    }
    assert not any(deployment.dependencies.ancestors(job) for job in deployment.executions.first_start_at)


@pytest.mark.parametrize("seed", range(6))
def test_cancelling_at_the_moment_of_an_end(seed):
    """Either the job's end is recorded first and the pipeline goes on, or all descendants are aborted."""
    deployment, pipelines = deployment_with_leader(360 + seed)
    deployment.faults.set_rate_during(seconds(40), "cancel_at_end", 0.4)
    pipelines.stream(10, seconds(1))
    deployment.run(seconds(30))
    pipelines.settle()
    assert deployment.counts["cancelled at its end"] > 2


@pytest.mark.parametrize("seed", range(3))
def test_a_cancellation_answered_with_done_lets_the_others_go_on(seed):
    deployment, pipelines = deployment_with_leader(370 + seed)
    pipeline = pipelines.begin(chain(3), **(LONG_JOB_FIELDS | {"run_s": 3.0}))
    run_until(deployment, lambda: deployment.jobs.observed_states.get(pipeline.job(0)) == "done")
    deployment.users.cancel(pipeline.job(0))
    deployment.run(seconds(2))
    pipelines.settle()
    assert [deployment.jobs.observed_states[job] for job in pipeline.jobs] == ["done"] * 3


@pytest.mark.parametrize("seed", range(3))
def test_cancelling_a_job_that_is_aborted_by_another_answers_aborted(seed):
    deployment, pipelines = deployment_with_leader(380 + seed)
    pipeline = pipelines.begin(chain(3), **LONG_JOB_FIELDS)
    run_until(deployment, lambda: pipeline.complete)
    deployment.users.cancel(pipeline.job(0))
    run_until(deployment, lambda: pipeline.job(0) in deployment.jobs.cancelled_at, 5)
    for controller in deployment.controller_names:
        deployment.users.cancel(pipeline.job(2), 0, controller)
    deployment.run(seconds(3))
    assert (
        deployment.jobs.observed_states[pipeline.job(2)] == "aborted"
        and pipeline.job(2) in deployment.jobs.cancelled_at
    )
    # A repeated submission of the job is answered with its state too.
    status, body = post(
        deployment, deployment.jobs.descriptions[pipeline.job(2)], deployment.controller_names[0]
    )
    assert (status, msgspec.json.decode(body)["stage"]) == (200, "aborted")


@pytest.mark.parametrize("seed", range(3))
def test_all_after_a_job_cancelled_through_another_node_know_it_there(seed):
    """The jobs are cancelled at one controller, and users poll all controllers within milliseconds."""
    deployment, pipelines = deployment_with_leader(390 + seed)
    deployment.faults.set_rate_during(seconds(30), "poll_everywhere", True)
    begun = [pipelines.begin(shape, **LONG_JOB_FIELDS) for shape in (chain(4), diamond(), fan_out(4))]
    run_until(deployment, lambda: all(pipeline.complete for pipeline in begun))
    for number, pipeline in enumerate(begun):
        deployment.users.cancel(pipeline.job(0), 40, deployment.controller_names[number % 3])
    run_until(
        deployment, lambda: all(pipeline.job(0) in deployment.jobs.cancelled_at for pipeline in begun), 5
    )
    for pipeline in begun:
        for job in pipeline.jobs:
            for controller in deployment.controller_names:
                deployment.users.poll(job, controller)
    deployment.run(seconds(1))
    assert {deployment.jobs.observed_states[job] for pipeline in begun for job in pipeline.jobs} == {
        "aborted"
    }
    pipelines.settle()


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("hold", [False, True], ids=["lost", "held"])
def test_cancellations_while_the_leader_is_cut_off(seed, hold):
    deployment, pipelines = deployment_with_leader(400 + seed)
    pipelines.stream(8, seconds(1))
    pipelines.cancel_some(0.3, seconds(8))
    deployment.clock.later(
        seconds(4),
        lambda: deployment.network.cut_off(
            deployment.controller_names[deployment.leader() or 0], hold, seconds(8)
        ),
    )
    deployment.clock.later(
        seconds(14), lambda: deployment.faults.isolate(deployment.leader() or 0, hold, seconds(5))
    )
    deployment.run(seconds(22))
    pipelines.settle()


@pytest.mark.parametrize("seed", range(3))
def test_cancellations_before_and_in_an_outage_of_the_store(seed):
    deployment, pipelines = deployment_with_leader(410 + seed)
    pipelines.stream(8, seconds(0.7))
    pipelines.cancel_some(0.4, seconds(9))
    deployment.clock.later(seconds(4), deployment.faults.outage, seconds(6))
    deployment.clock.later(seconds(13), deployment.faults.refuse_leader_then_outage, seconds(4), seconds(8))
    deployment.run(seconds(24))
    pipelines.settle()


@pytest.mark.parametrize("seed", range(4))
def test_cancellations_while_leaders_change(seed):
    deployment, pipelines = deployment_with_leader(420 + seed)
    pipelines.stream(10, seconds(1.2))
    pipelines.cancel_some(0.3, seconds(6))
    deployment.faults.set_rate_during(seconds(16), "cancel_at_end", 0.2)
    deployment.faults.change_leaders(5, seconds(15))
    deployment.run(seconds(20))
    assert deployment.counts["leaders"] > 3
    pipelines.settle()


def test_one_job_with_many_dependents_is_cancelled():
    deployment, pipelines = deployment_with_leader(471)
    pipeline = pipelines.begin(fan_out(60), **LONG_JOB_FIELDS)
    run_until(deployment, lambda: pipeline.complete and deployment.executions.machines_of(pipeline.job(0)))
    deployment.users.cancel(pipeline.job(0))
    run_until(deployment, lambda: pipeline.job(0) in deployment.jobs.cancelled_at, 5)
    changes_before = deployment.state.changes
    pipelines.settle()
    assert {deployment.jobs.observed_states[job] for job in pipeline.jobs} == {"aborted"}
    # No records are written for the descendants: their cancellation is derived.
    assert deployment.state.changes - changes_before < 30
    assert set(deployment.jobs.observed_states.values()) <= set(FINAL_STATES)
