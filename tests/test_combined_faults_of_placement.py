"""Combinations of two faults and their effect on placement: team limits, zones, held commands, and load.

SimulatedDeployment.run checks every invariant throughout the run; `settle` checks at the end that every job
is over and that users are told so. docs/combined-faults.md lists which test covers which combination, and
which safeguard handles it.
"""

import pytest

from spindleglade.runtime.clock import seconds
from tests.deployment_config import CANCEL_TIMEOUT, DeploymentConfig
from tests.simulated_deployment import SimulatedDeployment
from tests.workloads import LARGE_TEAMS, address, settle, submit_and_await_running, submit_stream

# Limits of teams.


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("fault", ["cut", "held", "hang", "unreachable"])
def test_every_team_is_at_its_limit_while_cancelled_work_cannot_be_reached(seed, fault):
    """Both teams use their whole limit when jobs are cancelled on machines that cannot be reached, and the
    leader changes. A cancelled attempt counts against the team's limit until it is proven to have ended; the
    deployment checks the limits at each start."""
    teams = tuple({"name": name, "cpus": 8.0, "cpus_max": 12.0} for name in ("red", "blue"))
    deployment = SimulatedDeployment(
        400 + seed, config=DeploymentConfig(capacity=8, teams=teams, lease=seconds(12))
    )
    deployment.run(seconds(3))
    jobs = [
        deployment.users.submit(number, crew=crew, threads=8, vcpus=2.0, run_s=25.0, knot_s=2.0)
        for number, crew in enumerate(["red", "blue"] * 2)
    ]
    deployment.run(seconds(15))
    assert deployment.executions.cpus_in_use == {"red": 12.0, "blue": 12.0}
    length = seconds(4 if seed % 2 else 22)
    for name in sorted({machine for job in jobs[:2] for machine in deployment.executions.machines_of(job)})[
        :3
    ]:
        if fault in ("cut", "held"):
            deployment.network.cut(
                address(deployment, name), deployment.controller_names, fault == "held", length
            )
        elif fault == "unreachable":
            deployment.faults.make_unreachable(address(deployment, name), length)
        else:
            deployment.faults.hang(name, length)
    if seed < 2:
        deployment.users.cancel(jobs[0])
        deployment.users.cancel(jobs[1])
        deployment.run(seconds(deployment.rng.uniform(0, 5)))
        deployment.faults.restart(deployment.leader(), seconds(0.3))
    else:
        # The cancellation comes while the new leader cannot reach the machines.
        deployment.faults.restart(deployment.leader(), seconds(0.3))
        deployment.run(seconds(1.5))
        deployment.users.cancel(jobs[0])
        deployment.users.cancel(jobs[1])
    deployment.run(seconds(12))
    deployment.faults.restart(deployment.leader(), seconds(0.5))
    settle(deployment, 170)


@pytest.mark.parametrize("seed", range(4))
def test_a_held_start_of_the_old_leader_counts_until_it_cannot_land(seed):
    """A job whose start commands are held up in the network uses the team's whole limit. The leader ends, the
    job is cancelled, and no message of the new leader reaches the machines. Their heartbeats carry the old
    fencing token and do not list the tasks, which proves nothing: the start commands may still arrive. The
    team's next job must not run at the same time as those tasks."""
    teams = ({"name": "red", "cpus": 4.0, "cpus_max": 4.0}, {"name": "blue", "cpus": 40.0, "cpus_max": 80.0})
    deployment = SimulatedDeployment(
        440 + seed, config=DeploymentConfig(capacity=4, teams=teams, lease=seconds(8))
    )
    deployment.cloud.boot_failure_probability = 0.0
    deployment.run(seconds(3))
    submit_and_await_running(deployment, 4, vcpus=8.0, run_s=[9.0], crew="blue")
    old = deployment.leader()
    for worker in deployment.workers.values():
        worker.controller_index = (old + 1) % 3
    deployment.run(seconds(9))
    machines = [worker.machine.address for worker in deployment.workers.values() if not worker.terminated]
    assert len(machines) == 4
    deployment.network.cut(deployment.controller_names[old], machines, True, seconds(9.5 + seed / 4))
    first = deployment.users.submit(100, crew="red", threads=2, vcpus=2.0, run_s=20.0)
    while not any(attempt.starts_in_flight for attempt in deployment.placed_attempts()):
        deployment.run(seconds(0.05))
    machines_of_first = {
        address(deployment, attempt.machine)
        for attempt in deployment.placed_attempts()
        if attempt.job.id == first
    }
    deployment.processes.kill(old)
    deployment.users.cancel(first)
    second = deployment.users.submit(101, crew="red", threads=2, vcpus=2.0, run_s=20.0)
    deployment.run(seconds(3.5))
    # A follower has renewed the leases until now; the new leader is about to be elected.
    for machine in machines_of_first:
        deployment.faults.make_unreachable(machine, seconds(7))
    deployment.run(seconds(6))
    assert deployment.leader() not in (None, old) and deployment.jobs.cancelled_at
    deployment.processes.start(old)
    settle(deployment, 90)
    assert deployment.jobs.observed_states[second] == "done"


