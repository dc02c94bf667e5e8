"""The condition of Algorithm 2: the chance that backfilled tasks delay the reserved job.

M_t[n][c] is the chance that the holders of the first n units have freed at least c units by time t. The
paper's processors are machines here: a unit is a machine that fits one task of the reserved job once enough
of what runs on it has ended, so each machine frees one unit or none. The table does not depend on the
candidate, so it is made once for all that are checked against the same reservation.
"""

import numpy as np

from spindleglade.backfill.arrays import Array, Counts

# Times for which the table is computed. Where more tasks may end, some of their ends are left out: the
# differences hardly change from one end to the next, and a planning pass must stay short.
MAX_EVENTS = 48


def release_probabilities(chances: Array, max_units: int) -> Array:
    """M_t[n] for all units and c from 0 to `max_units`, one row per time. `chances` has a row per unit."""
    table = np.zeros((chances.shape[1], max_units + 1))
    table[:, 0] = 1.0
    for chance in chances:
        if chance.any():
            table[:, 1:] += (table[:, :-1] - table[:, 1:]) * chance[:, None]
    return table


class DelayModel:
    """When the units of the reserved job are freed, and how likely candidates delay that.

    `ends` and `weights` have a row for each running task that must end: its possible ends in seconds from now
    and their weights. `units` is the unit that each task holds, in ascending order. `missing_units` is how
    many units the job needs beyond those free now.
    """

    def __init__(
        self, ends: Array, weights: Array, units: Counts, missing_units: int, max_events: int = MAX_EVENTS
    ) -> None:
        self._missing_units = missing_units
        events = np.unique(ends[weights > 0])
        if len(events) > max_events:
            events = events[np.linspace(0, len(events) - 1, max_events).astype(int)]
        self._events = events
        # Chance of each task to have ended by each event; run times are taken as independent, as in the
        # paper.
        ended = np.zeros((len(ends), len(events)))
        for column in range(ends.shape[1]):
            weight = weights[:, column]
            if weight.any():
                ended += weight[:, None] * (ends[:, column][:, None] <= events)
        first_tasks = np.nonzero(np.diff(units, prepend=-1))[0]
        self._chances = np.multiply.reduceat(ended, first_tasks, axis=0) if len(first_tasks) else ended[:0]
        self._table = release_probabilities(self._chances, missing_units)
        self._max_differences: dict[int, Array] = {}

    def _differences(self, units_taken: int) -> Array:
        """Largest M_t[c_q] - M_t[c] up to each event, c being `units_taken` more than the missing units."""
        if units_taken not in self._max_differences:
            if self._table.shape[1] <= self._missing_units + units_taken:
                self._table = release_probabilities(self._chances, self._missing_units + 2 * units_taken)
            differences = (
                self._table[:, self._missing_units] - self._table[:, self._missing_units + units_taken]
            )
            self._max_differences[units_taken] = np.maximum.accumulate(differences)
        return self._max_differences[units_taken]

    def delay_probability(self, ends: Array, weights: Array, units_taken: int = 1) -> float:
        """The chance that the reserved job is delayed if so many units are taken by tasks with these possible
        ends: over the bins, the bin's weight times the largest difference before its end."""
        if not len(self._events):
            return 0.0
        before = np.searchsorted(self._events, ends, side="left")
        largest = np.where(before > 0, self._differences(units_taken)[np.maximum(before, 1) - 1], 0.0)
        return float(weights @ largest)
