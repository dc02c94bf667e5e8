"""Tests of the whole service on a simulated clock, under generated faults and in chosen situations."""

from hypothesis import given, settings
from hypothesis import strategies as st

from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import seconds
from tests.fakes.encoding import encode
from tests.generated_faults import FAULTS, inject
from tests.simulated_deployment import SimulatedDeployment

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
def test_no_rule_is_broken_whatever_fails(seed, jobs, faults, task_failure_rate):
    deployment = SimulatedDeployment(seed, task_failure_rate=task_failure_rate)
    for number, job in enumerate(jobs):
        fields = {key: value for key, value in job.items() if key not in ("abort_after", "at")}
        if fields["glade"] is not None:
            fields["scatter"] = False
        if fields["together"]:
            fields["scatter"] = False
        deployment.clock.later(seconds(job["at"]), lambda n=number, f=fields: deployment.users.submit(n, **f))
        if job["abort_after"] is not None:
            at = seconds(job["at"] + job["abort_after"])
            deployment.clock.later(at, deployment.users.cancel, f"job-{number:06d}")
    for kind, start_s, duration_s, hold, selector in faults:
        deployment.clock.later(seconds(start_s), inject, deployment, kind, duration_s, hold, selector)

    def poll():
        for number in [*range(len(jobs)), 999_999]:
            deployment.users.poll(f"job-{number:06d}")
        deployment.clock.later(seconds(1.3), poll)

    poll()
    # All faults have begun by then, and the fault window gives the end of the last one.
    deployment.run(seconds(24))
    deployment.run(max(seconds(46), deployment.fault_window.ends_at + seconds(40) - deployment.clock.now()))
    if any(
        deployment.jobs.observed_states[job] not in ("done", "aborted") for job in deployment.jobs.accepted
    ):
        # The work may exceed what the teams' limits allow in this time, so more time is given for it.
        deployment.run(max(map(deployment.service.max_work_time, ("red", "blue"))))
    # All faults are over by now: every accepted job must be done or aborted, and its user must know.
    for job in deployment.jobs.accepted:
        assert deployment.jobs.observed_states[job] in ("done", "aborted"), (
            job,
            deployment.jobs.observed_states[job],
        )
        assert deployment.clock.now() - deployment.jobs.answered_at[job] < seconds(10), job
    assert deployment.jobs.accepted


def statuses_everywhere(deployment, jobs):
    """The status with which each controller answers a direct request for each job."""
    statuses = {(name, job): 0 for name in deployment.controllers for job in jobs}
    for name, job in statuses:

        async def ask(name=name, job=job):
            statuses[(name, job)] = (
                await deployment.controllers[name].handle("GET", f"/submissions/{job}", b"")
            ).status

        run_in_background(ask(), "status request")
    deployment.run(seconds(2))
    return statuses


def test_every_job_stays_known_though_history_is_lost_and_all_controllers_restart():
    """The store has dropped the changes that a watch would need, so every controller must read all records
    again, while the store rejects requests above its rate. There are 300 jobs, as many as a whole
    run of the service may have, and each is requested separately at each controller."""
    deployment = SimulatedDeployment(21)
    deployment.run(seconds(3))
    jobs = [deployment.users.submit(number, threads=1, vcpus=8.0, run_s=600.0) for number in range(150)]
    deployment.run(seconds(8))
    # One controller misses more changes than the store keeps.
    deployment.state.max_log_entries = 5
    deployment.network.refused_by_store.add("node-1")
    jobs += [deployment.users.submit(number, threads=1, vcpus=8.0, run_s=600.0) for number in range(150, 300)]
    deployment.run(seconds(8))
    deployment.network.refused_by_store.clear()
    assert deployment.jobs.accepted == set(jobs)
    deployment.run(seconds(4))
    assert set(statuses_everywhere(deployment, jobs).values()) == {200}
    deployment.state.outage(seconds(5))
    for at in range(3):
        deployment.faults.restart(at, seconds(0.2 + at))
    deployment.run(seconds(15))
    statuses = statuses_everywhere(deployment, jobs)
    assert set(statuses.values()) == {200} and len(statuses) == 900


def test_an_unreachable_machine_gets_no_more_work():
    """The machine's heartbeats arrive, but no message reaches it. If the leader took it for usable, it would
    place a task there again after each expired lease, and the task would never run."""
    deployment = SimulatedDeployment(22, capacity=2)
    deployment.run(seconds(3))
    deployment.users.submit(1, threads=2, vcpus=5.0, run_s=2.0)
    while len(deployment.executions.completed) < 2:
        deployment.run(seconds(1))
    first = min(deployment.workers)
    deployment.network.unreachable.add(deployment.workers[first].machine.address)
    job = deployment.users.submit(2, threads=3, vcpus=5.0, run_s=2.0)
    deployment.run(seconds(25))
    deployment.users.poll(job)
    deployment.run(seconds(1))
    assert deployment.jobs.observed_states[job] == "done"
    cluster = deployment.leading_controller().leader.cluster
    assert first not in cluster.machines or cluster.machines[first].unreachable_since is not None
    assert first not in cluster.machines or not cluster.machines[first].placed


