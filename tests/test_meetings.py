"""Two troubles at once: each meeting that the users named, brought about among real nodes.

World.run checks every rule all the time; `settle` asks at the end that all is served again. The table in
docs/meetings.md says which test brings about which meeting, and which guard was seen to hold it.
"""

import pytest

from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import seconds
from tests.deployment import CANCEL, Deployment
from tests.world import World

ROOMY = tuple({"name": name, "cpus": 40.0, "cpus_max": 80.0} for name in ("red", "blue"))


def busy(world, jobs, every=0.5, cancelled=0.2, **fields):
    """A stream of jobs, some cancelled while they wait, run or end; the first begins at once."""
    rng = world.rng

    def one(number):
        given = {
            "crew": rng.choice([team["name"] for team in world.at.teams]),
            "urgency": rng.choice(["critical", "high", "normal", "best_effort"]),
            "threads": rng.choice([1, 2, 3]),
            "vcpus": rng.choice([1.0, 2.0, 4.0]),
            "run_s": rng.uniform(0.3, 8),
            "knot_s": rng.choice([0.0, 2.0]),
        }
        job = world.submit(number, **(given | fields))
        world.watch(job)
        if rng.random() < cancelled:
            world.clock.later(seconds(rng.uniform(0, 10)), world.abort, job)

    for number in range(jobs):
        world.clock.later(seconds(number * every), one, 1000 + number)


def running(world, count, **fields):
    """Jobs of one task each that are all running now, in a world that is ready."""
    first = len(world.jobs)
    jobs = [world.submit(first + n, **({"threads": 1, "run_s": 60.0} | fields)) for n in range(count)]
    end = world.clock.now() + seconds(60)
    while not all(world.machines_of(job) for job in jobs) and world.clock.now() < end:
        world.run(seconds(0.5))
    assert all(world.machines_of(job) for job in jobs)
    world.run(seconds(2))
    return jobs


def settle(world, span=60.0):
    """Once all is well every job ends, and users hear so."""
    end = max(world.clock.now(), world.calm) + seconds(span)
    open_jobs = set(world.jobs)
    while open_jobs and world.clock.now() < end:
        world.run(seconds(1))
        open_jobs = {job for job in world.jobs if world.told.get(job) not in ("done", "aborted")}
        for job in open_jobs:
            world.poll(job)
    assert not open_jobs, {job: world.told.get(job) for job in open_jobs}
    world.service.check_day()


def assert_none_began_twice(world, jobs):
    """What ran went on: no lease was lost that somebody could renew."""
    again = {job: world.starts[f"{job}/0"] for job in jobs if world.starts[f"{job}/0"] > 1}
    assert not again, again


def address(world, name):
    return world.workers[name].machine.address


def stages_everywhere(world, job):
    """What each node answers for the job, asked straight."""
    got = {}
    for name in world.nodes:

        async def ask(name=name):
            got[name] = await world.nodes[name].handle("GET", f"/submissions/{job}", b"")

        run_in_background(ask(), "asking")
    world.run(seconds(2))
    assert len(got) == len(world.nodes)
    return {(answer.status, answer.body) for answer in got.values()}


# Store.


@pytest.mark.parametrize("seed, at_end", [*((seed, 0.0) for seed in range(6)), (0, 0.6), (2, 0.6), (4, 0.6)])
@pytest.mark.parametrize("which", ["late_writes", "lost_answers"])
def test_transactions_without_an_answer(seed, at_end, which):
    """Carried out late, after newer ones of the same controller, or at once with only the answer lost while
    other nodes read what they wrote; users look closely and cancel at an end, and the leader ends amid it."""
    world = World(100 + seed, deployment=Deployment(capacity=8, teams=ROOMY))
    busy(world, 40)
    world.clock.later(seconds(3), world.during, seconds(30), which, 0.5 if which == "late_writes" else 0.35)
    world.clock.later(seconds(3), world.during, seconds(30), "close_looks", True)
    world.clock.later(seconds(3), world.during, seconds(30), "cancel_at_end", at_end)
    for at in (9, 18, 27):
        world.clock.later(
            seconds(at), lambda: world.leader() is None or world.restart(world.leader(), seconds(2))
        )
    world.run(seconds(35))
    assert world.counts["astray"] > 5 and world.counts["astray carried out"] > 2
    assert world.counts["close looks"] > 20
    settle(world)


