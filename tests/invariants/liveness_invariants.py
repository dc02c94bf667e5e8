"""Invariants of liveness: the service makes progress once all faults are over."""

from datetime import timedelta
from typing import TYPE_CHECKING

from spindleglade.runtime.clock import seconds
from tests.invariants.dependency_invariants import FINAL_STATES

if TYPE_CHECKING:
    from spindleglade.controller.controller import Controller
    from tests.simulated_deployment import SimulatedDeployment

# The maximum time without a leader that may start tasks and provision machines, once all faults are over.
LEADS_WITHIN = seconds(20)
# The maximum time in which no task runs while an accepted job waits and there is capacity for it.
STARTS_WITHIN = seconds(90)
# The minimum time between two checks.
CHECK_INTERVAL = seconds(1)


class LivenessInvariants:
    """Appends each violation of liveness to `deployment.violations`.

    - `nobody_leads`: for `LEADS_WITHIN` there has been no leader that may start tasks and provision machines.
    - `stands_still`: no task runs and none has started for `STARTS_WITHIN`, while an accepted job
      waits although its team is under its limit and a machine or the cloud has capacity for it.
    """

    def __init__(self, deployment: "SimulatedDeployment") -> None:
        self._deployment = deployment
        self._checked_at = timedelta(0)
        # Since when there has been no fault and no change of the running controller processes, and the `id`
        # of each running controller since then.
        self._fault_free_since = timedelta(0)
        self._processes: set[int] = set()
        self._latest_start_at = timedelta(0)
        # When a leader that may act was last observed.
        self._last_led_at = timedelta(0)

    def on_task_started(self) -> None:
        self._latest_start_at = self._deployment.clock.now()

    def check(self) -> None:
        """Checks the leader and the progress of jobs at most once per `CHECK_INTERVAL`."""
        now = self._deployment.clock.now()
        if now - self._checked_at < CHECK_INTERVAL:
            return
        self._checked_at = now
        processes = {id(controller) for controller in self._deployment.controllers.values()}
        if self._has_faults() or processes != self._processes:
            self._fault_free_since, self._processes = now, processes
        self._check_leader(now)
        self._check_progress(now)

    def _has_faults(self) -> bool:
        deployment = self._deployment
        return (
            deployment.clock.now() < deployment.fault_window.ends_at
            or deployment.state.is_down
            or deployment.cloud.unavailable
            or bool(
                deployment.network.cuts or deployment.network.refused_by_store or deployment.network.silent
            )
            or bool(deployment.network.unreachable or deployment.network.cannot_send_heartbeats)
        )

    def _check_leader(self, now: timedelta) -> None:
        leaders = [controller for controller in self._deployment.controllers.values() if controller.is_leader]
        if any(map(_may_act, leaders)):
            self._last_led_at = now
        elif self._processes and now - max(self._fault_free_since, self._last_led_at) > LEADS_WITHIN:
            self._add_violation(f"nobody_leads: {len(leaders)} controllers lead and none of them may act")

    def _check_progress(self, now: timedelta) -> None:
        since = max(self._fault_free_since, self._latest_start_at)
        if now - since <= STARTS_WITHIN or any(self._deployment.executions.running_on.values()):
            return
        for job_id in sorted(self._deployment.jobs.accepted):
            if now - self._deployment.jobs.submitted_at[job_id] > STARTS_WITHIN and self._could_start(job_id):
                self._add_violation(f"stands_still: {job_id} waits and nothing has started since {since}")
                return

    def _could_start(self, job_id: str) -> bool:
        deployment = self._deployment
        if deployment.jobs.observed_states.get(
            job_id
        ) in FINAL_STATES or deployment.dependencies.is_cancel_requested(job_id):
            return False
        if deployment.executions.is_complete(job_id) or not deployment.dependencies.is_released(job_id):
            return False
        job = deployment.jobs.descriptions[job_id]
        return deployment.service.has_capacity_for(job) or deployment.cloud.has_capacity

    def _add_violation(self, violation: str) -> None:
        self._deployment.violations.append(f"{violation} at {self._deployment.clock.now()}")


def _may_act(controller: "Controller") -> bool:
    """Whether the leader may start tasks, and provision and terminate machines."""
    return (
        controller.leader is not None
        and controller._leader_cancellation_freshness.permits_renewals
        and controller.is_leadership_proven()
    )
