"""Run-time distributions of teams, in bins that grow by a factor (paper, section 3).

The paper learns sixteen distributions with a hidden Markov model, and names the empirical distribution of a
user's own jobs as the lighter alternative (section 6). The latter is implemented here, with teams for users.
"""

import math
from datetime import timedelta

import msgspec
import numpy as np

from spindleglade.backfill.arrays import Array

# Runs up to this are told apart; all longer ones share the last bin.
MAX_DISTINGUISHED_RUN = timedelta(days=7)

# How much of a team's history remains each time that it has reached the limit.
HISTORY_DECAY = 0.5


class Bins:
    """Bins of run times in seconds.

    Bin 0 holds the runs up to `first_end`; each later bin ends `factor` times later than the one before.
    """

    def __init__(
        self, first_end: timedelta, factor: float, max_run: timedelta = MAX_DISTINGUISHED_RUN
    ) -> None:
        first_end_s = first_end.total_seconds()
        self.count = 2 + max(0, math.ceil(math.log(max_run.total_seconds() / first_end_s, factor)))
        self.ends: Array = (first_end_s * factor ** np.arange(self.count)).astype(float)
        # Log-uniform interpolation needs a start above zero; bin 0 is as wide in logarithm as the others.
        self.starts: Array = self.ends / factor
        self._width = math.log(factor)

    def index(self, run: float) -> int:
        """The bin of a run of so many seconds."""
        return min(int(np.searchsorted(self.ends, run, side="left")), self.count - 1)

    def remaining(self, model: Array, elapsed: float, bound: float) -> tuple[Array, Array]:
        """Algorithm 1: what remains of a distribution for a task that has run for `elapsed` and is assumed to
        end by `bound`. Returns the ends of the bins with any weight, cut off at the bound, and their weights.

        A task past its bound, or one whose distribution leaves nothing between the two, is put into the next
        bin: it is still running, so some later end has to be assumed.
        """
        if elapsed < bound:
            ends, weights = self.remaining_many(model, elapsed, bound)
            total = weights.sum()
            if total > 0:
                possible = np.nonzero(weights)[0]
                return ends[possible], weights[possible] / total
        following = min(self.index(elapsed) + 1, self.count - 1)
        return np.array([max(self.ends[following], elapsed)]), np.ones(1)

    def remaining_many(
        self, model: Array, elapsed: Array | float, bound: Array | float
    ) -> tuple[Array, Array]:
        """Algorithm 1, lines 9 to 15: the end of each bin and what remains of its weight. `elapsed` and
        `bound` may be columns, for as many tasks at once."""
        starts = np.maximum(self.starts, np.minimum(elapsed, self.ends))
        ends = np.minimum(self.ends, np.maximum(bound, self.starts))
        weights = model * (np.log(ends) - np.log(starts)) / self._width
        return ends, np.maximum(weights, 0.0)


class History(msgspec.Struct):
    """A team's past runs, as stored in the state service."""

    # Runs in each bin.
    counts: list[int] = []
    longest_s: float = 0.0


