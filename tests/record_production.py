"""Runs a simulated deployment of this version and records its store and the messages between controllers.

Run once, from the repository's root at the commit that is in production, and never again with later code:

    python -m tests.record_production

It writes fixtures/production/store.json (each key with the JSON text that was written), messages.json (one
message between controllers of each kind, as base64 of its msgpack encoding) and surroundings.json (the
machines and users at the end of the run). tests/production.py holds the layouts, and test_production.py
checks that they fit these bytes.
"""

from typing import Any

import msgspec

from spindleglade.leadership.peer_messages import Message
from spindleglade.runtime.clock import seconds
from tests import recorded_day as day
from tests.fakes.encoding import Reply
from tests.fakes.worker import Worker
from tests.production import COMMIT, HISTORY, LEADER, TASKS, TOKEN, TYPES, VOUCHED
from tests.simulated_deployment import SimulatedDeployment
from tests.simulation.network import SimulatedNetwork

SEED = 6


class _RawWrite(msgspec.Struct):
    set: str | None = None
    v: msgspec.Raw = msgspec.Raw(b"null")


class _RawTransaction(msgspec.Struct):
    writes: list[_RawWrite]


class RecordingNetwork(SimulatedNetwork):
    """Records the JSON text of each written value, and the longest peer message of each kind."""

    def __init__(self, *args: Any, **options: Any) -> None:
        self.values: dict[str, str] = {}
        self.messages: dict[str, bytes] = {}
        super().__init__(*args, **options)

    def serve(self, source: str, target: str, method: str, path: str, body: bytes) -> Any:
        answer: Any = super().serve(source, target, method, path, body)
        if target == "state" and path == "/txn" and answer[0] == 200:
            self._record_writes(body, answer)
        return answer

    def _record_writes(self, body: bytes, answer: Reply) -> None:
        for write in msgspec.json.decode(body, type=_RawTransaction).writes:
            if write.set is not None:
                self.values[write.set] = bytes(write.v).decode()

    def as_received(self, message: Message, receiver: str) -> Message:
        encoded, kind = msgspec.msgpack.encode(message), type(message).__name__
        if len(encoded) > len(self.messages.get(kind, b"")):
            self.messages[kind] = encoded
        return super().as_received(message, receiver)


class RecordingDeployment(SimulatedDeployment):
    """A deployment with a recording network."""

    network_type = RecordingNetwork
    network: RecordingNetwork


def run_until_recorded() -> RecordingDeployment:
    """Runs a deployment under load until its store holds a record of each kind."""
    deployment = RecordingDeployment(SEED, task_failure_rate=0.15, config=day.RECORDED)
    deployment.run(seconds(3))
    run_times_s = [4.0 + (index * 7) % 60 for index in range(day.LARGE_ARRAY_TASKS)]
    deployment.users.submit(
        1, threads=day.LARGE_ARRAY_TASKS, vcpus=1.0, mem_gb=0.1, run_s=run_times_s, reckon_s=30.0
    )
    for number in range(2, 26):
        deployment.clock.later(seconds(number * 1.2), _submit_small_job, deployment, number)
    deployment.run(seconds(14))
    leader = deployment.leader()
    assert leader is not None
    follower = (leader + 1) % 3
    # While the store refuses a controller, it forwards users' requests.
    deployment.faults.refuse_by_store(follower, seconds(4))
    # Such a controller learns of cancellations from its peers.
    deployment.clock.later(
        seconds(1), deployment.users.cancel, "job-000003", 40, deployment.controller_names[leader]
    )
    for _ in range(6):
        deployment.invalid_requests.submit()
        deployment.users.poll(day.LARGE_ARRAY, deployment.controller_names[follower])
    deployment.run(seconds(6))
    # Controllers that cannot reach the leader renew the leases of machines and record that in the store. The
    # leader does not learn which tasks ended meanwhile.
    names = deployment.controller_names
    for name in names:
        deployment.network.cut(name, names, False, seconds(10))
    aborted = [
        job
        for job in sorted(deployment.jobs.descriptions)
        if job != day.LARGE_ARRAY and deployment.executions.machines_of(job)
    ][:3]
    for job in aborted:
        # A machine that hangs does not report that its tasks ended, so their placements remain in the store.
        for machine in deployment.executions.machines_of(job):
            deployment.faults.hang(machine, seconds(5))
        deployment.users.cancel(job)
    deployment.run(seconds(2))
    for job in sorted(deployment.jobs.descriptions):
        deployment.users.poll(job)
    deployment.run(seconds(1))
    _run_until_complete(deployment)
    return deployment


