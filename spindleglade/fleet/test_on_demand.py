"""Tests when on-demand machines are provisioned for jobs that may use spot machines."""

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
DELAY, NO_SPOT_DELAY = seconds(SETTINGS.on_demand_delay_s), seconds(SETTINGS.no_spot_delay_s)
START = seconds(100)


def waiting_demand(work=None):
    return UnplacedDemand(work or job("job-1", 4.0), 3, False)


def allowed_after(wait, demand=None, has_spot_machines=True, begun=False):
    """Whether on-demand machines may be provisioned after `wait`, with a planning pass every half second."""
    demand = demand or waiting_demand()
    policy, now = OnDemandPolicy(SETTINGS), START
    while True:
        policy.observe_demand([demand], TEAMS, now)
        (result,) = policy.allow([demand], lambda name: begun, has_spot_machines, now)
        if now - START >= wait:
            return result.may_use_on_demand
        now += seconds(0.5)


def test_a_job_that_has_waited_long_may_use_on_demand_machines():
    assert not allowed_after(DELAY - seconds(1))
    assert allowed_after(DELAY)


def test_without_any_spot_machine_a_job_waits_only_shortly():
    """The cloud may have no spot capacity for a whole day, so the job must not wait for it."""
    assert not allowed_after(NO_SPOT_DELAY - seconds(1), has_spot_machines=False)
    assert allowed_after(NO_SPOT_DELAY, has_spot_machines=False)


def test_the_wait_without_spot_machines_counts_from_the_last_one():
    policy, demand, now = OnDemandPolicy(SETTINGS), waiting_demand(), START + NO_SPOT_DELAY * 2
    policy.observe_demand([demand], TEAMS, START)
    for has_spot_machines, at, expected in [
        (True, now, False),
        (False, now + seconds(1), False),
        (False, now + seconds(1) + NO_SPOT_DELAY, True),
        (True, now + seconds(2) + NO_SPOT_DELAY, False),
        (False, now + seconds(3) + NO_SPOT_DELAY, False),
    ]:
        (result,) = policy.allow([demand], lambda name: False, has_spot_machines, at)
        assert result.may_use_on_demand == expected


def test_only_the_first_tasks_of_an_overdue_job_without_a_start_may_use_on_demand_machines_at_once():
    overdue = waiting_demand(replace(job("job-1", 4.0), is_overdue=True))
    assert allowed_after(seconds(0), overdue)
    assert not allowed_after(seconds(0), overdue, begun=True)
    assert not allowed_after(seconds(0), waiting_demand(replace(overdue.job, is_probe=True)))
    assert not allowed_after(seconds(0), waiting_demand())


@pytest.mark.parametrize("has_spot_machines", [True, False])
def test_best_effort_work_never_uses_on_demand_machines(has_spot_machines):
    best_effort = replace(job("job-1", 4.0, team="guest", rank=0), is_overdue=True)
    assert not allowed_after(DELAY * 2, waiting_demand(best_effort), has_spot_machines)


def test_a_job_that_was_placed_in_between_waits_anew():
    policy, demand = OnDemandPolicy(SETTINGS), waiting_demand()
    policy.observe_demand([demand], TEAMS, START)
    policy.observe_demand([], TEAMS, START + DELAY / 2)
    policy.observe_demand([demand], TEAMS, START + DELAY)
    (result,) = policy.allow([demand], lambda name: False, True, START + DELAY + seconds(1))
    assert not result.may_use_on_demand
