"""Which peers a controller reaches, which of them serve, and whether it may take itself for the leader."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from spindleglade.leadership.election import Election
from spindleglade.leadership.peer_network import Peers
from spindleglade.runtime.clock import Clock
from spindleglade.settings.operator import StoreSettings
from spindleglade.store.replica import Replica

MILLISECONDS_PER_SECOND = 1000
# A peer serves while its replica's age is within so many intervals between two catch-ups.
MAX_CATCH_UP_INTERVALS = 3


class PeerConnectivity:
    """The connections to the peers, as the leadership monitor and the requests to peers need them."""

    def __init__(
        self,
        clock: Clock,
        replica: Replica,
        election: Election,
        settings: StoreSettings,
        proof_validity: timedelta,
        has_peers: bool,
        peers: Callable[[], Peers],
    ) -> None:
        """`proof_validity` is how long after the store has shown that it leads a controller may take itself
        for the leader. `peers` is called once the peer network exists."""
        self._clock = clock
        self._replica = replica
        self._election = election
        self._max_replica_age_ms = settings.catch_up_interval_s * (
            MAX_CATCH_UP_INTERVALS * MILLISECONDS_PER_SECOND
        )
        self._proof_validity = proof_validity
        self._has_peers = has_peers
        self._peers = peers

    @property
    def has_peers(self) -> bool:
        """Whether there are other controllers at all."""
        return self._has_peers

    def reaches_a_peer(self) -> bool:
        """Whether the connection to some peer is up."""
        return any(connection.is_up for connection in self._peers().connections)

    def reaches_a_serving_peer(self) -> bool:
        """Whether some peer accepts requests and has recently reached the store."""
        return any(self._is_serving(connection) for connection in self._peers().connections)

    def serving_connections(self) -> list[Any]:
        """The connections to all peers that accept requests and have recently reached the store."""
        return [connection for connection in self._peers().connections if self._is_serving(connection)]

    def is_leadership_proven(self) -> bool:
        """Whether this controller has recently been shown that it leads, since a later term would have
        deposed it: by the store, by a peer that reaches the store, or, while the store is unavailable, by
        all peers. Machines that die then are given up without waiting for the store."""
        current_as_of = self._replica.current_as_of
        if current_as_of is not None and self._clock.now() - current_as_of <= self._proof_validity:
            return True
        connections = self._peers().connections
        acknowledged = [connection for connection in connections if connection.acknowledged_recently]
        if not acknowledged:
            return False
        return len(acknowledged) == len(connections) or any(map(self._is_serving, acknowledged))

    def leader_connection(self) -> Any:
        """The connection to the leader, or None. A peer that says it leads takes precedence over the
        replica: a controller that only the store refuses does not see a change of leader there."""
        leading = [
            connection
            for connection in self._peers().connections
            if connection.is_up and connection.last_heartbeat is not None and connection.last_heartbeat.leads
        ]
        if leading:
            return max(leading, key=lambda connection: connection.last_heartbeat.token)
        leader = self._election.leader
        return None if leader is None else self._peers().connection_to(leader.controller)

    def _is_serving(self, connection: Any) -> bool:
        """Whether the peer accepts requests and has recently reached the store."""
        heartbeat = connection.last_heartbeat
        return (
            connection.is_up
            and heartbeat is not None
            and heartbeat.replica_age_ms is not None
            and heartbeat.replica_age_ms <= self._max_replica_age_ms
        )
