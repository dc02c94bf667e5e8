"""Applies the dependency graph to the leader's cluster state: which jobs are released or cancelled through
another one, and the priority and the latest start that a job takes over from the jobs that need it."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from spindleglade.backfill.distributions import Predictor
from spindleglade.backfill.urgency import ChainedJob, urgencies
from spindleglade.runtime.clock import ZERO, Clock, seconds
from spindleglade.submissions.views import JobViews
from spindleglade.workers.cluster_state import ClusterState
from spindleglade.workers.jobs import ChainMember

# How long changes of pipelines are gathered before priorities and deadlines are passed on again.
URGENCY_DELAY = seconds(0.2)
# Share of the time that this may take.
URGENCY_SHARE = 0.05
# A job should start so many times its expected run time before it has to be done.
EXPECTED_RUNS_AHEAD = 2


class PipelineUpdater:
    """Keeps a cluster state up to date with the graph of the node's job views."""

    def __init__(
        self,
        cluster: ClusterState,
        views: JobViews,
        predictor: Predictor,
        clock: Clock,
        changed: Callable[[], None],
    ) -> None:
        """`changed` is called after a job was released, cancelled or awaited for the first time."""
        self._cluster = cluster
        self._views = views
        self._predictor = predictor
        self._clock = clock
        self._on_changed = changed
        self._stopped = False
        self._timer: Any = None
        self._delay = URGENCY_DELAY

    def stop(self) -> None:
        """Nothing more is applied."""
        self._stopped = True

    def update_all(self) -> None:
        """Applies what the graph says of every job of the cluster state."""
        for job in list(self._cluster.jobs):
            self.update(job)
        self.update_urgency()

    def on_job_changed(self, job: str) -> None:
        """The job was released, cancelled through an ancestor, or is now awaited by others."""
        if self._stopped:
            return
        self.update(job)
        self._on_changed()
        if self._timer is None:
            # Many jobs may change at once, and the pass looks at all that are unfinished.
            self._timer = self._clock.later(self._delay, self.update_urgency)

    def update(self, job: str) -> None:
        """Applies what the graph says of one job."""
        graph = self._views.graph
        if job not in self._cluster.jobs:
            return
        self._cluster.set_has_dependents(job, graph.has_dependents(job))
        if graph.is_cancelled(job):
            self._cluster.cancel_through_dependency(job)
        elif not self._cluster.jobs[job].released and job in self._views.jobs and graph.is_released(job):
            released = self._views.released_at(job)
            age = ZERO if released is None else max(ZERO, self._clock.utc() - released)
            self._cluster.release_job(job, self._clock.now(), age)

    def update_urgency(self) -> None:
        """Passes priorities and deadlines on from the ends of pipelines to their beginnings."""
        self._timer = None
        if self._stopped:
            return
        began = self._clock.now()
        members = self._cluster.chain_members(self._views.graph.members())
        jobs = {name: self._chained_job(name, member) for name, member in members.items()}
        for name, urgency in urgencies(jobs).items():
            latest_start = _latest_start(jobs[name], urgency.deadline)
            self._cluster.set_urgency(name, urgency.rank, latest_start)
        # With thousands of jobs in pipelines a pass takes long; reports and leases go first.
        self._delay = max(URGENCY_DELAY, (self._clock.now() - began) / URGENCY_SHARE)

    def _chained_job(self, name: str, member: ChainMember) -> ChainedJob:
        expected = self._predictor.expected(member.team, member.estimate)
        return ChainedJob(member.rank, member.deadline, expected, self._views.graph.dependents(name))


def _latest_start(job: ChainedJob, deadline: timedelta | None) -> timedelta | None:
    """When a job that others need should start; None where nothing needs it, or nothing is due."""
    if not job.dependents or deadline is None:
        return None
    return deadline - job.expected * EXPECTED_RUNS_AHEAD
