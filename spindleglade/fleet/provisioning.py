"""How many machines of which pool to provision for unplaced demand. Pure logic.

Waiting tasks are packed onto the capacity that is on its way; what is left over is packed onto machines to be
provisioned, of the machine pool that runs it at the lowest price.
"""

import math
from dataclasses import dataclass
from typing import NamedTuple

from spindleglade.backfill.plan import UnplacedDemand
from spindleglade.backfill.snapshot import JobView, Key
from spindleglade.fleet.capacity import CapacityPool, is_eligible
from spindleglade.fleet.machine_pool import MachineOffer, MachinePool
from spindleglade.settings.platform import Team


@dataclass(frozen=True, slots=True)
class OnDemandUse:
    """Which work gets on-demand machines, and whether those come first."""

    # On-demand machines come before spot ones whatever they cost: they are not taken away.
    is_preferred: bool = False
    # The jobs that may use them as well as spot machines, besides the demand marked so; None: all jobs.
    jobs: frozenset[str] | None = None

    def allows(self, demand: UnplacedDemand) -> bool:
        """Whether on-demand machines may be provisioned for the demand."""
        if self.jobs is None:
            return True
        return not demand.job.spot or demand.may_use_on_demand or demand.job.id in self.jobs


# All work gets whatever is cheapest.
ON_DEMAND_FOR_ALL = OnDemandUse()


class _DemandGroup(NamedTuple):
    """Unplaced demand that fits the same machines, of one job or several."""

    job: JobView
    task_count: int
    may_use_on_demand: bool


class _Provisioning:
    """The machines chosen so far, at most so many."""

    def __init__(
        self, offers: list[MachineOffer], capacity: CapacityPool, max_machines: int, prefers_on_demand: bool
    ) -> None:
        self._offers = offers
        self._capacity = capacity
        self._remaining = max_machines
        self._prefers_on_demand = prefers_on_demand
        self._counts: dict[MachinePool, int] = {}

    def place(self, group: _DemandGroup, max_tasks: int) -> int:
        """Allocates capacity to so many tasks, provisioning what is missing; returns to how many."""
        placed = self._capacity.allocate(group.job, max_tasks)
        while placed < max_tasks and self._remaining > 0:
            offer = self._cheapest_offer(group)
            if offer is None:
                break
            self._counts[offer.pool] = self._counts.get(offer.pool, 0) + 1
            self._remaining -= 1
            self._capacity.add_empty(offer)
            placed += self._capacity.allocate(group.job, max_tasks - placed)
        return placed

    def chosen(self) -> list[tuple[MachineOffer, int]]:
        """The offers to be requested, each with a count, in the order in which they were first chosen."""
        by_pool = {offer.pool: offer for offer in self._offers}
        return [(by_pool[pool], count) for pool, count in self._counts.items()]

    def _cheapest_offer(self, group: _DemandGroup) -> MachineOffer | None:
        """The offer with the lowest score, the first one among equals."""
        best, best_score = None, None
        for offer in self._offers:
            if not group.may_use_on_demand and not offer.spot:
                continue
            score = self._score(group.job, offer)
            if score is not None and (best_score is None or score < best_score):
                best, best_score = offer, score
        return best

    def _score(self, job: JobView, offer: MachineOffer) -> tuple[bool, bool, float, float, int] | None:
        """Lower is better; None: no task of the job can run there.

        What counts is the price of each CPU that the job's tasks can use; among equals the smaller machine,
        which is idle less, then the zone with the fewest machines, so that a zone that becomes partitioned
        takes no more than its share of the fleet with it. A partitioned zone comes last: it has the fewest
        machines just when all of them have been terminated, and a new one could not report either.
        """
        machine_type = offer.type
        fitting = job.count_fitting(machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
        if fitting == 0 or not is_eligible(job, offer.pool):
            return None
        # Of a machine that the job's shape cannot fill, the rest may serve others: it counts half.
        filled = min(1.0, fitting * job.cpus / machine_type.cpus)
        price = offer.price / (machine_type.cpus * (filled + 1) / 2)
        machines_in_zone = offer.machines_in_zone + self._counts.get(offer.pool, 0)
        is_second_choice = self._prefers_on_demand and offer.spot
        return (offer.zone_partitioned, is_second_choice, price, machine_type.cpus, machines_in_zone)


def choose_provisioning(
    unplaced: list[UnplacedDemand],
    capacity: CapacityPool,
    offers: list[MachineOffer],
    teams: dict[str, Team],
    used_cpus: dict[str, float],
    max_machines: int,
    on_demand: OnDemandUse = ON_DEMAND_FOR_ALL,
) -> list[tuple[MachineOffer, int]]:
    """The offers to be requested, each with a count, within the teams' limits. `capacity` is used up."""
    provisioning = _Provisioning(offers, capacity, max_machines, on_demand.is_preferred)
    used = dict(used_cpus)
    for group in _group_demand(unplaced, on_demand):
        job = group.job
        team = teams.get(job.team)
        if team is None:
            continue
        used_by_team = used.get(job.team, 0.0)
        max_tasks = min(group.task_count, job.count_fitting(team.cpus_max - used_by_team, math.inf))
        used[job.team] = used_by_team + job.cpus * provisioning.place(group, max_tasks)
    return provisioning.chosen()


def _group_demand(unplaced: list[UnplacedDemand], on_demand: OnDemandUse) -> list[_DemandGroup]:
    """The demand in groups, in the order in which each was first met."""
    groups: dict[Key, _DemandGroup] = {}
    for demand in unplaced:
        may_use_on_demand = on_demand.allows(demand)
        key = _group_key(demand.job, may_use_on_demand)
        group = groups.get(key)
        if group is None:
            groups[key] = _DemandGroup(demand.job, demand.count, may_use_on_demand)
        else:
            groups[key] = group._replace(task_count=group.task_count + demand.count)
    return list(groups.values())


def _group_key(job: JobView, may_use_on_demand: bool) -> Key:
    """Demand with the same key fits the same machines and counts against the same limit. It is provisioned
    for as one, since looking at hundreds of machines for each of hundreds of jobs costs the leader much."""
    key = (job.team, *job.placement_key(), may_use_on_demand)
    return (*key, job.id) if job.one_zone else key
