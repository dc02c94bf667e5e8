"""Chooses how many machines of each pool to provision for unplaced demand. Pure logic.

Waiting tasks are first packed onto the capacity that is already expected. The remaining tasks are packed onto
new machines of the machine pool that runs them at the lowest price.
"""

import math
from dataclasses import dataclass
from typing import NamedTuple

from spindleglade.backfill.plan import UnplacedDemand
from spindleglade.backfill.snapshot import GroupKey, JobView
from spindleglade.fleet.capacity import CapacityPool, is_eligible
from spindleglade.fleet.machine_pool import MachineOffer, MachinePool
from spindleglade.settings.platform import Team


@dataclass(frozen=True, slots=True)
class OnDemandUse:
    """Which demand may use on-demand machines, and whether they are preferred to spot machines."""

    # On-demand machines are preferred whatever their price, since the cloud does not reclaim them.
    is_preferred: bool = False
    # Ids of jobs that may use on-demand as well as spot machines, in addition to demand with
    # `may_use_on_demand` set. None means that all jobs may.
    job_ids: frozenset[str] | None = None

    def allows(self, demand: UnplacedDemand) -> bool:
        """Whether on-demand machines may be provisioned for the demand."""
        if self.job_ids is None:
            return True
        return not demand.job.spot or demand.may_use_on_demand or demand.job.id in self.job_ids


# All demand gets whichever machines are cheapest.
ON_DEMAND_FOR_ALL = OnDemandUse()


class _DemandGroup(NamedTuple):
    """Unplaced demand of one or more jobs that fits the same machines."""

    job: JobView
    task_count: int
    may_use_on_demand: bool


class _ProvisioningPlan:
    """The machines chosen so far, at most `max_machines`."""

    def __init__(
        self, offers: list[MachineOffer], capacity: CapacityPool, max_machines: int, prefers_on_demand: bool
    ) -> None:
        self._offers = offers
        self._capacity = capacity
        self._remaining_machines = max_machines
        self._prefers_on_demand = prefers_on_demand
        self._machine_counts: dict[MachinePool, int] = {}

    def allocate(self, group: _DemandGroup, max_tasks: int) -> int:
        """Allocates capacity to at most `max_tasks` tasks and adds machines to the plan where it is missing.
        Returns the number of tasks that got capacity."""
        allocated = self._capacity.allocate(group.job, max_tasks)
        while allocated < max_tasks and self._remaining_machines > 0:
            offer = self._cheapest_offer(group)
            if offer is None:
                break
            self._machine_counts[offer.pool] = self._machine_counts.get(offer.pool, 0) + 1
            self._remaining_machines -= 1
            self._capacity.add_empty(offer)
            allocated += self._capacity.allocate(group.job, max_tasks - allocated)
        return allocated

    def chosen_offers(self) -> list[tuple[MachineOffer, int]]:
        """The offers to be requested, each with its number of machines, in the order first chosen."""
        offers_by_pool = {offer.pool: offer for offer in self._offers}
        return [(offers_by_pool[pool], count) for pool, count in self._machine_counts.items()]

    def _cheapest_offer(self, group: _DemandGroup) -> MachineOffer | None:
        """The first offer with the lowest score; None if no offer can run a task of the group."""
        best_offer, best_score = None, None
        for offer in self._offers:
            if not group.may_use_on_demand and not offer.spot:
                continue
            score = self._score(group.job, offer)
            if score is not None and (best_score is None or score < best_score):
                best_offer, best_score = offer, score
        return best_offer

    def _score(self, job: JobView, offer: MachineOffer) -> tuple[bool, bool, float, float, int] | None:
        """The score of the offer; the lowest is chosen. None if no task of the job can run on the machine.

        Offers are compared by these criteria, in this order:

        - Partitioned zones come last. They have the fewest machines precisely when all their machines have
          been terminated, and a new machine there could not report either.
        - Spot machines come after on-demand machines if those are preferred.
        - The lowest price per CPU that the job's tasks can use.
        - The smaller machine, which is idle less.
        - The zone with the fewest machines, so that a zone that becomes partitioned takes no more than its
          share of the fleet with it.
        """
        machine_type = offer.type
        fitting = job.count_fitting(machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
        if fitting == 0 or not is_eligible(job, offer.pool):
            return None
        # CPUs that the job's tasks cannot fill may serve other jobs, so they count half.
        filled_share = min(1.0, fitting * job.cpus / machine_type.cpus)
        price = offer.price / (machine_type.cpus * (filled_share + 1) / 2)
        machines_in_zone = offer.machines_in_zone + self._machine_counts.get(offer.pool, 0)
        is_less_preferred = self._prefers_on_demand and offer.spot
        return (offer.zone_partitioned, is_less_preferred, price, machine_type.cpus, machines_in_zone)


def choose_provisioning(
    unplaced: list[UnplacedDemand],
    capacity: CapacityPool,
    offers: list[MachineOffer],
    teams: dict[str, Team],
    used_cpus: dict[str, float],
    max_machines: int,
    on_demand: OnDemandUse = ON_DEMAND_FOR_ALL,
) -> list[tuple[MachineOffer, int]]:
    """The offers to be requested, each with its number of machines, `max_machines` in total at most.

    `used_cpus` is the number of CPUs that each team uses already, by team name. No machine is chosen for
    tasks beyond their team's CPU limit. Tasks that fit into `capacity` are allocated there, which changes it.
    """
    provisioning = _ProvisioningPlan(offers, capacity, max_machines, on_demand.is_preferred)
    used_by_team = dict(used_cpus)
    for group in _group_demand(unplaced, on_demand):
        job = group.job
        team = teams.get(job.team)
        if team is None:
            continue
        team_used_cpus = used_by_team.get(job.team, 0.0)
        max_tasks = min(group.task_count, job.count_fitting(team.cpus_max - team_used_cpus, math.inf))
        used_by_team[job.team] = team_used_cpus + job.cpus * provisioning.allocate(group, max_tasks)
    return provisioning.chosen_offers()


def _group_demand(unplaced: list[UnplacedDemand], on_demand: OnDemandUse) -> list[_DemandGroup]:
    """Groups the demand by the machines that it fits; groups keep the order of their first demand."""
    groups: dict[GroupKey, _DemandGroup] = {}
    for demand in unplaced:
        may_use_on_demand = on_demand.allows(demand)
        key = _group_key(demand.job, may_use_on_demand)
        group = groups.get(key)
        if group is None:
            groups[key] = _DemandGroup(demand.job, demand.count, may_use_on_demand)
        else:
            groups[key] = group._replace(task_count=group.task_count + demand.count)
    return list(groups.values())


def _group_key(job: JobView, may_use_on_demand: bool) -> GroupKey:
    """The key of a group: demand with the same key fits the same machines and counts against the same limit.
    A group is provisioned for as a whole, since scanning hundreds of machines for each of hundreds of jobs
    would cost the leader too much time."""
    key = (job.team, *job.placement_key(), may_use_on_demand)
    return (*key, job.id) if job.one_zone else key
