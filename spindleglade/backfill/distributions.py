"""Run-time distributions of teams, over bins that grow by a constant factor (paper, section 3).

The paper learns sixteen distributions with a hidden Markov model, and names the empirical distribution of a
user's own jobs as a lighter alternative (section 6). This module implements the latter, with one distribution
per team instead of per user.
"""

import math
from datetime import timedelta

import msgspec
import numpy as np

from spindleglade.backfill.arrays import Array

# Runs longer than this all share the last bin.
MAX_DISTINGUISHED_RUN = timedelta(days=7)

# Factor by which the counts of a team's history are reduced when they exceed the limit of runs.
HISTORY_DECAY = 0.5


class Bins:
    """Bins of run times in seconds.

    Bin 0 holds the runs up to `first_end`. Each later bin ends at `factor` times the end of the one before.
    """

    def __init__(
        self, first_end: timedelta, factor: float, max_run: timedelta = MAX_DISTINGUISHED_RUN
    ) -> None:
        first_end_s = first_end.total_seconds()
        self.count = 2 + max(0, math.ceil(math.log(max_run.total_seconds() / first_end_s, factor)))
        self.ends: Array = (first_end_s * factor ** np.arange(self.count)).astype(float)
        # Log-uniform interpolation needs starts above zero, so bin 0 starts where it has the same logarithmic
        # width as the other bins.
        self.starts: Array = self.ends / factor
        self._log_width = math.log(factor)

    def index(self, run_s: float) -> int:
        """The index of the bin that holds a run of `run_s` seconds."""
        return min(int(np.searchsorted(self.ends, run_s, side="left")), self.count - 1)

    def remaining(self, distribution: Array, elapsed_s: float, bound_s: float) -> tuple[Array, Array]:
        """Algorithm 1: the run-time distribution of a task that has already run for `elapsed_s`.

        The task is assumed to end by `bound_s`. Returns the ends of the bins with any weight, cut off at the
        bound, and their weights. A task past its bound, or with no weight between elapsed time and bound, is
        put into the next bin: it is still running, so some later end has to be assumed.
        """
        if elapsed_s < bound_s:
            ends, weights = self.unnormalized_remaining(distribution, elapsed_s, bound_s)
            total = weights.sum()
            if total > 0:
                possible = np.nonzero(weights)[0]
                return ends[possible], weights[possible] / total
        next_bin = min(self.index(elapsed_s) + 1, self.count - 1)
        return np.array([max(self.ends[next_bin], elapsed_s)]), np.ones(1)

    def unnormalized_remaining(
        self, distribution: Array, elapsed_s: Array | float, bound_s: Array | float
    ) -> tuple[Array, Array]:
        """Algorithm 1, lines 9 to 15: the end of each bin and the weight that remains in it.

        `elapsed_s` and `bound_s` may be column vectors, to compute one row per task.
        """
        starts = np.maximum(self.starts, np.minimum(elapsed_s, self.ends))
        ends = np.minimum(self.ends, np.maximum(bound_s, self.starts))
        weights = distribution * (np.log(ends) - np.log(starts)) / self._log_width
        return ends, np.maximum(weights, 0.0)


class History(msgspec.Struct):
    """The histogram of a team's past runs, as stored in the state service."""

    # Number of runs in each bin.
    counts: list[int] = []
    longest_s: float = 0.0


