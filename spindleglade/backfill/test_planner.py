"""Planning rounds: what they may never do, and the order they keep."""

import math
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from spindleglade.backfill.distributions import Bins, Predictor
from spindleglade.backfill.planner import Planner, run_pass
from spindleglade.backfill.planning_state import PlanningState
from spindleglade.backfill.preemption import PreemptionMode, PreemptionPolicy
from spindleglade.backfill.reservation import Reservation
from spindleglade.backfill.snapshot import JobView, MachineView, RunningTask, Snapshot
from spindleglade.runtime.clock import seconds
from spindleglade.settings import Team

NOW = seconds(1000)
TEAMS = {
    "t": Team("t", 16.0, 64.0),
    "u": Team("u", 8.0, 12.0),
    # Neither a guarantee nor a limit.
    "guest": Team("guest", 0.0, math.inf, 0.0, math.inf),
}


def job(id, cpus=2.0, waiting=1, team="t", estimate=10.0, rank=1, **fields):
    given = {
        "job_class": "c",
        "memory": 1.0,
        "gpus": 0.0,
        "image": "i",
        "image_gb": 1.0,
        "types": None,
        "zone": None,
        "one_zone": False,
        "spread": False,
        "spot": True,
    } | fields
    return JobView(
        id=id,
        team=team,
        rank=rank,
        waiting_tasks=list(range(waiting)),
        task_count=waiting,
        cpus=cpus,
        estimate=seconds(estimate),
        **given,
    )


def machine(name, tasks=(), cpus=8.0, **fields):
    given = {"type": "m", "zone": "a", "spot": False} | fields
    return MachineView(
        name=name, cpus=cpus, gpus=0.0, memory=32.0, fetch_gb_per_s=1.0, tasks=list(tasks), **given
    )


def running(cpus=8.0, elapsed=0.0, estimate=10.0, team="t", rank=1):
    return RunningTask("job-0", 0, team, rank, cpus, 0.0, 1.0, seconds(estimate), NOW - seconds(elapsed))


def plan(jobs, machines, tau=0.05, predictor=None, preempt="none", ordinary_first=False):
    predictor = predictor or Predictor(Bins(seconds(1), 1.8), 3, 100)
    return Planner(tau, preempt).plan(Snapshot(jobs, machines, TEAMS, predictor, NOW, ordinary_first))


def started(result):
    return [(start.job, start.machine) for start in result.placements]


def test_jobs_start_in_submission_order():
    result = plan([job("job-1", 8.0), job("job-2", 8.0)], [machine("n-1")])
    assert started(result) == [("job-1", "n-1")] and result.reserved_job == "job-2"


def test_a_short_job_passes_the_head_and_a_long_one_does_not():
    """Head needs a whole machine; one frees its 8 CPUs in 10 s, the other has 4 CPUs free beside a task that
    ends in 5 s. By estimates, what ends after 5 s there would delay the head."""

    def machines():
        return [machine("n-1", [running(8.0)]), machine("n-2", [running(4.0, estimate=5.0)])]

    head = job("job-1", 8.0)
    assert started(plan([head, job("job-2", 4.0, estimate=4.0)], machines())) == [("job-2", "n-2")]
    assert started(plan([head, job("job-2", 4.0, estimate=6.0)], machines())) == []


def test_tau_decides_by_the_distribution_not_by_the_estimate():
    """Nine of ten runs of the team are short: the chance that a candidate outlasts the task beside it is
    weighed against tau, whatever its owner's estimate says."""
    predictor = Predictor(Bins(seconds(1), 1.8), 10, 1000)
    for run in [1.5] * 180 + [60.0] * 20:
        predictor.add("u", seconds(run))

    def round(tau):
        busy = [machine("n-1", [running(4.0, estimate=5.0)])]
        jobs = [job("job-1", 8.0), job("job-2", 4.0, team="u", estimate=100.0)]
        return started(plan(jobs, busy, tau, predictor))

    assert round(0.2) == [("job-2", "n-1")]
    assert round(0.05) == []


def test_a_job_held_by_its_teams_limit_takes_no_reservation():
    result = plan(
        [job("job-1", 8.0, waiting=2, team="u"), job("job-2", 8.0, estimate=1000.0)],
        [machine("n-1"), machine("n-2")],
    )
    assert started(result) == [("job-1", "n-1"), ("job-2", "n-2")] and result.reserved_job is None
    assert not result.unplaced