def test_workers_leave_a_controller_that_has_lost_the_store_and_its_peers():
    """The controller could renew the workers' leases but has no commands for them, while the other
    controllers have a leader."""
    deployment, machine, leader = busy_deployment(23)
    near = (leader + 1) % 3
    worker = deployment.workers[machine.partition(":")[0]]
    # A heartbeat from a worker in another zone tells the controller that it alone is isolated.
    other_zone = (
        "a" if deployment.controllers[deployment.controller_names[near]]._platform.zone == "b" else "b"
    )
    worker.machine.zone = other_zone
    worker.controller_index = near
    deployment.network.cut(
        deployment.controller_names[near], [*deployment.controller_names, "state"], False, seconds(30)
    )
    deployment.run(seconds(8))
    assert worker.controller_index != near
    deployment.run(seconds(50))
    assert deployment.executions.started == 1 and len(deployment.executions.completed) == 1


def test_a_copy_of_a_start_after_a_cancellation_starts_nothing():
    """A start command that was sent directly to a machine and executed may arrive again minutes later. If the
    attempt had been cleared in between, the worker would run it a second time."""
    deployment, machine, leader = busy_deployment(24)
    worker = deployment.workers[machine.partition(":")[0]]
    ((task, attempt),) = worker.tasks
    deployment.users.cancel("job-000001")
    deployment.run(seconds(8))
    command = {"verb": "start", "thread": task, "try": attempt}
    worker.handle(
        "POST", "/orders", encode({"baton": worker.token, "spin": worker.incarnation, "orders": [command]})
    )
    deployment.run(seconds(3))
    assert not any(deployment.executions.running_on.values()) and deployment.executions.started == 1


def test_jobs_without_faults_are_done_quickly():
    deployment = SimulatedDeployment(1)
    deployment.run(seconds(3))
    jobs = [deployment.users.submit(number, threads=3, run_s=2.0) for number in range(3)]
    deployment.run(seconds(25))
    for job in jobs:
        deployment.users.poll(job)
    deployment.run(seconds(1))
    assert [deployment.jobs.observed_states[job] for job in jobs] == ["done"] * 3


def busy_deployment(seed, run_s=40.0):
    """Returns a deployment that runs one long task, the address of its machine, and the leader's index."""
    deployment = SimulatedDeployment(seed)
    deployment.run(seconds(3))
    deployment.users.submit(1, threads=1, run_s=run_s)
    while not deployment.executions.started and deployment.clock.now() < seconds(60):
        deployment.run(seconds(1))
    deployment.run(seconds(3))
    (machine,) = [name for names in deployment.executions.running_on.values() for name in names]
    return deployment, deployment.workers[machine].machine.address, deployment.leader()


def test_a_leader_cut_off_from_all_but_the_store_steps_down():
    """An isolated leader that kept leading would terminate all machines once their leases had expired."""
    deployment, machine, leader = busy_deployment(11)
    everyone = [
        worker.machine.address for worker in deployment.workers.values()
    ] + deployment.controller_names
    deployment.network.cut(deployment.controller_names[leader], everyone, False, seconds(15))
    deployment.run(seconds(12))
    assert deployment.leader() not in (None, leader)
    deployment.run(seconds(60))
    assert deployment.executions.started == 1 and len(deployment.executions.completed) == 1


def test_a_leader_that_was_frozen_terminates_no_machine():
    """When a frozen leader resumes, it has received no heartbeat for longer than any lease and does not know
    of its successor. It must not terminate the machines, which the successor is using."""
    deployment, machine, leader = busy_deployment(14, run_s=80.0)
    deployment.faults.freeze(leader, seconds(20))
    deployment.run(seconds(19))
    assert any(
        controller.is_leader
        for name, controller in deployment.controllers.items()
        if name != deployment.controller_names[leader]
    )
    assert not deployment.executions.completed
    deployment.run(seconds(110))
    assert deployment.executions.started == 1 and len(deployment.executions.completed) == 1


def test_a_leader_that_cannot_reach_machines_steps_down():
    """The machines' heartbeats are relayed by followers, but the leader's commands do not reach them. A
    leader that took all machines for unreachable would place nothing for as long as that lasts."""
    deployment = SimulatedDeployment(15, capacity=8)
    deployment.run(seconds(3))
    deployment.users.submit(1, threads=12, vcpus=5.0, run_s=40.0, crew="red")
    deployment.users.submit(2, threads=12, vcpus=5.0, run_s=40.0, crew="blue")
    deployment.run(seconds(20))
    leader = deployment.leader()
    machines = [worker.machine.address for worker in deployment.workers.values() if not worker.terminated]
    assert len(machines) >= 6
    deployment.network.cut(deployment.controller_names[leader], machines, True, seconds(30))
    job = deployment.users.submit(3, threads=6, vcpus=1.0, run_s=1.0, urgency="critical")
    deployment.run(seconds(12))
    assert deployment.leader() not in (None, leader)
    deployment.users.poll(job)
    deployment.run(seconds(1))
    assert deployment.jobs.observed_states[job] == "done"


