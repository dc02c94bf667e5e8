"""Client of the state service, by its published protocol.

Every call ends in one of three ways, and callers must tell them apart: a response; `NotAppliedError`, the
request was certainly not carried out; `OutcomeUnknownError`, it may have been, or may still be.
"""

from collections.abc import Sequence
from datetime import timedelta
from typing import Any, TypeVar

import msgspec

from spindleglade.http.client import ClientResponse, Requester
from spindleglade.http.errors import NoResponseError, NotSentError
from spindleglade.runtime.clock import Clock
from spindleglade.settings.platform import StateLimits
from spindleglade.store.errors import (
    LeaseExpiredError,
    NotAppliedError,
    OutcomeUnknownError,
    RateLimitedError,
    RevisionCompactedError,
    ServiceUnavailableError,
    StoreError,
    ValueTooLargeError,
)
from spindleglade.store.messages import (
    CommitResponse,
    Committed,
    Condition,
    ConditionFailed,
    ConflictResponse,
    Delete,
    Entry,
    LeaseRequest,
    LeaseResponse,
    Listing,
    ListResponse,
    Put,
    TransactionRequest,
    WatchResponse,
    WatchResult,
)
from spindleglade.store.rate_limits import RateLimits

# Keys in one page of a listing.
PAGE_SIZE = 1000
# A page takes longer than other responses: its timeout is so many times theirs.
LIST_TIMEOUT_FACTOR = 3
# Bytes of a refusal's body that an error quotes.
MAX_QUOTED_BYTES = 200
# A refusal of status 400 with these words in its body is for an expired lease, any other for the size.
EXPIRED_LEASE_REFUSAL = b"no such lease"

T = TypeVar("T")


