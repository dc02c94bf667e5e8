"""What is rented for waiting work, and how refusals are remembered."""

import math
from dataclasses import replace

import numpy as np
import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.defer import ensureDeferred

from spindleglade.backfill.plan import ExpectedRelease, Plan, UnplacedDemand
from spindleglade.backfill.test_planner import job, machine
from spindleglade.fleet.autoscaler import Autoscaler
from spindleglade.fleet.client import (
    CloudClient,
    CloudTimeoutError,
    InsufficientCapacityError,
    LeadershipUnprovenError,
)
from spindleglade.fleet.demand import (
    CapacityBackoff,
    CapacityPool,
    FreeCapacity,
    MachineOffer,
    add_soon_free_capacity,
    choose_provisioning,
)
from spindleglade.fleet.messages import ListedMachine, MachineType
from spindleglade.fleet.parameters import AutoscalerContext, MachineSupply, WorkerConnections
from spindleglade.http.client import ClientResponse
from spindleglade.runtime.clock import ManualClock, seconds, sleep
from spindleglade.settings import Team
from spindleglade.settings.operator import FleetSettings, WorkerSettings
from spindleglade.workers.machines import Machine
from spindleglade.workers.test_cluster_state import make_cluster

SMALL = MachineType("s", 8.0, 32.0, 1.0, 0.3, 20.0, 50.0, 1.0, 0.0, ["a"])
LARGE = MachineType("l", 32.0, 128.0, 4.2, 1.3, 30.0, 50.0, 1.0, 0.0, ["a"])
OFFERS = [MachineOffer(kind, "a", spot) for kind in (SMALL, LARGE) for spot in (True, False)]
TEAMS = {"t": Team("t", 8.0, 64.0), "guest": Team("guest", 0.0, math.inf, 0.0, math.inf)}


def rent(unplaced, booting=(), offers=OFFERS, used=0.0, steady=False, overdue=None):
    found = choose_provisioning(
        unplaced, CapacityPool(list(booting)), offers, TEAMS, {"t": used}, 50, steady, overdue
    )
    return [(offer.type.name, offer.spot, count) for offer, count in found]


def test_the_cheapest_kind_that_fits_is_rented():
    assert rent([UnplacedDemand(job("job-1", 4.0), 4, False)]) == [("s", True, 2)]
    assert rent([UnplacedDemand(job("job-1", 16.0), 1, False)]) == [("l", True, 1)]


def test_what_boots_is_taken_off_the_demand():
    room = FreeCapacity("s", "a", True, 8.0, 0.0, 32.0)
    assert rent([UnplacedDemand(job("job-1", 4.0), 4, False)], [room]) == [("s", True, 1)]


def test_work_that_may_not_use_spot_machines_gets_none():
    assert rent([UnplacedDemand(job("job-1", 4.0, spot=False), 1, False)]) == [("s", False, 1)]
    spot_room = FreeCapacity("s", "a", True, 8.0, 0.0, 32.0)
    assert rent([UnplacedDemand(job("job-1", 4.0, spot=False), 1, False)], [spot_room]) == [("s", False, 1)]


def test_nothing_is_rented_beyond_a_teams_limit():
    assert rent([UnplacedDemand(job("job-1", 8.0), 20, False)], used=48.0) == [("s", True, 2)]


def test_for_a_team_without_a_limit_all_that_waits_is_counted():
    assert rent([UnplacedDemand(job("job-1", 8.0, team="guest", rank=1), 20, False)]) == [("s", True, 20)]


def test_where_readiness_counts_ordinary_machines_come_first():
    assert rent([UnplacedDemand(job("job-1", 4.0), 1, False)], steady=True) == [("s", False, 1)]


