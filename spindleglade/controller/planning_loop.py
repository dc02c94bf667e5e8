"""Runs planning passes: takes a snapshot under the lock, plans without it, applies what is still valid."""

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


# The shortest pause after a pass, as a multiple of the duration of the pass. Planning thus takes at most a
# fifth of the time.
MIN_PAUSE_PER_PASS_DURATION = 4
MILLISECONDS_PER_SECOND = 1000


class PlanningLoop:
    """Runs a planning pass whenever the cluster state has changed.

    All methods are called from the event loop, except `_plan`, which `compute` runs in the planning thread.
    """

    def __init__(
        self,
        cluster: ClusterState,
        planner: Planner,
        clock: Clock,
        compute: Callable[..., Awaitable[Any]],
        min_interval: timedelta,
        on_planned: Callable[[Plan, int], None],
    ) -> None:
        """Creates the loop without starting it.

        `min_interval` is the shortest pause between two passes. `on_planned` is called after each plan is
        applied, with the plan and the number of its placements that were still valid.
        """
        self._cluster = cluster
        self._planner = planner
        self._clock = clock
        self._compute = compute
        self._min_interval = min_interval
        self._on_planned = on_planned
        self._change_pending = True
        self._wakeup = Wakeup()
        self._stopped = False
        self._loop = PeriodicTask(clock, "planning", self._run_pass, self._wait_until_next_pass)
        # When the latest pass started.
        self._pass_started_at = ZERO

    def start(self) -> None:
        """Starts the first pass."""
        self._loop.start()

    def stop(self) -> None:
        """Stops the loop. A plan that is being computed is not applied."""
        self._stopped = True
        self._loop.stop()
        self.wake()

    @property
    def stall_reason(self) -> str | None:
        """Why planning has stalled; None if it has not."""
        return self._loop.stall_reason

    def wake(self) -> None:
        """Requests another pass, because the cluster state has changed."""
        self._change_pending = True
        self._wakeup.wake()

    async def _wait_until_next_pass(self) -> None:
        # With a long queue or on a slow or busy processor a pass takes long. Heartbeats and lease renewals
        # need processor time between passes.
        pass_duration = self._clock.now() - self._pass_started_at
        await sleep(self._clock, max(self._min_interval, pass_duration * MIN_PAUSE_PER_PASS_DURATION))
        if not self._change_pending:
            await self._wakeup.wait()

    async def _run_pass(self) -> None:
        self._change_pending = False
        self._pass_started_at = started_at = self._clock.now()
        plan, cpu_s = await self._compute(self._plan, started_at)
        if self._stopped:
            return
        placement_count = self._cluster.apply_plan(plan, self._clock.now())
        log.debug(
            "planned starts=%d preemptions=%d unplaced=%d reserved_job=%s delay_checks=%d cpu_ms=%.1f",
            placement_count,
            len(plan.preemptions),
            len(plan.unplaced),
            plan.reserved_job,
            plan.delay_checks,
            cpu_s * MILLISECONDS_PER_SECOND,
        )
        self._on_planned(plan, placement_count)

    def _plan(self, now: timedelta) -> tuple[Plan, float]:
        """Computes a plan; returns it and the processor time in seconds that it took.

        Called from the planning thread.
        """
        started_at_s = time.thread_time()
        snapshot = self._cluster.snapshot(now)
        return self._planner.plan(snapshot), time.thread_time() - started_at_s
