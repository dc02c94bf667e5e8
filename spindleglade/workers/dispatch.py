"""Sends orders straight to the machines, so that a start need not wait for the next report."""

import logging
from collections.abc import Callable
from datetime import timedelta

import msgspec

from spindleglade.clock import Clock
from spindleglade.tasks import spawn
from spindleglade.web import Crowded, NoAnswer, NotSent, Requester, Response
from spindleglade.workers.attempts import Deposed, Machine
from spindleglade.workers.cancellation_bound import CancellationBound
from spindleglade.workers.cluster import Cluster
from spindleglade.workers.messages import Order, Orders, Report, decode_report

log = logging.getLogger("spindleglade.workers")


class Dispatcher:
    def __init__(
        self,
        cluster: Cluster,
        http: Requester,
        clock: Clock,
        timeout: timedelta,
        deposed: Callable[[str], None],
        changed: Callable[[], None],
        bound: CancellationBound,
    ) -> None:
        self._cluster = cluster
        self._http = http
        self._clock = clock
        self._timeout = timeout
        self._deposed = deposed
        self._changed = changed
        self._bound = bound
        self._stopped = False

    def stop(self) -> None:
        self._stopped = True

    def send(self) -> None:
        if self._stopped:
            return
        for machine, session, orders in self._cluster.to_send(self._clock.now(), self._bound.holds):
            spawn(self._send(machine, session, orders), "send")

    def greet(self, address: str, session: int) -> None:
        """Tells a machine of the new token and hears what runs there. Nothing may be ordered before, and its
        next report may be seconds away."""
        if not self._stopped:
            spawn(self._greet(address, session), "greeting")

    async def _greet(self, address: str, session: int) -> None:
        for _ in range(2):
            body = msgspec.json.encode(Orders(self._cluster.token, session, []))
            try:
                answer = await self._http.request("POST", address, "/orders", body, self._timeout)
            except NoAnswer as error:
                log.info("greeting unanswered address=%s reason=%s", address, error)
                return
            report = self._take(answer, address)
            # A machine that has lost a lease since is in a later session, and says so.
            if report is None or answer.status == 200 or report.session == session:
                return
            session = report.session

    async def _send(self, machine: Machine, session: int, orders: list[Order]) -> None:
        body = msgspec.json.encode(Orders(self._cluster.token, session, orders))
        unsure, reached, answer = False, True, None
        try:
            answer = await self._http.request("POST", machine.address, "/orders", body, self._timeout)
        except Crowded as error:
            # Left to the answer of its next report, or sent again; the machine may well hear.
            log.info("orders left to the next report machine=%s reason=%s", machine.name, error)
        except NotSent as error:
            reached = False
            log.info("orders not sent machine=%s reason=%s", machine.name, error)
        except NoAnswer as error:
            # The order may be carried out minutes from now.
            unsure = True
            log.info("orders unanswered machine=%s orders=%d reason=%s", machine.name, len(orders), error)
        except Exception:
            # Left as they are, the orders would count as under way for ever, and never be given again.
            unsure = True
            log.exception("sending orders broke machine=%s", machine.name)
        if answer is not None and answer.status not in (200, 400, 409):
            unsure = True
        self._cluster.sent(machine, orders, unsure, self._clock.now(), reached)
        if answer is not None:
            self._cluster.hears(machine, self._clock.now())
            self._take(answer, machine.address)

    async def show(self, machine: Machine) -> None:
        """Asks a machine how it is, and takes in its report. Raises NoAnswer."""
        answer = await self._http.request("GET", machine.address, "/show", None, self._timeout)
        self._cluster.hears(machine, self._clock.now())
        self._take(answer, machine.address)

    def _take(self, answer: Response, address: str) -> Report | None:
        """The report that an answer carries."""
        if answer.status not in (200, 409) or self._stopped:
            return None
        try:
            report = decode_report(answer.body)
            self._cluster.report(report, self._clock.now(), asked=False)
        except msgspec.DecodeError as error:
            log.warning("answer not understood address=%s reason=%s", address, error)
            return None
        except Deposed as error:
            self._deposed(str(error))
            return None
        self._changed()
        return report
