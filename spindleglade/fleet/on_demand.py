"""When ordinary machines are rented for work that may use spot ones. Pure logic.

An ordinary machine costs several times as much as a spot one, so work that may use both waits for spot
machines. It must not wait for ever: where none was to be had, no task of a whole day was started.
"""

from collections.abc import Callable, Iterable
from dataclasses import replace
from datetime import timedelta

from spindleglade.backfill.plan import UnplacedDemand
from spindleglade.backfill.snapshot import is_best_effort
from spindleglade.runtime.clock import seconds
from spindleglade.settings.operator import FleetSettings
from spindleglade.settings.platform import Team


class OnDemandPolicy:
    """Follows since when jobs wait for room, and says which of their tasks may have ordinary machines.

    - All tasks of a job that has waited for `ordinary_wait_s`.
    - The first tasks of an overdue job that has had no start: the planner sends an eighth of its tasks ahead.
    - All tasks of a job that has waited for `no_spot_wait_s`, all that time without any spot machine that is
      there or on its way.

    Idle-time work gets none: it is there to use what would stand idle.
    """

    def __init__(self, settings: FleetSettings) -> None:
        self._long_wait = seconds(settings.ordinary_wait_s)
        self._no_spot_wait = seconds(settings.no_spot_wait_s)
        # Since when each job has had tasks that found no room.
        self._waiting_since: dict[str, timedelta] = {}
        # Since when no spot machine has been there or on its way.
        self._no_spot_since: timedelta | None = None

    def observe_demand(
        self, unplaced: Iterable[UnplacedDemand], teams: dict[str, Team], now: timedelta
    ) -> None:
        """What the latest planning round found no room for."""
        self._waiting_since = {
            entry.job.id: self._waiting_since.get(entry.job.id, now)
            for entry in unplaced
            if not is_best_effort(entry.job, teams)
        }

    def allow(
        self,
        unplaced: Iterable[UnplacedDemand],
        has_begun: Callable[[str], bool],
        spot_there: bool,
        now: timedelta,
    ) -> list[UnplacedDemand]:
        """The same work, with `ordinary` set where ordinary machines may be rented for it. `has_begun` tells
        whether a task of a job runs or is done; `spot_there`, whether any spot machine is there or on its
        way."""
        if spot_there:
            self._no_spot_since = None
        elif self._no_spot_since is None:
            self._no_spot_since = now
        return [
            replace(entry, may_use_on_demand=True)
            if self._has_waited(entry.job.id, now) or self._is_due(entry, has_begun)
            else entry
            for entry in unplaced
        ]

    def _has_waited(self, job_id: str, now: timedelta) -> bool:
        """Whether the job has waited for so long that all of its tasks may have ordinary machines."""
        since = self._waiting_since.get(job_id)
        if since is None:
            return False
        if now - since >= self._long_wait:
            return True
        return self._no_spot_since is not None and now - max(since, self._no_spot_since) >= self._no_spot_wait

    def _is_due(self, entry: UnplacedDemand, has_begun: Callable[[str], bool]) -> bool:
        """Whether these are the tasks that the planner sends ahead for a job that has had no start for long.
        A job that has failed everywhere is only tried, and needs no machine of its own for that."""
        waits = entry.job.id in self._waiting_since
        return waits and entry.job.is_overdue and not entry.job.is_probe and not has_begun(entry.job.id)
