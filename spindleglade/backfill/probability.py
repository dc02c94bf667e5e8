"""The backfilling condition of Algorithm 2: the probability that backfilled tasks delay the reserved job.

M_t[n][c] is the probability that the tasks holding the first n units have released at least c units by time
t. The paper counts processors. Here a unit is a machine that fits one task of the reserved job once enough of
the tasks running on it have ended, so each machine releases at most one unit. The table does not depend on
the backfill candidate, so it is computed once for all candidates checked against the same reservation.
"""

import numpy as np

from spindleglade.backfill.arrays import Array, IntArray

# Maximum number of points in time for which the table is computed. If there are more possible ends, some are
# left out: the differences hardly change from one end to the next, and a planning pass must stay short.
MAX_EVENTS = 48


def release_probabilities(chances: Array, max_units: int) -> Array:
    """Computes M_t[n], where n is all units: a row per time t, a column per c from 0 to `max_units`.

    `chances` has a row per unit and a column per time: the probability that the unit is released by then.
    """
    table = np.zeros((chances.shape[1], max_units + 1))
    table[:, 0] = 1.0
    for chance in chances:
        if chance.any():
            table[:, 1:] += (table[:, :-1] - table[:, 1:]) * chance[:, None]
    return table


class DelayModel:
    """When the units of the reserved job are released, and how likely candidates are to delay its start.

    `ends` and `weights` have a row for each running task that must end first: its possible ends, in seconds
    from now, and their weights. `units` gives the unit that each task holds, in ascending order.
    `missing_units` is the number of units that the job needs beyond those free now.
    """

    def __init__(
        self, ends: Array, weights: Array, units: IntArray, missing_units: int, max_events: int = MAX_EVENTS
    ) -> None:
        self._missing_units = missing_units
        events = np.unique(ends[weights > 0])
        if len(events) > max_events:
            events = events[np.linspace(0, len(events) - 1, max_events).astype(int)]
        self._events = events
        # The probability that each task has ended by each event. Run times are taken as independent, as in
        # the paper.
        end_chances = np.zeros((len(ends), len(events)))
        for column in range(ends.shape[1]):
            weight = weights[:, column]
            if weight.any():
                end_chances += weight[:, None] * (ends[:, column][:, None] <= events)
        first_task_rows = np.nonzero(np.diff(units, prepend=-1))[0]
        self._chances = (
            np.multiply.reduceat(end_chances, first_task_rows, axis=0)
            if len(first_task_rows)
            else end_chances[:0]
        )
        self._table = release_probabilities(self._chances, missing_units)
        self._max_differences: dict[int, Array] = {}

    def _max_differences_by_event(self, units_taken: int) -> Array:
        """The largest M_t[c_q] - M_t[c] up to each event.

        c_q is the number of missing units, and c is larger by `units_taken`.
        """
        if units_taken not in self._max_differences:
            if self._table.shape[1] <= self._missing_units + units_taken:
                self._table = release_probabilities(self._chances, self._missing_units + 2 * units_taken)
            differences = (
                self._table[:, self._missing_units] - self._table[:, self._missing_units + units_taken]
            )
            self._max_differences[units_taken] = np.maximum.accumulate(differences)
        return self._max_differences[units_taken]

    def delay_probability(self, ends: Array, weights: Array, units_taken: int = 1) -> float:
        """The probability that the reserved job is delayed if candidates take `units_taken` units.

        `ends` are the possible ends of a candidate, in seconds from now, and `weights` their weights. The
        probability is the sum over the ends of the weight times the largest difference before the end.
        """
        if not len(self._events):
            return 0.0
        events_before = np.searchsorted(self._events, ends, side="left")
        max_differences = np.where(
            events_before > 0,
            self._max_differences_by_event(units_taken)[np.maximum(events_before, 1) - 1],
            0.0,
        )
        return float(weights @ max_differences)
