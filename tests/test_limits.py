"""Tests with limits of the state service that are lowered under load.

The deployment continues from a recorded state of the version in production, whose chunks exceed the
new limits.
"""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from spindleglade.runtime.clock import seconds
from tests.fakes.encoding import encode
from tests.generated_faults import FAULTS, inject
from tests.production import HISTORY, JOBS, TASKS, VOUCHED, decode_record, split_chunk_key
from tests.recorded_day import LARGE_ARRAY, RECORDED, recorded_deployment
from tests.stored_tasks import OVERFLOW_RANGE_KEY_PREFIX, AttemptInvariants, StoredTaskInvariants
from tests.waiting import settle

# The limits on values, transactions and request rates that the state service announces and later applies.
NEXT_LIMITS = {"value_kb": 2.0, "txn_ops": 4, "rps": 150.0, "write_rps": 40.0}
ANNOUNCED = replace(RECORDED, next_limits=NEXT_LIMITS)


def start_deployment(seed):
    """Returns a deployment of the current version that continues from the recorded state and knows the
    announced limits. Users submit further arrays."""
    deployment = recorded_deployment(seed, ANNOUNCED, controllers=(0, 1, 2))
    StoredTaskInvariants(deployment)
    AttemptInvariants(deployment)
    for job in list(deployment.jobs.descriptions):
        deployment.users.poll_until_over(job)
    for number in range(700, 706):
        deployment.clock.later(seconds(2 + (number - 700) * 2), submit_array, deployment, number)
    return deployment


def submit_array(deployment, number):
    array = {"threads": 60, "vcpus": 1.0, "mem_gb": 0.1, "run_s": 3.0, "crew": "blue"}
    deployment.users.submit_and_poll(number, **array)


def lower_limits_after(deployment, delay_s):
    deployment.fault_window.extend(seconds(delay_s + 5))
    deployment.clock.later(seconds(delay_s), lambda: deployment.state.lower_limits(**NEXT_LIMITS))


def settle_and_check_rejections(deployment):
    settle(deployment, 150.0, after_faults=True)
    # A transaction that was rejected for its size must not be sent again unchanged.
    refused = deployment.state.rejected_for_size
    assert len(set(refused)) == len(refused)


def largest_value(deployment):
    return max(len(encode(value)) for value, _, _ in deployment.state.keys.values())


@pytest.mark.parametrize("delay_s", [0.1, 1.0, 4.0, 9.0])
def test_limits_that_fall_amid_load_lose_nothing(delay_s):
    """The limits fall before a leader is elected, while it reads the records, or after it has rewritten some
    chunks."""
    deployment = start_deployment(600)
    lower_limits_after(deployment, delay_s)
    assert largest_value(deployment) > NEXT_LIMITS["value_kb"] * 1024
    deployment.run(seconds(30))
    assert deployment.counts["overflow ranges written"] > 3
    settle_and_check_rejections(deployment)
    assert deployment.jobs.observed_states[LARGE_ARRAY] == "done"
    assert not any(
        key.startswith((TASKS + LARGE_ARRAY, OVERFLOW_RANGE_KEY_PREFIX + LARGE_ARRAY))
        for key in deployment.state.keys
    )


@pytest.mark.parametrize("seed", range(3))
def test_leaders_change_while_chunks_are_moved(seed):
    deployment = start_deployment(610 + seed)
    lower_limits_after(deployment, 3.0)
    deployment.clock.later(seconds(2.5), deployment.faults.change_leaders, 8, seconds(16))
    deployment.run(seconds(30))
    assert deployment.counts["leaders"] > 3
    settle_and_check_rejections(deployment)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("fault", ["late_writes", "lost_answers"])
def test_transactions_without_an_answer_while_chunks_are_moved(seed, fault):
    deployment = start_deployment(620 + seed)
    lower_limits_after(deployment, 3.0)
    deployment.faults.set_rate_during(seconds(15), fault, 0.3)
    for at in (5, 9):
        deployment.clock.later(
            seconds(at),
            deployment.faults.restart_leader,
            seconds(1),
        )
    deployment.run(seconds(30))
    assert deployment.counts["unanswered transactions"] > 5
    settle_and_check_rejections(deployment)


@pytest.mark.parametrize("seed", range(2))
def test_an_outage_and_a_restart_of_all_while_chunks_are_moved(seed):
    deployment = start_deployment(630 + seed)
    lower_limits_after(deployment, 3.0)
    deployment.clock.later(seconds(4), deployment.faults.outage, seconds(3))
    for index in range(3):
        deployment.clock.later(
            seconds(3.5 + index / 2), deployment.faults.restart, index, seconds(1 + index / 2)
        )
    deployment.run(seconds(30))
    settle_and_check_rejections(deployment)


