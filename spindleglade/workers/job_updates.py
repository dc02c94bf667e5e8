"""Updates the jobs in memory from their records in the store and from the jobs that they depend on."""

from collections.abc import Iterable
from datetime import timedelta

from spindleglade.submissions.messages import PRIORITY_RANK
from spindleglade.submissions.records import JobRecord, JobState
from spindleglade.workers.attempts import EndReason, StopReason
from spindleglade.workers.cluster_data import ClusterData
from spindleglade.workers.failure_tracker import FailureTracker
from spindleglade.workers.jobs import Job, PipelineMember, estimate
from spindleglade.workers.state_changes import StateChanges


class JobUpdates:
    """Applies changes of jobs to the cluster state. Called with the lock held."""

    def __init__(self, data: ClusterData, changes: StateChanges, failures: FailureTracker) -> None:
        self._data = data
        self._changes = changes
        self._failures = failures

    def observe_job(self, record: JobRecord, mod_revision: int, now: timedelta, age: timedelta) -> None:
        """Applies a job record, loaded after the election or observed as a later change. `age` is the time
        since the job was accepted."""
        job = self._data.jobs.get(record.spec.id)
        if job is None:
            if record.state != JobState.DONE:
                self._add_job(record, mod_revision, now - age)
            return
        if mod_revision <= job.mod_revision:
            return
        job.mod_revision = mod_revision
        self._data.change_count += 1
        if record.state == JobState.DONE and not job.finished:
            # This leader's own write, observed before its response came.
            self._changes.finish_job(job)
        elif record.state == JobState.CANCELLED and not job.cancelled:
            self._cancel_job(job)

    def _add_job(self, record: JobRecord, mod_revision: int, accepted_at: timedelta) -> None:
        job = self._data.jobs[record.spec.id] = Job(record, mod_revision)
        job.waiting_since = accepted_at
        if job.spec.deadline_s is not None:
            job.deadline = accepted_at + timedelta(seconds=job.spec.deadline_s)
        self._data.change_count += 1
        # A job that was cancelled and forgotten before the replica observed this record is forgotten again.
        self._changes.queue_removal(job)

    def cancel_through_dependency(self, job_id: str) -> None:
        """Cancels a job because a dependency of it is cancelled. The record of the job does not show that."""
        job = self._data.jobs.get(job_id)
        if job is not None and job.is_open:
            self._data.change_count += 1
            self._cancel_job(job)

    def _cancel_job(self, job: Job) -> None:
        job.cancelled = True
        self._failures.on_job_cancelled(job)
        for attempt in job.placed.values():
            self._changes.stop_attempt(attempt, StopReason.CANCELLED, 0.0)
        self._changes.end_unsent_attempts(job, EndReason.CANCELLED_BEFORE_START)
        self._changes.queue_removal(job)

    def release_job(self, job_id: str, now: timedelta, age: timedelta) -> None:
        """Lets the tasks of a job start, since all its dependencies are recorded as done. `age` is the time
        since the last dependency was done, or since the job was accepted if that was later."""
        job = self._data.jobs.get(job_id)
        if job is not None and not job.released:
            job.released = True
            # The time of the latest start is not on record. For a job that had starts before this leader's
            # election, `waiting_since` is the time of loading, which is later than the release.
            job.waiting_since = max(job.waiting_since, now - age)
            self._data.change_count += 1

    def set_has_dependents(self, job_id: str, has_dependents: bool) -> None:
        """Sets whether other jobs depend on this one. The ends of such jobs are recorded first."""
        job = self._data.jobs.get(job_id)
        if job is not None:
            job.has_dependents = has_dependents

    def pipeline_members(self, names: Iterable[str]) -> dict[str, PipelineMember]:
        """The properties that urgencies are computed from, for each named job that is open, by job ID."""
        jobs = [self._data.jobs[name] for name in names if name in self._data.jobs]
        return {
            job.id: PipelineMember(
                PRIORITY_RANK[job.spec.priority], job.deadline, job.spec.team, estimate(job.spec)
            )
            for job in jobs
            if job.is_open
        }

    def set_urgency(self, job_id: str, rank: int, latest_start: timedelta | None) -> None:
        """Sets the rank and the latest start that the job inherits from its dependents."""
        job = self._data.jobs.get(job_id)
        if job is None:
            return
        job.latest_start = latest_start
        if job.rank != rank:
            job.rank = rank
            for attempt in job.placed.values():
                machine = self._data.machines.get(attempt.machine)
                if machine is not None:
                    self._changes.mark_machine_changed(machine)

    def on_job_recorded_done(self, job_id: str, mod_revision: int) -> None:
        """Finishes a job that is recorded as done."""
        job = self._data.jobs.get(job_id)
        if job is not None and not job.finished:
            job.mod_revision = max(job.mod_revision, mod_revision)
            self._changes.finish_job(job)

    def forget_job(self, job_id: str) -> None:
        """Removes a done or cancelled job from memory, once its task ranges are removed from the store."""
        job = self._data.jobs.get(job_id)
        if job is not None and not job.is_open and not job.placed:
            job.mark_all_committed()
            del self._data.jobs[job_id]
