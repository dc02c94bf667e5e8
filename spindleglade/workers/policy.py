"""The settings that decide how machines and failing jobs are treated."""

from datetime import timedelta
from typing import NamedTuple

# A heartbeat may be this much later than two intervals and still count as recent.
HEARTBEAT_TOLERANCE = timedelta(seconds=1)


class WorkerPolicy(NamedTuple):
    """Intervals and limits of the worker protocol."""

    lease: timedelta
    heartbeat_interval: timedelta
    quarantine_after_failed_jobs: int
    backoff: timedelta
    max_backoff: timedelta
    # How long a job may go without a start before it is overdue.
    overdue_after: timedelta = timedelta(seconds=60)

    def is_recent(self, at: timedelta | None, now: timedelta) -> bool:
        """Whether no more than one heartbeat has been missed since that time."""
        return at is not None and now - at < self.heartbeat_interval * 2 + HEARTBEAT_TOLERANCE
