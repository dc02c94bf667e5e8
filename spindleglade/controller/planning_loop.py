"""Runs planning passes in one thread: snapshot under the lock, plan without it, apply what is still valid."""

import logging
import time
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

from spindleglade.backfill.plan import Plan
from spindleglade.backfill.planner import Planner
from spindleglade.runtime.clock import ZERO, Clock, sleep
from spindleglade.runtime.periodic_task import PeriodicTask
from spindleglade.runtime.wakeup import Wakeup
from spindleglade.workers.cluster_state import ClusterState

log = logging.getLogger("spindleglade.backfill")


# A pause is at least so many times as long as the pass before it, so that planning takes a fifth of the time
# at most.
PAUSE_PER_PASS = 4
MILLISECONDS_PER_SECOND = 1000


class PlanningLoop:
    """Plans again and again while the cluster state changes. Except for the planning itself, which `compute`
    runs in its own thread, all methods are called from the event loop."""

    def __init__(
        self,
        cluster: ClusterState,
        planner: Planner,
        clock: Clock,
        compute: Callable[..., Awaitable[Any]],
        min_interval: timedelta,
        on_planned: Callable[[Plan, int], None],
    ) -> None:
        """`min_interval` is the least pause between two passes. `on_planned` is called with each plan after
        it was applied, and with the number of its placements that were still valid."""
        self._cluster = cluster
        self._planner = planner
        self._clock = clock
        self._compute = compute
        self._min_interval = min_interval
        self._on_planned = on_planned
        self._change_pending = True
        self._wakeup = Wakeup()
        self._stopped = False
        self._loop = PeriodicTask(clock, "planning", self._plan_once, self._until_next)
        # When the latest pass began.
        self._pass_started_at = ZERO

    def start(self) -> None:
        """Begins the first pass."""
        self._loop.start()

    def stop(self) -> None:
        """No further plan is applied."""
        self._stopped = True
        self._loop.stop()
        self.wake()

    @property
    def stall_reason(self) -> str | None:
        """Why nothing is planned, if so."""
        return self._loop.stall_reason

    def wake(self) -> None:
        """The cluster state has changed, so another pass is due."""
        self._change_pending = True
        self._wakeup.wake()

    async def _until_next(self) -> None:
        # A pass takes long with a long queue and on a slow or busy processor, where heartbeats and leases
        # must not wait for it.
        pass_duration = self._clock.now() - self._pass_started_at
        await sleep(self._clock, max(self._min_interval, pass_duration * PAUSE_PER_PASS))
        if not self._change_pending:
            await self._wakeup.wait()

    async def _plan_once(self) -> None:
        self._change_pending = False
        self._pass_started_at = started_at = self._clock.now()
        plan, cpu_s = await self._compute(self._plan, started_at)
        if self._stopped:
            return
        placed = self._cluster.apply_plan(plan, self._clock.now())
        log.debug(
            "planned starts=%d preemptions=%d unplaced=%d reserved_job=%s delay_checks=%d cpu_ms=%.1f",
            placed,
            len(plan.preemptions),
            len(plan.unplaced),
            plan.reserved_job,
            plan.delay_checks,
            cpu_s * MILLISECONDS_PER_SECOND,
        )
        self._on_planned(plan, placed)

    def _plan(self, now: timedelta) -> tuple[Plan, float]:
        """The plan, and the processor time in seconds that it took. Called from the planning thread."""
        started_at_s = time.thread_time()
        snapshot = self._cluster.snapshot(now)
        return self._planner.plan(snapshot), time.thread_time() - started_at_s
