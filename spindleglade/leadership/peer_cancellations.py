"""Tracks the cancellations that peers report, and up to what time this controller knows all cancellations.

Every cancellation is confirmed to a user by one of the controllers. If each peer has reported all
cancellations that it knows, a leader that cannot reach the store knows every cancellation that any peer had
confirmed when the report was requested.

A process that has ended cannot report what it had confirmed. A peer's report therefore counts only if the
leader first heard of the peer's process before the replica was last known to be current. Everything that this
process and its predecessors had confirmed by that time is in the replica, and the process itself reports what
it confirmed later.

Only the leader may rely on these reports. A follower would learn from them that a job is cancelled, but not
that a command to start the job's tasks is on its way to a machine. That is only in records that the follower
has not read.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

from spindleglade.runtime.clock import Clock


@dataclass(slots=True)
class _PeerProcess:
    # The process ID in the peer's heartbeats.
    process: str
    # When the first heartbeat of the process arrived.
    first_heard_at: timedelta
    # When the process's latest report of cancellations was requested; None before the first report.
    complete_as_of: timedelta | None = None


class PeerCancellationLog:
    """Passes on the cancellations that peers report, and tracks up to what time all of them are known."""

    def __init__(
        self,
        clock: Clock,
        peers: Iterable[str],
        replica_current_as_of: Callable[[], timedelta | None],
        observe_cancellation: Callable[[str, int], None],
    ) -> None:
        """`replica_current_as_of` returns when the replica was last known to be current; None if it never
        was. `observe_cancellation` is called with each cancelled job and the mod_revision of the job's
        record."""
        self._clock = clock
        # The current process of each peer; None before the first heartbeat of the peer.
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

        `cancellations` holds the reported cancelled jobs, each with the mod_revision of its record; None if
        the heartbeat contains no report. `requested_at` is when the acknowledged heartbeat was sent; None if
        this heartbeat is not an acknowledgement.
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
        """The time up to which this controller knows all cancellations, from the store or from the reports of
        all peers; None if the replica was never current."""
        current_as_of = self._replica_current_as_of()
        if current_as_of is None or not self._processes:
            return current_as_of
        oldest_report = self._clock.now()
        for peer in self._processes.values():
            if peer is None or peer.complete_as_of is None or peer.first_heard_at > current_as_of:
                return current_as_of
            oldest_report = min(oldest_report, peer.complete_as_of)
        return max(current_as_of, oldest_report)
