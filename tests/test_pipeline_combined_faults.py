"""Combinations of two faults while pipelines of dependent jobs run; docs/combined-faults.md lists them.

SimulatedDeployment.run checks the invariants of dependencies throughout the run; `settle` checks at the end
that every job is over and that users are told so.
"""

import pytest

from spindleglade.runtime.clock import seconds
from tests.deployment_config import CANCEL_TIMEOUT, DeploymentConfig
from tests.pipelines import Pipelines, chain, diamond, fan_in, fan_out
from tests.recorded_day import answers_of_all_controllers
from tests.simulated_deployment import SimulatedDeployment
from tests.stored_tasks import AttemptInvariants, StoredTaskInvariants
from tests.waiting import run_until

TEAMS = tuple({"name": name, "cpus": 60.0, "cpus_max": 120.0} for name in ("red", "blue"))
NEXT_LIMITS = {"value_kb": 2.0, "txn_ops": 4, "rps": 150.0, "write_rps": 40.0}
SMALL = {"threads": 1, "vcpus": 1.0, "mem_gb": 0.1}
# An array with this many tasks has a task range record larger than the next limit on values.
LARGE_ARRAY_TASKS = 150


def deployment_with_leader(seed, **fields):
    """Returns a deployment with an elected leader, and the pipelines to run in it."""
    config = DeploymentConfig(capacity=14, machine_cpus=16.0, teams=TEAMS, next_limits=NEXT_LIMITS, **fields)
    deployment = SimulatedDeployment(seed, config=config)
    StoredTaskInvariants(deployment)
    AttemptInvariants(deployment)
    deployment.run(seconds(3))
    return deployment, Pipelines(deployment)


@pytest.mark.parametrize("before_s", [0.2, 0.9, 6.0])
@pytest.mark.parametrize("seed", range(2))
def test_an_ancestor_is_cancelled_as_its_last_task_ends_before_a_store_outage(seed, before_s):
    """The store begins to refuse the leader alone `before_s` seconds before the last task of the first jobs
    ends. One second later the store is down for all controllers, for longer than `cancel_s`. Users cancel
    jobs through any controller at the moment of their end."""
    deployment, pipelines = deployment_with_leader(800 + seed)
    for shape in (chain(3), diamond(), fan_out(3), fan_in(3)):
        pipelines.begin(shape, **SMALL, crew="red", run_s=[9.0])
    run_until(deployment, lambda: len(deployment.executions.first_start_at) >= 6)
    deployment.faults.set_rate_during(seconds(12), "cancel_at_end", 1.0)
    begins = (
        max(deployment.executions.first_start_at.values())
        + seconds(9)
        - seconds(before_s)
        - deployment.clock.now()
    )
    deployment.clock.later(
        max(begins, seconds(0)),
        deployment.faults.refuse_leader_then_outage,
        seconds(7),
        CANCEL_TIMEOUT + seconds(6),
    )
    deployment.run(seconds(20))
    assert deployment.counts["cancelled at its end"] >= 4
    pipelines.settle(seconds(150))
    # With less than a second between, the outage begins after the tasks' ends, and users can cancel the jobs
    # in time. If it begins earlier, no cancellation can be confirmed before the jobs' ends are recorded.
    assert ("aborted" in deployment.jobs.observed_states.values()) == (before_s < 1)


@pytest.mark.parametrize("seed", range(4))
def test_a_dependent_is_sent_to_a_lagging_controller_and_its_answer_is_lost(seed):
    """The store refuses one controller, so its replica lacks the jobs that other controllers accept. A user
    sends it a dependent of such a job. The controller forwards the request, its response to the user is lost,
    and the user repeats the request at another controller. Meanwhile some of the dependencies
    are cancelled."""
    deployment, pipelines = deployment_with_leader(810 + seed)
    lagging = seed % 3
    name = deployment.controller_names[lagging]
    sent = []

    def send_dependent(job):
        if job >= "job-700000":
            return
        dependent = f"job-7{len(sent):05d}"
        deployment.jobs.descriptions[dependent] = deployment.jobs.descriptions[job] | {
            "ref": dependent,
            "awaits": [job],
        }
        deployment.jobs.submitted_at[dependent] = deployment.clock.now()
        deployment.users.poll_until_over(dependent)
        sent.append(dependent)
        deployment.users.send_submission(dependent, 40, name)
        # The responses that the lagging controller sends in the next 1.2 seconds are lost.
        deployment.clock.later(seconds(0.012), deployment.network.cut, "user", [name], False, seconds(1.2))
        if len(sent) % 3 == 0:
            deployment.clock.later(
                seconds(0.02),
                deployment.users.cancel,
                job,
                40,
                deployment.controller_names[(lagging + 1) % 3],
            )

    deployment.users.accepted_callbacks.append(send_dependent)
    for at in (0.2, 6.0, 11.0):
        deployment.clock.later(seconds(at), deployment.faults.refuse_by_store, lagging, seconds(4))
    for number in range(16):
        deployment.clock.later(
            seconds(number), lambda n=number: deployment.users.submit_and_poll(n, **SMALL, run_s=2.0)
        )
    deployment.run(seconds(20))
    assert len(sent) == 16
    pipelines.settle()
    # Each job is accepted once; a repeated submission is answered with 200 and the state of the job.
    assert deployment.counts["submission 200"] >= 3
    assert [deployment.jobs.observed_states[job] == "aborted" for job in sent] == [
        deployment.dependencies.is_cancel_requested(job) for job in sent
    ]


