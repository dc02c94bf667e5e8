"""Combinations of two faults of the store, and users' requests meanwhile.

SimulatedDeployment.run checks every invariant throughout the run; `settle` checks at the end that every job
is over and that users are told so. docs/combined-faults.md lists which test covers which combination, and
which safeguard handles it.
"""

import pytest

from spindleglade.runtime.clock import seconds
from tests.deployment_config import CANCEL_TIMEOUT, DeploymentConfig
from tests.simulated_deployment import SimulatedDeployment
from tests.workloads import LARGE_TEAMS, settle, stages_everywhere, submit_and_await_running, submit_stream

# Store.


@pytest.mark.parametrize(
    ("seed", "at_end"), [*((seed, 0.0) for seed in range(6)), (0, 0.6), (2, 0.6), (4, 0.6)]
)
@pytest.mark.parametrize("fault", ["late_writes", "lost_answers"])
def test_transactions_without_an_answer(seed, at_end, fault):
    """A transaction without an answer is either applied late, after newer ones of the same controller, or at
    once, so that other controllers read its writes while the sender does not know the outcome. Meanwhile
    users poll all controllers, cancel jobs as they end (with probability `at_end`), and the leader
    restarts."""
    deployment = SimulatedDeployment(100 + seed, config=DeploymentConfig(capacity=8, teams=LARGE_TEAMS))
    submit_stream(deployment, 40)
    deployment.clock.later(
        seconds(3),
        deployment.faults.set_rate_during,
        seconds(30),
        fault,
        0.5 if fault == "late_writes" else 0.35,
    )
    deployment.clock.later(
        seconds(3), deployment.faults.set_rate_during, seconds(30), "poll_everywhere", True
    )
    deployment.clock.later(
        seconds(3), deployment.faults.set_rate_during, seconds(30), "cancel_at_end", at_end
    )
    for at in (9, 18, 27):
        deployment.clock.later(
            seconds(at),
            deployment.faults.restart_leader,
            seconds(2),
        )
    deployment.run(seconds(35))
    assert (
        deployment.counts["unanswered transactions"] > 5
        and deployment.counts["unanswered transactions executed"] > 2
    )
    assert deployment.counts["polls at all controllers"] > 20
    settle(deployment)


@pytest.mark.parametrize("seed", range(4))
def test_new_machines_get_work_while_writes_lag_and_the_leader_ends(seed):
    """Machines are ready within two seconds, but some records about them are written late, when another
    controller leads already."""
    deployment = SimulatedDeployment(120 + seed, config=DeploymentConfig(capacity=10, teams=LARGE_TEAMS))
    deployment.cloud.boot_time_s = (0.2, 1.5)
    deployment.run(seconds(3))
    deployment.faults.set_rate_during(seconds(25), "late_writes", 0.3)
    for number in range(12):
        deployment.clock.later(
            seconds(number * 1.5),
            lambda n=number: deployment.users.submit_and_poll(n, threads=3, vcpus=4.0, run_s=6.0),
        )
    for at in (2.5, 6, 11, 17):
        deployment.clock.later(
            seconds(at),
            deployment.faults.restart_leader,
            seconds(0.5),
        )
    deployment.run(seconds(25))
    assert len(deployment.workers) > 4 and deployment.counts["leaders"] > 3
    settle(deployment)


@pytest.mark.parametrize("seed", range(6))
def test_cancellations_hold_while_the_store_refuses_the_leader_and_is_then_down(seed):
    """The store refuses the leader alone. One second later it is down for all controllers, for longer than
    `cancel_s`. In that second users cancel jobs through the other controllers; the confirmed cancellations
    must take effect in time."""
    deployment = SimulatedDeployment(140 + seed, config=DeploymentConfig(capacity=8, teams=LARGE_TEAMS))
    deployment.run(seconds(3))
    # These jobs keep running, so the leader keeps its machines, and the workers keep their incarnations.
    jobs = submit_and_await_running(deployment, 12, vcpus=2.0, run_s=90.0)
    submit_stream(deployment, 10, cancelled=0.5)
    deployment.run(seconds(4))
    deployment.faults.refuse_leader_then_outage(seconds(12), CANCEL_TIMEOUT * 2)
    deployment.faults.cancel_running(8, seconds(0))
    deployment.run(seconds(0.9))
    assert len(deployment.jobs.cancelled_at) >= 4, "too few cancellations confirmed before the outage"
    assert set(jobs) - deployment.jobs.cancel_requested
    deployment.run(seconds(50))
    settle(deployment, 200)


