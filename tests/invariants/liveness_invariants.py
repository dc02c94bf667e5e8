"""That the service goes on once all faults are over, checked in every simulated deployment."""

from datetime import timedelta
from typing import TYPE_CHECKING

from spindleglade.runtime.clock import seconds
from tests.invariants.dependency_invariants import OVER

if TYPE_CHECKING:
    from spindleglade.controller.controller import Controller
    from tests.simulated_deployment import SimulatedDeployment

# How long, once there is no fault, no controller may lead that is entitled to start and to rent.
LEADS_WITHIN = seconds(20)
# How long no task may run while accepted work waits and there is room for it.
STARTS_WITHIN = seconds(90)
# Between two looks.
LOOK_EVERY = seconds(1)


class LivenessInvariants:
    """Notes in `deployment.violations` what breaks a rule of liveness.

    - `nobody_leads`: for `LEADS_WITHIN` no controller has led, or none that may start tasks and rent.
    - `stands_still`: no task runs and none has started for `STARTS_WITHIN`, while an accepted job waits whose
      team is under its limit, and a machine or the cloud has room for it.
    """

    def __init__(self, deployment: "SimulatedDeployment") -> None:
        self._deployment = deployment
        self._looked = timedelta(0)
        # Since when there has been no fault, with these controllers' processes.
        self._quiet_since = timedelta(0)
        self._processes: set[int] = set()
        self._latest_start = timedelta(0)
        # When a controller last led that may act.
        self._led = timedelta(0)

    def on_task_started(self) -> None:
        self._latest_start = self._deployment.clock.now()

    def check(self) -> None:
        """At any moment."""
        now = self._deployment.clock.now()
        if now - self._looked < LOOK_EVERY:
            return
        self._looked = now
        processes = {id(controller) for controller in self._deployment.controllers.values()}
        if self._troubled() or processes != self._processes:
            self._quiet_since, self._processes = now, processes
        self._look_at_leader(now)
        self._look_at_work(now)

    def _troubled(self) -> bool:
        deployment = self._deployment
        return (
            deployment.clock.now() < deployment.fault_window.ends_at
            or deployment.state.is_down
            or deployment.cloud.unavailable
            or bool(
                deployment.network.cuts or deployment.network.refused_by_store or deployment.network.silent
            )
            or bool(deployment.network.unreachable or deployment.network.cannot_report)
        )

    def _look_at_leader(self, now: timedelta) -> None:
        leaders = [controller for controller in self._deployment.controllers.values() if controller.is_leader]
        if any(map(_may_act, leaders)):
            self._led = now
        elif self._processes and now - max(self._quiet_since, self._led) > LEADS_WITHIN:
            self._broken(f"nobody_leads: {len(leaders)} lead and none may act")

    def _look_at_work(self, now: timedelta) -> None:
        since = max(self._quiet_since, self._latest_start)
        if now - since <= STARTS_WITHIN or any(self._deployment.executions.running_on.values()):
            return
        for job_id in sorted(self._deployment.jobs.accepted):
            if now - self._deployment.jobs.submitted_at[job_id] > STARTS_WITHIN and self._could_start(job_id):
                self._broken(f"stands_still: {job_id} waits and nothing has started since {since}")
                return

    def _could_start(self, job_id: str) -> bool:
        deployment = self._deployment
        if deployment.jobs.observed_states.get(job_id) in OVER or deployment.dependencies.cancelled(job_id):
            return False
        if deployment.executions.is_complete(job_id) or not deployment.dependencies.released(job_id):
            return False
        job = deployment.jobs.descriptions[job_id]
        return deployment.service.has_room(job) or deployment.cloud.has_capacity

    def _broken(self, what: str) -> None:
        self._deployment.violations.append(f"{what} at {self._deployment.clock.now()}")


def _may_act(controller: "Controller") -> bool:
    """Whether the leader may start tasks, and rent and give back machines."""
    return (
        controller.leader is not None
        and controller._leader_cancellation_freshness.permits_renewals
        and controller.is_leadership_proven()
    )
