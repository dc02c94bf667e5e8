"""One controller: creates the services of all packages, connects them, and follows the elections."""

import logging
from collections.abc import Callable

import msgspec

from spindleglade.controller.connectivity import PeerConnectivity
from spindleglade.controller.heartbeat_balancing import HeartbeatBalancingLoop
from spindleglade.controller.leader import Leader
from spindleglade.controller.leader_dependencies import Compute, LeaderDependencies
from spindleglade.controller.lease_renewal_report import LeaseRenewalReporter
from spindleglade.controller.peer_heartbeats import PeerHeartbeats
from spindleglade.controller.peer_requests import PeerRequestHandler, PeerRequestSender
from spindleglade.fleet.client import CloudClient
from spindleglade.fleet.machine_types import MachineTypeCatalog
from spindleglade.http import server
from spindleglade.http.client import Requester
from spindleglade.http.concurrency import ConcurrencyLimiter
from spindleglade.http.server import HttpResponse
from spindleglade.leadership.election import Election, ElectionHandlers
from spindleglade.leadership.monitor import LeadershipMonitor
from spindleglade.leadership.peer_network import PeerNetworkInterface
from spindleglade.leadership.term import Term
from spindleglade.runtime.clock import Clock, seconds
from spindleglade.settings import OperatorSettings, Platform
from spindleglade.store.client import StateClient
from spindleglade.store.replica import Replica
from spindleglade.submissions.api import UserApi
from spindleglade.submissions.records import JOB_KEY_PREFIX, KEY_PREFIX, LEASE_RENEWAL_KEY_PREFIX, JobRecord
from spindleglade.submissions.views import JobViews
from spindleglade.workers.api import LeaderAccess, WorkerApi
from spindleglade.workers.cancellation_freshness import CancellationFreshness
from spindleglade.workers.heartbeat_balancer import HeartbeatBalancer
from spindleglade.workers.heartbeat_relay import HeartbeatRelay
from spindleglade.workers.isolation_detector import IsolationDetector
from spindleglade.workers.messages import Heartbeat, HeartbeatResponse

log = logging.getLogger("spindleglade")

# The path to which workers send their heartbeats; all other paths are for users.
HEARTBEAT_PATH = server.HEARTBEAT_PATH.decode()
CLOUD_TIMEOUT = seconds(4)


