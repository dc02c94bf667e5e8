"""Submission of a job: validation, the transaction that accepts it, and the response."""

import logging
from collections.abc import Callable
from datetime import datetime

import msgspec

from spindleglade.http.server import HttpResponse
from spindleglade.settings.platform import Team
from spindleglade.store.client import StateClient
from spindleglade.store.errors import (
    NotAppliedError,
    OutcomeUnknownError,
    StaleReplicaError,
    ValueTooLargeError,
)
from spindleglade.store.messages import Committed, Condition, Put
from spindleglade.store.replica import Replica
from spindleglade.submissions.acceptance import acceptance_writes
from spindleglade.submissions.errors import SubmissionError, UnschedulableJobError, UnschedulableReason
from spindleglade.submissions.messages import (
    JobStatus,
    Submission,
    decode_dependencies,
    decode_job_reference,
    decode_submission,
)
from spindleglade.submissions.records import JobRecord, JobState, job_key, tasks_per_range
from spindleglade.submissions.responses import JOB_TOO_LARGE, RETRY_LATER, error_response, job_response
from spindleglade.submissions.schedulability import MachineShape, check_schedulable
from spindleglade.submissions.status import StatusReader
from spindleglade.submissions.views import JobViews

log = logging.getLogger("spindleglade.submissions")

# Returns the shapes of all machine types, or None while they are unknown.
GetMachineShapes = Callable[[], list[MachineShape] | None]


class JobSubmitter:
    """Accepts submitted jobs. A job is reported as accepted only after its record is committed."""

    def __init__(
        self,
        client: StateClient,
        replica: Replica,
        views: JobViews,
        status: StatusReader,
        teams: dict[str, Team],
        shapes: GetMachineShapes,
        utc: Callable[[], datetime],
    ) -> None:
        self._client = client
        self._replica = replica
        self._views = views
        self._status = status
        self._teams = teams
        self._shapes = shapes
        self._utc = utc
        self._range_size = tasks_per_range(client.limits.new_value_bytes)

    async def submit(self, body: bytes) -> HttpResponse:
        """Handles a submission and returns the response for its user."""
        try:
            job = decode_submission(body)
            dependencies = decode_dependencies(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            log.info("submission malformed reason=%s", error)
            return await self._reject_unless_known(
                decode_job_reference(body), error_response(400, str(error))
            )
        if job.id in self._views.jobs:
            return await self._respond_to_repeated_submission(job.id)
        shapes = self._shapes()
        if shapes is None:
            return RETRY_LATER
        try:
            check_schedulable(job, self._teams, shapes)
            await self._check_dependencies_accepted(job.id, dependencies)
            record = JobRecord(JobState.OPEN, job, self._range_size, self._utc(), dependencies)
            writes = acceptance_writes(record, self._client.limits)
        except StaleReplicaError:
            return RETRY_LATER
        except SubmissionError as error:
            log.info("submission refused job=%s reason=%s", job.id, error)
            return await self._reject_unless_known(job.id, error_response(422, str(error)))
        return await self._accept(job, writes)

    async def _check_dependencies_accepted(self, job: str, dependencies: list[str]) -> None:
        """Raises UnschedulableJobError if a dependency was never accepted.

        Raises StaleReplicaError if the replica, which may be behind, cannot catch up to decide this.
        """
        if self._are_accepted(dependencies):
            return
        # A missing dependency may have been accepted by a peer after the replica's revision.
        await self._replica.catch_up()
        if not self._are_accepted(dependencies):
            raise UnschedulableJobError(job, UnschedulableReason.UNKNOWN_DEPENDENCY)

    def _are_accepted(self, jobs: list[str]) -> bool:
        """Whether the replica has records of all these jobs."""
        return all(job_key(job) in self._replica.mod_revisions for job in jobs)

    async def _accept(self, job: Submission, writes: list[Put]) -> HttpResponse:
        """Commits the writes that accept the job, with its record first, and returns the response."""
        if len(writes[0].value) > self._client.limits.max_new_value_bytes:
            return await self._reject_unless_known(job.id, JOB_TOO_LARGE)
        record_absent = Condition(job_key(job.id), 0)
        try:
            result = await self._client.compare_and_swap([record_absent], writes, urgent=True)
        except ValueTooLargeError as error:
            log.info("submission too large job=%s reason=%s", job.id, error)
            return await self._reject_unless_known(job.id, JOB_TOO_LARGE)
        except (NotAppliedError, OutcomeUnknownError) as error:
            log.info("submission not committed job=%s reason=%s", job.id, error)
            return RETRY_LATER
        if not isinstance(result, Committed):
            return await self._respond_to_repeated_submission(job.id)
        log.info("job accepted job=%s team=%s class=%s tasks=%d", job.id, job.team, job.job_class, job.tasks)
        # Applied without waiting for the watch: the user may submit a job that depends on this one at once.
        for write in writes:
            self._replica.observe(write.key, bytes(write.value), result.revision)
        # The view may be ahead of PENDING: if the commit took long, the job may have been cancelled or done
        # by now, and a client may have been told so already.
        view = self._views.jobs.get(job.id)
        return job_response(201, job.id, JobStatus.PENDING if view is None else view.state)

    async def _reject_unless_known(self, job: str | None, rejection: HttpResponse) -> HttpResponse:
        """Returns the rejection, or the response to a repeated submission if the job was accepted before.

        A repeated submission of an accepted job is never rejected, whatever its body. A peer may have
        accepted the job a moment ago.
        """
        return rejection if job is None else await self._respond_to_repeated_submission(job, rejection)

    async def _respond_to_repeated_submission(
        self, job: str, response_if_unknown: HttpResponse = RETRY_LATER
    ) -> HttpResponse:
        """Returns the present state of a job that was accepted before, or `response_if_unknown`.

        The default is for a job that the state service is known to hold: if its record is missing in the
        replica, the replica is behind.
        """
        try:
            view = await self._status.current_view(job)
        except StaleReplicaError:
            return RETRY_LATER
        return response_if_unknown if view is None else job_response(200, job, view.state)
