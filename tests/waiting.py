"""Runs a simulated deployment until a condition holds."""

from collections.abc import Callable

from spindleglade.runtime.clock import seconds
from tests.invariants.dependency_invariants import FINAL_STATES
from tests.simulated_deployment import SimulatedDeployment


def run_until(
    deployment: SimulatedDeployment, condition: Callable[[], bool], timeout_s: float = 60.0
) -> None:
    """Runs until the condition holds. Fails if it does not hold within `timeout_s` seconds."""
    end = deployment.clock.now() + seconds(timeout_s)
    while not condition() and deployment.clock.now() < end:
        deployment.run(seconds(0.1))
    assert condition()


def settle(deployment: SimulatedDeployment, timeout_s: float, after_faults: bool = False) -> None:
    """Runs until users were told that all jobs are over. Fails if that takes more than `timeout_s` seconds
    from now or, with `after_faults`, from the end of the last fault if that is later."""
    start = (
        max(deployment.clock.now(), deployment.fault_window.ends_at)
        if after_faults
        else deployment.clock.now()
    )
    while deployment.clock.now() < start + seconds(timeout_s) and _open_jobs(deployment):
        deployment.run(seconds(1))
    assert not _open_jobs(deployment), _open_jobs(deployment)


def _open_jobs(deployment: SimulatedDeployment) -> dict[str, str | None]:
    """The jobs that are not over, with the state that users were last told, or None without one."""
    return {
        job: deployment.jobs.observed_states.get(job)
        for job in deployment.jobs.descriptions
        if deployment.jobs.observed_states.get(job) not in FINAL_STATES
    }
