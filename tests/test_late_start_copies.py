"""A copy of a start command that was executed and answered before executes no attempt a second time."""

import pytest

from spindleglade.backfill.plan import Plan, Preemption
from spindleglade.runtime.clock import seconds
from spindleglade.workers.command_selection import CommandSelection
from tests.deployment_config import CANCEL_TIMEOUT
from tests.start_copies import CopyingDeployment, count_executions, play
from tests.waiting import run_until

JOB = "job-000001"
FIRST_TASK = f"{JOB}/0"
# The second task of the job runs until its job is cancelled, so that the job stays open after the first ends.
RUN_TIMES_S = [6.0, 300.0]
# How long a controller is down, and how long a machine hangs or is cut off, before it is back.
SHORT_DOWNTIME = seconds(0.3)
# Copies are delivered at this interval, for longer than a cancellation may take.
COPY_INTERVAL = seconds(0.7)
COPY_ROUNDS = 40


@pytest.fixture
def executions():
    with count_executions() as counts:
        yield counts


def land_directly(deployment, monkeypatch):
    """Leaves all starts to direct commands."""


def land_directly_without_answer(deployment, monkeypatch):
    """Lets direct commands be executed, and loses the answers."""
    deployment.network.loses_answers_to_commands = True


def land_in_response(deployment, monkeypatch):
    """Sends commands in the responses to heartbeats only."""
    monkeypatch.setattr(CommandSelection, "_accepts_direct_commands", staticmethod(lambda machine: False))


def first_attempt(deployment):
    """The worker that runs the first task, and the attempt there; None if none does."""
    for worker in deployment.workers.values():
        for task in worker.tasks.values():
            if task.name == FIRST_TASK and task.state == "running" and not worker.terminated:
                return worker, task
    return None


def end_done(deployment, worker, task):
    """Lets the task run to its end."""


def end_in_error(deployment, worker, task):
    worker._exit(task, "error")


def end_halted(deployment, worker, task):
    """Preempts the task, as a plan does that needs the room."""
    cluster = deployment.leading_controller().leader.cluster
    preemption = Preemption(JOB, 0, worker.machine.name, "job-000002")
    cluster.apply_plan(Plan(preemptions=[preemption]), deployment.clock.now())


def end_cancelled(deployment, worker, task):
    deployment.users.cancel(JOB)


def end_moved(deployment, worker, task):
    """Cuts the machine off until its lease has expired and the task runs elsewhere."""
    deployment.network.cut(worker.machine.address, deployment.controller_names, False, seconds(8))


def nothing_returns(deployment, worker):
    pass


def leader_returns(deployment, worker):
    leader = deployment.leader()
    if leader is not None:
        deployment.faults.restart(leader, SHORT_DOWNTIME)


def all_controllers_return(deployment, worker):
    for index in range(len(deployment.controller_names)):
        deployment.faults.restart(index, SHORT_DOWNTIME)


def machine_returns_from_hang(deployment, worker):
    deployment.faults.hang(worker.machine.name, SHORT_DOWNTIME)


def machine_returns_from_cut(deployment, worker):
    deployment.network.cut(worker.machine.address, deployment.controller_names, True, SHORT_DOWNTIME)


LANDINGS = [land_directly, land_directly_without_answer, land_in_response]
ENDS = [end_done, end_in_error, end_halted, end_cancelled, end_moved]
RETURNS = [
    nothing_returns,
    leader_returns,
    all_controllers_return,
    machine_returns_from_hang,
    machine_returns_from_cut,
]


def run_first_task(deployment, monkeypatch, land):
    """Submits the job and runs it until its first task is running. Returns the worker and the attempt."""
    deployment.run(seconds(3))
    land(deployment, monkeypatch)
    deployment.users.submit(1, threads=2, vcpus=5.0, run_s=RUN_TIMES_S)
    run_until(deployment, lambda: first_attempt(deployment) is not None, 57.0)
    return first_attempt(deployment)


def deliver_copies(deployment, rounds=COPY_ROUNDS):
    for _ in range(rounds):
        deployment.network.deliver_copies()
        deployment.run(COPY_INTERVAL)


@pytest.mark.parametrize("come_back", RETURNS)
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("land", LANDINGS)
def test_no_copy_executes_an_attempt_twice(land, end, come_back, executions, monkeypatch):
    """Guards against a task on two machines, or of a cancelled job, by a late copy of its start."""
    deployment = CopyingDeployment(31)
    worker, task = run_first_task(deployment, monkeypatch, land)
    deployment.run(seconds(0.4))
    assert deployment.network.started_directly(FIRST_TASK) == (land is not land_in_response)
    end(deployment, worker, task)
    run_until(deployment, lambda: task.state != "running")
    come_back(deployment, worker)
    deliver_copies(deployment)
    deployment.users.cancel(JOB)
    deployment.run(CANCEL_TIMEOUT)
    deliver_copies(deployment, rounds=10)
    assert executions[(worker.machine.name, 1, FIRST_TASK, task.attempt)] == 1
    assert set(executions.values()) == {1}


@pytest.mark.parametrize("seed", range(10))
def test_no_attempt_is_executed_twice_whatever_copies_arrive(seed):
    """Guards against any order of ends, faults and copies in which a late copy of a start is executed."""
    counts = play(seed)
    assert len(counts) > 20 and set(counts.values()) == {1}
