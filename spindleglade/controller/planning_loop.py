"""Runs planning rounds in one thread: snapshot under the lock, plan without it, apply what still holds."""

import logging
import time
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

from twisted.internet.defer import Deferred

from spindleglade.backfill.plan import Plan
from spindleglade.backfill.planner import Planner
from spindleglade.runtime.clock import ZERO, Clock, sleep
from spindleglade.runtime.periodic_task import PeriodicTask
from spindleglade.workers.cluster_state import ClusterState

log = logging.getLogger("spindleglade.backfill")


class PlanningLoop:
    def __init__(
        self,
        cluster: ClusterState,
        planner: Planner,
        clock: Clock,
        compute: Callable[..., Awaitable[Any]],
        least: timedelta,
        planned: Callable[[Plan, int], None],
    ) -> None:
        self._cluster = cluster
        self._planner = planner
        self._clock = clock
        self._compute = compute
        self._min_interval = least
        self._on_planned = planned
        self._change_pending = True
        self._wakeup: Deferred[None] | None = None
        self._stopped = False
        self._loop = PeriodicTask(clock, "planning", self._plan_once, self._until_next)
        # When the latest round began.
        self._pass_started_at = ZERO

    def start(self) -> None:
        """Begins the first round."""
        self._loop.start()

    def stop(self) -> None:
        """No further plan is taken over."""
        self._stopped = True
        self._loop.stop()
        self.wake()

    @property
    def stall_reason(self) -> str | None:
        """Why nothing is planned, if so."""
        return self._loop.stall_reason

    def wake(self) -> None:
        """Something has changed."""
        self._change_pending = True
        if self._wakeup is not None:
            idle, self._wakeup = self._wakeup, None
            idle.callback(None)

    async def _until_next(self) -> None:
        # Rounds get long with a long queue, and on a slow or busy processor, where reports and leases go
        # first: a fifth of the time at most.
        await sleep(self._clock, max(self._min_interval, (self._clock.now() - self._pass_started_at) * 4))
        if not self._change_pending:
            self._wakeup = Deferred()
            await self._wakeup

    async def _plan_once(self) -> None:
        self._change_pending = False
        self._pass_started_at = began = self._clock.now()
        plan, cpu = await self._compute(self._plan, began)
        if self._stopped:
            return
        placed = self._cluster.apply_plan(plan, self._clock.now())
        log.debug(
            "planned starts=%d stops=%d unmet=%d head=%s checks=%d cpu_ms=%.1f",
            placed,
            len(plan.preemptions),
            len(plan.unplaced),
            plan.reserved_job,
            plan.delay_checks,
            cpu * 1000,
        )
        self._on_planned(plan, placed)

    def _plan(self, now: timedelta) -> tuple[Plan, float]:
        began = time.thread_time()
        snapshot = self._cluster.snapshot(now)
        return self._planner.plan(snapshot), time.thread_time() - began
