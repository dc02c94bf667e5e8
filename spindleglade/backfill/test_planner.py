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
    attributes = {
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
        **attributes,
    )


def machine(name, tasks=(), cpus=8.0, **fields):
    attributes = {"type": "m", "zone": "a", "spot": False} | fields
    return MachineView(
        name=name, cpus=cpus, gpus=0.0, memory=32.0, fetch_gb_per_s=1.0, tasks=list(tasks), **attributes
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


def test_a_short_job_is_backfilled_and_a_long_one_is_not():
    """The reserved job needs an empty machine. One machine releases its 8 CPUs in 10 s, the other has 4 CPUs
    free beside a task that ends in 5 s. By the estimates, a candidate that ends after 5 s on the latter would
    delay the reserved job."""

    def machines():
        return [machine("n-1", [running(8.0)]), machine("n-2", [running(4.0, estimate=5.0)])]

    reserved = job("job-1", 8.0)
    assert started(plan([reserved, job("job-2", 4.0, estimate=4.0)], machines())) == [("job-2", "n-2")]
    assert started(plan([reserved, job("job-2", 4.0, estimate=6.0)], machines())) == []


def test_tau_decides_by_the_distribution_not_by_the_estimate():
    """Nine of ten runs of the team are short. The probability that a candidate outlasts the task beside it is
    compared with tau, whatever the candidate's estimate is."""
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
def test_no_plan_exceeds_a_limit_or_uses_an_ineligible_machine(jobs, machine_specs):
    views = [
        machine(f"n-{number}", [running(cpus) for cpus in task_cpus], zone=zone, spot=spot, is_usable=usable)
        for number, (zone, spot, task_cpus, usable) in enumerate(machine_specs)
    ]
    cpus_in_use = {view.name: sum(task.cpus for task in view.tasks) for view in views}
    unusable = {view.name for view in views if not view.is_usable}
    used = {"t": sum(cpus_in_use.values()), "u": 0.0}
    by_name, by_id = (
        {view.name: view for view in views},
        {waiting_job.id: waiting_job for waiting_job in jobs},
    )
    result = plan(jobs, views)
    assert len({(placement.job, placement.index) for placement in result.placements}) == len(
        result.placements
    )
    zones: dict[str, set[str]] = {}
    for placement in result.placements:
        waiting_job, view = by_id[placement.job], by_name[placement.machine]
        assert placement.index in waiting_job.waiting_tasks and view.name not in unusable
        cpus_in_use[view.name] += waiting_job.cpus
        used[waiting_job.team] += waiting_job.cpus
        assert waiting_job.zone in (None, view.zone) and (waiting_job.spot or not view.spot)
        assert waiting_job.types is None or view.type in waiting_job.types
        zones.setdefault(waiting_job.id, set()).add(view.zone)
        assert not waiting_job.one_zone or len(zones[waiting_job.id]) == 1
    assert all(cpus <= 8.0 for cpus in cpus_in_use.values())
    assert used["u"] <= 12.0 and (
        used["t"] <= 64.0 or not any(by_id[start.job].team == "t" for start in result.placements)
    )


@given(jobs, machines)
def test_tasks_placed_together_go_where_they_would_go_one_by_one(jobs, machine_specs):
    """Compares with placing tasks one at a time, for the queue up to the first job that does not fit: each
    task goes to the machine where it runs soonest, and of those to the fullest."""
    jobs = [waiting_job for waiting_job in jobs if waiting_job.cpus <= 8.0]
    views = [
        machine(f"n-{number}", [running(cpus) for cpus in task_cpus], zone=zone, spot=spot, is_usable=usable)
        for number, (zone, spot, task_cpus, usable) in enumerate(machine_specs)
    ]
    for number, view in enumerate(views):
        (view.images if number % 3 == 0 else view.fetching).add("i" if number % 2 else "other")
    free = {view.name: view.free_cpus for view in views}
    fetching = {view.name: set(view.fetching) for view in views}
    used = {"t": sum(view.cpus - view.free_cpus for view in views), "u": 0.0}
    zones: dict[str, str] = {}
    expected: list[tuple[str, str]] = []
    blocked = False
    for waiting_job in sorted(jobs, key=lambda waiting_job: -waiting_job.rank):
        for _ in waiting_job.waiting_tasks:
            if used[waiting_job.team] + waiting_job.cpus > TEAMS[waiting_job.team].cpus_max + 1e-6:
                break
            candidates = []
            for view in views:
                fits = free[view.name] >= waiting_job.cpus and view.is_usable
                is_eligible = waiting_job.zone in (None, view.zone) and (waiting_job.spot or not view.spot)
                is_eligible = is_eligible and (waiting_job.types is None or view.type in waiting_job.types)
                if (
                    fits
                    and is_eligible
                    and (not waiting_job.one_zone or zones.get(waiting_job.id, view.zone) == view.zone)
                ):
                    fetches_sharing = len(fetching[view.name] | {waiting_job.image})
                    fetch_s = 0 if waiting_job.image in view.images else fetches_sharing
                    candidates.append((fetch_s, not view.spot, free[view.name], view))
            if not candidates:
                blocked = True
                break
            best = min(candidates, key=lambda candidate: candidate[:3])[3]
            expected.append((waiting_job.id, best.name))
            free[best.name] -= waiting_job.cpus
            used[waiting_job.team] += waiting_job.cpus
            zones.setdefault(waiting_job.id, best.zone)
            if waiting_job.image not in best.images:
                fetching[best.name].add(waiting_job.image)
        if blocked:
            break
    assert started(plan(jobs, views))[: len(expected)] == expected


def seconds_until_start(overdue_at):
    """Seconds until a task that needs an empty machine starts beside an endless stream of small tasks of a
    higher priority; None if it has not started after 200 s. Its job is overdue from second `overdue_at`."""
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
    # Once its job is overdue, what one machine releases is reserved for it. Otherwise it waits forever.
    assert seconds_until_start(1000) is None
    assert seconds_until_start(60) in range(60, 75)


def test_an_overdue_job_is_not_starved_by_its_own_teams_small_ones():
    """The team "u" is at its limit of 12 CPUs. Before each pass one of its CPUs is released, and small tasks
    of high priority wait for it. Without a reserved quota the overdue job never gets its four CPUs."""

    def passes_until_start(is_overdue):
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

    assert passes_until_start(False) is None
    assert passes_until_start(True) == 3


def test_the_preferred_kind_of_machine_is_used_first():
    """Work spread over on-demand machines too would leave them half empty at several times the spot price."""
    views = [machine("n-1"), machine("n-2", spot=True)]
    predictor = Predictor(Bins(seconds(1), 1.8), 3, 100)
    for prefers_on_demand, name in ((False, "n-2"), (True, "n-1")):
        snapshot = Snapshot([job("job-1")], views, TEAMS, predictor, NOW, prefers_on_demand)
        assert started(Planner(0.05).plan(snapshot)) == [("job-1", name)]


def test_only_some_tasks_of_an_overdue_job_go_first():
    """If all of them did, overdue work of normal priority would starve work of high priority."""
    overdue, high = job("job-1", 1.0, waiting=16, is_overdue=True), job("job-2", 1.0, waiting=4, rank=2)
    result = started(plan([overdue, high], [machine("n-1")]))
    assert [name for name, _ in result] == ["job-1"] * 2 + ["job-2"] * 4 + ["job-1"] * 2


def test_a_probe_is_unplaced_demand_only_if_it_is_overdue_or_fits_no_machine():
    """A probe that fits on no existing machine must not wait forever."""

    def result(cpus=8.0, **fields):
        return plan([job("job-1", cpus, is_probe=True, **fields)], [machine("n-1", [running(4.0)])])

    assert result().reserved_job is None and not result().unplaced
    for with_demand in (result(is_overdue=True), result(cpus=9.0), result(zone="b")):
        assert with_demand.reserved_job == "job-1" and [
            unplaced.count for unplaced in with_demand.unplaced
        ] == [1]


def test_nothing_outranks_the_reservation_of_an_overdue_job():
    machines = [machine("n-1", [running(4.0, estimate=5.0)])]
    high = job("job-2", 4.0, estimate=99.0, rank=2)
    assert not plan([job("job-1", 8.0, is_overdue=True), high], machines).placements


def test_the_same_snapshot_gives_the_same_plan():
    def make_plan():
        return plan([job("job-1", 2.0, waiting=5), job("job-2", 8.0)], [machine("n-1"), machine("n-2")])

    assert make_plan().placements == make_plan().placements


def test_best_effort_work_leaves_free_what_guarantees_may_claim():
    """Otherwise each urgent start would wait until a best-effort task had stopped."""

    def result(prefers_on_demand, empty=2, **fields):
        guest = job("job-1", 2.0, waiting=20, **({"team": "guest", "rank": 0} | fields))
        # Of the guaranteed 16 and 8 CPUs, 14 are in use, so 10 may still be claimed.
        views = [machine("n-0", [running(6.0)], cpus=6.0), machine("n-1", [running(8.0, team="u")])]
        views += [machine(f"n-{number + 2}") for number in range(empty)]
        best_effort_plan = plan([guest], views, prefers_on_demand=prefers_on_demand)
        return len(best_effort_plan.placements), [unplaced.count for unplaced in best_effort_plan.unplaced]

    assert result(True) == (3, [17]) and result(True, empty=1) == (0, [20])
    # No CPUs are left free where no capacity is kept for urgent starts, for an overdue job, and for work that
    # is not best effort.
    assert result(False) == (8, [12])
    assert result(True, empty=1, is_overdue=True)[0] == 2
    assert result(True, rank=1) == (8, [12]) and result(True, team="t") == (8, [12])
