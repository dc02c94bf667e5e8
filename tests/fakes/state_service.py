"""A fake state service that follows the published protocol: transactions, watches and leases.

It does no networking. `handle` takes a request and returns a status and a body, or a Deferred of both for
a watch that waits for changes. All times come from the clock that it is given.
"""

import math
from bisect import bisect_right
from datetime import timedelta
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

from twisted.internet.defer import Deferred

from spindleglade.runtime.clock import Clock
from tests.fakes.encoding import Reply, decode, encode, reply


class TokenBucket:
    """A rate limiter: permits `rate` operations per second, and bursts of up to `rate` operations."""

    def __init__(self, clock: Clock, rate: float) -> None:
        self._clock, self._rate = clock, rate
        self._available, self._updated_at = rate, clock.now()

    def lower_rate(self, rate: float) -> None:
        self.try_take(0)
        self._rate, self._available = min(self._rate, rate), min(self._available, rate)

    def try_take(self, count: int = 1) -> bool:
        now = self._clock.now()
        self._available = min(
            self._rate, self._available + self._rate * (now - self._updated_at).total_seconds()
        )
        self._updated_at = now
        if self._available < count:
            return False
        self._available -= count
        return True


class StoredValue(NamedTuple):
    """The value of a key, the revision of its last change, and the lease that it is bound to, if any."""

    value: Any
    mod_revision: int
    lease: int | None


