"""The interface to users: POST /submissions, GET /submissions/{id}, its abort, and /ready.

Two promises decide this file. A job is called accepted, done or aborted only once the store holds it so; and
no answer is older than what any node has said before, which is why a stage that can still change waits for
the replica to be proven current by a catch-up begun after the question came.
"""

import logging
import re
from collections.abc import Awaitable, Callable
from datetime import datetime

import msgspec

from spindleglade.http.web import BODY_LIMIT, HttpResponse, encode_json
from spindleglade.settings.platform import Team
from spindleglade.store.client import (
    Committed,
    Condition,
    NotAppliedError,
    OutcomeUnknownError,
    Put,
    StateClient,
    ValueTooLargeError,
    encode_value,
)
from spindleglade.store.replica import Replica, StaleReplicaError
from spindleglade.submissions.acceptance import acceptance_writes
from spindleglade.submissions.errors import TooManyDependenciesError, UnschedulableJobError
from spindleglade.submissions.job_view import JobView
from spindleglade.submissions.messages import (
    JobResponse,
    JobStatusResponse,
    MachineShape,
    check_schedulable,
    decode_dependencies,
    decode_job_reference,
    decode_submission,
)
from spindleglade.submissions.records import JobRecord, final_record, job_key, tasks_per_range
from spindleglade.submissions.views import JobViews

log = logging.getLogger("spindleglade.submissions")

_PATH = re.compile(r"\A/submissions/([^/]+)(/abort)?\Z")
_ID = re.compile(r"\Ajob-[0-9]{1,60}\Z")

# How soon to come back: a store that refuses or is silent is tried again each second.
RETRY_LATER = HttpResponse(503, b'{"error":"try again later"}', 1)
# What no value of the state service can hold.
TOO_LARGE = HttpResponse(400, b'{"error":"the job\'s description is too large to be kept"}')

ForwardRequest = Callable[[str, str, bytes], Awaitable[HttpResponse | None]]


def _error(status: int, reason: str) -> HttpResponse:
    return HttpResponse(status, encode_json({"error": reason}))