@pytest.mark.parametrize("seed", range(3))
def test_all_controllers_are_polled_within_milliseconds_about_pipelines(seed):
    """Users poll all controllers when a job is accepted and when it is over, and cancel a fifth of the jobs
    upon acceptance, while leaders change and the store is slow."""
    deployment, pipelines = deployment_with_leader(820 + seed)
    deployment.faults.set_rate_during(seconds(26), "poll_everywhere", True)
    deployment.faults.set_rate_during(seconds(16), "cancel_at_once", 0.2)
    deployment.faults.set_rate_during(seconds(20), "slow_store", seconds(0.2))
    pipelines.stream(9, seconds(1.5))
    deployment.clock.later(seconds(5), deployment.faults.change_leaders, 3, seconds(10))
    deployment.run(seconds(26))
    assert deployment.counts["polls at all controllers"] > 30 and deployment.counts["leaders"] > 1
    pipelines.settle()


@pytest.mark.parametrize("seed", range(3))
def test_the_end_of_the_last_dependency_is_carried_out_and_its_answer_lost(seed):
    """Half of the transactions are applied, but their answers are lost, and the leader that sent them ends
    soon after."""
    deployment, pipelines = deployment_with_leader(830 + seed)
    begun = [pipelines.begin(shape, **SMALL, run_s=[4.0]) for shape in (chain(3), diamond(), fan_in(4))]
    run_until(
        deployment,
        lambda: all(one.complete for one in begun) and len(deployment.executions.first_start_at) >= 6,
    )
    deployment.faults.set_rate_during(seconds(14), "lost_answers", 0.5)
    for at in (4.2, 9.0):
        deployment.clock.later(
            seconds(at), lambda: deployment.faults.restart(deployment.leader() or 0, seconds(0.5))
        )
    deployment.run(seconds(16))
    assert deployment.counts["unanswered transactions executed"] > 5
    pipelines.settle()
    assert set(deployment.jobs.observed_states.values()) == {"done"}


@pytest.mark.parametrize("takeover_s", [None, 0.1, 1.0], ids=["", "taken over at once", "a second later"])
@pytest.mark.parametrize("cancelled", [False, True], ids=["", "cancelled"])
def test_limits_fall_while_the_chunk_of_an_ancestor_is_moved(cancelled, takeover_s):
    """The limits of the state service fall while the task range record of an array is being split to fit
    them. The job that depends on the array must start only when all tasks of the array are done, or be
    cancelled with it, also when another controller takes over as leader `takeover_s` seconds later."""
    deployment, pipelines = deployment_with_leader(840)
    run_times_s = [6.0 + index / 20 for index in range(LARGE_ARRAY_TASKS)]
    array = deployment.users.submit(
        1, crew="blue", threads=LARGE_ARRAY_TASKS, vcpus=0.5, mem_gb=0.1, run_s=run_times_s
    )
    run_until(deployment, lambda: array in deployment.jobs.accepted)
    dependent = deployment.users.submit(2, awaits=[array], **SMALL, run_s=[1.0])
    for job in (array, dependent):
        deployment.users.poll_until_over(job)
    run_until(deployment, lambda: sum(map(bool, deployment.executions.running_on.values())) > 100)
    deployment.fault_window.extend(seconds(4))
    deployment.state.lower_limits(**NEXT_LIMITS)
    if takeover_s is not None:
        deployment.clock.later(
            seconds(takeover_s), lambda: deployment.faults.restart(deployment.leader() or 0, seconds(0.3))
        )
    if cancelled:
        deployment.clock.later(seconds(0.4), deployment.users.cancel, array)
    deployment.run(seconds(6))
    pipelines.settle()
    assert deployment.jobs.observed_states[dependent] == ("aborted" if cancelled else "done")


def test_a_job_with_a_thousand_descendants_is_cancelled_as_limits_fall_and_a_leader_takes_over():
    """Half of the descendants depend on the cancelled job directly, the other half through another job. Their
    cancellation is derived, not written to the store, so neither the lower request rates nor a takeover may
    delay the state that each controller reports for them."""
    deployment, pipelines = deployment_with_leader(850, rps=2000.0, write_rps=600.0)
    first = deployment.users.submit(1, **SMALL, run_s=[60.0])
    run_until(deployment, lambda: deployment.executions.machines_of(first))
    numbers = range(1000, 2000)
    for number in numbers:
        dependency = first if number < 1500 else f"job-{number - 500:06d}"
        at = seconds((number - 1000) / 100 + (2 if number >= 1500 else 0))
        deployment.clock.later(
            at, lambda n=number, job=dependency: deployment.users.submit(n, awaits=[job], **SMALL)
        )
    descendants = [f"job-{number:06d}" for number in numbers]
    run_until(deployment, lambda: deployment.jobs.accepted >= set(descendants))
    deployment.fault_window.extend(seconds(12))
    deployment.state.lower_limits(**NEXT_LIMITS)
    changes_before = deployment.state.changes
    deployment.users.cancel(first)
    deployment.clock.later(
        seconds(0.05), lambda: deployment.faults.restart(deployment.leader() or 0, seconds(0.5))
    )
    run_until(deployment, lambda: first in deployment.jobs.cancelled_at, 5)
    deployment.run(seconds(12))
    sample = descendants[::25]
    answers = answers_of_all_controllers(deployment, sample)
    assert {(status, body["stage"]) for status, body in answers.values()} == {(200, "aborted")}
    assert not deployment.executions.first_start_at.keys() & set(descendants)
    assert deployment.state.changes - changes_before < 60
    for job in sample:
        deployment.users.poll(job)
    deployment.run(seconds(2))
    assert {deployment.jobs.observed_states[job] for job in sample} == {"aborted"}