def _submit_small_job(deployment: SimulatedDeployment, number: int) -> None:
    run_s = 40.0 if number % 4 == 3 else 0.5 + number % 3
    deployment.users.submit(
        number, crew="blue", threads=1 + number % 3, mem_gb=0.1, run_s=run_s, reckon_s=5.0
    )


def _run_until_complete(deployment: RecordingDeployment) -> None:
    for _ in range(200):
        if _is_complete(deployment):
            return
        deployment.run(seconds(0.1))
    raise AssertionError("the store never held a record of each kind at the same time")


def _is_complete(deployment: RecordingDeployment) -> bool:
    keys = deployment.state.keys
    chunks = {key: value[0] for key, value in keys.items() if key.startswith(TASKS)}
    has_cancelled_placement = any(
        chunk.get("placed") and keys[f"sg/job/{key.split('/')[2]}"][0]["stage"] == "aborted"
        for key, chunk in chunks.items()
    )
    has_single_keys = all(key in keys for key in (TYPES, LEADER, TOKEN))
    has_prefixes = all(any(key.startswith(prefix) for key in keys) for prefix in (HISTORY, VOUCHED))
    has_tried_tasks = any(chunk.get("tried") for chunk in chunks.values())
    stages = {value[0]["stage"] for key, value in keys.items() if key.startswith("sg/job/")}
    return (
        has_cancelled_placement
        and has_single_keys
        and has_prefixes
        and has_tried_tasks
        and stages == {"open", "aborted", "done"}
    )


def recorded_store(deployment: RecordingDeployment) -> day.RecordedStore:
    state = deployment.state
    leases = [day.StoredLease(number, lease[0].total_seconds()) for number, lease in state.leases.items()]
    entries = [
        day.StoredEntry(key, deployment.network.values[key], mark, lease)
        for key, (_, mark, lease) in sorted(state.keys.items())
    ]
    return day.RecordedStore(COMMIT, state.revision, state.next_lease, leases, entries)


def recorded_surroundings(deployment: SimulatedDeployment) -> day.RecordedSurroundings:
    machines = [
        _machine(deployment, worker) for worker in deployment.workers.values() if not worker.terminated
    ]
    users = day.RecordedUsers(
        {job: deployment.jobs.descriptions[job] for job in sorted(deployment.jobs.accepted)},
        {job: deployment.jobs.submitted_at[job].total_seconds() for job in sorted(deployment.jobs.accepted)},
        deployment.jobs.observed_states,
        sorted(deployment.jobs.cancel_requested),
        {job: at.total_seconds() for job, at in deployment.jobs.cancelled_at.items()},
        sorted(deployment.executions.completed),
        dict(deployment.executions.start_counts),
    )
    now = deployment.clock.now().total_seconds()
    return day.RecordedSurroundings(
        now, machines, deployment.cloud.provisioned_count, deployment.cloud.provision_answers, users
    )


def _machine(deployment: SimulatedDeployment, worker: Worker) -> day.RecordedMachine:
    machine = worker.machine
    tasks = [
        day.RecordedTask(
            task.name,
            task.attempt,
            task.state,
            task.cause,
            None if task.state == "exited" else (task.timer_due_at - deployment.clock.now()).total_seconds(),
        )
        for task in worker.tasks.values()
    ]
    return day.RecordedMachine(
        machine.name,
        machine.type,
        machine.zone,
        machine.spot,
        machine.provisioned_at.total_seconds(),
        worker.incarnation,
        worker.sequence,
        worker.token,
        sorted(worker.completed),
        tasks,
    )


def main() -> None:
    deployment = run_until_recorded()
    assert deployment.network.messages.keys() == {"Ping", "Relay", "Relayed", "Forward", "Forwarded"}
    day.FIXTURES.mkdir(parents=True, exist_ok=True)
    for name, content in (
        ("store", recorded_store(deployment)),
        ("messages", deployment.network.messages),
        ("surroundings", recorded_surroundings(deployment)),
    ):
        text = msgspec.json.format(msgspec.json.encode(content), indent=1)
        (day.FIXTURES / f"{name}.json").write_bytes(text + b"\n")


if __name__ == "__main__":
    main()
