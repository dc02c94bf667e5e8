"""Pipelines of jobs among real nodes: SimulatedDeployment.run checks the rules of chained jobs at every
moment, `settle` that at the end all is served."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import seconds
from tests.deployment_config import CANCEL, DeploymentConfig
from tests.fakes.encoding import encode
from tests.generated_faults import FAULTS, inject
from tests.invariants.dependency_invariants import OVER
from tests.pipelines import Pipelines, chain, diamond, fan_in, fan_out
from tests.recorded_day import answers_everywhere
from tests.simulated_deployment import SimulatedDeployment
from tests.waiting import run_until

TEAMS = tuple({"name": name, "cpus": 40.0, "cpus_max": 80.0} for name in ("red", "blue"))
ROOMY = DeploymentConfig(capacity=8, teams=TEAMS)
LONG = {"threads": 1, "vcpus": 1.0, "run_s": 8.0}


def ready(seed, **named):
    """A deployment whose nodes have elected a leader, and its pipelines."""
    deployment = SimulatedDeployment(seed, config=ROOMY, **named)
    deployment.run(seconds(3))
    return deployment, Pipelines(deployment)


def stages_of(deployment, jobs):
    """What all nodes say of each job: they must agree."""
    got = {}
    for (_, job), (status, body) in answers_everywhere(deployment, jobs).items():
        assert status == 200, (job, status)
        assert got.setdefault(job, body["stage"]) == body["stage"], job
    return [got[job] for job in jobs]


def post(deployment, body, node):
    """The status of a submission sent once to one node, straight."""
    got = []
    deployment.users.request(
        "POST", "/submissions", encode(body), lambda status, answer: got.append((status, answer)), 0, node
    )
    deployment.run(seconds(3))
    return got[0] if got else None


# In calm.


@pytest.mark.parametrize("seed", range(4))
def test_pipelines_in_calm(seed):
    deployment, pipelines = ready(300 + seed)
    pipelines.stream(10, seconds(1.5))
    deployment.run(seconds(16))
    pipelines.settle()
    assert set(deployment.jobs.observed_states.values()) == {"done"}
    assert any(deployment.dependencies.ancestors(job) for job in deployment.jobs.descriptions)


@pytest.mark.parametrize(
    "shape", [chain(4), diamond(), fan_out(4), fan_in(4)], ids=["chain", "diamond", "out", "in"]
)
def test_a_job_is_pending_until_what_it_needs_is_done_and_then_starts(shape):
    deployment, pipelines = ready(310)
    pipeline = pipelines.begin(shape, **LONG)
    run_until(deployment, lambda: pipeline.complete and deployment.executions.started)
    dependents = [job for job in pipeline.jobs if deployment.dependencies.ancestors(job)]
    assert set(stages_of(deployment, dependents)) == {"pending"}
    pipelines.settle()
    for job in dependents:
        ends = max(deployment.executions.began_at[one] for one in deployment.dependencies.ancestors(job))
        assert deployment.executions.began_at[job] > ends


@pytest.mark.parametrize("seed", range(3))
def test_pipelines_with_failing_tasks_lost_machines_and_whatever(seed):
    deployment, pipelines = ready(320 + seed, error=0.05)
    pipelines.stream(8, seconds(1.5))
    pipelines.cancel_some(0.1, seconds(6))
    deployment.clock.later(seconds(5), deployment.faults.during, seconds(6), "lost_messages", 0.1)
    deployment.clock.later(seconds(7), lambda: deployment.faults.kill_machine(min(deployment.workers)))
    deployment.clock.later(seconds(8), deployment.faults.during, seconds(8), "cancel_at_end", 0.3)
    deployment.run(seconds(20))
    pipelines.settle()


# Cancellation.


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("shape", [chain(4), diamond(), fan_out(4)], ids=["chain", "diamond", "out"])
def test_cancelling_a_running_job_aborts_all_after_it(seed, shape):
    deployment, pipelines = ready(330 + seed)
    pipeline = pipelines.begin(shape, **LONG)
    run_until(deployment, lambda: pipeline.complete and deployment.executions.machines_of(pipeline.job(0)))
    deployment.users.cancel(pipeline.job(0))
    run_until(deployment, lambda: pipeline.job(0) in deployment.jobs.cancelled_at, 5)
    assert set(stages_of(deployment, pipeline.jobs)) == {"aborted"}
    deployment.run(CANCEL + seconds(5))
    assert not any(deployment.executions.machines_of(job) for job in pipeline.jobs)
    assert {job for job in pipeline.jobs if job in deployment.executions.began_at} == {pipeline.job(0)}


@pytest.mark.parametrize("seed", range(3))
def test_cancelling_in_the_middle_leaves_what_came_before(seed):
    deployment, pipelines = ready(340 + seed)
    pipeline = pipelines.begin(chain(4), **LONG)
    run_until(deployment, lambda: pipeline.complete)
    deployment.users.cancel(pipeline.job(2))
    pipelines.settle()
    assert [deployment.jobs.observed_states[job] for job in pipeline.jobs] == [
        "done",
        "done",
        "aborted",
        "aborted",
    ]


@pytest.mark.parametrize("seed", range(3))
def test_cancelling_while_the_pipeline_is_being_submitted(seed):
    """A job that names a cancelled one is accepted all the same, and aborted."""
    deployment, pipelines = ready(350 + seed)
    deployment.users.accepted_callbacks.append(
        lambda job: deployment.users.cancel(job) if job.endswith(("000", "004", "008")) else None
    )
    for shape in (chain(4), diamond(late=True), fan_out(3)):
        pipelines.begin(shape, **LONG)
    pipelines.settle()
    assert len(deployment.jobs.accepted) == 12 and set(deployment.jobs.observed_states.values()) == {
        "aborted"
    }
    assert not any(deployment.dependencies.ancestors(job) for job in deployment.executions.began_at)


@pytest.mark.parametrize("seed", range(6))
def test_cancelling_at_the_moment_of_an_end(seed):
    """Either the end is recorded first and the pipeline goes on, or all after it is aborted."""
    deployment, pipelines = ready(360 + seed)
    deployment.faults.during(seconds(40), "cancel_at_end", 0.4)
    pipelines.stream(10, seconds(1))
    deployment.run(seconds(30))
    pipelines.settle()
    assert deployment.counts["cancelled at its end"] > 2


@pytest.mark.parametrize("seed", range(3))
def test_a_cancellation_answered_with_done_lets_the_others_go_on(seed):
    deployment, pipelines = ready(370 + seed)
    pipeline = pipelines.begin(chain(3), **(LONG | {"run_s": 3.0}))
    run_until(deployment, lambda: deployment.jobs.observed_states.get(pipeline.job(0)) == "done")
    deployment.users.cancel(pipeline.job(0))
    deployment.run(seconds(2))
    pipelines.settle()
    assert [deployment.jobs.observed_states[job] for job in pipeline.jobs] == ["done"] * 3


@pytest.mark.parametrize("seed", range(3))
def test_cancelling_a_job_that_is_aborted_by_another_answers_aborted(seed):
    deployment, pipelines = ready(380 + seed)
    pipeline = pipelines.begin(chain(3), **LONG)
    run_until(deployment, lambda: pipeline.complete)
    deployment.users.cancel(pipeline.job(0))
    run_until(deployment, lambda: pipeline.job(0) in deployment.jobs.cancelled_at, 5)
    for node in deployment.controller_names:
        deployment.users.cancel(pipeline.job(2), 0, node)
    deployment.run(seconds(3))
    assert (
        deployment.jobs.observed_states[pipeline.job(2)] == "aborted"
        and pipeline.job(2) in deployment.jobs.cancelled_at
    )
    # A repeat of its submission is answered by its state as well.
    status, body = post(
        deployment, deployment.jobs.descriptions[pipeline.job(2)], deployment.controller_names[0]
    )
    assert (status, msgspec.json.decode(body)["stage"]) == (200, "aborted")


@pytest.mark.parametrize("seed", range(3))
def test_all_after_a_job_cancelled_through_another_node_know_it_there(seed):
    """Cancelled at one node, asked for within milliseconds at all others."""
    deployment, pipelines = ready(390 + seed)
    deployment.faults.during(seconds(30), "poll_everywhere", True)
    shapes = [pipelines.begin(shape, **LONG) for shape in (chain(4), diamond(), fan_out(4))]
    run_until(deployment, lambda: all(pipeline.complete for pipeline in shapes))
    for number, pipeline in enumerate(shapes):
        deployment.users.cancel(pipeline.job(0), 40, deployment.controller_names[number % 3])
    run_until(
        deployment, lambda: all(pipeline.job(0) in deployment.jobs.cancelled_at for pipeline in shapes), 5
    )
    for pipeline in shapes:
        for job in pipeline.jobs:
            for node in deployment.controller_names:
                deployment.users.poll(job, node)
    deployment.run(seconds(1))
    assert {deployment.jobs.observed_states[job] for pipeline in shapes for job in pipeline.jobs} == {
        "aborted"
    }
    pipelines.settle()


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("hold", [False, True], ids=["lost", "held"])
def test_cancellations_while_the_leader_is_cut_off(seed, hold):
    deployment, pipelines = ready(400 + seed)
    pipelines.stream(8, seconds(1))
    pipelines.cancel_some(0.3, seconds(8))
    deployment.clock.later(
        seconds(4),
        lambda: deployment.network.cut_off(
            deployment.controller_names[deployment.leader() or 0], hold, seconds(8)
        ),
    )
    deployment.clock.later(
        seconds(14), lambda: deployment.faults.isolate(deployment.leader() or 0, hold, seconds(5))
    )
    deployment.run(seconds(22))
    pipelines.settle()


@pytest.mark.parametrize("seed", range(3))
def test_cancellations_before_and_in_an_outage_of_the_store(seed):
    deployment, pipelines = ready(410 + seed)
    pipelines.stream(8, seconds(0.7))
    pipelines.cancel_some(0.4, seconds(9))
    deployment.clock.later(seconds(4), deployment.faults.outage, seconds(6))
    deployment.clock.later(seconds(13), deployment.faults.refuse_leader_then_outage, seconds(4), seconds(8))
    deployment.run(seconds(24))
    pipelines.settle()


@pytest.mark.parametrize("seed", range(4))
def test_cancellations_while_leaders_change(seed):
    deployment, pipelines = ready(420 + seed)
    pipelines.stream(10, seconds(1.2))
    pipelines.cancel_some(0.3, seconds(6))
    deployment.faults.during(seconds(16), "cancel_at_end", 0.2)
    deployment.faults.change_leaders(5, seconds(15))
    deployment.run(seconds(20))
    assert deployment.counts["leaders"] > 3
    pipelines.settle()


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("which", ["late_writes", "lost_answers"])
def test_pipelines_with_transactions_without_an_answer(seed, which):
    deployment, pipelines = ready(430 + seed)
    deployment.faults.during(seconds(18), which, 0.3)
    pipelines.stream(10, seconds(1.2))
    pipelines.cancel_some(0.2, seconds(6))
    deployment.clock.later(seconds(6), deployment.faults.restart_leader, seconds(1))
    deployment.run(seconds(20))
    assert deployment.counts["astray"] > 2
    pipelines.settle()


@settings(max_examples=15)
@given(st.integers(0, 1 << 30), FAULTS, st.sampled_from([0.0, 0.05]), st.sampled_from([0.0, 0.15, 0.4]))
def test_no_rule_of_pipelines_is_broken_whatever_fails(seed, faults, error, cancelled):
    deployment = SimulatedDeployment(seed, config=ROOMY, error=error)
    pipelines = Pipelines(deployment)
    pipelines.cancel_some(cancelled, seconds(6))
    pipelines.stream(8, seconds(2.2))
    for kind, at, length, hold, pick in faults:
        deployment.clock.later(seconds(at), inject, deployment, kind, length, hold, pick)
    # The latest trouble has begun by then; what they leave behind is told by the deployment.
    deployment.run(seconds(24))
    pipelines.settle(seconds(150))


# Restarts.


@pytest.mark.parametrize("seed", range(3))
def test_pipelines_outlive_the_restart_of_all_controllers(seed):
    deployment, pipelines = ready(440 + seed)
    pipelines.stream(8, seconds(1))
    for index in range(3):
        deployment.clock.later(seconds(6 + index), deployment.faults.restart, index, seconds(2 + index))
    deployment.run(seconds(14))
    pipelines.settle()
    assert set(deployment.jobs.observed_states.values()) == {"done"}


# What is refused.


@pytest.mark.parametrize("node", range(3))
def test_a_job_that_names_one_never_accepted_gets_422(node):
    deployment, pipelines = ready(450)
    pipeline = pipelines.begin(chain(1), **LONG)
    run_until(deployment, lambda: pipeline.complete)
    for number, awaits in enumerate((["job-999999"], [pipeline.job(0), "job-999999"], ["job-000500"])):
        body = dict(
            deployment.jobs.descriptions[pipeline.job(0)], ref=f"job-{500 + number:06d}", awaits=awaits
        )
        status, _ = post(deployment, body, deployment.controller_names[node])
        assert status == 422, awaits
        # It was never accepted.
        assert all(status == 404 for status, _ in answers_everywhere(deployment, [body["ref"]]).values())


@pytest.mark.parametrize(
    "awaits",
    [
        "job-001000",
        5,
        {},
        True,
        [5],
        [None],
        ["1000"],
        ["job-"],
        ["job-1 "],
        ["job-" + "1" * 61],
        [["job-001000"]],
    ],
    ids=str,
)
def test_what_is_no_list_of_job_ids_gets_400(awaits):
    deployment, pipelines = ready(451)
    pipeline = pipelines.begin(chain(1), **LONG)
    run_until(deployment, lambda: pipeline.complete)
    body = dict(deployment.jobs.descriptions[pipeline.job(0)], ref="job-000500", awaits=awaits)
    status, _ = post(deployment, body, deployment.controller_names[0])
    assert status == 400
    # A repeat of a known job is answered by its state, whatever it holds.
    repeat = dict(deployment.jobs.descriptions[pipeline.job(0)], awaits=awaits)
    status, answer = post(deployment, repeat, deployment.controller_names[0])
    assert status == 200 and msgspec.json.decode(answer)["stage"] in ("pending", "running")


@pytest.mark.parametrize("awaits", [None, []], ids=["null", "empty"])
def test_null_and_empty_are_none(awaits):
    deployment, pipelines = ready(452)
    job = deployment.users.submit(500, awaits=awaits, **LONG)
    deployment.users.poll_until_over(job)
    pipelines.settle()
    assert deployment.jobs.observed_states[job] == "done"


def test_duplicates_count_once():
    deployment, pipelines = ready(453)
    pipeline = pipelines.begin(chain(1), **LONG)
    run_until(deployment, lambda: pipeline.complete)
    job = deployment.users.submit(500, awaits=[pipeline.job(0)] * 30, **LONG)
    deployment.users.poll_until_over(job)
    pipelines.settle()
    assert deployment.jobs.observed_states[job] == "done"


@pytest.mark.parametrize("seed", range(4))
def test_a_node_that_is_behind_never_answers_422_for_an_accepted_job(seed):
    """The store refuses it, or answers slowly, while others accept jobs; it may only say 503."""
    deployment, pipelines = ready(460 + seed)
    behind = deployment.controller_names[seed % 3]
    statuses = []

    def name_it(job):
        body = dict(
            deployment.jobs.descriptions[job],
            ref=f"job-{800_000 + len(deployment.jobs.accepted):06d}",
            awaits=[job],
        )
        deployment.jobs.descriptions[body["ref"]] = body
        deployment.jobs.submitted_at[body["ref"]] = deployment.clock.now()
        deployment.users.poll_until_over(body["ref"])
        deployment.users.send_submission(body["ref"], 40, behind)
        statuses.append(body["ref"])

    deployment.users.accepted_callbacks.append(lambda job: name_it(job) if job < "job-8" else None)
    deployment.faults.during(seconds(20), "slow_store", seconds(0.8))
    for at in (1, 5, 9):
        deployment.clock.later(seconds(at), deployment.faults.refuse, seed % 3, seconds(2))
    for number in range(12):
        deployment.clock.later(
            seconds(number), lambda n=number: deployment.users.submit_and_poll(n, run_s=1.0)
        )
    deployment.run(seconds(22))
    # SimulatedDeployment.repeat takes a 422 for a breach.
    assert len(statuses) >= 10 and deployment.counts["submission 422"] == 0
    pipelines.settle()


def test_a_node_that_cannot_confirm_answers_503_for_an_unknown_dependency():
    deployment, pipelines = ready(465)
    pipeline = pipelines.begin(chain(1), **(LONG | {"run_s": 60.0}))
    run_until(deployment, lambda: pipeline.complete)
    deployment.faults.outage(seconds(6))
    deployment.run(seconds(2))
    statuses = []

    async def ask(name, body):
        answer = await deployment.controllers[name].handle("POST", "/submissions", encode(body))
        statuses.append((answer.status, answer.retry_after))

    for number, name in enumerate(deployment.controller_names):
        body = dict(
            deployment.jobs.descriptions[pipeline.job(0)],
            ref=f"job-{500 + number:06d}",
            awaits=["job-999999"],
        )
        run_in_background(ask(name, body), "asking")
    deployment.run(seconds(3))
    assert len(statuses) == 3 and all(status == 503 and retry for status, retry in statuses)


# Size.


@pytest.mark.parametrize("count", [200, 2000])
def test_a_long_list_of_dependencies(count):
    """A list as long as the body allows fits whatever limits hold, or is answered by a documented status;
    nothing breaks in the store, and the job starts after all of them."""
    deployment, pipelines = ready(470)
    needed = [
        deployment.users.submit(number, vcpus=1.0, threads=1, mem_gb=0.1, run_s=0.3) for number in range(200)
    ]
    run_until(deployment, lambda: deployment.jobs.accepted >= set(needed))
    # Ids of other forms name other jobs: the list is made long by duplicates, which count once.
    body = {"awaits": (needed * (count // len(needed)))[:count]} | LONG
    job = deployment.users.submit(90_000, **body)
    assert len(encode(deployment.jobs.descriptions[job])) < 64 * 1024
    deployment.users.poll_until_over(job)
    for one in needed:
        deployment.users.poll_until_over(one)
    pipelines.settle()
    assert deployment.jobs.observed_states[job] == "done"


def test_one_job_with_many_dependents_is_cancelled():
    deployment, pipelines = ready(471)
    pipeline = pipelines.begin(fan_out(60), **LONG)
    run_until(deployment, lambda: pipeline.complete and deployment.executions.machines_of(pipeline.job(0)))
    deployment.users.cancel(pipeline.job(0))
    run_until(deployment, lambda: pipeline.job(0) in deployment.jobs.cancelled_at, 5)
    changes = deployment.state.changes
    pipelines.settle()
    assert set(deployment.jobs.observed_states[job] for job in pipeline.jobs) == {"aborted"}
    # Nothing is written for those after it: the cancellation is derived.
    assert deployment.state.changes - changes < 30
    assert set(deployment.jobs.observed_states.values()) <= set(OVER)