def test_machines_of_controllers_that_cannot_reach_the_leader_are_used():
    """The connections between controllers fail. The leader learns only from the store that the leases of
    those machines are renewed."""
    deployment = SimulatedDeployment(16, capacity=8)
    deployment.run(seconds(3))
    deployment.users.submit(1, threads=4, vcpus=5.0, run_s=1.0)
    deployment.run(seconds(10))
    names, leader = deployment.controller_names, deployment.leader()
    for worker in deployment.workers.values():
        worker.controller_index = (leader + 1) % 3
    for name in names:
        deployment.network.cut(name, names, False, seconds(20))
    deployment.run(seconds(8))
    assert deployment.leader() == leader
    leader = deployment.controllers[names[leader]].leader
    now = leader._clock.now()
    assert leader.cluster.machines
    assert all(leader.cluster.is_usable(machine, now) for machine in leader.cluster.machines.values())


def test_a_task_behind_a_cut_with_one_controller_runs_on():
    """The one controller that reaches the machine cannot reach the leader. It renews the lease itself and
    reports the renewal through the store."""
    deployment, machine, leader = busy_deployment(12)
    near = deployment.controller_names[(leader + 1) % 3]
    others = [name for name in deployment.controller_names if name != near]
    deployment.workers[machine.partition(":")[0]].controller_index = (leader + 1) % 3
    deployment.run(seconds(3))
    deployment.network.cut(near, others, False, seconds(15))
    deployment.network.cut(machine, others, False, seconds(15))
    deployment.run(seconds(60))
    assert deployment.executions.started == 1 and len(deployment.executions.completed) == 1
    deployment.users.poll("job-000001")
    deployment.run(seconds(1))
    assert deployment.jobs.observed_states["job-000001"] == "done"


def test_a_controller_that_the_store_refuses_still_finds_the_new_leader():
    """The store refuses the old leader alone, which therefore does not see in the store that another leader
    is elected. If it went on renewing its workers' leases by itself, the new leader would give their machines
    up as silent: 46 machines were lost like this."""
    deployment, machine, leader = busy_deployment(17)
    old = deployment.controller_names[leader]
    worker = deployment.workers[machine.partition(":")[0]]
    worker.controller_index = leader
    deployment.network.refused_by_store.add(old)
    deployment.run(seconds(5))
    new = deployment.leader()
    assert new not in (None, leader) and worker.controller_index == leader
    deployment.run(seconds(8))
    last_heartbeat_at = (
        deployment.controllers[deployment.controller_names[new]]
        .leader.cluster.machines[worker.machine.name]
        .last_heartbeat_at
    )
    assert deployment.controllers[
        deployment.controller_names[new]
    ]._clock.now() - last_heartbeat_at < seconds(2)
    deployment.network.refused_by_store.clear()
    deployment.run(seconds(60))
    assert deployment.executions.started == 1 and len(deployment.executions.completed) == 1


def test_leases_outlive_an_outage_of_the_store():
    deployment, machine, leader = busy_deployment(13)
    deployment.state.outage(seconds(10))
    deployment.run(seconds(60))
    assert deployment.executions.started == 1 and len(deployment.executions.completed) == 1


def test_a_cancellation_ends_work_behind_a_cut_in_time():
    """The controller that the worker reaches is cut off from the store and cannot know of the cancellation.
    It must stop renewing the lease early enough for the lease to expire within `cancel_s`."""
    deployment, machine, leader = busy_deployment(14)
    near = deployment.controller_names[(leader + 1) % 3]
    others = [name for name in deployment.controller_names if name != near]
    deployment.workers[machine.partition(":")[0]].controller_index = (leader + 1) % 3
    deployment.run(seconds(3))
    deployment.network.cut(near, [*others, "state"], False, seconds(60))
    deployment.network.cut(machine, others, False, seconds(60))
    deployment.cloud.unavailable = True
    deployment.run(seconds(1))
    deployment.users.cancel("job-000001")
    # SimulatedDeployment.run fails if the task is still on its machine after `cancel_s`.
    deployment.run(seconds(40))
    assert "job-000001" in deployment.jobs.cancelled_at


def test_the_largest_job_is_accepted_started_and_cancelled():
    deployment = SimulatedDeployment(16)
    job = deployment.users.submit(1, threads=100_000, vcpus=1.0, mem_gb=1.0, run_s=2.0)
    deployment.run(seconds(25))
    assert deployment.jobs.observed_states[job] == "pending" and deployment.executions.started > 20
    deployment.users.cancel(job)
    deployment.run(seconds(25))
    assert deployment.jobs.observed_states[job] == "aborted" and not any(
        deployment.executions.running_on.values()
    )
