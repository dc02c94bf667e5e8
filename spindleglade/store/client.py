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

from spindleglade.clock import Clock, sleep
from spindleglade.settings.platform import StateLimits
from spindleglade.store.budget import Budget
from spindleglade.web import NoAnswer, NotSent, Requester, Response

# Share of the changes a second that one node may make by itself.
LEADERS_SHARE = 0.7
# After a 429 the lower of the present and the announced rates are kept to for so long.
LOWER_RATES_FOR = timedelta(seconds=60)


class Unavailable(Exception):
    """Not carried out: refused, over the rate, or never sent."""


class TooManyRequests(Unavailable):
    """Over one of the two rates (429)."""


class ServiceUnavailable(Unavailable):
    """Nothing is carried out for this node at present (503)."""


class TooLarge(Unavailable):
    """A transaction, or a value in it, is larger than the service takes (400): never repeated unchanged."""


class Unknown(Exception):
    """No answer: carried out, not carried out, or carried out later."""


class TooOld(Exception):
    """The revision asked for has left the service's memory: read everything again."""


class LeaseGone(Exception):
    """The lease has ended."""


class Entry(msgspec.Struct, frozen=True):
    key: str = msgspec.field(name="k")
    value: msgspec.Raw = msgspec.field(name="v")
    mark: int


class Change(msgspec.Struct, frozen=True):
    """One change of a watch: a key set to a value, or removed."""

    mark: int
    put: str | None = msgspec.field(name="set", default=None)
    value: msgspec.Raw = msgspec.field(name="v", default=msgspec.Raw(b"null"))
    removed: str | None = msgspec.field(name="remove", default=None)


class _Page(msgspec.Struct):
    entries: list[Entry]
    turn: int
    has_next: bool = False


class _Watched(msgspec.Struct):
    turn: int
    log: list[Change] = []


class _Turn(msgspec.Struct):
    turn: int = 0


class _Conflict(msgspec.Struct):
    failed: list[str] = []
    turn: int = 0


class _Hold(msgspec.Struct):
    hold: int


class Condition(msgspec.Struct, frozen=True):
    key: str = msgspec.field(name="k")
    mark: int


class Put(msgspec.Struct, frozen=True, omit_defaults=True):
    key: str = msgspec.field(name="set")
    value: msgspec.Raw = msgspec.field(name="v")
    lease: int | None = msgspec.field(name="hold", default=None)


class Delete(msgspec.Struct, frozen=True):
    key: str = msgspec.field(name="remove")


class _Txn(msgspec.Struct):
    when: list[Condition]
    writes: list[Put | Delete] | list[Any]


class _Grant(msgspec.Struct):
    ttl_ms: int


class Committed(NamedTuple):
    turn: int


class Refused(NamedTuple):
    """Some conditions did not hold; nothing was changed."""

    failed: frozenset[str]
    turn: int


class Listing(NamedTuple):
    entries: list[Entry]
    turn: int
    # Pages that it was read in, one after the other.
    pages: int = 1


def raw(value: Any) -> msgspec.Raw:
    return msgspec.Raw(msgspec.json.encode(value))


