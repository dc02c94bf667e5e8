"""Scale-out: decides which machines to provision for unplaced demand and for headroom."""

import math
from collections import defaultdict
from collections.abc import Callable
from datetime import timedelta

from spindleglade.backfill.plan import ExpectedRelease, Plan, UnplacedDemand
from spindleglade.fleet.capacity import CapacityPool, FreeCapacity, add_soon_free_capacity
from spindleglade.fleet.capacity_backoff import CapacityBackoff
from spindleglade.fleet.client import MAX_PROVISIONED_PER_REQUEST
from spindleglade.fleet.headroom import Headroom
from spindleglade.fleet.machine_pool import MachineOffer
from spindleglade.fleet.messages import MachineType
from spindleglade.fleet.on_demand import OnDemandPolicy
from spindleglade.fleet.parameters import AutoscalerContext, MachineSupply
from spindleglade.fleet.provisioning import OnDemandUse, choose_provisioning
from spindleglade.fleet.provisioning_requests import ProvisioningRequests
from spindleglade.fleet.state import FleetState

# Maximum number of provisioning requests that may await a response at the same time.
MAX_PENDING_REQUESTS = 4

# Where headroom is needed, all demand may use on-demand machines and they are preferred.
ON_DEMAND_FOR_HEADROOM = OnDemandUse(is_preferred=True)
# Where no headroom is needed, only demand that may not use spot machines, or has `may_use_on_demand` set, may
# use on-demand machines.
ON_DEMAND_WHERE_ALLOWED = OnDemandUse(job_ids=frozenset())