@pytest.mark.parametrize("seed", range(4))
def test_a_slow_store_refuses_the_leader_and_then_everybody(seed):
    """Users cancel and poll jobs while the store is slow, refuses the leader, and is then down for all."""
    deployment = SimulatedDeployment(160 + seed, config=DeploymentConfig(capacity=8, teams=LARGE_TEAMS))
    submit_stream(deployment, 60, cancelled=0.4)
    deployment.clock.later(
        seconds(4), deployment.faults.set_rate_during, seconds(20), "slow_store", seconds(1.2)
    )
    deployment.clock.later(
        seconds(4), deployment.faults.set_rate_during, seconds(60), "poll_everywhere", True
    )
    deployment.clock.later(
        seconds(12), deployment.faults.refuse_leader_then_outage, seconds(10), CANCEL_TIMEOUT + seconds(4)
    )
    deployment.clock.later(
        seconds(42), deployment.faults.set_rate_during, seconds(10), "slow_store", seconds(2.5)
    )
    deployment.run(seconds(60))
    settle(deployment, 90)


# Answers to users.


@pytest.mark.parametrize("seed", range(6))
def test_all_controllers_agree_within_milliseconds_of_each_answer(seed):
    """When a job is accepted and when it is over, users poll all controllers several times, at first within
    milliseconds, and repeat the submission. Three tenths of the jobs are cancelled at once, and half of the
    ending jobs are cancelled at the moment of their end. All controllers must answer the same final state."""
    deployment = SimulatedDeployment(200 + seed, config=DeploymentConfig(capacity=8, teams=LARGE_TEAMS))
    deployment.run(seconds(3))
    deployment.faults.set_rate_during(seconds(30), "poll_everywhere", True)
    deployment.faults.set_rate_during(seconds(30), "cancel_at_once", 0.3)
    deployment.faults.set_rate_during(seconds(30), "cancel_at_end", 0.5)
    if seed % 2:
        deployment.faults.set_rate_during(seconds(30), "lost_answers", 0.2)
    submit_stream(deployment, 60, every=0.4, cancelled=0.2)
    deployment.run(seconds(30))
    assert (
        deployment.counts["cancelled at its end"] > 3 and deployment.counts["polls at all controllers"] > 60
    )
    settle(deployment)
    assert "done" in {deployment.jobs.observed_states[job] for job in deployment.jobs.cancel_requested}
    for job in sorted(deployment.jobs.cancel_requested)[:8]:
        ((status, _),) = stages_everywhere(deployment, job)
        assert status == 200


def test_invalid_requests_change_nothing():
    """Users repeat submissions of open jobs, cancel jobs that are done, and submit jobs that can never run,
    while the store is slow, refuses a controller and is down, and a controller restarts."""
    deployment = SimulatedDeployment(220, config=DeploymentConfig(capacity=8, teams=LARGE_TEAMS))
    deployment.run(seconds(3))
    submit_stream(deployment, 40)
    deployment.invalid_requests.send_for(seconds(40))
    deployment.clock.later(
        seconds(5), deployment.faults.set_rate_during, seconds(10), "slow_store", seconds(0.5)
    )
    deployment.clock.later(seconds(10), deployment.faults.refuse_by_store, 0, seconds(6))
    deployment.clock.later(seconds(14), deployment.faults.outage, seconds(5))
    deployment.clock.later(seconds(25), deployment.faults.restart, 1, seconds(1))
    deployment.run(seconds(45))
    assert deployment.counts["invalid submission 400"] > 5 and deployment.counts["invalid submission 422"] > 5
    settle(deployment)
    for job in deployment.jobs.invalid:
        ((status, _),) = stages_everywhere(deployment, job)
        assert status == 404
