"""A controller's copy of the keys in the store, kept by watch.

The copy is only ever behind the store, never wrong. `Replica.catch_up` makes it current: it sends a watch
that is answered at once, one for all callers who wait by then. Changes arrive both from the long watch and
from catch-ups; each response holds every change after a revision that the copy already had, so applying only
what is newer than the copy's own revision neither misses a change nor repeats one.
"""

import logging
from collections.abc import Callable
from contextlib import suppress
from datetime import timedelta
from typing import Protocol

from twisted.internet.defer import Deferred

from spindleglade.runtime.background import run_forever, run_in_background
from spindleglade.runtime.clock import ZERO, Clock, seconds, sleep
from spindleglade.store.client import StateClient
from spindleglade.store.errors import (
    NotAppliedError,
    OutcomeUnknownError,
    RevisionCompactedError,
    StaleReplicaError,
)
from spindleglade.store.messages import Change, Listing, WatchResult

log = logging.getLogger("spindleglade.store")

# How long after a failed watch or listing the next one is sent.
WATCH_RETRY_DELAY = seconds(0.5)


class Subscriber(Protocol):
    """Called in the reactor's thread with every change of a key, in the order of that key's revisions."""

    def __call__(self, key: str, value: bytes | None, mod_revision: int, /) -> None:
        """`value` is the key's new value, None if it was removed. What this raises is logged, no more."""


def _no_interval() -> timedelta:
    return ZERO


