"""Balances the workers' heartbeats among the controllers.

Heartbeats are most of a deployment's traffic, and after a controller restarts, its former workers would stay
with its peers for good. A controller above its share of the workers redirects a few of them to a peer below
its share. The leader's share is smaller because of its other work. No worker is redirected while a peer is
unavailable or has only just come back: a worker redirected to a controller that it cannot reach loses seconds
of its lease.
"""

from datetime import timedelta
from typing import NamedTuple

from spindleglade.runtime.clock import Clock

# The leader's share of the workers, relative to a share of 1 for every other controller.
LEADER_WEIGHT = 0.5
# Maximum number of workers redirected before the loads are compared again.
MAX_REDIRECTS = 8
# Workers are redirected only if the excess is at least this many workers plus this fraction of the
# controller's own workers.
MIN_EXCESS_WORKERS = 3
MIN_EXCESS_SHARE = 0.1
# A worker counts as the controller's own for this many heartbeat intervals after its latest heartbeat.
RECENT_HEARTBEAT_INTERVALS = 2
# A worker that was redirected and came back is not redirected again for this long.
REDIRECT_BACKOFF = timedelta(minutes=2)


class ControllerLoad(NamedTuple):
    """The number of workers that send their heartbeats to a controller."""

    controller: str
    workers: int
    is_leader: bool

    @property
    def weight(self) -> float:
        """The controller's share of the workers, relative to the shares of the other controllers."""
        return LEADER_WEIGHT if self.is_leader else 1.0


class HeartbeatBalancer:
    """Decides which workers are redirected to which peer."""

    def __init__(
        self, clock: Clock, heartbeat_interval: timedelta, peer_count: int, stable_period: timedelta
    ) -> None:
        """No worker is redirected until all `peer_count` peers have been serving for `stable_period`."""
        self._clock = clock
        self._recent_period = heartbeat_interval * RECENT_HEARTBEAT_INTERVALS
        self._peer_count = peer_count
        self._stable_period = stable_period
        self._last_heartbeats: dict[str, timedelta] = {}
        self._redirected_at: dict[str, timedelta] = {}
        # How many workers are still to be redirected to each peer.
        self._pending_redirects: dict[str, int] = {}
        self._all_peers_since: timedelta | None = None

    @property
    def workers(self) -> int:
        """The number of workers that send their heartbeats to this controller."""
        now = self._clock.now()
        self._last_heartbeats = {
            worker: at for worker, at in self._last_heartbeats.items() if now - at <= self._recent_period
        }
        return len(self._last_heartbeats)

    def on_heartbeat(self, worker: str) -> None:
        """Counts a worker that has sent a heartbeat and is not redirected."""
        self._last_heartbeats[worker] = self._clock.now()

    def rebalance(self, own: ControllerLoad, peers: list[ControllerLoad]) -> None:
        """Decides how many workers are redirected to each peer, by the latest loads of the serving peers."""
        self._pending_redirects = {}
        if not self._peers_are_stable(len(peers)):
            return
        loads = [own, *peers]
        workers_per_weight = sum(load.workers for load in loads) / sum(load.weight for load in loads)
        excess = own.workers - workers_per_weight * own.weight
        if excess < MIN_EXCESS_WORKERS + MIN_EXCESS_SHARE * own.workers:
            return
        remaining = MAX_REDIRECTS
        for load in peers:
            deficit = workers_per_weight * load.weight - load.workers
            count = min(remaining, int(deficit), int(excess))
            if count > 0:
                self._pending_redirects[load.controller] = count
                remaining -= count
                excess -= count

    def redirect_target(self, worker: str) -> str | None:
        """The peer to which this worker is redirected now, which counts as a redirect; None if it stays."""
        if not self._pending_redirects:
            return None
        now = self._clock.now()
        redirected_at = self._redirected_at.get(worker)
        if redirected_at is not None and now - redirected_at < REDIRECT_BACKOFF:
            return None
        target = next(iter(self._pending_redirects))
        self._pending_redirects[target] -= 1
        if not self._pending_redirects[target]:
            del self._pending_redirects[target]
        self._redirected_at[worker] = now
        self._last_heartbeats.pop(worker, None)
        return target

    def _peers_are_stable(self, serving_peers: int) -> bool:
        """Whether all peers have been serving for the stable period."""
        if serving_peers < self._peer_count:
            self._all_peers_since = None
            return False
        now = self._clock.now()
        self._all_peers_since = self._all_peers_since or now
        return now - self._all_peers_since >= self._stable_period
