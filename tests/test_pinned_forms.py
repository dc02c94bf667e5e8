"""Pins the external forms of the program: messages, keys, stored records, settings and command line.

`pinned_forms.json` holds these forms and must never be generated again: any difference from it is a change on
the wire or in stored data, which other versions, users, workers, the cloud and the state service would
notice. A deliberate change edits a single entry by hand.

Stable labels connect a pinned form to the Python object that has it. Renaming Python identifiers changes only
the imports and the tables in the first part of this file, and never a label, the data file or a test.
"""

import argparse
import importlib
import json
import pkgutil
from collections.abc import Awaitable, Callable
from datetime import timedelta
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import msgspec.inspect
import pytest
from twisted.internet.defer import ensureDeferred

import spindleglade
from spindleglade import cli
from spindleglade.backfill.distributions import History
from spindleglade.fleet import messages as cloud
from spindleglade.fleet.client import CloudClient
from spindleglade.fleet.machine_types import MORE_MACHINE_TYPES_KEY_PREFIX
from spindleglade.http.client import ClientResponse
from spindleglade.http.server import HEARTBEAT_PATH, HttpResponse
from spindleglade.leadership import peer_messages, term
from spindleglade.runtime.clock import ZERO, ManualClock
from spindleglade.settings import operator, platform
from spindleglade.settings.errors import SettingsError
from spindleglade.store import messages as store
from spindleglade.store.client import StateClient
from spindleglade.store.replica import Replica
from spindleglade.submissions import messages as users
from spindleglade.submissions import records, views
from spindleglade.submissions.acceptance import acceptance_writes
from spindleglade.submissions.api import UserApi
from spindleglade.submissions.job_view import JobView
from spindleglade.submissions.schedulability import MachineShape
from spindleglade.submissions.task_ranges import TaskRanges
from spindleglade.workers import messages as workers
from spindleglade.workers.api import LeaderAccess, WorkerApi
from spindleglade.workers.cancellation_freshness import CancellationFreshness
from spindleglade.workers.heartbeat_balancer import ControllerLoad, HeartbeatBalancer
from spindleglade.workers.isolation_detector import IsolationDetector


class Form(NamedTuple):
    """A struct and its codec. A message that is only encoded may contain types that cannot be decoded."""

    type: type[msgspec.Struct]
    codec: Any = msgspec.json
    encode_only: bool = False