def test_what_frees_before_a_boot_is_room():
    view = machine("n-1", cpus=8.0, type="s")
    freeing = ExpectedRelease(
        [view],
        np.array([(2.0, 0.0, 32.0)]),
        np.array([0, 0]),
        np.array([5.0, 100.0]),
        np.array([(4.0, 0.0, 1.0), (2.0, 0.0, 1.0)]),
    )
    rooms = CapacityPool()
    add_soon_free_capacity(rooms, freeing, {"s": 20.0})
    assert rooms.allocate(job("job-1", 1.0), 20) == 6


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["s", "l"]),
            st.sampled_from(["a", "b"]),
            st.booleans(),
            st.integers(0, 8),
            st.integers(0, 2),
            st.integers(0, 32),
        ),
        max_size=8,
    ),
    st.lists(
        st.tuples(
            st.sampled_from([1.0, 2.0, 3.5]),
            st.sampled_from([0.0, 1.0]),
            st.booleans(),
            st.sampled_from([None, "a"]),
            st.integers(1, 12),
        ),
        min_size=1,
        max_size=5,
    ),
)
def test_rooms_in_columns_are_filled_as_one_by_one(machines, asked):
    """The plain form: each job goes from room to room and takes what it can."""
    rooms = CapacityPool([FreeCapacity(*entry[:3], *map(float, entry[3:])) for entry in machines])
    plain = [list(entry) for entry in machines]
    for cpus, gpus, spot, zone, most in asked:
        work = replace(job("job-1", cpus, spot=spot, zone=zone), gpus=gpus, memory=4.0)
        expected = 0
        for room in plain:
            while (
                expected < most
                and (spot or not room[2])
                and (zone is None or zone == room[1])
                and room[3] >= cpus
                and room[4] >= gpus
                and room[5] >= 4
            ):
                room[3], room[4], room[5] = room[3] - cpus, room[4] - gpus, room[5] - 4
                expected += 1
        assert rooms.allocate(work, most) == expected


def test_like_work_is_rented_for_as_one():
    """Hundreds of like jobs cost one look at the machines, and get what they would get one by one."""
    jobs = [UnplacedDemand(job(f"job-{number}", 4.0), 1, False) for number in range(12)]
    assert rent(jobs) == rent([UnplacedDemand(job("job-0", 4.0), 12, False)]) == [("s", True, 6)]


def test_a_refused_kind_is_left_alone_for_longer_each_time():
    refusals, kind = CapacityBackoff(seconds(4), seconds(10)), ("s", "a", True)
    refusals.on_rejected(kind, seconds(0))
    assert not refusals.allows(kind, seconds(3)) and refusals.allows(kind, seconds(4))
    refusals.on_rejected(kind, seconds(4))
    assert not refusals.allows(kind, seconds(11)) and refusals.allows(kind, seconds(12))
    refusals.on_rejected(kind, seconds(12))
    assert refusals.allows(kind, seconds(22))
    refusals.on_provisioned(kind)
    refusals.on_rejected(kind, seconds(30))
    assert refusals.allows(kind, seconds(34))


def test_the_pause_of_a_refused_kind_ends_when_one_is_given_back():
    """No machine of the other kind comes free by that."""

    class FullCloud(RecordingCloud):
        async def provision(self, rent, allowed):
            self.asked.append(("rent", clock.now()))
            raise InsufficientCapacityError

        async def terminate(self, names, allowed):
            self.asked.append(("release", clock.now()))

        async def list_machines(self):
            return []

    def just_after_release(spot):
        fleet = manager(None, True, cloud, clock)
        fleet._cluster.machines["n-1"] = Machine("n-1", "", "s", "a", spot, last_heartbeat_at=clock.now())
        fleet.on_plan(Plan(unplaced=[UnplacedDemand(job("job-1", 4.0), 1, False)]))
        fleet.start()
        for _ in range(40):
            clock.advance(seconds(0.5))
        fleet.stop()
        (at,) = [at for what, at in cloud.asked if what == "release"]
        return [what for what, when in cloud.asked if at <= when <= at + seconds(0.5)]

    clock, cloud = ManualClock(), FullCloud()
    assert just_after_release(spot=True) == ["release", "rent"]
    clock, cloud = ManualClock(), FullCloud()
    assert just_after_release(spot=False) == ["release"]


def test_what_an_old_list_shows_as_running_is_no_room_for_long():
    """It named what the leader before had given back, and nothing was rented until that took too long."""

    class LateCloud(RecordingCloud):
        async def list_machines(self):
            return [ListedMachine("n-1", "x:1", "s", "a", True, state, 9.0)]

    def rented():
        clock, cloud = ManualClock(), LateCloud()
        fleet = manager(None, True, cloud, clock)
        fleet.start()
        for _ in range(60):
            fleet.on_plan(Plan(unplaced=[UnplacedDemand(job("job-1", 4.0), 1, False)]))
            clock.advance(seconds(0.5))
            if "rent" in cloud.asked:
                return clock.now()
        return None

    state = "running"
    assert seconds(10) < rented() < seconds(13)
    state = "starting"
    assert rented() is None


