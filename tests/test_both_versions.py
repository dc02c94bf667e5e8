"""Tests of controllers of the version in production and of the current version that share a store.

Both versions serve the same machines and users. SimulatedDeployment.run checks every invariant throughout the
run, whichever version leads.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from spindleglade.runtime.clock import seconds
from tests.deployment_config import DeploymentConfig
from tests.generated_faults import FAULTS, inject
from tests.pipelines import Pipelines, chain, diamond, fan_in
from tests.simulated_deployment import SimulatedDeployment
from tests.stored_tasks import AttemptInvariants, StoredTaskInvariants
from tests.versions import has_history, is_of_production, production
from tests.waiting import settle

pytestmark = pytest.mark.skipif(
    not has_history(), reason="not a git checkout: the version in production is only in its history"
)

TEAMS = tuple({"name": name, "cpus": 60.0, "cpus_max": 120.0} for name in ("red", "blue"))
NEXT_LIMITS = {"value_kb": 2.0, "txn_ops": 4, "rps": 150.0, "write_rps": 40.0}
CONFIG = DeploymentConfig(capacity=14, machine_cpus=16.0, teams=TEAMS, next_limits=NEXT_LIMITS)
# An array of so many tasks has one chunk in production, larger than the next limit on values.
LARGE_ARRAY_TASKS = 150
ALL_CONTROLLERS = (0, 1, 2)


def start_deployment(seed, old=ALL_CONTROLLERS, **named):
    """Returns a deployment with work under way. The controllers with the indexes in `old` run the version in
    production, the others the current version."""

    def begin(deployment):
        for index in ALL_CONTROLLERS:
            if index in old:
                deployment.endpoints.versions[deployment.controller_names[index]] = production()
            deployment.processes.start(index)

    deployment = SimulatedDeployment(seed, config=CONFIG, begin=begin, **named)
    StoredTaskInvariants(deployment)
    AttemptInvariants(deployment)
    deployment.run(seconds(3))
    deployment.users.submit_and_poll(1, threads=LARGE_ARRAY_TASKS, vcpus=1.0, mem_gb=0.1, run_s=12.0)
    return deployment


def stream(deployment, count, every, first=100):
    """Schedules the submission of `count` arrays of all priorities from both teams, one every `every`
    seconds. Users cancel some of them while they run."""

    def submit(number):
        rng = deployment.rng
        job = deployment.users.submit(
            number,
            crew=rng.choice(["red", "blue"]),
            urgency=rng.choice(["critical", "high", "normal", "best_effort"]),
            threads=rng.choice([1, 2, 5, 20]),
            vcpus=1.0,
            mem_gb=0.1,
            run_s=rng.uniform(0.5, 6.0),
            knot_s=rng.choice([0.0, 2.0]),
        )
        deployment.users.poll_until_over(job)
        if rng.random() < 0.2:
            deployment.clock.later(seconds(rng.uniform(0.2, 6.0)), deployment.users.cancel, job)

    for at in range(count):
        deployment.clock.later(seconds(at * every), submit, first + at)


def upgrade(deployment, index, away=1.5):
    """Ends a controller and starts its successor of the current version `away` seconds later."""
    deployment.fault_window.extend(seconds(away))
    deployment.processes.kill(index)
    deployment.endpoints.versions.pop(deployment.controller_names[index], None)
    deployment.clock.later(seconds(away), deployment.processes.start_unless_running, index)


def old_controllers(deployment):
    """The indexes of the controllers that run the version in production."""
    return [
        at for at, name in enumerate(deployment.controller_names) if name in deployment.endpoints.versions
    ]


def leading_version(deployment):
    """The version of the controller that leads, `production` or `current`; None if no controller leads."""
    leader = deployment.leader()
    if leader is None:
        return None
    return (
        "production"
        if is_of_production(deployment.controllers[deployment.controller_names[leader]])
        else "current"
    )


def complete_run(deployment):
    """Completes a run in which all controllers run the current version. Submits pipelines and a job that
    depends on one accepted by production, lowers the limits of the state service, and waits until every job
    is over."""
    assert not old_controllers(deployment)
    pipelines = Pipelines(deployment, 5000)
    for shape in (chain(4, late=True), diamond(), fan_in(4)):
        pipelines.begin(shape, threads=1, vcpus=1.0, mem_gb=0.1, run_s=2.0)
    deployment.users.submit_and_poll(6000, awaits=["job-000001"], threads=1, vcpus=1.0, mem_gb=0.1, run_s=1.0)
    deployment.fault_window.extend(seconds(6))
    deployment.clock.later(seconds(2), lambda: deployment.state.lower_limits(**NEXT_LIMITS))
    pipelines.cancel_some(0.1, seconds(4))
    deployment.run(seconds(8))
    settle(deployment, 150.0, after_faults=True)
    pipelines.settle()


@pytest.mark.parametrize("order", [(0, 1, 2), (2, 1, 0), (1, 2, 0)], ids=str)
@pytest.mark.parametrize("seed", range(2))
def test_a_day_with_the_upgrade(seed, order):
    deployment = start_deployment(900 + seed)
    assert leading_version(deployment) == "production"
    stream(deployment, 36, 0.5)
    for number, index in enumerate(order):
        deployment.clock.later(seconds(4 + 4 * number), upgrade, deployment, index)
    # A process that fails before its upgrade is restarted with its old version.
    deployment.clock.later(seconds(5), deployment.faults.restart, order[2], seconds(0.5))
    deployment.fault_window.extend(seconds(16))
    deployment.run(seconds(18))
    assert leading_version(deployment) == "current"
    complete_run(deployment)


def hand_over(deployment):
    """Restarts all controllers of the version that leads, each with its version unchanged, and runs until a
    controller of the other version leads."""
    leading = leading_version(deployment)
    old = set(old_controllers(deployment))
    for index in old if leading == "production" else set(ALL_CONTROLLERS) - old:
        deployment.faults.restart(index, seconds(9))
    for _ in range(90):
        deployment.run(seconds(0.1))
        if leading_version(deployment) not in (None, leading):
            return
    raise AssertionError(f"no controller took over from the version that led: {leading}")


@pytest.mark.parametrize("seed", range(3))
def test_each_version_takes_over_from_the_other(seed):
    """The versions take over from each other in turn while work is under way, first with one and then with
    two of the three controllers running the current version."""
    deployment = start_deployment(910 + seed)
    stream(deployment, 90, 0.5)
    # The run times differ, so that some tasks of this array run at every handover.
    run_times_s = [4.0 + 3 * index for index in range(40)]
    deployment.users.submit_and_poll(2, crew="blue", threads=40, vcpus=1.0, mem_gb=0.1, run_s=run_times_s)
    deployment.run(seconds(12))
    for number in range(2):
        upgrade(deployment, (seed + number) % 3)
        deployment.run(seconds(3))
        for _ in range(4):
            assert any(deployment.executions.running_on.values())
            hand_over(deployment)
            deployment.run(seconds(2))
    deployment.run(seconds(9))
    upgrade(deployment, (seed + 2) % 3)
    deployment.run(seconds(12))
    complete_run(deployment)


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("fault", ["late_writes", "lost_answers"])
def test_transactions_without_an_answer_between_the_versions(seed, fault):
    deployment = start_deployment(920 + seed)
    stream(deployment, 40, 0.5)
    deployment.faults.set_rate_during(seconds(22), fault, 0.25)
    for number in range(3):
        deployment.clock.later(seconds(3 + 5 * number), upgrade, deployment, (seed + number) % 3)
        deployment.clock.later(
            seconds(6 + 5 * number), lambda: deployment.faults.restart(deployment.leader() or 0, seconds(0.4))
        )
    deployment.run(seconds(26))
    assert deployment.counts["unanswered transactions"] > 5
    complete_run(deployment)


@settings(max_examples=12)
@given(st.integers(0, 1 << 30), FAULTS, st.permutations(ALL_CONTROLLERS))
def test_no_rule_is_broken_between_the_versions_whatever_fails(seed, faults, order):
    deployment = start_deployment(seed)
    stream(deployment, 30, 0.8)
    for kind, start_s, duration_s, hold, selector in faults:
        deployment.clock.later(seconds(start_s), inject, deployment, kind, duration_s, hold, selector)
    for number, index in enumerate(order):
        deployment.clock.later(seconds(5 + 7 * number), upgrade, deployment, index)
    deployment.fault_window.extend(seconds(26))
    deployment.run(seconds(26))
    complete_run(deployment)