FORMS: dict[str, Form] = {
    "users: submission": Form(users.Submission),
    "users: dependencies of a submission": Form(users._Dependencies),
    "users: name in a submission": Form(users._JobReference),
    "users: job answer": Form(users.JobResponse),
    "users: state answer": Form(users.JobStatusResponse),
    "workers: task in a report": Form(workers.TaskStatus),
    "workers: report": Form(workers.Heartbeat),
    "workers: order": Form(workers.Command),
    "workers: answer to a report": Form(workers.HeartbeatResponse),
    "workers: orders sent": Form(workers.CommandBatch),
    "cloud: machine type": Form(cloud.MachineType),
    "cloud: machine types": Form(cloud.MachineTypeList),
    "cloud: request of machines": Form(cloud.ProvisionRequest),
    "cloud: machines given": Form(cloud.ProvisionResponse),
    "cloud: machines given back": Form(cloud.TerminateRequest),
    "cloud: machine in a list": Form(cloud.ListedMachine),
    "cloud: page of machines": Form(cloud.MachinePage),
    "store: entry": Form(store.Entry),
    "store: change": Form(store.Change),
    "store: page of entries": Form(store.ListResponse),
    "store: watch answer": Form(store.WatchResponse),
    "store: revision": Form(store.CommitResponse),
    "store: conflict": Form(store.ConflictResponse),
    "store: lease": Form(store.LeaseResponse),
    "store: condition": Form(store.Condition),
    "store: put": Form(store.Put),
    "store: delete": Form(store.Delete),
    "store: transaction": Form(store.TransactionRequest, encode_only=True),
    "store: lease request": Form(store.LeaseRequest),
    "controllers: ping": Form(peer_messages.PeerHeartbeat, msgspec.msgpack),
    "controllers: relay": Form(peer_messages.HeartbeatRelayRequest, msgspec.msgpack),
    "controllers: relayed": Form(peer_messages.HeartbeatRelayResponse, msgspec.msgpack),
    "controllers: forward": Form(peer_messages.UserRequestForward, msgspec.msgpack),
    "controllers: forwarded": Form(peer_messages.UserRequestForwardResponse, msgspec.msgpack),
    "records: leader": Form(term.LeaderRecord),
    "records: token": Form(term.TokenRecord),
    "records: job": Form(records.JobRecord),
    "records: placement": Form(records.StoredAttempt),
    "records: chunk": Form(records.TaskRangeRecord),
    "records: history": Form(History),
    "platform: sibling": Form(platform.Peer),
    "platform: external": Form(platform.ServiceAddresses),
    "platform: team": Form(platform.Team),
    "platform: objective": Form(platform.Objective),
    "platform: workers": Form(platform.WorkerTimes),
    "platform: next state limits": Form(platform.NextStateLimits),
    "platform: state limits": Form(platform.StateLimits),
    "platform: cloud limits": Form(platform.CloudLimits),
    "platform: machine limits": Form(platform.MachineLimits),
    "platform: params": Form(platform.Params),
    "platform: whole file": Form(platform.Platform),
    "operator: backfill": Form(operator.BackfillSettings),
    "operator: workers": Form(operator.WorkerSettings),
    "operator: fleet": Form(operator.FleetSettings),
    "operator: store": Form(operator.StoreSettings),
    "operator: leadership": Form(operator.LeadershipSettings),
    "operator: log": Form(operator.LogSettings),
    "operator: whole file": Form(operator.OperatorSettings),
}

# Structs that never leave the process.
INTERNAL: list[type[msgspec.Struct]] = [MachineShape, JobView, term.Term]

TASK_RANGES = TaskRanges(100, 250, [120, 210])

KEYS: dict[str, Any] = {
    "prefix": records.KEY_PREFIX,
    "jobs": records.JOB_KEY_PREFIX,
    "tasks": records.TASK_RANGE_KEY_PREFIX,
    "parts": records.OVERFLOW_RANGE_KEY_PREFIX,
    "dependencies": records.DEPENDENCY_KEY_PREFIX,
    "history": records.HISTORY_KEY_PREFIX,
    "vouched": records.LEASE_RENEWAL_KEY_PREFIX,
    "types": records.MACHINE_TYPES_KEY,
    "more types": MORE_MACHINE_TYPES_KEY_PREFIX,
    "leader": term.LEADER_KEY,
    "token": term.TOKEN_KEY,
    "job key": records.job_key("job-17"),
    "chunk key": records.range_key("job-17", 42),
    "part key": records.overflow_range_key("job-17", 345),
    "dependency key": records.dependency_key("job-17", 6),
    "chunk key read": records.split_range_key("sg/task/job-17/000042"),
    "part key read": records.split_overflow_range_key("sg/part/job-17/000345"),
    "dependency key read": records.split_dependency_key("sg/dependencies/job-17/000006"),
    "keys of a job with parts": TASK_RANGES.keys("job-17"),
    "tasks in a chunk at 1, 4 and 64 KiB": [records.tasks_per_range(size) for size in (1024, 4096, 65536)],
    "task name": workers.task_name("job-17", 42),
    "task name read": workers.split_task("job-17/42"),
}

# Messages sent as arrays have no field names on the wire. Maps a field's present name to its pinned name.
ARRAY_FIELDS: dict[str, dict[str, str]] = {
    "records: placement": {"incarnation": "session"},
    "controllers: ping": {
        "controller": "node",
        "replica_age_ms": "unconfirmed_ms",
        "revision": "turn",
        "cancellations": "aborts",
    },
    "controllers: relay": {"request_id": "number", "heartbeats": "reports"},
    "controllers: relayed": {"request_id": "number", "responses": "answers"},
    "controllers: forward": {"request_id": "number"},
    "controllers: forwarded": {"request_id": "number"},
}

