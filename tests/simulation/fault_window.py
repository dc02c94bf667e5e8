"""The time until which faults last, and the rates at which messages and requests fail meanwhile."""

from dataclasses import dataclass
from datetime import timedelta

from spindleglade.runtime.clock import ManualClock


class FaultWindow:
    """Records when the last fault ends; stricter rules apply to the service after that."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self.ends_at = timedelta(0)

    def extend(self, length: timedelta) -> None:
        """Records a fault that lasts for `length` from now on."""
        self.ends_at = max(self.ends_at, self._clock.now() + length)


@dataclass
class FaultRates:
    """The current shares of messages and requests that fail in each way, and their maximum delays."""

    # The share of messages that are lost.
    lost_messages: float = 0.0
    # The share of heartbeats of which a late copy arrives at a random controller.
    late_heartbeats: float = 0.0
    # The share of controllers' POST requests that arrive a second time.
    repeated_requests: float = 0.0
    # The share of heartbeats of which a copy is kept until a new leader is elected and is then delivered
    # to all controllers.
    kept_heartbeats: float = 0.0
    # The shares of transactions that get no answer and are executed 2 to 12 s later, or at once.
    late_writes: float = 0.0
    lost_answers: float = 0.0
    # The maximum extra delay of an answer of the store, and of any message.
    slow_store: timedelta = timedelta(0)
    slow_links: timedelta = timedelta(0)
    # The share of jobs that their user cancels when their last task ends.
    cancel_at_end: float = 0.0
    # Whether users poll a job at all controllers at once when it is accepted and when it is over, and the
    # share of accepted jobs that they then cancel too.
    poll_everywhere: bool = False
    cancel_at_once: float = 0.0
