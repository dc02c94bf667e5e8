"""The interface to workers: POST /v1/report, at any node.

The leader answers with its token and orders. Any other node passes the report to the leader and the answer
back, many at a time, and a worker that another node could serve better is sent there. Where the leader cannot
be reached, a node may renew the worker's lease by itself, with the worker's own token and no orders, so that
neither an outage of the store nor the loss of a leader costs running work. It may do so only for so long
that, if users meanwhile abort jobs elsewhere, the lease still ends within the time a cancellation has.
"""

import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta

import msgspec

from spindleglade.clock import Clock
from spindleglade.submissions.views import JobViews
from spindleglade.web import Answer
from spindleglade.workers.balancer import ReportBalancer, Solitude
from spindleglade.workers.cancellation_bound import CancellationBound
from spindleglade.workers.messages import Report, ReportAnswer, decode_report, split_task

log = logging.getLogger("spindleglade.workers")

# For the report of a machine that is no more, or whose lease must run out.
NOT_OURS = Answer(503, b"", None)


def _elsewhere(node: str | None) -> Answer:
    return Answer(421, msgspec.json.encode({} if node is None else {"foreman": node}))


class WorkerApi:
    def __init__(
        self,
        clock: Clock,
        views: JobViews,
        bound: CancellationBound,
        lead: Callable[[Report], ReportAnswer | None],
        leads: Callable[[], bool],
        relay: Callable[[bytes], Awaitable[bytes | None]],
        saw_token: Callable[[int], None],
        spread: ReportBalancer,
        solitude: Solitude,
    ) -> None:
        self._clock = clock
        self._views = views
        # For renewals without the leader, which is bound by its own.
        self._bound = bound
        self._lead = lead
        self._leads = leads
        self._relay = relay
        self._saw_token = saw_token
        self._balancer = spread
        self._solitude = solitude
        # The newest report of each worker that came here: session and tally.
        self._newest: dict[str, tuple[int, int]] = {}
        # Machines whose leases this node renewed by itself, and when.
        self.alone: dict[str, timedelta] = {}

    async def handle(self, method: str, path: str, body: bytes) -> Answer:
        if method != "POST":
            return Answer(405, b'{"error":"use POST"}')
        try:
            report = decode_report(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            log.warning("report dropped reason=%s", error)
            return Answer(400, b'{"error":"malformed report"}')
        self._saw_token(report.token)
        newest = (report.session, report.tally) > self._newest.get(report.machine, (0, 0))
        if newest:
            self._newest[report.machine] = (report.session, report.tally)
            node = self._balancer.elsewhere(report.machine)
            if node is not None:
                return _elsewhere(node)
            self._balancer.reported(report.machine)
        if self._leads():
            answer = self.lead(report)
            if answer is not None:
                return Answer(200, answer)
            return NOT_OURS
        relayed = await self._relay(body)
        if relayed is not None:
            return Answer(200, relayed) if relayed else NOT_OURS
        return self._alone(report, newest)

    def lead(self, report: Report) -> bytes | None:
        """The leader's answer, for its own workers and those of its siblings."""
        answer = self._lead(report)
        return None if answer is None else msgspec.json.encode(answer)

    def _alone(self, report: Report, newest: bool) -> Answer:
        """Without the leader. A late copy of a report says nothing of how the machine is now: nothing is
        renewed for it, and nobody told that the machine lives."""
        if not newest or not self._bound.holds:
            return NOT_OURS
        if self._views.may_get_aborted(report.machine, report.session):
            # A start of such a task may be on its way there, however long it has been held up. Only the end
            # of the session ends that, and nobody here could stop the task.
            return NOT_OURS
        if self._solitude.send_on(report.machine, report.zone):
            return _elsewhere(None)
        for entry in report.tasks:
            if not entry.on:
                continue
            try:
                job, _ = split_task(entry.task)
            except ValueError:
                continue
            view = self._views.jobs.get(job)
            if view is not None and view.stage == "aborted":
                # Nobody is there to stop it, so its lease has to.
                return NOT_OURS
        self.alone[report.machine] = self._clock.now()
        log.debug("lease renewed alone machine=%s token=%d", report.machine, report.token)
        return Answer(200, msgspec.json.encode(ReportAnswer(report.token)))
