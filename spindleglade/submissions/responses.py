"""The HTTP responses sent to users."""

from spindleglade.http.server import HttpResponse, encode_json
from spindleglade.submissions.job_view import JobView
from spindleglade.submissions.messages import JobResponse, JobStatus, JobStatusResponse

# Seconds after which users should repeat a request that failed because of the state service.
RETRY_AFTER_S = 1

RETRY_LATER = HttpResponse(503, b'{"error":"try again later"}', RETRY_AFTER_S)
# The job's record exceeds the limit of the state service on values.
JOB_TOO_LARGE = HttpResponse(400, b'{"error":"the job\'s description is too large to be kept"}')
READY = HttpResponse(200, b"{}")


def error_response(status: int, reason: str) -> HttpResponse:
    """An error response with a reason for the user."""
    return HttpResponse(status, encode_json({"error": reason}))


NO_SUCH_JOB = error_response(404, "no such job")


def job_response(status: int, job: str, state: JobStatus) -> HttpResponse:
    """The response to a submission or a cancellation."""
    return HttpResponse(status, encode_json(JobResponse(job, state)))


def status_response(job: str, view: JobView) -> HttpResponse:
    """The response to a status request."""
    return HttpResponse(200, encode_json(JobStatusResponse(job, view.state, view.done_count, view.running)))
