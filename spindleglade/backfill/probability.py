"""The condition of Algorithm 2: the chance that backfilled tasks delay the reserved job.

M_t[n][c] is the chance that the first n units' holders have freed at least c units by time t. The paper's
processors are machines here: a unit is a machine that fits one task of the head once enough of what runs on
it has ended, so each machine frees one unit or none. The table does not depend on the candidate, so it is
made once for all that are checked against the same reservation.
"""

import numpy as np

from spindleglade.backfill.arrays import Array, Counts

# Times at which the table is kept. Where more tasks may end than that, some of their ends are left out: the
# differences hardly change from one end to the next, and a round must stay short.
MAX_EVENTS = 48


def release_probabilities(chances: Array, most: int) -> Array:
    """M_t[n] for all units and c from 0 to `most`, one row per time. `chances` has a row per unit."""
    table = np.zeros((chances.shape[1], most + 1))
    table[:, 0] = 1.0
    for chance in chances:
        if chance.any():
            table[:, 1:] += (table[:, :-1] - table[:, 1:]) * chance[:, None]
    return table


class Reservation:
    """What the head waits for. `ends` and `weights` have a row for each running task that must end: its
    possible ends in seconds from now and their weights; `units` tells, rising, which unit it holds. The head
    lacks `lacks` units beyond those free now."""

    def __init__(
        self, ends: Array, weights: Array, units: Counts, lacks: int, most_events: int = MAX_EVENTS
    ) -> None:
        self._missing_units = lacks
        events = np.unique(ends[weights > 0])
        if len(events) > most_events:
            events = events[np.linspace(0, len(events) - 1, most_events).astype(int)]
        self._events = events
        # Chance of each task to have ended by each event; run times are taken as independent, as the paper
        # does.
        ended = np.zeros((len(ends), len(events)))
        for column in range(ends.shape[1]):
            weight = weights[:, column]
            if weight.any():
                ended += weight[:, None] * (ends[:, column][:, None] <= events)
        firsts = np.nonzero(np.diff(units, prepend=-1))[0]
        self._chances = np.multiply.reduceat(ended, firsts, axis=0) if len(firsts) else ended[:0]
        self._table = release_probabilities(self._chances, lacks)
        self._max_differences: dict[int, Array] = {}

    def _differences(self, more: int) -> Array:
        """Largest M_t[c_q] - M_t[c] up to each event, c being `more` than the head lacks."""
        if more not in self._max_differences:
            if self._table.shape[1] <= self._missing_units + more:
                self._table = release_probabilities(self._chances, self._missing_units + 2 * more)
            differences = self._table[:, self._missing_units] - self._table[:, self._missing_units + more]
            self._max_differences[more] = np.maximum.accumulate(differences)
        return self._max_differences[more]

    def delay_probability(self, ends: Array, weights: Array, more: int = 1) -> float:
        """The chance that the head is delayed if `more` units are taken by tasks that end so: over the bins,
        the bin's weight times the largest difference before its end."""
        if not len(self._events):
            return 0.0
        before = np.searchsorted(self._events, ends, side="left")
        largest = np.where(before > 0, self._differences(more)[np.maximum(before, 1) - 1], 0.0)
        return float(weights @ largest)