class Controller:
    """One controller. All methods are called from the event loop.

    Its network clients and its planning thread are passed in, so that tests can replace them: `http` sends
    requests to the store and to the cloud, `machine_requester` sends requests to the machines, `connect`
    creates the peer network from the handlers of its events, and `compute` runs the planning in another
    thread.
    """

    def __init__(
        self,
        platform: Platform,
        settings: OperatorSettings,
        clock: Clock,
        http: Requester,
        machine_requester: ConcurrencyLimiter,
        connect: Callable[..., PeerNetworkInterface],
        compute: Compute,
    ) -> None:
        self._platform = platform
        self._settings = settings
        self._clock = clock
        self._machine_requester = machine_requester
        self._compute = compute
        # The leader of the current term; None while this controller does not lead.
        self.leader: Leader | None = None
        self._create_store(http)
        self._create_election()
        self._create_peer_services()
        self._create_apis()
        handler = PeerRequestHandler(self.worker_api, self.user_api, self._leads)
        self.peers = connect(
            self._peer_heartbeats.make_heartbeat,
            handler.on_relayed_heartbeats,
            handler.on_forwarded_request,
            self._peer_heartbeats.on_heartbeat,
            self.election.on_peer_process_ended,
        )
        self._lease_renewal_reporter = LeaseRenewalReporter(
            platform.name, clock, self.client, self.replica, self.worker_api
        )
        self._balancing_loop = HeartbeatBalancingLoop(
            platform.name, clock, self._balancer, self._connectivity, self._leads
        )

    def _create_store(self, http: Requester) -> None:
        """Creates the clients of the store and of the cloud, the replica, and the views derived from it."""
        params, store_settings = self._platform.params, self._settings.store
        self.client = StateClient(
            http,
            self._platform.external.state,
            self._clock,
            params.state,
            self._platform.controller_count,
            seconds(store_settings.request_timeout_s),
        )
        self.replica = Replica(
            self.client,
            self._clock,
            KEY_PREFIX,
            seconds(store_settings.max_watch_wait_s),
            seconds(store_settings.catch_up_interval_s),
            lambda: self.client.request_interval,
        )
        self.views = JobViews()
        # The views subscribe first, so that they are up to date when other subscribers handle a change.
        self.replica.subscribe(self.views.on_change)
        cloud = self._platform.external.cloud
        self.cloud = CloudClient(http, cloud, self._clock, params.cloud.rps, CLOUD_TIMEOUT)
        self.machine_types = MachineTypeCatalog(
            self.cloud,
            self.client,
            self.replica,
            self._clock,
            self._settings.fleet.types_interval_s,
            self._leads,
        )

    def _create_election(self) -> None:
        """Creates the election, and subscribes to the changes that are passed on to the leader."""
        self.election = Election(
            self._platform.name,
            self.client,
            self.replica,
            self._clock,
            seconds(self._settings.leadership.lease_s),
            ElectionHandlers(self._on_elected, self._on_deposed, lambda: self._monitor.may_campaign),
        )
        self.replica.subscribe(self._on_key_changed)
        self.views.subscribe(self._on_dependency_changed)

    def _create_peer_services(self) -> None:
        """Creates the services that depend on the peers: heartbeats, requests and the leadership monitor."""
        platform, settings, clock = self._platform, self._settings, self._clock
        workers = platform.params.workers
        proof_validity = seconds(settings.store.catch_up_interval_s + settings.leadership.lease_s)
        self._connectivity = PeerConnectivity(
            clock,
            self.replica,
            self.election,
            settings.store,
            proof_validity,
            bool(platform.peers),
            lambda: self.peers,
        )
        self._balancer = HeartbeatBalancer(
            clock, workers.heartbeat_interval, len(platform.peers), workers.lease
        )
        self._peer_heartbeats = PeerHeartbeats(
            platform, clock, self.election, self.replica, self.views, self._balancer, self._leads
        )
        self._peer_requests = PeerRequestSender(self._connectivity, seconds(settings.workers.relay_timeout_s))
        self._monitor = LeadershipMonitor(
            clock,
            self.election,
            self._connectivity,
            lambda: self.leader,
            workers.heartbeat_interval,
            proof_validity,
        )

    def _create_apis(self) -> None:
        """Creates the APIs for users and workers, and the rules that permit lease renewals."""
        platform, settings, clock = self._platform, self._settings, self._clock
        workers = platform.params.workers
        self.user_api = UserApi(
            self.client,
            self.replica,
            self.views,
            platform.teams,
            self.machine_types.machine_shapes,
            self._peer_requests.forward_request,
            clock.utc,
        )
        validity = workers.cancellation_time - workers.lease - seconds(settings.workers.cancel_margin_s)
        freshness = CancellationFreshness(clock, validity, lambda: self.replica.current_as_of)
        # The leader knows which tasks it has started, so it may also rely on the peers' cancellation reports.
        cancellations = self._peer_heartbeats.cancellations
        self._leader_cancellation_freshness = CancellationFreshness(
            clock, validity, lambda: cancellations.complete_as_of
        )
        relay = HeartbeatRelay(
            clock, seconds(settings.workers.relay_window_s), self._peer_requests.relay_heartbeats
        )
        self.worker_api = WorkerApi(
            clock,
            self.views,
            freshness,
            LeaderAccess(self._handle_as_leader, self._leads, relay.send),
            self.election.observe_token,
            self._balancer,
            IsolationDetector(clock, platform.zone, workers.lease, lambda: self._monitor.isolated_since),
        )

    @property
    def is_leader(self) -> bool:
        """Whether this controller leads and has completed its recovery."""
        return self.leader is not None and self.leader.is_active

    def is_leadership_proven(self) -> bool:
        """Whether this controller, if it leads, has recent proof that no later term has begun."""
        return self._connectivity.is_leadership_proven()

    def start(self) -> None:
        """Starts all background tasks."""
        self.replica.start()
        self.machine_types.start()
        self.election.start()
        self.peers.start()
        self._lease_renewal_reporter.start()
        self._balancing_loop.start()
        self._monitor.start()
        log.info("started controller=%s zone=%s", self._platform.name, self._platform.zone)

    async def handle(self, method: str, path: str, body: bytes) -> HttpResponse:
        """Serves an HTTP request of a worker or a user."""
        if path == HEARTBEAT_PATH:
            return await self.worker_api.handle(method, path, body)
        return await self.user_api.handle(method, path, body)

    def _leads(self) -> bool:
        """Returns `is_leader`; passed as a callback to the services."""
        return self.is_leader

    def _on_elected(self, term: Term) -> None:
        """Creates the leader of a won term and starts its recovery."""
        dependencies = LeaderDependencies(
            platform=self._platform,
            settings=self._settings,
            clock=self._clock,
            compute=self._compute,
            machine_requester=self._machine_requester,
            client=self.client,
            cloud=self.cloud,
            machine_types=self.machine_types,
            replica=self.replica,
            views=self.views,
            cancellation_freshness=self._leader_cancellation_freshness,
            is_leadership_proven=self.is_leadership_proven,
        )
        self.leader = Leader(term, dependencies, self.election.step_down)
        self.leader.start()

    def _on_deposed(self, reason: str) -> None:
        """Stops the leader, because its term is over."""
        if self.leader is not None:
            leader, self.leader = self.leader, None
            leader.stop()

    def _on_key_changed(self, key: str, value: bytes | None, mod_revision: int) -> None:
        """Passes the peers' lease renewals and changed job records on to the leader."""
        if self.leader is not None and key.startswith(LEASE_RENEWAL_KEY_PREFIX) and value is not None:
            self.leader.on_leases_renewed_by_peer(msgspec.json.decode(value, type=list[str]))
        if self.leader is not None and key.startswith(JOB_KEY_PREFIX) and value is not None:
            self.leader.on_job_changed(msgspec.json.decode(value, type=JobRecord), mod_revision)

    def _on_dependency_changed(self, job: str) -> None:
        if self.leader is not None:
            self.leader.on_dependency_changed(job)

    def _handle_as_leader(self, heartbeat: Heartbeat) -> HeartbeatResponse | None:
        """Returns the leader's response to a heartbeat; None if this controller does not lead, or if the
        lease must not be renewed."""
        return self.leader.on_heartbeat(heartbeat) if self.leader is not None else None
