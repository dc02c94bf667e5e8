"""The network of a simulated deployment: delivers, loses, delays and repeats requests and answers."""

from collections import Counter, defaultdict
from collections.abc import Callable
from datetime import timedelta
from random import Random
from typing import Any

import msgspec
from twisted.internet.defer import Deferred

from spindleglade.leadership.peer_messages import Message
from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import ManualClock, seconds
from tests.deployment_config import DeploymentConfig
from tests.fakes.encoding import Reply
from tests.simulation.endpoints import CLOUD, STATE, USER, Endpoints
from tests.simulation.fault_window import FaultRates, FaultWindow
from tests.versions import CURRENT

HEARTBEAT_PATH = "/v1/report"
TRANSACTION_PATH = "/txn"
OK, TOO_MANY_REQUESTS, UNAVAILABLE = 200, 429, 503
# The delay before a transaction that the store has rejected with 429 or 503 is executed again.
RETRY_DELAY = seconds(0.3)
# The maximum delay of a late copy of a heartbeat, as a multiple of the worker lease.
MAX_LATE_LEASES = 2.5
PEER_DELAY = seconds(0.002)
QUEUED_DELIVERY_DELAY = seconds(0.001)

OnReply = Callable[[Reply], None]


class SimulatedNetwork:
    """Carries all messages between controllers, machines, users, the store and the cloud."""

    def __init__(
        self,
        clock: ManualClock,
        rng: Random,
        config: DeploymentConfig,
        endpoints: Endpoints,
        rates: FaultRates,
        window: FaultWindow,
        counts: Counter[str],
    ) -> None:
        self._clock, self._rng, self._config = clock, rng, config
        self._endpoints, self._rates, self._window, self._counts = endpoints, rates, window, counts
        # Pairs of endpoints that are cut off from each other, with the messages queued between them until
        # the cut ends, or None if messages are dropped.
        self.cuts: dict[frozenset[str], list[Callable[[], None]] | None] = {}
        # Controllers that the store answers with 503.
        self.refused_by_store: set[str] = set()
        # Controllers that accept connections but neither send nor receive messages, and the times at which
        # each peer sent each type of message to one of them.
        self.silent: set[str] = set()
        self.sent_to_silent: defaultdict[tuple[str, type], list[timedelta]] = defaultdict(list)
        # The initiators' ends of the open connections between controllers, in the order of their creation.
        # The values are unused.
        self.peer_connections: dict[Any, None] = {}
        # Machines whose heartbeats arrive, while all answers and commands to them are dropped.
        self.unreachable: set[str] = set()
        # Machines whose heartbeats are dropped, while direct commands reach them.
        self.cannot_send_heartbeats: set[str] = set()
        # Copies of heartbeats that are delivered when a new leader is elected: sender, method, path and body.
        self._kept_heartbeats: list[tuple[str, str, str, bytes]] = []

    # Cuts.

    def is_cut(self, one: str, other: str) -> bool:
        """Whether the two endpoints are cut off from each other."""
        return frozenset((one, other)) in self.cuts

    def cut(self, name: str, others: list[str], queue_messages: bool, length: timedelta) -> None:
        """Cuts an endpoint off from others for a while.

        With `queue_messages`, messages sent meanwhile are delivered when the cut ends, otherwise dropped.
        """
        pairs = [frozenset((name, other)) for other in others if other != name]
        self._window.extend(length)
        for pair in pairs:
            self.cuts.setdefault(pair, [] if queue_messages else None)
        self._clock.later(length, self._end_cut, pairs)

    def cut_off(self, name: str, queue_messages: bool, length: timedelta) -> None:
        """Cuts a controller off from all other endpoints."""
        machines = [machine.address for machine in self._endpoints.machines()]
        others = [*machines, *self._endpoints.controller_names, STATE, CLOUD, USER]
        self.cut(name, others, queue_messages, length)

    def cut_zone(self, zone: str, queue_messages: bool, length: timedelta) -> None:
        """Cuts a zone's workers and controllers off from everything outside it, but not from each other."""
        zones = {name: controller._platform.zone for name, controller in self._endpoints.controllers.items()}
        inside = [name for name, own_zone in zones.items() if own_zone == zone]
        outside = [name for name in self._endpoints.controller_names if name not in inside]
        inside_machines = [machine.address for machine in self._endpoints.machines() if machine.zone == zone]
        outside_machines = [machine.address for machine in self._endpoints.machines() if machine.zone != zone]
        for name in inside:
            self.cut(name, [*outside_machines, *outside, STATE, CLOUD, USER], queue_messages, length)
        for name in outside:
            self.cut(name, inside_machines, queue_messages, length)

    def _end_cut(self, pairs: list[frozenset[str]]) -> None:
        for pair in pairs:
            for send in self.cuts.pop(pair, None) or []:
                self._clock.later(QUEUED_DELIVERY_DELAY, send)

    # Requests and answers.

    def refuses(self, target: str) -> bool:
        """Whether connections to the target are refused because it is a controller that does not run."""
        return target in self._endpoints.controller_names and target not in self._endpoints.controllers

    def carry(self, source: str, target: str, method: str, path: str, body: bytes, on_reply: OnReply) -> None:
        """Delivers a request to its target and the answer to `on_reply`, unless a fault loses either."""
        loses_answer = target == STATE and path == TRANSACTION_PATH and self._loses_answer(body)

        def arrive() -> None:
            if loses_answer:
                return
            answer = self.serve(source, target, method, path, body)
            if isinstance(answer, Deferred):
                answer.addCallback(self._send_back, source, target, on_reply)
            elif answer is not None:
                self._send_back(answer, source, target, on_reply)

        if path == HEARTBEAT_PATH and source in self.cannot_send_heartbeats:
            return
        self._deliver(source, target, arrive)
        self._schedule_copies(source, target, method, path, body)

    def _send_back(self, answer: Reply, source: str, target: str, on_reply: OnReply) -> None:
        if target == STATE and source in self.refused_by_store and answer[0] == OK:
            # Open watches of a refused controller get no answer, as in an outage.
            return
        if target == STATE and self._rates.slow_store:
            delay = self._rates.slow_store * self._rng.random()
            self._clock.later(delay, self._deliver, target, source, lambda: on_reply(answer))
        else:
            self._deliver(target, source, lambda: on_reply(answer))

    def _deliver(self, source: str, target: str, arrive: Callable[[], None]) -> None:
        if target in self.unreachable:
            return
        pair = frozenset((source, target))
        if pair in self.cuts:
            queue = self.cuts[pair]
            if queue is not None:
                queue.append(arrive)
            return
        if self._rng.random() < self._rates.lost_messages:
            return
        delay = self._rng.uniform(0.001, 0.01)
        delay += self._rates.slow_links.total_seconds() * self._rng.random()
        self._clock.later(seconds(delay), arrive)

    def serve(self, source: str, target: str, method: str, path: str, body: bytes) -> Reply | Deferred | None:
        """Returns the target's answer to a request, or None if the target's worker does not run."""
        if target == STATE:
            refused = source in self.refused_by_store
            return (UNAVAILABLE, b"") if refused else self._endpoints.state.handle(method, path, body)
        if target == CLOUD:
            return self._endpoints.cloud.handle(method, path, body)
        if target in self._endpoints.controllers:
            return self._serve_by_controller(target, method, path, body)
        worker = self._endpoints.workers.get(target.partition(":")[0])
        return None if worker is None or worker.terminated else worker.handle(method, path, body)

    def _serve_by_controller(self, name: str, method: str, path: str, body: bytes) -> Deferred:
        controller = self._endpoints.controllers[name]
        answered: Deferred[Reply] = Deferred()

        async def handle() -> None:
            answer = await controller.handle(method, path, body)
            if self._endpoints.controllers.get(name) is controller:
                answered.callback((answer.status, answer.body))

        run_in_background(handle(), "serving")
        return answered

    # Transactions that get no answer.

    def _loses_answer(self, body: bytes) -> bool:
        """Decides whether a transaction gets no answer. If so, schedules its execution, at once or late."""
        rates = self._rates
        draw = self._rng.random() if rates.late_writes or rates.lost_answers else 1.0
        if draw < rates.late_writes:
            self._clock.later(seconds(self._rng.uniform(2, 12)), self._carry_out, body)
        elif draw < rates.late_writes + rates.lost_answers:
            self._clock.later(seconds(self._rng.uniform(0.001, 0.01)), self._carry_out, body)
        else:
            return False
        self._counts["unanswered transactions"] += 1
        return True

    def _carry_out(self, body: bytes) -> None:
        answer = self._endpoints.state.handle("POST", TRANSACTION_PATH, body)
        assert isinstance(answer, tuple)
        if answer[0] in (TOO_MANY_REQUESTS, UNAVAILABLE):
            # The store is unavailable or over its rate limit, so the transaction is repeated later.
            self._clock.later(RETRY_DELAY, self._carry_out, body)
            return
        self._counts[
            "unanswered transactions executed" if answer[0] == OK else "unanswered transactions rejected"
        ] += 1

    # Repeated messages.

    def _schedule_copies(self, source: str, target: str, method: str, path: str, body: bytes) -> None:
        rates, names = self._rates, self._endpoints.controller_names
        if path == HEARTBEAT_PATH and self._rng.random() < rates.kept_heartbeats:
            self._kept_heartbeats.append((source, method, path, body))
        if path == HEARTBEAT_PATH and self._rng.random() < rates.late_heartbeats:
            max_delay_s = MAX_LATE_LEASES * self._config.lease.total_seconds()
            delay = seconds(self._rng.uniform(1, max_delay_s))
            other = self._rng.choice(names)
            self._clock.later(delay, self._deliver_copy, source, other, method, path, body)
        elif source in names and method == "POST" and self._rng.random() < rates.repeated_requests:
            delay = seconds(self._rng.uniform(0.2, 8))
            self._clock.later(delay, self._deliver_copy, source, target, method, path, body)

    def deliver_kept(self) -> None:
        """Delivers the kept heartbeats to every running controller; called when a new leader is elected."""
        kept, self._kept_heartbeats = self._kept_heartbeats, []
        for source, method, path, body in kept:
            self._counts["kept heartbeats delivered"] += 1
            for name in list(self._endpoints.controllers):
                self._deliver_copy(source, name, method, path, body)

    def _deliver_copy(self, source: str, target: str, method: str, path: str, body: bytes) -> None:
        """Delivers a copy of an earlier request, unless it is cut off; the answer is discarded."""
        if not self.is_cut(source, target) and target not in self.unreachable:
            self.serve(source, target, method, path, body)

    # Messages between controllers.

    def as_received(self, message: Message, receiver: str) -> Message:
        """Returns a message between peers as decoded by the receiver's version."""
        version = self._endpoints.versions.get(receiver, CURRENT)
        return version.read_message(msgspec.msgpack.encode(message))

    def pass_to_peer(self, source: str, target: str, arrive: Callable[[], None]) -> None:
        """Delivers a message between controllers, in the order sent. Only cuts lose such messages."""
        pair = frozenset((source, target))
        if pair not in self.cuts:
            self._clock.later(PEER_DELAY, arrive)
        elif (queue := self.cuts[pair]) is not None:
            queue.append(arrive)
