"""Requests between controllers.

Workers' heartbeats are relayed to the leader, and users' requests are forwarded to a controller that reaches
the store.
"""

import logging
from collections.abc import Callable
from datetime import timedelta

import msgspec

from spindleglade.controller.connectivity import PeerConnectivity
from spindleglade.http.server import HttpResponse
from spindleglade.leadership.errors import PeerUnreachableError
from spindleglade.leadership.peer_messages import HeartbeatRelayRequest, UserRequestForward
from spindleglade.runtime.clock import seconds
from spindleglade.submissions.api import UserApi
from spindleglade.workers.api import WorkerApi
from spindleglade.workers.messages import decode_heartbeat

log = logging.getLogger("spindleglade")

# The timeout of a user's request that is forwarded to a peer.
FORWARD_TIMEOUT = seconds(1)


class PeerRequestSender:
    """Sends heartbeats and users' requests to the peers."""

    def __init__(self, connectivity: PeerConnectivity, relay_timeout: timedelta) -> None:
        self._connectivity = connectivity
        self._relay_timeout = relay_timeout

    async def relay_heartbeats(self, heartbeats: list[bytes]) -> list[bytes] | None:
        """Relays workers' heartbeats to the leader and returns the responses in the same order.

        Returns None if the leader is not reached or the peer does not lead.
        """
        connection = self._connectivity.leader_connection()
        if connection is None:
            return None
        try:
            response = await connection.request(
                lambda request_id: HeartbeatRelayRequest(request_id, heartbeats), self._relay_timeout
            )
        except PeerUnreachableError:
            return None
        responses: list[bytes] | None = response.responses
        return responses

    async def forward_request(self, method: str, path: str, body: bytes) -> HttpResponse | None:
        """Forwards a user's request to a serving peer and returns the response; None if no peer responds.

        The peer with the latest message is tried first. A peer that has just failed still counts as up, and
        trying it first would delay each request by the whole timeout.
        """
        for connection in sorted(
            self._connectivity.serving_connections(),
            key=lambda connection: connection.last_message_at,
            reverse=True,
        ):
            try:
                response = await connection.request(
                    lambda request_id: UserRequestForward(request_id, method, path, body), FORWARD_TIMEOUT
                )
            except PeerUnreachableError:
                continue
            return HttpResponse(response.status, response.body, response.retry_after)
        return None


class PeerRequestHandler:
    """Handles the requests that the peers send."""

    def __init__(self, workers: WorkerApi, users: UserApi, is_leader: Callable[[], bool]) -> None:
        self._workers = workers
        self._users = users
        self._is_leader = is_leader

    def on_relayed_heartbeats(self, heartbeats: list[bytes]) -> list[bytes] | None:
        """Returns the leader's responses to relayed heartbeats; None if this controller does not lead.

        A response is empty if the worker's lease must not be renewed or the heartbeat cannot be decoded.
        """
        responses = []
        for heartbeat in heartbeats:
            if not self._is_leader():
                return None
            try:
                responses.append(self._workers.respond_as_leader(decode_heartbeat(heartbeat)) or b"")
            except msgspec.DecodeError as error:
                log.warning("relayed heartbeat dropped reason=%s", error)
                responses.append(b"")
        return responses

    async def on_forwarded_request(self, method: str, path: str, body: bytes) -> HttpResponse:
        """Serves a user's request that a peer has forwarded; it is not forwarded again."""
        return await self._users.handle(method, path, body, may_forward=False)
