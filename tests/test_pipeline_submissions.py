"""Tests of the lists of dependencies in submissions: which are accepted, and how others are answered.

SimulatedDeployment.run checks the invariants of dependencies throughout the run; `settle` checks at the end
that every job is over and that users are told so.
"""

import msgspec
import pytest

from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import seconds
from tests.fakes.encoding import encode
from tests.pipeline_deployments import LONG_JOB_FIELDS, deployment_with_leader, post
from tests.pipelines import chain
from tests.recorded_day import answers_of_all_controllers
from tests.waiting import run_until


@pytest.mark.parametrize("controller", range(3))
def test_a_job_that_names_one_never_accepted_gets_422(controller):
    deployment, pipelines = deployment_with_leader(450)
    pipeline = pipelines.begin(chain(1), **LONG_JOB_FIELDS)
    run_until(deployment, lambda: pipeline.complete)
    for number, awaits in enumerate((["job-999999"], [pipeline.job(0), "job-999999"], ["job-000500"])):
        body = dict(
            deployment.jobs.descriptions[pipeline.job(0)], ref=f"job-{500 + number:06d}", awaits=awaits
        )
        status, _ = post(deployment, body, deployment.controller_names[controller])
        assert status == 422, awaits
        # The rejected job is unknown to all controllers.
        assert all(
            status == 404 for status, _ in answers_of_all_controllers(deployment, [body["ref"]]).values()
        )


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
    deployment, pipelines = deployment_with_leader(451)
    pipeline = pipelines.begin(chain(1), **LONG_JOB_FIELDS)
    run_until(deployment, lambda: pipeline.complete)
    body = dict(deployment.jobs.descriptions[pipeline.job(0)], ref="job-000500", awaits=awaits)
    status, _ = post(deployment, body, deployment.controller_names[0])
    assert status == 400
    # A repeated submission of a known job is answered with its state, even if its content is invalid.
    repeat = dict(deployment.jobs.descriptions[pipeline.job(0)], awaits=awaits)
    status, answer = post(deployment, repeat, deployment.controller_names[0])
    assert status == 200 and msgspec.json.decode(answer)["stage"] in ("pending", "running")


@pytest.mark.parametrize("awaits", [None, []], ids=["null", "empty"])
def test_null_and_empty_are_none(awaits):
    deployment, pipelines = deployment_with_leader(452)
    job = deployment.users.submit(500, awaits=awaits, **LONG_JOB_FIELDS)
    deployment.users.poll_until_over(job)
    pipelines.settle()
    assert deployment.jobs.observed_states[job] == "done"


def test_duplicates_count_once():
    deployment, pipelines = deployment_with_leader(453)
    pipeline = pipelines.begin(chain(1), **LONG_JOB_FIELDS)
    run_until(deployment, lambda: pipeline.complete)
    job = deployment.users.submit(500, awaits=[pipeline.job(0)] * 30, **LONG_JOB_FIELDS)
    deployment.users.poll_until_over(job)
    pipelines.settle()
    assert deployment.jobs.observed_states[job] == "done"


@pytest.mark.parametrize("seed", range(4))
def test_a_lagging_controller_never_answers_422_for_an_accepted_job(seed):
    """The store refuses one controller or is slow while the others accept jobs. Until the lagging controller
    has caught up it may answer 503, but must not answer 422."""
    deployment, pipelines = deployment_with_leader(460 + seed)
    lagging = deployment.controller_names[seed % 3]
    dependents = []

    def submit_dependent(job):
        body = dict(
            deployment.jobs.descriptions[job],
            ref=f"job-{800_000 + len(deployment.jobs.accepted):06d}",
            awaits=[job],
        )
        deployment.jobs.descriptions[body["ref"]] = body
        deployment.jobs.submitted_at[body["ref"]] = deployment.clock.now()
        deployment.users.poll_until_over(body["ref"])
        deployment.users.send_submission(body["ref"], 40, lagging)
        dependents.append(body["ref"])

    deployment.users.accepted_callbacks.append(lambda job: submit_dependent(job) if job < "job-8" else None)
    deployment.faults.set_rate_during(seconds(20), "slow_store", seconds(0.8))
    for at in (1, 5, 9):
        deployment.clock.later(seconds(at), deployment.faults.refuse_by_store, seed % 3, seconds(2))
    for number in range(12):
        deployment.clock.later(
            seconds(number), lambda n=number: deployment.users.submit_and_poll(n, run_s=1.0)
        )
    deployment.run(seconds(22))
    # `send_submission` also records a response with status 422 as a violation.
    assert len(dependents) >= 10 and deployment.counts["submission 422"] == 0
    pipelines.settle()


def test_a_controller_that_cannot_confirm_answers_503_for_an_unknown_dependency():
    deployment, pipelines = deployment_with_leader(465)
    pipeline = pipelines.begin(chain(1), **(LONG_JOB_FIELDS | {"run_s": 60.0}))
    run_until(deployment, lambda: pipeline.complete)
    deployment.faults.outage(seconds(6))
    deployment.run(seconds(2))
    statuses = []

    async def submit(name, body):
        response = await deployment.controllers[name].handle("POST", "/submissions", encode(body))
        statuses.append((response.status, response.retry_after))

    for number, name in enumerate(deployment.controller_names):
        body = dict(
            deployment.jobs.descriptions[pipeline.job(0)],
            ref=f"job-{500 + number:06d}",
            awaits=["job-999999"],
        )
        run_in_background(submit(name, body), "submission")
    deployment.run(seconds(3))
    assert len(statuses) == 3 and all(status == 503 and retry for status, retry in statuses)


@pytest.mark.parametrize("count", [200, 2000])
def test_a_long_list_of_dependencies(count):
    """A list of dependencies as long as the request body allows must be accepted whatever limits apply, or be
    rejected with a documented status, and must cause no errors in the store. The job must start only after
    all its dependencies are done."""
    deployment, pipelines = deployment_with_leader(470)
    dependencies = [
        deployment.users.submit(number, vcpus=1.0, threads=1, mem_gb=0.1, run_s=0.3) for number in range(200)
    ]
    run_until(deployment, lambda: deployment.jobs.accepted >= set(dependencies))
    # Only ids of accepted jobs may be listed, so duplicates, which count once, make the list long.
    body = {"awaits": (dependencies * (count // len(dependencies)))[:count]} | LONG_JOB_FIELDS
    job = deployment.users.submit(90_000, **body)
    assert len(encode(deployment.jobs.descriptions[job])) < 64 * 1024
    deployment.users.poll_until_over(job)
    for dependency in dependencies:
        deployment.users.poll_until_over(dependency)
    pipelines.settle()
    assert deployment.jobs.observed_states[job] == "done"
