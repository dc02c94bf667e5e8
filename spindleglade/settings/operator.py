"""The operators' own settings, in HCL. Every field has a default; unknown fields are errors.

backfill {
  tau = 0.05
}
fleet {
  idle_s = 20
}
"""

from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from spindleglade.settings.errors import WHOLE_FILE, SettingsError

Seconds = Annotated[float, msgspec.Meta(gt=0, le=86400)]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
# Keys that the HCL parser adds by itself begin with this.
PARSER_KEY_PREFIX = "__"


class BackfillSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Planning: which waiting jobs start before the one that has a reservation."""

    # Probability of delaying the reserved job below which another may start before it (paper, section 5).
    tau: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.05
    # Growth factor of the run-time bins (paper, section 3) and the upper end of the first one.
    bin_factor: Annotated[float, msgspec.Meta(gt=1, le=10)] = 1.8
    first_bin_s: Seconds = 1.0
    # Runs that a team needs before its distribution replaces its estimates, and how many are kept.
    history_runs: Count = 200
    history_kept: Count = 2000
    # "distributions" is the design; "estimates" is plain EASY, kept for comparison.
    predictor: Literal["distributions", "estimates"] = "distributions"
    # For whom running tasks are preempted: nobody; higher priorities, but only tasks that save their work and
    # best-effort ones; teams that claim their guarantee; or both teams and higher priorities, any task.
    preempt: Literal["none", "saving", "guarantees", "all"] = "saving"
    # How long a job may go without a start before it is overdue: some of its tasks start before all others,
    # and capacity is reserved for them. Well under the four minutes within which even the largest must begin.
    overdue_after_s: Seconds = msgspec.field(name="overdue_s", default=120.0)
    # Shortest time between two planning passes.
    planning_interval_s: Seconds = msgspec.field(name="round_s", default=0.1)


class WorkerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Heartbeats, leases and commands of the workers, and tasks that fail."""

    # How long after the end of its lease a silent machine is given up.
    silence_margin_s: Seconds = 1.0
    # Heartbeats that a machine which does not respond either must have missed to be given up earlier.
    missed_heartbeats: Seconds = msgspec.field(name="silent_reports", default=3.5)
    # Margin between the end of the last lease that a controller renews on old knowledge of cancellations and
    # the time within which a cancellation takes effect.
    cancel_margin_s: Seconds = 3.0
    # Timeout of a command sent straight to a machine.
    command_timeout_s: Seconds = msgspec.field(name="order_timeout_s", default=2.0)
    # Timeout of a relayed heartbeat, after which a follower may renew the lease without the leader.
    relay_timeout_s: Seconds = 1.0
    # For how long a follower gathers heartbeats before it relays them.
    relay_window_s: Seconds = 0.02
    # Jobs that must have failed on a machine before it is terminated as faulty.
    quarantine_after_failed_jobs: Count = msgspec.field(name="faulty_jobs", default=2)
    # First backoff of a job that fails on several machines, doubled each time up to the second figure. After
    # it one task at a time is tried until one has run for longer than the backoff, or is done.
    backoff_s: Seconds = 5.0
    max_backoff_s: Seconds = msgspec.field(name="backoff_most_s", default=60.0)


class FleetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Provisioning and terminating machines."""

    # How long a machine may be idle before it is terminated.
    idle_s: Seconds = 15.0
    # An on-demand machine where spot ones are preferred.
    on_demand_idle_s: Seconds = msgspec.field(name="idle_ordinary_s", default=5.0)
    # While there is work at all, where an objective of the deployment wants tasks to start sooner than a
    # machine boots.
    start_objective_idle_s: Seconds = msgspec.field(name="idle_ready_s", default=300.0)
    # Share of the teams' unused guarantees for which machines are kept running, where an objective says how
    # soon tasks have to start.
    guarantee_headroom: Annotated[float, msgspec.Meta(ge=0, le=10)] = msgspec.field(
        name="hold_guarantees", default=1.0
    )
    # A machine without a heartbeat after this many times its nominal boot time is given up.
    boot_patience: Annotated[float, msgspec.Meta(ge=1, le=100)] = 2.5
    # First backoff after the cloud had no capacity, doubled each time up to the second figure. It ends when a
    # machine of that type is terminated.
    capacity_backoff_s: Seconds = msgspec.field(name="refused_s", default=4.0)
    max_capacity_backoff_s: Seconds = msgspec.field(name="refused_most_s", default=30.0)
    # Time between two requests of the list of machines, and of machine types.
    list_interval_s: Seconds = msgspec.field(name="list_s", default=4.0)
    types_interval_s: Seconds = msgspec.field(name="types_s", default=30.0)
    # How long a job must have waited before on-demand machines are provisioned for it though it may use spot
    # ones. For best-effort jobs none are.
    on_demand_delay_s: Seconds = msgspec.field(name="ordinary_wait_s", default=600.0)
    # The same while no spot machine is running or booting, so that the job starts at all.
    no_spot_delay_s: Seconds = msgspec.field(name="no_spot_wait_s", default=20.0)


class StoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Requests to the state service."""

    # Longest time between two catch-ups of a controller's replica with the state service.
    catch_up_interval_s: Seconds = msgspec.field(name="confirm_s", default=1.0)
    # How long a watch waits for changes, and how long any other request may take.
    max_watch_wait_s: Seconds = msgspec.field(name="watch_s", default=15.0)
    request_timeout_s: Seconds = msgspec.field(name="timeout_s", default=1.5)


class LeadershipSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The leader's lease, and the pings between controllers."""

    lease_s: Seconds = 4.0
    ping_s: Seconds = 0.5


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is logged."""

    # Used where the environment variable LOG_LEVEL is not set.
    level: Literal["error", "info", "debug"] = "info"


class OperatorSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file, a field for each block."""

    backfill: BackfillSettings = BackfillSettings()
    workers: WorkerSettings = WorkerSettings()
    fleet: FleetSettings = FleetSettings()
    store: StoreSettings = StoreSettings()
    leadership: LeadershipSettings = LeadershipSettings()
    log: LogSettings = LogSettings()


def parse_operator(file: str, text: str) -> OperatorSettings:
    """Parses the operators' settings; `file` is named in errors. Raises SettingsError."""
    blocks_by_name = _parse_hcl(file, text)
    sections = {
        name: _section(file, name, blocks)
        for name, blocks in blocks_by_name.items()
        if not name.startswith(PARSER_KEY_PREFIX)
    }
    try:
        return msgspec.convert(sections, OperatorSettings)
    except msgspec.ValidationError as error:
        raise SettingsError.from_decoder(file, error) from error


def load_operator(file: str | None) -> OperatorSettings:
    """Reads the operators' settings; without a file all have their defaults. Raises SettingsError."""
    if file is None:
        return OperatorSettings()
    try:
        text = Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "is not text"
        raise SettingsError(file, WHOLE_FILE, reason) from error
    return parse_operator(file, text)


def _parse_hcl(file: str, text: str) -> dict[str, Any]:
    # Imported only here: most controllers run on the defaults, and the parser costs start-up time and memory.
    import hcl2

    try:
        return hcl2.loads(text)
    except Exception as error:  # the parser raises its grammar library's own types
        line = getattr(error, "line", None)
        field = f"line {line}" if isinstance(line, int) and line > 0 else WHOLE_FILE
        raise SettingsError(file, field, "not valid HCL") from error


def _section(file: str, name: str, blocks: Any) -> dict[str, Any]:
    """The fields of the one block of that name."""
    if not isinstance(blocks, list):
        raise SettingsError(file, name, "must be a block")
    if len(blocks) != 1:
        raise SettingsError(file, name, "block given more than once")
    block = blocks[0]
    if not isinstance(block, dict):
        raise SettingsError(file, name, "must be a block")
    return {
        key: value.strip('"') if isinstance(value, str) else value
        for key, value in block.items()
        if not key.startswith(PARSER_KEY_PREFIX)
    }
