"""A recorded deployment of the version in production: its store, machines and users at one moment.

The values of the store are bytes that production wrote (fixtures/production, made by record_production.py).
The recording also holds the tasks on the machines and the answers to users, which lets a deployment of this
version continue from that moment.
"""

from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec
from twisted.internet.defer import Deferred

from spindleglade.runtime.clock import seconds
from tests.deployment_config import DeploymentConfig
from tests.fakes.cloud import Machine
from tests.fakes.worker import Task, Worker
from tests.simulated_deployment import SimulatedDeployment

FIXTURES = Path(__file__).parent / "fixtures" / "production"
# With this limit on values, production stores an array of 250 tasks in one chunk.
RECORDED = DeploymentConfig(
    capacity=24,
    machine_cpus=16.0,
    value_kb=16.85,
    teams=(
        {"name": "red", "cpus": 200.0, "cpus_max": 400.0},
        {"name": "blue", "cpus": 100.0, "cpus_max": 200.0},
    ),
)
LARGE_ARRAY = "job-000001"
LARGE_ARRAY_TASKS = 250


class StoredEntry(msgspec.Struct):
    key: str
    # The JSON text of the value as it was written.
    value: str
    # The revision of the last write to the key.
    mark: int
    lease: int | None = None


class StoredLease(msgspec.Struct):
    number: int
    ttl_s: float


class RecordedStore(msgspec.Struct):
    commit: str
    # The revision of the store.
    turn: int
    next_lease: int
    leases: list[StoredLease]
    entries: list[StoredEntry]

    def value(self, key: str) -> str:
        return next(entry.value for entry in self.entries if entry.key == key)

    def entries_with_prefix(self, prefix: str) -> list[StoredEntry]:
        return [entry for entry in self.entries if entry.key.startswith(prefix)]


class RecordedTask(msgspec.Struct):
    name: str
    attempt: int
    stage: str
    cause: str | None
    # Time until the task runs or ends. None if it has exited.
    left_s: float | None


class RecordedMachine(msgspec.Struct):
    name: str
    type: str
    zone: str
    spot: bool
    # When the machine was provisioned.
    since_s: float
    incarnation: int = msgspec.field(name="session")
    sequence: int = msgspec.field(name="tally")
    token: int
    done: list[str]
    tasks: list[RecordedTask]


class RecordedUsers(msgspec.Struct):
    jobs: dict[str, dict[str, Any]]
    submitted_at_s: dict[str, float] = msgspec.field(name="sent_s")
    observed_states: dict[str, str] = msgspec.field(name="told")
    cancel_requested: list[str] = msgspec.field(name="asked_abort")
    cancelled_at_s: dict[str, float] = msgspec.field(name="aborted_at_s")
    completed: list[str]
    start_counts: dict[str, int] = msgspec.field(name="starts")


class RecordedSurroundings(msgspec.Struct):
    """Everything but the store: the time, the machines, and what users did and observed."""

    at_s: float
    machines: list[RecordedMachine]
    # How many machines were provisioned so far.
    machines_made: int
    # The names of the provisioned machines, by the id of the provisioning request.
    rentals: dict[str, list[str]]
    users: RecordedUsers


def read_store() -> RecordedStore:
    return msgspec.json.decode((FIXTURES / "store.json").read_bytes(), type=RecordedStore)


def read_messages() -> dict[str, bytes]:
    return msgspec.json.decode((FIXTURES / "messages.json").read_bytes(), type=dict[str, bytes])


def read_surroundings() -> RecordedSurroundings:
    return msgspec.json.decode((FIXTURES / "surroundings.json").read_bytes(), type=RecordedSurroundings)


def recorded_deployment(
    seed: int, config: DeploymentConfig = RECORDED, controllers: tuple[int, ...] = ()
) -> SimulatedDeployment:
    """A deployment that continues from the recorded moment, with the controllers of these indices started."""

    def begin(deployment: SimulatedDeployment) -> None:
        _restore(deployment)
        for index in controllers:
            deployment.processes.start(index)

    return SimulatedDeployment(seed, config=config, begin=begin)


def _restore(deployment: SimulatedDeployment) -> None:
    surroundings = read_surroundings()
    deployment.clock.advance(seconds(surroundings.at_s))
    _restore_store(deployment, read_store())
    _restore_users(deployment, surroundings.users)
    _restore_machines(deployment, surroundings)


def _restore_store(deployment: SimulatedDeployment, store: RecordedStore) -> None:
    state = deployment.state
    state.revision, state.next_lease = store.turn, store.next_lease
    for lease in store.leases:
        ttl = seconds(lease.ttl_s)
        state.leases[lease.number] = [ttl, deployment.clock.now() + ttl]
    for entry in store.entries:
        state.keys[entry.key] = (msgspec.json.decode(entry.value), entry.mark, entry.lease)


def _restore_users(deployment: SimulatedDeployment, users: RecordedUsers) -> None:
    deployment.jobs.descriptions.update(users.jobs)
    deployment.jobs.submitted_at.update({job: seconds(at) for job, at in users.submitted_at_s.items()})
    deployment.jobs.observed_states.update(users.observed_states)
    deployment.jobs.accepted.update(users.observed_states)
    deployment.jobs.cancel_requested.update(users.cancel_requested)
    deployment.jobs.cancelled_at.update({job: seconds(at) for job, at in users.cancelled_at_s.items()})
    deployment.executions.completed.update(users.completed)
    deployment.executions.start_counts.update(users.start_counts)


def _restore_machines(deployment: SimulatedDeployment, surroundings: RecordedSurroundings) -> None:
    deployment.cloud.provisioned_count = surroundings.machines_made
    deployment.cloud.provision_answers.update(surroundings.rentals)
    for recorded in surroundings.machines:
        since = seconds(recorded.since_s)
        machine = Machine(recorded.name, recorded.type, recorded.zone, recorded.spot, since, "running")
        deployment.cloud.machines[machine.name] = machine
        deployment.machines.start_worker(machine)
        worker = deployment.workers[machine.name]
        worker.incarnation, worker.sequence = recorded.incarnation, recorded.sequence
        worker.token = recorded.token
        worker.completed.update(recorded.done)
        for task in recorded.tasks:
            _restore_task(deployment, worker, task)


def _restore_task(deployment: SimulatedDeployment, worker: Worker, recorded: RecordedTask) -> None:
    task = Task(recorded.name, recorded.attempt, recorded.stage, recorded.cause)
    worker.tasks[(task.name, task.attempt)] = task
    if task.state == "running":
        deployment.executions.on_task_started(worker.machine.name, task.name)
    if recorded.left_s is not None:
        worker.resume(task, seconds(recorded.left_s))


def answers_of_all_controllers(
    deployment: SimulatedDeployment, jobs: list[str]
) -> dict[tuple[str, str], tuple[int, Any]]:
    """The status and body that each running controller answers for each job, keyed by controller and job. The
    requests do not use the simulated network."""
    answers: dict[tuple[str, str], tuple[int, Any]] = {}
    pending: list[Deferred] = []
    for name, controller in deployment.controllers.items():
        for job in jobs:
            pending.append(Deferred.fromCoroutine(controller.handle("GET", f"/submissions/{job}", b"")))
            pending[-1].addCallback(
                lambda answer, key=(name, job): answers.update(
                    {key: (answer.status, msgspec.json.decode(answer.body))}
                )
            )
    deployment.run(timedelta(seconds=3))
    assert len(answers) == len(pending)
    return answers
