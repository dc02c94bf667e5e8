"""Keeps what peers report of cancelled jobs, and up to when this controller knows all cancellations.

A cancellation is confirmed to a user by some controller. So a leader that cannot reach the store, but has
been told by every peer "I know of no other cancellations than these", knows all that any of them had
confirmed when it was asked. Of a process that has ended since, nobody can say what it had confirmed. A peer's
report therefore counts only if the same process was first heard of before the store last proved the replica
current: what it, or a process before it, had confirmed by then is in the replica, and what it confirmed later
it reports itself.

Only the leader may rely on this. Another controller could learn in this way that a job is cancelled, but not
that a start of its tasks is under way to a machine: only records that it has not read say that.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

from spindleglade.runtime.clock import Clock


@dataclass(slots=True)
class _PeerProcess:
    process: str
    first_heard_at: timedelta
    # When it was asked for the cancellations that it last reported; None before the first report.
    complete_as_of: timedelta | None = None


class PeerCancellationLog:
    """The cancellations that peers have reported, and how complete they are."""

    def __init__(
        self,
        clock: Clock,
        peers: Iterable[str],
        replica_current_as_of: Callable[[], timedelta | None],
        observe_cancellation: Callable[[str, int], None],
    ) -> None:
        """`replica_current_as_of` returns when the replica was last known to be current, and
        `observe_cancellation` is called with each cancelled job and the mod_revision of its record."""
        self._clock = clock
        # The present process of each peer; None before its first heartbeat.
        self._processes: dict[str, _PeerProcess | None] = dict.fromkeys(peers)
        self._replica_current_as_of = replica_current_as_of
        self._observe_cancellation = observe_cancellation

    def on_heartbeat(
        self,
        controller: str,
        process: str,
        cancellations: list[tuple[str, int]] | None,
        requested_at: timedelta | None,
    ) -> None:
        """Observes a peer's heartbeat.

        `cancellations` are the cancelled jobs that it reports, each with the mod_revision of its record; None
        if it reports none at all. `requested_at` is when the heartbeat was sent that it acknowledges, if any.
        """
        if controller not in self._processes:
            return
        peer = self._processes[controller]
        if peer is None or peer.process != process:
            peer = self._processes[controller] = _PeerProcess(process, self._clock.now())
        for job, mod_revision in cancellations or ():
            self._observe_cancellation(job, mod_revision)
        if cancellations is not None and requested_at is not None:
            peer.complete_as_of = requested_at

    @property
    def complete_as_of(self) -> timedelta | None:
        """The latest time up to which this controller knows all cancellations, from the store or from all
        peers; None if the replica was never current."""
        current_as_of = self._replica_current_as_of()
        if current_as_of is None or not self._processes:
            return current_as_of
        oldest_report = self._clock.now()
        for peer in self._processes.values():
            if peer is None or peer.complete_as_of is None or peer.first_heard_at > current_as_of:
                return current_as_of
            oldest_report = min(oldest_report, peer.complete_as_of)
        return max(current_as_of, oldest_report)
