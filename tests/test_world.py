"""The whole service under generated troubles: every rule of the protocol, whatever fails."""

from hypothesis import given, settings
from hypothesis import strategies as st

from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import seconds
from tests.faults import FAULTS, do
from tests.standins import encode
from tests.world import World

JOBS = st.lists(
    st.fixed_dictionaries(
        {
            "crew": st.sampled_from(["red", "blue"]),
            "urgency": st.sampled_from(["critical", "normal", "best_effort"]),
            "threads": st.integers(1, 6),
            "vcpus": st.sampled_from([1.0, 3.0, 8.0]),
            "windfall": st.booleans(),
            "glade": st.sampled_from([None, None, "a"]),
            "together": st.booleans(),
            "scatter": st.booleans(),
            "knot_s": st.sampled_from([0.0, 2.0]),
            "run_s": st.floats(0.2, 8),
            "abort_after": st.sampled_from([None, None, 0.5, 3.0, 9.0]),
            "at": st.floats(0, 20),
        }
    ),
    min_size=2,
    max_size=6,
)


@settings(max_examples=45)
@given(st.integers(0, 1 << 30), JOBS, FAULTS, st.sampled_from([0.0, 0.05]))
def test_no_rule_is_broken_whatever_fails(seed, jobs, faults, error):
    world = World(seed, error=error)
    for number, job in enumerate(jobs):
        fields = {key: value for key, value in job.items() if key not in ("abort_after", "at")}
        if fields["glade"] is not None:
            fields["scatter"] = False
        if fields["together"]:
            fields["scatter"] = False
        world.clock.later(seconds(job["at"]), lambda n=number, f=fields: world.submit(n, **f))
        if job["abort_after"] is not None:
            at = seconds(job["at"] + job["abort_after"])
            world.clock.later(at, world.abort, f"job-{number:06d}")
    for kind, at, length, hold, pick in faults:
        world.clock.later(seconds(at), do, world, kind, length, hold, pick)

    def poll():
        for number in [*range(len(jobs)), 999_999]:
            world.poll(f"job-{number:06d}")
        world.clock.later(seconds(1.3), poll)

    poll()
    # The latest trouble has begun by then; what they leave behind is told by the world.
    world.run(seconds(24))
    world.run(max(seconds(46), world.calm + seconds(40) - world.clock.now()))
    if any(world.told[job] not in ("done", "aborted") for job in world.accepted):
        # There may be more work than a team's limit lets through by then.
        world.run(max(map(world.service.work, ("red", "blue"))))
    # All is healthy again by now: what was accepted has run, and users are told so, each of them.
    for job in world.accepted:
        assert world.told[job] in ("done", "aborted"), (job, world.told[job])
        assert world.clock.now() - world.answered[job] < seconds(10), job
    assert world.accepted


def answered_everywhere(world, jobs):
    """Which of the jobs each node answers, asked straight."""
    got = {(name, job): 0 for name in world.nodes for job in jobs}
    for name, job in got:

        async def ask(name=name, job=job):
            got[(name, job)] = (await world.nodes[name].handle("GET", f"/submissions/{job}", b"")).status

        run_in_background(ask(), "asking")
    world.run(seconds(2))
    return got


def test_every_job_stays_known_though_history_is_lost_and_all_controllers_restart():
    """As many jobs as a day may have; the watch's history is gone, so everything must be read anew, and the
    store refuses whoever asks too often. Each job is asked for by itself, at each node."""
    world = World(21)
    world.run(seconds(3))
    jobs = [world.submit(number, threads=1, vcpus=8.0, run_s=600.0) for number in range(150)]
    world.run(seconds(8))
    # One node misses more than the store remembers.
    world.state.kept = 5
    world.refused.add("node-1")
    jobs += [world.submit(number, threads=1, vcpus=8.0, run_s=600.0) for number in range(150, 300)]
    world.run(seconds(8))
    world.refused.clear()
    assert world.accepted == set(jobs)
    world.run(seconds(4))
    assert set(answered_everywhere(world, jobs).values()) == {200}
    world.state.outage(seconds(5))
    for at in range(3):
        world.restart(at, seconds(0.2 + at))
    world.run(seconds(15))
    got = answered_everywhere(world, jobs)
    assert set(got.values()) == {200} and len(got) == 900


