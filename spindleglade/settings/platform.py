"""The file the platform hands over. Fields we do not know are ignored, those we need are checked."""

import math
import re
from datetime import timedelta
from pathlib import Path
from typing import Annotated, TypeVar

import msgspec

from spindleglade.settings.problem import SettingsError

Positive = Annotated[float, msgspec.Meta(gt=0, le=1e9)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Address = Annotated[str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]


class Peer(msgspec.Struct, frozen=True):
    name: Name = msgspec.field(name="node")
    zone: str
    address: Address = msgspec.field(name="endpoint")


class External(msgspec.Struct, frozen=True):
    cloud: Address
    state: Address


class Team(msgspec.Struct, frozen=True):
    """A team's guarantee, and what caps its tasks at any moment."""

    name: Name
    cpus: Amount = 0.0
    cpus_max: Amount = 0.0
    gpus: Amount = 0.0
    gpus_max: Amount = 0.0

    def __post_init__(self) -> None:
        # A limit of 0 means none. Taken as one that nothing fits under, it refused all that a guest sent.
        for limit in ("cpus_max", "gpus_max"):
            if getattr(self, limit) == 0:
                msgspec.structs.force_setattr(self, limit, math.inf)


class Objective(msgspec.Struct, frozen=True):
    kind: str
    job_class: str | None = msgspec.field(name="class", default=None)
    within_s: Amount | None = None


class WorkerTimes(msgspec.Struct, frozen=True):
    report_s: Positive
    lease_s: Positive
    cancel_s: Positive

    @property
    def heartbeat_interval(self) -> timedelta:
        return timedelta(seconds=self.report_s)

    @property
    def lease(self) -> timedelta:
        return timedelta(seconds=self.lease_s)

    @property
    def cancel(self) -> timedelta:
        return timedelta(seconds=self.cancel_s)


# Changes in one transaction: an election needs two, and the recorder keeps one free.
Operations = Annotated[int, msgspec.Meta(ge=3)]
# Share of a value that new ones use: they stay well within what the service takes.
VALUE_SHARE = 0.9


class NextStateLimits(msgspec.Struct, frozen=True):
    """Limits that the state service will have from some moment that is not announced; None: unchanged."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: Operations | None = None


Limit = TypeVar("Limit", int, float)


def _smaller(now: Limit, later: Limit | None) -> Limit:
    return now if later is None else min(now, later)


class StateLimits(msgspec.Struct, frozen=True):
    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: Operations
    next: NextStateLimits | None = None

    @property
    def lowest(self) -> "StateLimits":
        """The smaller of each limit and the one announced to follow it."""
        later = self.next or NextStateLimits()
        return StateLimits(
            _smaller(self.rps, later.rps),
            _smaller(self.write_rps, later.write_rps),
            _smaller(self.value_kb, later.value_kb),
            _smaller(self.txn_ops, later.txn_ops),
        )

    @property
    def value_bytes(self) -> int:
        """What may be put into a new value, under this limit and the next."""
        return int(self.lowest.value_kb * 1024 * VALUE_SHARE)

    @property
    def largest_new_value(self) -> int:
        """The size up to which a new value that nobody can make smaller is tried at all."""
        return int(self.lowest.value_kb * 1024)

    @property
    def largest_value(self) -> int:
        """The size up to which a value is written that was sized before the limits were announced to fall."""
        return int(self.value_kb * 1024)

    @property
    def operations(self) -> int:
        """Changes in one transaction, under this limit and the next."""
        return self.lowest.txn_ops


class CloudLimits(msgspec.Struct, frozen=True):
    rps: Positive
    list_lag_s: Amount = 0.0


class MachineLimits(msgspec.Struct, frozen=True):
    """What the machine allows a controller."""

    sockets: Annotated[int, msgspec.Meta(ge=64)] = 1024


class Params(msgspec.Struct, frozen=True):
    teams: list[Team]
    workers: WorkerTimes
    state: StateLimits
    cloud: CloudLimits
    zones: list[str] = []
    objectives: list[Objective] = []
    machine_limits: MachineLimits = MachineLimits()


class Platform(msgspec.Struct, frozen=True):
    name: Name = msgspec.field(name="node")
    zone: str
    client_listen: Address
    peer_listen: Address = msgspec.field(name="peer_bind")
    peers: list[Peer] = msgspec.field(name="siblings")
    external: External
    params: Params

    @property
    def controller_count(self) -> int:
        return len(self.peers) + 1

    @property
    def teams(self) -> dict[str, Team]:
        return {team.name: team for team in self.params.teams}

    @property
    def soonest_start(self) -> timedelta | None:
        """The shortest time within which an aim of the deployment wants tasks to start."""
        waits = [aim.within_s for aim in self.params.objectives if aim.kind == "wait"]
        return min((timedelta(seconds=wait) for wait in waits if wait is not None), default=None)


# msgspec says where a value is wrong as `$.params.teams[...].cpus`; operators read `params.teams[...].cpus`.
_WHERE = re.compile(r"^(?P<reason>.*?)(?: - at `\$\.?(?P<field>[^`]*)`)?$", re.DOTALL)
_MISSING = re.compile(r"^Object missing required field `(?P<name>[^`]*)`$")


def explain(error: Exception) -> tuple[str, str]:
    """MachineColumns and reason out of a decoder's message."""
    match = _WHERE.match(str(error).replace("\n", " "))
    assert match
    reason, field = match["reason"], match["field"] or ""
    missing = _MISSING.match(reason)
    if missing:
        return ".".join(part for part in (field, missing["name"]) if part), "is missing"
    return field or "(whole file)", reason


def check_platform(file: str, settings: Platform) -> None:
    names = [settings.name] + [sibling.name for sibling in settings.peers]
    if len(set(names)) != len(names):
        raise SettingsError(file, "siblings", "two nodes have the same name")
    teams = [team.name for team in settings.params.teams]
    if len(set(teams)) != len(teams):
        raise SettingsError(file, "params.teams", "two teams have the same name")
    for where, address in (("client_listen", settings.client_listen), ("peer_bind", settings.peer_listen)):
        host, port = split_address(address)
        if port > 65535 or any(int(part) > 255 for part in host.split(".")):
            raise SettingsError(file, where, f"not an address: {address}")


def split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def load_platform(file: str) -> Platform:
    try:
        raw = Path(file).read_bytes()
    except OSError as error:
        raise SettingsError(file, "(whole file)", error.strerror or "cannot be read") from None
    try:
        settings = msgspec.json.decode(raw, type=Platform)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SettingsError(file, *explain(error)) from None
    check_platform(file, settings)
    return settings
