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

from spindleglade.runtime.background import run_forever, run_in_background
from spindleglade.runtime.clock import Clock, sleep
from spindleglade.store.client import StateClient
from spindleglade.store.errors import (
    NotAppliedError,
    OutcomeUnknownError,
    RevisionCompactedError,
    StaleReplicaError,
)

log = logging.getLogger("spindleglade.store")

# key, value (None: removed), mark
Subscriber = Callable[[str, bytes | None, int], None]


class Replica:
    def __init__(
        self,
        client: StateClient,
        clock: Clock,
        prefix: str,
        wait: timedelta,
        every: timedelta,
        request_interval: Callable[[], timedelta] = lambda: timedelta(0),
    ) -> None:
        self._client = client
        self._clock = clock
        self._prefix = prefix
        self._watch_timeout = wait
        self._catch_up_interval = every
        # Between two watches, and between two catch-ups. Changes and questions come many a second: a request
        # for each would be refused as too many, and then nobody could be answered at all.
        self._request_interval = request_interval
        self._catch_up_started_at: timedelta | None = None
        self._subscribers: list[Subscriber] = []
        # Deferreds of those waiting for the next catch-up, and of those waiting for the one under way.
        self._waiters: list[Deferred[None]] = []
        self._catching_up = False
        # Catch-ups that failed since one succeeded.
        self._failed_catch_ups = 0
        self.revision = 0
        self.loaded = False
        # The keys and their marks; values live with the slices that listen.
        self.mod_revisions: dict[str, int] = {}
        # When the latest successful proof was asked for; None before the first.
        self.current_as_of: timedelta | None = None

    def subscribe(self, on_change: Subscriber) -> None:
        self._subscribers.append(on_change)

    def start(self) -> None:
        run_forever(self._clock, self._follow, "watch")
        run_forever(self._clock, self._catch_up_periodically, "proof loop")

    async def _follow(self) -> None:
        while True:
            try:
                if not self.loaded:
                    await self._load()
                revision, changes = await self._client.watch(self._prefix, self.revision, self._watch_timeout)
                self.apply(revision, changes)
                if self._request_interval():
                    await sleep(self._clock, self._request_interval())
            except RevisionCompactedError:
                log.info("replica too old turn=%d", self.revision)
                self.loaded = False
            except (NotAppliedError, OutcomeUnknownError) as error:
                level = logging.DEBUG if self.loaded else logging.INFO
                log.log(
                    level, "watch interrupted turn=%d loaded=%s reason=%s", self.revision, self.loaded, error
                )
                await sleep(self._clock, timedelta(seconds=0.5))

    async def _load(self) -> None:
        asked = self._clock.now()
        listing = await self._client.read_all(self._prefix)
        revision, changes = listing.revision, []
        if listing.pages > 1:
            # Read at different moments: of a value that was split meanwhile, the first page may lack the
            # parts and a later one what they were taken from. Nothing is taken in before both are there.
            revision, changes = await self._client.watch(self._prefix, listing.revision, timedelta(0))
        present = {entry.key for entry in listing.entries}
        for entry in listing.entries:
            # A catch-up may have overtaken the listing. What it shows from before the copy's own revision is
            # known already, or was removed since: taken in, such a key would never go again.
            if entry.mod_revision > max(self.revision, self.mod_revisions.get(entry.key, 0)):
                self._apply_change(entry.key, bytes(entry.value), entry.mod_revision)
        gone = [
            key
            for key, mod_revision in self.mod_revisions.items()
            if key not in present and mod_revision <= listing.revision
        ]
        for key in gone:
            self._apply_change(key, None, listing.revision)
        self.revision = max(self.revision, listing.revision)
        self.apply(revision, changes)
        self.loaded = True
        self._record_catch_up(asked)
        log.info("replica loaded keys=%d turn=%d", len(present), self.revision)

    def apply(self, revision: int, changes: list) -> None:
        for change in changes:
            if change.mod_revision <= self.revision:
                continue
            if change.put is not None:
                # A listing may already have shown this key newer than the revision followed from.
                if change.mod_revision > self.mod_revisions.get(change.put, 0):
                    self._apply_change(change.put, bytes(change.value), change.mod_revision)
            elif change.removed is not None and change.mod_revision > self.mod_revisions.get(
                change.removed, 0
            ):
                self._apply_change(change.removed, None, change.mod_revision)
        self.revision = max(self.revision, revision)

    def _apply_change(self, key: str, value: bytes | None, mod_revision: int) -> None:
        if value is None:
            self.mod_revisions.pop(key, None)
        else:
            self.mod_revisions[key] = mod_revision
        for on_change in self._subscribers:
            try:
                on_change(key, value, mod_revision)
            except Exception:
                # One listener's trouble with one key must not end the watch, by which all else is learned.
                log.exception("change not taken key=%s", key)

    def observe(self, key: str, value: bytes, mod_revision: int) -> None:
        """A value that the store is known to hold, before the watch tells of it: this node wrote it, or a
        sibling has read it. Only for keys that are never removed."""
        if mod_revision > self.mod_revisions.get(key, 0):
            self._apply_change(key, value, mod_revision)

    async def _catch_up_periodically(self) -> None:
        while True:
            await sleep(self._clock, self._catch_up_interval)
            if self._clock.now() - (self.current_as_of or timedelta(0)) >= self._catch_up_interval:
                with suppress(StaleReplicaError):
                    await self.catch_up()

    def _record_catch_up(self, asked: timedelta) -> None:
        if self.current_as_of is None or asked > self.current_as_of:
            self.current_as_of = asked

    def catch_up(self) -> Deferred[None]:
        """Fires once the replica is at least as new as the store was at this call; fails with Unconfirmed."""
        waiter: Deferred[None] = Deferred()
        self._waiters.append(waiter)
        if not self._catching_up:
            run_in_background(self._run_catch_ups(), "catch-up")
        return waiter

    async def _run_catch_ups(self) -> None:
        self._catching_up = True
        try:
            await self._serve_waiters()
        finally:
            # Else no catch-up would ever begin again, and nothing be confirmed.
            self._catching_up = False

    async def _serve_waiters(self) -> None:
        while self._waiters:
            if self._request_interval() and self._catch_up_started_at is not None:
                early = self._catch_up_started_at + self._request_interval() - self._clock.now()
                if early > timedelta(0):
                    await sleep(self._clock, early)
            served, self._waiters = self._waiters, []
            self._catch_up_started_at = asked = self._clock.now()
            reason = None
            try:
                if not self.loaded:
                    raise NotAppliedError("replica not loaded yet")
                revision, changes = await self._client.watch(self._prefix, self.revision, timedelta(0))
                self.apply(revision, changes)
                self._record_catch_up(asked)
            except RevisionCompactedError:
                self.loaded = False
                reason = "replica too old"
            except (NotAppliedError, OutcomeUnknownError) as error:
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
                    waiter.errback(StaleReplicaError(reason))

    def _log_catch_up(self, reason: str | None) -> None:
        """The first that fails, and the first that succeeds after it; they come many times a second."""
        if reason is None and self._failed_catch_ups:
            log.info("catch-ups succeed again turn=%d failed=%d", self.revision, self._failed_catch_ups)
        elif reason is not None and not self._failed_catch_ups:
            log.info("catch-up failed turn=%d loaded=%s reason=%s", self.revision, self.loaded, reason)
        self._failed_catch_ups = 0 if reason is None else self._failed_catch_ups + 1