def test_a_machine_that_does_not_hear_gets_no_more_work():
    """Its reports arrive, but nothing that is sent to it. It used to be taken for a good machine, given a
    task again after each lost lease, and the task waited there."""
    world = World(22, capacity=2)
    world.run(seconds(3))
    world.submit(1, threads=2, vcpus=5.0, run_s=2.0)
    while len(world.completed) < 2:
        world.run(seconds(1))
    first = min(world.workers)
    world.not_receiving.add(world.workers[first].machine.address)
    job = world.submit(2, threads=3, vcpus=5.0, run_s=2.0)
    world.run(seconds(25))
    world.poll(job)
    world.run(seconds(1))
    assert world.told[job] == "done"
    cluster = world.nodes[world.node_names[world.leader()]].leader.cluster
    assert first not in cluster.machines or cluster.machines[first].unreachable_since is not None
    assert first not in cluster.machines or not cluster.machines[first].placed


def test_workers_leave_a_node_that_has_lost_the_store_and_its_siblings():
    """It could renew their leases, but has no orders for them; elsewhere there is a leader."""
    world, machine, leader = busy_world(23)
    near = (leader + 1) % 3
    worker = world.workers[machine.partition(":")[0]]
    # The node tells by a worker from another zone that it is cut off alone.
    other = "a" if world.nodes[world.node_names[near]]._platform.zone == "b" else "b"
    worker.machine.zone = other
    worker.at = near
    world.cut(world.node_names[near], [*world.node_names, "state"], False, seconds(30))
    world.run(seconds(8))
    assert worker.at != near
    world.run(seconds(50))
    assert world.started == 1 and len(world.completed) == 1


def test_a_copy_of_a_start_after_a_cancellation_starts_nothing():
    """A start that went straight to a machine and was carried out may come once more, minutes later. Had the
    attempt been cleared in between, the worker would run it again."""
    world, machine, leader = busy_world(24)
    worker = world.workers[machine.partition(":")[0]]
    ((task, attempt),) = worker.tasks
    world.abort("job-000001")
    world.run(seconds(8))
    order = {"verb": "start", "thread": task, "try": attempt}
    worker.handle(
        "POST", "/orders", encode({"baton": worker.token, "spin": worker.session, "orders": [order]})
    )
    world.run(seconds(3))
    assert not any(world.on.values()) and world.started == 1


def test_a_quiet_day_is_done_quickly():
    world = World(1)
    world.run(seconds(3))
    jobs = [world.submit(number, threads=3, run_s=2.0) for number in range(3)]
    world.run(seconds(25))
    for job in jobs:
        world.poll(job)
    world.run(seconds(1))
    assert [world.told[job] for job in jobs] == ["done"] * 3


def busy_world(seed, run_s=40.0):
    """A world with one long task running, its machine's address and the leader's index."""
    world = World(seed)
    world.run(seconds(3))
    world.submit(1, threads=1, run_s=run_s)
    while not world.started and world.clock.now() < seconds(60):
        world.run(seconds(1))
    world.run(seconds(3))
    (machine,) = [name for names in world.on.values() for name in names]
    return world, world.workers[machine].machine.address, world.leader()


def test_a_leader_cut_off_from_all_but_the_store_makes_room():
    """It used to lead on, and would have released every machine once their leases had passed."""
    world, machine, leader = busy_world(11)
    everyone = [worker.machine.address for worker in world.workers.values()] + world.node_names
    world.cut(world.node_names[leader], everyone, False, seconds(15))
    world.run(seconds(12))
    assert world.leader() not in (None, leader)
    world.run(seconds(60))
    assert world.started == 1 and len(world.completed) == 1


def test_a_leader_that_stood_still_gives_back_nothing():
    """When it goes on it has heard of no machine for longer than any lease, and of no successor either; it
    once gave back the whole fleet, which its successor was using."""
    world, machine, leader = busy_world(14, run_s=80.0)
    world.freeze_node(leader, seconds(20))
    world.run(seconds(19))
    assert any(node.is_leader for name, node in world.nodes.items() if name != world.node_names[leader])
    assert not world.completed
    world.run(seconds(110))
    assert world.started == 1 and len(world.completed) == 1


