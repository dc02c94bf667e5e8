"""Two troubles at once: each combination of faults that the users named, brought about among real nodes.

SimulatedDeployment.run checks every rule all the time; `settle` asks at the end that all is served again. The
table in docs/meetings.md says which test brings about which combination, and which guard was seen to hold it.
"""

import pytest

from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import seconds
from tests.deployment_config import CANCEL, DeploymentConfig
from tests.simulated_deployment import SimulatedDeployment

ROOMY = tuple({"name": name, "cpus": 40.0, "cpus_max": 80.0} for name in ("red", "blue"))


def busy(deployment, jobs, every=0.5, cancelled=0.2, **fields):
    """A stream of jobs, some cancelled while they wait, run or end; the first begins at once."""
    rng = deployment.rng

    def one(number):
        given = {
            "crew": rng.choice([team["name"] for team in deployment.config.teams]),
            "urgency": rng.choice(["critical", "high", "normal", "best_effort"]),
            "threads": rng.choice([1, 2, 3]),
            "vcpus": rng.choice([1.0, 2.0, 4.0]),
            "run_s": rng.uniform(0.3, 8),
            "knot_s": rng.choice([0.0, 2.0]),
        }
        job = deployment.users.submit(number, **(given | fields))
        deployment.users.poll_until_over(job)
        if rng.random() < cancelled:
            deployment.clock.later(seconds(rng.uniform(0, 10)), deployment.users.cancel, job)

    for number in range(jobs):
        deployment.clock.later(seconds(number * every), one, 1000 + number)


def running(deployment, count, **fields):
    """Jobs of one task each that are all running now, in a deployment that is ready."""
    first = len(deployment.jobs.descriptions)
    jobs = [
        deployment.users.submit(first + n, **({"threads": 1, "run_s": 60.0} | fields)) for n in range(count)
    ]
    end = deployment.clock.now() + seconds(60)
    while not all(deployment.executions.machines_of(job) for job in jobs) and deployment.clock.now() < end:
        deployment.run(seconds(0.5))
    assert all(deployment.executions.machines_of(job) for job in jobs)
    deployment.run(seconds(2))
    return jobs


def settle(deployment, span=60.0):
    """Once all is well every job ends, and users hear so."""
    end = max(deployment.clock.now(), deployment.fault_window.ends_at) + seconds(span)
    open_jobs = set(deployment.jobs.descriptions)
    while open_jobs and deployment.clock.now() < end:
        deployment.run(seconds(1))
        open_jobs = {
            job
            for job in deployment.jobs.descriptions
            if deployment.jobs.observed_states.get(job) not in ("done", "aborted")
        }
        for job in open_jobs:
            deployment.users.poll(job)
    assert not open_jobs, {job: deployment.jobs.observed_states.get(job) for job in open_jobs}
    deployment.service.check_day()


def assert_none_began_twice(deployment, jobs):
    """What ran went on: no lease was lost that somebody could renew."""
    again = {
        job: deployment.executions.start_counts[f"{job}/0"]
        for job in jobs
        if deployment.executions.start_counts[f"{job}/0"] > 1
    }
    assert not again, again


def address(deployment, name):
    return deployment.workers[name].machine.address


def stages_everywhere(deployment, job):
    """What each node answers for the job, asked straight."""
    got = {}
    for name in deployment.controllers:

        async def ask(name=name):
            got[name] = await deployment.controllers[name].handle("GET", f"/submissions/{job}", b"")

        run_in_background(ask(), "asking")
    deployment.run(seconds(2))
    assert len(got) == len(deployment.controllers)
    return {(answer.status, answer.body) for answer in got.values()}


# Store.


