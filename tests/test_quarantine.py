"""Whole deployments in which tasks fail: a sound machine is used again, and a faulty one stays out of use."""

import pytest

from spindleglade.runtime.clock import seconds
from tests.fakes.worker import Worker
from tests.simulated_deployment import SimulatedDeployment
from tests.simulation.job_records import job_of
from tests.waiting import run_until

TASK_DURATION_S = 1.0
LONG_TASK_S = 600.0


def start_deployment(seed, machines):
    """Returns a deployment with a long task on each of its machines, which are therefore not terminated."""
    deployment = SimulatedDeployment(seed, capacity=machines)
    deployment.run(seconds(3))
    deployment.users.submit(0, threads=machines, vcpus=5.0, run_s=[LONG_TASK_S] * machines)
    run_until(deployment, lambda: deployment.executions.started == machines, 60.0)
    return deployment


class Failures:
    """The jobs and the machines whose tasks fail, and the tasks that have failed."""

    def __init__(self):
        self.jobs, self.machines, self.failed_tasks = set(), set(), []

    def cause(self, worker, task, cause):
        """The cause of an exit that would otherwise have this cause."""
        if cause != "done" or not (job_of(task.name) in self.jobs or worker.machine.name in self.machines):
            return cause
        self.failed_tasks.append(task.name)
        return "error"


@pytest.fixture
def failures(monkeypatch):
    failures, exit_task = Failures(), Worker._exit

    def exit_or_fail(worker, task, cause):
        exit_task(worker, task, failures.cause(worker, task, cause))

    monkeypatch.setattr(Worker, "_exit", exit_or_fail)
    return failures


def submit(deployment, number):
    """Submits a job of one task, two of which do not fit on a machine beside a long task."""
    return deployment.users.submit(number, threads=1, vcpus=3.0, run_s=[TASK_DURATION_S])


def is_done(deployment, job):
    return f"{job}/0" in deployment.executions.completed


def test_a_sound_job_starts_once_the_jobs_that_failed_on_its_machine_are_cancelled(failures):
    """Guards against work that waits for a sound machine where only cancelled jobs failed (review case 6)."""
    deployment = start_deployment(51, machines=1)
    mistaken = [f"job-{number:06d}" for number in (1, 2)]
    failures.jobs.update(mistaken)
    for number in (1, 2):
        submit(deployment, number)
    (machine,) = deployment.leading_controller().leader.cluster.machines.values()
    run_until(deployment, lambda: machine.quarantined, 30.0)
    for job in mistaken:
        deployment.users.cancel(job)
    sound = submit(deployment, 3)
    run_until(deployment, lambda: is_done(deployment, sound), 10.0)
    assert len(failures.failed_tasks) == 2 and not machine.quarantined


def test_a_faulty_machine_stays_out_of_use_though_a_job_that_failed_there_is_cancelled(failures):
    """Guards against a faulty machine that gets work again though every task fails there."""
    deployment = start_deployment(52, machines=2)
    machines = deployment.leading_controller().leader.cluster.machines
    faulty = machines[min(machines)]
    failures.machines.add(faulty.name)
    for number in range(1, 7):
        submit(deployment, number)
    run_until(deployment, lambda: faulty.quarantined, 30.0)
    cancelled, *others = sorted(faulty.failed_jobs)
    deployment.users.cancel(cancelled)
    failed_before = len(failures.failed_tasks)
    others += [submit(deployment, number) for number in range(20, 35)]
    run_until(deployment, lambda: all(is_done(deployment, job) for job in others), 60.0)
    assert faulty.quarantined and len(failures.failed_tasks) == failed_before
