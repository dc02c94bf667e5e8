"""Tells whether only this controller is isolated, so that its workers had better use another one."""

from collections.abc import Callable
from datetime import timedelta

from spindleglade.runtime.clock import Clock

# For how many leases a worker that was redirected and came back is not redirected again: it found no other
# controller.
REDIRECT_BACKOFF_LEASES = 2


class IsolationDetector:
    """Decides, for a controller that has lost the store and all peers, which workers it redirects.

    It may renew their leases without the leader, but it has no commands for them. If only this controller is
    isolated, every other one serves them better; if its whole zone is, there is no other. Workers of other
    zones that still reach this controller show that its zone is not isolated.
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
        """Whether a worker of that zone, which has just sent a heartbeat, is redirected to any other
        controller."""
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