def test_ordinary_machines_are_rented_only_for_jobs_that_waited_long():
    """While spot machines are all in use there is always some demand; a clock on the demand as a whole once
    rented eight ordinary machines at the end of a quiet day."""
    may_use_on_demand = [offer for offer in OFFERS if not offer.spot]
    unplaced = [UnplacedDemand(job("job-1", 8.0), 1, False), UnplacedDemand(job("job-2", 8.0), 1, False)]
    assert rent(unplaced, offers=may_use_on_demand, overdue=frozenset()) == []
    assert rent(unplaced, offers=may_use_on_demand, overdue=frozenset(["job-2"])) == [("s", False, 1)]
    strict = [UnplacedDemand(job("job-1", 8.0, spot=False), 1, False)]
    assert rent(strict, offers=may_use_on_demand, overdue=frozenset()) == [("s", False, 1)]


class RecordingCloud:
    def __init__(self):
        self.asked = []

    async def provision(self, rent, allowed):
        self.asked.append("rent")
        return []

    async def terminate(self, names, allowed):
        self.asked.append(names)

    async def list_machines(self):
        return [ListedMachine("n-2", "x:2", "s", "a", True, "failed", 9.0)]


def test_no_ordinary_machine_is_rented_for_idle_time_work_however_long_it_waits():
    class NoSpot(RecordingCloud):
        async def provision(self, rent, allowed):
            self.asked.append(rent.spot)
            if rent.spot:
                raise InsufficientCapacityError
            return []

        async def list_machines(self):
            return []

    def asked(team, rank):
        clock, cloud = ManualClock(), NoSpot()
        fleet = manager(None, True, cloud, clock)
        fleet._cluster.teams = TEAMS
        fleet.start()
        for _ in range(70):
            fleet.on_plan(Plan(unplaced=[UnplacedDemand(job("job-1", 4.0, team=team, rank=rank), 1, False)]))
            clock.advance(seconds(10))
        return set(cloud.asked)

    assert asked("guest", 0) == {True}
    assert asked("guest", 1) == asked("t", 0) == {True, False}


def test_a_zone_that_is_cut_off_comes_last():
    """Its machines were all given up, so it had the fewest, and 70 of 100 were rented behind the cut."""
    offers = [MachineOffer(SMALL, "a", True, 0, zone_partitioned=True), MachineOffer(SMALL, "b", True, 9)]
    unplaced = [UnplacedDemand(job("job-1", 4.0), 2, False)]
    (offer, count), *others = choose_provisioning(unplaced, CapacityPool(), offers, TEAMS, {}, 50)
    assert (offer.zone, count, others) == ("b", 1, [])
    assert rent(unplaced, offers=offers[:1]) == [("s", True, 1)]


def test_a_zone_is_cut_off_from_when_most_of_it_falls_silent_until_one_there_is_heard():
    fleet = manager(None)
    machines = fleet._cluster.machines

    def watch(at, **last_heartbeat_at):
        machines.clear()
        for name, when in last_heartbeat_at.items():
            machines[name] = Machine(name, "x:1", "s", "a", True, last_heartbeat_at=seconds(when))
        fleet._scale_in._zone_partitions.observe(seconds(at))
        return fleet._state.partitioned_zones

    assert watch(60, n1=60, n2=60, n3=59, n4=20) == set()
    assert watch(70, n1=60, n2=60, n3=60, n4=70) == {"a"}
    assert watch(80) == {"a"}
    assert watch(90, n5=60) == {"a"}
    assert watch(100, n6=99) == set()


def manager(soonest, proven=True, cloud=None, clock=None):
    """A fleet manager that is asked only for its judgement. `proven` is a value, or a call that gives it."""
    types = [MachineType("s", 8.0, 32.0, 1.0, 0.3, 20.0, 50.0, 0.25, 0.0, ["a"])]
    return Autoscaler(
        AutoscalerContext(
            make_cluster(),
            cloud,
            clock or ManualClock(),
            7,
            proven if callable(proven) else lambda: proven,
            FleetSettings(),
            WorkerSettings(),
        ),
        MachineSupply(lambda: types, ["a"], soonest),
        WorkerConnections(None, lambda address, incarnation: None, 4),
        lambda: None,
    )


def test_machines_stand_ready_only_where_work_must_start_sooner_than_one_boots():
    assert manager(seconds(4)).needs_headroom
    assert not manager(seconds(50)).needs_headroom and not manager(None).needs_headroom