@pytest.mark.parametrize("seed, at_end", [*((seed, 0.0) for seed in range(6)), (0, 0.6), (2, 0.6), (4, 0.6)])
@pytest.mark.parametrize("which", ["late_writes", "lost_answers"])
def test_transactions_without_an_answer(seed, at_end, which):
    """Carried out late, after newer ones of the same controller, or at once with only the answer lost while
    other nodes read what they wrote; users look closely and cancel at an end, and the leader ends amid it."""
    deployment = SimulatedDeployment(100 + seed, config=DeploymentConfig(capacity=8, teams=ROOMY))
    busy(deployment, 40)
    deployment.clock.later(
        seconds(3), deployment.faults.during, seconds(30), which, 0.5 if which == "late_writes" else 0.35
    )
    deployment.clock.later(seconds(3), deployment.faults.during, seconds(30), "poll_everywhere", True)
    deployment.clock.later(seconds(3), deployment.faults.during, seconds(30), "cancel_at_end", at_end)
    for at in (9, 18, 27):
        deployment.clock.later(
            seconds(at),
            deployment.faults.restart_leader,
            seconds(2),
        )
    deployment.run(seconds(35))
    assert deployment.counts["astray"] > 5 and deployment.counts["astray carried out"] > 2
    assert deployment.counts["close looks"] > 20
    settle(deployment)


@pytest.mark.parametrize("seed", range(4))
def test_new_machines_get_work_while_writes_lag_and_the_leader_ends(seed):
    """They are up within two seconds; what is recorded about them comes late, and another leads by then."""
    deployment = SimulatedDeployment(120 + seed, config=DeploymentConfig(capacity=10, teams=ROOMY))
    deployment.cloud.boot_s = (0.2, 1.5)
    deployment.run(seconds(3))
    deployment.faults.during(seconds(25), "late_writes", 0.3)
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
def test_the_gap(seed):
    """The store refuses the leader alone; jobs are cancelled at the other nodes in that second; then it is
    down for all, for longer than a cancellation may take."""
    deployment = SimulatedDeployment(140 + seed, config=DeploymentConfig(capacity=8, teams=ROOMY))
    deployment.run(seconds(3))
    # Others go on, so that the leader keeps its fleet and its workers their sessions.
    jobs = running(deployment, 12, vcpus=2.0, run_s=90.0)
    busy(deployment, 10, cancelled=0.5)
    deployment.run(seconds(4))
    deployment.faults.refuse_leader_then_outage(seconds(12), CANCEL * 2)
    deployment.faults.cancel_running(8, seconds(0))
    deployment.run(seconds(0.9))
    assert len(deployment.jobs.cancelled_at) >= 4, "confirmed before the outage"
    assert set(jobs) - deployment.jobs.cancel_requested
    deployment.run(seconds(50))
    settle(deployment, 200)


@pytest.mark.parametrize("seed", range(4))
def test_a_slow_store_refuses_the_leader_and_then_everybody(seed):
    """While users cancel and ask."""
    deployment = SimulatedDeployment(160 + seed, config=DeploymentConfig(capacity=8, teams=ROOMY))
    busy(deployment, 60, cancelled=0.4)
    deployment.clock.later(seconds(4), deployment.faults.during, seconds(20), "slow_store", seconds(1.2))
    deployment.clock.later(seconds(4), deployment.faults.during, seconds(60), "poll_everywhere", True)
    deployment.clock.later(
        seconds(12), deployment.faults.refuse_leader_then_outage, seconds(10), CANCEL + seconds(4)
    )
    deployment.clock.later(seconds(42), deployment.faults.during, seconds(10), "slow_store", seconds(2.5))
    deployment.run(seconds(60))
    settle(deployment, 90)


# Answers.


