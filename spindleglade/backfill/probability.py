"""The condition of Algorithm 2: the chance that a backfilled job delays the reserved one.

M_t[n][c] is the chance that the first n units' holders have freed at least c units by time t. The paper's
processors are machines here: a unit is a machine that fits one task of the head once enough of what runs on
it has ended, so each machine frees one unit or none.
"""

import numpy as np
from numpy.typing import NDArray

Array = NDArray[np.float64]


class Unit:
    """A machine that will fit a task of the head when all of `parts` have ended. Each part is a running
    task's possible ends, in seconds from now, rising, and their weights."""

    __slots__ = ("_steps",)

    def __init__(self, parts: list[tuple[Array, Array]]) -> None:
        self._steps = [(ends, np.concatenate(([0.0], np.cumsum(weights)))) for ends, weights in parts]

    @property
    def free(self) -> bool:
        """Nothing has to end first."""
        return not self._steps

    def times(self) -> list[Array]:
        return [ends for ends, _ in self._steps]

    def freed(self, times: Array) -> Array:
        """Chance of being free by each time. Run times are taken as independent, as the paper does."""
        chance = np.ones(len(times))
        for ends, cumulated in self._steps:
            chance *= cumulated[np.searchsorted(ends, times, side="right")]
        return chance


def freed_at_least(chances: list[Array], most: int, times: int) -> Array:
    """M_t[n] for all units and c from 0 to `most`, one row per time."""
    table = np.zeros((times, most + 1))
    table[:, 0] = 1.0
    for chance in chances:
        table[:, 1:] += (table[:, :-1] - table[:, 1:]) * chance[:, None]
    return table


def delays(
    units: list[Unit], ends: Array, weights: Array, head_lacks: int, both_lack: int, tau: float
) -> bool:
    """Whether a candidate that ends at `ends` with `weights` delays the head with a chance of tau or more.

    Sums, over the candidate's bins, the bin's weight times the largest M_t[c_q] - M_t[c] over events before
    the bin's end. Both shortcuts of the paper are taken: the sum only grows, and so does the maximum.
    """
    times = [times for unit in units for times in unit.times()]
    if both_lack <= head_lacks or not times:
        return False
    events = np.unique(np.concatenate(times))
    done, largest, total, left = 0, 0.0, 0.0, float(weights.sum())
    for end, weight in zip(ends, weights, strict=True):
        until = int(np.searchsorted(events, end, side="left"))
        if until > done:
            block = events[done:until]
            table = freed_at_least([unit.freed(block) for unit in units], both_lack, len(block))
            largest = max(largest, float((table[:, head_lacks] - table[:, both_lack]).max()))
            done = until
        total += float(weight) * largest
        left -= float(weight)
        if total + left * largest >= tau:
            return True
    return total >= tau
