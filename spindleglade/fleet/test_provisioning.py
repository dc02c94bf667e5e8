"""Tests which machines are provisioned for unplaced demand."""

import math

from spindleglade.backfill.plan import UnplacedDemand
from spindleglade.backfill.test_planner import job
from spindleglade.fleet.capacity import CapacityPool, FreeCapacity
from spindleglade.fleet.machine_pool import MachineOffer
from spindleglade.fleet.messages import MachineType
from spindleglade.fleet.provisioning import ON_DEMAND_FOR_ALL, OnDemandUse, choose_provisioning
from spindleglade.settings import Team

SMALL = MachineType("s", 8.0, 32.0, 1.0, 0.3, 20.0, 50.0, 1.0, 0.0, ["a"])
LARGE = MachineType("l", 32.0, 128.0, 4.2, 1.3, 30.0, 50.0, 1.0, 0.0, ["a"])
OFFERS = [MachineOffer(machine_type, "a", spot) for machine_type in (SMALL, LARGE) for spot in (True, False)]
ON_DEMAND_OFFERS = [offer for offer in OFFERS if not offer.spot]
TEAMS = {"t": Team("t", 8.0, 64.0), "guest": Team("guest", 0.0, math.inf, 0.0, math.inf)}
# Only demand that may not use spot machines, or has `may_use_on_demand` set, may use on-demand machines.
ALLOWED_ONLY = OnDemandUse(job_ids=frozenset())


def provision(unplaced, booting=(), offers=OFFERS, used=0.0, on_demand=ON_DEMAND_FOR_ALL):
    """The machines chosen, as tuples of machine type, spot and count. `used` is CPUs of team `t`."""
    chosen = choose_provisioning(
        unplaced, CapacityPool(list(booting)), offers, TEAMS, {"t": used}, 50, on_demand
    )
    return [(offer.type.name, offer.spot, count) for offer, count in chosen]


def test_the_cheapest_pool_that_fits_is_provisioned():
    assert provision([UnplacedDemand(job("job-1", 4.0), 4, False)]) == [("s", True, 2)]
    assert provision([UnplacedDemand(job("job-1", 16.0), 1, False)]) == [("l", True, 1)]


def test_booting_machines_are_taken_off_the_demand():
    booting = FreeCapacity("s", "a", True, 8.0, 0.0, 32.0)
    assert provision([UnplacedDemand(job("job-1", 4.0), 4, False)], [booting]) == [("s", True, 1)]


def test_work_that_may_not_use_spot_machines_gets_none():
    assert provision([UnplacedDemand(job("job-1", 4.0, spot=False), 1, False)]) == [("s", False, 1)]
    spot = FreeCapacity("s", "a", True, 8.0, 0.0, 32.0)
    assert provision([UnplacedDemand(job("job-1", 4.0, spot=False), 1, False)], [spot]) == [("s", False, 1)]


def test_nothing_is_provisioned_beyond_a_teams_limit():
    assert provision([UnplacedDemand(job("job-1", 8.0), 20, False)], used=48.0) == [("s", True, 2)]


def test_for_a_team_without_a_limit_all_demand_counts():
    unplaced = [UnplacedDemand(job("job-1", 8.0, team="guest", rank=1), 20, False)]
    assert provision(unplaced) == [("s", True, 20)]


def test_where_on_demand_is_preferred_those_machines_come_first():
    unplaced = [UnplacedDemand(job("job-1", 4.0), 1, False)]
    assert provision(unplaced, on_demand=OnDemandUse(is_preferred=True)) == [("s", False, 1)]


def test_jobs_with_the_same_requirements_are_provisioned_for_together():
    """Such jobs are grouped to save time, and get the same machines as one job with all their tasks."""
    jobs = [UnplacedDemand(job(f"job-{number}", 4.0), 1, False) for number in range(12)]
    together = provision([UnplacedDemand(job("job-0", 4.0), 12, False)])
    assert provision(jobs) == together == [("s", True, 6)]


def test_on_demand_machines_are_provisioned_only_for_the_jobs_that_may_use_them():
    """While all spot machines are in use there is always some unplaced demand. That alone does not justify
    on-demand machines."""
    unplaced = [UnplacedDemand(job("job-1", 8.0), 1, False), UnplacedDemand(job("job-2", 8.0), 1, False)]
    only_second = OnDemandUse(job_ids=frozenset(["job-2"]))
    assert provision(unplaced, offers=ON_DEMAND_OFFERS, on_demand=ALLOWED_ONLY) == []
    assert provision(unplaced, offers=ON_DEMAND_OFFERS, on_demand=only_second) == [("s", False, 1)]
    on_demand_only = [UnplacedDemand(job("job-1", 8.0, spot=False), 1, False)]
    assert provision(on_demand_only, offers=ON_DEMAND_OFFERS, on_demand=ALLOWED_ONLY) == [("s", False, 1)]


def test_a_partitioned_zone_comes_last():
    """All its machines have been terminated, so it would win as the zone with the fewest machines."""
    offers = [MachineOffer(SMALL, "a", True, 0, zone_partitioned=True), MachineOffer(SMALL, "b", True, 9)]
    unplaced = [UnplacedDemand(job("job-1", 4.0), 2, False)]
    (offer, count), *other_choices = choose_provisioning(unplaced, CapacityPool(), offers, TEAMS, {}, 50)
    assert (offer.zone, count, other_choices) == ("b", 1, [])
    assert provision(unplaced, offers=offers[:1]) == [("s", True, 1)]


def test_only_as_many_on_demand_machines_as_the_first_tasks_of_overdue_jobs_fill():
    first = UnplacedDemand(job("job-1", 8.0), 2, False, may_use_on_demand=True)
    remaining = UnplacedDemand(job("job-1", 8.0), 6, False)
    assert provision([first, remaining], offers=ON_DEMAND_OFFERS, on_demand=ALLOWED_ONLY) == [("s", False, 2)]
    # The next pass provisions no more, since these machines are booting.
    booting = [FreeCapacity("s", "a", False, 8.0, 0.0, 32.0)] * 2
    assert provision([first, remaining], booting, offers=ON_DEMAND_OFFERS, on_demand=ALLOWED_ONLY) == []