LIMITS = platform.StateLimits(1000.0, 1000.0, 16.0, 12)
SMALL_VALUES = platform.StateLimits(1000.0, 1000.0, 0.5, 12)


class RecordingRequester:
    """Records the requests and returns the given answers one after another."""

    def __init__(self, answers: list[str]) -> None:
        self.answers = answers
        self.requests: list[list[str | None]] = []

    async def request(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes | None = None,
        timeout: timedelta | None = None,
    ) -> ClientResponse:
        self.requests.append([method, address, path, None if body is None else body.decode()])
        return ClientResponse(200, self.answers.pop(0).encode())


def state_client(requester: RecordingRequester) -> StateClient:
    return StateClient(requester, "10.0.0.1:700", ManualClock(), LIMITS, 1, timedelta(seconds=1))


def cloud_client(requester: RecordingRequester) -> CloudClient:
    return CloudClient(requester, "10.0.0.2:800", ManualClock(), 1000.0, timedelta(seconds=1))


def transaction(requester: RecordingRequester) -> Awaitable[Any]:
    conditions = [store.Condition("sg/a", 3)]
    writes = [
        store.Put("sg/b", store.encode_value({"x": 1}), 9),
        store.Put("sg/c", store.encode_value([2])),
        store.Delete("sg/d"),
    ]
    return state_client(requester).compare_and_swap(conditions, writes, True)


ONE_SECOND = timedelta(seconds=1)
PROVISION_REQUEST = cloud.ProvisionRequest("ask-1", "small", "north", True, 4)
Call = Callable[[RecordingRequester], Awaitable[Any]]

# The calls that send requests to the state service and the cloud.
REQUESTS: dict[str, Call] = {
    "store: read a key": lambda requester: state_client(requester).get("sg/leader"),
    "store: read all keys": lambda requester: state_client(requester).read_all("sg/"),
    "store: transaction": transaction,
    "store: grant a lease": lambda requester: state_client(requester).grant_lease(timedelta(seconds=4.5)),
    "store: renew a lease": lambda requester: state_client(requester).keep_alive(9),
    "store: drop a lease": lambda requester: state_client(requester).revoke_lease(9),
    "store: watch": lambda requester: state_client(requester).watch("sg/", 17, ONE_SECOND),
    "cloud: machine types": lambda requester: cloud_client(requester).list_machine_types(),
    "cloud: rent": lambda requester: cloud_client(requester).provision(PROVISION_REQUEST, lambda: True),
    "cloud: release": lambda requester: cloud_client(requester).terminate(["n-1", "n-2"], lambda: True),
    "cloud: list machines": lambda requester: cloud_client(requester).list_machines(),
}


async def no_peer(*_: Any) -> None:
    """Forwards nothing, because there is no peer."""


def user_api() -> UserApi:
    """An interface whose only job was cancelled."""
    client = state_client(RecordingRequester([]))
    known = views.JobViews()
    known.on_change(records.job_key("job-17"), pinned("messages", "records: job")["full"].encode(), 5)
    replica = Replica(client, ManualClock(), records.KEY_PREFIX, ONE_SECOND, ONE_SECOND)
    return UserApi(client, replica, known, {}, lambda: None, no_peer, ManualClock().utc)


def worker_api(lead: bool, overloaded: bool = False) -> WorkerApi:
    clock = ManualClock()
    balancer = HeartbeatBalancer(clock, ONE_SECOND, 1, ZERO)
    if overloaded:
        balancer.rebalance(ControllerLoad("node-1", 100, False), [ControllerLoad("node-2", 0, False)])
    answer = message("workers: answer to a report", pinned("messages", "workers: answer to a report")["full"])
    return WorkerApi(
        clock,
        views.JobViews(),
        CancellationFreshness(clock, ONE_SECOND, lambda: None),
        LeaderAccess(lambda report: answer, lambda: lead, no_peer),
        lambda token: None,
        balancer,
        IsolationDetector(clock, "north", ONE_SECOND, lambda: None),
    )


