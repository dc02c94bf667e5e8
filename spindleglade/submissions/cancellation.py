"""The cancellation of a job by its user."""

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

# How often a cancellation is tried while others change the job's record.
MAX_TRIES = 4


class JobCanceller:
    """Cancels jobs. A job is called cancelled only once the state service holds it as such."""

    def __init__(self, client: StateClient, replica: Replica, status: StatusReader) -> None:
        self._client = client
        self._replica = replica
        self._status = status

    async def cancel(self, job: str) -> HttpResponse:
        """Answers a cancellation."""
        for _ in range(MAX_TRIES):
            response = await self._try_to_cancel(job)
            if response is not None:
                return response
        return RETRY_LATER

    async def _try_to_cancel(self, job: str) -> HttpResponse | None:
        """The answer, or None if the record has changed meanwhile or must be made smaller."""
        try:
            view = await self._status.current_view(job)
        except StaleReplicaError:
            return RETRY_LATER
        if view is None:
            return NO_SUCH_JOB
        if view.is_final:
            return job_response(200, job, view.state)
        return await self._write(job, view.record)

    async def _write(self, job: str, record: JobRecord) -> HttpResponse | None:
        key = job_key(job)
        cancelled = final_record(record, JobState.CANCELLED, self._client.value_bytes)
        unchanged = Condition(key, self._replica.mod_revisions.get(key, 0))
        value = encode_value(cancelled)
        try:
            result = await self._client.compare_and_swap([unchanged], [Put(key, value)], urgent=True)
        except ValueTooLargeError as error:
            log.info("cancellation too large job=%s reason=%s", job, error)
            smaller = final_record(record, JobState.CANCELLED, self._client.value_bytes)
            # The same value would be refused again.
            return RETRY_LATER if smaller == cancelled else None
        except (NotAppliedError, OutcomeUnknownError) as error:
            log.info("cancellation not committed job=%s reason=%s", job, error)
            return RETRY_LATER
        if not isinstance(result, Committed):
            return None
        # Before the user is answered: whatever this controller tells others from now on must include it, and
        # if it leads, the tasks end without waiting for the watch, which an outage may delay.
        self._replica.observe(key, value, result.revision)
        log.info("job cancelled job=%s", job)
        return job_response(200, job, JobStatus.CANCELLED)
