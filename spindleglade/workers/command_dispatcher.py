"""Sends orders straight to the machines, so that a start need not wait for the next report."""

import logging
from collections.abc import Callable
from datetime import timedelta

import msgspec

from spindleglade.http.web import (
    ClientResponse,
    ConnectionLimitError,
    NoResponseError,
    NotSentError,
    Requester,
)
from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import Clock
from spindleglade.workers.attempts import Machine, StaleTokenError
from spindleglade.workers.cancellation_freshness import CancellationFreshness
from spindleglade.workers.cluster_state import ClusterState
from spindleglade.workers.messages import Command, CommandBatch, Heartbeat, decode_heartbeat

log = logging.getLogger("spindleglade.workers")


class CommandDispatcher:
    def __init__(
        self,
        cluster: ClusterState,
        http: Requester,
        clock: Clock,
        timeout: timedelta,
        deposed: Callable[[str], None],
        changed: Callable[[], None],
        bound: CancellationFreshness,
    ) -> None:
        self._cluster = cluster
        self._http = http
        self._clock = clock
        self._timeout = timeout
        self._on_deposed = deposed
        self._on_changed = changed
        self._cancellation_freshness = bound
        self._stopped = False

    def stop(self) -> None:
        self._stopped = True

    def dispatch(self) -> None:
        if self._stopped:
            return
        for machine, incarnation, orders in self._cluster.take_direct_commands(
            self._clock.now(), self._cancellation_freshness.permits_renewals
        ):
            run_in_background(self._send_commands(machine, incarnation, orders), "send")

    def introduce_leader(self, address: str, incarnation: int) -> None:
        """Tells a machine of the new token and hears what runs there. Nothing may be ordered before, and its
        next report may be seconds away."""
        if not self._stopped:
            run_in_background(self._introduce_leader(address, incarnation), "greeting")

    async def _introduce_leader(self, address: str, incarnation: int) -> None:
        for _ in range(2):
            body = msgspec.json.encode(CommandBatch(self._cluster.token, incarnation, []))
            try:
                answer = await self._http.request("POST", address, "/orders", body, self._timeout)
            except NoResponseError as error:
                log.info("greeting unanswered address=%s reason=%s", address, error)
                return
            report = self._apply_response(answer, address)
            # A machine that has lost a lease since is in a later session, and says so.
            if report is None or answer.status == 200 or report.incarnation == incarnation:
                return
            incarnation = report.incarnation

    async def _send_commands(self, machine: Machine, incarnation: int, orders: list[Command]) -> None:
        body = msgspec.json.encode(CommandBatch(self._cluster.token, incarnation, orders))
        unsure, reached, answer = False, True, None
        try:
            answer = await self._http.request("POST", machine.address, "/orders", body, self._timeout)
        except ConnectionLimitError as error:
            # Left to the answer of its next report, or sent again; the machine may well hear.
            log.info("orders left to the next report machine=%s reason=%s", machine.name, error)
        except NotSentError as error:
            reached = False
            log.info("orders not sent machine=%s reason=%s", machine.name, error)
        except NoResponseError as error:
            # The order may be carried out minutes from now.
            unsure = True
            log.info("orders unanswered machine=%s orders=%d reason=%s", machine.name, len(orders), error)
        except Exception:
            # Left as they are, the orders would count as under way for ever, and never be given again.
            unsure = True
            log.exception("sending orders broke machine=%s", machine.name)
        if answer is not None and answer.status not in (200, 400, 409):
            unsure = True
        self._cluster.on_commands_sent(machine, orders, unsure, self._clock.now(), reached)
        if answer is not None:
            self._cluster.on_machine_reached(machine, self._clock.now())
            self._apply_response(answer, machine.address)

    async def request_status(self, machine: Machine) -> None:
        """Asks a machine how it is, and takes in its report. Raises NoAnswer."""
        answer = await self._http.request("GET", machine.address, "/show", None, self._timeout)
        self._cluster.on_machine_reached(machine, self._clock.now())
        self._apply_response(answer, machine.address)

    def _apply_response(self, answer: ClientResponse, address: str) -> Heartbeat | None:
        """The report that an answer carries."""
        if answer.status not in (200, 409) or self._stopped:
            return None
        try:
            report = decode_heartbeat(answer.body)
            self._cluster.on_heartbeat(report, self._clock.now(), asked=False)
        except msgspec.DecodeError as error:
            log.warning("answer not understood address=%s reason=%s", address, error)
            return None
        except StaleTokenError as error:
            self._on_deposed(str(error))
            return None
        self._on_changed()
        return report
