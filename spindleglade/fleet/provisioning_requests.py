"""Sends provisioning requests to the cloud and retries them until they are answered or given up."""

import logging
from collections.abc import Callable

from spindleglade.fleet.capacity_backoff import CapacityBackoff
from spindleglade.fleet.errors import CloudRequestRejectedError, CloudTimeoutError, LeadershipUnprovenError
from spindleglade.fleet.machine_pool import MachineOffer
from spindleglade.fleet.messages import ProvisionRequest
from spindleglade.fleet.parameters import AutoscalerContext
from spindleglade.fleet.state import BootingMachine, FleetState, PendingRequest
from spindleglade.runtime.background import run_in_background

log = logging.getLogger("spindleglade.fleet")

# Attempts at one provisioning request before it is given up as unanswered.
MAX_PROVISION_ATTEMPTS = 5


class ProvisioningRequests:
    """Sends provisioning requests and records the provisioned machines as booting."""

    def __init__(
        self,
        context: AutoscalerContext,
        state: FleetState,
        backoff: CapacityBackoff,
        on_finished: Callable[[], None],
    ) -> None:
        self._cloud = context.cloud
        self._clock = context.clock
        self._token = context.token
        self._is_leadership_proven = context.is_leadership_proven
        self._state = state
        self._capacity_backoff = backoff
        self._on_finished = on_finished
        # Number of requests so far; it is part of the request id.
        self._request_count = 0

    def send(self, offer: MachineOffer, count: int) -> None:
        """Starts to provision `count` machines of the offer in the background."""
        self._request_count += 1
        # Fencing tokens are never reused, so the id is unique among all controllers.
        request = ProvisionRequest(
            f"r-{self._token}-{self._request_count}", offer.type.name, offer.zone, offer.spot, count
        )
        pending = PendingRequest(request, offer.type)
        self._state.pending_requests[request.request_id] = pending
        run_in_background(self._provision(pending), "provisioning request")

    async def _provision(self, pending: PendingRequest) -> None:
        try:
            for _ in range(MAX_PROVISION_ATTEMPTS):
                # A retry with the same id is idempotent: it returns the same machines.
                if await self._try_provision(pending):
                    return
        finally:
            del self._state.pending_requests[pending.request.request_id]
            if not self._state.stopped:
                self._on_finished()

    async def _try_provision(self, pending: PendingRequest) -> bool:
        """Makes one attempt. Returns whether the request is finished, so that no retry is needed."""
        request = pending.request
        try:
            names = await self._cloud.provision(request, self._is_leadership_proven)
        except LeadershipUnprovenError as error:
            # Machines that an earlier attempt may have provisioned are adopted from the machine list.
            log.info("provisioning given up request=%s reason=%s", request.request_id, error)
            return True
        except CloudRequestRejectedError as error:
            log.info("provisioning rejected type=%s zone=%s spot=%s reason=%s", *pending.pool, error)
            self._capacity_backoff.on_rejected(pending.pool, self._clock.now())
            return True
        except CloudTimeoutError as error:
            log.info("provisioning unanswered request=%s reason=%s", request.request_id, error)
            return self._state.stopped
        self._on_provisioned(pending, names)
        return True

    def _on_provisioned(self, pending: PendingRequest, names: list[str]) -> None:
        request, pool, now = pending.request, pending.pool, self._clock.now()
        for name in names:
            self._state.booting[name] = BootingMachine(pending.machine_type, request.zone, request.spot, now)
        if len(names) < request.count:
            self._capacity_backoff.on_rejected(pool, now)
        else:
            self._capacity_backoff.on_provisioned(pool)
        log.info(
            "machines provisioned type=%s zone=%s spot=%s requested=%d machines=%s",
            *pool,
            request.count,
            ",".join(names),
        )