def test_a_leader_that_machines_do_not_hear_makes_room():
    """Their reports come by way of its siblings, but no order reaches them. It took them all for deaf, and
    nothing was placed for as long as that lasted."""
    world = World(15, capacity=8)
    world.run(seconds(3))
    world.submit(1, threads=12, vcpus=5.0, run_s=40.0, crew="red")
    world.submit(2, threads=12, vcpus=5.0, run_s=40.0, crew="blue")
    world.run(seconds(20))
    leader = world.leader()
    machines = [worker.machine.address for worker in world.workers.values() if not worker.gone]
    assert len(machines) >= 6
    world.cut(world.node_names[leader], machines, True, seconds(30))
    job = world.submit(3, threads=6, vcpus=1.0, run_s=1.0, urgency="critical")
    world.run(seconds(12))
    assert world.leader() not in (None, leader)
    world.poll(job)
    world.run(seconds(1))
    assert world.told[job] == "done"


def test_machines_of_nodes_that_cannot_reach_the_leader_are_used():
    """The links between nodes are refused, and only the store tells the leader that those machines live."""
    world = World(16, capacity=8)
    world.run(seconds(3))
    world.submit(1, threads=4, vcpus=5.0, run_s=1.0)
    world.run(seconds(10))
    names, leader = world.node_names, world.leader()
    for worker in world.workers.values():
        worker.at = (leader + 1) % 3
    for name in names:
        world.cut(name, names, False, seconds(20))
    world.run(seconds(8))
    assert world.leader() == leader
    leader = world.nodes[names[leader]].leader
    now = leader._clock.now()
    assert leader.cluster.machines
    assert all(leader.cluster.is_usable(machine, now) for machine in leader.cluster.machines.values())


def test_a_task_behind_a_cut_with_one_node_runs_on():
    """That node cannot reach the leader; it renews the lease itself and vouches through the store."""
    world, machine, leader = busy_world(12)
    near = world.node_names[(leader + 1) % 3]
    others = [name for name in world.node_names if name != near]
    world.workers[machine.partition(":")[0]].at = (leader + 1) % 3
    world.run(seconds(3))
    world.cut(near, others, False, seconds(15))
    world.cut(machine, others, False, seconds(15))
    world.run(seconds(60))
    assert world.started == 1 and len(world.completed) == 1
    world.poll("job-000001")
    world.run(seconds(1))
    assert world.told["job-000001"] == "done"


def test_a_node_that_the_store_refuses_still_finds_the_new_leader():
    """The old leader, refused by the store alone, saw no other elected; it renewed its workers' leases by
    itself, and the new leader gave up 46 machines as silent."""
    world, machine, leader = busy_world(17)
    old = world.node_names[leader]
    worker = world.workers[machine.partition(":")[0]]
    worker.at = leader
    world.refused.add(old)
    world.run(seconds(5))
    new = world.leader()
    assert new not in (None, leader) and worker.at == leader
    world.run(seconds(8))
    heard = world.nodes[world.node_names[new]].leader.cluster.machines[worker.machine.name].last_heartbeat_at
    assert world.nodes[world.node_names[new]]._clock.now() - heard < seconds(2)
    world.refused.clear()
    world.run(seconds(60))
    assert world.started == 1 and len(world.completed) == 1


def test_leases_outlive_an_outage_of_the_store():
    world, machine, leader = busy_world(13)
    world.state.outage(seconds(10))
    world.run(seconds(60))
    assert world.started == 1 and len(world.completed) == 1


def test_a_cancellation_ends_work_behind_a_cut_in_time():
    """The node beside the task is cut off from the store as well and cannot know of the abort; its renewals
    must end early enough for the lease to run out within `cancel_s`."""
    world, machine, leader = busy_world(14)
    near = world.node_names[(leader + 1) % 3]
    others = [name for name in world.node_names if name != near]
    world.workers[machine.partition(":")[0]].at = (leader + 1) % 3
    world.run(seconds(3))
    world.cut(near, [*others, "state"], False, seconds(60))
    world.cut(machine, others, False, seconds(60))
    world.cloud.trouble = True
    world.run(seconds(1))
    world.abort("job-000001")
    # World.run fails if the task is still on its machine after `cancel_s`.
    world.run(seconds(40))
    assert "job-000001" in world.aborted_at


def test_the_largest_job_is_taken_started_and_aborted():
    world = World(16)
    job = world.submit(1, threads=100_000, vcpus=1.0, mem_gb=1.0, run_s=2.0)
    world.run(seconds(25))
    assert world.told[job] == "pending" and world.started > 20
    world.abort(job)
    world.run(seconds(25))
    assert world.told[job] == "aborted" and not any(world.on.values())
