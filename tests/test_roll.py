"""Tests of a rolling upgrade under load.

The deployment continues from a recorded state of the version in production. Its controllers are replaced one
by one by controllers of the current version.
"""

import pytest

from spindleglade.runtime.clock import seconds
from tests import production
from tests.deployment_config import description
from tests.invariants.dependency_invariants import FINAL_STATES
from tests.production_writer import ConditionFailed, ProductionWriter
from tests.recorded_day import LARGE_ARRAY, answers_of_all_controllers, read_store, recorded_deployment
from tests.stored_tasks import AttemptInvariants, StoredTaskInvariants
from tests.waiting import settle

# The index of the controller that leads in the recorded state.
OLD_LEADER = 1
# The lowest number of the jobs that production accepts during the upgrade.
FIRST_ACCEPTED_BY_PRODUCTION = 600


def begin_upgrade(seed):
    """Starts the upgrade: production still leads, and its other two controllers are replaced in turn."""
    deployment = recorded_deployment(seed)
    StoredTaskInvariants(deployment)
    AttemptInvariants(deployment)
    for job in list(deployment.jobs.descriptions):
        deployment.users.poll_until_over(job)
    writer = ProductionWriter(deployment)
    writer.keep_lease()
    deployment.fault_window.extend(seconds(12))
    deployment.clock.later(seconds(0.3), deployment.processes.start, (OLD_LEADER + 1) % 3)
    deployment.clock.later(seconds(3), deployment.processes.start, (OLD_LEADER + 2) % 3)
    for at in (0.5, 2, 3.2, 5):
        deployment.clock.later(seconds(at), write_as_production, deployment, writer)
    return deployment, writer


def write_as_production(deployment, writer):
    """Writes two records as production still does: an accepted job, and an attempt of the large array."""
    number = FIRST_ACCEPTED_BY_PRODUCTION + int(deployment.clock.now().total_seconds() * 10) % 100
    body = description(f"job-{number:06d}", {"threads": 2, "mem_gb": 0.1, "awaits": None, "run_s": 2.0})
    deployment.jobs.descriptions[body["ref"]] = body
    deployment.jobs.submitted_at[body["ref"]] = deployment.clock.now()
    writer.accept(body, 254, deployment.clock.utc())
    deployment.users.poll_until_over(body["ref"])
    writer.count_attempt(LARGE_ARRAY, 0)


def end_upgrade(deployment, writer):
    """Ends the last process of production and starts its successor of the current version."""
    writer.end()
    deployment.processes.start(OLD_LEADER)


@pytest.mark.parametrize("seed", range(3))
def test_jobs_of_production_go_on_and_end_after_the_roll(seed):
    deployment, writer = begin_upgrade(500 + seed)
    recorded = dict(deployment.jobs.observed_states)
    deployment.run(seconds(7))
    assert deployment.leader() is None, "production must still lead"
    end_upgrade(deployment, writer)
    deployment.run(seconds(5))
    assert deployment.leader() is not None
    with pytest.raises(ConditionFailed):
        # The writes of production fail from now on, like those of any deposed leader.
        stale = ProductionWriter(deployment)
        stale.mod_revision = lambda key: 1
        stale.rewrite(production.chunk_key(LARGE_ARRAY, 0), lambda chunk: chunk)
    settle(deployment, 100.0)
    assert (
        sum(job >= f"job-{FIRST_ACCEPTED_BY_PRODUCTION:06d}" for job in deployment.jobs.observed_states) == 4
    )
    for job, stage in recorded.items():
        assert deployment.jobs.observed_states[job] == (stage if stage in FINAL_STATES else "done"), job
    # The tasks that the recorded state lists as done were not run again by the new leader.
    chunk = production.decode_record("sg/task/", read_store().value(f"sg/task/{LARGE_ARRAY}/000000"))
    for first, last in chunk.done:
        for task in range(first, last + 1):
            assert f"{LARGE_ARRAY}/{task}" in deployment.executions.completed
    for (_, job), (status, body) in answers_of_all_controllers(
        deployment, sorted(deployment.jobs.descriptions)
    ).items():
        assert (status, body["stage"]) == (200, deployment.jobs.observed_states[job]), job


@pytest.mark.parametrize("seed", range(3))
def test_placed_tasks_outlive_the_roll(seed):
    """Running tasks must survive the upgrade: other controllers renew the leases of their machines, and the
    new leader reads the placements from the store."""
    deployment, writer = begin_upgrade(510 + seed)
    # A controller without contact to the leader does not renew the lease of a machine that may have tasks of
    # a cancelled job.
    cancelled = {
        placement.machine
        for entry in read_store().entries_with_prefix(production.TASKS)
        if deployment.jobs.observed_states[production.split_chunk_key(entry.key)[0]] == "aborted"
        for placement in production.decode_record(entry.key, entry.value).placed.values()
    }
    running = {
        task
        for task, machines in deployment.executions.running_on.items()
        if machines and not machines & cancelled
    }
    assert len(running) > 100
    starts = dict(deployment.executions.start_counts)
    deployment.run(seconds(6))
    end_upgrade(deployment, writer)
    deployment.run(seconds(30))
    assert len(running & deployment.executions.completed) > 80
    restarted = {
        task: deployment.executions.start_counts[task]
        for task in running
        if deployment.executions.start_counts[task] > starts[task]
    }
    assert not restarted


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("fault", ["late_writes", "lost_answers"])
def test_transactions_without_an_answer_during_the_roll(seed, fault):
    deployment, writer = begin_upgrade(520 + seed)
    deployment.faults.set_rate_during(seconds(20), fault, 0.3)
    deployment.run(seconds(6))
    end_upgrade(deployment, writer)
    for index in range(3):
        deployment.clock.later(seconds(4 + 4 * index), deployment.faults.restart, index, seconds(1.5))
    deployment.run(seconds(20))
    assert deployment.counts["unanswered transactions"] > 3
    settle(deployment, 100.0)


@pytest.mark.parametrize("seed", range(2))
def test_a_process_that_dies_before_its_turn_leaves_its_lease(seed):
    """The old leader ends and does not come back at once. Another controller leads once the lease of the old
    leader has expired."""
    deployment, writer = begin_upgrade(530 + seed)
    deployment.run(seconds(6))
    writer.end()
    deployment.run(seconds(10))
    assert deployment.leader() not in (None, OLD_LEADER)
    deployment.processes.start(OLD_LEADER)
    settle(deployment, 100.0)