@settings(max_examples=8)
@given(st.integers(0, 1 << 30), FAULTS, st.floats(0.1, 15))
def test_limits_that_fall_whatever_else_fails(seed, faults, after):
    deployment = start_deployment(seed)
    lower_limits_after(deployment, after)
    for kind, start_s, duration_s, hold, selector in faults:
        deployment.clock.later(seconds(start_s), inject, deployment, kind, duration_s, hold, selector)
    deployment.run(seconds(24))
    settle_and_check_rejections(deployment)


@pytest.mark.parametrize("seed", range(2))
def test_a_job_of_production_is_cancelled_while_its_chunk_is_moved(seed):
    deployment = start_deployment(640 + seed)
    lower_limits_after(deployment, 3.0)
    deployment.clock.later(seconds(3.3 + seed / 3), deployment.users.cancel, LARGE_ARRAY)
    deployment.run(seconds(30))
    settle_and_check_rejections(deployment)
    assert deployment.jobs.observed_states[LARGE_ARRAY] == "aborted"


def test_the_leader_keeps_its_lease_at_the_new_rates():
    """Requests rejected for the rate must not prevent the leader from renewing its lease in time."""
    deployment = start_deployment(650)
    lower_limits_after(deployment, 3.0)
    deployment.run(seconds(4))
    leaders = deployment.counts["leaders"]
    deployment.run(seconds(30))
    assert deployment.counts["leaders"] == leaders
    settle_and_check_rejections(deployment)


def test_new_values_keep_to_the_next_limits_from_the_start():
    """Before the announced limits apply, no new key may be written with a value that exceeds them."""
    deployment = start_deployment(660)
    old_keys = set(deployment.state.keys)
    sizes = []
    write = deployment.state._write

    def record_sizes(writes):
        sizes.extend(len(encode(one["v"])) for one in writes if "set" in one and one["set"] not in old_keys)
        write(writes)

    deployment.state._write = record_sizes
    deployment.users.submit_and_poll(720, threads=120, vcpus=1.0, mem_gb=0.1, run_s=3.0)
    deployment.run(seconds(25))
    assert max(sizes) <= NEXT_LIMITS["value_kb"] * 1024
    settle_and_check_rejections(deployment)


@pytest.mark.parametrize("seed", range(2))
def test_production_can_read_all_until_the_limits_fall(seed):
    """During a rolling upgrade a controller that fails before its turn restarts with production's version,
    when the next limits are announced already. Until the limits fall it must be able to read all records."""
    deployment = start_deployment(680 + seed)
    deployment.faults.change_leaders(3, seconds(12))
    for _ in range(30):
        deployment.run(seconds(0.5))
        for key, (value, _, _) in deployment.state.keys.items():
            assert not key.startswith(OVERFLOW_RANGE_KEY_PREFIX), key
            if key.startswith((JOBS, TASKS, HISTORY, VOUCHED)):
                decode_record(key, encode(value))
            if key.startswith(TASKS):
                assert_chunk_holds_only_its_tasks(deployment, key, value)
    settle_and_check_rejections(deployment)


def assert_chunk_holds_only_its_tasks(deployment, key, value):
    """Asserts that all tasks of a chunk belong there: production finds them by the job's chunk size."""
    job, number = split_chunk_key(key)
    size = deployment.state.keys[JOBS + job][0]["chunk"]
    chunk = decode_record(key, encode(value))
    ends = [task for run in chunk.done for task in run]
    assert all(task // size == number for task in [*chunk.placed, *chunk.tried, *ends]), key


@pytest.mark.parametrize("seed", range(2))
def test_a_long_list_of_dependencies_fits_the_next_limits(seed):
    """The record of a job with 150 dependencies does not fit one value under the next limits."""
    deployment = start_deployment(670 + seed)
    lower_limits_after(deployment, 12.0)
    deployment.run(seconds(2))
    dependencies = [
        deployment.users.submit(800 + number, mem_gb=0.1, threads=1, run_s=0.5) for number in range(150)
    ]
    for job in dependencies:
        deployment.users.poll_until_over(job)
    while not deployment.jobs.accepted >= set(dependencies) and deployment.clock.now() < seconds(90):
        deployment.run(seconds(0.5))
    for number in (2000, 2001):
        deployment.users.submit_and_poll(number, mem_gb=0.1, threads=1, awaits=dependencies, crew="blue")
        deployment.run(seconds(10))
    settle_and_check_rejections(deployment)
