"""Work for simulated deployments: streams of jobs, jobs that run, and a day that is served in the end."""

from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import seconds

# Teams whose limits leave room for all that the tests submit.
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
    """What each controller answers for the job, asked straight."""
    got = {}
    for name in deployment.controllers:

        async def ask(name=name):
            got[name] = await deployment.controllers[name].handle("GET", f"/submissions/{job}", b"")

        run_in_background(ask(), "asking")
    deployment.run(seconds(2))
    assert len(got) == len(deployment.controllers)
    return {(answer.status, answer.body) for answer in got.values()}
