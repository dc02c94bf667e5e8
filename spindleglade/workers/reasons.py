"""The reasons why machines are unusable and waiting tasks are not started, as they appear in the log."""

from collections import Counter
from dataclasses import dataclass
from enum import StrEnum


class MachineUnusableReason(StrEnum):
    """Why no task may be started on a machine."""

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
    """Why the waiting tasks of a job are not started."""

    DEPENDENCIES = "dependencies"
    PAUSED = "paused after failures"
    TEAM_LIMIT = "team at its limit"
    NO_CAPACITY = "no capacity"


@dataclass(frozen=True)
class SchedulingStall:
    """The state of the scheduler while waiting tasks are not started."""

    # The number of jobs with waiting tasks, by reason.
    pending_jobs: Counter[PendingReason]
    # The number of usable machines, and that of unusable machines by reason.
    usable_machine_count: int
    unusable_machines: Counter[MachineUnusableReason]

    def __str__(self) -> str:
        return (
            f"waiting=[{_format_counts(self.pending_jobs)}] machines_usable={self.usable_machine_count} "
            f"machines_unusable=[{_format_counts(self.unusable_machines)}]"
        )


def _format_counts(counts: Counter[PendingReason] | Counter[MachineUnusableReason]) -> str:
    return ", ".join(f"{reason}: {count}" for reason, count in sorted(counts.items()))
