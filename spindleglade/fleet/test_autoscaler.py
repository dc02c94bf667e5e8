"""Tests which machines the autoscaler provisions and terminates, and when, with a fake cloud."""

import pytest

from spindleglade.backfill.plan import Plan, UnplacedDemand
from spindleglade.backfill.test_planner import job
from spindleglade.fleet.autoscaler import Autoscaler
from spindleglade.fleet.errors import CloudTimeoutError, InsufficientCapacityError, LeadershipUnprovenError
from spindleglade.fleet.messages import ListedMachine, MachineType
from spindleglade.fleet.parameters import AutoscalerContext, MachineSupply, WorkerConnections
from spindleglade.fleet.test_provisioning import TEAMS
from spindleglade.runtime.clock import ManualClock, seconds, sleep
from spindleglade.settings.operator import FleetSettings, WorkerSettings
from spindleglade.workers.machines import Machine
from tests.cluster_harness import make_cluster


class RecordingCloud:
    """Records requests. It provisions no machines and lists one machine, which has failed."""

    def __init__(self):
        self.requests = []

    async def provision(self, request, allowed):
        self.requests.append("provision")
        return []

    async def terminate(self, names, allowed):
        self.requests.append(names)

    async def list_machines(self):
        return [ListedMachine("n-2", "x:2", "s", "a", True, "failed", 9.0)]


def make_context(proven=True, cloud=None, clock=None):
    """The context of an autoscaler. `proven` is the proof of leadership, or a function that returns it."""
    return AutoscalerContext(
        make_cluster(),
        cloud,
        clock or ManualClock(),
        7,
        proven if callable(proven) else lambda: proven,
        FleetSettings(),
        WorkerSettings(),
    )


def make_autoscaler(min_start_objective, proven=True, cloud=None, clock=None):
    """An autoscaler for one machine type, without connections to workers."""
    types = [MachineType("s", 8.0, 32.0, 1.0, 0.3, 20.0, 50.0, 0.25, 0.0, ["a"])]
    return Autoscaler(
        make_context(proven, cloud, clock),
        MachineSupply(lambda: types, ["a"], min_start_objective),
        WorkerConnections(None, lambda address, incarnation: None, 4),
        lambda: None,
    )


def plan_with_unplaced_job(**changes):
    return Plan(unplaced=[UnplacedDemand(job("job-1", 4.0, **changes), 1, False)])


def test_the_backoff_from_a_pool_ends_when_a_machine_of_it_is_terminated():
    """A termination frees no capacity of other pools, so it must not end their backoff."""

    class FullCloud(RecordingCloud):
        async def provision(self, request, allowed):
            self.requests.append(("provision", clock.now()))
            raise InsufficientCapacityError

        async def terminate(self, names, allowed):
            self.requests.append(("terminate", clock.now()))

        async def list_machines(self):
            return []

    def requests_after_termination(spot):
        """The requests within half a second after the termination of an idle machine."""
        autoscaler = make_autoscaler(None, True, cloud, clock)
        machine = Machine("n-1", "", "s", "a", spot, last_heartbeat_at=clock.now())
        autoscaler._cluster.machines["n-1"] = machine
        autoscaler.on_plan(plan_with_unplaced_job())
        autoscaler.start()
        for _ in range(40):
            clock.advance(seconds(0.5))
        autoscaler.stop()
        (terminated_at,) = [at for operation, at in cloud.requests if operation == "terminate"]
        return [
            operation
            for operation, at in cloud.requests
            if terminated_at <= at <= terminated_at + seconds(0.5)
        ]

    clock, cloud = ManualClock(), FullCloud()
    assert requests_after_termination(spot=True) == ["terminate", "provision"]
    clock, cloud = ManualClock(), FullCloud()
    assert requests_after_termination(spot=False) == ["terminate"]


def test_a_machine_adopted_as_running_counts_as_capacity_only_for_a_while():
    """An outdated machine list still contains machines that the previous leader has terminated."""

    class StaleListCloud(RecordingCloud):
        async def list_machines(self):
            return [ListedMachine("n-1", "x:1", "s", "a", True, state, 9.0)]

    def first_provisioning_at():
        """When the first machine is requested; None if none is within 30 seconds."""
        clock, cloud = ManualClock(), StaleListCloud()
        autoscaler = make_autoscaler(None, True, cloud, clock)
        autoscaler.start()
        for _ in range(60):
            autoscaler.on_plan(plan_with_unplaced_job())
            clock.advance(seconds(0.5))
            if "provision" in cloud.requests:
                return clock.now()
        return None

    state = "running"
    assert seconds(10) < first_provisioning_at() < seconds(13)
    state = "starting"
    assert first_provisioning_at() is None


