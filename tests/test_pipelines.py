"""Tests of pipelines of dependent jobs, without faults, with chosen faults and with generated ones.

SimulatedDeployment.run checks the invariants of dependencies throughout the run; `settle` checks at the end
that every job is over and that users are told so.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from spindleglade.runtime.clock import seconds
from tests.generated_faults import FAULTS, inject
from tests.pipeline_deployments import CONFIG, LONG_JOB_FIELDS, deployment_with_leader, stages_of
from tests.pipelines import Pipelines, chain, diamond, fan_in, fan_out
from tests.simulated_deployment import SimulatedDeployment
from tests.waiting import run_until


@pytest.mark.parametrize("seed", range(4))
def test_pipelines_without_faults(seed):
    deployment, pipelines = deployment_with_leader(300 + seed)
    pipelines.stream(10, seconds(1.5))
    deployment.run(seconds(16))
    pipelines.settle()
    assert set(deployment.jobs.observed_states.values()) == {"done"}
    assert any(deployment.dependencies.ancestors(job) for job in deployment.jobs.descriptions)


@pytest.mark.parametrize(
    "shape", [chain(4), diamond(), fan_out(4), fan_in(4)], ids=["chain", "diamond", "out", "in"]
)
def test_a_job_is_pending_until_what_it_needs_is_done_and_then_starts(shape):
    deployment, pipelines = deployment_with_leader(310)
    pipeline = pipelines.begin(shape, **LONG_JOB_FIELDS)
    run_until(deployment, lambda: pipeline.complete and deployment.executions.started)
    dependents = [job for job in pipeline.jobs if deployment.dependencies.ancestors(job)]
    assert set(stages_of(deployment, dependents)) == {"pending"}
    pipelines.settle()
    for job in dependents:
        ancestors_started_at = max(
            deployment.executions.first_start_at[ancestor]
            for ancestor in deployment.dependencies.ancestors(job)
        )
        assert deployment.executions.first_start_at[job] > ancestors_started_at


@pytest.mark.parametrize("seed", range(3))
def test_pipelines_with_failing_tasks_lost_messages_and_a_lost_machine(seed):
    deployment, pipelines = deployment_with_leader(320 + seed, task_failure_rate=0.05)
    pipelines.stream(8, seconds(1.5))
    pipelines.cancel_some(0.1, seconds(6))
    deployment.clock.later(seconds(5), deployment.faults.set_rate_during, seconds(6), "lost_messages", 0.1)
    deployment.clock.later(seconds(7), lambda: deployment.faults.kill_machine(min(deployment.workers)))
    deployment.clock.later(seconds(8), deployment.faults.set_rate_during, seconds(8), "cancel_at_end", 0.3)
    deployment.run(seconds(20))
    pipelines.settle()


@pytest.mark.parametrize("seed", range(3))
def test_pipelines_outlive_the_restart_of_all_controllers(seed):
    deployment, pipelines = deployment_with_leader(440 + seed)
    pipelines.stream(8, seconds(1))
    for index in range(3):
        deployment.clock.later(seconds(6 + index), deployment.faults.restart, index, seconds(2 + index))
    deployment.run(seconds(14))
    pipelines.settle()
    assert set(deployment.jobs.observed_states.values()) == {"done"}


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("fault", ["late_writes", "lost_answers"])
def test_pipelines_with_transactions_without_an_answer(seed, fault):
    deployment, pipelines = deployment_with_leader(430 + seed)
    deployment.faults.set_rate_during(seconds(18), fault, 0.3)
    pipelines.stream(10, seconds(1.2))
    pipelines.cancel_some(0.2, seconds(6))
    deployment.clock.later(seconds(6), deployment.faults.restart_leader, seconds(1))
    deployment.run(seconds(20))
    assert deployment.counts["unanswered transactions"] > 2
    pipelines.settle()


@settings(max_examples=15)
@given(st.integers(0, 1 << 30), FAULTS, st.sampled_from([0.0, 0.05]), st.sampled_from([0.0, 0.15, 0.4]))
def test_no_rule_of_pipelines_is_broken_whatever_fails(seed, faults, task_failure_rate, cancelled):
    deployment = SimulatedDeployment(seed, config=CONFIG, task_failure_rate=task_failure_rate)
    pipelines = Pipelines(deployment)
    pipelines.cancel_some(cancelled, seconds(6))
    pipelines.stream(8, seconds(2.2))
    for kind, start_s, duration_s, hold, selector in faults:
        deployment.clock.later(seconds(start_s), inject, deployment, kind, duration_s, hold, selector)
    # All faults have begun by then; `settle` counts its time limit from the end of the last one.
    deployment.run(seconds(24))
    pipelines.settle(seconds(150))
