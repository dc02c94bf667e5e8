"""Decides when on-demand machines are provisioned for jobs that may use spot machines. Pure logic.

An on-demand machine costs several times as much as a spot machine, so jobs that may use both wait for spot
machines. The wait is limited because there may be no spot capacity for a whole day.
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
    """Tracks how long jobs have had unplaced demand, and decides which demand may use on-demand machines.

    On-demand machines may be used by:

    - All tasks of a job that has waited for `on_demand_delay_s`.
    - The first tasks of an overdue job that has not started any task. These are the tasks that the planner
      places ahead of other jobs: an eighth of the job's waiting tasks, or all of them if they are a gang.
    - All tasks of a job that has waited for `no_spot_delay_s` while no spot machine was present or booting.

    Best-effort jobs get no on-demand machines, since they exist to use capacity that would be idle.
    """

    def __init__(self, settings: FleetSettings) -> None:
        self._on_demand_delay = seconds(settings.on_demand_delay_s)
        self._no_spot_delay = seconds(settings.no_spot_delay_s)
        # By job id, the time since when the job has had unplaced demand. Contains no best-effort jobs.
        self._waiting_since: dict[str, timedelta] = {}
        # The time since when no spot machine has been present or booting; None while there is one.
        self._no_spot_since: timedelta | None = None

    def observe_demand(
        self, unplaced: Iterable[UnplacedDemand], teams: dict[str, Team], now: timedelta
    ) -> None:
        """Takes over the unplaced demand of the latest planning pass."""
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
        """Returns the demand, with `may_use_on_demand` set where on-demand machines may be provisioned.

        `has_begun` returns whether a task of the job with the given id is on a machine or done.
        `has_spot_machines` tells whether any spot machine is present or booting.
        """
        if has_spot_machines:
            self._no_spot_since = None
        elif self._no_spot_since is None:
            self._no_spot_since = now
        return [
            replace(demand, may_use_on_demand=True)
            if self._has_waited(demand.job.id, now) or self._is_first_demand_of_overdue_job(demand, has_begun)
            else demand
            for demand in unplaced
        ]

    def _has_waited(self, job_id: str, now: timedelta) -> bool:
        """Whether the job has waited so long that all its tasks may use on-demand machines."""
        waiting_since = self._waiting_since.get(job_id)
        if waiting_since is None:
            return False
        if now - waiting_since >= self._on_demand_delay:
            return True
        return (
            self._no_spot_since is not None
            and now - max(waiting_since, self._no_spot_since) >= self._no_spot_delay
        )

    def _is_first_demand_of_overdue_job(
        self, demand: UnplacedDemand, has_begun: Callable[[str], bool]
    ) -> bool:
        """Whether the demand is for the first tasks of an overdue job, which the planner places ahead of
        other jobs. The planner leaves `is_overdue` set only in the demand for these tasks. A job that failed
        on several machines runs only one task as a probe, which justifies no machine of its own."""
        is_waiting = demand.job.id in self._waiting_since
        return (
            is_waiting and demand.job.is_overdue and not demand.job.is_probe and not has_begun(demand.job.id)
        )
