"""A stand-in for the state service, after "Controller nodes -> state service" of the protocol page."""

import asyncio
import json
import time
from bisect import bisect_right
from dataclasses import dataclass
from typing import Any

from standins.record import Record
from standins.wire import Reply

KEPT_CHANGES = 10_000
MAX_ITEMS = 1000
MAX_LIST_BYTES = 512 * 1024
MAX_TRANSACTION_BYTES = 64 * 1024
LEASE_CHECK_S = 0.02


@dataclass
class _Entry:
    value: Any
    mark: int
    hold: int | None


class _Bucket:
    """A rate limit that allows bursts of one second's worth."""

    def __init__(self, rate: float) -> None:
        self._rate, self._left, self._at = rate, rate, time.monotonic()

    def take(self, count: int) -> bool:
        """Takes `count` from the bucket if it holds as many."""
        now = time.monotonic()
        self._left, self._at = min(self._rate, self._left + (now - self._at) * self._rate), now
        if self._left < count:
            return False
        self._left -= count
        return True


class StateService:
    """Keeps all keys in memory. `handler` gives the request handler for one controller, by its name."""

    def __init__(self, limits: dict[str, Any], latency_s: float, record: Record) -> None:
        self._limits, self._latency_s, self._record = limits, latency_s, record
        self._requests, self._writes = _Bucket(limits["rps"]), _Bucket(limits["write_rps"])
        self._entries: dict[str, _Entry] = {}
        self._log: list[dict[str, Any]] = []
        self._turn = 0
        self._leases: dict[int, tuple[float, float]] = {}
        self._last_lease = 0
        self._changed = asyncio.Event()
        # When each controller last renewed a lease.
        self.renewed_at: dict[str, float] = {}

    async def run(self) -> None:
        """Ends the leases that were not renewed in time."""
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            now = time.monotonic()
            for hold in [hold for hold, (ends_at, _) in self._leases.items() if ends_at < now]:
                self._end_lease(hold)

    def handler(self, controller: str) -> Any:
        """The handler of the requests of one controller."""

        async def handle(method: str, path: str, query: dict[str, str], body: Any) -> Reply:
            await asyncio.sleep(self._latency_s)
            if not self._requests.take(1):
                return 429, {}
            if path == "/watch":
                return await self._watch(query)
            answer = self._answer(controller, method, path, query, body)
            if path == "/txn":
                self._record_transaction(controller, body, answer)
            return answer

        return handle

    def _answer(self, controller: str, method: str, path: str, query: dict[str, str], body: Any) -> Reply:
        parts = path.strip("/").split("/")
        if path == "/kv" and method == "GET":
            return self._list(query)
        if parts[0] == "kv" and method == "GET":
            return self._get(path[len("/kv/") :])
        if path == "/txn" and method == "POST" and isinstance(body, dict):
            return self._transact(body)
        if parts[0] == "leases":
            return self._lease(controller, method, parts, body)
        return 400, {"error": "malformed"}

    def _record_transaction(self, controller: str, body: Any, answer: Reply) -> None:
        keys = [write.get("set") or "-" + write.get("remove", "") for write in (body or {}).get("writes", ())]
        self._record.write(controller, f"state txn {' '.join(keys)} -> {answer[0]}")

    def _get(self, key: str) -> Reply:
        entry = self._entries.get(key)
        if entry is None:
            return 404, {"turn": self._turn}
        return 200, {"k": key, "v": entry.value, "mark": entry.mark, "hold": entry.hold}

    def _list(self, query: dict[str, str]) -> Reply:
        prefix, since = query.get("starts", ""), query.get("since", "")
        page = min(int(query.get("page", MAX_ITEMS)), MAX_ITEMS)
        keys = sorted(key for key in self._entries if key.startswith(prefix) and key > since)
        entries: list[dict[str, Any]] = []
        size = 0
        for key in keys[:page]:
            entry = self._entries[key]
            item = {"k": key, "v": entry.value, "mark": entry.mark}
            size += len(json.dumps(item))
            if entries and size > MAX_LIST_BYTES:
                break
            entries.append(item)
        return 200, {"entries": entries, "has_next": len(entries) < len(keys), "turn": self._turn}

    def _transact(self, body: dict[str, Any]) -> Reply:
        when, writes = body.get("when") or [], body.get("writes") or []
        ops = self._limits["txn_ops"]
        value_bytes = self._limits["value_kb"] * 1024
        if (
            len(writes) > ops
            or len(when) > 4 * ops
            or len(json.dumps(body, separators=(",", ":"))) > MAX_TRANSACTION_BYTES
        ):
            return 400, {"error": "too large"}
        if any(len(json.dumps(write.get("v"), separators=(",", ":"))) > value_bytes for write in writes):
            return 400, {"error": "too large"}
        if not self._writes.take(len(writes)):
            return 429, {}
        if any(write.get("hold") is not None and write["hold"] not in self._leases for write in writes):
            return 400, {"error": "no such lease"}
        failed = [condition["k"] for condition in when if self._mark(condition["k"]) != condition["mark"]]
        if failed:
            return 409, {"failed": failed, "turn": self._turn}
        if writes:
            self._apply(writes)
        return 200, {"turn": self._turn}

    def _mark(self, key: str) -> int:
        entry = self._entries.get(key)
        return 0 if entry is None else entry.mark

    def _apply(self, writes: list[dict[str, Any]]) -> None:
        self._turn += 1
        for write in writes:
            if "set" in write:
                self._entries[write["set"]] = _Entry(write["v"], self._turn, write.get("hold"))
                self._log.append({"set": write["set"], "v": write["v"], "mark": self._turn})
            elif self._entries.pop(write["remove"], None) is not None:
                self._log.append({"remove": write["remove"], "mark": self._turn})
        if len(self._log) > 2 * KEPT_CHANGES:
            del self._log[:-KEPT_CHANGES]
        self._changed.set()
        self._changed = asyncio.Event()

    def value(self, key: str) -> Any:
        """The value of a key that exists."""
        return self._entries[key].value

    def keys(self, prefix: str) -> list[str]:
        """The keys with a prefix."""
        return [key for key in self._entries if key.startswith(prefix)]

    def put(self, key: str, value: Any) -> None:
        """Sets a key, as a transaction of a controller does."""
        self._apply([{"set": key, "v": value}])

    def _lease(self, controller: str, method: str, parts: list[str], body: Any) -> Reply:
        if method == "POST" and len(parts) == 1:
            self._last_lease += 1
            ttl_s = body["ttl_ms"] / 1000
            self._leases[self._last_lease] = (time.monotonic() + ttl_s, ttl_s)
            self.renewed_at[controller] = time.monotonic()
            return 200, {"hold": self._last_lease}
        hold = int(parts[1])
        if hold not in self._leases:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            self._end_lease(hold)
            return 200, {}
        ttl_s = self._leases[hold][1]
        self._leases[hold] = (time.monotonic() + ttl_s, ttl_s)
        self.renewed_at[controller] = time.monotonic()
        return 200, {"hold": hold}

    def _end_lease(self, hold: int) -> None:
        del self._leases[hold]
        keys = [key for key, entry in self._entries.items() if entry.hold == hold]
        self._record.write("state", f"lease {hold} ends, removes {' '.join(keys) or 'nothing'}")
        if keys:
            self._apply([{"remove": key} for key in keys])

    async def _watch(self, query: dict[str, str]) -> Reply:
        prefix, since = query.get("starts", ""), int(query.get("since", 0))
        ends_at = time.monotonic() + min(int(query.get("wait_ms", 0)), 60_000) / 1000
        while True:
            if len(self._log) >= KEPT_CHANGES and self._log[0]["mark"] > since + 1:
                return 410, {}
            first = bisect_right(self._log, since, key=lambda change: change["mark"])
            changes = [
                change
                for change in self._log[first:]
                if change.get("set", change.get("remove", "")).startswith(prefix)
            ]
            left = ends_at - time.monotonic()
            if changes or left <= 0:
                return 200, {"turn": self._turn, "log": changes}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue
