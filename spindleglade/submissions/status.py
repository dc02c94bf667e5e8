"""The status of jobs as users are told it: never older than what any controller has told before."""

from spindleglade.http.server import HttpResponse
from spindleglade.store.errors import StaleReplicaError
from spindleglade.store.replica import Replica
from spindleglade.submissions.job_view import JobView
from spindleglade.submissions.records import job_key
from spindleglade.submissions.responses import NO_SUCH_JOB, RETRY_LATER, status_response
from spindleglade.submissions.views import JobViews


class StatusReader:
    """Reads the state of jobs from the replica, after a catch-up where the state can still change."""

    def __init__(self, replica: Replica, views: JobViews) -> None:
        self._replica = replica
        self._views = views

    async def current_view(self, job: str) -> JobView | None:
        """What is known of the job, as of now unless it is final; None if it was never accepted.

        Raises StaleReplicaError.
        """
        view = self._views.jobs.get(job)
        if view is None or not view.is_final:
            await self._replica.catch_up()
            view = self._views.jobs.get(job)
        if view is None and job_key(job) in self._replica.mod_revisions:
            # The job was accepted, though its record cannot be decoded here: it must not be called unknown.
            raise StaleReplicaError("record not understood")
        return view

    async def status(self, job: str) -> HttpResponse:
        """Answers a status request."""
        try:
            view = await self.current_view(job)
        except StaleReplicaError:
            return RETRY_LATER
        return NO_SUCH_JOB if view is None else status_response(job, view)
