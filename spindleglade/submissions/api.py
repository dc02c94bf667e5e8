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

from spindleglade.settings.platform import Team
from spindleglade.store.client import (
    Committed,
    Condition,
    Put,
    StateClient,
    TooLarge,
    Unavailable,
    Unknown,
    raw,
)
from spindleglade.store.replica import Replica, Unconfirmed
from spindleglade.submissions.acceptance import TooManyDependencies, acceptance_writes
from spindleglade.submissions.messages import (
    Impossible,
    JobAnswer,
    MachineShape,
    StateAnswer,
    check_possible,
    decode_dependencies,
    decode_submission,
    named_job,
)
from spindleglade.submissions.records import JobRecord, chunk_size, end_record, job_key
from spindleglade.submissions.views import JobView, JobViews
from spindleglade.web import BODY_LIMIT, Answer, encode_json

log = logging.getLogger("spindleglade.submissions")

_PATH = re.compile(r"\A/submissions/([^/]+)(/abort)?\Z")
_ID = re.compile(r"\Ajob-[0-9]{1,60}\Z")

# How soon to come back: a store that refuses or is silent is tried again each second.
LATER = Answer(503, b'{"error":"try again later"}', 1)
# What no value of the state service can hold.
TOO_LARGE = Answer(400, b'{"error":"the job\'s description is too large to be kept"}')

Forward = Callable[[str, str, bytes], Awaitable[Answer | None]]


def _error(status: int, reason: str) -> Answer:
    return Answer(status, encode_json({"error": reason}))


