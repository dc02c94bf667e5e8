"""The heartbeats between controllers: creates this controller's own and applies those of its peers."""

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
    """Creates the heartbeats of this controller and applies those of its peers."""

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
        # Distinguishes this process from earlier processes of the same controller.
        self._process_id = uuid4().hex
        # The cancellations that the peers report in their heartbeats.
        self.cancellations = PeerCancellationLog(
            clock,
            [peer.name for peer in platform.peers],
            lambda: replica.current_as_of,
            self._on_cancellation,
        )

    def make_heartbeat(self, peer_revision: int | None) -> PeerHeartbeat:
        """Creates a heartbeat of this controller.

        An acknowledgement reports the cancellations since `peer_revision`, the revision in the peer's
        heartbeat. `peer_revision` is None for any other heartbeat.
        """
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
        """Applies the heartbeat of a peer.

        `requested_at` is when the heartbeat that `heartbeat` acknowledges was sent; None if `heartbeat` is
        not an acknowledgement.
        """
        self._election.observe_token(heartbeat.token)
        self.cancellations.on_heartbeat(
            heartbeat.controller, heartbeat.process, heartbeat.cancellations, requested_at
        )

    def _on_cancellation(self, job: str, mod_revision: int) -> None:
        """Marks a job as cancelled in the replica, because a peer reports its cancellation and may have
        confirmed it to the user."""
        view = self._views.jobs.get(job)
        if view is not None and view.record.state == JobState.OPEN:
            cancelled = msgspec.structs.replace(view.record, state=JobState.CANCELLED)
            self._replica.observe(job_key(job), encode_value(cancelled), mod_revision)
