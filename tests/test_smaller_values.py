"""Tests of values that could exceed a lowered limit: lease renewals, histories of teams, long job records."""

from spindleglade.runtime.clock import seconds
from spindleglade.settings import OperatorSettings
from spindleglade.settings.operator import BackfillSettings
from spindleglade.submissions.records import HISTORY_KEY_PREFIX, JOB_KEY_PREFIX, LEASE_RENEWAL_KEY_PREFIX
from tests.deployment_config import DeploymentConfig
from tests.fakes.encoding import encode
from tests.simulated_deployment import SimulatedDeployment

# The next limit of the state service on values: 1 KiB.
SMALL_VALUES = {"value_kb": 1.0}
MAX_VALUE_BYTES = int(SMALL_VALUES["value_kb"] * 1024)
# More machines than one value of that size can name.
MACHINES = 200
ONE_TEAM = ({"name": "red", "cpus": 1600.0, "cpus_max": 1600.0},)


def sizes(deployment, prefix):
    """The sizes in bytes of the stored values whose keys begin with the prefix, by key."""
    values = deployment.state.keys.items()
    return {key: len(encode(value)) for key, (value, _, _) in values if key.startswith(prefix)}


def test_an_isolated_controller_reports_lease_renewals_in_as_many_values_as_it_takes():
    """All machines send their heartbeats to a controller that reaches the store but not the leader."""
    fleet = DeploymentConfig(capacity=MACHINES, teams=ONE_TEAM, next_limits=SMALL_VALUES)
    deployment = SimulatedDeployment(51, config=fleet)
    deployment.cloud.boot_failure_probability = 0.0
    deployment.run(seconds(3))
    deployment.users.submit(1, threads=MACHINES, vcpus=8.0, mem_gb=0.1, run_s=200.0, reckon_s=200.0)
    while deployment.executions.started < MACHINES:
        deployment.run(seconds(1))
    near = deployment.controller_names[(deployment.leader() + 1) % 3]
    others = [name for name in deployment.controller_names if name != near]
    machines = [worker.machine.address for worker in deployment.workers.values()]
    for worker in deployment.workers.values():
        worker.controller_index = deployment.controller_names.index(near)
    deployment.run(seconds(2))
    for name in others:
        deployment.network.cut(name, [*machines, near], False, seconds(20))
    # Six seconds suffice for the first values, and ten more for giving up the machines that no value names.
    deployment.run(seconds(6))
    renewals = sizes(deployment, f"{LEASE_RENEWAL_KEY_PREFIX}{near}/")
    assert len(renewals) > 1 and max(renewals.values()) <= MAX_VALUE_BYTES
    named = deployment.state.keys[f"{LEASE_RENEWAL_KEY_PREFIX}{near}/1"][0]
    assert len(named) > MACHINES // 10
    deployment.run(seconds(10))
    gone = [name for name, worker in deployment.workers.items() if worker.terminated]
    assert gone and not set(named) & set(gone)


def test_a_history_that_does_not_fit_is_not_written():
    """With very fine bins the history exceeds the limit. It is not written; the other records still are."""
    fine_bins = OperatorSettings(backfill=BackfillSettings(bin_factor=1.01, first_bin_s=0.01))
    deployment = SimulatedDeployment(
        52, settings=fine_bins, config=DeploymentConfig(next_limits=SMALL_VALUES)
    )
    deployment.state.lower_limits(**SMALL_VALUES)
    deployment.run(seconds(3))
    job = deployment.users.submit(1, threads=2, run_s=2.0)
    deployment.users.poll_until_over(job)
    deployment.run(seconds(40))
    assert deployment.jobs.observed_states[job] == "done"
    assert not sizes(deployment, HISTORY_KEY_PREFIX) and not deployment.state.rejected_for_size


def test_the_end_of_a_job_with_a_long_record_is_written_in_a_shorter_form():
    """The job is accepted under the larger limit and ends under the smaller one."""
    deployment = SimulatedDeployment(53, config=DeploymentConfig())
    deployment.run(seconds(3))
    long_list = ["m8", *(f"{number:03d}" + "x" * 300 for number in range(20))]
    job = deployment.users.submit(1, threads=1, run_s=12.0, frames=long_list)
    deployment.users.poll_until_over(job)
    while not deployment.executions.started:
        deployment.run(seconds(0.5))
    assert sizes(deployment, JOB_KEY_PREFIX)[JOB_KEY_PREFIX + job] > MAX_VALUE_BYTES
    deployment.processes.announce_limits(SMALL_VALUES)
    for index in range(3):
        deployment.faults.restart(index, seconds(0.5))
    deployment.run(seconds(2))
    deployment.state.lower_limits(**SMALL_VALUES)
    deployment.run(seconds(40))
    assert deployment.jobs.observed_states[job] == "done"
    assert sizes(deployment, JOB_KEY_PREFIX)[JOB_KEY_PREFIX + job] <= MAX_VALUE_BYTES
    refused = deployment.state.rejected_for_size
    assert len(set(refused)) == len(refused)
