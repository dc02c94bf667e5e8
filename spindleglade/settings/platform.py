"""The platform's settings, a JSON file. Unknown fields are ignored; known fields are validated."""

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
MAX_OCTET = 255
# Kind of the objectives that limit how long tasks wait for their start.
WAIT_OBJECTIVE = "wait"


class Peer(msgspec.Struct, frozen=True):
    """Another controller of the deployment."""

    name: Name = msgspec.field(name="node")
    zone: str
    address: Address = msgspec.field(name="endpoint")


class ServiceAddresses(msgspec.Struct, frozen=True):
    """Addresses of the cloud and the state service."""

    cloud: Address
    state: Address


class Team(msgspec.Struct, frozen=True):
    """A team's guaranteed CPUs and GPUs, and the limits on what its tasks use at the same time."""

    name: Name
    cpus: Amount = 0.0
    cpus_max: Amount = 0.0
    gpus: Amount = 0.0
    gpus_max: Amount = 0.0

    def __post_init__(self) -> None:
        # In the file a limit of 0 means that there is no limit.
        for limit in ("cpus_max", "gpus_max"):
            if getattr(self, limit) == 0:
                msgspec.structs.force_setattr(self, limit, math.inf)


class Objective(msgspec.Struct, frozen=True):
    """A service-level objective of the deployment; `within_s` is its time limit in seconds, if it has one."""

    kind: str
    job_class: str | None = msgspec.field(name="class", default=None)
    within_s: Amount | None = None


class WorkerTimes(msgspec.Struct, frozen=True):
    """Intervals and time limits of the protocol with the workers, in seconds."""

    report_s: Positive
    lease_s: Positive
    cancel_s: Positive

    @property
    def heartbeat_interval(self) -> timedelta:
        """The interval between two heartbeats of a worker."""
        return timedelta(seconds=self.report_s)

    @property
    def lease(self) -> timedelta:
        """How long a worker's lease is valid after its renewal."""
        return timedelta(seconds=self.lease_s)

    @property
    def cancellation_time(self) -> timedelta:
        """The time within which all tasks of a job must have stopped after its cancellation was confirmed."""
        return timedelta(seconds=self.cancel_s)


# Maximum number of changes in one transaction. At least 3: an election makes two changes, and the state
# writer leaves one unused.
TransactionOperations = Annotated[int, msgspec.Meta(ge=3)]
# New values use at most this share of the maximum value size, as a margin to what the state service accepts.
NEW_VALUE_SHARE = 0.9


class NextStateLimits(msgspec.Struct, frozen=True):
    """Announced limits of the state service, which will apply from a time not known in advance.

    None means that a limit does not change.
    """

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: TransactionOperations | None = None


Limit = TypeVar("Limit", int, float)


def _lower_limit(current: Limit, announced: Limit | None) -> Limit:
    return current if announced is None else min(current, announced)


class StateLimits(msgspec.Struct, frozen=True):
    """Limits of the state service.

    `rps` and `write_rps` are requests and writes per second, `value_kb` is the size of a value in KiB, and
    `txn_ops` is the number of changes in one transaction. `next` holds announced limits, if there are any.
    """

    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: TransactionOperations
    next: NextStateLimits | None = None

    @property
    def lowest(self) -> "StateLimits":
        """These limits with the lower of the current and the announced value for each."""
        announced = self.next or NextStateLimits()
        return StateLimits(
            _lower_limit(self.rps, announced.rps),
            _lower_limit(self.write_rps, announced.write_rps),
            _lower_limit(self.value_kb, announced.value_kb),
            _lower_limit(self.txn_ops, announced.txn_ops),
        )

    @property
    def new_value_bytes(self) -> int:
        """Size in bytes up to which new values are filled, under the current and the announced limit."""
        return int(self.lowest.value_kb * 1024 * NEW_VALUE_SHARE)

    @property
    def max_new_value_bytes(self) -> int:
        """Size in bytes up to which a new value that cannot be made smaller is still written."""
        return int(self.lowest.value_kb * 1024)

    @property
    def max_value_bytes(self) -> int:
        """Maximum size in bytes of a value that was sized before lower limits were announced."""
        return int(self.value_kb * 1024)

    @property
    def max_transaction_changes(self) -> int:
        """Maximum number of changes in one transaction, under the current and the announced limit."""
        return self.lowest.txn_ops


class CloudLimits(msgspec.Struct, frozen=True):
    """Limits of the cloud: requests per second, and by how many seconds its list of machines may lag."""

    rps: Positive
    list_lag_s: Amount = 0.0


class MachineLimits(msgspec.Struct, frozen=True):
    """Limits of the machine that a controller runs on: the number of sockets it may have open."""

    sockets: Annotated[int, msgspec.Meta(ge=64)] = 1024


class Params(msgspec.Struct, frozen=True):
    """Teams, zones, objectives, protocol times and limits of the deployment."""

    teams: list[Team]
    workers: WorkerTimes
    state: StateLimits
    cloud: CloudLimits
    zones: list[str] = []
    objectives: list[Objective] = []
    machine_limits: MachineLimits = MachineLimits()


class Platform(msgspec.Struct, frozen=True):
    """The whole file: the controller's name and addresses, its peers and the deployment's parameters."""

    name: Name = msgspec.field(name="node")
    zone: str
    client_listen: Address
    peer_listen: Address = msgspec.field(name="peer_bind")
    peers: list[Peer] = msgspec.field(name="siblings")
    external: ServiceAddresses
    params: Params

    @property
    def controller_count(self) -> int:
        """The number of controllers in the deployment, including this one."""
        return len(self.peers) + 1

    @property
    def teams(self) -> dict[str, Team]:
        """The teams by name."""
        return {team.name: team for team in self.params.teams}

    @property
    def min_start_objective(self) -> timedelta | None:
        """The shortest time within which an objective requires tasks to start; None if none requires that."""
        max_waits_s = [
            objective.within_s for objective in self.params.objectives if objective.kind == WAIT_OBJECTIVE
        ]
        return min(
            (timedelta(seconds=max_wait_s) for max_wait_s in max_waits_s if max_wait_s is not None),
            default=None,
        )


def load_platform(file: str) -> Platform:
    """Reads and validates the platform's file. Raises SettingsError."""
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
    """Splits an address into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def _check_unique_names(file: str, settings: Platform) -> None:
    controller_names = [settings.name] + [peer.name for peer in settings.peers]
    if len(set(controller_names)) != len(controller_names):
        raise SettingsError(file, "siblings", f"two nodes have the same name: {controller_names}")
    team_names = [team.name for team in settings.params.teams]
    if len(set(team_names)) != len(team_names):
        raise SettingsError(file, "params.teams", f"two teams have the same name: {team_names}")


def _check_addresses(file: str, settings: Platform) -> None:
    """Checks the ranges of the octets and ports of the controller's own addresses.

    The pattern of Address checks only their number of digits.
    """
    for field, address in (("client_listen", settings.client_listen), ("peer_bind", settings.peer_listen)):
        host, port = split_address(address)
        if port > MAX_PORT or any(int(octet) > MAX_OCTET for octet in host.split(".")):
            raise SettingsError(
                file, field, f"{address} is not an IPv4 address with a port of at most {MAX_PORT}"
            )
