"""Wires the slices into one node."""

import logging
from collections.abc import Callable
from datetime import timedelta
from functools import partial
from typing import Any
from uuid import uuid4

import msgspec
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.threads import deferToThreadPool
from twisted.python.threadpool import ThreadPool

from spindleglade.controller.leader import Leader
from spindleglade.controller.leader_dependencies import Compute, LeaderDependencies
from spindleglade.fleet.client import CloudClient
from spindleglade.fleet.machine_types import MachineTypeCatalog
from spindleglade.http.client import HttpClient, Requester
from spindleglade.http.concurrency import ConcurrencyLimiter
from spindleglade.http.connection_budget import ConnectionBudget
from spindleglade.http.server import HttpResponse, http_server
from spindleglade.leadership.election import Election, ElectionHandlers
from spindleglade.leadership.errors import PeerUnreachableError
from spindleglade.leadership.monitor import LeadershipMonitor
from spindleglade.leadership.peer_cancellations import PeerCancellationLog
from spindleglade.leadership.peer_handlers import PeerHandlers
from spindleglade.leadership.peer_messages import HeartbeatRelayRequest, PeerHeartbeat, UserRequestForward
from spindleglade.leadership.peer_network import PeerNetwork, Peers
from spindleglade.leadership.term import Term
from spindleglade.runtime.background import run_forever
from spindleglade.runtime.clock import Clock, ReactorClock, seconds, sleep
from spindleglade.settings import OperatorSettings, Platform
from spindleglade.settings.platform import split_address
from spindleglade.store.client import StateClient
from spindleglade.store.errors import NotAppliedError, OutcomeUnknownError
from spindleglade.store.messages import Condition, Put, encode_value
from spindleglade.store.replica import Replica
from spindleglade.submissions.api import UserApi
from spindleglade.submissions.records import JOBS, LEASE_RENEWALS, PREFIX, JobRecord, job_key
from spindleglade.submissions.views import JobViews
from spindleglade.workers.api import LeaderAccess, WorkerApi
from spindleglade.workers.cancellation_freshness import CancellationFreshness
from spindleglade.workers.heartbeat_balancer import ControllerLoad, HeartbeatBalancer
from spindleglade.workers.heartbeat_relay import HeartbeatRelay
from spindleglade.workers.isolation_detector import IsolationDetector
from spindleglade.workers.messages import Heartbeat, HeartbeatResponse, decode_heartbeat

log = logging.getLogger("spindleglade")


# How often a node on its own tells the leader, through the store, whose leases it renews.
LEASE_RENEWAL_REPORT_S = 1.5
# How often the shares of the workers' reports are looked at.
BALANCE_INTERVAL = seconds(0.5)
# How often idle connections are looked for.
IDLE_CONNECTION_CHECK_S = 2.0


def run_controller(platform: Platform, settings: OperatorSettings, reactor: Any) -> None:
    """Puts a node on the network; it serves once the reactor runs."""
    clock = ReactorClock(reactor)
    pool = ThreadPool(1, 1, "planning")

    def connect(*handlers: Any) -> PeerNetwork:
        return PeerNetwork(
            reactor, clock, platform.peers, seconds(settings.leadership.ping_s), PeerHandlers(*handlers)
        )

    sockets = ConnectionBudget(platform.params.machine_limits.sockets)
    node = Controller(
        platform,
        settings,
        clock,
        HttpClient(reactor, connections_per_host=8),
        ConcurrencyLimiter(HttpClient(reactor, 1, sockets), clock, sockets),
        connect,
        partial(deferToThreadPool, reactor, pool),
    )

    def not_listening(failure: Any, address: str) -> None:
        log.error("cannot listen address=%s reason=%s", address, failure.getErrorMessage())
        reactor.stop()

    # A worker that has not reported for its lease is in another session, or reports elsewhere.
    workers = platform.params.workers
    front = http_server(node.handle, sockets, clock, workers.lease + workers.heartbeat_interval)

    async def tidy() -> None:
        while True:
            await sleep(clock, seconds(IDLE_CONNECTION_CHECK_S))
            closed = front.close_idle()
            if closed:
                log.debug("idle connections closed count=%d open=%d", closed, sockets.open)

    def begin() -> None:
        pool.start()
        run_forever(clock, tidy, "tidying")
        reactor.addSystemEventTrigger("before", "shutdown", pool.stop)
        for address, factory in (
            (platform.client_listen, front),
            (platform.peer_listen, node.peers.server_factory()),
        ):
            host, port = split_address(address)
            # After a restart everybody comes within a second.
            listening = TCP4ServerEndpoint(reactor, port, sockets.limit, host).listen(factory)
            listening.addErrback(not_listening, address)
        node.start()

    reactor.callWhenRunning(begin)


