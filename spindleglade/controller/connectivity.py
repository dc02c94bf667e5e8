"""Which peers a controller reaches, which of them reach the store, and whether its leadership is proven."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from spindleglade.leadership.election import Election
from spindleglade.leadership.peer_network import PeerNetworkInterface
from spindleglade.runtime.clock import Clock
from spindleglade.settings.operator import StoreSettings
from spindleglade.store.replica import Replica

MILLISECONDS_PER_SECOND = 1000
# A peer counts as serving while the age of its replica is at most this many catch-up intervals.
MAX_CATCH_UP_INTERVALS = 3


class PeerConnectivity:
    """Answers questions about the connections to the peers, for the leadership monitor and peer requests."""

    def __init__(
        self,
        clock: Clock,
        replica: Replica,
        election: Election,
        settings: StoreSettings,
        proof_validity: timedelta,
        has_peers: bool,
        peer_network: Callable[[], PeerNetworkInterface],
    ) -> None:
        """`proof_validity` is how long leadership counts as proven after the replica was last current.
        `peer_network` returns the peer network, which does not exist yet when this object is created."""
        self._clock = clock
        self._replica = replica
        self._election = election
        self._max_replica_age_ms = settings.catch_up_interval_s * (
            MAX_CATCH_UP_INTERVALS * MILLISECONDS_PER_SECOND
        )
        self._proof_validity = proof_validity
        self._has_peers = has_peers
        self._peer_network = peer_network

    @property
    def has_peers(self) -> bool:
        """Whether the deployment has other controllers."""
        return self._has_peers

    def reaches_a_peer(self) -> bool:
        """Whether the connection to at least one peer is up."""
        return any(connection.is_up for connection in self._peer_network().connections)

    def reaches_a_serving_peer(self) -> bool:
        """Whether at least one peer accepts requests and has recently reached the store."""
        return any(self._is_serving(connection) for connection in self._peer_network().connections)

    def serving_connections(self) -> list[Any]:
        """Returns the connections to all peers that accept requests and have recently reached the store."""
        return [connection for connection in self._peer_network().connections if self._is_serving(connection)]

    def is_leadership_proven(self) -> bool:
        """Whether this controller, if it leads, has recent proof that no later term has begun.

        The proof comes from the store, from a peer that reaches the store, or, during an outage of the store,
        from all peers together: a later term would have become known and deposed this controller. The peers
        count so that dead machines can be given up during an outage.
        """
        current_as_of = self._replica.current_as_of
        if current_as_of is not None and self._clock.now() - current_as_of <= self._proof_validity:
            return True
        connections = self._peer_network().connections
        acknowledged = [connection for connection in connections if connection.acknowledged_recently]
        if not acknowledged:
            return False
        return len(acknowledged) == len(connections) or any(map(self._is_serving, acknowledged))

    def leader_connection(self) -> Any:
        """Returns the connection to the leader; None if no leader is reached.

        A peer that claims leadership takes precedence over the leader key in the replica, which is out of
        date if the store refuses this controller alone.
        """
        leading = [
            connection
            for connection in self._peer_network().connections
            if connection.is_up and connection.last_heartbeat is not None and connection.last_heartbeat.leads
        ]
        if leading:
            return max(leading, key=lambda connection: connection.last_heartbeat.token)
        leader = self._election.leader
        return None if leader is None else self._peer_network().connection_to(leader.controller)

    def _is_serving(self, connection: Any) -> bool:
        """Whether the peer accepts requests and has recently reached the store."""
        heartbeat = connection.last_heartbeat
        return (
            connection.is_up
            and heartbeat is not None
            and heartbeat.replica_age_ms is not None
            and heartbeat.replica_age_ms <= self._max_replica_age_ms
        )
