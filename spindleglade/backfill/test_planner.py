"""Planning passes: the order of placements, the reservation, and the limits that every plan keeps."""

import math

from hypothesis import given
from hypothesis import strategies as st

from spindleglade.backfill.distributions import Bins, Predictor
from spindleglade.backfill.planner import Planner
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


def plan(jobs, machines, tau=0.05, predictor=None, preempt="none", prefers_on_demand=False):
    predictor = predictor or Predictor(Bins(seconds(1), 1.8), 3, 100)
    return Planner(tau, preempt).plan(Snapshot(jobs, machines, TEAMS, predictor, NOW, prefers_on_demand))


def started(result):
    return [(placement.job, placement.machine) for placement in result.placements]


def test_jobs_start_in_submission_order():
    result = plan([job("job-1", 8.0), job("job-2", 8.0)], [machine("n-1")])
    assert started(result) == [("job-1", "n-1")] and result.reserved_job == "job-2"


def test_a_short_job_goes_ahead_of_the_reserved_one_and_a_long_one_does_not():
    """The reserved job needs an empty machine; one frees its 8 CPUs in 10 s, the other has 4 CPUs free beside
    a task that ends in 5 s. By estimates, a task that ends after 5 s there would delay the job."""

    def machines():
        return [machine("n-1", [running(8.0)]), machine("n-2", [running(4.0, estimate=5.0)])]

    reserved = job("job-1", 8.0)
    assert started(plan([reserved, job("job-2", 4.0, estimate=4.0)], machines())) == [("job-2", "n-2")]
    assert started(plan([reserved, job("job-2", 4.0, estimate=6.0)], machines())) == []


def test_tau_decides_by_the_distribution_not_by_the_estimate():
    """Nine of ten runs of the team are short: the chance that a candidate outlasts the task beside it is
    compared with tau, whatever its estimate is."""
    predictor = Predictor(Bins(seconds(1), 1.8), 10, 1000)
    for run in [1.5] * 180 + [60.0] * 20:
        predictor.add("u", seconds(run))

    def placements(tau):
        busy = [machine("n-1", [running(4.0, estimate=5.0)])]
        jobs = [job("job-1", 8.0), job("job-2", 4.0, team="u", estimate=100.0)]
        return started(plan(jobs, busy, tau, predictor))

    assert placements(0.2) == [("job-2", "n-1")]
    assert placements(0.05) == []


def test_a_job_delayed_by_its_teams_limit_gets_no_reservation():
    result = plan(
        [job("job-1", 8.0, waiting=2, team="u"), job("job-2", 8.0, estimate=1000.0)],
        [machine("n-1"), machine("n-2")],
    )
    assert started(result) == [("job-1", "n-1"), ("job-2", "n-2")] and result.reserved_job is None
    assert not result.unplaced


def test_a_team_without_guarantee_and_limit_uses_what_is_free():
    result = plan([job("job-1", 4.0, waiting=9, team="guest", rank=0)], [machine("n-1"), machine("n-2")])
    assert len(result.placements) == 4
    assert [(unplaced.count, unplaced.within_guarantee) for unplaced in result.unplaced] == [(5, False)]


def test_equivalent_tasks_are_refused_after_one_check():
    machines = [machine("n-1", [running(4.0, estimate=5.0)])]
    jobs = [job("job-1", 8.0)] + [
        job(f"job-{number}", 1.0, waiting=50, estimate=99.0) for number in range(2, 200)
    ]
    result = plan(jobs, machines)
    assert not result.placements and result.delay_checks == 1


def test_a_higher_priority_ignores_the_reservation_of_a_lower_one():
    machines = [machine("n-1", [running(4.0, estimate=5.0)])]
    result = plan([job("job-1", 8.0), job("job-2", 4.0, estimate=99.0, rank=2)], machines)
    assert started(result) == [("job-2", "n-1")]


def test_a_gang_is_placed_whole_or_not_at_all():
    assert not plan([job("job-1", 8.0, waiting=3, is_gang=True)], [machine("n-1"), machine("n-2")]).placements
    result = plan([job("job-1", 4.0, waiting=3, is_gang=True)], [machine("n-1"), machine("n-2")])
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
    unique_by=lambda view: view.id,
)
machines = st.lists(
    st.tuples(
        st.sampled_from(["a", "b"]), st.booleans(), st.sampled_from([[], [4.0], [1.0, 1.0]]), st.booleans()
    ),
    max_size=6,
)


