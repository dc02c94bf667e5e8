"""The delay condition against enumeration of every outcome."""

import itertools

import numpy as np
from hypothesis import given
from hypothesis import strategies as st

from spindleglade.backfill.probability import Unit, delays, freed_at_least


@st.composite
def ends(draw, most=3):
    times = sorted(draw(st.sets(st.integers(1, 9), min_size=1, max_size=most)))
    weights = draw(st.lists(st.integers(1, 5), min_size=len(times), max_size=len(times)))
    total = sum(weights)
    return np.array(times, float), np.array([weight / total for weight in weights])


units = st.lists(st.lists(ends(), min_size=0, max_size=2), min_size=1, max_size=3)


def outcomes(parts_of_units):
    """Every combination of end times, with its probability and the time each unit is free."""
    flat = [part for parts in parts_of_units for part in parts]
    for choice in itertools.product(*[range(len(times)) for times, _ in flat]):
        chance = float(np.prod([flat[i][1][c] for i, c in enumerate(choice)])) if flat else 1.0
        ended = iter([flat[i][0][c] for i, c in enumerate(choice)])
        yield chance, [max([next(ended) for _ in parts], default=0.0) for parts in parts_of_units]


@given(units, st.integers(1, 9))
def test_the_table_is_the_chance_of_each_count(parts, time):
    table = freed_at_least([Unit(part).freed(np.array([float(time)])) for part in parts], 4, 1)
    for count in range(5):
        expected = sum(chance for chance, free in outcomes(parts) if sum(at <= time for at in free) >= count)
        assert abs(table[0, count] - expected) < 1e-9


@given(units, ends(), st.integers(1, 2), st.floats(0.01, 0.9))
def test_the_condition_is_algorithm_2(parts, candidate, lacks, tau):
    """The sum over the candidate's bins of weight times the largest M_t[c_q] - M_t[c] before its end."""
    events = sorted({time for unit in parts for times, _ in unit for time in times})

    def at_least(time, count):
        return sum(chance for chance, free in outcomes(parts) if sum(at <= time for at in free) >= count)

    total = 0.0
    for end, weight in zip(*candidate, strict=True):
        gaps = [at_least(time, lacks) - at_least(time, lacks + 1) for time in events if time < end]
        total += weight * max(gaps, default=0.0)
    if abs(total - tau) > 1e-9:
        made = [Unit(part) for part in parts]
        assert delays(made, *candidate, lacks, lacks + 1, tau) == (total >= tau)


def test_certain_estimates_make_it_easy_backfilling():
    """One end each with weight one: refused exactly if the candidate ends after the head could start."""
    unit = Unit([(np.array([10.0]), np.ones(1))])
    for end, late in ((9.0, False), (10.0, False), (11.0, True)):
        assert delays([unit], np.array([end]), np.ones(1), 1, 2, 0.05) is late


def test_a_candidate_that_takes_no_unit_delays_nothing():
    unit = Unit([(np.array([1.0]), np.ones(1))])
    assert not delays([unit], np.array([100.0]), np.ones(1), 1, 1, 0.05)