# Placement.


@pytest.mark.parametrize("seed", range(4))
def test_jobs_bound_to_zones_lose_machines(seed):
    """Jobs are bound to a named zone, to any single zone, or spread over zones, while machines fail, are
    preempted by the cloud or are cut off, a zone is cut off, and the leader restarts. The deployment checks
    the zone of each placement."""
    deployment = SimulatedDeployment(500 + seed, config=DeploymentConfig(capacity=10, teams=LARGE_TEAMS))
    deployment.run(seconds(3))
    for number in range(24):
        zone_fields = [{"glade": "a"}, {"glade": "b"}, {"together": True}, {"scatter": True}][number % 4]
        fields = {
            "threads": deployment.rng.choice([1, 3, 5]),
            "vcpus": 2.0,
            "run_s": 6.0,
            "crew": "red",
        } | zone_fields
        deployment.clock.later(
            seconds(number), lambda n=number, f=fields: deployment.users.submit_and_poll(n, **f)
        )

    def disrupt_some_machine():
        living = sorted(name for name, worker in deployment.workers.items() if not worker.terminated)
        if living:
            name = deployment.rng.choice(living)
            fault = deployment.rng.choice(["fails", "preempted", "cut off"])
            if fault == "fails":
                deployment.faults.kill_machine(name)
            elif fault == "preempted":
                deployment.faults.terminate_with_notice(name, seconds(3))
            else:
                deployment.network.cut(
                    address(deployment, name), deployment.controller_names, True, seconds(9)
                )

    for at in range(4, 28, 3):
        deployment.clock.later(seconds(at), disrupt_some_machine)
    deployment.clock.later(seconds(10), deployment.network.cut_zone, "ab"[seed % 2], seed < 2, seconds(12))
    deployment.clock.later(
        seconds(14),
        deployment.faults.restart_leader,
        seconds(1),
    )
    deployment.run(seconds(32))
    settle(deployment, 120)


@pytest.mark.parametrize("seed", range(4))
def test_a_zone_with_workers_and_a_controller_is_cut_off_for_longer_than_a_lease(seed):
    """Jobs that users cancel meanwhile end in time, and no task runs twice at the same time."""
    deployment = SimulatedDeployment(520 + seed, config=DeploymentConfig(capacity=8, teams=LARGE_TEAMS))
    deployment.run(seconds(3))
    submit_and_await_running(deployment, 10, vcpus=2.0, run_s=30.0)
    deployment.network.cut_zone("ab"[seed % 2], seed < 2, seconds(30))
    deployment.run(seconds(2))
    deployment.faults.cancel_running(4, seconds(0))
    deployment.run(seconds(35))
    assert len(deployment.jobs.cancelled_at) >= 3
    settle(deployment, 120)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("relayed", [True, False])
def test_a_start_is_held_up_and_its_job_cancelled(seed, relayed):
    """The network holds all messages from the leader to the machines. Meanwhile a follower either relays the
    machines' heartbeats, or reaches only the store and renews their leases by itself. The cloud terminates no
    machine. The start command must not take effect later than `cancel_s` after the cancellation."""
    # Too few machines for the leader to conclude that it is isolated itself.
    deployment = SimulatedDeployment(540 + seed, config=DeploymentConfig(capacity=2, teams=LARGE_TEAMS))
    deployment.cloud.boot_failure_probability = 0.0
    deployment.run(seconds(3))
    submit_and_await_running(deployment, 2, vcpus=6.0, run_s=8.0)
    leader = deployment.leader()
    for worker in deployment.workers.values():
        worker.controller_index = (leader + 1) % 3
    deployment.run(seconds(3))
    machines = [worker.machine.address for worker in deployment.workers.values()]
    deployment.network.cut(deployment.controller_names[leader], machines, True, CANCEL_TIMEOUT + seconds(10))
    deployment.cloud.unavailable = True
    deployment.clock.later(CANCEL_TIMEOUT + seconds(20), setattr, deployment.cloud, "unavailable", False)
    jobs = [deployment.users.submit(100 + number, threads=2, vcpus=1.0, run_s=30.0) for number in range(2)]
    deployment.run(seconds(1))
    assert any(attempt.starts_in_flight for attempt in deployment.placed_attempts()), (
        "no start command is in flight"
    )
    follower, other_follower = (deployment.controller_names[(leader + step) % 3] for step in (1, 2))
    if not relayed:
        deployment.network.cut(follower, deployment.controller_names, False, CANCEL_TIMEOUT + seconds(8))
        deployment.network.cut(other_follower, machines, False, CANCEL_TIMEOUT + seconds(8))
    for job in jobs:
        deployment.users.cancel(job)
    deployment.run(CANCEL_TIMEOUT + seconds(20))
    assert deployment.leader() == leader or not relayed
    settle(deployment, 120)


