"""A controller's replica of the keys in the store, kept up to date by a watch.

The replica may be behind the store, but it never holds anything that the store did not hold.
`Replica.catch_up` makes it current: it sends a watch that the store answers at once. One such request serves
all callers that are waiting when it is sent. Changes arrive from the long watch and from catch-ups. Each
response holds every change after a revision that the replica had already reached, so applying only changes
newer than the replica's revision neither misses nor repeats a change.
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

# Time between a failed watch or listing and the next one.
WATCH_RETRY_DELAY = seconds(0.5)


class Subscriber(Protocol):
    """Called in the reactor's thread with every change. Changes of one key come in the order of revisions."""

    def __call__(self, key: str, value: bytes | None, mod_revision: int, /) -> None:
        """`value` is the key's new value, None if it was removed. Exceptions are logged and then ignored."""


def _no_interval() -> timedelta:
    return ZERO


class Replica:
    """Keeps track of all keys with a prefix, and passes their values to its subscribers."""

    def __init__(
        self,
        client: StateClient,
        clock: Clock,
        prefix: str,
        max_watch_wait: timedelta,
        catch_up_interval: timedelta,
        request_interval: Callable[[], timedelta] = _no_interval,
    ) -> None:
        """Creates an empty replica of the keys with `prefix`.

        `max_watch_wait` bounds how long a watch without changes stays open. A catch-up is made when none has
        succeeded for `catch_up_interval`. `request_interval` returns the time to keep between two watches,
        and between two catch-ups.
        """
        self._client = client
        self._clock = clock
        self._prefix = prefix
        self._max_watch_wait = max_watch_wait
        self._catch_up_interval = catch_up_interval
        # Changes and calls of `catch_up` come many times a second. One request for each would exceed the rate
        # limit, and then all catch-ups would fail.
        self._request_interval = request_interval
        self._catch_up_started_at: timedelta | None = None
        self._subscribers: list[Subscriber] = []
        # The callers of `catch_up` that wait for the next catch-up, without those served by the one under
        # way.
        self._waiters: list[Deferred[None]] = []
        self._catching_up = False
        # The number of catch-ups that have failed since the last one that succeeded.
        self._consecutive_failed_catch_ups = 0
        # The revision of the store up to which all changes have been applied.
        self.revision = 0
        # Whether all keys have been listed. False again after the replica's revision was compacted.
        self.loaded = False
        # The revision at which each key last changed. Only subscribers keep the values.
        self.mod_revisions: dict[str, int] = {}
        # When the latest successful catch-up or load was started; None before the first.
        self.current_as_of: timedelta | None = None

    def subscribe(self, on_change: Subscriber) -> None:
        """Registers a callback for all changes from now on."""
        self._subscribers.append(on_change)

    def start(self) -> None:
        """Starts the watch and the periodic catch-ups, which run until the process ends."""
        run_forever(self._clock, self._watch_continuously, "watch")
        run_forever(self._clock, self._catch_up_periodically, "periodic catch-up")

    def apply(self, revision: int, changes: list[Change]) -> None:
        """Applies the changes newer than the replica's revision, which then becomes at least `revision`."""
        for change in changes:
            if change.mod_revision <= self.revision:
                continue
            if change.put is not None:
                self._apply_if_newer(change.put, bytes(change.value), change.mod_revision)
            elif change.removed is not None:
                self._apply_if_newer(change.removed, None, change.mod_revision)
        self.revision = max(self.revision, revision)

    def observe(self, key: str, value: bytes, mod_revision: int) -> None:
        """Applies a value before the watch reports it.

        The store must be known to hold the value: this controller wrote it, or a peer has read it. Only for
        keys that are never removed.
        """
        self._apply_if_newer(key, value, mod_revision)

    def catch_up(self) -> Deferred[None]:
        """Returns a Deferred that fires once the replica is at least as new as the store was at this call.

        If the catch-up fails, the Deferred fails with StaleReplicaError.
        """
        waiter: Deferred[None] = Deferred()
        self._waiters.append(waiter)
        if not self._catching_up:
            run_in_background(self._run_catch_ups(), "catch-up")
        return waiter

    async def _watch_continuously(self) -> None:
        while True:
            try:
                await self._watch_once()
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

    async def _watch_once(self) -> None:
        """Loads the replica if necessary, then sends one watch and applies its changes."""
        if not self.loaded:
            await self._load()
        revision, changes = await self._client.watch(self._prefix, self.revision, self._max_watch_wait)
        self.apply(revision, changes)
        interval = self._request_interval()
        if interval:
            await sleep(self._clock, interval)

    async def _load(self) -> None:
        """Lists all keys and applies the listing."""
        started_at = self._clock.now()
        listing = await self._client.read_all(self._prefix)
        updates = WatchResult(listing.revision, [])
        if listing.pages > 1:
            # The pages were read at different times. If a task range was split in between, an earlier page
            # may lack the new overflow ranges, while a later page shows the range without the tasks that they
            # took over. Therefore nothing is applied before the changes since the first page have been read.
            updates = await self._client.watch(self._prefix, listing.revision, ZERO)
        revision, changes = updates
        self._apply_listing(listing)
        self.apply(revision, changes)
        self.loaded = True
        self._record_catch_up(started_at)
        log.info("replica loaded keys=%d revision=%d", len(listing.entries), self.revision)

    def _apply_listing(self, listing: Listing) -> None:
        for entry in listing.entries:
            # A catch-up may have overtaken the listing. An entry that is not newer than the replica's
            # revision is already known, or the key was removed since. If such an entry of a removed key were
            # applied, the key would stay forever, because its removal is not reported again.
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
        # A listing or `observe` may already have applied a change of this key newer than `self.revision`.
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
                # An error of one subscriber must not end the watch, on which all subscribers depend.
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
            # Reset after an error too: while it is set, `catch_up` starts no catch-up.
            self._catching_up = False

    async def _serve_waiters(self) -> None:
        while self._waiters:
            await self._wait_for_catch_up_interval()
            callers, self._waiters = self._waiters, []
            reason = await self._catch_up_once()
            self._log_catch_up(reason)
            for waiter in callers:
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
        """Makes one catch-up. Returns the reason why it failed, or None if it succeeded."""
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
            # Reported as a failure, so that the callers get a result and the next catch-up can start.
            log.exception("catch-up failed unexpectedly revision=%d", self.revision)
            return repr(error)
        return None

    def _record_catch_up(self, started_at: timedelta) -> None:
        if self.current_as_of is None or started_at > self.current_as_of:
            self.current_as_of = started_at

    def _log_catch_up(self, reason: str | None) -> None:
        """Logs the first failure and the next success only, because catch-ups come many times a second."""
        if reason is None and self._consecutive_failed_catch_ups:
            log.info(
                "catch-ups succeed again revision=%d failed=%d",
                self.revision,
                self._consecutive_failed_catch_ups,
            )
        elif reason is not None and not self._consecutive_failed_catch_ups:
            log.info("catch-up failed revision=%d loaded=%s reason=%s", self.revision, self.loaded, reason)
        self._consecutive_failed_catch_ups = 0 if reason is None else self._consecutive_failed_catch_ups + 1
