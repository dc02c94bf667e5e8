"""Priorities and deadlines that jobs take over from those that need them."""

import time
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from spindleglade.backfill.test_planner import job, machine, plan, started
from spindleglade.backfill.urgency import ChainedJob, Urgency, urgencies
from spindleglade.runtime.clock import seconds

JOBS = st.lists(
    st.tuples(
        st.integers(0, 3),
        st.none() | st.integers(0, 500),
        st.integers(0, 60),
        st.sets(st.integers(1, 7), max_size=4),
    ),
    min_size=1,
    max_size=8,
)


@given(JOBS)
def test_urgency_is_the_most_demanding_of_all_paths(drawn):
    """Against a search of every path from a job to the ends of its pipelines. Some dependents named are
    finished, and so are not among the jobs."""
    jobs = {}
    for number, (rank, deadline, expected, steps) in enumerate(drawn):
        due = None if deadline is None else seconds(deadline)
        jobs[str(number)] = ChainedJob(rank, due, seconds(expected), [str(number + step) for step in steps])

    def paths(name):
        yield [name]
        for other in jobs[name].dependents:
            if other in jobs:
                for path in paths(other):
                    yield [name, *path]

    for name, urgency in urgencies(jobs).items():
        found = list(paths(name))
        assert urgency.rank == max(jobs[path[-1]].rank for path in found)
        deadlines = [
            jobs[path[-1]].deadline - sum((jobs[step].expected for step in path[1:]), timedelta(0))
            for path in found
            if jobs[path[-1]].deadline is not None
        ]
        assert urgency.deadline == min(deadlines, default=None)
    assert urgencies(jobs).keys() == jobs.keys()


def test_a_chain_of_thousands_is_walked_once():
    size = 20_000
    jobs = {str(n): ChainedJob(1, None, seconds(1), [str(n + 1)]) for n in range(size - 1)}
    jobs[str(size - 1)] = ChainedJob(3, seconds(size), seconds(1), [])
    began = time.process_time()
    assert urgencies(jobs)["0"] == Urgency(3, seconds(1))
    assert time.process_time() - began < 5


def test_a_job_that_others_press_for_goes_first_within_its_priority_only():
    jobs = [job("job-1", 8.0), job("job-2", 8.0, is_urgent=True), job("job-3", 8.0, rank=2)]
    result = plan(jobs, [machine("n-1"), machine("n-2")])
    assert started(result) == [("job-3", "n-1"), ("job-2", "n-2")]