@pytest.mark.parametrize("seed", range(6))
def test_close_looks(seed):
    """All nodes are asked within milliseconds, again and again, and the submission repeated, after every
    answer that said something new; a third of the jobs are cancelled at once, and half of those that end at
    the moment of the end. All nodes then say the same for good."""
    deployment = SimulatedDeployment(200 + seed, config=DeploymentConfig(capacity=8, teams=ROOMY))
    deployment.run(seconds(3))
    deployment.faults.during(seconds(30), "poll_everywhere", True)
    deployment.faults.during(seconds(30), "cancel_at_once", 0.3)
    deployment.faults.during(seconds(30), "cancel_at_end", 0.5)
    if seed % 2:
        deployment.faults.during(seconds(30), "lost_answers", 0.2)
    busy(deployment, 60, every=0.4, cancelled=0.2)
    deployment.run(seconds(30))
    assert deployment.counts["cancelled at its end"] > 3 and deployment.counts["close looks"] > 60
    settle(deployment)
    assert "done" in {deployment.jobs.observed_states[job] for job in deployment.jobs.cancel_requested}
    for job in sorted(deployment.jobs.cancel_requested)[:8]:
        ((status, _),) = stages_everywhere(deployment, job)
        assert status == 200


def test_odd_requests():
    """Repeats of what is under way, cancellations of what is done, and jobs that can never run, while the
    store is slow and refuses nodes."""
    deployment = SimulatedDeployment(220, config=DeploymentConfig(capacity=8, teams=ROOMY))
    deployment.run(seconds(3))
    busy(deployment, 40)
    deployment.invalid_requests.send_for(seconds(40))
    deployment.clock.later(seconds(5), deployment.faults.during, seconds(10), "slow_store", seconds(0.5))
    deployment.clock.later(seconds(10), deployment.faults.refuse, 0, seconds(6))
    deployment.clock.later(seconds(14), deployment.faults.outage, seconds(5))
    deployment.clock.later(seconds(25), deployment.faults.restart, 1, seconds(1))
    deployment.run(seconds(45))
    assert deployment.counts["odd 400"] > 5 and deployment.counts["odd 422"] > 5
    settle(deployment)
    for job in deployment.jobs.invalid:
        ((status, _),) = stages_everywhere(deployment, job)
        assert status == 404


# Change of leader.


@pytest.mark.parametrize("seed", range(6))
def test_old_reports_reach_every_controller_as_a_new_leader_begins(seed):
    """Copies of reports of each age, from earlier sessions and attempts too: kept until the next leader leads
    and then brought to all nodes, or late by up to more than two leases."""
    deployment = SimulatedDeployment(300 + seed, error=0.1, config=DeploymentConfig(capacity=8, teams=ROOMY))
    busy(deployment, 60)
    deployment.run(seconds(2))
    deployment.faults.during(seconds(36), "kept_heartbeats", 0.6)
    deployment.faults.during(seconds(36), "late_heartbeats", 0.3)
    for at in (6, 12, 18, 24, 30):
        deployment.clock.later(
            seconds(at),
            deployment.faults.restart_leader,
            seconds(1),
        )
    # A session ends: cut off for longer than a lease.
    for at in (4, 15):
        deployment.clock.later(seconds(at), cut_one, deployment, seconds(9))
    deployment.run(seconds(40))
    assert deployment.counts["kept delivered"] > 100 and deployment.counts["leaders"] >= 5
    settle(deployment)


