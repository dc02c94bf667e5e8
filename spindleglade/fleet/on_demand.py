"""When on-demand machines are provisioned for work that may use spot machines. Pure logic.

An on-demand machine costs several times as much as a spot one, so work that may use both waits for spot
machines. It must not wait for ever: there may be no spot capacity for a whole day.
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
    """Follows since when jobs have unplaced demand, and says which of it may use on-demand machines.

    - All tasks of a job that has waited for `on_demand_delay_s`.
    - The first tasks of an overdue job that has had no start: the planner sends an eighth of its tasks ahead.
    - All tasks of a job that has waited for `no_spot_delay_s`, all that time without any spot machine that is
      present or on its way.

    Best-effort work gets none: it is there to use what would be idle.
    """

    def __init__(self, settings: FleetSettings) -> None:
        self._long_wait = seconds(settings.on_demand_delay_s)
        self._no_spot_wait = seconds(settings.no_spot_delay_s)
        # Since when each job has had unplaced demand.
        self._waiting_since: dict[str, timedelta] = {}
        # Since when no spot machine has been present or on its way.
        self._no_spot_since: timedelta | None = None

    def observe_demand(
        self, unplaced: Iterable[UnplacedDemand], teams: dict[str, Team], now: timedelta
    ) -> None:
        """Takes over the unplaced demand of the latest planning round."""
        self._waiting_since = {
            demand.job.id: self._waiting_since.get(demand.job.id, now)
            for demand in unplaced
            if not is_best_effort(demand.job, teams)
        }

    def allow(
        self,
        unplaced: Iterable[UnplacedDemand],
        has_begun: Callable[[str], bool],
        has_spot_machines: bool,
        now: timedelta,
    ) -> list[UnplacedDemand]:
        """The same demand, with `may_use_on_demand` set where on-demand machines may be provisioned for it.
        `has_begun` tells whether a task of a job runs or is done; `has_spot_machines`, whether any spot
        machine is present or on its way."""
        if has_spot_machines:
            self._no_spot_since = None
        elif self._no_spot_since is None:
            self._no_spot_since = now
        return [
            replace(demand, may_use_on_demand=True)
            if self._has_waited(demand.job.id, now) or self._is_first_of_overdue_job(demand, has_begun)
            else demand
            for demand in unplaced
        ]

    def _has_waited(self, job_id: str, now: timedelta) -> bool:
        """Whether the job has waited for so long that all of its tasks may use on-demand machines."""
        since = self._waiting_since.get(job_id)
        if since is None:
            return False
        if now - since >= self._long_wait:
            return True
        return self._no_spot_since is not None and now - max(since, self._no_spot_since) >= self._no_spot_wait

    def _is_first_of_overdue_job(self, demand: UnplacedDemand, has_begun: Callable[[str], bool]) -> bool:
        """Whether these are the tasks that the planner sends ahead for a job that has had no start for long.
        A job that has failed everywhere is only tried, and needs no machine of its own for that."""
        is_waiting = demand.job.id in self._waiting_since
        return (
            is_waiting and demand.job.is_overdue and not demand.job.is_probe and not has_begun(demand.job.id)
        )
