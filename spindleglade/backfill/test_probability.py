"""The delay condition against enumeration of every outcome."""

import itertools

import numpy as np
from hypothesis import given
from hypothesis import strategies as st

from spindleglade.backfill.probability import DelayModel, release_probabilities


@st.composite
def ends(draw, most=3):
    times = sorted(draw(st.sets(st.integers(1, 9), min_size=1, max_size=most)))
    weights = draw(st.lists(st.integers(1, 5), min_size=len(times), max_size=len(times)))
    total = sum(weights)
    return np.array(times, float), np.array([weight / total for weight in weights])


# Units that wait for a task or two; those that wait for none are free and not the reservation's business.
units = st.lists(st.lists(ends(), min_size=1, max_size=2), min_size=1, max_size=3)


def reservation(parts_of_units, lacks):
    width = max(len(times) for parts in parts_of_units for times, _ in parts)
    rows = [(unit, part) for unit, parts in enumerate(parts_of_units) for part in parts]
    made = np.zeros((2, len(rows), width))
    for row, (_, (times, weights)) in enumerate(rows):
        made[0, row, : len(times)], made[1, row, : len(weights)] = times, weights
    return DelayModel(made[0], made[1], np.array([unit for unit, _ in rows]), lacks)


def outcomes(parts_of_units):
    """Every combination of end times, with its probability and the time each unit is free."""
    flat = [part for parts in parts_of_units for part in parts]
    for choice in itertools.product(*[range(len(times)) for times, _ in flat]):
        chance = float(np.prod([flat[i][1][c] for i, c in enumerate(choice)]))
        ended = iter([flat[i][0][c] for i, c in enumerate(choice)])
        yield chance, [max(next(ended) for _ in parts) for parts in parts_of_units]


@given(st.lists(st.floats(0, 1), min_size=1, max_size=4))
def test_the_table_is_the_chance_of_each_count(chances):
    table = release_probabilities(np.array(chances)[:, None], 4)
    for count in range(5):
        expected = 0.0
        for freed in itertools.product([False, True], repeat=len(chances)):
            chance = np.prod([p if f else 1 - p for p, f in zip(chances, freed, strict=True)])
            expected += float(chance) * (sum(freed) >= count)
        assert abs(table[0, count] - expected) < 1e-9


@given(units, ends(), st.integers(1, 2), st.integers(1, 2))
def test_the_condition_is_algorithm_2(parts, candidate, lacks, more):
    """The sum over the candidate's bins of weight times the largest M_t[c_q] - M_t[c] before its end."""
    events = sorted({time for unit in parts for times, _ in unit for time in times})

    def at_least(time, count):
        return sum(chance for chance, free in outcomes(parts) if sum(at <= time for at in free) >= count)

    total = 0.0
    for end, weight in zip(*candidate, strict=True):
        gaps = [at_least(time, lacks) - at_least(time, lacks + more) for time in events if time < end]
        total += weight * max(gaps, default=0.0)
    assert abs(reservation(parts, lacks).delay_probability(*candidate, more) - total) < 1e-9


def test_certain_estimates_make_it_easy_backfilling():
    """One end each with weight one: refused exactly if the candidate ends after the head could start."""
    made = reservation([[(np.array([10.0]), np.ones(1))]], 1)
    for end, chance in ((9.0, 0.0), (10.0, 0.0), (11.0, 1.0)):
        assert made.delay_probability(np.array([end]), np.ones(1)) == chance
