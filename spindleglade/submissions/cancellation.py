"""Cancellation of a job at the request of a user."""

import logging

from spindleglade.http.server import HttpResponse
from spindleglade.store.client import StateClient
from spindleglade.store.errors import (
    NotAppliedError,
    OutcomeUnknownError,
    StaleReplicaError,
    ValueTooLargeError,
)
from spindleglade.store.messages import Committed, Condition, Put, encode_value
from spindleglade.store.replica import Replica
from spindleglade.submissions.messages import JobStatus
from spindleglade.submissions.records import JobRecord, JobState, final_record, job_key
from spindleglade.submissions.responses import NO_SUCH_JOB, RETRY_LATER, job_response
from spindleglade.submissions.status import StatusReader

log = logging.getLogger("spindleglade.submissions")

# How many times the write of a cancellation is tried while the job's record keeps changing.
MAX_CANCELLATION_TRIES = 4


class JobCanceller:
    """Cancels jobs. A job is reported as cancelled only after its cancelled record is committed."""

    def __init__(self, client: StateClient, replica: Replica, status: StatusReader) -> None:
        self._client = client
        self._replica = replica
        self._status = status

    async def cancel(self, job: str) -> HttpResponse:
        """Cancels a job and returns the response for its user."""
        for _ in range(MAX_CANCELLATION_TRIES):
            response = await self._try_to_cancel(job)
            if response is not None:
                return response
        return RETRY_LATER

    async def _try_to_cancel(self, job: str) -> HttpResponse | None:
        """Tries once to cancel the job.

        Returns the response, or None to try again: the record has changed meanwhile, or a shorter one is
        needed.
        """
        try:
            view = await self._status.current_view(job)
        except StaleReplicaError:
            return RETRY_LATER
        if view is None:
            return NO_SUCH_JOB
        if view.is_final:
            return job_response(200, job, view.state)
        return await self._write_cancelled_record(job, view.record)

    async def _write_cancelled_record(self, job: str, record: JobRecord) -> HttpResponse | None:
        """Writes the job's record as cancelled. Returns the response, or None to try again."""
        key = job_key(job)
        cancelled = final_record(record, JobState.CANCELLED, self._client.existing_value_bytes)
        record_unchanged = Condition(key, self._replica.mod_revisions.get(key, 0))
        value = encode_value(cancelled)
        try:
            result = await self._client.compare_and_swap([record_unchanged], [Put(key, value)], urgent=True)
        except ValueTooLargeError as error:
            log.info("cancellation too large job=%s reason=%s", job, error)
            shortened = final_record(record, JobState.CANCELLED, self._client.existing_value_bytes)
            # A retry helps only if the record can be shortened: the same value would be refused again.
            return RETRY_LATER if shortened == cancelled else None
        except (NotAppliedError, OutcomeUnknownError) as error:
            log.info("cancellation not committed job=%s reason=%s", job, error)
            return RETRY_LATER
        if not isinstance(result, Committed):
            return None
        # Applied before the response is sent, because everything that this controller tells its peers from
        # now on must include the cancellation. A leader also stops the tasks without waiting for the watch,
        # which an outage of the state service may delay.
        self._replica.observe(key, value, result.revision)
        log.info("job cancelled job=%s", job)
        return job_response(200, job, JobStatus.CANCELLED)