def _decode(body: bytes, kind: Any) -> Any:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise Unknown(f"malformed answer: {error}") from None


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
        self._nodes = nodes
        # The limits whose rates are kept to at present.
        self._paced_by = limits
        self._requests = Budget(clock, limits.rps / nodes, limits.rps / nodes)
        # The leader writes nearly all; the rest is for submissions and aborts at the others.
        self._writes = Budget(clock, limits.write_rps * LEADERS_SHARE, limits.write_rps * LEADERS_SHARE / 2)
        # When the lower rates end, after a 429.
        self._lower_until: timedelta | None = None
        # Until when ordinary requests wait, because a lease was not renewed.
        self._held_until = clock.now()
        self._size_refused = False

    @property
    def value_bytes(self) -> int:
        """The limit in force for values that exist already: the present one until the first 400 that this
        process sees, then the smaller. The limits fall only after every process runs a version that knows
        of them, so whoever reads a value that was split by the smaller limit understands its parts."""
        return self.limits.value_bytes if self._size_refused else self.limits.largest_value

    @property
    def pace(self) -> timedelta:
        """Time between two requests of one kind that keeps them to a third of this node's share."""
        self._settle_rates()
        return timedelta(seconds=3 * self._nodes / self._paced_by.rps)

    @property
    def spare_writes(self) -> int:
        """Changes that may be made now and still leave room for more urgent ones."""
        self._settle_rates()
        return max(0, int(self._writes.spare))

    def hold_back(self, length: timedelta) -> None:
        """Ordinary requests wait for so long: a lease was not renewed, and its next renewal comes first."""
        self._held_until = max(self._held_until, self._clock.now() + length)

    def _over_rate(self) -> None:
        self._lower_until = self._clock.now() + LOWER_RATES_FOR
        self._settle_rates()

    def _settle_rates(self) -> None:
        lower = self._lower_until is not None and self._clock.now() < self._lower_until
        limits = self.limits.lowest if lower else self.limits
        if (limits.rps, limits.write_rps) == (self._paced_by.rps, self._paced_by.write_rps):
            return
        self._paced_by = limits
        self._requests.change(limits.rps / self._nodes, limits.rps / self._nodes)
        writes = limits.write_rps * LEADERS_SHARE
        self._writes.change(writes, writes / 2)

    async def _wait_turn(self, writes: int) -> None:
        """Waits until an ordinary transaction with so many changes may be sent."""
        self._settle_rates()
        held = self._held_until - self._clock.now()
        delay = max(self._requests.reserve(), self._writes.reserve(writes), held)
        if delay > timedelta(0):
            await sleep(self._clock, delay)

    async def _call(
        self, method: str, path: str, body: Any = None, timeout: timedelta | None = None
    ) -> Response:
        encoded = None if body is None else msgspec.json.encode(body)
        try:
            response = await self._http.request(
                method, self._address, path, encoded, timeout or self._timeout
            )
        except NotSent as error:
            raise Unavailable(str(error)) from None
        except NoAnswer as error:
            raise Unknown(str(error)) from None
        if response.status == 429:
            self._over_rate()
            raise TooManyRequests(f"{path} answered 429")
        if response.status == 503:
            raise ServiceUnavailable(f"{path} answered 503")
        return response

    async def get(self, key: str) -> Entry | None:
        self._requests.spend()
        response = await self._call("GET", f"/kv/{key}")
        if response.status == 404:
            return None
        if response.status != 200:
            raise Unavailable(f"get answered {response.status}")
        return _decode(response.body, Entry)

    async def read_all(self, prefix: str) -> Listing:
        """All keys with the prefix. Pages are read one after the other, so later ones may be newer than the
        turn returned, which is the first page's: following the changes from there misses nothing."""
        entries: list[Entry] = []
        since, turn, pages = "", None, 0
        while True:
            if self._clock.now() < self._held_until:
                await sleep(self._clock, self._held_until - self._clock.now())
            self._requests.spend()
            pages += 1
            path = f"/kv?starts={prefix}&page=1000" + (f"&since={since}" if since else "")
            response = await self._call("GET", path, timeout=self._timeout * 3)
            if response.status != 200:
                raise Unavailable(f"list answered {response.status}")
            page: _Page = _decode(response.body, _Page)
            turn = page.turn if turn is None else turn
            entries.extend(page.entries)
            if not page.has_next or not page.entries:
                return Listing(entries, turn, pages)
            since = page.entries[-1].key

    async def txn(
        self, when: list[Condition], writes: list[Put | Delete], urgent: bool = False
    ) -> Committed | Refused:
        if urgent:
            self._settle_rates()
            self._requests.spend()
            self._writes.spend(len(writes))
        else:
            await self._wait_turn(len(writes))
        response = await self._call("POST", "/txn", _Txn(when, writes))
        if response.status == 200:
            return Committed(_decode(response.body, _Turn).turn)
        if response.status == 409:
            conflict: _Conflict = _decode(response.body, _Conflict)
            return Refused(frozenset(conflict.failed), conflict.turn)
        if response.status == 400:
            if b"no such lease" in response.body:
                raise LeaseGone
            self._size_refused = True
            raise TooLarge(f"txn answered 400 {response.body[:200]!r}")
        raise Unavailable(f"txn answered {response.status} {response.body[:200]!r}")

    async def grant(self, ttl: timedelta) -> int:
        self._requests.spend()
        response = await self._call("POST", "/leases", _Grant(int(ttl.total_seconds() * 1000)))
        if response.status != 200:
            raise Unavailable(f"lease answered {response.status}")
        return _decode(response.body, _Hold).hold

    async def touch(self, lease: int) -> None:
        self._requests.spend()
        response = await self._call("POST", f"/leases/{lease}/touch", {})
        if response.status == 404:
            raise LeaseGone
        if response.status != 200:
            raise Unavailable(f"touch answered {response.status}")

    async def drop(self, lease: int) -> None:
        self._requests.spend()
        await self._call("DELETE", f"/leases/{lease}")

    async def watch(self, prefix: str, since: int, wait: timedelta) -> tuple[int, list[Change]]:
        self._requests.spend()
        path = f"/watch?starts={prefix}&since={since}&wait_ms={int(wait.total_seconds() * 1000)}"
        response = await self._call("GET", path, timeout=wait + self._timeout)
        if response.status == 410:
            raise TooOld
        if response.status != 200:
            raise Unavailable(f"watch answered {response.status}")
        watched: _Watched = _decode(response.body, _Watched)
        return watched.turn, watched.log