class Replica:
    """Follows all keys with a prefix, and hands their values to its subscribers."""

    def __init__(
        self,
        client: StateClient,
        clock: Clock,
        prefix: str,
        max_watch_wait: timedelta,
        catch_up_interval: timedelta,
        request_interval: Callable[[], timedelta] = _no_interval,
    ) -> None:
        """`max_watch_wait` bounds how long a watch without changes stays open; `catch_up_interval` how long
        the replica stays without a catch-up; `request_interval` gives the time between two watches, and
        between two catch-ups."""
        self._client = client
        self._clock = clock
        self._prefix = prefix
        self._max_watch_wait = max_watch_wait
        self._catch_up_interval = catch_up_interval
        # Changes and callers of `catch_up` come many a second: a request for each would exceed the rate, and
        # then nobody could be answered at all.
        self._request_interval = request_interval
        self._catch_up_started_at: timedelta | None = None
        self._subscribers: list[Subscriber] = []
        # Who waits for the next catch-up; those waiting for the one under way are not among them.
        self._waiters: list[Deferred[None]] = []
        self._catching_up = False
        # Catch-ups that failed since one succeeded.
        self._failed_catch_ups = 0
        self.revision = 0
        self.loaded = False
        # The revision at which each key last changed; the values are left to the subscribers.
        self.mod_revisions: dict[str, int] = {}
        # When the latest catch-up that succeeded was started; None before the first.
        self.current_as_of: timedelta | None = None

    def subscribe(self, on_change: Subscriber) -> None:
        """Calls `on_change` with every change from now on."""
        self._subscribers.append(on_change)

    def start(self) -> None:
        """Begins to follow the store, for as long as the process runs."""
        run_forever(self._clock, self._follow, "watch")
        run_forever(self._clock, self._catch_up_periodically, "periodic catch-up")

    def apply(self, revision: int, changes: list[Change]) -> None:
        """Applies the changes that are newer than the replica, which is then at `revision` or newer."""
        for change in changes:
            if change.mod_revision <= self.revision:
                continue
            if change.put is not None:
                self._apply_if_newer(change.put, bytes(change.value), change.mod_revision)
            elif change.removed is not None:
                self._apply_if_newer(change.removed, None, change.mod_revision)
        self.revision = max(self.revision, revision)

    def observe(self, key: str, value: bytes, mod_revision: int) -> None:
        """Applies a value that the store is known to hold before the watch reports it: this controller wrote
        it, or a peer has read it. Only for keys that are never removed."""
        self._apply_if_newer(key, value, mod_revision)

    def catch_up(self) -> Deferred[None]:
        """Fires once the replica is at least as new as the store was at this call; fails with
        StaleReplicaError."""
        waiter: Deferred[None] = Deferred()
        self._waiters.append(waiter)
        if not self._catching_up:
            run_in_background(self._run_catch_ups(), "catch-up")
        return waiter

    async def _follow(self) -> None:
        while True:
            try:
                await self._follow_once()
            except RevisionCompactedError:
                log.info("replica revision compacted revision=%d", self.revision)
                self.loaded = False
            except (NotAppliedError, OutcomeUnknownError) as error:
                log.log(
                    logging.DEBUG if self.loaded else logging.INFO,
                    "watch interrupted revision=%d loaded=%s reason=%s",
                    self.revision,
                    self.loaded,
                    error,
                )
                await sleep(self._clock, WATCH_RETRY_DELAY)

    async def _follow_once(self) -> None:
        """Sends one watch and applies its changes."""
        if not self.loaded:
            await self._load()
        revision, changes = await self._client.watch(self._prefix, self.revision, self._max_watch_wait)
        self.apply(revision, changes)
        interval = self._request_interval()
        if interval:
            await sleep(self._clock, interval)

    async def _load(self) -> None:
        """Reads all keys."""
        started_at = self._clock.now()
        listing = await self._client.read_all(self._prefix)
        latest = WatchResult(listing.revision, [])
        if listing.pages > 1:
            # The pages were read at different moments: of a value that was split meanwhile, the first page
            # may lack the new ranges, and a later one no longer have their tasks in the old value. Nothing is
            # applied before both are known.
            latest = await self._client.watch(self._prefix, listing.revision, ZERO)
        revision, changes = latest
        self._apply_listing(listing)
        self.apply(revision, changes)
        self.loaded = True
        self._record_catch_up(started_at)
        log.info("replica loaded keys=%d revision=%d", len(listing.entries), self.revision)

    def _apply_listing(self, listing: Listing) -> None:
        for entry in listing.entries:
            # A catch-up may have overtaken the listing. What the listing shows from before the replica's own
            # revision is known already, or was removed since: applied, such a key would never go again.
            if entry.mod_revision > self.revision:
                self._apply_if_newer(entry.key, bytes(entry.value), entry.mod_revision)
        present = {entry.key for entry in listing.entries}
        removed = [
            key
            for key, mod_revision in self.mod_revisions.items()
            if key not in present and mod_revision <= listing.revision
        ]
        for key in removed:
            self._apply_change(key, None, listing.revision)
        self.revision = max(self.revision, listing.revision)

    def _apply_if_newer(self, key: str, value: bytes | None, mod_revision: int) -> None:
        # A listing or `observe` may have shown the key newer than the revision that is followed from.
        if mod_revision > self.mod_revisions.get(key, 0):
            self._apply_change(key, value, mod_revision)

    def _apply_change(self, key: str, value: bytes | None, mod_revision: int) -> None:
        if value is None:
            self.mod_revisions.pop(key, None)
        else:
            self.mod_revisions[key] = mod_revision
        for on_change in self._subscribers:
            try:
                on_change(key, value, mod_revision)
            except Exception:
                # One subscriber's error with one key must not end the watch, which feeds all others.
                log.exception("subscriber failed key=%s revision=%d", key, mod_revision)

    async def _catch_up_periodically(self) -> None:
        while True:
            await sleep(self._clock, self._catch_up_interval)
            if self._clock.now() - (self.current_as_of or ZERO) >= self._catch_up_interval:
                with suppress(StaleReplicaError):
                    await self.catch_up()

    async def _run_catch_ups(self) -> None:
        self._catching_up = True
        try:
            await self._serve_waiters()
        finally:
            # Else no catch-up would ever begin again.
            self._catching_up = False

    async def _serve_waiters(self) -> None:
        while self._waiters:
            await self._wait_for_catch_up_interval()
            served, self._waiters = self._waiters, []
            reason = await self._catch_up_once()
            self._log_catch_up(reason)
            for waiter in served:
                if reason is None:
                    waiter.callback(None)
                else:
                    waiter.errback(StaleReplicaError(reason, "replica catch-up"))

    async def _wait_for_catch_up_interval(self) -> None:
        interval = self._request_interval()
        if not interval or self._catch_up_started_at is None:
            return
        remaining = self._catch_up_started_at + interval - self._clock.now()
        if remaining > ZERO:
            await sleep(self._clock, remaining)

    async def _catch_up_once(self) -> str | None:
        """Why the catch-up failed; None if it succeeded."""
        self._catch_up_started_at = started_at = self._clock.now()
        if not self.loaded:
            return "replica not loaded yet"
        try:
            revision, changes = await self._client.watch(self._prefix, self.revision, ZERO)
            self.apply(revision, changes)
            self._record_catch_up(started_at)
        except RevisionCompactedError:
            self.loaded = False
            return f"revision {self.revision} compacted"
        except (NotAppliedError, OutcomeUnknownError) as error:
            return str(error)
        except Exception as error:
            # Its waiters must be answered, and the next catch-up must still begin.
            log.exception("catch-up failed unexpectedly revision=%d", self.revision)
            return repr(error)
        return None

    def _record_catch_up(self, started_at: timedelta) -> None:
        if self.current_as_of is None or started_at > self.current_as_of:
            self.current_as_of = started_at

    def _log_catch_up(self, reason: str | None) -> None:
        """Logs the first that fails, and the first that succeeds after it; they come many times a second."""
        if reason is None and self._failed_catch_ups:
            log.info("catch-ups succeed again revision=%d failed=%d", self.revision, self._failed_catch_ups)
        elif reason is not None and not self._failed_catch_ups:
            log.info("catch-up failed revision=%d loaded=%s reason=%s", self.revision, self.loaded, reason)
        self._failed_catch_ups = 0 if reason is None else self._failed_catch_ups + 1
