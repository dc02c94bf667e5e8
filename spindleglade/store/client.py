"""Client of the state service, by its published protocol.

Every call ends in one of three ways, and callers must tell them apart: an answer; `Unavailable`, the request
was certainly not carried out; `Unknown`, it may have been, or may still be.
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


class Unavailable(Exception):
    """Not carried out: refused, over the rate, or never sent."""


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
        self._requests = Budget(clock, limits.rps / nodes, limits.rps / nodes)
        # The leader writes nearly all; the rest is for submissions and aborts at the others.
        self._writes = Budget(clock, limits.write_rps * LEADERS_SHARE, limits.write_rps * LEADERS_SHARE / 2)

    @property
    def pace(self) -> timedelta:
        """Time between two requests of one kind that keeps them to a third of this node's share."""
        return timedelta(seconds=3 * self._nodes / self.limits.rps)

    @property
    def spare_writes(self) -> int:
        """Changes that may be made now and still leave room for more urgent ones."""
        return max(0, int(self._writes.spare))

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
        if response.status in (429, 503):
            raise Unavailable(f"{path} answered {response.status}")
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
        since, turn = "", None
        while True:
            self._requests.spend()
            path = f"/kv?starts={prefix}&page=1000" + (f"&since={since}" if since else "")
            response = await self._call("GET", path, timeout=self._timeout * 3)
            if response.status != 200:
                raise Unavailable(f"list answered {response.status}")
            page: _Page = _decode(response.body, _Page)
            turn = page.turn if turn is None else turn
            entries.extend(page.entries)
            if not page.has_next or not page.entries:
                return Listing(entries, turn)
            since = page.entries[-1].key

    async def txn(
        self, when: list[Condition], writes: list[Put | Delete], urgent: bool = False
    ) -> Committed | Refused:
        if urgent:
            self._requests.spend()
            self._writes.spend(len(writes))
        else:
            delay = max(self._requests.reserve(), self._writes.reserve(len(writes)))
            if delay:
                await sleep(self._clock, delay)
        response = await self._call("POST", "/txn", _Txn(when, writes))
        if response.status == 200:
            return Committed(_decode(response.body, _Turn).turn)
        if response.status == 409:
            conflict: _Conflict = _decode(response.body, _Conflict)
            return Refused(frozenset(conflict.failed), conflict.turn)
        if response.status == 400 and b"no such lease" in response.body:
            raise LeaseGone
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
