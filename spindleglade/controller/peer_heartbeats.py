"""Heartbeats between controllers: what this one says of itself, and what it learns from its peers."""

from collections.abc import Callable
from datetime import timedelta
from uuid import uuid4

import msgspec

from spindleglade.leadership.election import Election
from spindleglade.leadership.peer_cancellations import PeerCancellationLog
from spindleglade.leadership.peer_messages import PeerHeartbeat
from spindleglade.runtime.clock import Clock
from spindleglade.settings import Platform
from spindleglade.store.messages import encode_value
from spindleglade.store.replica import Replica
from spindleglade.submissions.records import JobState, job_key
from spindleglade.submissions.views import JobViews
from spindleglade.workers.heartbeat_balancer import HeartbeatBalancer


class PeerHeartbeats:
    """Makes the heartbeats to the peers and applies those that they send."""

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        election: Election,
        replica: Replica,
        views: JobViews,
        balancer: HeartbeatBalancer,
        is_leader: Callable[[], bool],
    ) -> None:
        self._controller = platform.name
        self._clock = clock
        self._election = election
        self._replica = replica
        self._views = views
        self._balancer = balancer
        self._is_leader = is_leader
        # Distinguishes this process from the controller's earlier ones.
        self._process_id = uuid4().hex
        # The cancellations that the peers state in their heartbeats.
        self.cancellations = PeerCancellationLog(
            clock,
            [peer.name for peer in platform.peers],
            lambda: replica.current_as_of,
            self._on_cancellation,
        )

    def make_heartbeat(self, peer_revision: int | None) -> PeerHeartbeat:
        """A heartbeat of this controller. With the revision of a peer that has sent one, it is the response
        to it and states the cancellations since that revision."""
        current_as_of = self._replica.current_as_of
        age_ms = None
        if current_as_of is not None:
            age_ms = int((self._clock.now() - current_as_of) / timedelta(milliseconds=1))
        return PeerHeartbeat(
            self._controller,
            self._election.highest_token,
            self._is_leader(),
            age_ms,
            self._balancer.workers,
            self._process_id,
            self._replica.revision,
            None if peer_revision is None else self._views.cancellations_since(peer_revision),
        )

    def on_heartbeat(self, heartbeat: PeerHeartbeat, requested_at: timedelta | None) -> None:
        """Applies the heartbeat of a peer; `requested_at` is None unless it is a response."""
        self._election.observe_token(heartbeat.token)
        self.cancellations.on_heartbeat(
            heartbeat.controller, heartbeat.process, heartbeat.cancellations, requested_at
        )

    def _on_cancellation(self, job: str, mod_revision: int) -> None:
        """A peer has confirmed to a user, or may yet, that this job is cancelled."""
        view = self._views.jobs.get(job)
        if view is not None and view.record.state == JobState.OPEN:
            cancelled = msgspec.structs.replace(view.record, state=JobState.CANCELLED)
            self._replica.observe(job_key(job), encode_value(cancelled), mod_revision)