class ScaleOut:
    """Provisions machines for the demand that the latest plan could not place, otherwise for headroom."""

    def __init__(
        self,
        context: AutoscalerContext,
        supply: MachineSupply,
        state: FleetState,
        headroom: Headroom,
        backoff: CapacityBackoff,
    ) -> None:
        self._cluster = context.cluster
        self._clock = context.clock
        self._is_leadership_proven = context.is_leadership_proven
        self._supply = supply
        self._state = state
        self._headroom = headroom
        self._capacity_backoff = backoff
        self._requests = ProvisioningRequests(context, state, backoff, self._on_request_finished)
        self._on_demand_policy = OnDemandPolicy(context.settings)
        self._unplaced_demand: list[UnplacedDemand] = []
        self._expected_release: Callable[[], ExpectedRelease] = ExpectedRelease.empty

    def on_plan(self, plan: Plan) -> None:
        """Takes over the unplaced demand and the expected releases of the latest plan."""
        self._unplaced_demand = plan.unplaced
        self._expected_release = plan.expected_release
        self._on_demand_policy.observe_demand(plan.unplaced, self._cluster.teams, self._clock.now())

    def run(self, now: timedelta) -> None:
        """Requests missing machines, unless too many requests are pending or leadership is unproven."""
        if len(self._state.pending_requests) >= MAX_PENDING_REQUESTS or not self._is_leadership_proven():
            return
        choices = self._choose_for_unplaced_demand(now)
        if self._headroom.is_needed and not choices:
            choices = self._choose_for_headroom(now)
        for offer, count in choices:
            self._requests.send(offer, count)

    def _on_request_finished(self) -> None:
        """Chooses again at once: another machine pool may have the capacity that the requested one lacks."""
        self.run(self._clock.now())

    def _choose_for_unplaced_demand(self, now: timedelta) -> list[tuple[MachineOffer, int]]:
        needs_headroom = self._headroom.is_needed
        capacity = CapacityPool(self._expected_capacity(now))
        used_cpus = self._used_cpus_by_team()
        if not needs_headroom:
            boot_s = {entry.name: entry.boot_s for entry in self._supply.types()}
            add_soon_free_capacity(capacity, self._expected_release(), boot_s)
        return choose_provisioning(
            self._demand_with_on_demand_allowed(now),
            capacity,
            self._offers(now),
            self._cluster.teams,
            used_cpus,
            MAX_PROVISIONED_PER_REQUEST,
            ON_DEMAND_FOR_HEADROOM if needs_headroom else ON_DEMAND_WHERE_ALLOWED,
        )

    def _choose_for_headroom(self, now: timedelta) -> list[tuple[MachineOffer, int]]:
        deficit_cpus = self._headroom.deficit_cpus()
        offers = [offer for offer in self._offers(now) if offer.type.cpus > 0]
        if deficit_cpus <= 0 or not offers:
            return []
        offer = min(offers, key=_headroom_sort_key)
        count = math.ceil(deficit_cpus / offer.type.cpus)
        return [(offer, min(MAX_PROVISIONED_PER_REQUEST, count))]

    def _expected_capacity(self, now: timedelta) -> list[FreeCapacity]:
        """The full capacity of each machine that is booting or requested; no task runs there yet."""
        capacity = [
            _empty_machine(booting.type, booting.zone, booting.spot)
            for booting in self._state.expected_machines(now)
        ]
        for pending in self._state.pending_requests.values():
            request = pending.request
            machine = _empty_machine(pending.machine_type, request.zone, request.spot)
            capacity += [machine] * request.count
        return capacity

    def _used_cpus_by_team(self) -> dict[str, float]:
        used: dict[str, float] = {}
        with self._cluster.lock:
            for job in self._cluster.jobs.values():
                used[job.spec.team] = used.get(job.spec.team, 0.0) + job.spec.cpus * len(job.placed)
        return used

    def _offers(self, now: timedelta) -> list[MachineOffer]:
        """An offer for each machine pool that is not backed off."""
        machines_by_zone = self._count_machines_by_zone()
        offers = []
        for machine_type in self._supply.types():
            for zone in machine_type.zones or self._supply.zones:
                is_partitioned = zone in self._state.partitioned_zones
                for spot in (True, False):
                    offer = MachineOffer(machine_type, zone, spot, machines_by_zone[zone], is_partitioned)
                    if self._capacity_backoff.allows(offer.pool, now):
                        offers.append(offer)
        return offers

    def _count_machines_by_zone(self) -> defaultdict[str, int]:
        """The number of machines in each zone, including those that are booting or requested."""
        counts: defaultdict[str, int] = defaultdict(int)
        with self._cluster.lock:
            for machine in self._cluster.machines.values():
                counts[machine.zone] += 1
        for booting in self._state.booting.values():
            counts[booting.zone] += 1
        for pending in self._state.pending_requests.values():
            counts[pending.request.zone] += pending.request.count
        return counts

    def _demand_with_on_demand_allowed(self, now: timedelta) -> list[UnplacedDemand]:
        """The unplaced demand, with `may_use_on_demand` set where on-demand machines may be provisioned for a
        job that may use spot machines. The field is left unset where headroom is needed, since all demand may
        use on-demand machines then."""
        if self._headroom.is_needed:
            return self._unplaced_demand
        has_spot = self._has_spot_machines(now)
        return self._on_demand_policy.allow(self._unplaced_demand, self._cluster.has_begun, has_spot, now)

    def _has_spot_machines(self, now: timedelta) -> bool:
        """Whether any spot machine is present or booting. Pending requests do not count: machine pools are
        requested one after another, and the cloud may reject all of them."""
        with self._cluster.lock:
            if any(machine.spot for machine in self._cluster.machines.values()):
                return True
        return any(booting.spot for booting in self._state.expected_machines(now))


def _empty_machine(machine_type: MachineType, zone: str, spot: bool) -> FreeCapacity:
    return FreeCapacity(
        machine_type.name, zone, spot, machine_type.cpus, machine_type.gpus, machine_type.memory_gb
    )


def _headroom_sort_key(offer: MachineOffer) -> tuple[bool, bool, float, int]:
    """Sort key that puts the best offer for headroom first: outside partitioned zones, then on-demand, since
    the cloud does not reclaim those machines, then the lowest price per CPU, then the emptiest zone."""
    return (offer.zone_partitioned, offer.spot, offer.price / offer.type.cpus, offer.machines_in_zone)
