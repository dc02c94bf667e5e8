"""Values that could outgrow the smaller limit: vouching, the teams' histories, and a long record of a job."""

from spindleglade.runtime.clock import seconds
from spindleglade.settings import OperatorSettings
from spindleglade.settings.operator import BackfillSettings
from spindleglade.submissions.records import HISTORY_KEY_PREFIX, JOB_KEY_PREFIX, LEASE_RENEWAL_KEY_PREFIX
from tests.deployment_config import DeploymentConfig
from tests.fakes.encoding import encode
from tests.simulated_deployment import SimulatedDeployment

# Values of 1 KiB, and the bytes that new ones may have under it.
SMALL = {"value_kb": 1.0}
MOST_BYTES = int(SMALL["value_kb"] * 1024)
# More machines than one value of that size can name.
MANY = 200
ONE_TEAM = ({"name": "red", "cpus": 1600.0, "cpus_max": 1600.0},)


def sizes(deployment, prefix):
    """The sizes of the stored values, by key."""
    values = deployment.state.keys.items()
    return {key: len(encode(value)) for key, (value, _, _) in values if key.startswith(prefix)}


def test_an_isolated_controller_reports_lease_renewals_in_as_many_values_as_it_takes():
    """All machines report to a controller that reaches the store but not the leader."""
    fleet = DeploymentConfig(capacity=MANY, teams=ONE_TEAM, next_limits=SMALL)
    deployment = SimulatedDeployment(51, config=fleet)
    deployment.cloud.boot_failure_probability = 0.0
    deployment.run(seconds(3))
    deployment.users.submit(1, threads=MANY, vcpus=8.0, mem_gb=0.1, run_s=200.0, reckon_s=200.0)
    while deployment.executions.started < MANY:
        deployment.run(seconds(1))
    near = deployment.controller_names[(deployment.leader() + 1) % 3]
    others = [name for name in deployment.controller_names if name != near]
    machines = [worker.machine.address for worker in deployment.workers.values()]
    for worker in deployment.workers.values():
        worker.controller_index = deployment.controller_names.index(near)
    deployment.run(seconds(2))
    for name in others:
        deployment.network.cut(name, [*machines, near], False, seconds(20))
    # Long enough for the first values, and then for machines that nobody vouches for to be given up.
    deployment.run(seconds(6))
    vouched = sizes(deployment, f"{LEASE_RENEWAL_KEY_PREFIX}{near}/")
    assert len(vouched) > 1 and max(vouched.values()) <= MOST_BYTES
    named = deployment.state.keys[f"{LEASE_RENEWAL_KEY_PREFIX}{near}/1"][0]
    assert len(named) > MANY // 10
    deployment.run(seconds(10))
    gone = [name for name, worker in deployment.workers.items() if worker.terminated]
    assert gone and not set(named) & set(gone)


def test_a_history_that_does_not_fit_is_not_written():
    """Bins set very fine make a history of more than the limit; the other records go on."""
    fine = OperatorSettings(backfill=BackfillSettings(bin_factor=1.01, first_bin_s=0.01))
    deployment = SimulatedDeployment(52, settings=fine, config=DeploymentConfig(next_limits=SMALL))
    deployment.state.lower_limits(**SMALL)
    deployment.run(seconds(3))
    job = deployment.users.submit(1, threads=2, run_s=2.0)
    deployment.users.poll_until_over(job)
    deployment.run(seconds(40))
    assert deployment.jobs.observed_states[job] == "done"
    assert not sizes(deployment, HISTORY_KEY_PREFIX) and not deployment.state.rejected_for_size


def test_the_end_of_a_job_with_a_long_record_is_written_in_a_shorter_form():
    """Accepted under the larger limit, the job ends under the smaller one."""
    deployment = SimulatedDeployment(53, config=DeploymentConfig())
    deployment.run(seconds(3))
    long_list = ["m8", *(f"{number:03d}" + "x" * 300 for number in range(20))]
    job = deployment.users.submit(1, threads=1, run_s=12.0, frames=long_list)
    deployment.users.poll_until_over(job)
    while not deployment.executions.started:
        deployment.run(seconds(0.5))
    assert sizes(deployment, JOB_KEY_PREFIX)[JOB_KEY_PREFIX + job] > MOST_BYTES
    deployment.processes.announce_limits(SMALL)
    for index in range(3):
        deployment.faults.restart(index, seconds(0.5))
    deployment.run(seconds(2))
    deployment.state.lower_limits(**SMALL)
    deployment.run(seconds(40))
    assert deployment.jobs.observed_states[job] == "done"
    assert sizes(deployment, JOB_KEY_PREFIX)[JOB_KEY_PREFIX + job] <= MOST_BYTES
    refused = deployment.state.rejected_for_size
    assert len(set(refused)) == len(refused)
