"""The reasons why machines are unusable and waiting tasks are not started, as they appear in the log."""

import pytest

from spindleglade.backfill.plan import Placement, Plan
from spindleglade.runtime.clock import ManualClock, seconds
from spindleglade.runtime.log_throttle import LogThrottle
from spindleglade.submissions.records import JobRecord
from spindleglade.workers.machines import MachineTypeCapacity
from spindleglade.workers.reasons import MachineUnusableReason, PendingReason
from tests.cluster_harness import Harness, spec


def set_on_machine(**fields):
    """Returns a function that sets these attributes of the harness's only machine."""
    return lambda harness: [setattr(harness.cluster.machines["n-1"], *field) for field in fields.items()]


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        (set_on_machine(), None),
        (set_on_machine(acknowledged_token=False), MachineUnusableReason.TOKEN_NOT_ACKNOWLEDGED),
        (set_on_machine(terminates_at=seconds(9)), MachineUnusableReason.TERMINATION_ANNOUNCED),
        (set_on_machine(unreachable_since=seconds(9)), MachineUnusableReason.UNREACHABLE),
        (set_on_machine(quarantined=True), MachineUnusableReason.QUARANTINED),
        (set_on_machine(terminating=True), MachineUnusableReason.TERMINATING),
        (set_on_machine(type="other"), MachineUnusableReason.TYPE_UNKNOWN),
        (set_on_machine(last_heartbeat_at=seconds(90)), MachineUnusableReason.SILENT),
        (set_on_machine(last_own_heartbeat_at=seconds(90)), MachineUnusableReason.LEASE_NOT_RENEWED),
        (set_on_machine(refuses_starts_until=seconds(109)), MachineUnusableReason.REFUSED_START),
    ],
)
def test_each_reason_why_a_machine_is_unusable_is_reported(change, reason):
    harness = Harness()
    harness.send_heartbeat()
    change(harness)
    machine = harness.cluster.machines["n-1"]
    assert harness.cluster.unusable_reason(machine, harness.now) is reason
    assert harness.cluster.is_usable(machine, harness.now) == (reason is None)
    stall = harness.cluster.scheduling_stall(harness.now)
    assert stall.usable_machine_count == (reason is None)
    assert dict(stall.unusable_machines) == ({} if reason is None else {reason: 1})


def test_each_reason_why_a_job_is_pending_is_reported():
    harness = Harness()
    cluster = harness.cluster
    cluster.machine_types = {"m": MachineTypeCapacity(64.0, 0.0, 64.0, 50.0, 1.0)}
    harness.send_heartbeat()
    for number, fields in enumerate([{}, {}, {"cpus": 7.0}, {"team": "nobody"}], 2):
        cluster.observe_job(JobRecord("open", spec(f"job-{number}", **fields), 1), number)
    cluster.jobs["job-2"].released = False
    cluster.jobs["job-3"].paused_until = harness.now + seconds(1)
    cluster.apply_plan(Plan(placements=[Placement("job-1", 0, "n-1")]), harness.now)
    expected = {
        PendingReason.DEPENDENCIES: 1,
        PendingReason.PAUSED: 1,
        PendingReason.TEAM_LIMIT: 2,
        PendingReason.NO_CAPACITY: 1,
    }
    stall = cluster.scheduling_stall(harness.now)
    assert dict(stall.pending_jobs) == expected
    assert "no capacity: 1" in str(stall) and "machines_usable=1" in str(stall)


def test_without_waiting_tasks_no_stall_is_reported():
    harness = Harness()
    harness.send_heartbeat()
    harness.cluster.apply_plan(
        Plan(placements=[Placement("job-1", index, "n-1") for index in (0, 1)]), harness.now
    )
    assert harness.cluster.scheduling_stall(harness.now) is None


def test_a_log_throttle_allows_one_line_per_interval():
    clock = ManualClock()
    throttle = LogThrottle(clock, seconds(5))
    allowed = []
    for _ in range(11):
        allowed.append(throttle.allows())
        clock.advance(seconds(1))
    assert [second for second, is_allowed in enumerate(allowed) if is_allowed] == [0, 5, 10]
