"""Run-time distributions per team, in bins that grow by a factor (paper, section 3).

The paper learns sixteen distributions by a hidden Markov model and names the empirical distribution of a
user's own jobs as the lighter way (section 6); that one is built here, a team standing for the user.
"""

import math
from datetime import timedelta

import msgspec
import numpy as np

from spindleglade.backfill.arrays import Array


class Bins:
    """Bin 0 takes every run up to `first`; each later bin ends `factor` times later than the one before."""

    def __init__(self, first: timedelta, factor: float, longest: timedelta = timedelta(days=7)) -> None:
        self.first = first.total_seconds()
        self.factor = factor
        self.count = 2 + max(0, math.ceil(math.log(longest.total_seconds() / self.first, factor)))
        self.ends: Array = self.first * factor ** np.arange(self.count)
        # Log-uniform interpolation needs a start above zero; bin 0 is as wide in logarithm as the others.
        self.starts: Array = self.ends / factor
        self._width = math.log(factor)

    def index(self, run: float) -> int:
        return min(int(np.searchsorted(self.ends, run, side="left")), self.count - 1)

    def remaining(self, model: Array, elapsed: float, bound: float) -> tuple[Array, Array]:
        """Algorithm 1: what is left of a distribution for a task that has run for `elapsed` and is taken to
        end by `bound`. Returns the ends of the bins with anything left, cut at the bound, and their weights.

        A task past its bound, or one whose distribution leaves nothing between the two, goes wholly into the
        next bin: it is still running, so some later end has to be assumed.
        """
        if elapsed < bound:
            ends, left = self.remaining_many(model, elapsed, bound)
            total = left.sum()
            if total > 0:
                kept = np.nonzero(left)[0]
                return ends[kept], left[kept] / total
        following = min(self.index(elapsed) + 1, self.count - 1)
        return np.array([max(self.ends[following], elapsed)]), np.ones(1)

    def remaining_many(
        self, model: Array, elapsed: Array | float, bound: Array | float
    ) -> tuple[Array, Array]:
        """Algorithm 1, lines 9 to 15: where each bin ends and what is left of its weight. `elapsed` and
        `bound` may be columns, for as many tasks at once."""
        starts = np.maximum(self.starts, np.minimum(elapsed, self.ends))
        ends = np.minimum(self.ends, np.maximum(bound, self.starts))
        left = model * (np.log(ends) - np.log(starts)) / self._width
        return ends, np.maximum(left, 0.0)


class History(msgspec.Struct):
    """A team's past runs, as kept in the state service."""

    counts: list[int] = []
    longest_s: float = 0.0


class Predictor:
    """Answers how long a task may still run, from its team's history or else from its estimate."""

    def __init__(self, bins: Bins, needed: int, kept: int, use_history: bool = True) -> None:
        self.bins = bins
        self._min_runs = needed
        self._max_runs = kept
        self._use_history = use_history
        self._counts: dict[str, Array] = {}
        self._longest: dict[str, float] = {}

    def add(self, team: str, run: timedelta) -> None:
        """Only runs that ended `done` may come here: failing jobs end early, and their short runs in the
        histogram would make long jobs look safe to start before the reserved one."""
        counts = self._counts.setdefault(team, np.zeros(self.bins.count))
        counts[self.bins.index(run.total_seconds())] += 1
        self._longest[team] = max(self._longest.get(team, 0.0), run.total_seconds())
        if counts.sum() > self._max_runs:
            # Locality (paper, section 3): recent runs say more, so the older half fades.
            counts *= 0.5

    def runs(self, team: str) -> float:
        counts = self._counts.get(team)
        return 0.0 if counts is None else float(counts.sum())

    def model(self, team: str) -> Array | None:
        if not self._use_history or self.runs(team) < self._min_runs:
            return None
        counts = self._counts[team]
        return counts / counts.sum()

    def remaining(self, team: str, estimate: timedelta, elapsed: timedelta) -> tuple[Array, Array]:
        """Seconds from now to each possible end, rising, and their weights."""
        ran, guess = elapsed.total_seconds(), estimate.total_seconds()
        model = self.model(team)
        if model is None:
            # No history: the estimate is taken as certain (paper, section 4), which makes this EASY. A task
            # past its estimate is taken to end with the next bin.
            end = guess if ran < guess else self.bins.ends[min(self.bins.index(ran) + 1, self.bins.count - 1)]
            return np.array([max(end - ran, 0.0)]), np.ones(1)
        # Tasks outlive their estimates here, nothing kills them: the bound is the longer of the two.
        ends, weights = self.bins.remaining(model, ran, max(guess, self._longest.get(team, 0.0)))
        return np.maximum(ends - ran, 0.0), weights

    def expected(self, team: str, estimate: timedelta) -> timedelta:
        """How long a task that has not started yet is expected to run."""
        ends, weights = self.remaining(team, estimate, timedelta(0))
        return timedelta(seconds=float((ends * weights).sum()))

    def remaining_of_tasks(self, teams: list[str], rows: Array) -> tuple[Array, Array]:
        """`remaining` for many tasks at once. Each row is a task: its team's place in `teams`, its estimate
        and the time it has run, in seconds. Returns ends and weights, one row a task; an end of no weight
        says nothing."""
        ran, guess = rows[:, 2], rows[:, 1]
        ends = np.zeros((len(rows), self.bins.count))
        weights = np.zeros_like(ends)
        following = np.minimum(np.searchsorted(self.bins.ends, ran, side="left") + 1, self.bins.count - 1)
        after = np.maximum(self.bins.ends[following], ran)
        weights[:, 0] = 1.0
        ends[:, 0] = np.where(ran < guess, guess, after)
        for code, team in enumerate(teams):
            model = self.model(team)
            if model is None:
                continue
            mine = np.nonzero(rows[:, 0] == code)[0]
            if not len(mine):
                continue
            elapsed = ran[mine][:, None]
            bound = np.maximum(guess[mine], self._longest.get(team, 0.0))[:, None]
            parts = self.bins.remaining_many(model, elapsed, bound)
            total = parts[1].sum(axis=1)
            some = (total > 0) & (elapsed[:, 0] < bound[:, 0])
            ends[mine[some]] = parts[0][some]
            weights[mine[some]] = parts[1][some] / total[some][:, None]
            ends[mine[~some], 0] = after[mine[~some]]
        return np.maximum(ends - ran[:, None], 0.0), weights

    def copy(self) -> "Predictor":
        """As it is now, for a planning round in another thread."""
        made = Predictor(self.bins, self._min_runs, self._max_runs, self._use_history)
        made._counts = {team: counts.copy() for team, counts in self._counts.items()}
        made._longest = dict(self._longest)
        return made

    def export(self, team: str) -> History:
        counts = self._counts.get(team)
        return History(
            [] if counts is None else [round(count) for count in counts], self._longest.get(team, 0.0)
        )

    def load(self, team: str, history: History) -> None:
        counts = np.zeros(self.bins.count)
        usable = history.counts[: self.bins.count]
        counts[: len(usable)] = usable
        self._counts[team] = counts
        self._longest[team] = history.longest_s