def cut_one(deployment, length):
    machines = sorted(name for name, worker in deployment.workers.items() if not worker.gone)
    deployment.network.cut(
        address(deployment, deployment.rng.choice(machines)), deployment.controller_names, False, length
    )


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("how", ["cut", "held", "deaf", "mute", "hang"])
def test_a_leader_ends_while_machines_with_long_tasks_cannot_be_reached(seed, how):
    """Or do not hear the new leader's answer, or hang. Some of their jobs are cancelled meanwhile, and others
    must go on or begin anew, never twice."""
    deployment = SimulatedDeployment(320 + seed, config=DeploymentConfig(capacity=8, teams=ROOMY))
    deployment.run(seconds(3))
    jobs = running(deployment, 10, vcpus=4.0, run_s=40.0)
    # Within a lease, or well beyond it.
    length = seconds(4 if seed % 2 else 25)
    machines = sorted({machine for job in jobs for machine in deployment.executions.machines_of(job)})
    for name in machines[: len(machines) // 2 + 1]:
        if how in ("cut", "held"):
            deployment.network.cut(
                address(deployment, name), deployment.controller_names, how == "held", length
            )
        elif how == "deaf":
            deployment.faults.make_unreachable(address(deployment, name), length)
        elif how == "mute":
            deployment.faults.stop_heartbeats(address(deployment, name), length)
        else:
            deployment.faults.hang(name, length)
    deployment.run(seconds(deployment.rng.uniform(0, 1)))
    deployment.faults.restart(deployment.leader(), seconds(deployment.rng.choice([0.3, 8])))
    deployment.faults.cancel_running(3, seconds(0))
    deployment.run(seconds(4))
    more = [deployment.users.submit(100 + number, threads=2, vcpus=2.0, run_s=3.0) for number in range(4)]
    deployment.run(seconds(30))
    settle(deployment, 150)
    assert not set(more) & deployment.jobs.cancel_requested and len(deployment.jobs.cancelled_at) == 3


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("outage", [False, True])
def test_ten_leaders_in_two_minutes(seed, outage):
    """Also inside an outage; jobs whose tasks end far apart, and cancellations in the seconds in which the
    work changes hands."""
    deployment = SimulatedDeployment(340 + seed, config=DeploymentConfig(capacity=8, teams=ROOMY))
    deployment.run(seconds(3))
    far = [
        deployment.users.submit(500 + number, threads=3, vcpus=1.0, run_s=[1.0, 30.0, 75.0])
        for number in range(3)
    ]
    for job in far:
        deployment.users.poll_until_over(job)
    busy(deployment, 60, every=1.5, cancelled=0.1)
    deployment.faults.change_leaders(10, seconds(110))
    for number in range(10):
        # The leader has just ended or is about to.
        at = seconds(11 * number + deployment.rng.uniform(-0.5, 4))
        deployment.clock.later(at, deployment.faults.cancel_running, 1, seconds(0))
    if outage:
        deployment.clock.later(seconds(40), deployment.faults.outage, seconds(25))
    for job in far:
        deployment.jobs.cancel_requested.add(job)
    deployment.run(seconds(5))
    # `cancel_now` leaves alone whom somebody has asked to cancel; these are not cancelled.
    for job in far:
        deployment.jobs.cancel_requested.discard(job)
    deployment.run(seconds(107))
    assert deployment.counts["leaders ended"] >= 8 and deployment.counts["leaders"] >= (5 if outage else 8)
    settle(deployment, 150)


@pytest.mark.parametrize("seed", range(6))
def test_a_leader_cut_from_store_and_siblings_but_not_from_workers(seed):
    """Workers and users still reach it, and jobs are cancelled through the new leader."""
    deployment = SimulatedDeployment(360 + seed, config=DeploymentConfig(capacity=8, teams=ROOMY))
    deployment.run(seconds(3))
    jobs = running(deployment, 10, vcpus=2.0, run_s=70.0)
    busy(deployment, 20, cancelled=0.3)
    deployment.run(seconds(3))
    old = deployment.leader()
    if seed % 2:
        # All machines at the old one.
        for worker in deployment.workers.values():
            worker.at = old
    deployment.faults.isolate(old, seed % 3 == 0, seconds(35))
    deployment.run(seconds(6))
    others = [name for at, name in enumerate(deployment.controller_names) if at != old]
    for job in sorted(deployment.jobs.descriptions)[:6]:
        deployment.users.cancel(job, controller=deployment.rng.choice(others))
    deployment.run(seconds(40))
    assert len(deployment.jobs.cancelled_at) >= 6
    settle(deployment, 150)
    assert_none_began_twice(deployment, jobs)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("away", [0.2, 8.0, 15.0])
def test_all_controllers_are_away(seed, away):
    """For a moment, or for longer than a lease; one is back within a second and hands over again."""
    deployment = SimulatedDeployment(380 + seed, config=DeploymentConfig(capacity=8, teams=ROOMY))
    deployment.run(seconds(3))
    jobs = running(deployment, 6, vcpus=2.0, run_s=20.0)
    busy(deployment, 40, cancelled=0.3)
    deployment.run(seconds(6))
    for at in range(3):
        deployment.clock.later(
            seconds(at * deployment.rng.uniform(0, 0.4)),
            deployment.faults.restart,
            at,
            seconds(away + at * 0.3),
        )
    deployment.faults.cancel_running(3, seconds(0))
    deployment.run(seconds(away + 2))
    for at in (0, 1, 0, 2, 1):
        # Over and back, each within a second.
        deployment.faults.restart(at, seconds(deployment.rng.uniform(0.05, 0.8)))
        deployment.run(seconds(0.7))
    settle(deployment, 90)
    if away < 1:
        assert_none_began_twice(deployment, jobs)


# Limits.


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("how", ["cut", "held", "hang", "deaf"])
def test_every_team_is_at_its_limit_while_cancelled_work_cannot_be_reached(seed, how):
    """And the leader changes. What is not proven gone counts: the limits are checked at each start."""
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
        if how in ("cut", "held"):
            deployment.network.cut(
                address(deployment, name), deployment.controller_names, how == "held", length
            )
        elif how == "deaf":
            deployment.faults.make_unreachable(address(deployment, name), length)
        else:
            deployment.faults.hang(name, length)
    if seed < 2:
        deployment.users.cancel(jobs[0])
        deployment.users.cancel(jobs[1])
        deployment.run(seconds(deployment.rng.uniform(0, 5)))
        deployment.faults.restart(deployment.leader(), seconds(0.3))
    else:
        # The cancellation falls into the spell in which the new leader cannot ask.
        deployment.faults.restart(deployment.leader(), seconds(0.3))
        deployment.run(seconds(1.5))
        deployment.users.cancel(jobs[0])
        deployment.users.cancel(jobs[1])
    deployment.run(seconds(12))
    deployment.faults.restart(deployment.leader(), seconds(0.5))
    settle(deployment, 170)


@pytest.mark.parametrize("seed", range(4))
def test_a_held_start_of_the_old_leader_counts_until_it_cannot_land(seed):
    """The team is at its limit by a job whose starts are held up on their way. The leader ends, the job is
    cancelled, and the machines do not hear the new leader: what they report, under the old token, without
    those tasks, shows nothing, for the starts still land. The team's next job may not run beside them."""
    teams = ({"name": "red", "cpus": 4.0, "cpus_max": 4.0}, {"name": "blue", "cpus": 40.0, "cpus_max": 80.0})
    deployment = SimulatedDeployment(
        440 + seed, config=DeploymentConfig(capacity=4, teams=teams, lease=seconds(8))
    )
    deployment.cloud.never_up = 0.0
    deployment.run(seconds(3))
    running(deployment, 4, vcpus=8.0, run_s=[9.0], crew="blue")
    old = deployment.leader()
    for worker in deployment.workers.values():
        worker.at = (old + 1) % 3
    deployment.run(seconds(9))
    machines = [worker.machine.address for worker in deployment.workers.values() if not worker.gone]
    assert len(machines) == 4
    deployment.network.cut(deployment.controller_names[old], machines, True, seconds(9.5 + seed / 4))
    first = deployment.users.submit(100, crew="red", threads=2, vcpus=2.0, run_s=20.0)
    while not any(one.starts_in_flight for one in deployment.placed_attempts()):
        deployment.run(seconds(0.05))
    at = {address(deployment, one.machine) for one in deployment.placed_attempts() if one.job.id == first}
    deployment.processes.kill(old)
    deployment.users.cancel(first)
    second = deployment.users.submit(101, crew="red", threads=2, vcpus=2.0, run_s=20.0)
    deployment.run(seconds(3.5))
    # Their leases were renewed by a sibling until now; the new leader comes.
    for machine in at:
        deployment.faults.make_unreachable(machine, seconds(7))
    deployment.run(seconds(6))
    assert deployment.leader() not in (None, old) and deployment.jobs.cancelled_at
    deployment.processes.start(old)
    settle(deployment, 90)
    assert deployment.jobs.observed_states[second] == "done"


# Placement.


@pytest.mark.parametrize("seed", range(4))
def test_jobs_bound_to_zones_lose_machines(seed):
    """Jobs of one zone, together and scattered ones: machines die, are taken or fall behind a cut, zones and
    leaders too. The deployment checks each place."""
    deployment = SimulatedDeployment(500 + seed, config=DeploymentConfig(capacity=10, teams=ROOMY))
    deployment.run(seconds(3))
    for number in range(24):
        how = [{"glade": "a"}, {"glade": "b"}, {"together": True}, {"scatter": True}][number % 4]
        fields = {
            "threads": deployment.rng.choice([1, 3, 5]),
            "vcpus": 2.0,
            "run_s": 6.0,
            "crew": "red",
        } | how
        deployment.clock.later(
            seconds(number), lambda n=number, f=fields: deployment.users.submit_and_poll(n, **f)
        )

    def lose():
        living = sorted(name for name, worker in deployment.workers.items() if not worker.gone)
        if living:
            name = deployment.rng.choice(living)
            how = deployment.rng.choice(["dies", "taken", "cut"])
            if how == "dies":
                deployment.faults.kill_machine(name)
            elif how == "taken":
                deployment.faults.give_notice(name, seconds(3))
            else:
                deployment.network.cut(
                    address(deployment, name), deployment.controller_names, True, seconds(9)
                )

    for at in range(4, 28, 3):
        deployment.clock.later(seconds(at), lose)
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
    """What users cancel meanwhile ends in time, and nothing runs twice."""
    deployment = SimulatedDeployment(520 + seed, config=DeploymentConfig(capacity=8, teams=ROOMY))
    deployment.run(seconds(3))
    running(deployment, 10, vcpus=2.0, run_s=30.0)
    deployment.network.cut_zone("ab"[seed % 2], seed < 2, seconds(30))
    deployment.run(seconds(2))
    deployment.faults.cancel_running(4, seconds(0))
    deployment.run(seconds(35))
    assert len(deployment.jobs.cancelled_at) >= 3
    settle(deployment, 120)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("relayed", [True, False])
def test_a_start_is_held_up_and_its_job_cancelled(seed, relayed):
    """The way from the leader to a machine holds all back, while the machine's reports come by way of a
    sibling, so that its lease goes on; or the sibling reaches the store alone, and renews it by itself. The
    cloud takes nothing back meanwhile. The start must not land after a cancellation's time."""
    # Too few machines for the leader to take itself for the one that is not heard.
    deployment = SimulatedDeployment(540 + seed, config=DeploymentConfig(capacity=2, teams=ROOMY))
    deployment.cloud.never_up = 0.0
    deployment.run(seconds(3))
    running(deployment, 2, vcpus=6.0, run_s=8.0)
    leader = deployment.leader()
    for worker in deployment.workers.values():
        worker.at = (leader + 1) % 3
    deployment.run(seconds(3))
    machines = [worker.machine.address for worker in deployment.workers.values()]
    deployment.network.cut(deployment.controller_names[leader], machines, True, CANCEL + seconds(10))
    deployment.cloud.trouble = True
    deployment.clock.later(CANCEL + seconds(20), setattr, deployment.cloud, "trouble", False)
    jobs = [deployment.users.submit(100 + number, threads=2, vcpus=1.0, run_s=30.0) for number in range(2)]
    deployment.run(seconds(1))
    assert any(assignment.starts_in_flight for assignment in deployment.placed_attempts()), (
        "a start is on its way"
    )
    near, far = (deployment.controller_names[(leader + step) % 3] for step in (1, 2))
    if not relayed:
        deployment.network.cut(near, deployment.controller_names, False, CANCEL + seconds(8))
        deployment.network.cut(far, machines, False, CANCEL + seconds(8))
    for job in jobs:
        deployment.users.cancel(job)
    deployment.run(CANCEL + seconds(20))
    assert deployment.leader() == leader or not relayed
    settle(deployment, 120)


@pytest.mark.parametrize("seed", range(3))
def test_mute_machines_get_no_work_that_they_would_lose(seed):
    """They reach no controller, so that their leases run out, though direct commands reach them."""
    deployment = SimulatedDeployment(560 + seed, config=DeploymentConfig(capacity=6, teams=ROOMY))
    deployment.cloud.never_up = 0.0
    deployment.run(seconds(3))
    running(deployment, 6, vcpus=8.0, run_s=8.0)
    for worker in list(deployment.workers.values())[: len(deployment.workers) // 2]:
        if not worker.gone:
            deployment.faults.stop_heartbeats(worker.machine.address, seconds(90))
    before = deployment.executions.started
    jobs = [deployment.users.submit(100 + number, threads=1, vcpus=8.0, run_s=14.0) for number in range(5)]
    for job in jobs:
        deployment.users.poll_until_over(job)
    deployment.run(seconds(75))
    assert all(deployment.jobs.observed_states[job] == "done" for job in jobs), (
        deployment.jobs.observed_states
    )
    assert deployment.executions.started - before <= len(jobs) + 6
    settle(deployment)


@pytest.mark.parametrize("seed", range(4))
def test_cancelled_work_on_machines_that_hang(seed):
    """Commands and answers are held up for seconds, and the machines then go on, some within their lease."""
    deployment = SimulatedDeployment(580 + seed, config=DeploymentConfig(capacity=8, teams=ROOMY))
    busy(deployment, 60, cancelled=0.1)
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


# Load.


def test_one_task_jobs_come_four_a_second_for_minutes():
    """A quarter of them cancelled. Few changes of the store are made for each."""
    deployment = SimulatedDeployment(
        600, config=DeploymentConfig(capacity=12, teams=ROOMY, write_rps=40.0, rps=100.0)
    )
    deployment.run(seconds(3))
    first = deployment.state.changes
    busy(deployment, 480, every=0.25, cancelled=0.25, threads=1, vcpus=1.0, run_s=4.0)
    deployment.run(seconds(125))
    settle(deployment, 30)
    # Accepted, placed, done, and its chunk removed; or cancelled instead of the last two.
    changes = (deployment.state.changes - first) / 480
    assert changes < 4.2, changes
    assert deployment.state.too_many < 50


def test_more_work_than_room_over_slow_links():
    """Urgent and not, for five minutes. The largest jobs are the least urgent; they begin in time all the
    same, and every class and team is served."""
    deployment = SimulatedDeployment(620, config=DeploymentConfig(capacity=5, teams=ROOMY))
    deployment.run(seconds(3))
    deployment.faults.during(seconds(300), "slow_links", seconds(0.4))
    for number in range(4):
        fields = {"threads": 2, "vcpus": 8.0, "run_s": 6.0, "urgency": "best_effort", "bobbin": "large"}
        deployment.clock.later(
            seconds(10 + number * 5),
            lambda n=number, f=fields: deployment.users.submit_and_poll(500 + n, **f),
        )
    busy(deployment, 170, every=1.7, cancelled=0.1, urgency="critical", threads=3, vcpus=3.0, run_s=8.0)
    deployment.run(seconds(300))
    settle(deployment, 300)
