"""Tests the detection of zones that are partitioned from this controller."""

from spindleglade.fleet.parameters import SilenceLimits
from spindleglade.fleet.state import FleetState
from spindleglade.fleet.test_autoscaler import make_context
from spindleglade.fleet.zone_partitions import ZonePartitionDetector
from spindleglade.runtime.clock import seconds
from spindleglade.workers.machines import Machine


def test_a_zone_is_partitioned_once_most_machines_there_are_silent_and_until_one_is_heard():
    context = make_context()
    limits = SilenceLimits.from_context(context)
    machines, state = context.cluster.machines, FleetState(limits.lease)
    detector = ZonePartitionDetector(context.cluster, state, limits.probe)

    def partitioned_zones(at, **last_heartbeat_at):
        machines.clear()
        for name, heartbeat_s in last_heartbeat_at.items():
            machines[name] = Machine(name, "x:1", "s", "a", True, last_heartbeat_at=seconds(heartbeat_s))
        detector.observe(seconds(at))
        return state.partitioned_zones

    assert partitioned_zones(60, n1=60, n2=60, n3=59, n4=20) == set()
    assert partitioned_zones(70, n1=60, n2=60, n3=60, n4=70) == {"a"}
    assert partitioned_zones(80) == {"a"}
    assert partitioned_zones(90, n5=60) == {"a"}
    assert partitioned_zones(100, n6=99) == set()
