"""How long faults last, and how often messages and requests fail meanwhile."""

from dataclasses import dataclass
from datetime import timedelta

from spindleglade.runtime.clock import ManualClock


class FaultWindow:
    """Until when faults are under way. The service is held to more once the last one is over."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self.ends_at = timedelta(0)

    def extend(self, length: timedelta) -> None:
        """A fault lasts so long from now on."""
        self.ends_at = max(self.ends_at, self._clock.now() + length)


@dataclass
class FaultRates:
    """The shares of messages and requests that fail in some way now, and by how much they are delayed."""

    # Messages that are lost.
    lost_messages: float = 0.0
    # Heartbeats of which a late copy comes, at any controller.
    late_heartbeats: float = 0.0
    # Requests of controllers that arrive a second time.
    repeated_requests: float = 0.0
    # Heartbeats of which a copy is kept until a new leader leads, and then comes to all controllers.
    kept_heartbeats: float = 0.0
    # Transactions without an answer: carried out 2 to 12 s later, or at once.
    late_writes: float = 0.0
    lost_answers: float = 0.0
    # The longest that the store takes for an answer, and any message for its way.
    slow_store: timedelta = timedelta(0)
    slow_links: timedelta = timedelta(0)
    # Jobs that their user cancels at the moment of their end.
    cancel_at_end: float = 0.0
    # Whether users ask at all controllers at once after each new answer; of that share they cancel as well.
    poll_everywhere: bool = False
    cancel_at_once: float = 0.0
