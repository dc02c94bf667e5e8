"""Applies the dependency graph to the leader's cluster state.

The graph decides which jobs are released, which are cancelled because a dependency is cancelled, and which
priority and latest start a job inherits from its dependents.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from spindleglade.backfill.distributions import Predictor
from spindleglade.backfill.urgency import PipelineJob, urgencies
from spindleglade.runtime.clock import ZERO, Clock, seconds
from spindleglade.submissions.views import JobViews
from spindleglade.workers.cluster_state import ClusterState
from spindleglade.workers.jobs import PipelineMember

# The shortest time for which changes in the graph are collected before the urgencies are computed again.
MIN_URGENCY_UPDATE_DELAY = seconds(0.2)
# The largest share of the event loop's time that computing urgencies may take.
MAX_URGENCY_UPDATE_SHARE = 0.05
# How long before its inherited deadline a job should start, in expected run times of the job.
EXPECTED_RUN_TIMES_BEFORE_DEADLINE = 2


class PipelineUpdater:
    """Keeps a cluster state up to date with the dependency graph of the controller's job views.

    All methods are called from the event loop.
    """

    def __init__(
        self,
        cluster: ClusterState,
        views: JobViews,
        predictor: Predictor,
        clock: Clock,
        on_changed: Callable[[], None],
    ) -> None:
        """`on_changed` is called after `on_job_changed` has applied a change in the graph."""
        self._cluster = cluster
        self._views = views
        self._predictor = predictor
        self._clock = clock
        self._on_changed = on_changed
        self._stopped = False
        # The timer of the next computation of urgencies; None if none is due.
        self._urgency_update_timer: Any = None
        self._urgency_update_delay = MIN_URGENCY_UPDATE_DELAY

    def stop(self) -> None:
        """Stops the updater; later changes in the graph are ignored."""
        self._stopped = True

    def update_all(self) -> None:
        """Applies the graph to every job of the cluster state, and computes the urgencies."""
        for job in list(self._cluster.jobs):
            self.update(job)
        self.update_urgency()

    def on_job_changed(self, job: str) -> None:
        """Applies a change in the graph: the job was released, was cancelled through an ancestor, or has its
        first dependents."""
        if self._stopped:
            return
        self.update(job)
        self._on_changed()
        if self._urgency_update_timer is None:
            # Many jobs may change at once, and each computation of urgencies covers all unfinished jobs.
            self._urgency_update_timer = self._clock.later(self._urgency_update_delay, self.update_urgency)

    def update(self, job: str) -> None:
        """Applies the graph to one job: whether it has dependents, is cancelled or is released."""
        graph = self._views.graph
        if job not in self._cluster.jobs:
            return
        self._cluster.set_has_dependents(job, graph.has_dependents(job))
        if graph.is_cancelled(job):
            self._cluster.cancel_through_dependency(job)
        elif not self._cluster.jobs[job].released and job in self._views.jobs and graph.is_released(job):
            self._release_job(job)

    def _release_job(self, job: str) -> None:
        """Releases a job. Its age counts from the time at which its last dependency was done."""
        released_at = self._views.released_at(job)
        # The wall clocks of controllers differ, and the age must not become negative when this one is behind.
        age = ZERO if released_at is None else max(ZERO, self._clock.utc() - released_at)
        self._cluster.release_job(job, self._clock.now(), age)

    def update_urgency(self) -> None:
        """Computes the urgency of all unfinished jobs: each job inherits priorities and deadlines from its
        direct and indirect dependents."""
        self._urgency_update_timer = None
        if self._stopped:
            return
        started_at = self._clock.now()
        members = self._cluster.pipeline_members(self._views.graph.pipeline_jobs())
        jobs = {name: self._pipeline_job(name, member) for name, member in members.items()}
        for name, urgency in urgencies(jobs).items():
            latest_start = _latest_start(jobs[name], urgency.deadline)
            self._cluster.set_urgency(name, urgency.rank, latest_start)
        # With thousands of jobs in pipelines this takes long, and it blocks the event loop, which also serves
        # heartbeats and renews leases.
        duration = self._clock.now() - started_at
        self._urgency_update_delay = max(MIN_URGENCY_UPDATE_DELAY, duration / MAX_URGENCY_UPDATE_SHARE)

    def _pipeline_job(self, name: str, member: PipelineMember) -> PipelineJob:
        expected = self._predictor.expected(member.team, member.estimate)
        return PipelineJob(member.rank, member.deadline, expected, self._views.graph.dependents(name))


def _latest_start(job: PipelineJob, deadline: timedelta | None) -> timedelta | None:
    """When a job should start to meet its inherited deadline; None without dependents or a deadline."""
    if not job.dependents or deadline is None:
        return None
    return deadline - job.expected_run_time * EXPECTED_RUN_TIMES_BEFORE_DEADLINE