class Controller:
    """One controller. What it reaches the world by is handed in, so that tests can stand in for it: `http`
    sends requests to store and cloud, `machines` to the machines, `connect` makes the links to the siblings,
    `compute` runs the planning off this thread."""

    def __init__(
        self,
        platform: Platform,
        settings: OperatorSettings,
        clock: Clock,
        http: Requester,
        machines: ConcurrencyLimiter,
        connect: Callable[..., Peers],
        compute: Compute,
    ) -> None:
        self._platform = platform
        self._settings = settings
        self._clock = clock
        self._http = http
        self._machine_requester = machines
        self._compute = compute
        params = platform.params
        self.client = StateClient(
            self._http,
            platform.external.state,
            clock,
            params.state,
            platform.controller_count,
            seconds(settings.store.timeout_s),
        )
        self.replica = Replica(
            self.client,
            clock,
            PREFIX,
            seconds(settings.store.watch_s),
            seconds(settings.store.confirm_s),
            lambda: self.client.request_interval,
        )
        self.views = JobViews()
        self.replica.subscribe(self.views.on_change)
        self.cloud = CloudClient(self._http, platform.external.cloud, clock, params.cloud.rps, seconds(4))
        self.types = MachineTypeCatalog(
            self.cloud, self.client, self.replica, clock, settings.fleet.types_s, lambda: self.is_leader
        )
        self.election = Election(
            platform.name,
            self.client,
            self.replica,
            clock,
            seconds(settings.leadership.lease_s),
            ElectionHandlers(self._on_elected, self._on_deposed, lambda: self._monitor.may_campaign),
        )
        # How long after it was shown to lead by the store a node may take itself for the leader.
        self._proof_validity = seconds(settings.store.confirm_s + settings.leadership.lease_s)
        self.leader: Leader | None = None
        self.replica.subscribe(self._on_key_changed)
        self.views.subscribe(self._on_dependency_changed)
        # Tells siblings this process from the one before.
        self._process_id = uuid4().hex
        self._peer_cancellations = PeerCancellationLog(
            clock,
            [sibling.name for sibling in platform.peers],
            lambda: self.replica.current_as_of,
            self._on_peer_cancellation,
        )
        self.peers = connect(
            self._make_peer_heartbeat,
            self._on_relayed_heartbeats,
            self._on_forwarded_request,
            self._on_peer_heartbeat,
            self.election.on_peer_process_ended,
        )
        self.users = UserApi(
            self.client,
            self.replica,
            self.views,
            platform.teams,
            self.types.machine_shapes,
            self._forward_request,
            clock.utc,
        )
        workers = params.workers
        self._balancer = HeartbeatBalancer(
            clock, workers.heartbeat_interval, len(platform.peers), workers.lease
        )
        self._monitor = LeadershipMonitor(
            clock, self.election, self, lambda: self.leader, workers.heartbeat_interval, self._proof_validity
        )
        lasts = workers.cancel - workers.lease - seconds(settings.workers.cancel_margin_s)
        self._cancellation_freshness = CancellationFreshness(clock, lasts, lambda: self.replica.current_as_of)
        # The leader knows what it has started, so it may go by its siblings' word as well.
        self._leader_cancellation_freshness = CancellationFreshness(
            clock, lasts, lambda: self._peer_cancellations.complete_as_of
        )
        self.workers = WorkerApi(
            clock,
            self.views,
            self._cancellation_freshness,
            LeaderAccess(
                self._handle_as_leader,
                lambda: self.is_leader,
                HeartbeatRelay(clock, seconds(settings.workers.relay_window_s), self._relay_heartbeats).send,
            ),
            self.election.observe_token,
            self._balancer,
            IsolationDetector(clock, platform.zone, workers.lease, lambda: self._monitor.isolated_since),
        )

    @property
    def is_leader(self) -> bool:
        return self.leader is not None and self.leader.is_active

    def start(self) -> None:
        self.replica.start()
        self.types.start()
        self.election.start()
        self.peers.start()
        run_forever(self._clock, self._report_lease_renewals, "vouching")
        run_forever(self._clock, self._balance, "balancing")
        self._monitor.start()
        log.info("started node=%s zone=%s", self._platform.name, self._platform.zone)

    async def handle(self, method: str, path: str, body: bytes) -> HttpResponse:
        if path == "/v1/report":
            return await self.workers.handle(method, path, body)
        return await self.users.handle(method, path, body)

    # Leadership.

    def _on_elected(self, term: Term) -> None:
        dependencies = LeaderDependencies(
            platform=self._platform,
            settings=self._settings,
            clock=self._clock,
            compute=self._compute,
            machine_requester=self._machine_requester,
            client=self.client,
            cloud=self.cloud,
            machine_types=self.types,
            replica=self.replica,
            views=self.views,
            cancellation_freshness=self._leader_cancellation_freshness,
            is_leadership_proven=self.is_leadership_proven,
        )
        self.leader = Leader(term, dependencies, self.election.step_down)
        self.leader.start()

    def is_leadership_proven(self) -> bool:
        """Whether this node has lately been shown that it leads, since what it learns of a later term deposes
        it: by the store, by a sibling that reaches the store, or, in an outage of it, by all siblings.
        Machines that die then are given up without waiting for its end."""
        confirmed = self.replica.current_as_of
        if confirmed is not None and self._clock.now() - confirmed <= self._proof_validity:
            return True
        connections = self.peers.connections
        shown = [connection for connection in connections if connection.acknowledged_recently]
        return bool(shown) and (len(shown) == len(connections) or any(map(self._is_serving, shown)))

    def _on_deposed(self, reason: str) -> None:
        if self.leader is not None:
            leader, self.leader = self.leader, None
            leader.stop()

    def _on_key_changed(self, key: str, value: bytes | None, mod_revision: int) -> None:
        if self.leader is not None and key.startswith(LEASE_RENEWALS) and value is not None:
            self.leader.on_leases_renewed_by_peer(msgspec.json.decode(value, type=list[str]))
        if self.leader is not None and key.startswith(JOBS) and value is not None:
            self.leader.on_job_changed(msgspec.json.decode(value, type=JobRecord), mod_revision)

    def _on_dependency_changed(self, job: str) -> None:
        if self.leader is not None:
            self.leader.on_dependency_changed(job)

    def _rebalance(self) -> None:
        own = ControllerLoad(self._platform.name, self._balancer.workers, self.is_leader)
        others = [
            ControllerLoad(
                connection.peer.name, connection.last_heartbeat.workers, connection.last_heartbeat.leads
            )
            for connection in self.peers.connections
            if self._is_serving(connection)
        ]
        self._balancer.rebalance(own, others)

    async def _report_lease_renewals(self) -> None:
        """A node that renews leases without the leader, because the two cannot reach each other, tells it so
        through the store. Else the leader would release machines that are only behind a cut."""
        every = seconds(LEASE_RENEWAL_REPORT_S)
        while True:
            await sleep(self._clock, every)
            now = self._clock.now()
            alone = self.workers.renewed_without_leader
            names = sorted(name for name, at in alone.items() if now - at <= every * 2)
            if not names:
                alone.clear()
                continue
            most = max(1, self.client.limits.value_bytes // (max(map(len, names)) + 3))
            for at in range(0, len(names), most):
                key = f"{LEASE_RENEWALS}{self._platform.name}/{at // most}"
                # Conditional: a copy of this request that comes late must not vouch for machines once more.
                conditions = [Condition(key, self.replica.mod_revisions.get(key, 0))]
                try:
                    await self.client.compare_and_swap(
                        conditions, [Put(key, encode_value(names[at : at + most]))], urgent=True
                    )
                except (NotAppliedError, OutcomeUnknownError) as error:
                    log.info("could not vouch reason=%s", error)

    async def _balance(self) -> None:
        """Keeps the siblings' shares of the workers' reports even."""
        while True:
            await sleep(self._clock, BALANCE_INTERVAL)
            self._rebalance()

    def _handle_as_leader(self, report: Heartbeat) -> HeartbeatResponse | None:
        return self.leader.on_heartbeat(report) if self.leader is not None else None

    # Siblings.

    def _make_peer_heartbeat(self, revision: int | None) -> PeerHeartbeat:
        confirmed = self.replica.current_as_of
        age = None if confirmed is None else int((self._clock.now() - confirmed) / timedelta(milliseconds=1))
        return PeerHeartbeat(
            self._platform.name,
            self.election.highest_token,
            self.is_leader,
            age,
            self._balancer.workers,
            self._process_id,
            self.replica.revision,
            None if revision is None else self.views.cancellations_since(revision),
        )

    def _on_peer_heartbeat(self, ping: PeerHeartbeat, asked: timedelta | None) -> None:
        self.election.observe_token(ping.token)
        self._peer_cancellations.on_heartbeat(ping.controller, ping.process, ping.cancellations, asked)

    def _on_peer_cancellation(self, job: str, mod_revision: int) -> None:
        """A sibling has told a user, or may yet, that this job is aborted."""
        view = self.views.jobs.get(job)
        if view is not None and view.record.state == "open":
            aborted = msgspec.structs.replace(view.record, state="aborted")
            self.replica.observe(job_key(job), encode_value(aborted), mod_revision)

    def _is_serving(self, connection: Any) -> bool:
        """Whether the sibling can be asked and has lately reached the store."""
        ping = connection.last_heartbeat
        limit = self._settings.store.confirm_s * 3000
        return (
            connection.is_up
            and ping is not None
            and ping.replica_age_ms is not None
            and ping.replica_age_ms <= limit
        )

    @property
    def has_peers(self) -> bool:
        """Whether there are other nodes at all."""
        return bool(self._platform.peers)

    def reaches_a_peer(self) -> bool:
        """Whether the link to some sibling is up."""
        return any(connection.is_up for connection in self.peers.connections)

    def reaches_a_serving_peer(self) -> bool:
        """Whether some sibling can be asked and has lately reached the store."""
        return any(self._is_serving(connection) for connection in self.peers.connections)

    def _leader_connection(self) -> Any:
        """The link to the leader. A sibling that says it leads is believed before the replica: a node that
        the store alone refuses learns of no change of leader, and its workers were given up as silent."""
        leading = [
            connection
            for connection in self.peers.connections
            if connection.is_up and connection.last_heartbeat is not None and connection.last_heartbeat.leads
        ]
        if leading:
            return max(leading, key=lambda connection: connection.last_heartbeat.token)
        leader = self.election.leader
        return None if leader is None else self.peers.connection_to(leader.controller)

    async def _relay_heartbeats(self, reports: list[bytes]) -> list[bytes] | None:
        """Workers' reports to the leader; nothing if there is none to be reached."""
        connection = self._leader_connection()
        if connection is None:
            return None
        try:
            timeout = seconds(self._settings.workers.relay_timeout_s)
            return (
                await connection.request(lambda number: HeartbeatRelayRequest(number, reports), timeout)
            ).responses
        except PeerUnreachableError:
            return None

    def _on_relayed_heartbeats(self, reports: list[bytes]) -> list[bytes] | None:
        responses = []
        for report in reports:
            if not self.is_leader:
                return None
            try:
                responses.append(self.workers.respond_as_leader(decode_heartbeat(report)) or b"")
            except msgspec.DecodeError as error:
                log.warning("relayed report dropped reason=%s", error)
                responses.append(b"")
        return responses

    async def _forward_request(self, method: str, path: str, body: bytes) -> HttpResponse | None:
        """A user's request to a sibling that has lately reached the store. The one last heard comes first:
        one that has just fallen silent is still up, and would cost each request a second."""
        serving = [connection for connection in self.peers.connections if self._is_serving(connection)]
        for connection in sorted(serving, key=lambda connection: connection.last_message_at, reverse=True):
            try:
                answer = await connection.request(
                    lambda number: UserRequestForward(number, method, path, body), seconds(1)
                )
            except PeerUnreachableError:
                continue
            return HttpResponse(answer.status, answer.body, answer.retry_after)
        return None

    async def _on_forwarded_request(self, method: str, path: str, body: bytes) -> HttpResponse:
        return await self.users.handle(method, path, body, may_forward=False)
