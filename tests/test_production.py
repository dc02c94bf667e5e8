"""Tests of compatibility with the version in production, on recorded bytes of its records and messages."""

import msgspec
import pytest

from spindleglade.backfill.distributions import History
from spindleglade.fleet.messages import MachineTypeList
from spindleglade.leadership import peer_messages, term
from spindleglade.runtime.clock import seconds
from spindleglade.submissions import records
from tests import production, versions
from tests.deployment_config import description
from tests.production_writer import ProductionWriter
from tests.recorded_day import (
    LARGE_ARRAY,
    LARGE_ARRAY_TASKS,
    RECORDED,
    answers_of_all_controllers,
    read_messages,
    read_store,
    recorded_deployment,
)
from tests.simulated_deployment import SimulatedDeployment
from tests.simulation.network import SimulatedNetwork
from tests.versions import has_history

STORE = read_store()
MESSAGES = read_messages()
CURRENT_TYPES = {
    production.JOBS: records.JobRecord,
    production.TASKS: records.TaskRangeRecord,
    production.HISTORY: History,
    production.VOUCHED: list[str],
    production.TYPES: MachineTypeList,
    production.LEADER: term.LeaderRecord,
    production.TOKEN: term.TokenRecord,
}


# The current types of the messages between controllers, and production's names for them.
PRODUCTION_MESSAGES = {
    peer_messages.PeerHeartbeat: "Ping",
    peer_messages.HeartbeatRelayRequest: "Relay",
    peer_messages.HeartbeatRelayResponse: "Relayed",
    peer_messages.UserRequestForward: "Forward",
    peer_messages.UserRequestForwardResponse: "Forwarded",
}


def assert_same_message(message, old):
    """Asserts that a current message has the kind and, position by position, the values of production's."""
    assert PRODUCTION_MESSAGES[type(message)] == type(old).__name__
    values = msgspec.structs.astuple(old)
    assert msgspec.structs.astuple(message)[: len(values)] == values


def recorded_jobs(stage=None):
    """The recorded jobs by id; all of them, or those of the given stage."""
    found = {
        entry.key: production.decode_record(entry.key, entry.value)
        for entry in STORE.entries_with_prefix("sg/job/")
    }
    return {job.spec.id: job for job in found.values() if stage in (None, job.stage)}


def recorded_chunks():
    return {
        production.split_chunk_key(entry.key): production.decode_record(entry.key, entry.value)
        for entry in STORE.entries_with_prefix(production.TASKS)
    }


# The copies of production's layouts in tests/production.py fit the recorded bytes, which alone pin them.


@pytest.mark.parametrize("entry", STORE.entries, ids=lambda entry: entry.key)
def test_the_layouts_fit_the_recorded_records(entry):
    record = production.decode_record(entry.key, entry.value)
    assert production.encode_record(record).decode() == entry.value


@pytest.mark.parametrize("kind", sorted(MESSAGES))
def test_the_layouts_fit_the_recorded_messages(kind):
    message = production.decode_message(MESSAGES[kind])
    assert type(message).__name__ == kind
    assert production.encode_message(message) == MESSAGES[kind]


def test_the_recording_has_a_record_of_each_kind():
    assert {"open", "aborted", "done"} == {job.stage for job in recorded_jobs().values()}
    chunks = recorded_chunks()
    assert any(chunk.tried for chunk in chunks.values())
    large = chunks[(LARGE_ARRAY, 0)]
    assert large.done and len(large.placed) > 150
    assert recorded_jobs()[LARGE_ARRAY].chunk == 254 and LARGE_ARRAY_TASKS == 250
    aborted = recorded_jobs("aborted")
    assert any(chunk.placed for (job, _), chunk in chunks.items() if job in aborted)
    for prefix in CURRENT_TYPES:
        assert STORE.entries_with_prefix(prefix), prefix
    assert production.decode_message(MESSAGES["Ping"]).aborts


def test_chunk_keys_of_production_are_the_recorded_ones():
    for entry in STORE.entries_with_prefix(production.TASKS):
        assert production.chunk_key(*production.split_chunk_key(entry.key)) == entry.key


def layout(kind):
    """The JSON schema of a layout without its descriptions."""

    def without_descriptions(schema):
        if isinstance(schema, dict):
            return {
                name: without_descriptions(value) for name, value in schema.items() if name != "description"
            }
        return [without_descriptions(one) for one in schema] if isinstance(schema, list) else schema

    return without_descriptions(msgspec.json.schema(kind))


@pytest.mark.skipif(
    not has_history(), reason="not a git checkout: the version in production is only in its history"
)
@pytest.mark.parametrize(
    ("module", "name"),
    [
        ("submissions.records", "JobRecord"),
        ("submissions.records", "Chunk"),
        ("backfill.distributions", "History"),
        ("fleet.messages", "Types"),
        ("leadership.election", "LeaderRecord"),
        ("leadership.election", "TokenRecord"),
        ("leadership.links", "Message"),
    ],
)
def test_the_layouts_are_those_of_the_commit_in_production(module, name):
    """The recording was made by an earlier commit than the one in production, named by
    deploy/service.toml."""
    original = getattr(versions.production().module(module), name)
    assert layout(getattr(production, name)) == layout(original)