class StateService:
    """A key-value store in memory, with limits on value sizes, transaction sizes and rates."""

    def __init__(
        self,
        clock: Clock,
        value_kb: float = 16,
        txn_ops: int = 12,
        rps: float = math.inf,
        write_rps: float = math.inf,
    ) -> None:
        self.clock = clock
        self.request_bucket, self.write_bucket = TokenBucket(clock, rps), TokenBucket(clock, write_rps)
        # The number of puts and deletes executed, and of requests rejected for exceeding a rate limit.
        self.changes = 0
        self.rejected_for_rate = 0
        self.value_kb = value_kb
        self.txn_ops = txn_ops
        self.revision = 0
        self.keys: dict[str, StoredValue] = {}
        self.log: list[dict] = []
        self.max_log_entries = 10_000
        # The time to live and the expiry time of each lease.
        self.leases: dict[int, list] = {}
        self.next_lease = 1
        self.is_down = False
        self._watches: list[tuple[str, int, Deferred]] = []
        # Whether the limits have been lowered. Until then, a transaction with too many operations or a value
        # that is too large fails the test. Afterwards it is rejected with 400.
        self.has_lowered_limits = False
        # The bodies of transactions rejected for too many operations or too large values.
        self.rejected_for_size: list[bytes] = []

    def lower_limits(
        self,
        value_kb: float = math.inf,
        txn_ops: int | None = None,
        rps: float = math.inf,
        write_rps: float = math.inf,
    ) -> None:
        """Lowers the limits for all further requests; values that are already stored are kept."""
        self.has_lowered_limits = True
        self.value_kb = min(self.value_kb, value_kb)
        self.txn_ops = self.txn_ops if txn_ops is None else min(self.txn_ops, txn_ops)
        self.request_bucket.lower_rate(rps)
        self.write_bucket.lower_rate(write_rps)

    def outage(self, length: timedelta) -> None:
        self.is_down = True
        self.clock.later(length, self._end_outage)

    def _end_outage(self) -> None:
        self.is_down = False
        for lease in self.leases.values():
            lease[1] = self.clock.now() + lease[0]
        self._notify()

    def expire_leases(self) -> None:
        if self.is_down:
            return
        now = self.clock.now()
        for number in [number for number, lease in self.leases.items() if lease[1] < now]:
            self._revoke_lease(number)

    def _revoke_lease(self, number: int) -> None:
        del self.leases[number]
        self._write([{"remove": key} for key, (_, _, lease) in self.keys.items() if lease == number])

    def _write(self, writes: list[dict]) -> None:
        if not writes:
            return
        self.revision += 1
        self.changes += len(writes)
        for write in writes:
            if "set" in write:
                self.keys[write["set"]] = StoredValue(write["v"], self.revision, write.get("hold"))
                self.log.append({"set": write["set"], "v": write["v"], "mark": self.revision})
            elif self.keys.pop(write["remove"], None) is not None:
                self.log.append({"remove": write["remove"], "mark": self.revision})
        del self.log[: -self.max_log_entries]
        self._notify()

    def _changes_since(self, prefix: str, since: int) -> list[dict]:
        first = bisect_right(self.log, since, key=lambda change: change["mark"])
        return [
            change
            for change in self.log[first:]
            if (change.get("set") or change["remove"]).startswith(prefix)
        ]

    def _notify(self) -> None:
        if self.is_down:
            return
        watches, self._watches = self._watches, []
        for prefix, since, waiter in watches:
            if waiter.called:
                continue
            changes = self._changes_since(prefix, since)
            if changes:
                waiter.callback(reply(200, {"turn": self.revision, "log": changes}))
            else:
                self._watches.append((prefix, since, waiter))

    def handle(self, method: str, path: str, body: bytes) -> Reply | Deferred:
        self.expire_leases()
        if self.is_down:
            return reply(503)
        if not self.request_bucket.try_take():
            self.rejected_for_rate += 1
            return reply(429)
        parts = urlsplit(path)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if parts.path == "/txn":
            if len(body) > 64 * 1024:
                return reply(400, {"error": "too large"})
            txn = decode(body)
            if not self.write_bucket.try_take(len(txn["writes"])):
                self.rejected_for_rate += 1
                return reply(429)
            exceeded = self._exceeded_limit(txn)
            if exceeded is not None:
                assert self.has_lowered_limits, exceeded
                self.rejected_for_size.append(body)
                return reply(400, {"error": exceeded})
            return self._txn(txn)
        if parts.path == "/watch":
            return self._watch(query)
        if parts.path == "/kv":
            return self._list(query)
        if parts.path.startswith("/kv/"):
            key = parts.path[4:]
            if key not in self.keys:
                return reply(404, {"turn": self.revision})
            value, mod_revision, lease = self.keys[key]
            return reply(200, {"k": key, "v": value, "mark": mod_revision, "hold": lease})
        if parts.path == "/leases":
            ttl = timedelta(milliseconds=decode(body)["ttl_ms"])
            number, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[number] = [ttl, self.clock.now() + ttl]
            return reply(200, {"hold": number})
        number = int(parts.path.split("/")[2])
        if number not in self.leases:
            return reply(404)
        if method == "DELETE":
            self._revoke_lease(number)
        else:
            self.leases[number][1] = self.clock.now() + self.leases[number][0]
        return reply(200)

    def _exceeded_limit(self, txn: dict) -> str | None:
        if len(txn["writes"]) > self.txn_ops or len(txn["when"]) > 4 * self.txn_ops:
            return "too many operations"
        if any(len(encode(write.get("v"))) > self.value_kb * 1024 for write in txn["writes"]):
            return "value too large"
        return None

    def _txn(self, txn: dict) -> Reply:
        when, writes = txn["when"], txn["writes"]
        for write in writes:
            if write.get("hold") is not None and write["hold"] not in self.leases:
                return reply(400, {"error": "no such lease"})
        failed = [
            condition["k"]
            for condition in when
            if self.keys.get(condition["k"], (None, 0))[1] != condition["mark"]
        ]
        if failed:
            return reply(409, {"failed": failed, "turn": self.revision})
        self._write(writes)
        return reply(200, {"turn": self.revision})

    def _list(self, query: dict) -> Reply:
        keys = sorted(k for k in self.keys if k.startswith(query["starts"]) and k > query.get("since", ""))
        page = keys[: min(int(query.get("page", 1000)), 7)]
        entries = [{"k": key, "v": self.keys[key][0], "mark": self.keys[key][1]} for key in page]
        return reply(200, {"entries": entries, "has_next": len(page) < len(keys), "turn": self.revision})

    def _watch(self, query: dict) -> Reply | Deferred:
        since, prefix = int(query["since"]), query["starts"]
        if self.revision > self.max_log_entries and since < self.revision - self.max_log_entries:
            return reply(410)
        changes, wait = self._changes_since(prefix, since), int(query.get("wait_ms", 0))
        if changes or wait == 0:
            return reply(200, {"turn": self.revision, "log": changes})
        waiter: Deferred[Reply] = Deferred()
        self._watches.append((prefix, since, waiter))
        self.clock.later(timedelta(milliseconds=wait), self._end_watch, waiter)
        return waiter

    def _end_watch(self, waiter: Deferred) -> None:
        if not waiter.called and not self.is_down:
            waiter.callback(reply(200, {"turn": self.revision, "log": []}))
