"""Applies the dependency graph to the leader's cluster state: which jobs are released or cancelled through
another one, and the priority and the latest start that a job inherits from its dependents."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from spindleglade.backfill.distributions import Predictor
from spindleglade.backfill.urgency import ChainedJob, urgencies
from spindleglade.runtime.clock import ZERO, Clock, seconds
from spindleglade.submissions.views import JobViews
from spindleglade.workers.cluster_state import ClusterState
from spindleglade.workers.jobs import ChainMember

# How long changes of pipelines are collected before the jobs' urgencies are computed again.
MIN_URGENCY_DELAY = seconds(0.2)
# Share of the event loop's time that computing urgencies may take.
MAX_URGENCY_SHARE = 0.05
# A job should start so many expected run times before its deadline.
EXPECTED_RUNS_AHEAD = 2


class PipelineUpdater:
    """Keeps a cluster state up to date with the dependency graph of the controller's job views. All methods
    are called from the event loop."""

    def __init__(
        self,
        cluster: ClusterState,
        views: JobViews,
        predictor: Predictor,
        clock: Clock,
        on_changed: Callable[[], None],
    ) -> None:
        """`on_changed` is called after a job was released or cancelled, or has got its first dependents."""
        self._cluster = cluster
        self._views = views
        self._predictor = predictor
        self._clock = clock
        self._on_changed = on_changed
        self._stopped = False
        # The timer of the next computation of urgencies, if one is due.
        self._timer: Any = None
        self._urgency_delay = MIN_URGENCY_DELAY

    def stop(self) -> None:
        """Nothing more is applied."""
        self._stopped = True

    def update_all(self) -> None:
        """Applies the state of every job of the cluster state in the graph."""
        for job in list(self._cluster.jobs):
            self.update(job)
        self.update_urgency()

    def on_job_changed(self, job: str) -> None:
        """The job was released, cancelled through an ancestor, or has got its first dependents."""
        if self._stopped:
            return
        self.update(job)
        self._on_changed()
        if self._timer is None:
            # Many jobs may change at once, and computing urgencies covers all unfinished ones.
            self._timer = self._clock.later(self._urgency_delay, self.update_urgency)

    def update(self, job: str) -> None:
        """Applies the state of one job in the graph."""
        graph = self._views.graph
        if job not in self._cluster.jobs:
            return
        self._cluster.set_has_dependents(job, graph.has_dependents(job))
        if graph.is_cancelled(job):
            self._cluster.cancel_through_dependency(job)
        elif not self._cluster.jobs[job].released and job in self._views.jobs and graph.is_released(job):
            self._release(job)

    def _release(self, job: str) -> None:
        """Releases the job as of the time at which its last dependency was done."""
        released_at = self._views.released_at(job)
        # The time of day differs between controllers; an age must not become negative by that.
        age = ZERO if released_at is None else max(ZERO, self._clock.utc() - released_at)
        self._cluster.release_job(job, self._clock.now(), age)

    def update_urgency(self) -> None:
        """Computes urgencies: priorities and deadlines propagate from the ends of pipelines to the starts."""
        self._timer = None
        if self._stopped:
            return
        started_at = self._clock.now()
        members = self._cluster.chain_members(self._views.graph.members())
        jobs = {name: self._chained_job(name, member) for name, member in members.items()}
        for name, urgency in urgencies(jobs).items():
            latest_start = _latest_start(jobs[name], urgency.deadline)
            self._cluster.set_urgency(name, urgency.rank, latest_start)
        # With thousands of jobs in pipelines this takes long, and heartbeats and leases must not wait for it.
        duration = self._clock.now() - started_at
        self._urgency_delay = max(MIN_URGENCY_DELAY, duration / MAX_URGENCY_SHARE)

    def _chained_job(self, name: str, member: ChainMember) -> ChainedJob:
        expected = self._predictor.expected(member.team, member.estimate)
        return ChainedJob(member.rank, member.deadline, expected, self._views.graph.dependents(name))


def _latest_start(job: ChainedJob, deadline: timedelta | None) -> timedelta | None:
    """When a job with dependents should start; None if it has none, or there is no deadline."""
    if not job.dependents or deadline is None:
        return None
    return deadline - job.expected * EXPECTED_RUNS_AHEAD
