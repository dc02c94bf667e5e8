"""The operators' settings, an HCL file. Every field has a default; unknown fields are errors.

An example:

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
# Prefix of the keys that the HCL parser adds to its result.
PARSER_KEY_PREFIX = "__"


class BackfillSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of planning: backfilling, run-time distributions and preemption."""

    # A job may start before the reserved one if the probability that it delays the reserved job is below this
    # (paper, section 5).
    tau: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.05
    # Growth factor of the run-time bins (paper, section 3), and the upper end of the first bin in seconds.
    bin_factor: Annotated[float, msgspec.Meta(gt=1, le=10)] = 1.8
    first_bin_s: Seconds = 1.0
    # Number of recorded runs from which a team's distribution is used instead of its estimates, and the
    # number of runs that are kept.
    history_runs: Count = 200
    history_kept: Count = 2000
    # "distributions" is the normal mode; "estimates" is plain EASY backfilling, for comparison.
    predictor: Literal["distributions", "estimates"] = "distributions"
    # Which running tasks are preempted, and for which jobs. "none": no task. "saving": tasks that save their
    # work and best-effort tasks, for jobs of a higher priority. "guarantees": tasks of teams beyond their
    # guarantee, for jobs of other teams within theirs. "all": the same, and tasks of a lower priority, except
    # tasks within their team's guarantee for a job of another team beyond its guarantee.
    preempt: Literal["none", "saving", "guarantees", "all"] = "saving"
    # How long a job with waiting tasks may go without a start before it is overdue. Some of its tasks then
    # start before all other tasks, and capacity is reserved for them. Well below the four minutes within
    # which even the largest job must start its first task.
    overdue_after_s: Seconds = msgspec.field(name="overdue_s", default=120.0)
    # Minimum interval between two planning passes.
    planning_interval_s: Seconds = msgspec.field(name="round_s", default=0.1)


class WorkerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of heartbeats, worker leases, commands, and the handling of failing tasks."""

    # A silent machine is terminated this long after the end of its lease.
    silence_margin_s: Seconds = 1.0
    # Number of missed heartbeats after which a machine is terminated earlier if it left a probe unanswered.
    missed_heartbeats: Seconds = msgspec.field(name="silent_reports", default=3.5)
    # A controller renews a lease only if the lease will end at least this long before any cancellation that
    # the controller may not know of yet must have taken effect.
    cancel_margin_s: Seconds = 3.0
    # Timeout of a command sent directly to a machine.
    command_timeout_s: Seconds = msgspec.field(name="order_timeout_s", default=2.0)
    # Timeout of relaying a heartbeat to the leader. After it a follower may renew the worker's lease without
    # the leader.
    relay_timeout_s: Seconds = 1.0
    # How long a follower collects heartbeats before it relays them in one message.
    relay_window_s: Seconds = 0.02
    # Number of different jobs whose tasks must have failed on a machine before it is quarantined and
    # terminated. A job that is cancelled or fails on a second machine does not count.
    quarantine_after_failed_jobs: Count = msgspec.field(name="faulty_jobs", default=2)
    # Backoff of a job whose tasks fail on several machines, doubled each time up to the maximum. After the
    # backoff the tasks are tried one at a time until one of them has run for longer than the backoff, or is
    # done. A job whose tasks fail on one machine only avoids that machine for the maximum.
    backoff_s: Seconds = 5.0
    max_backoff_s: Seconds = msgspec.field(name="backoff_most_s", default=60.0)


class FleetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of provisioning and terminating machines."""

    # How long a machine may be idle before it is terminated, unless one of the next two settings applies.
    idle_s: Seconds = 15.0
    # The same for an on-demand machine where spot machines are preferred.
    on_demand_idle_s: Seconds = msgspec.field(name="idle_ordinary_s", default=5.0)
    # The same while there is any work, where an objective of the deployment requires tasks to start sooner
    # than a machine can boot.
    start_objective_idle_s: Seconds = msgspec.field(name="idle_ready_s", default=300.0)
    # Headroom: machines are kept running for this share of the teams' unused guarantees, where an objective
    # of the deployment requires tasks to start sooner than a machine can boot.
    guarantee_headroom: Annotated[float, msgspec.Meta(ge=0, le=10)] = msgspec.field(
        name="hold_guarantees", default=1.0
    )
    # A machine that has not sent a heartbeat within this multiple of its nominal boot time is terminated.
    boot_patience: Annotated[float, msgspec.Meta(ge=1, le=100)] = 2.5
    # Backoff after the cloud had no capacity in a machine pool, doubled each time up to the maximum. It ends
    # early when a machine of the pool is terminated.
    capacity_backoff_s: Seconds = msgspec.field(name="refused_s", default=4.0)
    max_capacity_backoff_s: Seconds = msgspec.field(name="refused_most_s", default=30.0)
    # Interval between two requests for the list of machines, and for the list of machine types.
    list_interval_s: Seconds = msgspec.field(name="list_s", default=4.0)
    types_interval_s: Seconds = msgspec.field(name="types_s", default=30.0)
    # How long a job that may use spot machines must have waited before on-demand machines are provisioned for
    # it. They are never provisioned for best-effort jobs.
    on_demand_delay_s: Seconds = msgspec.field(name="ordinary_wait_s", default=600.0)
    # The same while no spot machine is running or booting, since the job could otherwise not start at all.
    no_spot_delay_s: Seconds = msgspec.field(name="no_spot_wait_s", default=20.0)


class StoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the requests to the state service."""

    # Maximum interval between two catch-ups of a controller's replica with the state service.
    catch_up_interval_s: Seconds = msgspec.field(name="confirm_s", default=1.0)
    # How long the state service may hold a watch request open while there are no changes.
    max_watch_wait_s: Seconds = msgspec.field(name="watch_s", default=15.0)
    # Timeout of all other requests.
    request_timeout_s: Seconds = msgspec.field(name="timeout_s", default=1.5)


class LeadershipSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the leader's lease and the heartbeats between controllers."""

    # Duration of the leader's lease.
    lease_s: Seconds = 4.0
    # Interval between two heartbeats to a peer.
    ping_s: Seconds = 0.5


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the log."""

    # Used if the environment variable LOG_LEVEL is not set.
    level: Literal["error", "info", "debug"] = "info"


class OperatorSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file, with one field for each block."""

    backfill: BackfillSettings = BackfillSettings()
    workers: WorkerSettings = WorkerSettings()
    fleet: FleetSettings = FleetSettings()
    store: StoreSettings = StoreSettings()
    leadership: LeadershipSettings = LeadershipSettings()
    log: LogSettings = LogSettings()


def parse_operator(file: str, text: str) -> OperatorSettings:
    """Parses the text of the operators' file. `file` is its name for errors. Raises SettingsError."""
    blocks_by_name = _parse_hcl(file, text)
    fields_by_block = {
        name: _block_fields(file, name, blocks)
        for name, blocks in blocks_by_name.items()
        if not name.startswith(PARSER_KEY_PREFIX)
    }
    try:
        return msgspec.convert(fields_by_block, OperatorSettings)
    except msgspec.ValidationError as error:
        raise SettingsError.from_decoder(file, error) from error


def load_operator(file: str | None) -> OperatorSettings:
    """Reads the operators' file; None stands for the defaults of all fields. Raises SettingsError."""
    if file is None:
        return OperatorSettings()
    try:
        text = Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "is not UTF-8 text"
        raise SettingsError(file, WHOLE_FILE, reason) from error
    return parse_operator(file, text)


def _parse_hcl(file: str, text: str) -> dict[str, Any]:
    # Imported here because it costs start-up time and memory, and most controllers run on the defaults.
    import hcl2

    try:
        return hcl2.loads(text)
    except Exception as error:  # hcl2 also raises errors of its grammar library
        line = getattr(error, "line", None)
        field = f"line {line}" if isinstance(line, int) and line > 0 else WHOLE_FILE
        raise SettingsError(file, field, "not valid HCL") from error


def _block_fields(file: str, name: str, blocks: Any) -> dict[str, Any]:
    """Returns the fields of the block `name`, which must occur exactly once."""
    if not isinstance(blocks, list):
        raise SettingsError(file, name, f"must be a block, got {blocks!r}")
    if len(blocks) != 1:
        raise SettingsError(file, name, f"must be given as one block, got {len(blocks)}")
    block = blocks[0]
    if not isinstance(block, dict):
        raise SettingsError(file, name, f"must be a block, got {block!r}")
    return {
        key: value.strip('"') if isinstance(value, str) else value
        for key, value in block.items()
        if not key.startswith(PARSER_KEY_PREFIX)
    }