@pytest.mark.parametrize("seed", range(4))
def test_new_machines_get_work_while_writes_lag_and_the_leader_ends(seed):
    """They are up within two seconds; what is recorded about them comes late, and another leads by then."""
    world = World(120 + seed, deployment=Deployment(capacity=10, teams=ROOMY))
    world.cloud.boot_s = (0.2, 1.5)
    world.run(seconds(3))
    world.during(seconds(25), "late_writes", 0.3)
    for number in range(12):
        world.clock.later(
            seconds(number * 1.5),
            lambda n=number: world.watch(world.submit(n, threads=3, vcpus=4.0, run_s=6.0)),
        )
    for at in (2.5, 6, 11, 17):
        world.clock.later(
            seconds(at), lambda: world.leader() is None or world.restart(world.leader(), seconds(0.5))
        )
    world.run(seconds(25))
    assert len(world.workers) > 4 and world.counts["leaders"] > 3
    settle(world)


@pytest.mark.parametrize("seed", range(6))
def test_the_gap(seed):
    """The store refuses the leader alone; jobs are cancelled at the other nodes in that second; then it is
    down for all, for longer than a cancellation may take."""
    world = World(140 + seed, deployment=Deployment(capacity=8, teams=ROOMY))
    world.run(seconds(3))
    # Others go on, so that the leader keeps its fleet and its workers their sessions.
    jobs = running(world, 12, vcpus=2.0, run_s=90.0)
    busy(world, 10, cancelled=0.5)
    world.run(seconds(4))
    world.gap(seconds(12), CANCEL * 2)
    world.cancel_now(8, seconds(0))
    world.run(seconds(0.9))
    assert len(world.aborted_at) >= 4, "confirmed before the outage"
    assert set(jobs) - world.asked_abort
    world.run(seconds(50))
    settle(world, 200)


@pytest.mark.parametrize("seed", range(4))
def test_a_slow_store_refuses_the_leader_and_then_everybody(seed):
    """While users cancel and ask."""
    world = World(160 + seed, deployment=Deployment(capacity=8, teams=ROOMY))
    busy(world, 60, cancelled=0.4)
    world.clock.later(seconds(4), world.during, seconds(20), "slow_store", seconds(1.2))
    world.clock.later(seconds(4), world.during, seconds(60), "close_looks", True)
    world.clock.later(seconds(12), world.gap, seconds(10), CANCEL + seconds(4))
    world.clock.later(seconds(42), world.during, seconds(10), "slow_store", seconds(2.5))
    world.run(seconds(60))
    settle(world, 90)


# Answers.


@pytest.mark.parametrize("seed", range(6))
def test_close_looks(seed):
    """All nodes are asked within milliseconds, again and again, and the submission repeated, after every
    answer that said something new; a third of the jobs are cancelled at once, and half of those that end at
    the moment of the end. All nodes then say the same for good."""
    world = World(200 + seed, deployment=Deployment(capacity=8, teams=ROOMY))
    world.run(seconds(3))
    world.during(seconds(30), "close_looks", True)
    world.during(seconds(30), "cancels_at_once", 0.3)
    world.during(seconds(30), "cancel_at_end", 0.5)
    if seed % 2:
        world.during(seconds(30), "lost_answers", 0.2)
    busy(world, 60, every=0.4, cancelled=0.2)
    world.run(seconds(30))
    assert world.counts["cancelled at its end"] > 3 and world.counts["close looks"] > 60
    settle(world)
    assert "done" in {world.told[job] for job in world.asked_abort}
    for job in sorted(world.asked_abort)[:8]:
        ((status, _),) = stages_everywhere(world, job)
        assert status == 200


def test_odd_requests():
    """Repeats of what is under way, cancellations of what is done, and jobs that can never run, while the
    store is slow and refuses nodes."""
    world = World(220, deployment=Deployment(capacity=8, teams=ROOMY))
    world.run(seconds(3))
    busy(world, 40)
    world.odd_requests(seconds(40))
    world.clock.later(seconds(5), world.during, seconds(10), "slow_store", seconds(0.5))
    world.clock.later(seconds(10), world.refuse, 0, seconds(6))
    world.clock.later(seconds(14), world.outage, seconds(5))
    world.clock.later(seconds(25), world.restart, 1, seconds(1))
    world.run(seconds(45))
    assert world.counts["odd 400"] > 5 and world.counts["odd 422"] > 5
    settle(world)
    for job in world.odd:
        ((status, _),) = stages_everywhere(world, job)
        assert status == 404


