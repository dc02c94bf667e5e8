"""When ordinary machines are rented for work that may use spot ones."""

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
LONG, NO_SPOT = seconds(SETTINGS.ordinary_wait_s), seconds(SETTINGS.no_spot_wait_s)
START = seconds(100)


def waiting(work=None):
    return UnplacedDemand(work or job("job-1", 4.0), 3, False)


def allowed_after(wait, entry=None, spot_there=True, begun=False):
    """Whether ordinary machines may be rented for work that has waited so long, looked at twice a second."""
    entry = entry or waiting()
    policy, now = OnDemandPolicy(SETTINGS), START
    while True:
        policy.observe_demand([entry], TEAMS, now)
        (found,) = policy.allow([entry], lambda name: begun, spot_there, now)
        if now - START >= wait:
            return found.may_use_on_demand
        now += seconds(0.5)


def test_a_job_that_has_waited_long_gets_ordinary_machines():
    assert not allowed_after(LONG - seconds(1))
    assert allowed_after(LONG)


def test_without_any_spot_machine_a_job_need_not_wait_long():
    """For a whole day none was to be had, and nothing was started."""
    assert not allowed_after(NO_SPOT - seconds(1), spot_there=False)
    assert allowed_after(NO_SPOT, spot_there=False)


def test_the_lack_of_spot_machines_is_waited_out_from_its_beginning():
    policy, entry, now = OnDemandPolicy(SETTINGS), waiting(), START + NO_SPOT * 2
    policy.observe_demand([entry], TEAMS, START)
    for spot_there, at, expected in [
        (True, now, False),
        (False, now + seconds(1), False),
        (False, now + seconds(1) + NO_SPOT, True),
        (True, now + seconds(2) + NO_SPOT, False),
        (False, now + seconds(3) + NO_SPOT, False),
    ]:
        (found,) = policy.allow([entry], lambda name: False, spot_there, at)
        assert found.may_use_on_demand == expected


def test_only_the_first_tasks_of_an_overdue_job_without_a_start_get_them_at_once():
    is_overdue = waiting(replace(job("job-1", 4.0), is_overdue=True))
    assert allowed_after(seconds(0), is_overdue)
    assert not allowed_after(seconds(0), is_overdue, begun=True)
    assert not allowed_after(seconds(0), waiting(replace(is_overdue.job, is_probe=True)))
    assert not allowed_after(seconds(0), waiting())


@pytest.mark.parametrize("spot_there", [True, False])
def test_idle_time_work_gets_none_however_long_it_waits(spot_there):
    idle = replace(job("job-1", 4.0, team="guest", rank=0), is_overdue=True)
    assert not allowed_after(LONG * 2, waiting(idle), spot_there)


def test_a_job_that_found_room_in_between_waits_anew():
    policy, entry = OnDemandPolicy(SETTINGS), waiting()
    policy.observe_demand([entry], TEAMS, START)
    policy.observe_demand([], TEAMS, START + LONG / 2)
    policy.observe_demand([entry], TEAMS, START + LONG)
    (found,) = policy.allow([entry], lambda name: False, True, START + LONG + seconds(1))
    assert not found.may_use_on_demand
