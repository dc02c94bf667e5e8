"""Decides when a leader gives up leadership, and keeps it from campaigning for some time after resigning.

A leader that cannot do its work must leave it to a peer. This is the case if the leader is isolated from the
store and all peers, receives no heartbeats from machines, reaches few or none of them, or has stalled.
"""

import logging
from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from spindleglade.leadership.election import Election
from spindleglade.runtime.background import run_forever
from spindleglade.runtime.clock import ZERO, Clock, seconds, sleep

log = logging.getLogger("spindleglade.leadership")

# The time between two checks.
CHECK_INTERVAL = seconds(0.5)
# A check that starts later than this after the previous one shows that this process was busy or suspended.
LATE_CHECK_INTERVAL = seconds(0.75)
# The shortest time between two resignations in favour of a peer. It keeps leadership from changing all the
# time if all controllers have the same problem. For a stalled leader it doubles with each resignation, up to
# the maximum.
MIN_RESIGN_INTERVAL = timedelta(seconds=60)
MAX_RESIGN_INTERVAL = timedelta(minutes=16)
# The silence limit is the time without any heartbeat after which a leader counts as receiving none: this many
# heartbeat intervals of the machines, but at least the minimum.
MISSED_HEARTBEATS = 3
MIN_SILENCE_LIMIT = seconds(3)
# How long a controller does not campaign after it has resigned, in silence limits.
CAMPAIGN_PAUSE_SILENCE_LIMITS = 2
# The initial time of the last late check, long before the clock's zero.
NEVER_RAN_LATE = timedelta(days=-1)


class MonitoredLeader(Protocol):
    """The leader's state that the monitor checks."""

    @property
    def is_active(self) -> bool:
        """Whether the recovery is complete and the term is not over."""

    @property
    def stall_reason(self) -> str | None:
        """Why the leader has stalled; None if it has not."""
        ...

    @property
    def is_unreachable_for_machines(self) -> bool:
        """Whether the leader's requests reach few or none of the machines with recent heartbeats."""
        ...

    def receives_no_heartbeats(self, silence_limit: timedelta) -> bool:
        """Whether there are machines, and none of them has sent a heartbeat within `silence_limit`."""
        ...


class Connectivity(Protocol):
    """The state of a controller's connections to the store and to its peers."""

    @property
    def has_peers(self) -> bool:
        """Whether the deployment has other controllers."""
        ...

    def reaches_a_peer(self) -> bool:
        """Whether the connection to at least one peer is up."""
        ...

    def reaches_a_serving_peer(self) -> bool:
        """Whether the connection to at least one peer that has recently reached the store is up."""
        ...

    def is_leadership_proven(self) -> bool:
        """Whether this controller, if it leads, has recent proof that no later term has begun."""
        ...


class LeadershipMonitor:
    """Checks the controller's connectivity periodically, and the leader while this controller leads."""

    def __init__(
        self,
        clock: Clock,
        election: Election,
        connectivity: Connectivity,
        leader: Callable[[], MonitoredLeader | None],
        heartbeat_interval: timedelta,
        proof_validity: timedelta,
    ) -> None:
        """`leader` returns the leader; None while this controller does not lead. `heartbeat_interval` is the
        heartbeat interval of the machines. `proof_validity` is how long leadership counts as proven after the
        replica was last current. After a late check, the connectivity and the leader are not checked for as
        long."""
        self._clock = clock
        self._election = election
        self._connectivity = connectivity
        self._leader = leader
        self._silence_limit = max(heartbeat_interval * MISSED_HEARTBEATS, MIN_SILENCE_LIMIT)
        self._proof_validity = proof_validity
        self._campaigning_paused_until = ZERO
        # When this controller last resigned in favour of a peer.
        self._resigned_at = -MAX_RESIGN_INTERVAL
        self._stalled_resign_interval = MIN_RESIGN_INTERVAL
        # When a check was last late.
        self._ran_late_at = NEVER_RAN_LATE
        # Since when this controller has been isolated from the store and all peers; None while it is not.
        self.isolated_since: timedelta | None = None

    def start(self) -> None:
        """Starts the periodic checks."""
        run_forever(self._clock, self._run, "leadership monitor")

    @property
    def may_campaign(self) -> bool:
        """Whether this controller may campaign at present."""
        return self._clock.now() >= self._campaigning_paused_until

    async def _run(self) -> None:
        while True:
            previous = self._clock.now()
            await sleep(self._clock, CHECK_INTERVAL)
            now = self._clock.now()
            if now - previous > LATE_CHECK_INTERVAL:
                # Messages that a busy process has not received may be waiting to be read. If this is the only
                # controller that the workers reach and it steps down for being slow, all leases expire.
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
        """Steps down if the store and all peers are unreachable, even if machines still reach the controller.

        Another controller leads already or will be elected, and no decision of this controller can be
        recorded.
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
            # Commands that were already sent may arrive when the partition ends, but by then the next
            # leader's token is higher. That leader places a task again if its start command never arrived.
            await self._resign_for_peer("its requests do not reach the machines", MIN_RESIGN_INTERVAL)
        elif leader.receives_no_heartbeats(self._silence_limit) and not self._connectivity.reaches_a_peer():
            self._pause_campaigning(now)
            await self._election.resign("it receives no messages from machines or peers")

    async def _resign_for_peer(self, reason: str, min_interval: timedelta) -> bool:
        """Resigns if a peer reaches the store and could therefore lead.

        Does nothing within `min_interval` of the last resignation of this kind. Returns whether it resigned.
        """
        now = self._clock.now()
        if now - self._resigned_at <= min_interval or not self._connectivity.reaches_a_serving_peer():
            return False
        self._resigned_at = now
        self._pause_campaigning(now)
        await self._election.resign(reason)
        return True

    def _pause_campaigning(self, now: timedelta) -> None:
        self._campaigning_paused_until = now + self._silence_limit * CAMPAIGN_PAUSE_SILENCE_LIMITS