# Change of leader.


@pytest.mark.parametrize("seed", range(6))
def test_old_reports_reach_every_controller_as_a_new_leader_begins(seed):
    """Copies of reports of each age, from earlier sessions and attempts too: kept until the next leader leads
    and then brought to all nodes, or late by up to more than two leases."""
    world = World(300 + seed, error=0.1, deployment=Deployment(capacity=8, teams=ROOMY))
    busy(world, 60)
    world.run(seconds(2))
    world.during(seconds(36), "kept_reports", 0.6)
    world.during(seconds(36), "late_reports", 0.3)
    for at in (6, 12, 18, 24, 30):
        world.clock.later(
            seconds(at), lambda: world.leader() is None or world.restart(world.leader(), seconds(1))
        )
    # A session ends: cut off for longer than a lease.
    for at in (4, 15):
        world.clock.later(seconds(at), cut_one, world, seconds(9))
    world.run(seconds(40))
    assert world.counts["kept delivered"] > 100 and world.counts["leaders"] >= 5
    settle(world)


def cut_one(world, length):
    machines = sorted(name for name, worker in world.workers.items() if not worker.gone)
    world.cut(address(world, world.rng.choice(machines)), world.node_names, False, length)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("how", ["cut", "held", "deaf", "mute", "hang"])
