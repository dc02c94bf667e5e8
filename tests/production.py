"""The layouts of what the version in production writes: records, keys and messages between controllers.

These are deliberate copies. They are pinned by the bytes in fixtures/production, which that version wrote,
and must not follow the code: production cannot read a record or message that these layouts cannot decode.
"""

from datetime import datetime
from typing import Annotated, Any, Literal

import msgspec

# The commit that wrote the fixtures. The commit in production, named in deploy/service.toml, is later and has
# the same layouts, which test_production.py checks.
COMMIT = "59133da"

PREFIX = "sg/"
JOBS = PREFIX + "job/"
TASKS = PREFIX + "task/"
TYPES = PREFIX + "types"
HISTORY = PREFIX + "history/"
VOUCHED = PREFIX + "vouched/"
LEADER = PREFIX + "leader"
TOKEN = PREFIX + "token"

Text = Annotated[str, msgspec.Meta(min_length=1, max_length=500)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Positive = Annotated[float, msgspec.Meta(gt=0, le=1e9)]
JobId = Annotated[str, msgspec.Meta(pattern=r"\Ajob-[0-9]{1,60}\Z")]


class Submission(msgspec.Struct, frozen=True):
    id: JobId = msgspec.field(name="ref")
    job_class: Text = msgspec.field(name="bobbin")
    team: Text = msgspec.field(name="crew")
    kind: Literal["array", "group", "standing"] = msgspec.field(name="weave")
    priority: Literal["critical", "high", "normal", "best_effort"] = msgspec.field(name="urgency")
    tasks: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = msgspec.field(name="threads")
    cpus: Positive = msgspec.field(name="vcpus")
    gpus: Amount = msgspec.field(name="accelerators")
    memory_gb: Amount = msgspec.field(name="mem_gb")
    image: Text = msgspec.field(name="pattern")
    image_gb: Amount = msgspec.field(name="size_gb")
    one_zone: bool = msgspec.field(name="together")
    spread: bool = msgspec.field(name="scatter")
    spot: bool = msgspec.field(name="windfall")
    checkpoint_s: Amount = msgspec.field(name="knot_s")
    save_s: Amount = msgspec.field(name="tie_s")
    estimate_s: Amount | None = msgspec.field(name="reckon_s", default=None)
    types: Annotated[list[Text], msgspec.Meta(max_length=50)] | None = msgspec.field(
        name="frames", default=None
    )
    zone: Text | None = msgspec.field(name="glade", default=None)
    deadline_s: Amount | None = msgspec.field(name="due_s", default=None)


class JobRecord(msgspec.Struct, frozen=True):
    stage: Literal["open", "aborted", "done"]
    spec: Submission
    chunk: int
    accepted: datetime | None = None


class Placement(msgspec.Struct, frozen=True, array_like=True):
    attempt: int
    machine: str
    session: int


class Chunk(msgspec.Struct, omit_defaults=True):
    done: list[tuple[int, int]] = []
    placed: dict[int, Placement] = {}
    tried: dict[int, int] = {}


class History(msgspec.Struct):
    counts: list[int] = []
    longest_s: float = 0.0


class MachineType(msgspec.Struct, frozen=True):
    name: str
    cpus: float = msgspec.field(name="vcpus")
    memory_gb: float = msgspec.field(name="mem_gb")
    price: float = msgspec.field(name="rate")
    spot_price: float
    boot_s: float = msgspec.field(name="ready_s")
    cache_gb: float = msgspec.field(name="local_gb")
    pull_gb_per_s: float
    gpus: float = msgspec.field(name="accelerators", default=0.0)
    zones: list[str] = msgspec.field(name="glades", default_factory=list)


class Types(msgspec.Struct, frozen=True):
    types: list[MachineType] = msgspec.field(name="frames")


class LeaderRecord(msgspec.Struct, frozen=True):
    node: str
    token: int


class TokenRecord(msgspec.Struct, frozen=True):
    token: int


class Ping(msgspec.Struct, tag="ping", array_like=True):
    node: str
    token: int
    leads: bool
    unconfirmed_ms: int | None
    workers: int = 0
    process: str = ""
    turn: int = 0
    aborts: list[tuple[str, int]] | None = None


class Relay(msgspec.Struct, tag="relay", array_like=True):
    number: int
    reports: list[bytes]


class Relayed(msgspec.Struct, tag="relayed", array_like=True):
    number: int
    answers: list[bytes] | None


class Forward(msgspec.Struct, tag="forward", array_like=True):
    number: int
    method: str
    path: str
    body: bytes


class Forwarded(msgspec.Struct, tag="forwarded", array_like=True):
    number: int
    status: int
    retry_after: int | None
    body: bytes


Message = Ping | Relay | Relayed | Forward | Forwarded


def record_type(key: str) -> Any:
    """The layout of the value under a key."""
    prefixes = {JOBS: JobRecord, TASKS: Chunk, HISTORY: History, VOUCHED: list[str]}
    singles = {TYPES: Types, LEADER: LeaderRecord, TOKEN: TokenRecord}
    if key in singles:
        return singles[key]
    return next(layout for prefix, layout in prefixes.items() if key.startswith(prefix))


def decode_record(key: str, value: bytes | str) -> Any:
    """Decodes the value of a key. Raises msgspec.DecodeError if production could not read it."""
    return msgspec.json.decode(value, type=record_type(key))


def encode_record(record: Any) -> bytes:
    return msgspec.json.encode(record)


def decode_message(data: bytes) -> Message:
    return msgspec.msgpack.decode(data, type=Message)


def encode_message(message: Message) -> bytes:
    return msgspec.msgpack.encode(message)


def job_key(job: str) -> str:
    return JOBS + job


def chunk_key(job: str, chunk: int) -> str:
    return f"{TASKS}{job}/{chunk:06d}"


def split_chunk_key(key: str) -> tuple[str, int]:
    job, _, chunk = key[len(TASKS) :].rpartition("/")
    return job, int(chunk)
