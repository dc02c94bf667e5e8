"""Why machines get no work and jobs no start, as the log names it."""

from collections import Counter
from dataclasses import dataclass
from enum import StrEnum


class MachineUnusableReason(StrEnum):
    """Why nothing may be started on a machine."""

    TOKEN_NOT_ACKNOWLEDGED = "token not acknowledged"
    TERMINATION_ANNOUNCED = "termination announced"
    UNREACHABLE = "unreachable"
    QUARANTINED = "quarantined"
    TERMINATING = "terminating"
    TYPE_UNKNOWN = "type unknown"
    SILENT = "silent"
    LEASE_NOT_RENEWED = "lease not renewed"
    REFUSED_START = "start rejected"


class PendingReason(StrEnum):
    """Why a job with waiting tasks had no start."""

    DEPENDENCIES = "dependencies"
    PAUSED = "paused after failures"
    TEAM_LIMIT = "team at its limit"
    NO_CAPACITY = "no capacity"


@dataclass(frozen=True)
class SchedulingStall:
    """What waits and why, and what of the machines could be used."""

    waiting: Counter[PendingReason]
    usable: int
    unusable: Counter[MachineUnusableReason]

    def __str__(self) -> str:
        return (
            f"waiting=[{_listed(self.waiting)}] machines_usable={self.usable} "
            f"machines_unusable=[{_listed(self.unusable)}]"
        )


def _listed(counts: Counter[PendingReason] | Counter[MachineUnusableReason]) -> str:
    return ", ".join(f"{reason}: {count}" for reason, count in sorted(counts.items()))