def test_a_team_without_guarantee_and_limit_gets_what_is_free():
    result = plan([job("job-1", 4.0, waiting=9, team="guest", rank=0)], [machine("n-1"), machine("n-2")])
    assert len(result.placements) == 4
    assert [(unplaced.count, unplaced.within_guarantee) for unplaced in result.unplaced] == [(5, False)]


def test_like_tasks_are_refused_as_a_class():
    machines = [machine("n-1", [running(4.0, estimate=5.0)])]
    jobs = [job("job-1", 8.0)] + [job(f"job-{at}", 1.0, waiting=50, estimate=99.0) for at in range(2, 200)]
    result = plan(jobs, machines)
    assert not result.placements and result.delay_checks == 1


def test_a_higher_priority_is_not_held_back_by_a_lower_ones_reservation():
    machines = [machine("n-1", [running(4.0, estimate=5.0)])]
    result = plan([job("job-1", 8.0), job("job-2", 4.0, estimate=99.0, rank=2)], machines)
    assert started(result) == [("job-2", "n-1")]


def test_a_whole_job_starts_whole_or_not_at_all():
    whole = {"is_gang": True}
    assert not plan([job("job-1", 8.0, waiting=3, **whole)], [machine("n-1"), machine("n-2")]).placements
    result = plan([job("job-1", 4.0, waiting=3, **whole)], [machine("n-1"), machine("n-2")])
    assert len(result.placements) == 3


jobs = st.lists(
    st.builds(
        job,
        st.integers(1, 10**6).map("job-{}".format),
        st.sampled_from([1.0, 3.0, 8.0]),
        st.integers(1, 6),
        st.sampled_from(["t", "u"]),
        st.floats(0, 100),
        st.integers(0, 3),
        zone=st.sampled_from([None, "a", "b"]),
        types=st.sampled_from([None, frozenset(["m"]), frozenset(["x"])]),
        one_zone=st.booleans(),
        spot=st.booleans(),
    ),
    max_size=8,
    unique_by=lambda made: made.id,
)
machines = st.lists(
    st.tuples(
        st.sampled_from(["a", "b"]), st.booleans(), st.sampled_from([[], [4.0], [1.0, 1.0]]), st.booleans()
    ),
    max_size=6,
)


@given(jobs, machines)
def test_no_plan_breaks_a_limit_or_a_place(jobs, shapes):
    views = [
        machine(f"n-{at}", [running(c) for c in held], zone=zone, spot=spot, is_usable=open)
        for at, (zone, spot, held, open) in enumerate(shapes)
    ]
    held = {view.name: sum(task.cpus for task in view.tasks) for view in views}
    closed = {view.name for view in views if not view.is_usable}
    used = {"t": sum(held.values()), "u": 0.0}
    by_name, by_id = {view.name: view for view in views}, {made.id: made for made in jobs}
    result = plan(jobs, views)
    assert len({(start.job, start.index) for start in result.placements}) == len(result.placements)
    zones: dict[str, set[str]] = {}
    for start in result.placements:
        made, view = by_id[start.job], by_name[start.machine]
        assert start.index in made.waiting_tasks and view.name not in closed
        held[view.name] += made.cpus
        used[made.team] += made.cpus
        assert made.zone in (None, view.zone) and (made.spot or not view.spot)
        assert made.types is None or view.type in made.types
        zones.setdefault(made.id, set()).add(view.zone)
        assert not made.one_zone or len(zones[made.id]) == 1
    assert all(cpus <= 8.0 for cpus in held.values())
    assert used["u"] <= 12.0 and (
        used["t"] <= 64.0 or not any(by_id[s.job].team == "t" for s in result.placements)
    )