class UserApi:
    def __init__(
        self,
        client: StateClient,
        replica: Replica,
        views: JobViews,
        teams: dict[str, Team],
        shapes: Callable[[], list[MachineShape] | None],
        forward: Forward,
        utc: Callable[[], datetime],
    ) -> None:
        self._client = client
        self._replica = replica
        self._views = views
        self._teams = teams
        self._shapes = shapes
        self._forward = forward
        self._utc = utc
        self._chunk = chunk_size(client.limits.value_bytes)

    async def handle(self, method: str, path: str, body: bytes, may_forward: bool = True) -> Answer:
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
            answer = await (self._abort(job) if abort else self._state(job))
        if answer is LATER and may_forward:
            return await self._forward(method, path, body) or LATER
        return answer

    async def _ready(self) -> Answer:
        # Ready means the process serves, even if it must answer 503: in an outage that all nodes share, nodes
        # that called themselves unready would lose their users' connections for nothing.
        return Answer(200, b"{}")

    async def _submit(self, body: bytes) -> Answer:
        try:
            job = decode_submission(body)
            dependencies = decode_dependencies(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            log.info("submission malformed reason=%s", error)
            return await self._refuse(named_job(body), _error(400, str(error)))
        if job.id in self._views.jobs:
            return await self._known(job.id)
        shapes = self._shapes()
        if shapes is None:
            return LATER
        try:
            check_possible(job, self._teams, shapes)
        except Impossible as error:
            log.info("submission refused job=%s reason=%s", job.id, error)
            return await self._refuse(job.id, _error(422, str(error)))
        if not self._all_accepted(dependencies):
            try:
                await self._replica.confirm()
            except Unconfirmed:
                return LATER
            if not self._all_accepted(dependencies):
                log.info("submission refused job=%s reason=unknown dependency", job.id)
                return await self._refuse(job.id, _error(422, "a job that it awaits was never accepted"))
        accepted = JobRecord("open", job, self._chunk, self._utc(), dependencies)
        try:
            writes = acceptance_writes(accepted, self._client.limits)
        except TooManyDependencies as error:
            log.info("submission refused job=%s reason=%s", job.id, error)
            return await self._refuse(job.id, _error(422, str(error)))
        key = job_key(job.id)
        if len(writes[0].value) > self._client.limits.largest_new_value:
            return await self._refuse(job.id, TOO_LARGE)
        try:
            result = await self._client.txn([Condition(key, 0)], writes, urgent=True)
        except TooLarge as error:
            log.info("submission too large job=%s reason=%s", job.id, error)
            return await self._refuse(job.id, TOO_LARGE)
        except (Unavailable, Unknown) as error:
            log.info("submission not taken job=%s reason=%s", job.id, error)
            return LATER
        if not isinstance(result, Committed):
            return await self._known(job.id)
        log.info("accepted job=%s team=%s class=%s tasks=%d", job.id, job.team, job.job_class, job.tasks)
        # Users name it as a dependency of their next job at once.
        for write in writes:
            self._replica.learn(write.key, bytes(write.value), result.turn)
        # The store's answer may be slow. By now this node may have told another request that the job is over.
        view = self._views.jobs.get(job.id)
        return Answer(201, encode_json(JobAnswer(job.id, "pending" if view is None else view.stage)))

    def _all_accepted(self, dependencies: list[str]) -> bool:
        """Whether this node knows that all of these jobs were accepted. It may only be behind."""
        return all(job_key(name) in self._replica.marks for name in dependencies)

    async def _refuse(self, job: str | None, answer: Answer) -> Answer:
        """The answer for what cannot be accepted, unless the job is known: a repeat of an accepted job is
        never refused, however odd its body, and another node may have accepted it a moment ago."""
        return answer if job is None else await self._known(job, answer)

    async def _known(self, job: str, unknown: Answer = LATER) -> Answer:
        """The answer to a submission of a known job, `unknown` if it is not known. Where the store holds the
        job, that would be a replica not yet there."""
        answer = await self._state(job)
        if answer.status == 200:
            state = msgspec.json.decode(answer.body, type=StateAnswer)
            return Answer(200, encode_json(JobAnswer(job, state.stage)))
        return unknown if answer.status == 404 else LATER

    async def _current(self, job: str) -> JobView | None:
        """What is known of the job, confirmed now unless it is final. Raises Unconfirmed."""
        view = self._views.jobs.get(job)
        if view is None or not view.final:
            await self._replica.confirm()
            view = self._views.jobs.get(job)
        if view is None and job_key(job) in self._replica.marks:
            # Accepted, though its record cannot be read here: not to be called unknown.
            raise Unconfirmed("record not understood")
        return view

    async def _state(self, job: str) -> Answer:
        try:
            view = await self._current(job)
        except Unconfirmed:
            return LATER
        if view is None:
            return _error(404, "no such job")
        return Answer(200, encode_json(StateAnswer(job, view.stage, view.done_count, view.running)))

    async def _abort(self, job: str) -> Answer:
        for _ in range(4):
            try:
                view = await self._current(job)
            except Unconfirmed:
                return LATER
            if view is None:
                return _error(404, "no such job")
            record = view.record
            if view.final:
                return Answer(200, encode_json(JobAnswer(job, view.stage)))
            key = job_key(job)
            aborted = end_record(record, "aborted", self._client.value_bytes)
            condition = Condition(key, self._replica.marks.get(key, 0))
            try:
                result = await self._client.txn([condition], [Put(key, raw(aborted))], urgent=True)
            except TooLarge as error:
                log.info("abort not taken job=%s reason=%s", job, error)
                if end_record(record, "aborted", self._client.value_bytes) == aborted:
                    # The same is not asked for twice.
                    return LATER
                continue
            except (Unavailable, Unknown) as error:
                log.info("abort not taken job=%s reason=%s", job, error)
                return LATER
            if isinstance(result, Committed):
                # Before its user hears of it: whoever this node tells what it knows must be told of this, and
                # if it leads, the tasks end without waiting for the watch, which an outage may hold up.
                self._replica.learn(key, raw(aborted), result.turn)
                log.info("aborted job=%s", job)
                return Answer(200, encode_json(JobAnswer(job, "aborted")))
        return LATER
