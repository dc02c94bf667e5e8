"""Sends commands directly to the machines, so that a start does not wait for the next heartbeat."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

import msgspec

from spindleglade.http.client import ClientResponse, Requester
from spindleglade.http.errors import ConnectionLimitError, NoResponseError, NotSentError
from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import Clock
from spindleglade.workers.cancellation_freshness import CancellationFreshness
from spindleglade.workers.cluster_state import ClusterState
from spindleglade.workers.command_selection import DeliveryOutcome
from spindleglade.workers.errors import StaleTokenError
from spindleglade.workers.machines import Machine
from spindleglade.workers.messages import CommandBatch, Heartbeat, decode_heartbeat

log = logging.getLogger("spindleglade.workers")

# Paths of the worker's HTTP endpoints.
COMMANDS_PATH = "/orders"
STATUS_PATH = "/show"
# HTTP statuses of a worker's responses.
OK, BAD_REQUEST, CONFLICT = 200, 400, 409
# Responses with these statuses carry a heartbeat.
HEARTBEAT_STATUSES = (OK, CONFLICT)
# With these statuses the outcome is known: the commands were accepted, or rejected as malformed or stale.
DEFINITE_STATUSES = (OK, BAD_REQUEST, CONFLICT)
# The second attempt is for a machine whose lease has expired since its latest heartbeat: its response to the
# first attempt names its new incarnation.
MAX_INTRODUCTION_ATTEMPTS = 2


class Delivery(NamedTuple):
    """The outcome of a message to a machine, and the response if one came."""

    outcome: DeliveryOutcome
    response: ClientResponse | None = None


@dataclass(frozen=True, slots=True)
class DispatcherEvents:
    """The callbacks that a command dispatcher calls for the machines' responses."""

    # A machine has acknowledged the token of a later leader; called with the reason.
    on_deposed: Callable[[str], None]
    # A heartbeat in a response was applied to the cluster state.
    on_changed: Callable[[], None]


class CommandDispatcher:
    """Sends each machine the commands that cannot wait for its next heartbeat, one message at a time."""

    def __init__(
        self,
        cluster: ClusterState,
        http: Requester,
        clock: Clock,
        timeout: timedelta,
        events: DispatcherEvents,
        cancellation_freshness: CancellationFreshness,
    ) -> None:
        """`timeout` applies to each request. Starts are sent only while `cancellation_freshness` permits
        renewals."""
        self._cluster = cluster
        self._http = http
        self._clock = clock
        self._timeout = timeout
        self._events = events
        self._cancellation_freshness = cancellation_freshness
        self._stopped = False

    def stop(self) -> None:
        """Stops sending, and ignores the heartbeats in responses that are still outstanding."""
        self._stopped = True

    def dispatch(self) -> None:
        """Sends all commands that cannot wait for a machine's next heartbeat."""
        if self._stopped:
            return
        for machine, batch in self._cluster.take_direct_commands(
            self._cancellation_freshness.permits_renewals
        ):
            run_in_background(self._send_commands(machine, batch), "command dispatch")

    def introduce_leader(self, address: str, incarnation: int) -> None:
        """Sends a machine the new token and requests the list of its tasks. No command may be sent to the
        machine before it acknowledges the token, and its next heartbeat may be seconds away."""
        if not self._stopped:
            run_in_background(self._introduce_leader(address, incarnation), "leader introduction")

    async def request_status(self, machine: Machine) -> None:
        """Requests a heartbeat from a machine and applies it. Raises NoResponseError if no response comes."""
        response = await self._http.request("GET", machine.address, STATUS_PATH, None, self._timeout)
        self._cluster.on_machine_reached(machine, self._clock.now())
        self._apply_response(response, machine.address)

    async def _introduce_leader(self, address: str, incarnation: int) -> None:
        for _ in range(MAX_INTRODUCTION_ATTEMPTS):
            batch = CommandBatch(self._cluster.token, incarnation, [])
            try:
                response = await self._post_commands(address, batch)
            except NoResponseError as error:
                log.info("leader introduction failed address=%s reason=%s", address, error)
                return
            heartbeat = self._apply_response(response, address)
            if heartbeat is None or response.status == OK or heartbeat.incarnation == incarnation:
                return
            incarnation = heartbeat.incarnation

    async def _send_commands(self, machine: Machine, batch: CommandBatch) -> None:
        delivery = await self._deliver(machine, batch)
        self._cluster.on_commands_sent(machine, batch.commands, delivery.outcome, self._clock.now())
        if delivery.response is not None:
            self._cluster.on_machine_reached(machine, self._clock.now())
            self._apply_response(delivery.response, machine.address)

    async def _deliver(self, machine: Machine, batch: CommandBatch) -> Delivery:
        try:
            response = await self._post_commands(machine.address, batch)
        except ConnectionLimitError as error:
            # The commands go out with the response to the machine's next heartbeat, or directly once more.
            log.info("commands not sent machine=%s reason=%s", machine.name, error)
            return Delivery(DeliveryOutcome.NOT_SENT)
        except NotSentError as error:
            log.info("machine unreachable machine=%s reason=%s", machine.name, error)
            return Delivery(DeliveryOutcome.UNREACHABLE)
        except NoResponseError as error:
            count = len(batch.commands)
            log.info("commands unanswered machine=%s commands=%d reason=%s", machine.name, count, error)
            return Delivery(DeliveryOutcome.UNKNOWN)
        except Exception:
            # Without an outcome the commands would count as in flight forever, and would never be sent again.
            log.exception("sending commands failed machine=%s", machine.name)
            return Delivery(DeliveryOutcome.UNKNOWN)
        definite = response.status in DEFINITE_STATUSES
        return Delivery(DeliveryOutcome.ANSWERED if definite else DeliveryOutcome.UNKNOWN, response)

    async def _post_commands(self, address: str, batch: CommandBatch) -> ClientResponse:
        body = msgspec.json.encode(batch)
        return await self._http.request("POST", address, COMMANDS_PATH, body, self._timeout)

    def _apply_response(self, response: ClientResponse, address: str) -> Heartbeat | None:
        """Applies and returns the heartbeat in a response; returns None if there is none to apply."""
        if response.status not in HEARTBEAT_STATUSES or self._stopped:
            return None
        try:
            heartbeat = decode_heartbeat(response.body)
            self._cluster.on_heartbeat(heartbeat, self._clock.now(), renews_lease=False)
        except msgspec.DecodeError as error:
            log.warning("response malformed address=%s reason=%s", address, error)
            return None
        except StaleTokenError as error:
            self._events.on_deposed(str(error))
            return None
        self._events.on_changed()
        return heartbeat
