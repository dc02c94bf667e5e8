"""What the log says of why nothing starts."""

import pytest

from spindleglade.backfill.snapshot import Plan, Start
from spindleglade.clock import ManualClock, seconds
from spindleglade.submissions.records import JobRecord
from spindleglade.throttle import Throttle
from spindleglade.workers.attempts import MachineKind
from spindleglade.workers.reasons import Unusable, Waiting
from spindleglade.workers.test_cluster import Harness, spec


def changed(**fields):
    """A change of the one machine."""
    return lambda harness: [setattr(harness.cluster.machines["n-1"], *field) for field in fields.items()]


@pytest.mark.parametrize(
    "change, reason",
    [
        (changed(), None),
        (changed(proven=False), Unusable.TOKEN_NOT_SHOWN),
        (changed(leaves=seconds(9)), Unusable.LEAVES),
        (changed(not_receiving=seconds(9)), Unusable.NOT_RECEIVING),
        (changed(condemned=True), Unusable.CONDEMNED),
        (changed(releasing=True), Unusable.RELEASING),
        (changed(type="other"), Unusable.TYPE_UNKNOWN),
        (changed(heard=seconds(90)), Unusable.SILENT),
        (changed(reported=seconds(90)), Unusable.NOT_RENEWED),
        (changed(full_until=seconds(109)), Unusable.REFUSED_START),
    ],
)
def test_each_reason_for_which_a_machine_gets_no_work_is_told(change, reason):
    harness = Harness()
    harness.report()
    change(harness)
    machine = harness.cluster.machines["n-1"]
    assert harness.cluster.why_unusable(machine, harness.now) is reason
    assert harness.cluster.usable(machine, harness.now) == (reason is None)
    standstill = harness.cluster.standstill(harness.now)
    assert standstill.usable == (reason is None)
    assert dict(standstill.unusable) == ({} if reason is None else {reason: 1})


def test_each_reason_for_which_a_job_waits_is_told():
    harness = Harness()
    cluster = harness.cluster
    cluster.kinds = {"m": MachineKind(64.0, 0.0, 64.0, 50.0, 1.0)}
    harness.report()
    for number, fields in enumerate([{}, {}, {"cpus": 7.0}, {"team": "nobody"}], 2):
        cluster.take_job(JobRecord("open", spec(f"job-{number}", **fields), 1), number)
    cluster.jobs["job-2"].released = False
    cluster.jobs["job-3"].not_before = harness.now + seconds(1)
    cluster.apply(Plan(starts=[Start("job-1", 0, "n-1")]), harness.now)
    expected = {Waiting.DEPENDENCIES: 1, Waiting.PAUSED: 1, Waiting.TEAM_LIMIT: 2, Waiting.NO_ROOM: 1}
    standstill = cluster.standstill(harness.now)
    assert dict(standstill.waiting) == expected
    assert "no room: 1" in str(standstill) and "machines_usable=1" in str(standstill)


def test_without_waiting_work_there_is_nothing_to_tell():
    harness = Harness()
    harness.report()
    harness.cluster.apply(Plan(starts=[Start("job-1", at, "n-1") for at in (0, 1)]), harness.now)
    assert harness.cluster.standstill(harness.now) is None


def test_a_throttle_allows_something_once_in_a_while():
    clock = ManualClock()
    throttle = Throttle(clock, seconds(5))
    allowed = []
    for _ in range(11):
        allowed.append(throttle.allows())
        clock.advance(seconds(1))
    assert [at for at, is_allowed in enumerate(allowed) if is_allowed] == [0, 5, 10]
