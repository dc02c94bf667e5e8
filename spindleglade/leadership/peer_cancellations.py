"""What siblings state of cancellations, and what a leader that cannot reach the store may conclude from it.

A cancellation is told to a user by some node. So whoever has heard from every sibling "I know of no
cancellations but these" knows all that any of them had told anybody when it was asked. Of a process that has
ended since, nobody can say what it told: a sibling's word counts only if the same process was heard before
the last proof by the store. What it, or a process before it, had told by then is in that proof; what it told
later it states itself.

This serves the leader alone. A node without the leader could learn in this way that a job is cancelled, but
not that a start of it is on its way to a machine: that stands only in records that it has not read.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

from spindleglade.runtime.clock import Clock


@dataclass(slots=True)
class _PeerProcess:
    # The process, and since when it has been heard.
    process: str
    first_heard_at: timedelta
    # When it was asked what it last stated.
    complete_as_of: timedelta | None = None


class PeerCancellationLog:
    def __init__(
        self,
        clock: Clock,
        siblings: Iterable[str],
        confirmed: Callable[[], timedelta | None],
        learn: Callable[[str, int], None],
    ) -> None:
        self._clock = clock
        # None: it has not been heard yet.
        self._peers: dict[str, _PeerProcess | None] = dict.fromkeys(siblings)
        self._replica_current_as_of = confirmed
        self._observe_cancellation = learn

    def on_heartbeat(
        self, node: str, process: str, aborts: list[tuple[str, int]] | None, asked: timedelta | None
    ) -> None:
        """A sibling's word: which process it is, and the cancellations it knows of with their marks, if it
        was asked for them at `asked`."""
        if node not in self._peers:
            return
        sibling = self._peers[node]
        if sibling is None or sibling.process != process:
            sibling = self._peers[node] = _PeerProcess(process, self._clock.now())
        for job, mod_revision in aborts or ():
            self._observe_cancellation(job, mod_revision)
        if aborts is not None and asked is not None:
            sibling.complete_as_of = asked

    @property
    def complete_as_of(self) -> timedelta | None:
        """When this node last asked whether it knew all cancellations and was told so, by the store or by
        all siblings."""
        confirmed = self._replica_current_as_of()
        if confirmed is None or not self._peers:
            return confirmed
        oldest = self._clock.now()
        for sibling in self._peers.values():
            if sibling is None or sibling.complete_as_of is None or sibling.first_heard_at > confirmed:
                return confirmed
            oldest = min(oldest, sibling.complete_as_of)
        return max(confirmed, oldest)
