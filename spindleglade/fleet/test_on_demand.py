"""When on-demand machines are provisioned for work that may use spot machines."""

from dataclasses import replace

import pytest

from spindleglade.backfill.plan import UnplacedDemand
from spindleglade.backfill.test_planner import job
from spindleglade.fleet.on_demand import OnDemandPolicy
from spindleglade.runtime.clock import seconds
from spindleglade.settings import Team
from spindleglade.settings.operator import FleetSettings

SETTINGS = FleetSettings()
TEAMS = {"t": Team("t", 8.0, 64.0), "guest": Team("guest", 0.0, 64.0)}
LONG, NO_SPOT = seconds(SETTINGS.on_demand_delay_s), seconds(SETTINGS.no_spot_delay_s)
START = seconds(100)


def waiting(work=None):
    return UnplacedDemand(work or job("job-1", 4.0), 3, False)


def allowed_after(wait, demand=None, has_spot_machines=True, begun=False):
    """Whether on-demand machines may be provisioned after so long a wait, looked at twice a second."""
    demand = demand or waiting()
    policy, now = OnDemandPolicy(SETTINGS), START
    while True:
        policy.observe_demand([demand], TEAMS, now)
        (found,) = policy.allow([demand], lambda name: begun, has_spot_machines, now)
        if now - START >= wait:
            return found.may_use_on_demand
        now += seconds(0.5)


def test_a_job_that_has_waited_long_may_use_on_demand_machines():
    assert not allowed_after(LONG - seconds(1))
    assert allowed_after(LONG)


def test_without_any_spot_machine_a_job_waits_only_shortly():
    """There may be no spot capacity for a whole day."""
    assert not allowed_after(NO_SPOT - seconds(1), has_spot_machines=False)
    assert allowed_after(NO_SPOT, has_spot_machines=False)


def test_the_wait_without_spot_machines_counts_from_the_last_one():
    policy, demand, now = OnDemandPolicy(SETTINGS), waiting(), START + NO_SPOT * 2
    policy.observe_demand([demand], TEAMS, START)
    for has_spot_machines, at, expected in [
        (True, now, False),
        (False, now + seconds(1), False),
        (False, now + seconds(1) + NO_SPOT, True),
        (True, now + seconds(2) + NO_SPOT, False),
        (False, now + seconds(3) + NO_SPOT, False),
    ]:
        (found,) = policy.allow([demand], lambda name: False, has_spot_machines, at)
        assert found.may_use_on_demand == expected


def test_only_the_first_tasks_of_an_overdue_job_without_a_start_may_use_them_at_once():
    overdue = waiting(replace(job("job-1", 4.0), is_overdue=True))
    assert allowed_after(seconds(0), overdue)
    assert not allowed_after(seconds(0), overdue, begun=True)
    assert not allowed_after(seconds(0), waiting(replace(overdue.job, is_probe=True)))
    assert not allowed_after(seconds(0), waiting())


@pytest.mark.parametrize("has_spot_machines", [True, False])
def test_best_effort_work_never_uses_them(has_spot_machines):
    best_effort = replace(job("job-1", 4.0, team="guest", rank=0), is_overdue=True)
    assert not allowed_after(LONG * 2, waiting(best_effort), has_spot_machines)


def test_a_job_that_was_placed_in_between_waits_anew():
    policy, demand = OnDemandPolicy(SETTINGS), waiting()
    policy.observe_demand([demand], TEAMS, START)
    policy.observe_demand([], TEAMS, START + LONG / 2)
    policy.observe_demand([demand], TEAMS, START + LONG)
    (found,) = policy.allow([demand], lambda name: False, True, START + LONG + seconds(1))
    assert not found.may_use_on_demand