def test_no_on_demand_machine_is_provisioned_for_best_effort_work_however_long_it_waits():
    class NoSpotCloud(RecordingCloud):
        async def provision(self, request, allowed):
            self.requests.append(request.spot)
            if request.spot:
                raise InsufficientCapacityError
            return []

        async def list_machines(self):
            return []

    def requested_spot(team, rank):
        """The values of `spot` in the requests for a job that waits for more than ten minutes."""
        clock, cloud = ManualClock(), NoSpotCloud()
        autoscaler = make_autoscaler(None, True, cloud, clock)
        autoscaler._cluster.teams = TEAMS
        autoscaler.start()
        for _ in range(70):
            autoscaler.on_plan(plan_with_unplaced_job(team=team, rank=rank))
            clock.advance(seconds(10))
        return set(cloud.requests)

    assert requested_spot("guest", 0) == {True}
    assert requested_spot("guest", 1) == requested_spot("t", 0) == {True, False}


def test_headroom_is_needed_only_where_work_must_start_sooner_than_a_machine_boots():
    assert make_autoscaler(seconds(4)).needs_headroom
    assert not make_autoscaler(seconds(50)).needs_headroom and not make_autoscaler(None).needs_headroom


@pytest.mark.parametrize("proven", [True, False])
def test_nothing_is_provisioned_or_terminated_while_leadership_is_unproven(proven):
    """The cloud does not check fencing tokens, so it would obey a former leader too."""
    clock, cloud = ManualClock(), RecordingCloud()
    autoscaler = make_autoscaler(None, proven, cloud, clock)
    autoscaler._cluster.machines["n-1"] = Machine("n-1", "", "s", "a", True, last_heartbeat_at=seconds(0))
    autoscaler.on_plan(plan_with_unplaced_job())
    clock.advance(seconds(60))
    autoscaler.start()
    clock.advance(seconds(2))
    assert cloud.requests == ([["n-2"], ["n-1"], "provision"] if proven else [])


def test_an_unanswered_request_is_not_retried_while_leadership_is_unproven():
    """A leader that was suspended between two attempts would terminate machines that its successor uses."""

    class UnresponsiveCloud(RecordingCloud):
        async def provision(self, request, allowed):
            await self._record("provision", allowed)

        async def terminate(self, names, allowed):
            await self._record("terminate", allowed)

        async def _record(self, operation, allowed):
            if not allowed():
                raise LeadershipUnprovenError
            self.requests.append(operation)
            await sleep(clock, seconds(4))
            raise CloudTimeoutError

        async def list_machines(self):
            return []

    clock, cloud, proven = ManualClock(), UnresponsiveCloud(), [True]
    autoscaler = make_autoscaler(None, lambda: proven[0], cloud, clock)
    autoscaler._cluster.machines["n-1"] = Machine("n-1", "", "s", "a", True, last_heartbeat_at=seconds(0))
    autoscaler.on_plan(plan_with_unplaced_job())
    clock.advance(seconds(60))
    autoscaler.start()
    clock.advance(seconds(1))
    assert sorted(cloud.requests) == ["provision", "terminate"]
    proven[0] = False
    clock.advance(seconds(70))
    assert sorted(cloud.requests) == ["provision", "terminate"]
    # Leadership is proven again, so the termination is retried.
    proven[0] = True
    clock.advance(seconds(2))
    assert cloud.requests.count("terminate") == 2
    autoscaler.stop()


def test_a_termination_that_fails_unexpectedly_is_retried():
    """Without a retry, the machines are neither used nor terminated as long as this controller leads."""

    class FailsOnceCloud(RecordingCloud):
        async def terminate(self, names, allowed):
            self.requests.append(names)
            if len(self.requests) == 1:
                raise ValueError("first termination fails")

        async def list_machines(self):
            return []

    clock, cloud = ManualClock(), FailsOnceCloud()
    autoscaler = make_autoscaler(None, True, cloud, clock)
    autoscaler._cluster.machines["n-1"] = Machine("n-1", "", "s", "a", True, last_heartbeat_at=seconds(0))
    clock.advance(seconds(60))
    autoscaler.start()
    clock.advance(seconds(3))
    autoscaler.stop()
    assert cloud.requests == [["n-1"], ["n-1"]]
    assert "n-1" in autoscaler._cluster.terminated
