"""The HTTP interface for workers: POST /v1/report, at any controller.

The leader responds with its token and commands. A follower relays heartbeats to the leader in batches and
returns the leader's responses. If it cannot reach the leader, it may renew a worker's lease itself. A worker
that another controller can serve better is redirected.
"""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from spindleglade.http.server import HttpResponse
from spindleglade.runtime.clock import Clock
from spindleglade.submissions.views import JobViews
from spindleglade.workers.cancellation_freshness import CancellationFreshness
from spindleglade.workers.heartbeat_balancer import HeartbeatBalancer
from spindleglade.workers.isolation_detector import IsolationDetector
from spindleglade.workers.leaderless_renewal import LeaderlessRenewal, RenewalDecision
from spindleglade.workers.messages import Heartbeat, HeartbeatResponse, decode_heartbeat

log = logging.getLogger("spindleglade.workers")

METHOD_NOT_ALLOWED = HttpResponse(405, b'{"error":"use POST"}')
MALFORMED_HEARTBEAT = HttpResponse(400, b'{"error":"malformed report"}')
# The response to a machine that is terminated, or with a lease that must expire.
LEASE_NOT_RENEWED = HttpResponse(503, b"", None)
# The field of a redirect that names the controller to use. Without it, the worker chooses another controller.
REDIRECT_TARGET_FIELD = "foreman"


@dataclass(frozen=True, slots=True)
class LeaderAccess:
    """How a controller obtains the leader's response to a heartbeat."""

    # Returns the response if this controller is the leader; None if the worker's lease must not be renewed.
    respond: Callable[[Heartbeat], HeartbeatResponse | None]
    is_leader: Callable[[], bool]
    # Relays an encoded heartbeat and returns the leader's encoded response, which is empty if the worker's
    # lease must not be renewed; None if the leader cannot be reached.
    relay: Callable[[bytes], Awaitable[bytes | None]]


class WorkerApi:
    """Handles workers' heartbeats on one controller."""

    def __init__(
        self,
        clock: Clock,
        views: JobViews,
        cancellation_freshness: CancellationFreshness,
        leader: LeaderAccess,
        observe_token: Callable[[int], None],
        balancer: HeartbeatBalancer,
        isolation: IsolationDetector,
    ) -> None:
        """`cancellation_freshness` limits the renewals without the leader. The leader's own renewals are
        limited in `leader.respond`."""
        self._leader = leader
        self._observe_token = observe_token
        self._balancer = balancer
        self._leaderless = LeaderlessRenewal(clock, views, cancellation_freshness, isolation)
        # Incarnation and sequence of the newest heartbeat of each worker.
        self._newest_heartbeats: dict[str, tuple[int, int]] = {}

    @property
    def renewed_without_leader(self) -> dict[str, timedelta]:
        """When this controller last renewed the lease of each machine without the leader, by machine."""
        return self._leaderless.renewed_at

    async def handle(self, method: str, path: str, body: bytes) -> HttpResponse:
        """Handles a request to the heartbeat path."""
        if method != "POST":
            return METHOD_NOT_ALLOWED
        try:
            heartbeat = decode_heartbeat(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            log.warning("heartbeat malformed reason=%s", error)
            return MALFORMED_HEARTBEAT
        self._observe_token(heartbeat.token)
        is_newest = self._is_newest(heartbeat)
        if is_newest:
            target = self._balancer.redirect_target(heartbeat.machine)
            if target is not None:
                return _redirect(target)
            self._balancer.on_heartbeat(heartbeat.machine)
        if self._leader.is_leader():
            return _response_of_leader(self.respond_as_leader(heartbeat))
        relayed = await self._leader.relay(body)
        if relayed is not None:
            return _response_of_leader(relayed)
        return self._respond_without_leader(heartbeat, is_newest)

    def respond_as_leader(self, heartbeat: Heartbeat) -> bytes | None:
        """The leader's encoded response to a heartbeat received here or relayed by a peer; None if the lease
        must not be renewed."""
        response = self._leader.respond(heartbeat)
        return None if response is None else msgspec.json.encode(response)

    def _is_newest(self, heartbeat: Heartbeat) -> bool:
        """Whether a heartbeat is the newest of its worker so far; if so, it is recorded as such."""
        position = (heartbeat.incarnation, heartbeat.sequence)
        if position <= self._newest_heartbeats.get(heartbeat.machine, (0, 0)):
            return False
        self._newest_heartbeats[heartbeat.machine] = position
        return True

    def _respond_without_leader(self, heartbeat: Heartbeat, is_newest: bool) -> HttpResponse:
        decision = self._leaderless.decide(heartbeat, is_newest)
        if decision is RenewalDecision.REDIRECT:
            return _redirect(None)
        if decision is RenewalDecision.WITHHOLD:
            return LEASE_NOT_RENEWED
        return HttpResponse(200, msgspec.json.encode(HeartbeatResponse(heartbeat.token)))


def _response_of_leader(response: bytes | None) -> HttpResponse:
    return HttpResponse(200, response) if response else LEASE_NOT_RENEWED


def _redirect(controller: str | None) -> HttpResponse:
    """A response that redirects a worker to a controller; None: to any other controller."""
    target = {} if controller is None else {REDIRECT_TARGET_FIELD: controller}
    return HttpResponse(421, msgspec.json.encode(target))
