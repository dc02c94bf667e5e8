"""When a leader steps down or resigns by itself, and when its node stands back from the next election.

A leader that cannot do its work must not keep a sibling from doing it: one that is cut off from the store and
all siblings, that hears no machine, that no machine hears, or whose loops get nothing done.
"""

import logging
from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from spindleglade.clock import ZERO, Clock, seconds, sleep
from spindleglade.leadership.election import Election
from spindleglade.tasks import keep

log = logging.getLogger("spindleglade.leadership")

LOOK_EVERY = seconds(0.5)
# A look that comes so late shows that this process is busy.
LATE_LOOK = seconds(0.75)
# Leadership must not go round in circles where all nodes fare alike: how soon one resigns once more. It is
# doubled each time that a leader got nothing done, up to the second figure.
RESIGN_AGAIN = timedelta(seconds=60)
LONGEST_RESIGN_AGAIN = timedelta(minutes=16)
# Reports that machines must have missed to be taken for not heard, and the least time for that.
MISSED_REPORTS = 3
LEAST_PATIENCE = seconds(3)


class MonitoredLeader(Protocol):
    """What is looked at of a leader."""

    active: bool

    @property
    def stalled(self) -> str | None: ...

    @property
    def unheard(self) -> bool: ...

    def hears_nothing_since(self, patience: timedelta) -> bool: ...


class Surroundings(Protocol):
    """What a node sees of the others."""

    @property
    def has_siblings(self) -> bool: ...

    def hears_a_sibling(self) -> bool: ...

    def hears_a_serving_sibling(self) -> bool: ...

    def is_proven(self) -> bool: ...


class LeadershipMonitor:
    """Looks at the leader, if this node leads, and at its surroundings twice a second."""

    def __init__(
        self,
        clock: Clock,
        election: Election,
        surroundings: Surroundings,
        leader: Callable[[], MonitoredLeader | None],
        report: timedelta,
        proof_lasts: timedelta,
    ) -> None:
        """`report` is the time between two reports of a machine; `proof_lasts`, how long after it was shown
        to lead a node may take itself for the leader."""
        self._clock = clock
        self._election = election
        self._surroundings = surroundings
        self._leader = leader
        self._patience = max(report * MISSED_REPORTS, LEAST_PATIENCE)
        self._proof_lasts = proof_lasts
        # Until when this node does not campaign.
        self._stand_back_until = ZERO
        # When it last made way for a sibling, and how long it must lead before it does so as stalled again.
        self._made_way_at = -LONGEST_RESIGN_AGAIN
        self._stall_again = RESIGN_AGAIN
        # When this process last ran late.
        self._late_at = timedelta(days=-1)
        # Since when this node has had neither the store nor a sibling; None if it has one of them.
        self.cut_off_since: timedelta | None = None

    def start(self) -> None:
        """Begins to look."""
        keep(self._clock, self._run, "leadership monitor")

    @property
    def may_campaign(self) -> bool:
        """Whether the node may stand for election."""
        return self._clock.now() >= self._stand_back_until

    async def _run(self) -> None:
        while True:
            before = self._clock.now()
            await sleep(self._clock, LOOK_EVERY)
            now = self._clock.now()
            if now - before > LATE_LOOK:
                # Busy, or on a slow processor: what it has not heard may only be late. The last node that all
                # workers could reach once stepped down for being slow, and every lease ran out.
                self._late_at = now
            if now - self._late_at >= self._proof_lasts:
                await self._look(now)

    async def _look(self, now: timedelta) -> None:
        self._look_for_cut(now)
        leader = self._leader()
        if leader is None or not self._surroundings.has_siblings:
            return
        stalled = leader.stalled
        if stalled is not None:
            if await self._make_way(f"stalled: {stalled}", self._stall_again):
                self._stall_again = min(self._stall_again * 2, LONGEST_RESIGN_AGAIN)
        elif not leader.active:
            return
        elif leader.unheard:
            # What it sent straight to them may arrive once the cut is over; the next leader's token is higher
            # by then, and a start that never came is given out again.
            await self._make_way("machines do not hear it, though they are heard", RESIGN_AGAIN)
        elif leader.hears_nothing_since(self._patience) and not self._surroundings.hears_a_sibling():
            self._stand_back(now)
            await self._election.resign("hears neither machines nor siblings")

    def _look_for_cut(self, now: timedelta) -> None:
        """A node that has lost the store and all siblings does not lead, though machines still reach it:
        another leads by now, or will, and nothing that this one decides can be recorded."""
        surroundings = self._surroundings
        reached = not surroundings.has_siblings or surroundings.hears_a_sibling()
        if reached or surroundings.is_proven():
            self.cut_off_since = None
        elif self.cut_off_since is None:
            self.cut_off_since = now
            reason = "cut off from the store and all siblings"
            log.info(reason)
            self._election.step_down(reason)

    async def _make_way(self, reason: str, again: timedelta) -> bool:
        """Resigns for a sibling that may do better, if one reaches the store and the last time was longer ago
        than `again`. Returns whether it did."""
        now = self._clock.now()
        if now - self._made_way_at <= again or not self._surroundings.hears_a_serving_sibling():
            return False
        self._made_way_at = now
        self._stand_back(now)
        await self._election.resign(reason)
        return True

    def _stand_back(self, now: timedelta) -> None:
        self._stand_back_until = now + self._patience * 2