def ask_user_api(method: str, path: str, body: str) -> Awaitable[HttpResponse]:
    return user_api().handle(method, path, body.encode())


def ask_leader(method: str, path: str, body: str) -> Awaitable[HttpResponse]:
    return worker_api(lead=True).handle(method, path, body.encode())


def ask_follower(method: str, path: str, body: str) -> Awaitable[HttpResponse]:
    return worker_api(lead=False).handle(method, path, body.encode())


def ask_overloaded(method: str, path: str, body: str) -> Awaitable[HttpResponse]:
    return worker_api(lead=True, overloaded=True).handle(method, path, body.encode())


# The handlers of the pinned requests.
HANDLERS: dict[str, Callable[[str, str, str], Awaitable[HttpResponse]]] = {
    "users": ask_user_api,
    "workers of the leader": ask_leader,
    "workers of a follower alone": ask_follower,
    "workers of a crowded controller": ask_overloaded,
}


def job_acceptance(limits: platform.StateLimits) -> list[str]:
    record = message("records: job", pinned("messages", "records: job")["full"])
    return [json_text(write) for write in acceptance_writes(record, limits)]


ACCEPTANCES: dict[str, platform.StateLimits] = {
    "dependencies in the record": LIMITS,
    "dependencies in keys of their own": SMALL_VALUES,
}


def load_operator_text(text: str) -> operator.OperatorSettings:
    return operator.parse_operator("settings.hcl", text)


def main(arguments: list[str]) -> int:
    return cli.main(arguments)


def command_line() -> argparse.ArgumentParser:
    return cli.parser()


def refuse_log_level() -> None:
    cli.set_up_logging(operator.OperatorSettings(), "node-1")


# The code below does not use Python identifiers of the package.

PINS: dict[str, dict[str, Any]] = json.loads(Path(__file__).with_name("pinned_forms.json").read_text())


def pinned(section: str, label: str) -> Any:
    return PINS[section][label]


def json_text(value: Any) -> str:
    return msgspec.json.encode(value).decode()


def encoded(label: str, value: Any) -> str:
    """A message in its pinned form: JSON as text, msgpack in hexadecimal digits."""
    form = FORMS[label]
    data: bytes = form.codec.encode(value)
    return data.hex() if form.codec is msgspec.msgpack else data.decode()


def message(label: str, text: str) -> Any:
    """Decodes a pinned text into a message, using only the names on the wire."""
    form = FORMS[label]
    if form.encode_only:
        values = msgspec.json.decode(text, type=dict[str, msgspec.Raw])
        return form.type(*values.values())
    data = bytes.fromhex(text) if form.codec is msgspec.msgpack else text.encode()
    return form.codec.decode(data, type=form.type)


def describe_config(kind: type[msgspec.Struct]) -> dict[str, Any]:
    config = kind.__struct_config__
    return {
        "array_like": config.array_like,
        "tag": config.tag,
        "tag_field": config.tag_field,
        "omit_defaults": config.omit_defaults,
        "forbid_unknown_fields": config.forbid_unknown_fields,
    }


def default_text(field: msgspec.structs.FieldInfo) -> str | None:
    """The default value of a field in JSON; None if the field is required."""
    if field.required:
        return None
    if field.default_factory is not msgspec.NODEFAULT:
        return json_text(field.default_factory())
    return json_text(field.default)


def describe_fields(label: str) -> list[dict[str, Any]]:
    renamed = ARRAY_FIELDS.get(label, {})
    return [
        {
            "name": renamed.get(field.encode_name, field.encode_name),
            "required": field.required,
            "default": default_text(field),
        }
        for field in msgspec.structs.fields(FORMS[label].type)
    ]


