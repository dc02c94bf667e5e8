"""The network of a simulated deployment: it delivers requests and answers, loses, delays and repeats them."""

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
# Between the attempts of a transaction that the store could not carry out yet.
RETRY_DELAY = seconds(0.3)
# A late copy of a heartbeat comes within so many times the lease.
MAX_LATE_LEASES = 2.5
PEER_DELAY = seconds(0.002)
HEALED_DELAY = seconds(0.001)

OnReply = Callable[[Reply], None]


class SimulatedNetwork:
    """Everything that is sent between controllers, machines, users, the store and the cloud."""

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
        # Cut pairs, and the packets held back between them (None: thrown away).
        self.cuts: dict[frozenset[str], list[Callable[[], None]] | None] = {}
        # Controllers that the store answers with 503.
        self.refused_by_store: set[str] = set()
        # Controllers that accept connections and say nothing; and when which peer sent one of them what.
        self.silent: set[str] = set()
        self.sent_to_silent: defaultdict[tuple[str, type], list[timedelta]] = defaultdict(list)
        # The dialled ends of connections between controllers, in the order in which they were made.
        self.peer_connections: dict[Any, None] = {}
        # Machines whose heartbeats arrive, but which no answer and no command reaches.
        self.unreachable: set[str] = set()
        # Machines that reach no controller, while direct commands reach them.
        self.cannot_report: set[str] = set()
        # Copies of heartbeats that wait for a new leader.
        self._kept: list[tuple[str, str, str, bytes]] = []

    # Cuts.

    def is_cut(self, one: str, other: str) -> bool:
        """Whether nothing passes between the two."""
        return frozenset((one, other)) in self.cuts

    def cut(self, one: str, others: list[str], hold: bool, length: timedelta) -> None:
        """Cuts one off from others. With `hold` what is sent meanwhile arrives at the end, else never."""
        pairs = [frozenset((one, other)) for other in others if other != one]
        self._window.extend(length)
        for pair in pairs:
            self.cuts.setdefault(pair, [] if hold else None)
        self._clock.later(length, self._heal, pairs)

    def cut_off(self, name: str, hold: bool, length: timedelta) -> None:
        """Cuts a controller off from all there is."""
        machines = [machine.address for machine in self._endpoints.machines()]
        others = [*machines, *self._endpoints.controller_names, STATE, CLOUD, USER]
        self.cut(name, others, hold, length)

    def cut_zone(self, zone: str, hold: bool, length: timedelta) -> None:
        """A zone with its workers and controllers is cut off; inside it all goes on."""
        zones = {name: one._platform.zone for name, one in self._endpoints.controllers.items()}
        inside = [name for name, at in zones.items() if at == zone]
        outside = [name for name in self._endpoints.controller_names if name not in inside]
        near = [machine.address for machine in self._endpoints.machines() if machine.zone == zone]
        far = [machine.address for machine in self._endpoints.machines() if machine.zone != zone]
        for name in inside:
            self.cut(name, [*far, *outside, STATE, CLOUD, USER], hold, length)
        for name in outside:
            self.cut(name, near, hold, length)

    def _heal(self, pairs: list[frozenset[str]]) -> None:
        for pair in pairs:
            for send in self.cuts.pop(pair, None) or []:
                self._clock.later(HEALED_DELAY, send)

    # Requests and answers.

    def refuses(self, target: str) -> bool:
        """Whether the target is a controller that does not run, so that no connection to it is made."""
        return target in self._endpoints.controller_names and target not in self._endpoints.controllers

    def carry(self, source: str, target: str, method: str, path: str, body: bytes, on_reply: OnReply) -> None:
        """Brings a request to its target and the answer back, if the network lets them through."""
        is_unanswered = target == STATE and path == TRANSACTION_PATH and self._loses_answer(body)

        def arrive() -> None:
            if is_unanswered:
                return
            answer = self.serve(source, target, method, path, body)
            if isinstance(answer, Deferred):
                answer.addCallback(self._send_back, source, target, on_reply)
            elif answer is not None:
                self._send_back(answer, source, target, on_reply)

        if path == HEARTBEAT_PATH and source in self.cannot_report:
            return
        self._deliver(source, target, arrive)
        self._plan_copies(source, target, method, path, body)

    def _send_back(self, answer: Reply, source: str, target: str, on_reply: OnReply) -> None:
        if target == STATE and source in self.refused_by_store and answer[0] == OK:
            # The watches that a refused controller has open wait as in an outage.
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
            held = self.cuts[pair]
            if held is not None:
                held.append(arrive)
            return
        if self._rng.random() < self._rates.lost_messages:
            return
        delay = self._rng.uniform(0.001, 0.01)
        delay += self._rates.slow_links.total_seconds() * self._rng.random()
        self._clock.later(seconds(delay), arrive)

    def serve(self, source: str, target: str, method: str, path: str, body: bytes) -> Reply | Deferred | None:
        """What the target answers to a request that has arrived; None: nobody is there."""
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

    # Transactions without an answer.

    def _loses_answer(self, body: bytes) -> bool:
        """Whether a transaction gets no answer. It is carried out all the same, late or at once."""
        rates = self._rates
        which = self._rng.random() if rates.late_writes or rates.lost_answers else 1.0
        if which < rates.late_writes:
            self._clock.later(seconds(self._rng.uniform(2, 12)), self._carry_out, body)
        elif which < rates.late_writes + rates.lost_answers:
            self._clock.later(seconds(self._rng.uniform(0.001, 0.01)), self._carry_out, body)
        else:
            return False
        self._counts["astray"] += 1
        return True

    def _carry_out(self, body: bytes) -> None:
        answer = self._endpoints.state.handle("POST", TRANSACTION_PATH, body)
        assert isinstance(answer, tuple)
        if answer[0] in (TOO_MANY_REQUESTS, UNAVAILABLE):
            # The service holds it back as well.
            self._clock.later(RETRY_DELAY, self._carry_out, body)
            return
        self._counts["astray carried out" if answer[0] == OK else "astray refused"] += 1

    # Copies.

    def _plan_copies(self, source: str, target: str, method: str, path: str, body: bytes) -> None:
        rates, names = self._rates, self._endpoints.controller_names
        if path == HEARTBEAT_PATH and self._rng.random() < rates.kept_heartbeats:
            self._kept.append((source, method, path, body))
        if path == HEARTBEAT_PATH and self._rng.random() < rates.late_heartbeats:
            longest = MAX_LATE_LEASES * self._config.lease.total_seconds()
            delay = seconds(self._rng.uniform(1, longest))
            other = self._rng.choice(names)
            self._clock.later(delay, self._deliver_copy, source, other, method, path, body)
        elif source in names and method == "POST" and self._rng.random() < rates.repeated_requests:
            delay = seconds(self._rng.uniform(0.2, 8))
            self._clock.later(delay, self._deliver_copy, source, target, method, path, body)

    def deliver_kept(self) -> None:
        """A new leader leads: the heartbeats that were kept for it come, to every controller."""
        kept, self._kept = self._kept, []
        for source, method, path, body in kept:
            self._counts["kept delivered"] += 1
            for name in list(self._endpoints.controllers):
                self._deliver_copy(source, name, method, path, body)

    def _deliver_copy(self, source: str, target: str, method: str, path: str, body: bytes) -> None:
        """A message that has been carried before comes again; whoever sent it waits for no answer."""
        if not self.is_cut(source, target) and target not in self.unreachable:
            self.serve(source, target, method, path, body)

    # Between controllers.

    def as_received(self, message: Message, receiver: str) -> Message:
        """A message between peers as the one that it goes to reads it."""
        version = self._endpoints.versions.get(receiver, CURRENT)
        return version.read_message(msgspec.msgpack.encode(message))

    def pass_to_peer(self, source: str, target: str, arrive: Callable[[], None]) -> None:
        """Nothing is lost between peers but by a cut; each connection's messages keep their order."""
        pair = frozenset((source, target))
        if pair not in self.cuts:
            self._clock.later(PEER_DELAY, arrive)
        elif (held := self.cuts[pair]) is not None:
            held.append(arrive)
