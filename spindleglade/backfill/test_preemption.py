"""Which running tasks are preempted, and for which jobs."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from spindleglade.backfill.distributions import Bins, Predictor
from spindleglade.backfill.planner import run_planning_pass
from spindleglade.backfill.planning_state import PlanningState
from spindleglade.backfill.preemption import PreemptionMode, PreemptionPolicy
from spindleglade.backfill.reservation import Reservation
from spindleglade.backfill.snapshot import Snapshot
from spindleglade.backfill.test_planner import NOW, TEAMS, job, machine, plan, running
from spindleglade.runtime.clock import seconds


def preempted(result):
    return [(preemption.machine, preemption.beneficiary) for preemption in result.preemptions]


def test_running_work_is_preempted_only_in_modes_that_allow_it():
    def views():
        return [machine("n-1", [running(8.0, rank=1)])]

    high = job("job-1", 4.0, rank=2)
    assert not plan([high], views()).preemptions
    assert preempted(plan([job("job-1", 4.0, rank=2)], views(), preempt="all")) == [("n-1", "job-1")]
    assert not plan([job("job-1", 4.0, rank=1)], views(), preempt="all").preemptions


def test_only_work_that_can_save_and_has_run_for_a_while_is_preempted():
    """A task that cannot save would lose all its work, while one that can save loses only some seconds."""

    def preemptions(**fields):
        views = [machine("n-1", [replace(running(8.0, elapsed=60.0), **fields)])]
        return preempted(plan([job("job-1", 2.0, rank=2)], views, preempt="saving"))

    save_interval = seconds(4)
    assert preemptions(max_loss=save_interval) == [("n-1", "job-1")]
    assert preemptions() == [] and preemptions(max_loss=save_interval, rank=2) == []
    assert (
        preemptions(max_loss=save_interval, running_since=None) == []
        and preemptions(max_loss=save_interval, running_since=NOW - seconds(5)) == []
    )


@pytest.mark.parametrize(
    "fields", [{}, {"running_since": None}, {"running_since": NOW - seconds(5), "max_loss": seconds(4)}]
)
def test_best_effort_work_is_preempted_at_once(fields):
    """This includes a task that cannot save, is fetching its image or has just started. Other work would
    otherwise wait for it."""

    def preemptions(team, rank):
        views = [machine("n-1", [replace(running(8.0, elapsed=60.0, team=team, rank=rank), **fields)])]
        return preempted(plan([job("job-1", 2.0, rank=1)], views, preempt="saving"))

    assert preemptions("guest", 0) == [("n-1", "job-1")]
    assert preemptions("guest", 1) == [] and preemptions("t", 0) == []
    # A task that was started because its job was overdue would never begin if it were preempted at once.
    fields["started_overdue"] = True
    assert preemptions("guest", 0) == []


class ExhaustivePreemptionPolicy(PreemptionPolicy):
    """Examines every eligible machine with a task that may be preempted, feasible or not."""

    def _feasible_machines(self, job):
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
def test_skipping_infeasible_machines_does_not_change_the_preemptions(machine_tasks, demands, preempt):
    def views():
        return [
            machine(
                f"n-{number}",
                [
                    replace(
                        running(cpus, elapsed=elapsed, rank=rank, team="tu"[rank % 2]),
                        job=f"job-{number}",
                        index=index,
                        max_loss=None if max_loss is None else seconds(max_loss),
                        stopping=stopping,
                    )
                    for index, (cpus, rank, max_loss, elapsed, stopping) in enumerate(tasks)
                ],
            )
            for number, tasks in enumerate(machine_tasks)
        ]

    predictor = Predictor(Bins(seconds(1), 1.8), 3, 100)

    def snapshot():
        jobs = [
            job(f"job-{100 + number}", cpus, waiting=waiting, rank=rank)
            for number, (cpus, rank, waiting) in enumerate(demands)
        ]
        return Snapshot(jobs, views(), TEAMS, predictor, NOW)

    def result(policy_class):
        state = PlanningState(snapshot())
        return run_planning_pass(
            state, Reservation(state, 0.05), policy_class(state, PreemptionMode(preempt))
        )

    exhaustive, selective = result(ExhaustivePreemptionPolicy), result(PreemptionPolicy)
    assert (
        selective.preemptions == exhaustive.preemptions
        and selective.reserved_capacity == exhaustive.reserved_capacity
    )


def test_one_preemption_serves_all_tasks_that_fit():
    for waiting, count in ((4, 1), (5, 2)):
        views = [
            machine(f"n-{number}", [replace(running(8.0, elapsed=60.0), index=number, max_loss=seconds(4))])
            for number in range(3)
        ]
        high = job("job-1", 2.0, waiting=waiting, rank=2)
        assert len(preempted(plan([high], views, preempt="saving"))) == count


def test_work_within_a_guarantee_is_not_preempted_by_a_priority_beyond_one():
    """Without an order between the two reasons for preemption, a high priority beyond its guarantee and a
    normal one within it would preempt each other forever."""
    within_guarantee = [machine("n-1", [running(8.0, team="u")])]
    beyond_guarantee = [machine("n-2", [running(8.0)], zone="b"), machine("n-3", [running(8.0)], zone="b")]
    high = job("job-1", 4.0, rank=3, zone="a")
    assert not plan([high], within_guarantee + beyond_guarantee, preempt="all").preemptions
    # Conversely, work within its guarantee preempts work beyond a guarantee, whatever the priorities.
    high_priority_beyond_guarantee = [machine(f"n-{number}", [running(8.0, rank=3)]) for number in range(4)]
    claiming_jobs = [job("job-1", 4.0, team="u", rank=0)]
    assert len(preempted(plan(claiming_jobs, high_priority_beyond_guarantee, preempt="guarantees"))) == 1
    # Work within its team's guarantee is not preempted, and a higher priority alone preempts nothing.
    at_guarantee = [machine(f"n-{number}", [running(8.0, rank=0)]) for number in range(2)]
    assert not plan([job("job-1", 4.0, team="u", rank=3)], at_guarantee, preempt="guarantees").preemptions
    assert not plan(
        [job("job-1", 4.0, rank=3)], high_priority_beyond_guarantee, preempt="guarantees"
    ).preemptions


def test_capacity_freed_for_a_job_is_reserved_for_it():
    view = machine("n-1", [running(4.0, estimate=5.0)])
    view.reserved_capacity["job-1"] = 1
    result = plan([job("job-1", 8.0, rank=2), job("job-2", 2.0, estimate=1.0)], [view])
    assert not result.placements


def test_the_same_excess_is_not_preempted_twice():
    """A preempted task may take seconds to save. A pass that counted it as running in the meantime would
    preempt ever more tasks of its team."""
    views = [machine(f"n-{number}", [running(8.0)]) for number in range(3)]
    views[0].tasks[0].stopping = True
    views[0].reserved_capacity["job-1"] = 1
    jobs = [job("job-1", 4.0, team="u"), job("job-2", 4.0, team="u")]
    assert not plan(jobs, views, preempt="guarantees").preemptions
