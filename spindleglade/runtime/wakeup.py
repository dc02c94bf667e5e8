"""Lets a loop wait until somebody has work for it."""

from twisted.internet.defer import Deferred


class Wakeup:
    """One waiter, and whoever wakes it. Called from the event loop only."""

    def __init__(self) -> None:
        # Set while somebody waits.
        self._waiter: Deferred[None] | None = None

    def wake(self) -> None:
        """Ends the wait, if there is one. It is not remembered for a wait that begins later."""
        if self._waiter is not None:
            waiter, self._waiter = self._waiter, None
            waiter.callback(None)

    async def wait(self) -> None:
        """Waits until the next call of `wake`."""
        self._waiter = Deferred()
        await self._waiter