class Predictor:
    """Predicts the remaining run time of tasks from their team's history, or else from their estimate."""

    def __init__(self, bins: Bins, min_runs: int, max_runs: int, use_history: bool = True) -> None:
        self.bins = bins
        # A history of fewer than `min_runs` is not used, and one of more than `max_runs` is reduced.
        self._min_runs = min_runs
        self._max_runs = max_runs
        self._use_history = use_history
        self._counts: dict[str, Array] = {}
        self._longest_s: dict[str, float] = {}

    def add(self, team: str, run: timedelta) -> None:
        """Adds the run of a task that is done to its team's history.

        Runs of failed tasks must not be added: failed tasks end early, and their short runs in the histogram
        would make long jobs look safe to backfill.
        """
        counts = self._counts.setdefault(team, np.zeros(self.bins.count))
        counts[self.bins.index(run.total_seconds())] += 1
        self._longest_s[team] = max(self._longest_s.get(team, 0.0), run.total_seconds())
        if counts.sum() > self._max_runs:
            # Locality (paper, section 3): recent runs predict better, so older ones lose weight.
            counts *= HISTORY_DECAY

    def run_count(self, team: str) -> float:
        """The number of runs in the team's history, in which older runs may count for less than one."""
        counts = self._counts.get(team)
        return 0.0 if counts is None else float(counts.sum())

    def distribution(self, team: str) -> Array | None:
        """The team's run-time distribution over the bins; None if its history is not used."""
        if not self._use_history or self.run_count(team) < self._min_runs:
            return None
        counts = self._counts[team]
        distribution: Array = counts / counts.sum()
        return distribution

    def remaining(self, team: str, estimate: timedelta, elapsed: timedelta) -> tuple[Array, Array]:
        """Seconds from now to each possible end of a task, in ascending order, and their weights."""
        elapsed_s, estimate_s = elapsed.total_seconds(), estimate.total_seconds()
        distribution = self.distribution(team)
        if distribution is None:
            # Without a history the estimate is taken as certain (paper, section 4), as in EASY backfilling. A
            # task past its estimate is assumed to end with the next bin.
            next_bin = min(self.bins.index(elapsed_s) + 1, self.bins.count - 1)
            end = estimate_s if elapsed_s < estimate_s else self.bins.ends[next_bin]
            return np.array([max(end - elapsed_s, 0.0)]), np.ones(1)
        # Tasks may run past their estimates, so the bound is the longer of estimate and longest past run.
        bound_s = max(estimate_s, self._longest_s.get(team, 0.0))
        ends, weights = self.bins.remaining(distribution, elapsed_s, bound_s)
        return np.maximum(ends - elapsed_s, 0.0), weights

    def expected(self, team: str, estimate: timedelta) -> timedelta:
        """The expected run time of a task that has not started yet."""
        ends, weights = self.remaining(team, estimate, timedelta(0))
        return timedelta(seconds=float((ends * weights).sum()))

    def remaining_of_tasks(self, teams: list[str], rows: Array) -> tuple[Array, Array]:
        """Predicts many tasks at once, with the same result as `remaining` for each.

        A row is a task: the index of its team in `teams`, its estimate and its elapsed run time in seconds.
        Returns ends and weights with one row per task. An end with zero weight has no meaning.
        """
        elapsed_s, estimates_s = rows[:, 2], rows[:, 1]
        ends = np.zeros((len(rows), self.bins.count))
        weights = np.zeros_like(ends)
        next_bins = np.minimum(
            np.searchsorted(self.bins.ends, elapsed_s, side="left") + 1, self.bins.count - 1
        )
        ends_past_bound = np.maximum(self.bins.ends[next_bins], elapsed_s)
        weights[:, 0] = 1.0
        ends[:, 0] = np.where(elapsed_s < estimates_s, estimates_s, ends_past_bound)
        for code, team in enumerate(teams):
            distribution = self.distribution(team)
            if distribution is None:
                continue
            team_rows = np.nonzero(rows[:, 0] == code)[0]
            if not len(team_rows):
                continue
            team_elapsed_s = elapsed_s[team_rows]
            bounds_s = np.maximum(estimates_s[team_rows], self._longest_s.get(team, 0.0))
            team_ends, team_weights = self.bins.unnormalized_remaining(
                distribution, team_elapsed_s[:, None], bounds_s[:, None]
            )
            total = team_weights.sum(axis=1)
            is_before_bound = (total > 0) & (team_elapsed_s < bounds_s)
            ends[team_rows[is_before_bound]] = team_ends[is_before_bound]
            weights[team_rows[is_before_bound]] = (
                team_weights[is_before_bound] / total[is_before_bound][:, None]
            )
            ends[team_rows[~is_before_bound], 0] = ends_past_bound[team_rows[~is_before_bound]]
        return np.maximum(ends - elapsed_s[:, None], 0.0), weights

    def copy(self) -> "Predictor":
        """A copy for a planning pass that runs in another thread."""
        copied = Predictor(self.bins, self._min_runs, self._max_runs, self._use_history)
        copied._counts = {team: counts.copy() for team, counts in self._counts.items()}
        copied._longest_s = dict(self._longest_s)
        return copied

    def export(self, team: str) -> History:
        """The team's history in its stored form, with counts rounded to whole runs."""
        counts = self._counts.get(team)
        rounded = [] if counts is None else [round(count) for count in counts]
        return History(rounded, self._longest_s.get(team, 0.0))

    def load(self, team: str, history: History) -> None:
        """Replaces the team's history with a stored one. Counts beyond the last bin are dropped."""
        counts = np.zeros(self.bins.count)
        usable = history.counts[: self.bins.count]
        counts[: len(usable)] = usable
        self._counts[team] = counts
        self._longest_s[team] = history.longest_s