@given(jobs, machines)
def test_like_tasks_go_where_they_would_go_one_by_one(jobs, shapes):
    """The simple way, for the queue up to the first job that does not fit: each task to the machine where it
    runs soonest, the fullest of those."""
    jobs = [made for made in jobs if made.cpus <= 8.0]
    views = [
        machine(f"n-{at}", [running(c) for c in held], zone=zone, spot=spot, is_usable=open)
        for at, (zone, spot, held, open) in enumerate(shapes)
    ]
    for at, view in enumerate(views):
        (view.images if at % 3 == 0 else view.fetching).add("i" if at % 2 else "other")
    free = {view.name: view.free_cpus for view in views}
    fetching = {view.name: set(view.fetching) for view in views}
    used = {"t": sum(view.cpus - view.free_cpus for view in views), "u": 0.0}
    zones: dict[str, str] = {}
    expected: list[tuple[str, str]] = []
    blocked = False
    for made in sorted(jobs, key=lambda made: -made.rank):
        for _ in made.waiting_tasks:
            if used[made.team] + made.cpus > TEAMS[made.team].cpus_max + 1e-6:
                break
            able = []
            for view in views:
                fits = free[view.name] >= made.cpus and view.is_usable
                here = made.zone in (None, view.zone) and (made.spot or not view.spot)
                here = here and (made.types is None or view.type in made.types)
                if fits and here and (not made.one_zone or zones.get(made.id, view.zone) == view.zone):
                    others = len(fetching[view.name] | {made.image})
                    fetch = 0 if made.image in view.images else others
                    able.append((fetch, not view.spot, free[view.name], view))
            if not able:
                blocked = True
                break
            best = min(able, key=lambda at: at[:3])[3]
            expected.append((made.id, best.name))
            free[best.name] -= made.cpus
            used[made.team] += made.cpus
            zones.setdefault(made.id, best.zone)
            if made.image not in best.images:
                fetching[best.name].add(made.image)
        if blocked:
            break
    assert started(plan(jobs, views))[: len(expected)] == expected


def starts_after(overdue_at):
    """When a task that needs a whole machine starts beside an endless stream of small ones of a higher
    priority; None if it has not after 200 s."""
    busy = [[] for _ in range(3)]
    reservations, number = [{} for _ in busy], 0
    for second in range(200):
        busy = [[(end, task) for end, task in held if end > second] for held in busy]
        views = []
        for at, held in enumerate(busy):
            view = machine(f"n-{at}", [task for _, task in held])
            view.reserved_capacity = {
                who: count for who, (count, until) in reservations[at].items() if until > second
            }
            views.append(view)
        large = job("job-1", 8.0, estimate=50.0, is_overdue=second >= overdue_at)
        small = job(f"job-{second + 2}", 1.0, waiting=30, estimate=5.0, rank=2)
        result = plan([large, small], views)
        for start in result.placements:
            if start.job == "job-1":
                return second
            number += 1
            busy[int(start.machine[2:])].append((second + 2 + number % 7, running(1.0, estimate=5.0, rank=2)))
        for name, who, count in result.reserved_capacity:
            reservations[int(name[2:])][who] = (count, second + 10)
    return None


def test_a_large_task_is_not_starved_by_an_endless_stream_of_small_ones():
    # Once it is overdue, what frees on one machine is held for it; without that it waits for ever.
    assert starts_after(1000) is None
    assert starts_after(60) in range(60, 75)


def test_an_overdue_job_is_not_starved_by_its_own_teams_small_ones():
    """The team "u" is at its limit of 12 CPUs. Each round one CPU of it comes free, and small tasks of high
    priority wait for it; without what is kept for the overdue job it never gets its four."""

    def rounds(is_overdue):
        small = 12
        for number in range(8):
            small -= 1
            views = [machine("n-1", [running(1.0, team="u") for _ in range(small)], cpus=64.0)]
            jobs = [
                job("job-1", 4.0, waiting=9, team="u", is_overdue=is_overdue),
                job("job-2", 1.0, waiting=9, team="u", rank=2),
                job("job-3", 1.0, team="t"),
            ]
            made = [name for name, _ in started(plan(jobs, views))]
            assert "job-3" in made
            if "job-1" in made:
                return number
            small += made.count("job-2")
        return None

    assert rounds(False) is None
    assert rounds(True) == 3


def test_among_equals_the_preferred_kind_of_machine_is_used_first():
    """Ordinary machines that work was spread over stood half empty at four times the price."""
    views = [machine("n-1"), machine("n-2", spot=True)]
    predictor = Predictor(Bins(seconds(1), 1.8), 3, 100)
    for ordinary_first, name in ((False, "n-2"), (True, "n-1")):
        snapshot = Snapshot([job("job-1")], views, TEAMS, predictor, NOW, ordinary_first)
        assert started(Planner(0.05).plan(snapshot)) == [("job-1", name)]


def test_only_some_tasks_of_an_overdue_job_go_first():
    """With all of them, normal work that was late starved high-priority work: 43% of it in time, not 92%."""
    late, high = job("job-1", 1.0, waiting=16, is_overdue=True), job("job-2", 1.0, waiting=4, rank=2)
    result = started(plan([late, high], [machine("n-1")]))
    assert [made for made, _ in result] == ["job-1"] * 2 + ["job-2"] * 4 + ["job-1"] * 2