@given(jobs, machines)
def test_no_plan_exceeds_a_limit_or_uses_an_ineligible_machine(jobs, shapes):
    views = [
        machine(f"n-{number}", [running(cpus) for cpus in task_cpus], zone=zone, spot=spot, is_usable=open)
        for number, (zone, spot, task_cpus, open) in enumerate(shapes)
    ]
    cpus_in_use = {view.name: sum(task.cpus for task in view.tasks) for view in views}
    closed = {view.name for view in views if not view.is_usable}
    used = {"t": sum(cpus_in_use.values()), "u": 0.0}
    by_name, by_id = {view.name: view for view in views}, {waiting.id: waiting for waiting in jobs}
    result = plan(jobs, views)
    assert len({(placement.job, placement.index) for placement in result.placements}) == len(
        result.placements
    )
    zones: dict[str, set[str]] = {}
    for placement in result.placements:
        waiting, view = by_id[placement.job], by_name[placement.machine]
        assert placement.index in waiting.waiting_tasks and view.name not in closed
        cpus_in_use[view.name] += waiting.cpus
        used[waiting.team] += waiting.cpus
        assert waiting.zone in (None, view.zone) and (waiting.spot or not view.spot)
        assert waiting.types is None or view.type in waiting.types
        zones.setdefault(waiting.id, set()).add(view.zone)
        assert not waiting.one_zone or len(zones[waiting.id]) == 1
    assert all(cpus <= 8.0 for cpus in cpus_in_use.values())
    assert used["u"] <= 12.0 and (
        used["t"] <= 64.0 or not any(by_id[start.job].team == "t" for start in result.placements)
    )


@given(jobs, machines)
def test_tasks_placed_together_go_where_they_would_go_one_by_one(jobs, shapes):
    """The plain form, for the queue up to the first job that does not fit: each task goes to the machine
    where it runs soonest, the fullest of those."""
    jobs = [waiting for waiting in jobs if waiting.cpus <= 8.0]
    views = [
        machine(f"n-{number}", [running(cpus) for cpus in task_cpus], zone=zone, spot=spot, is_usable=open)
        for number, (zone, spot, task_cpus, open) in enumerate(shapes)
    ]
    for number, view in enumerate(views):
        (view.images if number % 3 == 0 else view.fetching).add("i" if number % 2 else "other")
    free = {view.name: view.free_cpus for view in views}
    fetching = {view.name: set(view.fetching) for view in views}
    used = {"t": sum(view.cpus - view.free_cpus for view in views), "u": 0.0}
    zones: dict[str, str] = {}
    expected: list[tuple[str, str]] = []
    blocked = False
    for waiting in sorted(jobs, key=lambda waiting: -waiting.rank):
        for _ in waiting.waiting_tasks:
            if used[waiting.team] + waiting.cpus > TEAMS[waiting.team].cpus_max + 1e-6:
                break
            options = []
            for view in views:
                fits = free[view.name] >= waiting.cpus and view.is_usable
                here = waiting.zone in (None, view.zone) and (waiting.spot or not view.spot)
                here = here and (waiting.types is None or view.type in waiting.types)
                if fits and here and (not waiting.one_zone or zones.get(waiting.id, view.zone) == view.zone):
                    others = len(fetching[view.name] | {waiting.image})
                    fetch = 0 if waiting.image in view.images else others
                    options.append((fetch, not view.spot, free[view.name], view))
            if not options:
                blocked = True
                break
            best = min(options, key=lambda option: option[:3])[3]
            expected.append((waiting.id, best.name))
            free[best.name] -= waiting.cpus
            used[waiting.team] += waiting.cpus
            zones.setdefault(waiting.id, best.zone)
            if waiting.image not in best.images:
                fetching[best.name].add(waiting.image)
        if blocked:
            break
    assert started(plan(jobs, views))[: len(expected)] == expected


def seconds_until_start(overdue_at):
    """When a task that needs an empty machine starts beside an endless stream of small ones of a higher
    priority; None if it has not after 200 s."""
    busy = [[] for _ in range(3)]
    reservations, starts = [{} for _ in busy], 0
    for second in range(200):
        busy = [[(end, task) for end, task in tasks if end > second] for tasks in busy]
        views = []
        for number, tasks in enumerate(busy):
            view = machine(f"n-{number}", [task for _, task in tasks])
            view.reserved_capacity = {
                job_id: count for job_id, (count, until) in reservations[number].items() if until > second
            }
            views.append(view)
        large = job("job-1", 8.0, estimate=50.0, is_overdue=second >= overdue_at)
        small = job(f"job-{second + 2}", 1.0, waiting=30, estimate=5.0, rank=2)
        result = plan([large, small], views)
        for placement in result.placements:
            if placement.job == "job-1":
                return second
            starts += 1
            busy[int(placement.machine[2:])].append(
                (second + 2 + starts % 7, running(1.0, estimate=5.0, rank=2))
            )
        for name, job_id, count in result.reserved_capacity:
            reservations[int(name[2:])][job_id] = (count, second + 10)
    return None


