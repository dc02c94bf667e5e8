"""Errors raised when a submission is rejected. Users receive their messages, so the texts must not change."""

from enum import StrEnum


class SubmissionError(Exception):
    """Base of the errors for a well-formed submission that cannot be accepted."""

    def __init__(self, job: str, message: str) -> None:
        super().__init__(message)
        self.job = job


class UnschedulableReason(StrEnum):
    """Why a job can never run. The values are sent to users."""

    UNKNOWN_TEAM = "unknown team"
    OVER_TEAM_LIMIT = "more is needed at once than the team's limit"
    FITS_NO_MACHINE_TYPE = "a task fits no allowed machine type"
    UNKNOWN_DEPENDENCY = "a job that it awaits was never accepted"


class UnschedulableJobError(SubmissionError):
    """The job can never run, even on an empty cluster."""

    def __init__(self, job: str, reason: UnschedulableReason) -> None:
        super().__init__(job, str(reason))
        self.reason = reason


class TooManyDependenciesError(SubmissionError):
    """The dependencies of a job do not fit into one transaction of the state service."""

    def __init__(self, job: str, count: int) -> None:
        super().__init__(job, f"{count} awaited jobs are more than the state service takes at once")
        self.count = count