# The current version reads the recorded records and messages.


@pytest.mark.parametrize("entry", STORE.entries, ids=lambda entry: entry.key)
def test_recorded_records_are_read(entry):
    layout = next(layout for prefix, layout in CURRENT_TYPES.items() if entry.key.startswith(prefix))
    record = msgspec.json.decode(entry.value, type=layout)
    old = production.decode_record(entry.key, entry.value)
    # The current record holds all values of the old one.
    assert has_all_values_of(msgspec.to_builtins(record), msgspec.to_builtins(old))


def has_all_values_of(record, old):
    """Whether a record holds all values of production's record; it may hold additional fields."""
    if isinstance(old, dict):
        return all(name in record and has_all_values_of(record[name], old[name]) for name in old)
    if isinstance(old, list):
        return len(record) == len(old) and all(map(has_all_values_of, record, old))
    return record == old


@pytest.mark.parametrize("kind", sorted(MESSAGES))
def test_recorded_messages_are_read(kind):
    message = peer_messages.decode_message(MESSAGES[kind])
    old = production.decode_message(MESSAGES[kind])
    assert PRODUCTION_MESSAGES[type(message)] == kind
    assert_same_message(message, old)


def leader_of(deployment):
    """Runs until a leader has read all records, and returns this leader."""
    for _ in range(400):
        if deployment.leader() is not None:
            return deployment.leading_controller().leader
        deployment.run(seconds(0.05))
    raise AssertionError("no controller leads after 20 s")


@pytest.mark.parametrize("seed", range(3))
def test_a_leader_takes_over_every_placement_attempt_number_and_done(seed):
    deployment = recorded_deployment(seed, controllers=(1,))
    # No message of a machine reaches the leader before its state is compared with the records.
    machines = [worker.machine.address for worker in deployment.workers.values()]
    deployment.network.cut(deployment.controller_names[1], machines, False, seconds(3))
    jobs = leader_of(deployment).cluster.jobs
    open_jobs = recorded_jobs("open")
    for (job, number), chunk in recorded_chunks().items():
        assert job in jobs
        first = number * recorded_jobs()[job].chunk
        assert first == 0, "all recorded jobs have one chunk"
        placed = {
            index: (one.attempt, one.machine, one.incarnation) for index, one in jobs[job].placed.items()
        }
        assert placed == {
            index: (one.attempt, one.machine, one.session) for index, one in chunk.placed.items()
        }
        assert {index: jobs[job].attempts[index] for index in chunk.tried} == chunk.tried
        assert all(jobs[job].attempts[index] == one.attempt for index, one in chunk.placed.items())
        assert jobs[job].done_count == sum(last - first + 1 for first, last in chunk.done)
        if job in open_jobs:
            assert not jobs[job].cancelled
    # The leader does not load jobs that are done, and considers the aborted ones cancelled.
    assert not recorded_jobs("done").keys() & jobs.keys()
    assert all(jobs[job].cancelled for job in recorded_jobs("aborted") if job in jobs)


@pytest.mark.parametrize("seed", range(2))
def test_recorded_jobs_are_answered_by_every_controller(seed):
    deployment = recorded_deployment(seed, controllers=(0, 1, 2))
    deployment.run(seconds(3))
    done, aborted = recorded_jobs("done"), recorded_jobs("aborted")
    for (controller, job), (status, body) in answers_of_all_controllers(
        deployment, sorted(done | aborted)
    ).items():
        assert (status, body["stage"]) == (200, "done" if job in done else "aborted"), (controller, job)
        if job in done:
            assert body["done"] == done[job].spec.tasks
    open_jobs = recorded_jobs("open")
    for at, (status, _) in answers_of_all_controllers(deployment, sorted(open_jobs)).items():
        assert status == 200, at


# Production reads what the current version writes, as long as the limits have not been lowered.


class RecordingNetwork(SimulatedNetwork):
    """Records the peer messages with their encoded bytes, and the values that are written to each key."""

    def __init__(self, *args, **named):
        self.sent_messages = []
        self.written = []
        super().__init__(*args, **named)

    def as_received(self, message, receiver):
        self.sent_messages.append((message, msgspec.msgpack.encode(message)))
        return super().as_received(message, receiver)

    def serve(self, source, target, method, path, body):
        if target == "state" and path == "/txn":
            writes = msgspec.json.decode(body)["writes"]
            self.written += [(write["set"], write["v"]) for write in writes if "set" in write]
        return super().serve(source, target, method, path, body)


