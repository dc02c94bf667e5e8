"""The status of jobs as reported to users, never older than any controller has reported before."""

from spindleglade.http.server import HttpResponse
from spindleglade.store.errors import StaleReplicaError
from spindleglade.store.replica import Replica
from spindleglade.submissions.job_view import JobView
from spindleglade.submissions.records import job_key
from spindleglade.submissions.responses import NO_SUCH_JOB, RETRY_LATER, status_response
from spindleglade.submissions.views import JobViews


class StatusReader:
    """Reads the state of jobs from the replica, after a catch-up if the state can still change."""

    def __init__(self, replica: Replica, views: JobViews) -> None:
        self._replica = replica
        self._views = views

    async def current_view(self, job: str) -> JobView | None:
        """Returns the view of a job, at least as new as this call; None if the job was never accepted.

        A job in a final state is read without a catch-up. Raises StaleReplicaError if the catch-up fails, or
        if the job's record cannot be decoded.
        """
        view = self._views.jobs.get(job)
        if view is None or not view.is_final:
            await self._replica.catch_up()
            view = self._views.jobs.get(job)
        if view is None and job_key(job) in self._replica.mod_revisions:
            # The job was accepted, but this version cannot decode its record. Users must not be told that
            # there is no such job.
            raise StaleReplicaError("job record cannot be decoded")
        return view

    async def status(self, job: str) -> HttpResponse:
        """Handles a status request."""
        try:
            view = await self.current_view(job)
        except StaleReplicaError:
            return RETRY_LATER
        return NO_SUCH_JOB if view is None else status_response(job, view)