def _decode(operation: str, body: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise OutcomeUnknownError(f"malformed response: {error}", operation) from error


def _milliseconds(duration: timedelta) -> int:
    return int(duration.total_seconds() * 1000)


class StateClient:
    """Calls of the state service, kept to this controller's share of the service's rates."""

    def __init__(
        self,
        http: Requester,
        address: str,
        clock: Clock,
        limits: StateLimits,
        controllers: int,
        timeout: timedelta,
    ) -> None:
        """`timeout` bounds one request; `controllers` share the rates that `limits` allows."""
        self._http = http
        self._address = address
        self._timeout = timeout
        self.limits = limits
        self._rate_limits = RateLimits(clock, limits, controllers)
        # Whether a transaction was refused for its size: the smaller limit holds from then on.
        self._size_refused = False

    @property
    def value_bytes(self) -> int:
        """The limit in force for values that exist already, in bytes.

        It is the present one until the first refusal for size that this process sees, then the smaller one.
        The limits fall only after every process runs a version that knows of them, so whoever reads a value
        that was split by the smaller limit understands its ranges.
        """
        return self.limits.value_bytes if self._size_refused else self.limits.largest_value

    @property
    def request_interval(self) -> timedelta:
        """Time between two requests of one kind that keeps them to a third of this controller's share."""
        return self._rate_limits.request_interval

    @property
    def spare_writes(self) -> int:
        """Writes that may be made now and still leave room for more urgent ones."""
        return self._rate_limits.spare_writes

    def pause_ordinary_requests(self, duration: timedelta) -> None:
        """Makes ordinary requests wait for so long, so that the renewal of a lease goes before them."""
        self._rate_limits.pause_ordinary_requests(duration)

    async def get(self, key: str) -> Entry | None:
        """The entry of a key, None if there is none."""
        operation = f"get {key}"
        self._rate_limits.spend_request()
        response = await self._send(operation, "GET", f"/kv/{key}")
        if response.status == 404:
            return None
        _require_ok(operation, response)
        return _decode(operation, response.body, Entry)

    async def read_all(self, prefix: str) -> Listing:
        """All keys with the prefix.

        Pages are read one after the other, so later ones may be newer than the revision returned, which is
        the first page's: following the changes from there misses nothing.
        """
        entries: list[Entry] = []
        first_revision, pages, has_next = 0, 0, True
        while has_next:
            page = await self._read_page(prefix, entries[-1].key if entries else None)
            pages += 1
            if pages == 1:
                first_revision = page.revision
            entries.extend(page.entries)
            has_next = page.has_next and bool(page.entries)
        return Listing(entries, first_revision, pages)

    async def _read_page(self, prefix: str, since: str | None) -> ListResponse:
        """The page of keys after `since`, or the first one."""
        operation = f"list {prefix}"
        await self._rate_limits.wait_for_listing()
        path = f"/kv?starts={prefix}&page={PAGE_SIZE}" + (f"&since={since}" if since else "")
        response = await self._send(operation, "GET", path, timeout=self._timeout * LIST_TIMEOUT_FACTOR)
        _require_ok(operation, response)
        return _decode(operation, response.body, ListResponse)

    async def compare_and_swap(
        self, conditions: list[Condition], writes: Sequence[Put | Delete], urgent: bool = False
    ) -> Committed | ConditionFailed:
        """Carries out all writes if all conditions hold, and none otherwise.

        An urgent transaction is sent at once, an ordinary one when the rates allow it. Raises
        LeaseExpiredError if a write names a lease that has expired, and ValueTooLargeError.
        """
        if urgent:
            self._rate_limits.spend_transaction(len(writes))
        else:
            await self._rate_limits.wait_for_transaction(len(writes))
        operation = "transaction"
        response = await self._send(operation, "POST", "/txn", TransactionRequest(conditions, list(writes)))
        if response.status == 200:
            return Committed(_decode(operation, response.body, CommitResponse).revision)
        if response.status == 409:
            conflict = _decode(operation, response.body, ConflictResponse)
            return ConditionFailed(frozenset(conflict.failed), conflict.revision)
        raise self._refused_transaction(operation, response)

    def _refused_transaction(self, operation: str, response: ClientResponse) -> StoreError:
        """The error for a transaction that was neither carried out nor in conflict."""
        reason = f"refused: {response.body[:MAX_QUOTED_BYTES]!r}"
        if response.status != 400:
            return NotAppliedError(reason, operation, response.status)
        if EXPIRED_LEASE_REFUSAL in response.body:
            return LeaseExpiredError(operation=operation, status=response.status)
        self._size_refused = True
        return ValueTooLargeError(reason, operation, response.status)

    async def grant_lease(self, ttl: timedelta) -> int:
        """Creates a lease that expires unless it is renewed within `ttl`; returns its number."""
        operation = "grant lease"
        self._rate_limits.spend_request()
        response = await self._send(operation, "POST", "/leases", LeaseRequest(_milliseconds(ttl)))
        _require_ok(operation, response)
        return _decode(operation, response.body, LeaseResponse).lease

    async def keep_alive(self, lease: int) -> None:
        """Renews a lease; raises LeaseExpiredError if it has expired."""
        operation = f"keep alive lease {lease}"
        self._rate_limits.spend_request()
        response = await self._send(operation, "POST", f"/leases/{lease}/touch", {})
        if response.status == 404:
            raise LeaseExpiredError(operation=operation, status=response.status)
        _require_ok(operation, response)

    async def revoke_lease(self, lease: int) -> None:
        """Ends a lease, which removes its keys."""
        self._rate_limits.spend_request()
        await self._send(f"revoke lease {lease}", "DELETE", f"/leases/{lease}")

    async def watch(self, prefix: str, since: int, max_wait: timedelta) -> WatchResult:
        """The changes of keys with the prefix after the revision `since`.

        If there are none yet, the service answers with the first, or after `max_wait` with none. Raises
        RevisionCompactedError if the service no longer keeps them.
        """
        operation = f"watch {prefix} since {since}"
        self._rate_limits.spend_request()
        path = f"/watch?starts={prefix}&since={since}&wait_ms={_milliseconds(max_wait)}"
        response = await self._send(operation, "GET", path, timeout=max_wait + self._timeout)
        if response.status == 410:
            raise RevisionCompactedError(operation=operation, status=response.status)
        _require_ok(operation, response)
        watched = _decode(operation, response.body, WatchResponse)
        return WatchResult(watched.revision, watched.changes)

    async def _send(
        self, operation: str, method: str, path: str, body: Any = None, timeout: timedelta | None = None
    ) -> ClientResponse:
        """Sends a request; raises unless it got a response other than 429 and 503."""
        encoded = None if body is None else msgspec.json.encode(body)
        try:
            response = await self._http.request(
                method, self._address, path, encoded, timeout or self._timeout
            )
        except NotSentError as error:
            raise NotAppliedError(str(error), operation) from error
        except NoResponseError as error:
            raise OutcomeUnknownError(str(error), operation) from error
        if response.status == 429:
            self._rate_limits.on_rate_limited()
            raise RateLimitedError(operation=operation, status=response.status)
        if response.status == 503:
            raise ServiceUnavailableError(operation=operation, status=response.status)
        return response


def _require_ok(operation: str, response: ClientResponse) -> None:
    """Raises NotAppliedError unless the status is 200."""
    if response.status != 200:
        raise NotAppliedError("refused", operation, response.status)