LABELS: dict[type[msgspec.Struct], str] = {form.type: label for label, form in FORMS.items()}


def describe_type(info: Any) -> Any:
    """Describes the values that a type accepts, with all constraints. Structs appear as their labels."""
    if isinstance(info, msgspec.inspect.StructType):
        return LABELS[info.cls]
    if isinstance(info, msgspec.inspect.EnumType):
        # The pins describe an enumeration as a literal type with the same values.
        return {"kind": "LiteralType", "values": sorted(member.value for member in info.cls)}
    if isinstance(info, msgspec.inspect.Type):
        parts = {name: describe_type(getattr(info, name)) for name in info.__struct_fields__}
        limits = {name: part for name, part in parts.items() if part is not None}
        return {"kind": type(info).__name__, **limits}
    if isinstance(info, (list, tuple)):
        return [describe_type(part) for part in info]
    return info


def describe_types(label: str) -> list[Any]:
    """Describes the values that each field accepts, in order; empty for a message that is never decoded."""
    if FORMS[label].encode_only:
        return []
    info = msgspec.inspect.type_info(FORMS[label].type)
    assert isinstance(info, msgspec.inspect.StructType)
    return [describe_type(field.type) for field in info.fields]


def describe_action(action: argparse.Action) -> dict[str, Any]:
    return {
        "options": list(action.option_strings),
        "metavar": action.metavar,
        "required": action.required,
        "nargs": action.nargs,
        "choices": None if action.choices is None else list(action.choices),
    }


def describe_parser(parser: argparse.ArgumentParser) -> dict[str, Any]:
    commands: dict[str, Any] = {}
    for action in parser._actions:
        if isinstance(action, argparse._SubParsersAction):
            commands = {name: describe_parser(command) for name, command in action.choices.items()}
    return {
        "program": parser.prog,
        "arguments": [describe_action(action) for action in parser._actions],
        "commands": commands,
    }


def result_of(work: Awaitable[Any]) -> Any:
    """The result of a coroutine that finishes without waiting."""
    results: list[Any] = []
    ensureDeferred(work).addBoth(results.append)
    (result,) = results
    if hasattr(result, "raiseException"):
        result.raiseException()
    return result


def package_structs() -> set[type[msgspec.Struct]]:
    """All structs that are defined anywhere in the modules of the package."""
    package = spindleglade.__name__ + "."
    for module in pkgutil.walk_packages(spindleglade.__path__, package):
        if not module.name.rpartition(".")[2].startswith("test_"):
            importlib.import_module(module.name)
    found: set[type[msgspec.Struct]] = set()
    pending = [msgspec.Struct]
    while pending:
        kinds = pending.pop().__subclasses__()
        pending.extend(kinds)
        found.update(kind for kind in kinds if kind.__module__.startswith(package))
    return found


@pytest.mark.parametrize(
    ("section", "labels"),
    [("messages", FORMS), ("keys", KEYS), ("requests", REQUESTS), ("acceptances", ACCEPTANCES)],
)
def test_every_label_has_a_pin_and_every_pin_a_label(section: str, labels: dict[str, Any]) -> None:
    assert set(PINS[section]) == set(labels)


def test_all_who_answer_are_pinned() -> None:
    assert {pin["by"] for pin in PINS["answers"].values()} == set(HANDLERS)


def test_every_struct_of_the_package_is_pinned_or_known_as_internal() -> None:
    pinned_types = [form.type for form in FORMS.values()]
    assert len(set(pinned_types)) == len(pinned_types)
    assert not set(pinned_types) & set(INTERNAL)
    assert package_structs() == set(pinned_types) | set(INTERNAL)


@pytest.mark.parametrize("label", PINS["messages"])
def test_message_with_all_fields_keeps_its_bytes(label: str) -> None:
    pin = pinned("messages", label)
    assert encoded(label, message(label, pin["full"])) == pin["full"]


