"""The settings for leases, heartbeats, quarantine and pauses."""

from datetime import timedelta
from typing import NamedTuple

# A heartbeat counts as recent until two heartbeat intervals and this tolerance have passed.
HEARTBEAT_TOLERANCE = timedelta(seconds=1)


class WorkerPolicy(NamedTuple):
    """The lease, the heartbeat interval, and limits for failing machines and jobs."""

    lease: timedelta
    heartbeat_interval: timedelta
    # A machine is quarantined once tasks of this many jobs have failed on it.
    quarantine_after_failed_jobs: int
    # The length of the first pause of a failing job, and the length of the longest one.
    backoff: timedelta
    max_backoff: timedelta
    # A job with waiting tasks is overdue once it has had no start for this long.
    overdue_after: timedelta = timedelta(seconds=60)

    def is_recent(self, at: timedelta | None, now: timedelta) -> bool:
        """Whether at most one heartbeat has been missed since the time `at`; False if it is None."""
        return at is not None and now - at < self.heartbeat_interval * 2 + HEARTBEAT_TOLERANCE
