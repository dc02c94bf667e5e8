"""Snapshots of the cluster state for planning, and the application of plans to it."""

from tests.cluster_harness import POLICY, Harness


def test_a_machine_that_registers_before_its_type_is_known_is_used_once_it_is():
    harness = Harness()
    machine_types, harness.cluster.machine_types = harness.cluster.machine_types, {}
    harness.send_heartbeat()
    (view,) = harness.cluster.snapshot(harness.now).machines
    assert not view.is_usable and view.cpus == 0
    harness.send_heartbeat()
    harness.cluster.set_machine_types(machine_types)
    (view,) = harness.cluster.snapshot(harness.now).machines
    assert view.is_usable and view.free_cpus == 8.0


def test_only_the_placement_that_ends_the_wait_of_an_overdue_job_is_started_overdue():
    harness = Harness()
    harness.send_heartbeat()
    harness.cluster.jobs["job-1"].waiting_since = harness.now - POLICY.overdue_after
    harness.place()
    harness.place(1)
    tasks = {
        task.index: task.started_overdue for task in harness.cluster.snapshot(harness.now).machines[0].tasks
    }
    assert tasks == {0: True, 1: False}
