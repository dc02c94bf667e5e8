"""Client of the state service, by its published protocol.

Every call ends in one of three ways, and callers must tell them apart: an answer; `Unavailable`, the request
was certainly not carried out; `Unknown`, it may have been, or may still be.

The service may lower its limits at a moment that is not announced (`params.state.next`). The client finds
out by what is refused: a 429 makes it keep to the lower rates for `LOWER_RATES_FOR`, a 400 to a transaction
to the smaller size of values for good.
"""

from datetime import timedelta
from typing import Any, NamedTuple

import msgspec

from spindleglade.http.client import ClientResponse, Requester
from spindleglade.http.errors import NoResponseError, NotSentError
from spindleglade.runtime.clock import Clock, sleep
from spindleglade.settings.platform import StateLimits
from spindleglade.store.token_bucket import TokenBucket

# Share of the changes a second that one node may make by itself.
LEADER_WRITE_SHARE = 0.7
# After a 429 the lower of the present and the announced rates are kept to for so long.
LOWER_RATES_DURATION = timedelta(seconds=60)


class NotAppliedError(Exception):
    """Not carried out: refused, over the rate, or never sent."""


class RateLimitedError(NotAppliedError):
    """Over one of the two rates (429)."""


class ServiceUnavailableError(NotAppliedError):
    """Nothing is carried out for this node at present (503)."""


class ValueTooLargeError(NotAppliedError):
    """A transaction, or a value in it, is larger than the service takes (400): never repeated unchanged."""


class OutcomeUnknownError(Exception):
    """No answer: carried out, not carried out, or carried out later."""


class RevisionCompactedError(Exception):
    """The revision asked for has left the service's memory: read everything again."""


class LeaseExpiredError(Exception):
    """The lease has ended."""


class Entry(msgspec.Struct, frozen=True):
    key: str = msgspec.field(name="k")
    value: msgspec.Raw = msgspec.field(name="v")
    mod_revision: int = msgspec.field(name="mark")


class Change(msgspec.Struct, frozen=True):
    """One change of a watch: a key set to a value, or removed."""

    mod_revision: int = msgspec.field(name="mark")
    put: str | None = msgspec.field(name="set", default=None)
    value: msgspec.Raw = msgspec.field(name="v", default=msgspec.Raw(b"null"))
    removed: str | None = msgspec.field(name="remove", default=None)


class _ListResponse(msgspec.Struct):
    entries: list[Entry]
    revision: int = msgspec.field(name="turn")
    has_next: bool = False


class _WatchResponse(msgspec.Struct):
    revision: int = msgspec.field(name="turn")
    changes: list[Change] = msgspec.field(name="log", default_factory=list)


class _CommitResponse(msgspec.Struct):
    revision: int = msgspec.field(name="turn", default=0)


class _ConflictResponse(msgspec.Struct):
    failed: list[str] = []
    revision: int = msgspec.field(name="turn", default=0)


class _LeaseResponse(msgspec.Struct):
    lease: int = msgspec.field(name="hold")


class Condition(msgspec.Struct, frozen=True):
    key: str = msgspec.field(name="k")
    mod_revision: int = msgspec.field(name="mark")


class Put(msgspec.Struct, frozen=True, omit_defaults=True):
    key: str = msgspec.field(name="set")
    value: msgspec.Raw = msgspec.field(name="v")
    lease: int | None = msgspec.field(name="hold", default=None)


class Delete(msgspec.Struct, frozen=True):
    key: str = msgspec.field(name="remove")


class _TransactionRequest(msgspec.Struct):
    conditions: list[Condition] = msgspec.field(name="when")
    writes: list[Put | Delete] | list[Any]


class _LeaseRequest(msgspec.Struct):
    ttl_ms: int


class Committed(NamedTuple):
    revision: int


class ConditionFailed(NamedTuple):
    """Some conditions did not hold; nothing was changed."""

    failed: frozenset[str]
    revision: int