@pytest.mark.parametrize("proven", [True, False])
def test_nothing_is_rented_or_given_back_without_a_term(proven):
    """The cloud does what anybody asks, a leader of long ago too."""
    clock, cloud = ManualClock(), RecordingCloud()
    fleet = manager(None, proven, cloud, clock)
    fleet._cluster.machines["n-1"] = Machine("n-1", "", "s", "a", True, last_heartbeat_at=seconds(0))
    fleet.on_plan(Plan(unplaced=[UnplacedDemand(job("job-1", 4.0), 1, False)]))
    clock.advance(seconds(60))
    fleet.start()
    clock.advance(seconds(2))
    assert cloud.asked == ([["n-2"], ["n-1"], "rent"] if proven else [])


class HttpStandIn:
    """Takes each request down and answers nothing of use."""

    def __init__(self):
        self.asked = []

    async def request(self, method, address, path, body=None, timeout=None):
        self.asked.append(path)
        return ClientResponse(200, b"{}")


def test_a_request_that_waited_for_its_turn_is_not_sent_once_its_term_is_not_proven():
    clock, http = ManualClock(), HttpStandIn()
    cloud = CloudClient(http, "x:1", clock, 1.0, seconds(4))
    proven, ended = [True], []

    def release():
        waiter = ensureDeferred(cloud.terminate(["n-1"], lambda: proven[0]))
        waiter.addErrback(lambda failure: ended.append(failure.type))

    release()
    assert len(http.asked) == 1
    # The second one has to wait for the rate, and the leader stands still meanwhile.
    release()
    proven[0] = False
    clock.advance(seconds(5))
    assert len(http.asked) == 1 and ended == [LeadershipUnprovenError]


def test_a_release_or_rental_without_an_answer_is_not_tried_again_without_a_term():
    """A leader that stood still between two tries gave back what its successor used."""

    class SilentCloud(RecordingCloud):
        async def provision(self, rent, allowed):
            await self._try("rent", allowed)

        async def terminate(self, names, allowed):
            await self._try("release", allowed)

        async def _try(self, what, allowed):
            if not allowed():
                raise LeadershipUnprovenError
            self.asked.append(what)
            await sleep(clock, seconds(4))
            raise CloudTimeoutError

        async def list_machines(self):
            return []

    clock, cloud, proven = ManualClock(), SilentCloud(), [True]
    fleet = manager(None, lambda: proven[0], cloud, clock)
    fleet._cluster.machines["n-1"] = Machine("n-1", "", "s", "a", True, last_heartbeat_at=seconds(0))
    fleet.on_plan(Plan(unplaced=[UnplacedDemand(job("job-1", 4.0), 1, False)]))
    clock.advance(seconds(60))
    fleet.start()
    clock.advance(seconds(1))
    assert sorted(cloud.asked) == ["release", "rent"]
    proven[0] = False
    clock.advance(seconds(70))
    assert sorted(cloud.asked) == ["release", "rent"]
    # It leads after all, so the machine is given back.
    proven[0] = True
    clock.advance(seconds(2))
    assert cloud.asked.count("release") == 2
    fleet.stop()


def test_only_so_many_ordinary_machines_are_rented_as_the_first_tasks_of_overdue_jobs_fill():
    may_use_on_demand = [offer for offer in OFFERS if not offer.spot]
    first = UnplacedDemand(job("job-1", 8.0), 2, False, may_use_on_demand=True)
    rest = UnplacedDemand(job("job-1", 8.0), 6, False)
    assert rent([first, rest], offers=may_use_on_demand, overdue=frozenset()) == [("s", False, 2)]
    # They are on their way: no more are rented in the next pass.
    coming = [FreeCapacity("s", "a", False, 8.0, 0.0, 32.0)] * 2
    assert rent([first, rest], coming, offers=may_use_on_demand, overdue=frozenset()) == []


def test_a_release_that_breaks_is_tried_again():
    """Its machines were neither used nor given back for as long as this node led."""

    class BreaksOnce(RecordingCloud):
        async def terminate(self, names, allowed):
            self.asked.append(names)
            if len(self.asked) == 1:
                raise ValueError("once")

        async def list_machines(self):
            return []

    clock, cloud = ManualClock(), BreaksOnce()
    fleet = manager(None, True, cloud, clock)
    fleet._cluster.machines["n-1"] = Machine("n-1", "", "s", "a", True, last_heartbeat_at=seconds(0))
    clock.advance(seconds(60))
    fleet.start()
    clock.advance(seconds(3))
    fleet.stop()
    assert cloud.asked == [["n-1"], ["n-1"]]
    assert "n-1" in fleet._cluster.terminated