def test_a_trial_reserves_and_rents_nothing_unless_it_is_overdue_or_has_no_place():
    """A job that had failed on two machines by bad luck waited two minutes for one that it fits."""

    def result(cpus=8.0, **fields):
        return plan([job("job-1", cpus, is_probe=True, **fields)], [machine("n-1", [running(4.0)])])

    assert result().reserved_job is None and not result().unplaced
    for unlike in (result(is_overdue=True), result(cpus=9.0), result(zone="b")):
        assert unlike.reserved_job == "job-1" and [unplaced.count for unplaced in unlike.unplaced] == [1]


def test_nothing_outranks_the_reservation_of_an_overdue_job():
    machines = [machine("n-1", [running(4.0, estimate=5.0)])]
    high = job("job-2", 4.0, estimate=99.0, rank=2)
    assert not plan([job("job-1", 8.0, is_overdue=True), high], machines).placements


def test_the_clock_is_not_asked():
    """Planning is a function of its snapshot: the same one gives the same plan."""

    def once():
        return plan([job("job-1", 2.0, waiting=5), job("job-2", 8.0)], [machine("n-1"), machine("n-2")])

    assert once().placements == once().placements


def stopped(result):
    return [(stop.machine, stop.beneficiary) for stop in result.preemptions]


def test_running_work_is_stopped_only_where_it_is_switched_on():
    def views():
        return [machine("n-1", [running(8.0, rank=1)])]

    high = job("job-1", 4.0, rank=2)
    assert not plan([high], views()).preemptions
    assert stopped(plan([job("job-1", 4.0, rank=2)], views(), preempt="all")) == [("n-1", "job-1")]
    assert not plan([job("job-1", 4.0, rank=1)], views(), preempt="all").preemptions


def test_only_work_that_can_save_and_has_run_for_a_while_is_stopped():
    """Stopping whatever ranked lower lost 733 tasks in a day; what can save loses some seconds."""

    def stops(**fields):
        views = [machine("n-1", [replace(running(8.0, elapsed=60.0), **fields)])]
        return stopped(plan([job("job-1", 2.0, rank=2)], views, preempt="saving"))

    saved = seconds(4)
    assert stops(max_loss=saved) == [("n-1", "job-1")]
    assert stops() == [] and stops(max_loss=saved, rank=2) == []
    assert (
        stops(max_loss=saved, running_since=None) == []
        and stops(max_loss=saved, running_since=NOW - seconds(5)) == []
    )


@pytest.mark.parametrize(
    "fields", [{}, {"running_since": None}, {"running_since": NOW - seconds(5), "max_loss": seconds(4)}]
)
def test_idle_time_work_gives_its_room_back_at_once(fields):
    """What cannot save, fetches its image or has just started kept a job of 16 CPUs waiting for 20 s more."""

    def stops(team, rank):
        views = [machine("n-1", [replace(running(8.0, elapsed=60.0, team=team, rank=rank), **fields)])]
        return stopped(plan([job("job-1", 2.0, rank=1)], views, preempt="saving"))

    assert stops("guest", 0) == [("n-1", "job-1")]
    assert stops("guest", 1) == [] and stops("t", 0) == []
    # Started because its job had waited too long: taken back at once it would never begin.
    fields["started_overdue"] = True
    assert stops("guest", 0) == []


def test_idle_time_work_leaves_the_room_that_is_kept_up_for_guarantees():
    """It filled that room, and each urgent start waited until something had been stopped for it."""

    def result(ready, empty=2, **fields):
        guest = job("job-1", 2.0, waiting=20, **({"team": "guest", "rank": 0} | fields))
        # Of the guarantees, 16 and 8 CPUs, 14 are in use: 10 may be claimed.
        views = [machine("n-0", [running(6.0)], cpus=6.0), machine("n-1", [running(8.0, team="u")])]
        views += [machine(f"n-{at + 2}") for at in range(empty)]
        found = plan([guest], views, ordinary_first=ready)
        return len(found.placements), [unplaced.count for unplaced in found.unplaced]

    assert result(True) == (3, [17]) and result(True, empty=1) == (0, [20])
    # Where no machine need stand ready; work that is owed a start; what others may not claim from.
    assert result(False) == (8, [12])
    assert result(True, empty=1, is_overdue=True)[0] == 2
    assert result(True, rank=1) == (8, [12]) and result(True, team="t") == (8, [12])


class ExhaustivePreemptionPolicy(PreemptionPolicy):
    """The plain form: examines every machine where anything may be preempted."""

    def _promising_machines(self, job):
        eligible = self._state.eligible_machines(job)
        return [row for row in self.candidate_machines if eligible[row]]


