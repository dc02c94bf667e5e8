"""A node's copy of the service's keys, kept by watch.

The copy is only ever behind the store, never wrong. `confirm` proves it current: it waits for a catch-up
(a watch that does not wait) begun after the call, one shared by all who wait. Changes arrive both from the
long watch and from catch-ups; each answer holds every change after a revision the copy already had, so
taking over only what is newer than the copy's own revision neither misses nor repeats one.
"""

import logging
from collections.abc import Callable
from contextlib import suppress
from datetime import timedelta

from twisted.internet.defer import Deferred

from spindleglade.clock import Clock, sleep
from spindleglade.store.client import StateClient, TooOld, Unavailable, Unknown
from spindleglade.tasks import keep, spawn

log = logging.getLogger("spindleglade.store")

# key, value (None: removed), mark
Listener = Callable[[str, bytes | None, int], None]


class Unconfirmed(Exception):
    """The replica could not be proven current."""


class Replica:
    def __init__(
        self,
        client: StateClient,
        clock: Clock,
        prefix: str,
        wait: timedelta,
        every: timedelta,
        pace: Callable[[], timedelta] = lambda: timedelta(0),
    ) -> None:
        self._client = client
        self._clock = clock
        self._prefix = prefix
        self._wait = wait
        self._every = every
        # Between two watches, and between two catch-ups. Changes and questions come many a second: a request
        # for each would be refused as too many, and then nobody could be answered at all.
        self._pace = pace
        self._asked: timedelta | None = None
        self._listeners: list[Listener] = []
        # Deferreds of those waiting for the next catch-up, and of those waiting for the one under way.
        self._next: list[Deferred[None]] = []
        self._catching = False
        # Catch-ups that failed since one succeeded.
        self._failed_catch_ups = 0
        self.turn = 0
        self.loaded = False
        # The keys and their marks; values live with the slices that listen.
        self.marks: dict[str, int] = {}
        # When the latest successful proof was asked for; None before the first.
        self.confirmed: timedelta | None = None

    def listen(self, listener: Listener) -> None:
        self._listeners.append(listener)

    def start(self) -> None:
        keep(self._clock, self._follow, "watch")
        keep(self._clock, self._prove, "proof loop")

    async def _follow(self) -> None:
        while True:
            try:
                if not self.loaded:
                    await self._load()
                turn, changes = await self._client.watch(self._prefix, self.turn, self._wait)
                self.apply(turn, changes)
                if self._pace():
                    await sleep(self._clock, self._pace())
            except TooOld:
                log.info("replica too old turn=%d", self.turn)
                self.loaded = False
            except (Unavailable, Unknown) as error:
                level = logging.DEBUG if self.loaded else logging.INFO
                log.log(level, "watch interrupted turn=%d loaded=%s reason=%s", self.turn, self.loaded, error)
                await sleep(self._clock, timedelta(seconds=0.5))

    async def _load(self) -> None:
        asked = self._clock.now()
        listing = await self._client.read_all(self._prefix)
        turn, changes = listing.turn, []
        if listing.pages > 1:
            # Read at different moments: of a value that was split meanwhile, the first page may lack the
            # parts and a later one what they were taken from. Nothing is taken in before both are there.
            turn, changes = await self._client.watch(self._prefix, listing.turn, timedelta(0))
        present = {entry.key for entry in listing.entries}
        for entry in listing.entries:
            # A catch-up may have overtaken the listing. What it shows from before the copy's own revision is
            # known already, or was removed since: taken in, such a key would never go again.
            if entry.mark > max(self.turn, self.marks.get(entry.key, 0)):
                self._take(entry.key, bytes(entry.value), entry.mark)
        gone = [key for key, mark in self.marks.items() if key not in present and mark <= listing.turn]
        for key in gone:
            self._take(key, None, listing.turn)
        self.turn = max(self.turn, listing.turn)
        self.apply(turn, changes)
        self.loaded = True
        self._proven(asked)
        log.info("replica loaded keys=%d turn=%d", len(present), self.turn)

    def apply(self, turn: int, changes: list) -> None:
        for change in changes:
            if change.mark <= self.turn:
                continue
            if change.put is not None:
                # A listing may already have shown this key newer than the revision followed from.
                if change.mark > self.marks.get(change.put, 0):
                    self._take(change.put, bytes(change.value), change.mark)
            elif change.removed is not None and change.mark > self.marks.get(change.removed, 0):
                self._take(change.removed, None, change.mark)
        self.turn = max(self.turn, turn)

    def _take(self, key: str, value: bytes | None, mark: int) -> None:
        if value is None:
            self.marks.pop(key, None)
        else:
            self.marks[key] = mark
        for listener in self._listeners:
            try:
                listener(key, value, mark)
            except Exception:
                # One listener's trouble with one key must not end the watch, by which all else is learned.
                log.exception("change not taken key=%s", key)

    def learn(self, key: str, value: bytes, mark: int) -> None:
        """A value that the store is known to hold, before the watch tells of it: this node wrote it, or a
        sibling has read it. Only for keys that are never removed."""
        if mark > self.marks.get(key, 0):
            self._take(key, value, mark)

    async def _prove(self) -> None:
        while True:
            await sleep(self._clock, self._every)
            if self._clock.now() - (self.confirmed or timedelta(0)) >= self._every:
                with suppress(Unconfirmed):
                    await self.confirm()

    def _proven(self, asked: timedelta) -> None:
        if self.confirmed is None or asked > self.confirmed:
            self.confirmed = asked

    def confirm(self) -> Deferred[None]:
        """Fires once the replica is at least as new as the store was at this call; fails with Unconfirmed."""
        waiter: Deferred[None] = Deferred()
        self._next.append(waiter)
        if not self._catching:
            spawn(self._catch_up(), "catch-up")
        return waiter

    async def _catch_up(self) -> None:
        self._catching = True
        try:
            await self._serve_waiting()
        finally:
            # Else no catch-up would ever begin again, and nothing be confirmed.
            self._catching = False

    async def _serve_waiting(self) -> None:
        while self._next:
            if self._pace() and self._asked is not None:
                early = self._asked + self._pace() - self._clock.now()
                if early > timedelta(0):
                    await sleep(self._clock, early)
            served, self._next = self._next, []
            self._asked = asked = self._clock.now()
            reason = None
            try:
                if not self.loaded:
                    raise Unavailable("replica not loaded yet")
                turn, changes = await self._client.watch(self._prefix, self.turn, timedelta(0))
                self.apply(turn, changes)
                self._proven(asked)
            except TooOld:
                self.loaded = False
                reason = "replica too old"
            except (Unavailable, Unknown) as error:
                reason = str(error)
            except Exception as error:
                # Whoever waits must hear of it, and the next catch-up must still begin.
                log.exception("catch-up broke")
                reason = repr(error)
            self._log_catch_up(reason)
            for waiter in served:
                if reason is None:
                    waiter.callback(None)
                else:
                    waiter.errback(Unconfirmed(reason))

    def _log_catch_up(self, reason: str | None) -> None:
        """The first that fails, and the first that succeeds after it; they come many times a second."""
        if reason is None and self._failed_catch_ups:
            log.info("catch-ups succeed again turn=%d failed=%d", self.turn, self._failed_catch_ups)
        elif reason is not None and not self._failed_catch_ups:
            log.info("catch-up failed turn=%d loaded=%s reason=%s", self.turn, self.loaded, reason)
        self._failed_catch_ups = 0 if reason is None else self._failed_catch_ups + 1