def test_a_large_task_is_not_starved_by_an_endless_stream_of_small_ones():
    # Once it is overdue, what one machine frees is reserved for it; without that it waits for ever.
    assert seconds_until_start(1000) is None
    assert seconds_until_start(60) in range(60, 75)


def test_an_overdue_job_is_not_starved_by_its_own_teams_small_ones():
    """The team "u" is at its limit of 12 CPUs. Before each pass one CPU of it is released, and small tasks of
    high priority wait for it; without a reserved quota the overdue job never gets its four."""

    def passes(is_overdue):
        small = 12
        for number in range(8):
            small -= 1
            views = [machine("n-1", [running(1.0, team="u") for _ in range(small)], cpus=64.0)]
            jobs = [
                job("job-1", 4.0, waiting=9, team="u", is_overdue=is_overdue),
                job("job-2", 1.0, waiting=9, team="u", rank=2),
                job("job-3", 1.0, team="t"),
            ]
            placed = [name for name, _ in started(plan(jobs, views))]
            assert "job-3" in placed
            if "job-1" in placed:
                return number
            small += placed.count("job-2")
        return None

    assert passes(False) is None
    assert passes(True) == 3


def test_the_preferred_kind_of_machine_is_used_first():
    """Work spread over on-demand machines would leave them half empty at several times the price."""
    views = [machine("n-1"), machine("n-2", spot=True)]
    predictor = Predictor(Bins(seconds(1), 1.8), 3, 100)
    for prefers_on_demand, name in ((False, "n-2"), (True, "n-1")):
        snapshot = Snapshot([job("job-1")], views, TEAMS, predictor, NOW, prefers_on_demand)
        assert started(Planner(0.05).plan(snapshot)) == [("job-1", name)]


def test_only_some_tasks_of_an_overdue_job_go_first():
    """If all of them did, late work of normal priority would starve work of high priority."""
    late, high = job("job-1", 1.0, waiting=16, is_overdue=True), job("job-2", 1.0, waiting=4, rank=2)
    result = started(plan([late, high], [machine("n-1")]))
    assert [name for name, _ in result] == ["job-1"] * 2 + ["job-2"] * 4 + ["job-1"] * 2


def test_a_probe_is_unplaced_demand_only_if_it_is_overdue_or_fits_no_machine():
    """One that fits no machine there must not wait for ever."""

    def result(cpus=8.0, **fields):
        return plan([job("job-1", cpus, is_probe=True, **fields)], [machine("n-1", [running(4.0)])])

    assert result().reserved_job is None and not result().unplaced
    for unlike in (result(is_overdue=True), result(cpus=9.0), result(zone="b")):
        assert unlike.reserved_job == "job-1" and [unplaced.count for unplaced in unlike.unplaced] == [1]


def test_nothing_outranks_the_reservation_of_an_overdue_job():
    machines = [machine("n-1", [running(4.0, estimate=5.0)])]
    high = job("job-2", 4.0, estimate=99.0, rank=2)
    assert not plan([job("job-1", 8.0, is_overdue=True), high], machines).placements


def test_the_same_snapshot_gives_the_same_plan():
    def once():
        return plan([job("job-1", 2.0, waiting=5), job("job-2", 8.0)], [machine("n-1"), machine("n-2")])

    assert once().placements == once().placements


def test_best_effort_work_leaves_free_what_guarantees_may_claim():
    """Otherwise each urgent start would wait until something had stopped for it."""

    def result(ready, empty=2, **fields):
        guest = job("job-1", 2.0, waiting=20, **({"team": "guest", "rank": 0} | fields))
        # Of the guarantees, 16 and 8 CPUs, 14 are in use: 10 may be claimed.
        views = [machine("n-0", [running(6.0)], cpus=6.0), machine("n-1", [running(8.0, team="u")])]
        views += [machine(f"n-{number + 2}") for number in range(empty)]
        made = plan([guest], views, prefers_on_demand=ready)
        return len(made.placements), [unplaced.count for unplaced in made.unplaced]

    assert result(True) == (3, [17]) and result(True, empty=1) == (0, [20])
    # Where no machine is kept free; an overdue job; and work that is not best effort.
    assert result(False) == (8, [12])
    assert result(True, empty=1, is_overdue=True)[0] == 2
    assert result(True, rank=1) == (8, [12]) and result(True, team="t") == (8, [12])
