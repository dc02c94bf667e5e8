"""Runs planning rounds in one thread: snapshot under the lock, plan without it, apply what still holds."""

import logging
import time
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

from twisted.internet.defer import Deferred

from spindleglade.backfill.planner import Planner
from spindleglade.backfill.snapshot import Plan
from spindleglade.clock import ZERO, Clock, sleep
from spindleglade.loop import Loop
from spindleglade.workers.cluster import Cluster

log = logging.getLogger("spindleglade.backfill")


class Rounds:
    def __init__(
        self,
        cluster: Cluster,
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
        self._least = least
        self._planned = planned
        self._wanted = True
        self._idle: Deferred[None] | None = None
        self._stopped = False
        self._loop = Loop(clock, "planning", self._plan_once, self._until_next)
        # When the latest round began.
        self._began = ZERO

    def start(self) -> None:
        """Begins the first round."""
        self._loop.start()

    def stop(self) -> None:
        """No further plan is taken over."""
        self._stopped = True
        self._loop.stop()
        self.wake()

    @property
    def stalled(self) -> str | None:
        """Why nothing is planned, if so."""
        return self._loop.stalled

    def wake(self) -> None:
        """Something has changed."""
        self._wanted = True
        if self._idle is not None:
            idle, self._idle = self._idle, None
            idle.callback(None)

    async def _until_next(self) -> None:
        # Rounds get long with a long queue, and on a slow or busy processor, where reports and leases go
        # first: a fifth of the time at most.
        await sleep(self._clock, max(self._least, (self._clock.now() - self._began) * 4))
        if not self._wanted:
            self._idle = Deferred()
            await self._idle

    async def _plan_once(self) -> None:
        self._wanted = False
        self._began = began = self._clock.now()
        plan, cpu = await self._compute(self._plan, began)
        if self._stopped:
            return
        placed = self._cluster.apply(plan, self._clock.now())
        log.debug(
            "planned starts=%d stops=%d unmet=%d head=%s checks=%d cpu_ms=%.1f",
            placed,
            len(plan.stops),
            len(plan.unmet),
            plan.head,
            plan.checks,
            cpu * 1000,
        )
        self._planned(plan, placed)

    def _plan(self, now: timedelta) -> tuple[Plan, float]:
        began = time.thread_time()
        snapshot = self._cluster.snapshot(now)
        return self._planner.plan(snapshot), time.thread_time() - began
