"""The submission of a job: validation, the transaction that accepts it, and the answer."""

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
from spindleglade.submissions.responses import RETRY_LATER, TOO_LARGE, error_response, job_response
from spindleglade.submissions.schedulability import MachineShape, check_schedulable
from spindleglade.submissions.status import StatusReader
from spindleglade.submissions.views import JobViews

log = logging.getLogger("spindleglade.submissions")

# The machine types; None while they are unknown.
MachineShapes = Callable[[], list[MachineShape] | None]


class JobSubmitter:
    """Accepts submitted jobs. A job is called accepted only once the state service holds it."""

    def __init__(
        self,
        client: StateClient,
        replica: Replica,
        views: JobViews,
        status: StatusReader,
        teams: dict[str, Team],
        shapes: MachineShapes,
        utc: Callable[[], datetime],
    ) -> None:
        self._client = client
        self._replica = replica
        self._views = views
        self._status = status
        self._teams = teams
        self._shapes = shapes
        self._utc = utc
        self._range_size = tasks_per_range(client.limits.value_bytes)

    async def submit(self, body: bytes) -> HttpResponse:
        """Answers a submission."""
        try:
            job = decode_submission(body)
            dependencies = decode_dependencies(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            log.info("submission malformed reason=%s", error)
            return await self._reject_unless_known(
                decode_job_reference(body), error_response(400, str(error))
            )
        if job.id in self._views.jobs:
            return await self._respond_to_repetition(job.id)
        shapes = self._shapes()
        if shapes is None:
            return RETRY_LATER
        try:
            check_schedulable(job, self._teams, shapes)
            await self._check_accepted(job.id, dependencies)
            record = JobRecord(JobState.OPEN, job, self._range_size, self._utc(), dependencies)
            writes = acceptance_writes(record, self._client.limits)
        except StaleReplicaError:
            return RETRY_LATER
        except SubmissionError as error:
            log.info("submission refused job=%s reason=%s", job.id, error)
            return await self._reject_unless_known(job.id, error_response(422, str(error)))
        return await self._accept(job, writes)

    async def _check_accepted(self, job: str, dependencies: list[str]) -> None:
        """Raises UnschedulableJobError if a dependency was never accepted, and StaleReplicaError if that
        cannot be decided now."""
        if self._are_accepted(dependencies):
            return
        # This controller may only be behind.
        await self._replica.catch_up()
        if not self._are_accepted(dependencies):
            raise UnschedulableJobError(job, UnschedulableReason.UNKNOWN_DEPENDENCY)

    def _are_accepted(self, jobs: list[str]) -> bool:
        """Whether the replica holds all of these jobs."""
        return all(job_key(job) in self._replica.mod_revisions for job in jobs)

    async def _accept(self, job: Submission, writes: list[Put]) -> HttpResponse:
        """Writes the job's record, which is the first write, with its dependencies."""
        if len(writes[0].value) > self._client.limits.largest_new_value:
            return await self._reject_unless_known(job.id, TOO_LARGE)
        never_written = Condition(job_key(job.id), 0)
        try:
            result = await self._client.compare_and_swap([never_written], writes, urgent=True)
        except ValueTooLargeError as error:
            log.info("submission too large job=%s reason=%s", job.id, error)
            return await self._reject_unless_known(job.id, TOO_LARGE)
        except (NotAppliedError, OutcomeUnknownError) as error:
            log.info("submission not committed job=%s reason=%s", job.id, error)
            return RETRY_LATER
        if not isinstance(result, Committed):
            return await self._respond_to_repetition(job.id)
        log.info("job accepted job=%s team=%s class=%s tasks=%d", job.id, job.team, job.job_class, job.tasks)
        # Not left to the watch: the user may name the job as a dependency of the next one at once.
        for write in writes:
            self._replica.observe(write.key, bytes(write.value), result.revision)
        # The commit may have taken long, and another user may have been told meanwhile that the job is over.
        view = self._views.jobs.get(job.id)
        return job_response(201, job.id, JobStatus.PENDING if view is None else view.state)

    async def _reject_unless_known(self, job: str | None, rejection: HttpResponse) -> HttpResponse:
        """The rejection, unless the job was accepted before, perhaps by another controller a moment ago: the
        repetition of an accepted submission is never refused, whatever its body."""
        return rejection if job is None else await self._respond_to_repetition(job, rejection)

    async def _respond_to_repetition(self, job: str, unknown: HttpResponse = RETRY_LATER) -> HttpResponse:
        """Answers the submission of a job that was accepted before, with `unknown` if it was not.

        Where the state service holds the job, an unknown one means that the replica is behind.
        """
        try:
            view = await self._status.current_view(job)
        except StaleReplicaError:
            return RETRY_LATER
        return unknown if view is None else job_response(200, job, view.state)