@pytest.mark.parametrize("label", PINS["messages"])
def test_message_without_optional_fields_keeps_its_bytes(label: str) -> None:
    pin = pinned("messages", label)
    assert encoded(label, message(label, pin["least read"])) == pin["least written"]


@pytest.mark.parametrize("label", PINS["messages"])
def test_message_keeps_names_order_and_defaults_of_its_fields(label: str) -> None:
    assert describe_fields(label) == pinned("messages", label)["fields"]


def test_only_messages_sent_as_arrays_have_other_names_than_their_pins() -> None:
    assert all(FORMS[label].type.__struct_config__.array_like for label in ARRAY_FIELDS)


@pytest.mark.parametrize("label", PINS["messages"])
def test_message_keeps_the_way_it_is_encoded(label: str) -> None:
    assert describe_config(FORMS[label].type) == pinned("messages", label)["config"]


@pytest.mark.parametrize("label", PINS["messages"])
def test_message_keeps_what_its_fields_accept(label: str) -> None:
    assert describe_types(label) == pinned("messages", label)["types"]


@pytest.mark.parametrize("label", [label for label in FORMS if label.startswith("controllers: ")])
def test_controllers_tell_their_messages_apart(label: str) -> None:
    data = bytes.fromhex(pinned("messages", label)["full"])
    assert type(peer_messages.decode_message(data)) is FORMS[label].type


@pytest.mark.parametrize("label", PINS["keys"])
def test_key_in_the_state_service_is_unchanged(label: str) -> None:
    assert json.loads(json_text(KEYS[label])) == pinned("keys", label)


@pytest.mark.parametrize("label", PINS["acceptances"])
def test_acceptance_of_a_job_writes_the_same(label: str) -> None:
    assert job_acceptance(ACCEPTANCES[label]) == pinned("acceptances", label)


@pytest.mark.parametrize("label", PINS["requests"])
def test_request_is_unchanged(label: str) -> None:
    pin = pinned("requests", label)
    requester = RecordingRequester(list(pin["answers"]))
    result_of(REQUESTS[label](requester))
    assert requester.requests == pin["requests"]
    assert requester.answers == []


@pytest.mark.parametrize("label", PINS["answers"])
def test_answer_is_unchanged(label: str) -> None:
    pin = pinned("answers", label)
    answer = result_of(HANDLERS[pin["by"]](*pin["request"]))
    assert [answer.status, answer.body.decode(), answer.retry_after] == pin["answer"]


def test_path_of_reports_is_unchanged() -> None:
    assert pinned("paths", "report") == HEARTBEAT_PATH.decode()


def test_operator_defaults_are_unchanged() -> None:
    assert json_text(load_operator_text("")) == pinned("operator settings", "defaults")


def test_operator_file_is_read_as_before() -> None:
    settings = load_operator_text(pinned("operator settings", "file"))
    assert json_text(settings) == pinned("operator settings", "values")


def test_subcommands_and_options_are_unchanged() -> None:
    assert describe_parser(command_line()) == PINS["command line"]


@pytest.mark.parametrize("label", PINS["bad command lines"])
def test_bad_command_line_exits_as_before(label: str, capsys: pytest.CaptureFixture[str]) -> None:
    pin = pinned("bad command lines", label)
    with pytest.raises(SystemExit) as exited:
        main(pin["arguments"])
    assert (exited.value.code, capsys.readouterr().err) == (pin["status"], pin["error"])


@pytest.mark.parametrize("label", PINS["bad settings"])
def test_bad_settings_are_told_as_before(label: str, capsys: pytest.CaptureFixture[str]) -> None:
    pin = pinned("bad settings", label)
    assert (main(pin["arguments"]), capsys.readouterr().err) == (pin["status"], pin["error"])


def test_bad_log_level_is_told_as_before(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("LOG_LEVEL", "loud")
    with pytest.raises(SettingsError) as raised:
        refuse_log_level()
    assert str(raised.value) == pinned("errors", "log level")
