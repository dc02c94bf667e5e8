"""The leader of one term: recovers the cluster state from the stored records, then runs its components."""

import logging
from collections.abc import Callable
from datetime import timedelta

from spindleglade.controller.leader_dependencies import LeaderDependencies
from spindleglade.controller.recovery import Recovery, new_predictor
from spindleglade.controller.running_leader import RunningLeader
from spindleglade.leadership.term import Term
from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import seconds
from spindleglade.submissions.records import JobRecord
from spindleglade.workers.cluster_state import ClusterState
from spindleglade.workers.messages import Heartbeat, HeartbeatResponse

log = logging.getLogger("spindleglade.leadership")

# A leader whose recovery takes longer than this reports a stall, so that it resigns in favour of a peer.
MAX_FAILOVER_DURATION = seconds(30)


class Leader:
    """Runs the recovery of one term and then the components of the leader.

    All methods are called from the event loop.
    """

    def __init__(
        self, term: Term, dependencies: LeaderDependencies, on_deposed: Callable[[str], None]
    ) -> None:
        """Creates the leader without starting the recovery.

        `on_deposed` is called, with the reason, when the term is over or the recovery fails.
        """
        self.term = term
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._on_deposed = on_deposed
        self._stopped = False
        self._elected_at = self._clock.now()
        self._predictor = new_predictor(dependencies.settings.backfill)
        self._recovery = Recovery(term.token, dependencies, self._predictor)
        # The components of the leader; None until the recovery is complete.
        self._running: RunningLeader | None = None

    def start(self) -> None:
        """Starts the recovery."""
        run_in_background(self._fail_over(), "failover", self._on_deposed)

    def stop(self) -> None:
        """Stops the recovery, and all components if they are running."""
        self._stopped = True
        self._recovery.stop()
        if self._running is not None:
            self._running.stop()

    @property
    def is_active(self) -> bool:
        """Whether the recovery is complete and the term is not over; only then are commands sent."""
        return self._running is not None and not self._stopped

    @property
    def components(self) -> RunningLeader:
        """The components of the leader. Raises RuntimeError before the recovery is complete."""
        if self._running is None:
            raise RuntimeError(f"recovery is not complete: token {self.term.token}")
        return self._running

    @property
    def cluster(self) -> ClusterState:
        """The state of the cluster. Raises RuntimeError before the recovery is complete."""
        return self.components.cluster

    async def _fail_over(self) -> None:
        """Recovers the cluster state from the stored records, then creates and starts the components."""
        loader = await self._recovery.run()
        if loader is None:
            return
        self._running = running = RunningLeader(
            self.term, loader, self._predictor, self._dependencies, self._on_deposed
        )
        log.info(
            "failover complete token=%d jobs=%d placed=%d keys=%d",
            self.term.token,
            len(running.cluster.jobs),
            sum(len(job.placed) for job in running.cluster.jobs.values()),
            loader.entry_count,
        )
        running.start()

    def on_job_changed(self, record: JobRecord, mod_revision: int) -> None:
        """Applies a job record that has changed in the store, or keeps it until the recovery applies it."""
        if self._running is None:
            self._recovery.on_job_changed(record, mod_revision)
        else:
            self._running.on_job_changed(record, mod_revision)

    def on_dependency_changed(self, job: str) -> None:
        """Applies a change in the dependency graph: the job was released, was cancelled through an ancestor,
        or has its first dependents. The recovery applies the whole graph, so earlier changes are ignored."""
        if self._running is not None:
            self._running.pipelines.on_job_changed(job)

    def on_leases_renewed_by_peer(self, machines: list[str]) -> None:
        """Records that a peer that does not reach this leader has renewed the leases of these machines."""
        if self.is_active:
            self.cluster.on_leases_renewed_by_peer(machines, self._clock.now())

    def on_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatResponse | None:
        """Returns the response to a worker's heartbeat; None if the worker's lease must not be renewed.

        Raises RuntimeError before the recovery is complete.
        """
        return self.components.on_heartbeat(heartbeat)

    @property
    def stall_reason(self) -> str | None:
        """Why this leader has stalled: the records could not be read, or one of its loops fails repeatedly or
        has been in one pass for too long. None if it has not stalled."""
        if self.is_active:
            return self.components.stall_reason
        if self._clock.now() - self._elected_at > MAX_FAILOVER_DURATION:
            return "the records could not be read"
        return None

    @property
    def is_unreachable_for_machines(self) -> bool:
        """Whether this leader's requests reach few or none of the machines with recent heartbeats."""
        return self.is_active and self.components.autoscaler.is_unreachable_for_machines

    def receives_no_heartbeats(self, silence_limit: timedelta) -> bool:
        """Whether there are machines, and none of them has sent a heartbeat within `silence_limit`.

        Raises RuntimeError before the recovery is complete.
        """
        return self.components.receives_no_heartbeats(silence_limit)
