"""Scale-in: decides which machines to terminate because they are idle, silent or unusable."""

import math
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta

from spindleglade.fleet.headroom import Headroom
from spindleglade.fleet.parameters import AutoscalerContext, SilenceLimits
from spindleglade.fleet.state import FleetState
from spindleglade.fleet.termination import MachineTermination, TerminationReason
from spindleglade.fleet.zone_partitions import ZonePartitionDetector
from spindleglade.runtime.clock import seconds
from spindleglade.workers.machines import Machine

# A machine that sends heartbeats but receives no messages is terminated after this multiple of the silence
# limit.
UNREACHABLE_LIMIT_MULTIPLIER = 2
# A machine is terminated if a start of a cancelled job has been unacknowledged for this share of the lease.
UNACKNOWLEDGED_START_SHARE_OF_LEASE = 1 / 2


@dataclass(slots=True)
class _IdleLimits:
    """How long machines may be idle, and how many CPUs of idle machines may be terminated in this pass."""

    spot: timedelta
    on_demand: timedelta
    surplus_cpus: float

    def for_machine(self, machine: Machine) -> timedelta:
        """How long the machine may be idle."""
        return self.spot if machine.spot else self.on_demand


class ScaleIn:
    """Terminates idle, silent, unreachable and quarantined machines and those that do not boot in time."""

    def __init__(
        self,
        context: AutoscalerContext,
        limits: SilenceLimits,
        state: FleetState,
        headroom: Headroom,
        termination: MachineTermination,
    ) -> None:
        self._cluster = context.cluster
        self._settings = context.settings
        self._limits = limits
        self._state = state
        self._headroom = headroom
        self._termination = termination
        self._zone_partitions = ZonePartitionDetector(context.cluster, state, limits.probe)

    def run(self, now: timedelta) -> None:
        """Runs one pass: terminates the machines that are idle, silent or unusable now."""
        reasons = self._reasons_by_machine(now)
        for name in self._boot_timed_out_machines(now):
            reasons[name] = TerminationReason.BOOT_TIMEOUT
        if reasons:
            self._termination.terminate(reasons)

    def _reasons_by_machine(self, now: timedelta) -> dict[str, TerminationReason]:
        """Chooses the cluster's machines to be terminated and excludes them from further placements."""
        idle_limits = self._idle_limits()
        reasons: dict[str, TerminationReason] = {}
        with self._cluster.lock:
            self._zone_partitions.observe(now)
            for machine in self._cluster.machines.values():
                if machine.name in self._state.terminating:
                    continue
                reason = self._forced_termination_reason(machine, now)
                if reason is None and self._deduct_if_idle(machine, idle_limits, now):
                    reason = TerminationReason.IDLE
                if reason is not None:
                    machine.terminating = True
                    reasons[machine.name] = reason
        return reasons

    def _idle_limits(self) -> _IdleLimits:
        settings = self._settings
        if not self._headroom.is_needed:
            return _IdleLimits(seconds(settings.idle_s), seconds(settings.on_demand_idle_s), math.inf)
        surplus_cpus = -self._headroom.deficit_cpus()
        # While there is work, idle machines are also kept for their image caches.
        limit = seconds(
            settings.start_objective_idle_s if self._headroom.has_open_jobs() else settings.idle_s
        )
        return _IdleLimits(limit, limit, surplus_cpus)

    def _forced_termination_reason(self, machine: Machine, now: timedelta) -> TerminationReason | None:
        """Why the machine must be terminated whether or not it is idle; None if it need not be."""
        if self._cluster.is_silent(machine, now, self._limits.lease):
            return TerminationReason.SILENT
        if self._is_silent_and_unanswered(machine, now):
            return TerminationReason.SILENT_AND_UNANSWERED
        if self._is_unreachable_for_long(machine, now):
            return TerminationReason.UNREACHABLE
        if machine.quarantined and not machine.placed:
            return TerminationReason.QUARANTINED
        if self._has_unacknowledged_start_of_cancelled_job(machine, now):
            return TerminationReason.UNACKNOWLEDGED_START
        return None

    def _is_silent_and_unanswered(self, machine: Machine, now: timedelta) -> bool:
        """Whether the machine is silent and left a probe unanswered. This does not count in a partitioned
        zone, where the machine is not at fault."""
        return (
            machine.unanswered_since is not None
            and machine.zone not in self._state.partitioned_zones
            and self._cluster.is_silent(machine, now, self._limits.unanswered)
        )

    def _is_unreachable_for_long(self, machine: Machine, now: timedelta) -> bool:
        """Whether the machine has sent heartbeats but received no messages for too long."""
        limit = self._limits.lease * UNREACHABLE_LIMIT_MULTIPLIER
        return machine.unreachable_since is not None and now - machine.unreachable_since > limit

    def _has_unacknowledged_start_of_cancelled_job(self, machine: Machine, now: timedelta) -> bool:
        """Whether a start of a cancelled job has been unacknowledged for so long that the machine must be
        terminated. The start may still arrive there."""
        limit = self._cluster.policy.lease * UNACKNOWLEDGED_START_SHARE_OF_LEASE
        return any(now - sent_at > limit for sent_at in machine.unacknowledged_starts_of_cancelled_jobs())

    def _deduct_if_idle(self, machine: Machine, limits: _IdleLimits, now: timedelta) -> bool:
        """Whether to terminate the machine as idle. If so, deducts its CPUs from `limits.surplus_cpus`."""
        if (
            machine.idle_since is None
            or machine.placed
            or now - machine.idle_since <= limits.for_machine(machine)
        ):
            return False
        machine_type = self._cluster.machine_types.get(machine.type)
        cpus = 0 if machine_type is None else machine_type.cpus
        if cpus > limits.surplus_cpus:
            return False
        limits.surplus_cpus -= cpus
        return True

    def _boot_timed_out_machines(self, now: timedelta) -> Iterator[str]:
        """Names of the machines that have been booting longer than `boot_patience` times their boot time."""
        for name, booting in self._state.booting.items():
            if now - booting.booting_since > seconds(booting.type.boot_s * self._settings.boot_patience):
                yield name
