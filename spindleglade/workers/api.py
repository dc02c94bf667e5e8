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

from spindleglade.http.web import HttpResponse
from spindleglade.runtime.clock import Clock
from spindleglade.submissions.views import JobViews
from spindleglade.workers.cancellation_freshness import CancellationFreshness
from spindleglade.workers.heartbeat_balancer import HeartbeatBalancer, IsolationDetector
from spindleglade.workers.messages import Heartbeat, HeartbeatResponse, decode_heartbeat, split_task

log = logging.getLogger("spindleglade.workers")

# For the report of a machine that is no more, or whose lease must run out.
LEASE_NOT_RENEWED = HttpResponse(503, b"", None)


def _redirect(node: str | None) -> HttpResponse:
    return HttpResponse(421, msgspec.json.encode({} if node is None else {"foreman": node}))


class WorkerApi:
    def __init__(
        self,
        clock: Clock,
        views: JobViews,
        bound: CancellationFreshness,
        lead: Callable[[Heartbeat], HeartbeatResponse | None],
        leads: Callable[[], bool],
        relay: Callable[[bytes], Awaitable[bytes | None]],
        saw_token: Callable[[int], None],
        spread: HeartbeatBalancer,
        solitude: IsolationDetector,
    ) -> None:
        self._clock = clock
        self._views = views
        # For renewals without the leader, which is bound by its own.
        self._cancellation_freshness = bound
        self._handle_as_leader = lead
        self._is_leader = leads
        self._relay = relay
        self._observe_token = saw_token
        self._balancer = spread
        self._isolation = solitude
        # The newest report of each worker that came here: session and tally.
        self._newest_heartbeats: dict[str, tuple[int, int]] = {}
        # Machines whose leases this node renewed by itself, and when.
        self.renewed_without_leader: dict[str, timedelta] = {}

    async def handle(self, method: str, path: str, body: bytes) -> HttpResponse:
        if method != "POST":
            return HttpResponse(405, b'{"error":"use POST"}')
        try:
            report = decode_heartbeat(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            log.warning("report dropped reason=%s", error)
            return HttpResponse(400, b'{"error":"malformed report"}')
        self._observe_token(report.token)
        newest = (report.incarnation, report.sequence) > self._newest_heartbeats.get(report.machine, (0, 0))
        if newest:
            self._newest_heartbeats[report.machine] = (report.incarnation, report.sequence)
            node = self._balancer.redirect_target(report.machine)
            if node is not None:
                return _redirect(node)
            self._balancer.on_heartbeat(report.machine)
        if self._is_leader():
            answer = self.respond_as_leader(report)
            if answer is not None:
                return HttpResponse(200, answer)
            return LEASE_NOT_RENEWED
        relayed = await self._relay(body)
        if relayed is not None:
            return HttpResponse(200, relayed) if relayed else LEASE_NOT_RENEWED
        return self._respond_without_leader(report, newest)

    def respond_as_leader(self, report: Heartbeat) -> bytes | None:
        """The leader's answer, for its own workers and those of its siblings."""
        answer = self._handle_as_leader(report)
        return None if answer is None else msgspec.json.encode(answer)

    def _respond_without_leader(self, report: Heartbeat, newest: bool) -> HttpResponse:
        """Without the leader. A late copy of a report says nothing of how the machine is now: nothing is
        renewed for it, and nobody told that the machine lives."""
        if not newest or not self._cancellation_freshness.permits_renewals:
            return LEASE_NOT_RENEWED
        if self._views.may_run_cancelled_task(report.machine, report.incarnation):
            # A start of such a task may be on its way there, however long it has been held up. Only the end
            # of the session ends that, and nobody here could stop the task.
            return LEASE_NOT_RENEWED
        if self._isolation.should_redirect(report.machine, report.zone):
            return _redirect(None)
        for entry in report.tasks:
            if not entry.is_on_machine:
                continue
            try:
                job, _ = split_task(entry.task)
            except ValueError:
                continue
            view = self._views.jobs.get(job)
            if view is not None and view.state == "aborted":
                # Nobody is there to stop it, so its lease has to.
                return LEASE_NOT_RENEWED
        self.renewed_without_leader[report.machine] = self._clock.now()
        log.debug("lease renewed alone machine=%s token=%d", report.machine, report.token)
        return HttpResponse(200, msgspec.json.encode(HeartbeatResponse(report.token)))
