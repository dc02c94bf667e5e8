"""Which workers report where: their reports are most of a deployment's traffic, and after a restart all of a
node's workers would stay with the others for good.

A node that has more than its share sends a few of them on to a sibling that has less, by a 421 that names
it. The leader has enough else to do, so its share is smaller. Nothing is moved while a sibling is away or has
only just come back: a worker sent to a node that it cannot reach loses some seconds of its lease.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from spindleglade.runtime.clock import Clock

LEADER_WEIGHT = 0.5
# Workers moved for each word from a sibling.
MAX_MOVES = 8


class ControllerLoad(NamedTuple):
    controller: str
    workers: int
    leads: bool


class HeartbeatBalancer:
    def __init__(self, clock: Clock, report: timedelta, siblings: int, steady: timedelta) -> None:
        self._clock = clock
        self._recent_period = report * 2
        self._peer_count = siblings
        self._stable_period = steady
        # Workers that report here, and when they last did.
        self._last_heartbeats: dict[str, timedelta] = {}
        # Those sent on; one that is back soon is left in peace.
        self._redirected_at: dict[str, timedelta] = {}
        self._moves: dict[str, int] = {}
        self._all_peers_since: timedelta | None = None

    @property
    def workers(self) -> int:
        now = self._clock.now()
        self._last_heartbeats = {
            name: at for name, at in self._last_heartbeats.items() if now - at <= self._recent_period
        }
        return len(self._last_heartbeats)

    def on_heartbeat(self, worker: str) -> None:
        self._last_heartbeats[worker] = self._clock.now()

    def rebalance(self, own: ControllerLoad, others: list[ControllerLoad]) -> None:
        """What the siblings last said of themselves; only those that serve."""
        now = self._clock.now()
        self._moves = {}
        if len(others) < self._peer_count:
            self._all_peers_since = None
            return
        self._all_peers_since = self._all_peers_since or now
        if now - self._all_peers_since < self._stable_period:
            return
        loads = [own, *others]
        weights = {load.controller: LEADER_WEIGHT if load.leads else 1.0 for load in loads}
        each = sum(load.workers for load in loads) / sum(weights.values())
        excess = own.workers - each * weights[own.controller]
        # A small difference is not worth a move.
        if excess < 3 + 0.1 * own.workers:
            return
        room = MAX_MOVES
        for load in others:
            lacks = each * weights[load.controller] - load.workers
            count = min(room, int(lacks), int(excess))
            if count > 0:
                self._moves[load.controller] = count
                room -= count
                excess -= count

    def redirect_target(self, worker: str) -> str | None:
        """The sibling that this worker should report to instead, if any."""
        if not self._moves:
            return None
        now = self._clock.now()
        sent = self._redirected_at.get(worker)
        if sent is not None and now - sent < timedelta(minutes=2):
            return None
        node = next(iter(self._moves))
        self._moves[node] -= 1
        if not self._moves[node]:
            del self._moves[node]
        self._redirected_at[worker] = now
        self._last_heartbeats.pop(worker, None)
        return node


class IsolationDetector:
    """Tells a node that has lost the store and all siblings whether the workers should look elsewhere.

    It may renew their leases by itself, but it has no orders for them. If only this node is cut off, every
    other one serves them better; if their whole zone is, there is no other. Workers of other zones that still
    reach this node show that it is the node. One that was sent on and comes back found nobody, and is kept.
    """

    def __init__(
        self, clock: Clock, zone: str, lease: timedelta, alone_since: Callable[[], timedelta | None]
    ):
        self._clock = clock
        self._zone = zone
        self._lease = lease
        self._isolated_since = alone_since
        self._other_zone_heard_at: timedelta | None = None
        self._redirected_at: dict[str, timedelta] = {}

    def should_redirect(self, worker: str, zone: str) -> bool:
        since, now = self._isolated_since(), self._clock.now()
        if since is None:
            self._redirected_at.clear()
            return False
        if zone != self._zone:
            self._other_zone_heard_at = now
        if self._other_zone_heard_at is None or self._other_zone_heard_at < since:
            return False
        sent = self._redirected_at.get(worker)
        if sent is not None and now - sent < self._lease * 2:
            return False
        self._redirected_at[worker] = now
        return True
