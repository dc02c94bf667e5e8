"""Decides when a leader steps down or resigns by itself, and then keeps it from campaigning for a while.

A leader that cannot do its work must not keep a peer from doing it: one that is cut off from the store and
all peers, that receives no heartbeats of machines, that no machine receives anything from, or whose periodic
tasks get nothing done.
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
# A check that begins so long after the one before shows that this process was busy or suspended.
LATE_CHECK_INTERVAL = seconds(0.75)
# Shortest time between two resignations in favour of a peer: where all controllers fare alike, leadership
# must not go round in circles. For a stalled leader it doubles with each resignation, up to the maximum.
MIN_RESIGN_INTERVAL = timedelta(seconds=60)
MAX_RESIGN_INTERVAL = timedelta(minutes=16)
# Heartbeats that all machines must have missed for the leader to count as receiving none, and the shortest
# time for which it must have received none.
MISSED_HEARTBEATS = 3
MIN_SILENCE_LIMIT = seconds(3)
# Silence limits for which a controller does not campaign after it has resigned.
CAMPAIGN_PAUSE_SILENCE_LIMITS = 2
NEVER_RAN_LATE = timedelta(days=-1)


class MonitoredLeader(Protocol):
    """What the monitor needs to know of the leader's work."""

    @property
    def is_active(self) -> bool:
        """Whether it has read the records and begun its work."""

    @property
    def stall_reason(self) -> str | None:
        """Why its periodic tasks get nothing done; None if they do."""
        ...

    @property
    def is_unreachable_for_machines(self) -> bool:
        """Whether its messages do not arrive at the machines, though their heartbeats arrive here."""
        ...

    def receives_no_heartbeats(self, limit: timedelta) -> bool:
        """Whether there are machines, but no heartbeat of any of them has arrived within the limit."""
        ...


class Connectivity(Protocol):
    """What a controller knows of its connections to the store and to its peers."""

    @property
    def has_peers(self) -> bool:
        """Whether the deployment has other controllers at all."""
        ...

    def reaches_a_peer(self) -> bool:
        """Whether the connection to some peer is up."""
        ...

    def reaches_a_serving_peer(self) -> bool:
        """Whether the connection to a peer that has lately reached the store is up."""
        ...

    def is_leadership_proven(self) -> bool:
        """Whether this controller would have learned lately of a higher token, had there been one."""
        ...


class LeadershipMonitor:
    """Checks the leader, if this controller leads, and the controller's connectivity twice a second."""

    def __init__(
        self,
        clock: Clock,
        election: Election,
        connectivity: Connectivity,
        leader: Callable[[], MonitoredLeader | None],
        heartbeat_interval: timedelta,
        proof_validity: timedelta,
    ) -> None:
        """`leader` returns the leader while this controller leads. `heartbeat_interval` is that of the
        machines. `proof_validity` is how long a controller may take itself for the leader after a proof."""
        self._clock = clock
        self._election = election
        self._connectivity = connectivity
        self._leader = leader
        self._silence_limit = max(heartbeat_interval * MISSED_HEARTBEATS, MIN_SILENCE_LIMIT)
        self._proof_validity = proof_validity
        self._no_campaign_until = ZERO
        # When this controller last resigned in favour of a peer.
        self._resigned_at = -MAX_RESIGN_INTERVAL
        self._stalled_resign_interval = MIN_RESIGN_INTERVAL
        # When this process last ran late.
        self._ran_late_at = NEVER_RAN_LATE
        # Since when this controller has had neither the store nor a peer; None while it has one of them.
        self.isolated_since: timedelta | None = None

    def start(self) -> None:
        """Starts the checks."""
        run_forever(self._clock, self._run, "leadership monitor")

    @property
    def may_campaign(self) -> bool:
        """Whether this controller may campaign at present."""
        return self._clock.now() >= self._no_campaign_until

    async def _run(self) -> None:
        while True:
            previous = self._clock.now()
            await sleep(self._clock, CHECK_INTERVAL)
            now = self._clock.now()
            if now - previous > LATE_CHECK_INTERVAL:
                # What a busy process has not received may only be late. If the one controller that all
                # workers can reach stepped down for being slow, all their leases would expire.
                self._ran_late_at = now
            if now - self._ran_late_at >= self._proof_validity:
                await self._check(now)

    async def _check(self, now: timedelta) -> None:
        self._check_isolation(now)
        leader = self._leader()
        if leader is None or not self._connectivity.has_peers:
            return
        stall_reason = leader.stall_reason
        if stall_reason is not None:
            await self._resign_as_stalled(stall_reason)
        elif leader.is_active:
            await self._check_machines(leader, now)

    def _check_isolation(self, now: timedelta) -> None:
        """Steps down if the store and all peers are out of reach, even while machines still reach this one.

        Another controller leads by then, or will, and nothing that this one decides can be recorded.
        """
        connectivity = self._connectivity
        reached = not connectivity.has_peers or connectivity.reaches_a_peer()
        if reached or connectivity.is_leadership_proven():
            self.isolated_since = None
        elif self.isolated_since is None:
            self.isolated_since = now
            reason = "isolated from the store and all peers"
            log.info("controller isolated reason=%s", reason)
            self._election.step_down(reason)

    async def _resign_as_stalled(self, stall_reason: str) -> None:
        if await self._resign_for_peer(f"stalled: {stall_reason}", self._stalled_resign_interval):
            self._stalled_resign_interval = min(self._stalled_resign_interval * 2, MAX_RESIGN_INTERVAL)

    async def _check_machines(self, leader: MonitoredLeader, now: timedelta) -> None:
        if leader.is_unreachable_for_machines:
            # Commands already sent may arrive once the partition is over. The next leader's token is higher
            # by then, and it places a task whose start never arrived once more.
            await self._resign_for_peer("its messages do not reach the machines", MIN_RESIGN_INTERVAL)
        elif leader.receives_no_heartbeats(self._silence_limit) and not self._connectivity.reaches_a_peer():
            self._pause_campaigning(now)
            await self._election.resign("it receives nothing from machines and peers")

    async def _resign_for_peer(self, reason: str, min_interval: timedelta) -> bool:
        """Resigns if a peer reaches the store, and so may do better.

        Does nothing within `min_interval` of the last such resignation. Returns whether it resigned.
        """
        now = self._clock.now()
        if now - self._resigned_at <= min_interval or not self._connectivity.reaches_a_serving_peer():
            return False
        self._resigned_at = now
        self._pause_campaigning(now)
        await self._election.resign(reason)
        return True

    def _pause_campaigning(self, now: timedelta) -> None:
        self._no_campaign_until = now + self._silence_limit * CAMPAIGN_PAUSE_SILENCE_LIMITS
