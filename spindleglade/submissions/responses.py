"""The responses of the users' interface."""

from spindleglade.http.server import HttpResponse, encode_json
from spindleglade.submissions.job_view import JobView
from spindleglade.submissions.messages import JobResponse, JobStatus, JobStatusResponse

# A state service that refuses or does not answer is tried again each second.
RETRY_AFTER_S = 1

RETRY_LATER = HttpResponse(503, b'{"error":"try again later"}', RETRY_AFTER_S)
# The job's record exceeds what the state service can hold in a value.
TOO_LARGE = HttpResponse(400, b'{"error":"the job\'s description is too large to be kept"}')
READY = HttpResponse(200, b"{}")


def error_response(status: int, reason: str) -> HttpResponse:
    """A refusal, with the reason that the user is told."""
    return HttpResponse(status, encode_json({"error": reason}))


NO_SUCH_JOB = error_response(404, "no such job")


def job_response(status: int, job: str, state: JobStatus) -> HttpResponse:
    """The answer to a submission or a cancellation."""
    return HttpResponse(status, encode_json(JobResponse(job, state)))


def status_response(job: str, view: JobView) -> HttpResponse:
    """The answer to a status request."""
    return HttpResponse(200, encode_json(JobStatusResponse(job, view.state, view.done_count, view.running)))