@given(
    st.lists(
        st.lists(
            st.tuples(
                st.sampled_from([1.0, 2.0, 4.0]),
                st.integers(0, 2),
                st.sampled_from([None, 0.0, 4.0]),
                st.sampled_from([5.0, 30.0, 90.0]),
                st.booleans(),
            ),
            max_size=3,
        ),
        min_size=1,
        max_size=6,
    ),
    st.lists(st.tuples(st.sampled_from([2.0, 5.0, 8.0]), st.integers(0, 3), st.integers(1, 3)), min_size=1),
    st.sampled_from(["saving", "guarantees", "all"]),
)
def test_only_machines_where_nothing_can_be_gained_are_passed_over(fields, asked, preempt):
    def views():
        return [
            machine(
                f"n-{at}",
                [
                    replace(
                        running(cpus, elapsed=elapsed, rank=rank, team="tu"[rank % 2]),
                        job=f"job-{at}",
                        index=index,
                        max_loss=None if max_loss is None else seconds(max_loss),
                        stopping=stopping,
                    )
                    for index, (cpus, rank, max_loss, elapsed, stopping) in enumerate(tasks)
                ],
            )
            for at, tasks in enumerate(fields)
        ]

    predictor = Predictor(Bins(seconds(1), 1.8), 3, 100)

    def snapshot():
        jobs = [
            job(f"job-{100 + at}", cpus, waiting=waiting, rank=rank)
            for at, (cpus, rank, waiting) in enumerate(asked)
        ]
        return Snapshot(jobs, views(), TEAMS, predictor, NOW)

    def result(policy):
        state = PlanningState(snapshot())
        return run_pass(state, Reservation(state, 0.05), policy(state, PreemptionMode(preempt)))

    plain, faster = result(ExhaustivePreemptionPolicy), result(PreemptionPolicy)
    assert faster.preemptions == plain.preemptions and faster.reserved_capacity == plain.reserved_capacity


def test_one_stop_makes_room_for_all_that_fit():
    for waiting, stops in ((4, 1), (5, 2)):
        views = [
            machine(f"n-{at}", [replace(running(8.0, elapsed=60.0), index=at, max_loss=seconds(4))])
            for at in range(3)
        ]
        high = job("job-1", 2.0, waiting=waiting, rank=2)
        assert len(stopped(plan([high], views, preempt="saving"))) == stops


def test_work_within_a_guarantee_is_not_stopped_by_a_priority_beyond_one():
    """Taken each for itself, the two reasons for stopping work let a high priority beyond its guarantee and a
    normal one within it stop each other for ever; whole days were lost to it."""
    within = [machine("n-1", [running(8.0, team="u")])]
    beyond = [machine("n-2", [running(8.0)], zone="b"), machine("n-3", [running(8.0)], zone="b")]
    high = job("job-1", 4.0, rank=3, zone="a")
    assert not plan([high], within + beyond, preempt="all").preemptions
    # The other way round: a guarantee takes from work beyond one, whatever its priority.
    far = [machine(f"n-{at}", [running(8.0, rank=3)]) for at in range(4)]
    claim = [job("job-1", 4.0, team="u", rank=0)]
    assert len(stopped(plan(claim, far, preempt="guarantees"))) == 1
    # What a team runs within its own guarantee is not taken, nor is work for a priority alone.
    near = [machine(f"n-{at}", [running(8.0, rank=0)]) for at in range(2)]
    assert not plan([job("job-1", 4.0, team="u", rank=3)], near, preempt="guarantees").preemptions
    assert not plan([job("job-1", 4.0, rank=3)], far, preempt="guarantees").preemptions


def test_room_made_for_a_job_is_held_for_it():
    view = machine("n-1", [running(4.0, estimate=5.0)])
    view.reserved_capacity["job-1"] = 1
    result = plan([job("job-1", 8.0, rank=2), job("job-2", 2.0, estimate=1.0)], [view])
    assert not result.placements


def test_the_same_excess_is_not_taken_twice():
    """A stopped task may save for seconds, and until it has, its team seems to hold as much as before; rounds
    that counted it so stopped everything the team had."""
    views = [machine(f"n-{at}", [running(8.0)]) for at in range(3)]
    views[0].tasks[0].stopping = True
    views[0].reserved_capacity["job-1"] = 1
    jobs = [job("job-1", 4.0, team="u"), job("job-2", 4.0, team="u")]
    assert not plan(jobs, views, preempt="guarantees").preemptions
