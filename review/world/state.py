"""The state service, by the protocol page: keys, transactions, leases, watches, limits on rates and sizes."""

import asyncio
import json
import time
from bisect import bisect_left, bisect_right
from itertools import islice
from typing import Any

from world.wire import Reply, Request

MAX_LOG = 10_000
MAX_BODY = 64 * 1024
MAX_PAGE_BYTES = 512 * 1024
# How long a response usually takes.
LATENCY_S = 0.001


class Bucket:
    """A rate limit that allows bursts of `burst_s` seconds' worth."""

    def __init__(self, rate: float, burst_s: float = 1.0) -> None:
        self._rate = rate
        self._most = rate * burst_s
        self._left = self._most
        self._at = time.monotonic()

    def take(self, count: int = 1) -> bool:
        """Takes `count` operations. Returns False if they exceed the limit."""
        now = time.monotonic()
        self._left = min(self._most, self._left + (now - self._at) * self._rate)
        self._at = now
        if self._left < count:
            return False
        self._left -= count
        return True


class StateService:
    """The store in memory."""

    def __init__(self, limits: dict[str, float]) -> None:
        self._limits = limits
        self._requests = Bucket(limits["rps"])
        self._changes = Bucket(limits["write_rps"])
        self.turn = 0
        # Value, revision of the last change and lease of each key.
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self._log: list[dict[str, Any]] = []
        # Time to live in seconds and time of the end of each lease.
        self._leases: dict[int, list[float]] = {}
        self._lease_count = 0
        self._changed = asyncio.Event()
        # All keys in order; None if it has to be sorted again.
        self._sorted: list[str] | None = None
        # The revision and the encoded entry of each key that was listed before.
        self._encoded: dict[str, tuple[int, bytes]] = {}
        self.refused = 0

    def fill(self, entries: dict[str, Any]) -> None:
        """Adds keys as if they had been written before, in the order given."""
        for key, value in entries.items():
            self.turn += 1
            self.keys[key] = (value, self.turn, None)
        # The service keeps the last changes only, so a watch from an earlier revision is refused.
        self._log = [
            {"set": key, "v": value, "mark": self.turn - len(entries) + number + 1}
            for number, (key, value) in enumerate(entries.items())
        ][-MAX_LOG:]
        for key in entries:
            self._encoded_entry(key)
        self._sorted = None

    async def expire_leases(self) -> None:
        """Ends the leases that were not renewed in time; runs until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [lease for lease, (_, end) in self._leases.items() if end < now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self._leases[lease]
        keys = [key for key, (_, _, bound) in self.keys.items() if bound == lease]
        if keys:
            self._apply([{"remove": key} for key in keys])

    def _apply(self, writes: list[dict[str, Any]]) -> None:
        self.turn += 1
        self._sorted = None
        for write in writes:
            if "set" in write:
                self.keys[write["set"]] = (write["v"], self.turn, write.get("hold"))
                self._log.append({"set": write["set"], "v": write["v"], "mark": self.turn})
            elif self.keys.pop(write["remove"], None) is not None:
                self._log.append({"remove": write["remove"], "mark": self.turn})
        del self._log[:-MAX_LOG]
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request: Request) -> Reply | None:
        """Answers one request."""
        await asyncio.sleep(LATENCY_S)
        if not self._requests.take():
            self.refused += 1
            return Reply(429)
        if len(request.body) > MAX_BODY:
            return Reply(400, {"error": "too large"})
        if request.path == "/txn":
            return self._transact(request.json())
        if request.path == "/watch":
            return await self._watch(request.query)
        if request.path == "/kv":
            return self._list(request.query)
        if request.path.startswith("/kv/"):
            return self._get(request.path[len("/kv/") :])
        return self._handle_lease(request)

    def _get(self, key: str) -> Reply:
        if key not in self.keys:
            return Reply(404, {"turn": self.turn})
        value, mark, lease = self.keys[key]
        return Reply(200, {"k": key, "v": value, "mark": mark, "hold": lease})

    def _list(self, query: dict[str, str]) -> Reply:
        starts, since = query["starts"], query.get("since", "")
        if self._sorted is None:
            self._sorted = sorted(self.keys)
        first = max(bisect_left(self._sorted, starts), bisect_right(self._sorted, since))
        entries: list[bytes] = []
        has_next, size = False, 0
        for name in islice(self._sorted, first, None):
            if not name.startswith(starts):
                break
            entry = self._encoded_entry(name)
            size += len(entry)
            if len(entries) == min(1000, int(query.get("page", 1000))) or (entries and size > MAX_PAGE_BYTES):
                has_next = True
                break
            entries.append(entry)
        end = b'],"has_next":' + json.dumps(has_next).encode() + f',"turn":{self.turn}}}'.encode()
        return Reply(200, b'{"entries":[' + b",".join(entries) + end)

    def _encoded_entry(self, key: str) -> bytes:
        value, mark, _ = self.keys[key]
        known = self._encoded.get(key)
        if known is None or known[0] != mark:
            data = json.dumps({"k": key, "v": value, "mark": mark}, separators=(",", ":")).encode()
            known = self._encoded[key] = (mark, data)
        return known[1]

    def _transact(self, txn: dict[str, Any]) -> Reply:
        when, writes = txn.get("when", []), txn.get("writes", [])
        if not self._changes.take(len(writes)):
            self.refused += 1
            return Reply(429)
        most = int(self._limits["txn_ops"])
        sizes = [len(json.dumps(write["v"], separators=(",", ":"))) for write in writes if "set" in write]
        if (
            len(writes) > most
            or len(when) > 4 * most
            or max(sizes, default=0) > self._limits["value_kb"] * 1024
        ):
            return Reply(400, {"error": "over a limit"})
        if any(write.get("hold") is not None and write["hold"] not in self._leases for write in writes):
            return Reply(400, {"error": "no such lease"})
        failed = [item["k"] for item in when if self.keys.get(item["k"], (None, 0, None))[1] != item["mark"]]
        if failed:
            return Reply(409, {"failed": failed, "turn": self.turn})
        if writes:
            self._apply(writes)
        return Reply(200, {"turn": self.turn})

    def _handle_lease(self, request: Request) -> Reply:
        now = time.monotonic()
        if request.path == "/leases":
            self._lease_count += 1
            ttl_s = request.json()["ttl_ms"] / 1000
            self._leases[self._lease_count] = [ttl_s, now + ttl_s]
            return Reply(200, {"hold": self._lease_count})
        lease = int(request.path.split("/")[2])
        if lease not in self._leases:
            return Reply(404)
        if request.method == "DELETE":
            self._end_lease(lease)
        else:
            self._leases[lease][1] = now + self._leases[lease][0]
        return Reply(200)

    def _changes_since(self, starts: str, since: int) -> list[dict[str, Any]]:
        return [
            change
            for change in self._log
            if change["mark"] > since and (change.get("set") or change["remove"]).startswith(starts)
        ]

    async def _watch(self, query: dict[str, str]) -> Reply:
        starts, since = query["starts"], int(query["since"])
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        if len(self._log) == MAX_LOG and since < self._log[0]["mark"] - 1:
            return Reply(410)
        while True:
            changes = self._changes_since(starts, since)
            left = end - time.monotonic()
            if changes or left <= 0:
                return Reply(200, {"turn": self.turn, "log": changes})
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue
