"""Detects that only this controller is isolated, so that its workers should use another controller."""

from collections.abc import Callable
from datetime import timedelta

from spindleglade.runtime.clock import Clock

# A worker that was redirected and came back found no other controller. It is not redirected again for this
# many leases.
REDIRECT_BACKOFF_LEASES = 2


class IsolationDetector:
    """Decides which workers are redirected by a controller that has lost the store and all peers.

    The isolated controller may renew leases without the leader, but it has no commands for the workers. If
    only this controller is isolated, any other controller serves them better. If its whole zone is isolated,
    its workers reach no other controller. Heartbeats of workers in other zones show that the zone is not
    isolated.
    """

    def __init__(
        self,
        clock: Clock,
        zone: str,
        lease: timedelta,
        isolated_since: Callable[[], timedelta | None],
    ) -> None:
        """`isolated_since` returns None while the store or a peer is reachable."""
        self._clock = clock
        self._zone = zone
        self._redirect_backoff = lease * REDIRECT_BACKOFF_LEASES
        self._isolated_since = isolated_since
        self._other_zone_heartbeat_at: timedelta | None = None
        self._redirected_at: dict[str, timedelta] = {}

    def should_redirect(self, worker: str, zone: str) -> bool:
        """Whether a worker in `zone` that has just sent a heartbeat is redirected to any other controller."""
        since, now = self._isolated_since(), self._clock.now()
        if since is None:
            self._redirected_at.clear()
            return False
        if zone != self._zone:
            self._other_zone_heartbeat_at = now
        if self._other_zone_heartbeat_at is None or self._other_zone_heartbeat_at < since:
            return False
        redirected_at = self._redirected_at.get(worker)
        if redirected_at is not None and now - redirected_at < self._redirect_backoff:
            return False
        self._redirected_at[worker] = now
        return True
