"""The operators' own settings, in HCL. Every field has a default; unknown fields are refused.

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

from spindleglade.settings.platform import explain
from spindleglade.settings.problem import SettingsError

Seconds = Annotated[float, msgspec.Meta(gt=0, le=86400)]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class BackfillSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The rule by which a waiting job passes the reserved one."""

    # Chance of delaying the reserved job below which another may pass it (paper, section 5).
    tau: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.05
    # Growth of the run-time bins (paper, section 3) and the end of the first one.
    bin_factor: Annotated[float, msgspec.Meta(gt=1, le=10)] = 1.8
    first_bin_s: Seconds = 1.0
    # Runs a team needs before its distribution is used instead of its estimates, and how many are kept.
    history_runs: Count = 200
    history_kept: Count = 2000
    # "distributions" is the design; "estimates" is plain EASY, kept for comparison.
    predictor: Literal["distributions", "estimates"] = "distributions"
    # For whom running work is stopped: nobody; higher priorities, but only work that can save what it has
    # done, and idle-time work; teams that claim their guarantee; or both these and higher priorities,
    # whatever work it is.
    preempt: Literal["none", "saving", "guarantees", "all"] = "saving"
    # How long a job may go without a start before some of its tasks go before all others and room is held for
    # them. Well under the four minutes within which even the largest shall begin.
    overdue_s: Seconds = 120.0
    # Shortest time between two planning rounds.
    round_s: Seconds = 0.1


class WorkerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    # How long past its lease a silent machine is waited for before it is given up.
    silence_margin_s: Seconds = 1.0
    # Reports that a machine which does not answer either must have missed to be given up earlier.
    silent_reports: Seconds = 3.5
    # Kept free between the last renewal a node may give unconfirmed and the end of a cancellation.
    cancel_margin_s: Seconds = 3.0
    # How long an order sent straight to a machine may go unanswered.
    order_timeout_s: Seconds = 2.0
    # How long a follower waits for the leader before it renews a lease by itself.
    relay_timeout_s: Seconds = 1.0
    # For how long a follower gathers reports before it passes them on.
    relay_window_s: Seconds = 0.02
    # Jobs that must have failed on a machine before it is given back as faulty.
    faulty_jobs: Count = 2
    # First pause of a job that fails on several machines, doubled each time up to the second figure. After it
    # one task at a time is tried until one has run for longer than the pause, or is done.
    backoff_s: Seconds = 5.0
    backoff_most_s: Seconds = 60.0


class FleetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    # How long a machine may stand idle before it is given back; the last where an aim of the deployment says
    # that work has to start sooner than a machine boots, while there is work at all.
    idle_s: Seconds = 15.0
    # An ordinary machine where spot ones are preferred.
    idle_ordinary_s: Seconds = 5.0
    idle_ready_s: Seconds = 300.0
    # Share of the teams' unused guarantees for which machines are kept up, where an aim says how soon work
    # has to start.
    hold_guarantees: Annotated[float, msgspec.Meta(ge=0, le=10)] = 1.0
    # A machine that has not reported after this many times its nominal boot time is given up.
    boot_patience: Annotated[float, msgspec.Meta(ge=1, le=100)] = 2.5
    # First pause after a refusal for lack of capacity, doubled each time up to the second figure. It ends
    # when a machine of that kind is given back.
    refused_s: Seconds = 4.0
    refused_most_s: Seconds = 30.0
    list_s: Seconds = 4.0
    types_s: Seconds = 30.0
    # How long a job must have waited before ordinary machines are rented for it though it may use spot ones.
    # For idle-time work none are.
    ordinary_wait_s: Seconds = 600.0
    # The same while no spot machine is there or on its way, so that work begins at all.
    no_spot_wait_s: Seconds = 20.0


class StoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    # Longest time between two proofs that a node's replica is current.
    confirm_s: Seconds = 1.0
    watch_s: Seconds = 15.0
    timeout_s: Seconds = 1.5


class LeadershipSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    lease_s: Seconds = 4.0
    ping_s: Seconds = 0.5


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    # Used where the variable LOG_LEVEL is not set.
    level: Literal["error", "info", "debug"] = "info"


class OperatorSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    backfill: BackfillSettings = BackfillSettings()
    workers: WorkerSettings = WorkerSettings()
    fleet: FleetSettings = FleetSettings()
    store: StoreSettings = StoreSettings()
    leadership: LeadershipSettings = LeadershipSettings()
    log: LogSettings = LogSettings()


def parse_operator(file: str, text: str) -> OperatorSettings:
    # Imported only here: most nodes run on the defaults, and the parser costs start-up time and memory.
    import hcl2

    try:
        parsed: dict[str, Any] = hcl2.loads(text)
    except Exception as error:  # the parser raises its grammar library's own types
        line = getattr(error, "line", None)
        where = f"line {line}" if isinstance(line, int) and line > 0 else "(whole file)"
        raise SettingsError(file, where, "not valid HCL") from None
    sections: dict[str, Any] = {}
    for name, blocks in parsed.items():
        if name.startswith("__"):
            continue
        if not isinstance(blocks, list):
            raise SettingsError(file, name, "must be a block")
        if len(blocks) != 1:
            raise SettingsError(file, name, "block given more than once")
        block = blocks[0]
        if not isinstance(block, dict):
            raise SettingsError(file, name, "must be a block")
        sections[name] = {
            key: value.strip('"') if isinstance(value, str) else value
            for key, value in block.items()
            if not key.startswith("__")
        }
    try:
        return msgspec.convert(sections, OperatorSettings)
    except msgspec.ValidationError as error:
        raise SettingsError(file, *explain(error)) from None


def load_operator(file: str | None) -> OperatorSettings:
    if file is None:
        return OperatorSettings()
    try:
        text = Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(file, "(whole file)", getattr(error, "strerror", None) or "is not text") from None
    return parse_operator(file, text)