class Predictor:
    """Predicts how long a task may still run, from its team's history or else from its estimate."""

    def __init__(self, bins: Bins, min_runs: int, max_runs: int, use_history: bool = True) -> None:
        self.bins = bins
        # A history of fewer runs is not used, and one of more is reduced.
        self._min_runs = min_runs
        self._max_runs = max_runs
        self._use_history = use_history
        self._counts: dict[str, Array] = {}
        self._longest: dict[str, float] = {}

    def add(self, team: str, run: timedelta) -> None:
        """Adds a task's run to its team's history.

        Only of tasks that are done: failing ones end early, and their short runs in the histogram would make
        long jobs look safe to start ahead of the reserved one.
        """
        counts = self._counts.setdefault(team, np.zeros(self.bins.count))
        counts[self.bins.index(run.total_seconds())] += 1
        self._longest[team] = max(self._longest.get(team, 0.0), run.total_seconds())
        if counts.sum() > self._max_runs:
            # Locality (paper, section 3): recent runs say more, so older ones lose weight.
            counts *= HISTORY_DECAY

    def runs(self, team: str) -> float:
        """How many runs the team's history counts."""
        counts = self._counts.get(team)
        return 0.0 if counts is None else float(counts.sum())

    def model(self, team: str) -> Array | None:
        """The team's distribution over the bins; None if its history is not used."""
        if not self._use_history or self.runs(team) < self._min_runs:
            return None
        counts = self._counts[team]
        model: Array = counts / counts.sum()
        return model

    def remaining(self, team: str, estimate: timedelta, elapsed: timedelta) -> tuple[Array, Array]:
        """Seconds from now to each possible end, in ascending order, and their weights."""
        elapsed_s, estimate_s = elapsed.total_seconds(), estimate.total_seconds()
        model = self.model(team)
        if model is None:
            # Without a history the estimate is taken as certain (paper, section 4), which makes this EASY. A
            # task past its estimate is assumed to end with the next bin.
            following = min(self.bins.index(elapsed_s) + 1, self.bins.count - 1)
            end = estimate_s if elapsed_s < estimate_s else self.bins.ends[following]
            return np.array([max(end - elapsed_s, 0.0)]), np.ones(1)
        # Tasks may run past their estimates, so the bound is the longer of estimate and history.
        bound = max(estimate_s, self._longest.get(team, 0.0))
        ends, weights = self.bins.remaining(model, elapsed_s, bound)
        return np.maximum(ends - elapsed_s, 0.0), weights

    def expected(self, team: str, estimate: timedelta) -> timedelta:
        """How long a task that has not started yet is expected to run."""
        ends, weights = self.remaining(team, estimate, timedelta(0))
        return timedelta(seconds=float((ends * weights).sum()))

    def remaining_of_tasks(self, teams: list[str], rows: Array) -> tuple[Array, Array]:
        """Predicts many tasks at once, as `remaining` does each.

        A row is a task: the index of its team in `teams`, its estimate and the time it has run, in seconds.
        Returns ends and weights, one row for each task; an end without weight means nothing.
        """
        elapsed, estimates = rows[:, 2], rows[:, 1]
        ends = np.zeros((len(rows), self.bins.count))
        weights = np.zeros_like(ends)
        following = np.minimum(np.searchsorted(self.bins.ends, elapsed, side="left") + 1, self.bins.count - 1)
        past_bound = np.maximum(self.bins.ends[following], elapsed)
        weights[:, 0] = 1.0
        ends[:, 0] = np.where(elapsed < estimates, estimates, past_bound)
        for code, team in enumerate(teams):
            model = self.model(team)
            if model is None:
                continue
            tasks = np.nonzero(rows[:, 0] == code)[0]
            if not len(tasks):
                continue
            team_elapsed = elapsed[tasks]
            bounds = np.maximum(estimates[tasks], self._longest.get(team, 0.0))
            team_ends, team_weights = self.bins.remaining_many(model, team_elapsed[:, None], bounds[:, None])
            total = team_weights.sum(axis=1)
            is_before = (total > 0) & (team_elapsed < bounds)
            ends[tasks[is_before]] = team_ends[is_before]
            weights[tasks[is_before]] = team_weights[is_before] / total[is_before][:, None]
            ends[tasks[~is_before], 0] = past_bound[tasks[~is_before]]
        return np.maximum(ends - elapsed[:, None], 0.0), weights

    def copy(self) -> "Predictor":
        """A copy for a planning pass in another thread."""
        copied = Predictor(self.bins, self._min_runs, self._max_runs, self._use_history)
        copied._counts = {team: counts.copy() for team, counts in self._counts.items()}
        copied._longest = dict(self._longest)
        return copied

    def export(self, team: str) -> History:
        """The team's history to be stored."""
        counts = self._counts.get(team)
        rounded = [] if counts is None else [round(count) for count in counts]
        return History(rounded, self._longest.get(team, 0.0))

    def load(self, team: str, history: History) -> None:
        """Replaces the team's history by a stored one."""
        counts = np.zeros(self.bins.count)
        usable = history.counts[: self.bins.count]
        counts[: len(usable)] = usable
        self._counts[team] = counts
        self._longest[team] = history.longest_s