@pytest.mark.parametrize("seed", range(3))
def test_machines_that_cannot_report_get_no_work_that_they_would_lose(seed):
    """Commands reach half of the machines, but the heartbeats of these machines reach no controller, so their
    leases expire. Tasks placed on them would be lost again and again, so the test bounds the starts."""
    deployment = SimulatedDeployment(560 + seed, config=DeploymentConfig(capacity=6, teams=LARGE_TEAMS))
    deployment.cloud.boot_failure_probability = 0.0
    deployment.run(seconds(3))
    submit_and_await_running(deployment, 6, vcpus=8.0, run_s=8.0)
    for worker in list(deployment.workers.values())[: len(deployment.workers) // 2]:
        if not worker.terminated:
            deployment.faults.stop_heartbeats(worker.machine.address, seconds(90))
    started_before = deployment.executions.started
    jobs = [deployment.users.submit(100 + number, threads=1, vcpus=8.0, run_s=14.0) for number in range(5)]
    for job in jobs:
        deployment.users.poll_until_over(job)
    deployment.run(seconds(75))
    assert all(deployment.jobs.observed_states[job] == "done" for job in jobs), (
        deployment.jobs.observed_states
    )
    assert deployment.executions.started - started_before <= len(jobs) + 6
    settle(deployment)


@pytest.mark.parametrize("seed", range(4))
def test_cancelled_work_on_machines_that_hang(seed):
    """Machines that run cancelled jobs hang, for less or more time than their lease, and then handle the
    commands and responses that arrived meanwhile. Cancelled tasks must not go on."""
    deployment = SimulatedDeployment(580 + seed, config=DeploymentConfig(capacity=8, teams=LARGE_TEAMS))
    submit_stream(deployment, 60, cancelled=0.1)
    for at in range(5, 30, 4):
        deployment.clock.later(
            seconds(at), deployment.faults.cancel_running, 4, seconds([2.5, 5, 8, 25][seed])
        )
    deployment.clock.later(
        seconds(16),
        deployment.faults.restart_leader,
        seconds(1),
    )
    deployment.run(seconds(35))
    assert deployment.counts["hung"] > 4 and deployment.counts["cancelled now"] > 10
    settle(deployment, 90)


# High load.


def test_one_task_jobs_come_four_a_second_for_minutes():
    """A quarter of the jobs are cancelled. The average number of store writes per job is bounded."""
    deployment = SimulatedDeployment(
        600, config=DeploymentConfig(capacity=12, teams=LARGE_TEAMS, write_rps=40.0, rps=100.0)
    )
    deployment.run(seconds(3))
    changes_before = deployment.state.changes
    submit_stream(deployment, 480, every=0.25, cancelled=0.25, threads=1, vcpus=1.0, run_s=4.0)
    deployment.run(seconds(125))
    settle(deployment, 30)
    # A job that is done takes four writes: accepted, placed, done, task range removed. A cancelled job takes
    # three: accepted, placed, cancelled.
    changes_per_job = (deployment.state.changes - changes_before) / 480
    assert changes_per_job < 4.2, changes_per_job
    assert deployment.state.rejected_for_rate < 50


def test_more_work_than_room_over_slow_links():
    """For five minutes there is more work, of high and low priority, than the machines can run. The largest
    jobs have the lowest priority; they must start in time nevertheless, and every class and team must
    be served."""
    deployment = SimulatedDeployment(620, config=DeploymentConfig(capacity=5, teams=LARGE_TEAMS))
    deployment.run(seconds(3))
    deployment.faults.set_rate_during(seconds(300), "slow_links", seconds(0.4))
    for number in range(4):
        fields = {"threads": 2, "vcpus": 8.0, "run_s": 6.0, "urgency": "best_effort", "bobbin": "large"}
        deployment.clock.later(
            seconds(10 + number * 5),
            lambda n=number, f=fields: deployment.users.submit_and_poll(500 + n, **f),
        )
    submit_stream(
        deployment, 170, every=1.7, cancelled=0.1, urgency="critical", threads=3, vcpus=3.0, run_s=8.0
    )
    deployment.run(seconds(300))
    settle(deployment, 300)
