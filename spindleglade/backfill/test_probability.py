"""The delay probability, compared with an enumeration of every outcome."""

import itertools

import numpy as np
from hypothesis import given
from hypothesis import strategies as st

from spindleglade.backfill.probability import DelayModel, release_probabilities


@st.composite
def end_distributions(draw, max_count=3):
    times = sorted(draw(st.sets(st.integers(1, 9), min_size=1, max_size=max_count)))
    weights = draw(st.lists(st.integers(1, 5), min_size=len(times), max_size=len(times)))
    total = sum(weights)
    return np.array(times, float), np.array([weight / total for weight in weights])


# Units that are released when one or two tasks end. Units without tasks are free and not part of the model.
units = st.lists(st.lists(end_distributions(), min_size=1, max_size=2), min_size=1, max_size=3)


def delay_model(tasks_by_unit, missing_units):
    width = max(len(times) for tasks in tasks_by_unit for times, _ in tasks)
    rows = [(unit, task) for unit, tasks in enumerate(tasks_by_unit) for task in tasks]
    ends_and_weights = np.zeros((2, len(rows), width))
    for row, (_, (times, weights)) in enumerate(rows):
        ends_and_weights[0, row, : len(times)], ends_and_weights[1, row, : len(weights)] = times, weights
    return DelayModel(
        ends_and_weights[0], ends_and_weights[1], np.array([unit for unit, _ in rows]), missing_units
    )


def outcomes(tasks_by_unit):
    """Every combination of end times: its probability, and the time at which each unit is released."""
    tasks = [task for unit_tasks in tasks_by_unit for task in unit_tasks]
    for choice in itertools.product(*[range(len(times)) for times, _ in tasks]):
        chance = float(np.prod([tasks[i][1][c] for i, c in enumerate(choice)]))
        end_times = iter([tasks[i][0][c] for i, c in enumerate(choice)])
        yield chance, [max(next(end_times) for _ in unit_tasks) for unit_tasks in tasks_by_unit]


@given(st.lists(st.floats(0, 1), min_size=1, max_size=4))
def test_the_table_is_the_chance_of_each_count(chances):
    table = release_probabilities(np.array(chances)[:, None], 4)
    for count in range(5):
        expected = 0.0
        for freed in itertools.product([False, True], repeat=len(chances)):
            chance = np.prod([p if f else 1 - p for p, f in zip(chances, freed, strict=True)])
            expected += float(chance) * (sum(freed) >= count)
        assert abs(table[0, count] - expected) < 1e-9


@given(units, end_distributions(), st.integers(1, 2), st.integers(1, 2))
def test_the_condition_is_algorithm_2(tasks_by_unit, candidate, missing_units, units_taken):
    """The sum over the candidate's bins of weight times the largest M_t[c_q] - M_t[c] before its end."""
    events = sorted({time for unit in tasks_by_unit for times, _ in unit for time in times})

    def at_least(time, count):
        return sum(
            chance for chance, free in outcomes(tasks_by_unit) if sum(at <= time for at in free) >= count
        )

    total = 0.0
    for end, weight in zip(*candidate, strict=True):
        differences = [
            at_least(time, missing_units) - at_least(time, missing_units + units_taken)
            for time in events
            if time < end
        ]
        total += weight * max(differences, default=0.0)
    assert (
        abs(delay_model(tasks_by_unit, missing_units).delay_probability(*candidate, units_taken) - total)
        < 1e-9
    )


def test_certain_estimates_make_it_easy_backfilling():
    """With one certain end per task, exactly the candidates that end after the shadow time are refused."""
    model = delay_model([[(np.array([10.0]), np.ones(1))]], 1)
    for end, chance in ((9.0, 0.0), (10.0, 0.0), (11.0, 1.0)):
        assert model.delay_probability(np.array([end]), np.ones(1)) == chance
