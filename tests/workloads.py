"""Workloads for simulated deployments, and checks of their outcome."""

from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import seconds

# Teams with limits high enough for all jobs that the tests submit.
LARGE_TEAMS = tuple({"name": name, "cpus": 40.0, "cpus_max": 80.0} for name in ("red", "blue"))


def submit_stream(deployment, jobs, every=0.5, cancelled=0.2, **fields):
    """Schedules a stream of jobs, one every `every` seconds from now on. Users cancel the fraction
    `cancelled` of them within 10 s: while they wait, run or end."""
    rng = deployment.rng

    def submit(number):
        defaults = {
            "crew": rng.choice([team["name"] for team in deployment.config.teams]),
            "urgency": rng.choice(["critical", "high", "normal", "best_effort"]),
            "threads": rng.choice([1, 2, 3]),
            "vcpus": rng.choice([1.0, 2.0, 4.0]),
            "run_s": rng.uniform(0.3, 8),
            "knot_s": rng.choice([0.0, 2.0]),
        }
        job = deployment.users.submit(number, **(defaults | fields))
        deployment.users.poll_until_over(job)
        if rng.random() < cancelled:
            deployment.clock.later(seconds(rng.uniform(0, 10)), deployment.users.cancel, job)

    for number in range(jobs):
        deployment.clock.later(seconds(number * every), submit, 1000 + number)


def submit_and_await_running(deployment, count, **fields):
    """Submits jobs of one task each to a deployment that is ready. Returns them once all are running."""
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


def settle(deployment, timeout_s=60.0):
    """Runs until users were told that all jobs are over, then checks the service invariants of the whole
    run. Fails if not all are over within `timeout_s` seconds from now or, if later, the last fault's end."""
    end = max(deployment.clock.now(), deployment.fault_window.ends_at) + seconds(timeout_s)
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
    deployment.service.check_objectives()


def assert_none_began_twice(deployment, jobs):
    """Fails if the first task of a job started more than once, for example because its worker lost a lease
    that could have been renewed."""
    restarted = {
        job: deployment.executions.start_counts[f"{job}/0"]
        for job in jobs
        if deployment.executions.start_counts[f"{job}/0"] > 1
    }
    assert not restarted, restarted


def address(deployment, name):
    return deployment.workers[name].machine.address


def stages_everywhere(deployment, job):
    """The distinct statuses and bodies that the running controllers answer for the job. The requests do not
    use the simulated network."""
    answers = {}
    for name in deployment.controllers:

        async def request(name=name):
            answers[name] = await deployment.controllers[name].handle("GET", f"/submissions/{job}", b"")

        run_in_background(request(), "requesting")
    deployment.run(seconds(2))
    assert len(answers) == len(deployment.controllers)
    return {(answer.status, answer.body) for answer in answers.values()}
