"""Values that could outgrow the smaller limit: vouching, the teams' histories, and a long record of a job."""

from dataclasses import replace

from spindleglade.runtime.clock import seconds
from spindleglade.settings import OperatorSettings
from spindleglade.settings.operator import BackfillSettings
from spindleglade.submissions.records import HISTORY, JOBS, LEASE_RENEWALS
from tests.deployment import Deployment
from tests.standins import encode
from tests.world import World

# Values of 1 KiB, and the bytes that new ones may have under it.
SMALL = {"value_kb": 1.0}
MOST_BYTES = int(SMALL["value_kb"] * 1024)
# More machines than one value of that size can name.
MANY = 200
ONE_TEAM = ({"name": "red", "cpus": 1600.0, "cpus_max": 1600.0},)


def sizes(world, prefix):
    """The sizes of the stored values, by key."""
    values = world.state.keys.items()
    return {key: len(encode(value)) for key, (value, _, _) in values if key.startswith(prefix)}


def test_a_node_on_its_own_vouches_in_as_many_values_as_it_takes():
    """All machines report to a node that reaches the store but not the leader."""
    fleet = Deployment(capacity=MANY, teams=ONE_TEAM, next_limits=SMALL)
    world = World(51, deployment=fleet)
    world.cloud.never_up = 0.0
    world.run(seconds(3))
    world.submit(1, threads=MANY, vcpus=8.0, mem_gb=0.1, run_s=200.0, reckon_s=200.0)
    while world.started < MANY:
        world.run(seconds(1))
    near = world.node_names[(world.leader() + 1) % 3]
    others = [name for name in world.node_names if name != near]
    machines = [worker.machine.address for worker in world.workers.values()]
    for worker in world.workers.values():
        worker.at = world.node_names.index(near)
    world.run(seconds(2))
    for name in others:
        world.cut(name, [*machines, near], False, seconds(20))
    # Long enough for the first values, and then for machines that nobody vouches for to be given up.
    world.run(seconds(6))
    vouched = sizes(world, f"{LEASE_RENEWALS}{near}/")
    assert len(vouched) > 1 and max(vouched.values()) <= MOST_BYTES
    named = world.state.keys[f"{LEASE_RENEWALS}{near}/1"][0]
    assert len(named) > MANY // 10
    world.run(seconds(10))
    gone = [name for name, worker in world.workers.items() if worker.gone]
    assert gone and not set(named) & set(gone)


def test_a_history_that_does_not_fit_is_not_written():
    """Bins set very fine make a history of more than the limit; the other records go on."""
    fine = OperatorSettings(backfill=BackfillSettings(bin_factor=1.01, first_bin_s=0.01))
    world = World(52, settings=fine, deployment=Deployment(next_limits=SMALL))
    world.state.lower_limits(**SMALL)
    world.run(seconds(3))
    job = world.submit(1, threads=2, run_s=2.0)
    world.watch(job)
    world.run(seconds(40))
    assert world.told[job] == "done"
    assert not sizes(world, HISTORY) and not world.state.too_large


def test_the_end_of_a_job_with_a_long_record_is_written_in_a_shorter_form():
    """Accepted under the larger limit, the job ends under the smaller one."""
    world = World(53, deployment=Deployment())
    world.run(seconds(3))
    long_list = ["m8", *(f"{number:03d}" + "x" * 300 for number in range(20))]
    job = world.submit(1, threads=1, run_s=12.0, frames=long_list)
    world.watch(job)
    while not world.started:
        world.run(seconds(0.5))
    assert sizes(world, JOBS)[JOBS + job] > MOST_BYTES
    world.at = replace(world.at, next_limits=SMALL)
    for index in range(3):
        world.restart(index, seconds(0.5))
    world.run(seconds(2))
    world.state.lower_limits(**SMALL)
    world.run(seconds(40))
    assert world.told[job] == "done"
    assert sizes(world, JOBS)[JOBS + job] <= MOST_BYTES
    refused = world.state.too_large
    assert len(set(refused)) == len(refused)