class UserApi:
    def __init__(
        self,
        client: StateClient,
        replica: Replica,
        views: JobViews,
        teams: dict[str, Team],
        shapes: Callable[[], list[MachineShape] | None],
        forward: ForwardRequest,
        utc: Callable[[], datetime],
    ) -> None:
        self._client = client
        self._replica = replica
        self._views = views
        self._teams = teams
        self._shapes = shapes
        self._forward = forward
        self._utc = utc
        self._range_size = tasks_per_range(client.limits.value_bytes)

    async def handle(self, method: str, path: str, body: bytes, may_forward: bool = True) -> HttpResponse:
        """`may_forward` is false for a request that came from a sibling: it is passed on only once."""
        if path == "/ready":
            return await self._ready() if method in ("GET", "HEAD") else _error(405, "use GET")
        if path == "/submissions":
            if method != "POST":
                return _error(405, "use POST")
            if len(body) > BODY_LIMIT:
                return _error(400, "body over 64 KiB")
            answer = await self._submit(body)
        else:
            match = _PATH.match(path)
            if match is None:
                return _error(404, "no such path")
            job, abort = match.groups()
            if method != ("POST" if abort else "GET"):
                return _error(405, "use POST" if abort else "use GET")
            if not _ID.match(job):
                return _error(404, "no such job")
            answer = await (self._cancel(job) if abort else self._status(job))
        if answer is RETRY_LATER and may_forward:
            return await self._forward(method, path, body) or RETRY_LATER
        return answer

    async def _ready(self) -> HttpResponse:
        # Ready means the process serves, even if it must answer 503: in an outage that all nodes share, nodes
        # that called themselves unready would lose their users' connections for nothing.
        return HttpResponse(200, b"{}")

    async def _submit(self, body: bytes) -> HttpResponse:
        try:
            job = decode_submission(body)
            dependencies = decode_dependencies(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            log.info("submission malformed reason=%s", error)
            return await self._reject_unless_known(decode_job_reference(body), _error(400, str(error)))
        if job.id in self._views.jobs:
            return await self._respond_to_repeated_submission(job.id)
        shapes = self._shapes()
        if shapes is None:
            return RETRY_LATER
        try:
            check_schedulable(job, self._teams, shapes)
        except UnschedulableJobError as error:
            log.info("submission refused job=%s reason=%s", job.id, error)
            return await self._reject_unless_known(job.id, _error(422, str(error)))
        if not self._all_accepted(dependencies):
            try:
                await self._replica.catch_up()
            except StaleReplicaError:
                return RETRY_LATER
            if not self._all_accepted(dependencies):
                log.info("submission refused job=%s reason=unknown dependency", job.id)
                return await self._reject_unless_known(
                    job.id, _error(422, "a job that it awaits was never accepted")
                )
        accepted = JobRecord("open", job, self._range_size, self._utc(), dependencies)
        try:
            writes = acceptance_writes(accepted, self._client.limits)
        except TooManyDependenciesError as error:
            log.info("submission refused job=%s reason=%s", job.id, error)
            return await self._reject_unless_known(job.id, _error(422, str(error)))
        key = job_key(job.id)
        if len(writes[0].value) > self._client.limits.largest_new_value:
            return await self._reject_unless_known(job.id, TOO_LARGE)
        try:
            result = await self._client.compare_and_swap([Condition(key, 0)], writes, urgent=True)
        except ValueTooLargeError as error:
            log.info("submission too large job=%s reason=%s", job.id, error)
            return await self._reject_unless_known(job.id, TOO_LARGE)
        except (NotAppliedError, OutcomeUnknownError) as error:
            log.info("submission not taken job=%s reason=%s", job.id, error)
            return RETRY_LATER
        if not isinstance(result, Committed):
            return await self._respond_to_repeated_submission(job.id)
        log.info("accepted job=%s team=%s class=%s tasks=%d", job.id, job.team, job.job_class, job.tasks)
        # Users name it as a dependency of their next job at once.
        for write in writes:
            self._replica.observe(write.key, bytes(write.value), result.revision)
        # The store's answer may be slow. By now this node may have told another request that the job is over.
        view = self._views.jobs.get(job.id)
        return HttpResponse(201, encode_json(JobResponse(job.id, "pending" if view is None else view.state)))

    def _all_accepted(self, dependencies: list[str]) -> bool:
        """Whether this node knows that all of these jobs were accepted. It may only be behind."""
        return all(job_key(name) in self._replica.mod_revisions for name in dependencies)

    async def _reject_unless_known(self, job: str | None, answer: HttpResponse) -> HttpResponse:
        """The answer for what cannot be accepted, unless the job is known: a repeat of an accepted job is
        never refused, however odd its body, and another node may have accepted it a moment ago."""
        return answer if job is None else await self._respond_to_repeated_submission(job, answer)

    async def _respond_to_repeated_submission(
        self, job: str, unknown: HttpResponse = RETRY_LATER
    ) -> HttpResponse:
        """The answer to a submission of a known job, `unknown` if it is not known. Where the store holds the
        job, that would be a replica not yet there."""
        answer = await self._status(job)
        if answer.status == 200:
            state = msgspec.json.decode(answer.body, type=JobStatusResponse)
            return HttpResponse(200, encode_json(JobResponse(job, state.state)))
        return unknown if answer.status == 404 else RETRY_LATER

    async def _current_view(self, job: str) -> JobView | None:
        """What is known of the job, confirmed now unless it is final. Raises Unconfirmed."""
        view = self._views.jobs.get(job)
        if view is None or not view.is_final:
            await self._replica.catch_up()
            view = self._views.jobs.get(job)
        if view is None and job_key(job) in self._replica.mod_revisions:
            # Accepted, though its record cannot be read here: not to be called unknown.
            raise StaleReplicaError("record not understood")
        return view

    async def _status(self, job: str) -> HttpResponse:
        try:
            view = await self._current_view(job)
        except StaleReplicaError:
            return RETRY_LATER
        if view is None:
            return _error(404, "no such job")
        return HttpResponse(
            200, encode_json(JobStatusResponse(job, view.state, view.done_count, view.running))
        )

    async def _cancel(self, job: str) -> HttpResponse:
        for _ in range(4):
            try:
                view = await self._current_view(job)
            except StaleReplicaError:
                return RETRY_LATER
            if view is None:
                return _error(404, "no such job")
            record = view.record
            if view.is_final:
                return HttpResponse(200, encode_json(JobResponse(job, view.state)))
            key = job_key(job)
            aborted = final_record(record, "aborted", self._client.value_bytes)
            condition = Condition(key, self._replica.mod_revisions.get(key, 0))
            try:
                result = await self._client.compare_and_swap(
                    [condition], [Put(key, encode_value(aborted))], urgent=True
                )
            except ValueTooLargeError as error:
                log.info("abort not taken job=%s reason=%s", job, error)
                if final_record(record, "aborted", self._client.value_bytes) == aborted:
                    # The same is not asked for twice.
                    return RETRY_LATER
                continue
            except (NotAppliedError, OutcomeUnknownError) as error:
                log.info("abort not taken job=%s reason=%s", job, error)
                return RETRY_LATER
            if isinstance(result, Committed):
                # Before its user hears of it: whoever this node tells what it knows must be told of this, and
                # if it leads, the tasks end without waiting for the watch, which an outage may hold up.
                self._replica.observe(key, encode_value(aborted), result.revision)
                log.info("aborted job=%s", job)
                return HttpResponse(200, encode_json(JobResponse(job, "aborted")))
        return RETRY_LATER