class Listing(NamedTuple):
    entries: list[Entry]
    revision: int
    # Pages that it was read in, one after the other.
    pages: int = 1


def encode_value(value: Any) -> msgspec.Raw:
    return msgspec.Raw(msgspec.json.encode(value))


def _decode(body: bytes, kind: Any) -> Any:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise OutcomeUnknownError(f"malformed answer: {error}") from None


class StateClient:
    def __init__(
        self,
        http: Requester,
        address: str,
        clock: Clock,
        limits: StateLimits,
        nodes: int,
        timeout: timedelta,
    ) -> None:
        self._http = http
        self._address = address
        self._clock = clock
        self._timeout = timeout
        self.limits = limits
        self._controllers = nodes
        # The limits whose rates are kept to at present.
        self._limits_in_force = limits
        self._request_tokens = TokenBucket(clock, limits.rps / nodes, limits.rps / nodes)
        # The leader writes nearly all; the rest is for submissions and aborts at the others.
        self._write_tokens = TokenBucket(
            clock, limits.write_rps * LEADER_WRITE_SHARE, limits.write_rps * LEADER_WRITE_SHARE / 2
        )
        # When the lower rates end, after a 429.
        self._lower_rates_until: timedelta | None = None
        # Until when ordinary requests wait, because a lease was not renewed.
        self._ordinary_paused_until = clock.now()
        self._size_refused = False

    @property
    def value_bytes(self) -> int:
        """The limit in force for values that exist already: the present one until the first 400 that this
        process sees, then the smaller. The limits fall only after every process runs a version that knows
        of them, so whoever reads a value that was split by the smaller limit understands its parts."""
        return self.limits.value_bytes if self._size_refused else self.limits.largest_value

    @property
    def request_interval(self) -> timedelta:
        """Time between two requests of one kind that keeps them to a third of this node's share."""
        self._apply_rates()
        return timedelta(seconds=3 * self._controllers / self._limits_in_force.rps)

    @property
    def spare_writes(self) -> int:
        """Changes that may be made now and still leave room for more urgent ones."""
        self._apply_rates()
        return max(0, int(self._write_tokens.spare))

    def pause_ordinary_requests(self, length: timedelta) -> None:
        """Ordinary requests wait for so long: a lease was not renewed, and its next renewal comes first."""
        self._ordinary_paused_until = max(self._ordinary_paused_until, self._clock.now() + length)

    def _on_rate_limited(self) -> None:
        self._lower_rates_until = self._clock.now() + LOWER_RATES_DURATION
        self._apply_rates()

    def _apply_rates(self) -> None:
        lower = self._lower_rates_until is not None and self._clock.now() < self._lower_rates_until
        limits = self.limits.lowest if lower else self.limits
        if (limits.rps, limits.write_rps) == (self._limits_in_force.rps, self._limits_in_force.write_rps):
            return
        self._limits_in_force = limits
        self._request_tokens.set_rate(limits.rps / self._controllers, limits.rps / self._controllers)
        writes = limits.write_rps * LEADER_WRITE_SHARE
        self._write_tokens.set_rate(writes, writes / 2)

    async def _wait_for_tokens(self, writes: int) -> None:
        """Waits until an ordinary transaction with so many changes may be sent."""
        self._apply_rates()
        held = self._ordinary_paused_until - self._clock.now()
        delay = max(self._request_tokens.reserve(), self._write_tokens.reserve(writes), held)
        if delay > timedelta(0):
            await sleep(self._clock, delay)

    async def _call(
        self, method: str, path: str, body: Any = None, timeout: timedelta | None = None
    ) -> ClientResponse:
        encoded = None if body is None else msgspec.json.encode(body)
        try:
            response = await self._http.request(
                method, self._address, path, encoded, timeout or self._timeout
            )
        except NotSentError as error:
            raise NotAppliedError(str(error)) from None
        except NoResponseError as error:
            raise OutcomeUnknownError(str(error)) from None
        if response.status == 429:
            self._on_rate_limited()
            raise RateLimitedError(f"{path} answered 429")
        if response.status == 503:
            raise ServiceUnavailableError(f"{path} answered 503")
        return response

    async def get(self, key: str) -> Entry | None:
        self._request_tokens.spend()
        response = await self._call("GET", f"/kv/{key}")
        if response.status == 404:
            return None
        if response.status != 200:
            raise NotAppliedError(f"get answered {response.status}")
        return _decode(response.body, Entry)

    async def read_all(self, prefix: str) -> Listing:
        """All keys with the prefix. Pages are read one after the other, so later ones may be newer than the
        turn returned, which is the first page's: following the changes from there misses nothing."""
        entries: list[Entry] = []
        since, revision, pages = "", None, 0
        while True:
            if self._clock.now() < self._ordinary_paused_until:
                await sleep(self._clock, self._ordinary_paused_until - self._clock.now())
            self._request_tokens.spend()
            pages += 1
            path = f"/kv?starts={prefix}&page=1000" + (f"&since={since}" if since else "")
            response = await self._call("GET", path, timeout=self._timeout * 3)
            if response.status != 200:
                raise NotAppliedError(f"list answered {response.status}")
            page: _ListResponse = _decode(response.body, _ListResponse)
            revision = page.revision if revision is None else revision
            entries.extend(page.entries)
            if not page.has_next or not page.entries:
                return Listing(entries, revision, pages)
            since = page.entries[-1].key

    async def compare_and_swap(
        self, conditions: list[Condition], writes: list[Put | Delete], urgent: bool = False
    ) -> Committed | ConditionFailed:
        if urgent:
            self._apply_rates()
            self._request_tokens.spend()
            self._write_tokens.spend(len(writes))
        else:
            await self._wait_for_tokens(len(writes))
        response = await self._call("POST", "/txn", _TransactionRequest(conditions, writes))
        if response.status == 200:
            return Committed(_decode(response.body, _CommitResponse).revision)
        if response.status == 409:
            conflict: _ConflictResponse = _decode(response.body, _ConflictResponse)
            return ConditionFailed(frozenset(conflict.failed), conflict.revision)
        if response.status == 400:
            if b"no such lease" in response.body:
                raise LeaseExpiredError
            self._size_refused = True
            raise ValueTooLargeError(f"txn answered 400 {response.body[:200]!r}")
        raise NotAppliedError(f"txn answered {response.status} {response.body[:200]!r}")

    async def grant_lease(self, ttl: timedelta) -> int:
        self._request_tokens.spend()
        response = await self._call("POST", "/leases", _LeaseRequest(int(ttl.total_seconds() * 1000)))
        if response.status != 200:
            raise NotAppliedError(f"lease answered {response.status}")
        return _decode(response.body, _LeaseResponse).lease

    async def keep_alive(self, lease: int) -> None:
        self._request_tokens.spend()
        response = await self._call("POST", f"/leases/{lease}/touch", {})
        if response.status == 404:
            raise LeaseExpiredError
        if response.status != 200:
            raise NotAppliedError(f"touch answered {response.status}")

    async def revoke_lease(self, lease: int) -> None:
        self._request_tokens.spend()
        await self._call("DELETE", f"/leases/{lease}")

    async def watch(self, prefix: str, since: int, wait: timedelta) -> tuple[int, list[Change]]:
        self._request_tokens.spend()
        path = f"/watch?starts={prefix}&since={since}&wait_ms={int(wait.total_seconds() * 1000)}"
        response = await self._call("GET", path, timeout=wait + self._timeout)
        if response.status == 410:
            raise RevisionCompactedError
        if response.status != 200:
            raise NotAppliedError(f"watch answered {response.status}")
        watched: _WatchResponse = _decode(response.body, _WatchResponse)
        return watched.revision, watched.changes
