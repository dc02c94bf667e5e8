"""The platform's settings file, in JSON. Unknown fields are ignored, those that are used are checked."""

import math
from datetime import timedelta
from pathlib import Path
from typing import Annotated, TypeVar

import msgspec

from spindleglade.settings.errors import WHOLE_FILE, SettingsError

Positive = Annotated[float, msgspec.Meta(gt=0, le=1e9)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Address = Annotated[str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
MAX_PORT = 65535
MAX_IP_NUMBER = 255
# The kind of objective that limits how long tasks wait for their start.
WAIT_OBJECTIVE = "wait"


class Peer(msgspec.Struct, frozen=True):
    """Another controller of the deployment."""

    name: Name = msgspec.field(name="node")
    zone: str
    address: Address = msgspec.field(name="endpoint")


class External(msgspec.Struct, frozen=True):
    """Where the cloud and the state service are reached."""

    cloud: Address
    state: Address


class Team(msgspec.Struct, frozen=True):
    """A team's guaranteed resources, and the limits on what its tasks use at any moment."""

    name: Name
    cpus: Amount = 0.0
    cpus_max: Amount = 0.0
    gpus: Amount = 0.0
    gpus_max: Amount = 0.0

    def __post_init__(self) -> None:
        # A limit of 0 means that there is none.
        for limit in ("cpus_max", "gpus_max"):
            if getattr(self, limit) == 0:
                msgspec.structs.force_setattr(self, limit, math.inf)


class Objective(msgspec.Struct, frozen=True):
    """What the deployment is measured by."""

    kind: str
    job_class: str | None = msgspec.field(name="class", default=None)
    within_s: Amount | None = None


class WorkerTimes(msgspec.Struct, frozen=True):
    """The times of the protocol with the workers."""

    report_s: Positive
    lease_s: Positive
    cancel_s: Positive

    @property
    def heartbeat_interval(self) -> timedelta:
        """Time between two heartbeats of a worker."""
        return timedelta(seconds=self.report_s)

    @property
    def lease(self) -> timedelta:
        """For how long after its renewal a worker's lease is valid."""
        return timedelta(seconds=self.lease_s)

    @property
    def cancel(self) -> timedelta:
        """Time within which a confirmed cancellation has stopped all tasks of its job."""
        return timedelta(seconds=self.cancel_s)


# Changes in one transaction: an election needs two, and the state writer keeps one free.
Operations = Annotated[int, msgspec.Meta(ge=3)]
# Share of the largest value that new ones use: they stay well within what the state service accepts.
VALUE_SHARE = 0.9


class NextStateLimits(msgspec.Struct, frozen=True):
    """Limits that the state service will have from an unannounced time on; None: unchanged."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: Operations | None = None


Limit = TypeVar("Limit", int, float)


def _smaller(present: Limit, announced: Limit | None) -> Limit:
    return present if announced is None else min(present, announced)


class StateLimits(msgspec.Struct, frozen=True):
    """Limits of the state service: requests and writes per second, size of a value, changes at a time."""

    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: Operations
    next: NextStateLimits | None = None

    @property
    def lowest(self) -> "StateLimits":
        """Of each limit the smaller of the present and the announced one."""
        announced = self.next or NextStateLimits()
        return StateLimits(
            _smaller(self.rps, announced.rps),
            _smaller(self.write_rps, announced.write_rps),
            _smaller(self.value_kb, announced.value_kb),
            _smaller(self.txn_ops, announced.txn_ops),
        )

    @property
    def value_bytes(self) -> int:
        """How large a new value is made, under this limit and the next."""
        return int(self.lowest.value_kb * 1024 * VALUE_SHARE)

    @property
    def largest_new_value(self) -> int:
        """The size up to which a new value that cannot be made smaller is written at all."""
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
    """Limits of the cloud: requests per second, and how far its list of machines may be behind."""

    rps: Positive
    list_lag_s: Amount = 0.0


class MachineLimits(msgspec.Struct, frozen=True):
    """What the machine allows a controller."""

    sockets: Annotated[int, msgspec.Meta(ge=64)] = 1024


class Params(msgspec.Struct, frozen=True):
    """What the deployment consists of and has to keep to."""

    teams: list[Team]
    workers: WorkerTimes
    state: StateLimits
    cloud: CloudLimits
    zones: list[str] = []
    objectives: list[Objective] = []
    machine_limits: MachineLimits = MachineLimits()


class Platform(msgspec.Struct, frozen=True):
    """The whole file: one controller's place in the deployment."""

    name: Name = msgspec.field(name="node")
    zone: str
    client_listen: Address
    peer_listen: Address = msgspec.field(name="peer_bind")
    peers: list[Peer] = msgspec.field(name="siblings")
    external: External
    params: Params

    @property
    def controller_count(self) -> int:
        """All controllers of the deployment, this one included."""
        return len(self.peers) + 1

    @property
    def teams(self) -> dict[str, Team]:
        """The teams by name."""
        return {team.name: team for team in self.params.teams}

    @property
    def soonest_start(self) -> timedelta | None:
        """The shortest time within which an objective wants tasks to start."""
        limits_s = [
            objective.within_s for objective in self.params.objectives if objective.kind == WAIT_OBJECTIVE
        ]
        return min((timedelta(seconds=limit) for limit in limits_s if limit is not None), default=None)


def load_platform(file: str) -> Platform:
    """Reads and checks the platform's file. Raises SettingsError."""
    try:
        text = Path(file).read_bytes()
    except OSError as error:
        raise SettingsError(file, WHOLE_FILE, error.strerror or "cannot be read") from error
    try:
        settings = msgspec.json.decode(text, type=Platform)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SettingsError.from_decoder(file, error) from error
    _check_unique_names(file, settings)
    _check_addresses(file, settings)
    return settings


def split_address(address: str) -> tuple[str, int]:
    """Host and port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def _check_unique_names(file: str, settings: Platform) -> None:
    controllers = [settings.name] + [peer.name for peer in settings.peers]
    if len(set(controllers)) != len(controllers):
        raise SettingsError(file, "siblings", "two nodes have the same name")
    teams = [team.name for team in settings.params.teams]
    if len(set(teams)) != len(teams):
        raise SettingsError(file, "params.teams", "two teams have the same name")


def _check_addresses(file: str, settings: Platform) -> None:
    """Checks what an address's pattern does not: the ranges of its numbers."""
    for field, address in (("client_listen", settings.client_listen), ("peer_bind", settings.peer_listen)):
        host, port = split_address(address)
        if port > MAX_PORT or any(int(number) > MAX_IP_NUMBER for number in host.split(".")):
            raise SettingsError(file, field, f"not an address: {address}")
