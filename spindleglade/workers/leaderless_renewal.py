"""Decides whether a controller renews a worker's lease while it cannot reach the leader.

The lease is renewed with the worker's own token and without commands, so that neither an outage of the store
nor the loss of a leader costs running work. Renewals are permitted for a limited time only: if users cancel
jobs at other controllers in the meantime, the lease must still end within the time that a cancellation may
take.
"""

import logging
from datetime import timedelta
from enum import Enum, auto

from spindleglade.runtime.clock import Clock
from spindleglade.submissions.messages import JobStatus
from spindleglade.submissions.views import JobViews
from spindleglade.workers.cancellation_freshness import CancellationFreshness
from spindleglade.workers.isolation_detector import IsolationDetector
from spindleglade.workers.messages import Heartbeat, split_task

log = logging.getLogger("spindleglade.workers")


class RenewalDecision(Enum):
    """What a controller that cannot reach the leader does about a worker's lease."""

    RENEW = auto()
    # The worker is redirected, since any other controller serves it better.
    REDIRECT = auto()
    # The lease has to expire.
    WITHHOLD = auto()


class LeaderlessRenewal:
    """Decides on renewals by the cancellations known to this controller, and records the renewed leases."""

    def __init__(
        self,
        clock: Clock,
        views: JobViews,
        cancellation_freshness: CancellationFreshness,
        isolation: IsolationDetector,
    ) -> None:
        self._clock = clock
        self._views = views
        self._cancellation_freshness = cancellation_freshness
        self._isolation = isolation
        # When this controller last renewed the lease of each machine.
        self.renewed_at: dict[str, timedelta] = {}

    def decide(self, heartbeat: Heartbeat, is_newest: bool) -> RenewalDecision:
        """Decides on the lease of the worker that sent a heartbeat.

        `is_newest` is false for a late copy of a heartbeat, which does not show the present state of the
        machine: no lease is renewed for it, and the leader is not told that the machine is alive.
        """
        if not is_newest or not self._cancellation_freshness.permits_renewals:
            return RenewalDecision.WITHHOLD
        if self._views.may_run_cancelled_task(heartbeat.machine, heartbeat.incarnation):
            # A start of a cancelled task may still be in flight to the machine, however long it has been
            # delayed. Only the end of the incarnation rules that out, and without the leader no controller
            # can stop the task.
            return RenewalDecision.WITHHOLD
        if self._isolation.should_redirect(heartbeat.machine, heartbeat.zone):
            return RenewalDecision.REDIRECT
        if self._runs_cancelled_job(heartbeat):
            # Without the leader no controller can stop the task, so the lease has to expire.
            return RenewalDecision.WITHHOLD
        self.renewed_at[heartbeat.machine] = self._clock.now()
        log.debug("lease renewed without leader machine=%s token=%d", heartbeat.machine, heartbeat.token)
        return RenewalDecision.RENEW

    def _runs_cancelled_job(self, heartbeat: Heartbeat) -> bool:
        for status in heartbeat.tasks:
            if not status.is_on_machine:
                continue
            try:
                job, _ = split_task(status.task)
            except ValueError:
                continue
            view = self._views.jobs.get(job)
            if view is not None and view.state == JobStatus.CANCELLED:
                return True
        return False
