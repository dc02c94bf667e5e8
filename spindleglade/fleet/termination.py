"""Terminates machines: repeats each request until the cloud has confirmed it.

A confirmed termination is the only proof that a task has ended which does not depend on the worker: once the
cloud has responded with status 200, the machine and everything on it are gone. Silent machines are therefore
terminated before their tasks are placed again.
"""

import logging
from collections.abc import Callable
from enum import StrEnum

from spindleglade.fleet.capacity_backoff import CapacityBackoff
from spindleglade.fleet.client import MAX_TERMINATED_PER_REQUEST
from spindleglade.fleet.errors import CloudError
from spindleglade.fleet.machine_pool import MachinePool
from spindleglade.fleet.parameters import AutoscalerContext
from spindleglade.fleet.state import FleetState
from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import seconds, sleep

log = logging.getLogger("spindleglade.fleet")

# Time between two attempts at the same termination request.
TERMINATE_RETRY_DELAY = seconds(0.7)


class TerminationReason(StrEnum):
    """Why a machine is terminated."""

    IDLE = "idle"
    SILENT = "silent"
    SILENT_AND_UNANSWERED = "silent and probe unanswered"
    UNREACHABLE = "unreachable"
    QUARANTINED = "quarantined"
    # A start of a cancelled job may still arrive there, and only termination can keep it from running.
    UNACKNOWLEDGED_START = "unacknowledged start of a cancelled job"
    BOOT_TIMEOUT = "boot timeout"
    FAILED = "failed"


class MachineTermination:
    """Sends termination requests and reports the terminated machines to the cluster state."""

    def __init__(
        self,
        context: AutoscalerContext,
        state: FleetState,
        backoff: CapacityBackoff,
        on_changed: Callable[[], None],
    ) -> None:
        self._cluster = context.cluster
        self._cloud = context.cloud
        self._clock = context.clock
        self._is_leadership_proven = context.is_leadership_proven
        self._state = state
        self._capacity_backoff = backoff
        self._on_changed = on_changed

    def terminate(self, reasons: dict[str, TerminationReason]) -> None:
        """Starts to terminate the machines named by the keys of `reasons`, in their order."""
        for name in reasons:
            self._state.terminating[name] = self._pool_of(name)
            self._state.booting.pop(name, None)
        names = list(reasons)
        for start in range(0, len(names), MAX_TERMINATED_PER_REQUEST):
            batch = {name: reasons[name] for name in names[start : start + MAX_TERMINATED_PER_REQUEST]}
            run_in_background(self._terminate_batch(batch), "termination request")

    def _pool_of(self, name: str) -> MachinePool | None:
        with self._cluster.lock:
            machine = self._cluster.machines.get(name)
        if machine is not None:
            return MachinePool(machine.type, machine.zone, machine.spot)
        booting = self._state.booting.get(name)
        return None if booting is None else booting.pool

    async def _terminate_batch(self, reasons: dict[str, TerminationReason]) -> None:
        while not self._state.stopped:
            if await self._try_terminate(list(reasons)):
                self._on_terminated(reasons)
                return
            await sleep(self._clock, TERMINATE_RETRY_DELAY)

    async def _try_terminate(self, names: list[str]) -> bool:
        """Makes one attempt. Returns whether the cloud has confirmed the termination."""
        try:
            # Leadership is checked for each attempt: if this leader was suspended between two attempts, its
            # successor may be using the machines.
            await self._cloud.terminate(names, self._is_leadership_proven)
        except CloudError as error:
            log.info("termination delayed machines=%s reason=%s", ",".join(names), error)
            return False
        except Exception:
            # Without a retry, the machines would be neither used nor terminated while this controller leads.
            log.exception("termination failed machines=%s", ",".join(names))
            return False
        return True

    def _on_terminated(self, reasons: dict[str, TerminationReason]) -> None:
        for name, reason in reasons.items():
            self._cluster.on_machine_terminated(name, reason)
            pool = self._state.terminating.pop(name, None)
            if pool is not None:
                self._capacity_backoff.on_terminated(pool, self._clock.now())
        self._on_changed()