def test_a_leader_ends_while_machines_with_long_tasks_cannot_be_reached(seed, how):
    """Or do not hear the new leader's answer, or hang. Some of their jobs are cancelled meanwhile, and others
    must go on or begin anew, never twice."""
    world = World(320 + seed, deployment=Deployment(capacity=8, teams=ROOMY))
    world.run(seconds(3))
    jobs = running(world, 10, vcpus=4.0, run_s=40.0)
    # Within a lease, or well beyond it.
    length = seconds(4 if seed % 2 else 25)
    machines = sorted({machine for job in jobs for machine in world.machines_of(job)})
    for name in machines[: len(machines) // 2 + 1]:
        if how in ("cut", "held"):
            world.cut(address(world, name), world.node_names, how == "held", length)
        elif how == "deaf":
            world.make_deaf(address(world, name), length)
        elif how == "mute":
            world.make_mute(address(world, name), length)
        else:
            world.hang(name, length)
    world.run(seconds(world.rng.uniform(0, 1)))
    world.restart(world.leader(), seconds(world.rng.choice([0.3, 8])))
    world.cancel_now(3, seconds(0))
    world.run(seconds(4))
    more = [world.submit(100 + number, threads=2, vcpus=2.0, run_s=3.0) for number in range(4)]
    world.run(seconds(30))
    settle(world, 150)
    assert not set(more) & world.asked_abort and len(world.aborted_at) == 3


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("outage", [False, True])
def test_ten_leaders_in_two_minutes(seed, outage):
    """Also inside an outage; jobs whose tasks end far apart, and cancellations in the seconds in which the
    work changes hands."""
    world = World(340 + seed, deployment=Deployment(capacity=8, teams=ROOMY))
    world.run(seconds(3))
    far = [world.submit(500 + number, threads=3, vcpus=1.0, run_s=[1.0, 30.0, 75.0]) for number in range(3)]
    for job in far:
        world.watch(job)
    busy(world, 60, every=1.5, cancelled=0.1)
    world.change_leaders(10, seconds(110))
    for number in range(10):
        # The leader has just ended or is about to.
        at = seconds(11 * number + world.rng.uniform(-0.5, 4))
        world.clock.later(at, world.cancel_now, 1, seconds(0))
    if outage:
        world.clock.later(seconds(40), world.outage, seconds(25))
    for job in far:
        world.asked_abort.add(job)
    world.run(seconds(5))
    # `cancel_now` leaves alone whom somebody has asked to cancel; these are not cancelled.
    for job in far:
        world.asked_abort.discard(job)
    world.run(seconds(107))
    assert world.counts["leaders ended"] >= 8 and world.counts["leaders"] >= (5 if outage else 8)
    settle(world, 150)


@pytest.mark.parametrize("seed", range(6))
def test_a_leader_cut_from_store_and_siblings_but_not_from_workers(seed):
    """Workers and users still reach it, and jobs are cancelled through the new leader."""
    world = World(360 + seed, deployment=Deployment(capacity=8, teams=ROOMY))
    world.run(seconds(3))
    jobs = running(world, 10, vcpus=2.0, run_s=70.0)
    busy(world, 20, cancelled=0.3)
    world.run(seconds(3))
    old = world.leader()
    if seed % 2:
        # All machines at the old one.
        for worker in world.workers.values():
            worker.at = old
    world.isolate(old, seed % 3 == 0, seconds(35))
    world.run(seconds(6))
    others = [name for at, name in enumerate(world.node_names) if at != old]
    for job in sorted(world.jobs)[:6]:
        world.abort(job, at=world.rng.choice(others))
    world.run(seconds(40))
    assert len(world.aborted_at) >= 6
    settle(world, 150)
    assert_none_began_twice(world, jobs)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("away", [0.2, 8.0, 15.0])
def test_all_controllers_are_away(seed, away):
    """For a moment, or for longer than a lease; one is back within a second and hands over again."""
    world = World(380 + seed, deployment=Deployment(capacity=8, teams=ROOMY))
    world.run(seconds(3))
    jobs = running(world, 6, vcpus=2.0, run_s=20.0)
    busy(world, 40, cancelled=0.3)
    world.run(seconds(6))
    for at in range(3):
        world.clock.later(
            seconds(at * world.rng.uniform(0, 0.4)), world.restart, at, seconds(away + at * 0.3)
        )
    world.cancel_now(3, seconds(0))
    world.run(seconds(away + 2))
    for at in (0, 1, 0, 2, 1):
        # Over and back, each within a second.
        world.restart(at, seconds(world.rng.uniform(0.05, 0.8)))
        world.run(seconds(0.7))
    settle(world, 90)
    if away < 1:
        assert_none_began_twice(world, jobs)


# Limits.


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("how", ["cut", "held", "hang", "deaf"])
def test_every_team_is_at_its_limit_while_cancelled_work_cannot_be_reached(seed, how):
    """And the leader changes. What is not proven gone counts: World checks the limits at each start."""
    teams = tuple({"name": name, "cpus": 8.0, "cpus_max": 12.0} for name in ("red", "blue"))
    world = World(400 + seed, deployment=Deployment(capacity=8, teams=teams, lease=seconds(12)))
    world.run(seconds(3))
    jobs = [
        world.submit(number, crew=crew, threads=8, vcpus=2.0, run_s=25.0, knot_s=2.0)
        for number, crew in enumerate(["red", "blue"] * 2)
    ]
    world.run(seconds(15))
    assert world.used == {"red": 12.0, "blue": 12.0}
    length = seconds(4 if seed % 2 else 22)
    for name in sorted({machine for job in jobs[:2] for machine in world.machines_of(job)})[:3]:
        if how in ("cut", "held"):
            world.cut(address(world, name), world.node_names, how == "held", length)
        elif how == "deaf":
            world.make_deaf(address(world, name), length)
        else:
            world.hang(name, length)
    if seed < 2:
        world.abort(jobs[0])
        world.abort(jobs[1])
        world.run(seconds(world.rng.uniform(0, 5)))
        world.restart(world.leader(), seconds(0.3))
    else:
        # The cancellation falls into the spell in which the new leader cannot ask.
        world.restart(world.leader(), seconds(0.3))
        world.run(seconds(1.5))
        world.abort(jobs[0])
        world.abort(jobs[1])
    world.run(seconds(12))
    world.restart(world.leader(), seconds(0.5))
    settle(world, 170)


@pytest.mark.parametrize("seed", range(4))
def test_a_held_start_of_the_old_leader_counts_until_it_cannot_land(seed):
    """The team is at its limit by a job whose starts are held up on their way. The leader ends, the job is
    cancelled, and the machines do not hear the new leader: what they report, under the old token, without
    those tasks, shows nothing, for the starts still land. The team's next job may not run beside them."""
    teams = ({"name": "red", "cpus": 4.0, "cpus_max": 4.0}, {"name": "blue", "cpus": 40.0, "cpus_max": 80.0})
    world = World(440 + seed, deployment=Deployment(capacity=4, teams=teams, lease=seconds(8)))
    world.cloud.never_up = 0.0
    world.run(seconds(3))
    running(world, 4, vcpus=8.0, run_s=[9.0], crew="blue")
    old = world.leader()
    for worker in world.workers.values():
        worker.at = (old + 1) % 3
    world.run(seconds(9))
    machines = [worker.machine.address for worker in world.workers.values() if not worker.gone]
    assert len(machines) == 4
    world.cut(world.node_names[old], machines, True, seconds(9.5 + seed / 4))
    first = world.submit(100, crew="red", threads=2, vcpus=2.0, run_s=20.0)
    while not any(one.starts_in_flight for one in world.assignments()):
        world.run(seconds(0.05))
    at = {address(world, one.machine) for one in world.assignments() if one.job.id == first}
    world.kill_node(old)
    world.abort(first)
    second = world.submit(101, crew="red", threads=2, vcpus=2.0, run_s=20.0)
    world.run(seconds(3.5))
    # Their leases were renewed by a sibling until now; the new leader comes.
    for machine in at:
        world.make_deaf(machine, seconds(7))
    world.run(seconds(6))
    assert world.leader() not in (None, old) and world.aborted_at
    world.start_node(old)
    settle(world, 90)
    assert world.told[second] == "done"


# Placement.


@pytest.mark.parametrize("seed", range(4))
def test_jobs_bound_to_zones_lose_machines(seed):
    """Jobs of one zone, together and scattered ones: machines die, are taken or fall behind a cut, zones and
    leaders too. World checks each place."""
    world = World(500 + seed, deployment=Deployment(capacity=10, teams=ROOMY))
    world.run(seconds(3))
    for number in range(24):
        how = [{"glade": "a"}, {"glade": "b"}, {"together": True}, {"scatter": True}][number % 4]
        fields = {"threads": world.rng.choice([1, 3, 5]), "vcpus": 2.0, "run_s": 6.0, "crew": "red"} | how
        world.clock.later(seconds(number), lambda n=number, f=fields: world.watch(world.submit(n, **f)))

    def lose():
        living = sorted(name for name, worker in world.workers.items() if not worker.gone)
        if living:
            name = world.rng.choice(living)
            how = world.rng.choice(["dies", "taken", "cut"])
            if how == "dies":
                world.kill_machine(name)
            elif how == "taken":
                world.notice(name, seconds(3))
            else:
                world.cut(address(world, name), world.node_names, True, seconds(9))

    for at in range(4, 28, 3):
        world.clock.later(seconds(at), lose)
    world.clock.later(seconds(10), world.cut_zone, "ab"[seed % 2], seed < 2, seconds(12))
    world.clock.later(
        seconds(14), lambda: world.leader() is None or world.restart(world.leader(), seconds(1))
    )
    world.run(seconds(32))
    settle(world, 120)


@pytest.mark.parametrize("seed", range(4))
def test_a_zone_with_workers_and_a_controller_is_cut_off_for_longer_than_a_lease(seed):
    """What users cancel meanwhile ends in time, and nothing runs twice."""
    world = World(520 + seed, deployment=Deployment(capacity=8, teams=ROOMY))
    world.run(seconds(3))
    running(world, 10, vcpus=2.0, run_s=30.0)
    world.cut_zone("ab"[seed % 2], seed < 2, seconds(30))
    world.run(seconds(2))
    world.cancel_now(4, seconds(0))
    world.run(seconds(35))
    assert len(world.aborted_at) >= 3
    settle(world, 120)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("relayed", [True, False])
def test_a_start_is_held_up_and_its_job_cancelled(seed, relayed):
    """The way from the leader to a machine holds all back, while the machine's reports come by way of a
    sibling, so that its lease goes on; or the sibling reaches the store alone, and renews it by itself. The
    cloud takes nothing back meanwhile. The start must not land after a cancellation's time."""
    # Too few machines for the leader to take itself for the one that is not heard.
    world = World(540 + seed, deployment=Deployment(capacity=2, teams=ROOMY))
    world.cloud.never_up = 0.0
    world.run(seconds(3))
    running(world, 2, vcpus=6.0, run_s=8.0)
    leader = world.leader()
    for worker in world.workers.values():
        worker.at = (leader + 1) % 3
    world.run(seconds(3))
    machines = [worker.machine.address for worker in world.workers.values()]
    world.cut(world.node_names[leader], machines, True, CANCEL + seconds(10))
    world.cloud.trouble = True
    world.clock.later(CANCEL + seconds(20), setattr, world.cloud, "trouble", False)
    jobs = [world.submit(100 + number, threads=2, vcpus=1.0, run_s=30.0) for number in range(2)]
    world.run(seconds(1))
    assert any(assignment.starts_in_flight for assignment in world.assignments()), "a start is on its way"
    near, far = (world.node_names[(leader + step) % 3] for step in (1, 2))
    if not relayed:
        world.cut(near, world.node_names, False, CANCEL + seconds(8))
        world.cut(far, machines, False, CANCEL + seconds(8))
    for job in jobs:
        world.abort(job)
    world.run(CANCEL + seconds(20))
    assert world.leader() == leader or not relayed
    settle(world, 120)


@pytest.mark.parametrize("seed", range(3))
def test_mute_machines_get_no_work_that_they_would_lose(seed):
    """They reach no controller, so that their leases run out, though direct commands reach them."""
    world = World(560 + seed, deployment=Deployment(capacity=6, teams=ROOMY))
    world.cloud.never_up = 0.0
    world.run(seconds(3))
    running(world, 6, vcpus=8.0, run_s=8.0)
    for worker in list(world.workers.values())[: len(world.workers) // 2]:
        if not worker.gone:
            world.make_mute(worker.machine.address, seconds(90))
    before = world.started
    jobs = [world.submit(100 + number, threads=1, vcpus=8.0, run_s=14.0) for number in range(5)]
    for job in jobs:
        world.watch(job)
    world.run(seconds(75))
    assert all(world.told[job] == "done" for job in jobs), world.told
    assert world.started - before <= len(jobs) + 6
    settle(world)


@pytest.mark.parametrize("seed", range(4))
def test_cancelled_work_on_machines_that_hang(seed):
    """Commands and answers are held up for seconds, and the machines then go on, some within their lease."""
    world = World(580 + seed, deployment=Deployment(capacity=8, teams=ROOMY))
    busy(world, 60, cancelled=0.1)
    for at in range(5, 30, 4):
        world.clock.later(seconds(at), world.cancel_now, 4, seconds([2.5, 5, 8, 25][seed]))
    world.clock.later(
        seconds(16), lambda: world.leader() is None or world.restart(world.leader(), seconds(1))
    )
    world.run(seconds(35))
    assert world.counts["hung"] > 4 and world.counts["cancelled now"] > 10
    settle(world, 90)


# Load.


def test_one_task_jobs_come_four_a_second_for_minutes():
    """A quarter of them cancelled. Few changes of the store are made for each."""
    world = World(600, deployment=Deployment(capacity=12, teams=ROOMY, write_rps=40.0, rps=100.0))
    world.run(seconds(3))
    first = world.state.changes
    busy(world, 480, every=0.25, cancelled=0.25, threads=1, vcpus=1.0, run_s=4.0)
    world.run(seconds(125))
    settle(world, 30)
    # Accepted, placed, done, and its chunk removed; or cancelled instead of the last two.
    changes = (world.state.changes - first) / 480
    assert changes < 4.2, changes
    assert world.state.too_many < 50


def test_more_work_than_room_over_slow_links():
    """Urgent and not, for five minutes. The largest jobs are the least urgent; they begin in time all the
    same, and every class and team is served."""
    world = World(620, deployment=Deployment(capacity=5, teams=ROOMY))
    world.run(seconds(3))
    world.during(seconds(300), "slow_links", seconds(0.4))
    for number in range(4):
        fields = {"threads": 2, "vcpus": 8.0, "run_s": 6.0, "urgency": "best_effort", "bobbin": "large"}
        world.clock.later(
            seconds(10 + number * 5), lambda n=number, f=fields: world.watch(world.submit(500 + n, **f))
        )
    busy(world, 170, every=1.7, cancelled=0.1, urgency="critical", threads=3, vcpus=3.0, run_s=8.0)
    world.run(seconds(300))
    settle(world, 300)
