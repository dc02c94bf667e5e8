"""The HTTP interface for users: submission, status and cancellation of jobs, and /ready.

It gives two guarantees. A job is reported as accepted, done or cancelled only after the state service has
committed that state. No response shows an older state than an earlier response of any controller: a state
that can still change is read only after a catch-up of the replica that began after the request arrived.
"""

import re
from collections.abc import Awaitable, Callable
from datetime import datetime

from spindleglade.http.server import MAX_BODY_BYTES, HttpResponse
from spindleglade.settings.platform import Team
from spindleglade.store.client import StateClient
from spindleglade.store.replica import Replica
from spindleglade.submissions.cancellation import JobCanceller
from spindleglade.submissions.responses import NO_SUCH_JOB, READY, RETRY_LATER, error_response
from spindleglade.submissions.status import StatusReader
from spindleglade.submissions.submission import GetMachineShapes, JobSubmitter
from spindleglade.submissions.views import JobViews

_JOB_PATH = re.compile(r"\A/submissions/([^/]+)(/abort)?\Z")
_JOB_ID = re.compile(r"\Ajob-[0-9]{1,60}\Z")

# Forwards a request (method, path, body) to a peer. Returns None if no peer answered.
ForwardRequest = Callable[[str, str, bytes], Awaitable[HttpResponse | None]]


class UserApi:
    """Routes requests of users, and forwards to a peer those that this controller cannot serve at present."""

    def __init__(
        self,
        client: StateClient,
        replica: Replica,
        views: JobViews,
        teams: dict[str, Team],
        shapes: GetMachineShapes,
        forward: ForwardRequest,
        utc: Callable[[], datetime],
    ) -> None:
        self._forward = forward
        self._status = StatusReader(replica, views)
        self._submitter = JobSubmitter(client, replica, views, self._status, teams, shapes, utc)
        self._canceller = JobCanceller(client, replica, self._status)

    async def handle(self, method: str, path: str, body: bytes, may_forward: bool = True) -> HttpResponse:
        """Handles a request. `may_forward` is false if a peer forwarded it: no request is forwarded twice."""
        if path == "/ready":
            return self._ready(method)
        if path == "/submissions":
            response = await self._submit(method, body)
        else:
            response = await self._handle_job(method, path)
        if response is RETRY_LATER and may_forward:
            return await self._forward(method, path, body) or RETRY_LATER
        return response

    def _ready(self, method: str) -> HttpResponse:
        # A controller is ready as soon as it accepts requests, even while it responds to them with status
        # 503. If an outage affects all controllers, reporting them as not ready would drop the connections of
        # users without helping anyone.
        return READY if method in ("GET", "HEAD") else error_response(405, "use GET")

    async def _submit(self, method: str, body: bytes) -> HttpResponse:
        if method != "POST":
            return error_response(405, "use POST")
        if len(body) > MAX_BODY_BYTES:
            return error_response(400, "body over 64 KiB")
        return await self._submitter.submit(body)

    async def _handle_job(self, method: str, path: str) -> HttpResponse:
        """Handles a status request or a cancellation for one job."""
        match = _JOB_PATH.match(path)
        if match is None:
            return error_response(404, "no such path")
        job, cancels = match.groups()
        expected_method = "POST" if cancels else "GET"
        if method != expected_method:
            return error_response(405, f"use {expected_method}")
        if not _JOB_ID.match(job):
            return NO_SUCH_JOB
        return await (self._canceller.cancel(job) if cancels else self._status.status(job))
