"""What is rented for waiting work, and how refusals are remembered."""

import numpy as np

from spindleglade.backfill.snapshot import Freeing, Unmet
from spindleglade.backfill.test_planner import job, machine
from spindleglade.clock import ManualClock, seconds
from spindleglade.fleet.demand import Offer, Refusals, Room, rentals, soon_free
from spindleglade.fleet.manager import FleetManager
from spindleglade.fleet.messages import MachineType
from spindleglade.settings import Team
from spindleglade.settings.operator import FleetSettings, WorkerSettings
from spindleglade.workers.test_ledger import make_ledger

SMALL = MachineType("s", 8.0, 32.0, 1.0, 0.3, 20.0, 50.0, 1.0, 0.0, ["a"])
LARGE = MachineType("l", 32.0, 128.0, 4.2, 1.3, 30.0, 50.0, 1.0, 0.0, ["a"])
OFFERS = [Offer(kind, "a", spot) for kind in (SMALL, LARGE) for spot in (True, False)]
TEAMS = {"t": Team("t", 8.0, 64.0)}


def rent(unmet, booting=(), offers=OFFERS, used=0.0, steady=False, overdue=None):
    found = rentals(unmet, list(booting), offers, TEAMS, {"t": used}, 50, steady, overdue)
    return [(offer.type.name, offer.spot, count) for offer, count in found]


def test_the_cheapest_kind_that_fits_is_rented():
    assert rent([Unmet(job("job-1", 4.0), 4, False)]) == [("s", True, 2)]
    assert rent([Unmet(job("job-1", 16.0), 1, False)]) == [("l", True, 1)]


def test_what_boots_is_taken_off_the_demand():
    room = Room("s", "a", True, 8.0, 0.0, 32.0)
    assert rent([Unmet(job("job-1", 4.0), 4, False)], [room]) == [("s", True, 1)]


def test_work_that_may_not_use_spot_machines_gets_none():
    assert rent([Unmet(job("job-1", 4.0, spot=False), 1, False)]) == [("s", False, 1)]
    spot_room = Room("s", "a", True, 8.0, 0.0, 32.0)
    assert rent([Unmet(job("job-1", 4.0, spot=False), 1, False)], [spot_room]) == [("s", False, 1)]


def test_nothing_is_rented_beyond_a_teams_limit():
    assert rent([Unmet(job("job-1", 8.0), 20, False)], used=48.0) == [("s", True, 2)]


def test_where_readiness_counts_ordinary_machines_come_first():
    assert rent([Unmet(job("job-1", 4.0), 1, False)], steady=True) == [("s", False, 1)]


def test_what_frees_before_a_boot_is_room():
    view = machine("n-1", cpus=8.0, type="s")
    tasks = np.array([(5.0, 4.0, 0.0, 1.0), (100.0, 2.0, 0.0, 1.0)])
    freeing = Freeing(view, np.array([2.0, 0.0, 32.0]), tasks)
    (room,) = soon_free([freeing], {"s": 20.0})
    assert room.cpus == 6.0


def test_a_refused_kind_is_left_alone_for_longer_each_time():
    refusals, kind = Refusals(seconds(4), seconds(10)), ("s", "a", True)
    refusals.refused(kind, seconds(0))
    assert not refusals.open(kind, seconds(3)) and refusals.open(kind, seconds(4))
    refusals.refused(kind, seconds(4))
    assert not refusals.open(kind, seconds(11)) and refusals.open(kind, seconds(12))
    refusals.refused(kind, seconds(12))
    assert refusals.open(kind, seconds(22))
    refusals.granted(kind)
    refusals.refused(kind, seconds(30))
    assert refusals.open(kind, seconds(34))


def test_ordinary_machines_are_rented_only_for_jobs_that_waited_long():
    """While spot machines are all in use there is always some demand; a clock on the demand as a whole once
    rented eight ordinary machines at the end of a quiet day."""
    ordinary = [offer for offer in OFFERS if not offer.spot]
    unmet = [Unmet(job("job-1", 8.0), 1, False), Unmet(job("job-2", 8.0), 1, False)]
    assert rent(unmet, offers=ordinary, overdue=frozenset()) == []
    assert rent(unmet, offers=ordinary, overdue=frozenset(["job-2"])) == [("s", False, 1)]
    strict = [Unmet(job("job-1", 8.0, spot=False), 1, False)]
    assert rent(strict, offers=ordinary, overdue=frozenset()) == [("s", False, 1)]


def manager(soonest):
    """A fleet manager that is asked only for its judgement."""
    types = [MachineType("s", 8.0, 32.0, 1.0, 0.3, 20.0, 50.0, 0.25, 0.0, ["a"])]
    return FleetManager(
        make_ledger(),
        None,
        ManualClock(),
        7,
        lambda: types,
        ["a"],
        FleetSettings(),
        WorkerSettings(),
        None,
        soonest,
        lambda: None,
        lambda address, session: None,
    )


def test_machines_stand_ready_only_where_work_must_start_sooner_than_one_boots():
    assert manager(seconds(4)).ready
    assert not manager(seconds(50)).ready and not manager(None).ready
