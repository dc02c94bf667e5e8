"""Bins, Algorithm 1 and team histories."""

import math
from datetime import timedelta

import numpy as np
from hypothesis import given
from hypothesis import strategies as st

from spindleglade.backfill.distributions import Bins, Predictor

BINS = Bins(timedelta(seconds=1), 1.8)
histograms = st.lists(st.integers(0, 5), min_size=BINS.count, max_size=BINS.count).filter(any)


@given(st.floats(0, 600_000))
def test_every_run_falls_within_its_bin(run):
    index = BINS.index(run)
    assert run <= BINS.ends[index]
    assert index == 0 or run > BINS.ends[index - 1]


@given(histograms, st.floats(0, 1000), st.floats(0.1, 2000))
def test_the_remaining_distribution_follows_algorithm_1(counts, elapsed, bound):
    distribution = np.array(counts, float) / sum(counts)
    ends, weights = BINS.remaining(distribution, elapsed, bound)
    assert abs(weights.sum() - 1) < 1e-9
    assert all(end >= elapsed for end in ends)
    assert list(ends) == sorted(ends)
    expected = []
    for weight, start, end in zip(distribution, BINS.starts, BINS.ends, strict=True):
        low, high = max(start, min(elapsed, end)), min(end, max(bound, start))
        expected.append(max(0.0, weight * math.log(high / low)) / math.log(1.8))
    if elapsed < bound and sum(expected) > 1e-12:
        shares = [share / sum(expected) for share in expected if share > 0]
        assert np.allclose(weights, shares, atol=1e-6)
    elif elapsed >= bound:
        # A task past its bound is put into the next bin.
        assert len(ends) == 1 and ends[0] == BINS.ends[BINS.index(elapsed) + 1]


def seconds(value):
    return timedelta(seconds=value)


@given(
    st.lists(st.floats(0.1, 200), min_size=0, max_size=30),
    st.lists(
        st.tuples(st.sampled_from([0, 1]), st.floats(0, 300), st.floats(0, 300)), min_size=1, max_size=5
    ),
)
def test_many_tasks_at_once_are_predicted_like_each_by_itself(runs, tasks):
    predictor = Predictor(Bins(seconds(1), 1.8), 10, 100)
    for run in runs:
        predictor.add("u", seconds(run))
    # The planner's rows are made from `timedelta`s too, so their times are also whole microseconds.
    timedelta_tasks = [(team, seconds(estimate), seconds(elapsed)) for team, estimate, elapsed in tasks]
    rows = [
        (team, estimate.total_seconds(), elapsed.total_seconds())
        for team, estimate, elapsed in timedelta_tasks
    ]
    ends, weights = predictor.remaining_of_tasks(["t", "u"], np.array(rows, float))
    for row, (team, estimate, elapsed) in enumerate(timedelta_tasks):
        expected = predictor.remaining(["t", "u"][team], estimate, elapsed)
        has_weight = weights[row] > 0
        assert np.allclose(ends[row][has_weight], expected[0][expected[1] > 0], atol=1e-4)
        assert np.allclose(weights[row][has_weight], expected[1][expected[1] > 0], atol=1e-4)


def test_a_team_without_history_is_predicted_by_the_estimate():
    predictor = Predictor(BINS, min_runs=3, max_runs=100)
    predictor.add("a", seconds(5))
    ends, weights = predictor.remaining("a", seconds(60), seconds(20))
    assert list(ends) == [40.0] and list(weights) == [1.0]


def test_history_replaces_the_estimate_once_there_is_enough():
    predictor = Predictor(BINS, min_runs=3, max_runs=100)
    for run in (2, 20, 20):
        predictor.add("a", seconds(run))
    ends, weights = predictor.remaining("a", seconds(60), seconds(0))
    assert len(ends) == 2 and np.allclose(weights, [1 / 3, 2 / 3])
    # A task that has run past the short bin can only be a long one.
    ends, weights = predictor.remaining("a", seconds(60), seconds(10))
    assert list(weights) == [1.0] and ends[0] < 25
    assert list(predictor.remaining("b", seconds(7), seconds(0))[0]) == [7.0]


def test_history_survives_a_change_of_leader():
    predictor = Predictor(BINS, min_runs=3, max_runs=100)
    for run in (2, 20, 20):
        predictor.add("a", seconds(run))
    successor = Predictor(BINS, min_runs=3, max_runs=100)
    successor.load("a", predictor.export("a"))
    for original, restored in zip(
        predictor.remaining("a", seconds(9), seconds(1)),
        successor.remaining("a", seconds(9), seconds(1)),
        strict=True,
    ):
        assert np.allclose(original, restored)
