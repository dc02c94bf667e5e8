"""When a leader steps down or resigns by itself, and when its node stands back from the next election.

A leader that cannot do its work must not keep a sibling from doing it: one that is cut off from the store and
all siblings, that hears no machine, that no machine hears, or whose loops get nothing done.
"""

import logging
from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from spindleglade.leadership.election import Election
from spindleglade.runtime.background import run_forever
from spindleglade.runtime.clock import ZERO, Clock, seconds, sleep

log = logging.getLogger("spindleglade.leadership")

CHECK_INTERVAL = seconds(0.5)
# A look that comes so late shows that this process is busy.
LATE_CHECK = seconds(0.75)
# Leadership must not go round in circles where all nodes fare alike: how soon one resigns once more. It is
# doubled each time that a leader got nothing done, up to the second figure.
MIN_RESIGN_INTERVAL = timedelta(seconds=60)
MAX_RESIGN_INTERVAL = timedelta(minutes=16)
# Reports that machines must have missed to be taken for not heard, and the least time for that.
MISSED_HEARTBEATS = 3
MIN_SILENCE_LIMIT = seconds(3)


class MonitoredLeader(Protocol):
    """What is looked at of a leader."""

    is_active: bool

    @property
    def stall_reason(self) -> str | None: ...

    @property
    def is_unreachable_for_machines(self) -> bool: ...

    def receives_no_heartbeats(self, patience: timedelta) -> bool: ...


class Connectivity(Protocol):
    """What a node sees of the others."""

    @property
    def has_peers(self) -> bool: ...

    def reaches_a_peer(self) -> bool: ...

    def reaches_a_serving_peer(self) -> bool: ...

    def is_leadership_proven(self) -> bool: ...


class LeadershipMonitor:
    """Looks at the leader, if this node leads, and at its surroundings twice a second."""

    def __init__(
        self,
        clock: Clock,
        election: Election,
        surroundings: Connectivity,
        leader: Callable[[], MonitoredLeader | None],
        report: timedelta,
        proof_lasts: timedelta,
    ) -> None:
        """`report` is the time between two reports of a machine; `proof_lasts`, how long after it was shown
        to lead a node may take itself for the leader."""
        self._clock = clock
        self._election = election
        self._connectivity = surroundings
        self._leader = leader
        self._silence_limit = max(report * MISSED_HEARTBEATS, MIN_SILENCE_LIMIT)
        self._proof_validity = proof_lasts
        # Until when this node does not campaign.
        self._no_campaign_until = ZERO
        # When it last made way for a sibling, and how long it must lead before it does so as stalled again.
        self._resigned_at = -MAX_RESIGN_INTERVAL
        self._min_stall_resign_interval = MIN_RESIGN_INTERVAL
        # When this process last ran late.
        self._ran_late_at = timedelta(days=-1)
        # Since when this node has had neither the store nor a sibling; None if it has one of them.
        self.isolated_since: timedelta | None = None

    def start(self) -> None:
        """Begins to look."""
        run_forever(self._clock, self._run, "leadership monitor")

    @property
    def may_campaign(self) -> bool:
        """Whether the node may stand for election."""
        return self._clock.now() >= self._no_campaign_until

    async def _run(self) -> None:
        while True:
            before = self._clock.now()
            await sleep(self._clock, CHECK_INTERVAL)
            now = self._clock.now()
            if now - before > LATE_CHECK:
                # Busy, or on a slow processor: what it has not heard may only be late. The last node that all
                # workers could reach once stepped down for being slow, and every lease ran out.
                self._ran_late_at = now
            if now - self._ran_late_at >= self._proof_validity:
                await self._check(now)

    async def _check(self, now: timedelta) -> None:
        self._check_isolation(now)
        leader = self._leader()
        if leader is None or not self._connectivity.has_peers:
            return
        stalled = leader.stall_reason
        if stalled is not None:
            if await self._resign_for_peer(f"stalled: {stalled}", self._min_stall_resign_interval):
                self._min_stall_resign_interval = min(
                    self._min_stall_resign_interval * 2, MAX_RESIGN_INTERVAL
                )
        elif not leader.is_active:
            return
        elif leader.is_unreachable_for_machines:
            # What it sent straight to them may arrive once the cut is over; the next leader's token is higher
            # by then, and a start that never came is given out again.
            await self._resign_for_peer("machines do not hear it, though they are heard", MIN_RESIGN_INTERVAL)
        elif leader.receives_no_heartbeats(self._silence_limit) and not self._connectivity.reaches_a_peer():
            self._pause_campaigning(now)
            await self._election.resign("hears neither machines nor siblings")

    def _check_isolation(self, now: timedelta) -> None:
        """A node that has lost the store and all siblings does not lead, though machines still reach it:
        another leads by now, or will, and nothing that this one decides can be recorded."""
        surroundings = self._connectivity
        reached = not surroundings.has_peers or surroundings.reaches_a_peer()
        if reached or surroundings.is_leadership_proven():
            self.isolated_since = None
        elif self.isolated_since is None:
            self.isolated_since = now
            reason = "cut off from the store and all siblings"
            log.info(reason)
            self._election.step_down(reason)

    async def _resign_for_peer(self, reason: str, again: timedelta) -> bool:
        """Resigns for a sibling that may do better, if one reaches the store and the last time was longer ago
        than `again`. Returns whether it did."""
        now = self._clock.now()
        if now - self._resigned_at <= again or not self._connectivity.reaches_a_serving_peer():
            return False
        self._resigned_at = now
        self._pause_campaigning(now)
        await self._election.resign(reason)
        return True

    def _pause_campaigning(self, now: timedelta) -> None:
        self._no_campaign_until = now + self._silence_limit * 2
