"""Client of the state service, by its published protocol.

Every call ends in one of three ways, which callers must distinguish: a response, `NotAppliedError` if the
request was certainly not carried out, or `OutcomeUnknownError` if it may have been, or may still be, carried
out.
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

# The number of keys requested for one page of a listing.
PAGE_SIZE = 1000
# The timeout of a page is the timeout of other requests times this factor, because a page takes longer.
LIST_TIMEOUT_FACTOR = 3
# The most bytes of a response's body that an error message quotes.
MAX_QUOTED_BYTES = 200
# A transaction refused with status 400 names an expired lease if the body contains this text. Otherwise the
# transaction is too large.
EXPIRED_LEASE_MESSAGE = b"no such lease"

T = TypeVar("T")


def _decode(operation: str, body: bytes, response_type: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=response_type)
    except msgspec.DecodeError as error:
        raise OutcomeUnknownError(f"malformed response: {error}", operation) from error


def _milliseconds(duration: timedelta) -> int:
    return int(duration.total_seconds() * 1000)


class StateClient:
    """Sends requests to the state service within this controller's share of the rate limits."""

    def __init__(
        self,
        http: Requester,
        address: str,
        clock: Clock,
        limits: StateLimits,
        controllers: int,
        timeout: timedelta,
    ) -> None:
        """`timeout` bounds one request. `controllers` is the number of controllers that share `limits`."""
        self._http = http
        self._address = address
        self._timeout = timeout
        self.limits = limits
        self._rate_limits = RateLimits(clock, limits, controllers)
        # Whether a transaction was refused for its size. From then on the smaller limit is used.
        self._size_refusal_seen = False

    @property
    def existing_value_bytes(self) -> int:
        """The limit in bytes for writing values that exist already.

        It is the present limit until this process sees the first refusal for size, then
        `limits.new_value_bytes`, which follows from the smaller of the present and the announced limit. The
        limits fall only after all processes run a version that knows of the fall. Therefore every process
        that reads a value which was split under the smaller limit understands the overflow ranges.
        """
        return self.limits.new_value_bytes if self._size_refusal_seen else self.limits.max_value_bytes

    @property
    def request_interval(self) -> timedelta:
        """Time between two requests of one kind that limits them to a third of this controller's share."""
        return self._rate_limits.request_interval

    @property
    def spare_writes(self) -> int:
        """The number of writes that may be made now while leaving a reserve for urgent requests."""
        return self._rate_limits.spare_writes

    def pause_ordinary_requests(self, duration: timedelta) -> None:
        """Delays ordinary requests for this duration, to give priority to the renewal of a lease."""
        self._rate_limits.pause_ordinary_requests(duration)

    async def get(self, key: str) -> Entry | None:
        """Reads a key. Returns None if it does not exist."""
        operation = f"get {key}"
        self._rate_limits.spend_request()
        response = await self._send(operation, "GET", f"/kv/{key}")
        if response.status == 404:
            return None
        _require_ok(operation, response)
        return _decode(operation, response.body, Entry)

    async def read_all(self, prefix: str) -> Listing:
        """Lists all keys with the prefix.

        Pages are read one after the other. The revision returned is that of the first page, and later pages
        may be newer, so a watch from that revision misses no change.
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
        """Reads the page of keys that follow the key `since`, or the first page if it is None."""
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

        An urgent transaction is sent at once, an ordinary one when the rate limits allow it. Raises
        LeaseExpiredError if a write names an expired lease, and ValueTooLargeError if the transaction or one
        of its values exceeds a size limit.
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
        raise self._transaction_error(operation, response)

    def _transaction_error(self, operation: str, response: ClientResponse) -> StoreError:
        """The error for a transaction that failed for another reason than its conditions."""
        reason = f"refused: {response.body[:MAX_QUOTED_BYTES]!r}"
        if response.status != 400:
            return NotAppliedError(reason, operation, response.status)
        if EXPIRED_LEASE_MESSAGE in response.body:
            return LeaseExpiredError(operation=operation, status=response.status)
        self._size_refusal_seen = True
        return ValueTooLargeError(reason, operation, response.status)

    async def grant_lease(self, ttl: timedelta) -> int:
        """Creates a lease that expires unless it is renewed within `ttl`. Returns the lease's number."""
        operation = "grant lease"
        self._rate_limits.spend_request()
        response = await self._send(operation, "POST", "/leases", LeaseRequest(_milliseconds(ttl)))
        _require_ok(operation, response)
        return _decode(operation, response.body, LeaseResponse).lease

    async def keep_alive(self, lease: int) -> None:
        """Renews a lease. Raises LeaseExpiredError if it has expired."""
        operation = f"keep alive lease {lease}"
        self._rate_limits.spend_request()
        response = await self._send(operation, "POST", f"/leases/{lease}/touch", {})
        if response.status == 404:
            raise LeaseExpiredError(operation=operation, status=response.status)
        _require_ok(operation, response)

    async def revoke_lease(self, lease: int) -> None:
        """Ends a lease, which removes the keys that were put with it."""
        self._rate_limits.spend_request()
        await self._send(f"revoke lease {lease}", "DELETE", f"/leases/{lease}")

    async def watch(self, prefix: str, since: int, max_wait: timedelta) -> WatchResult:
        """Returns the changes of keys with the prefix after the revision `since`.

        If there are none yet, the service responds when the first change occurs, or after `max_wait` with an
        empty list. Raises RevisionCompactedError if the service no longer keeps these changes.
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
        """Sends a request. Raises an error if there is no response, or one with status 429 or 503."""
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
