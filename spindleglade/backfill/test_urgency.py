"""Priorities and deadlines that jobs inherit from their dependents."""

import time
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from spindleglade.backfill.test_planner import job, machine, plan, started
from spindleglade.backfill.urgency import PipelineJob, Urgency, urgencies
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
def test_urgency_is_the_most_demanding_of_all_paths(job_fields):
    """Compares with a search of every path from a job to the ends of its pipelines. Some of the dependents
    are not among the jobs, as if they were finished."""
    jobs = {}
    for number, (rank, deadline, expected, dependent_offsets) in enumerate(job_fields):
        due = None if deadline is None else seconds(deadline)
        jobs[str(number)] = PipelineJob(
            rank, due, seconds(expected), [str(number + step) for step in dependent_offsets]
        )

    def paths_to_ends(name):
        yield [name]
        for dependent in jobs[name].dependents:
            if dependent in jobs:
                for path in paths_to_ends(dependent):
                    yield [name, *path]

    for job_id, urgency in urgencies(jobs).items():
        paths = list(paths_to_ends(job_id))
        assert urgency.rank == max(jobs[path[-1]].rank for path in paths)
        deadlines = [
            jobs[path[-1]].deadline - sum((jobs[step].expected_run_time for step in path[1:]), timedelta(0))
            for path in paths
            if jobs[path[-1]].deadline is not None
        ]
        assert urgency.deadline == min(deadlines, default=None)
    assert urgencies(jobs).keys() == jobs.keys()


def test_a_pipeline_of_thousands_of_jobs_is_resolved_in_one_pass():
    size = 20_000
    jobs = {str(n): PipelineJob(1, None, seconds(1), [str(n + 1)]) for n in range(size - 1)}
    jobs[str(size - 1)] = PipelineJob(3, seconds(size), seconds(1), [])
    began = time.process_time()
    assert urgencies(jobs)["0"] == Urgency(3, seconds(1))
    assert time.process_time() - began < 5


def test_an_urgent_job_goes_first_within_its_priority_only():
    jobs = [job("job-1", 8.0), job("job-2", 8.0, is_urgent=True), job("job-3", 8.0, rank=2)]
    result = plan(jobs, [machine("n-1"), machine("n-2")])
    assert started(result) == [("job-3", "n-1"), ("job-2", "n-2")]
