"""Lets a loop wait until another part of the program has work for it."""

from twisted.internet.defer import Deferred


class Wakeup:
    """Wakes one waiting coroutine. Must be used only in the reactor's thread."""

    def __init__(self) -> None:
        # Fires to end the current wait; None while no coroutine waits.
        self._waiter: Deferred[None] | None = None

    def wake(self) -> None:
        """Ends the current wait. Has no effect if there is none, nor on a wait that begins later."""
        if self._waiter is not None:
            waiter, self._waiter = self._waiter, None
            waiter.callback(None)

    async def wait(self) -> None:
        """Waits until the next call of `wake`."""
        self._waiter = Deferred()
        await self._waiter