class RecordingDeployment(SimulatedDeployment):
    """A deployment with a `RecordingNetwork`."""

    network_type = RecordingNetwork


def run_current_version():
    """Runs the current version with an array, small jobs and, for a while, a store that refuses a
    follower."""
    deployment = RecordingDeployment(5, task_failure_rate=0.1, config=RECORDED)
    deployment.run(seconds(3))
    run_times_s = [1.0 + index % 20 for index in range(250)]
    deployment.users.submit(1, threads=250, vcpus=1.0, mem_gb=0.1, run_s=run_times_s)
    for number in range(2, 12):
        deployment.clock.later(
            seconds(number), lambda n=number: deployment.users.submit(n, crew="blue", mem_gb=0.1)
        )
        if number % 4 == 0:
            deployment.clock.later(seconds(number + 1.5), deployment.users.cancel, f"job-{number:06d}")
    deployment.run(seconds(12))
    deployment.faults.refuse_by_store(((deployment.leader() or 0) + 1) % 3, seconds(4))
    deployment.run(seconds(8))
    return deployment


COMPLETED_RUNS = []


def completed_run():
    """The deployment of one run, shared by the tests of this module, which only inspect it."""
    if not COMPLETED_RUNS:
        COMPLETED_RUNS.append(run_current_version())
    return COMPLETED_RUNS[0]


def test_what_is_written_is_read_by_production():
    written = completed_run().network.written
    for prefix in (production.JOBS, production.TASKS, production.HISTORY, production.TYPES):
        assert any(key.startswith(prefix) for key, _ in written), prefix
    for key, value in written:
        if any(key.startswith(prefix) for prefix in CURRENT_TYPES):
            production.decode_record(key, msgspec.json.encode(value))


def test_job_records_mean_the_same_to_production():
    deployment = completed_run()
    for key, value in deployment.network.written:
        if key.startswith(production.JOBS):
            record = production.decode_record(key, msgspec.json.encode(value))
            job = deployment.jobs.descriptions[record.spec.id]
            assert production.job_key(job["ref"]) == key
            spec = msgspec.json.decode(msgspec.json.encode(record.spec))
            assert spec == {name: value for name, value in job.items() if name in spec}
            assert record.chunk == 254 and record.accepted is not None


def test_chunks_stand_where_production_looks_for_them():
    deployment = completed_run()
    for key, value in deployment.network.written:
        if key.startswith(production.TASKS):
            job, number = production.split_chunk_key(key)
            assert production.chunk_key(job, number) == key and number == 0
            chunk = production.decode_record(key, msgspec.json.encode(value))
            tasks = set(chunk.placed) | set(chunk.tried) | {last for _, last in chunk.done}
            assert all(0 <= task < deployment.jobs.descriptions[job]["threads"] for task in tasks)
            assert not set(chunk.placed) & set(chunk.tried)
            machines = {one.machine for one in chunk.placed.values()}
            assert machines <= deployment.workers.keys() and all(
                one.attempt >= 1 for one in chunk.placed.values()
            )


def test_peer_messages_mean_the_same_to_production():
    sent = completed_run().network.sent_messages
    assert {PRODUCTION_MESSAGES[type(message)] for message, _ in sent} >= {"Ping", "Relay", "Relayed"}
    for message, data in sent:
        assert_same_message(message, production.decode_message(data))


# Records that production rewrites.


@pytest.mark.parametrize("stage", ["done", "aborted"])
def test_a_job_that_production_ended_is_over_at_every_controller(stage):
    """When production ends a job it drops the fields of the record that it does not know."""
    deployment = recorded_deployment(3, controllers=(0, 1, 2))
    deployment.run(seconds(4))
    body = production_job(deployment, 501)
    key = production.job_key(body["ref"])
    value, mark, lease = deployment.state.keys[key]
    # The record of a later version may have additional fields, also in the job's description.
    extended = value | {"later": [1], "spec": value["spec"] | {"awaits": ["job-000001"], "later": 1}}
    deployment.state._write([{"set": key, "v": extended}])
    deployment.run(seconds(1))
    deployment.jobs.cancel_requested.add(body["ref"])
    ProductionWriter(deployment).end_job(body["ref"], stage)
    assert (
        "later" not in deployment.state.keys[key][0] and "later" not in deployment.state.keys[key][0]["spec"]
    )
    deployment.run(seconds(1))
    for at, (status, answer) in answers_of_all_controllers(deployment, [body["ref"]]).items():
        assert (status, answer["stage"]) == (200, stage), at


def production_job(deployment, number):
    """A job accepted by production. Its task cannot start, because it requires a zone that does not exist."""
    body = description(f"job-{number:06d}", {"vcpus": 16.0, "mem_gb": 32.0, "threads": 1, "glade": "none"})
    deployment.jobs.descriptions[body["ref"]] = body
    ProductionWriter(deployment).accept(body, 254, deployment.clock.utc())
    deployment.run(seconds(1))
    return body
