"""Lets a simulated deployment run until something has come about."""

from collections.abc import Callable

from spindleglade.runtime.clock import seconds
from tests.invariants.dependency_invariants import OVER
from tests.simulated_deployment import SimulatedDeployment


def run_until(deployment: SimulatedDeployment, happened: Callable[[], bool], most_s: float = 60.0) -> None:
    """Runs until it has happened; fails if it has not within that time."""
    end = deployment.clock.now() + seconds(most_s)
    while not happened() and deployment.clock.now() < end:
        deployment.run(seconds(0.1))
    assert happened()


def settle(deployment: SimulatedDeployment, span_s: float, after_troubles: bool = False) -> None:
    """Runs until users know of all jobs that they are over, and fails if that takes longer, counted from now
    or, with `after_troubles`, from the end of the latest fault if that is still to come."""
    begin = (
        max(deployment.clock.now(), deployment.fault_window.ends_at)
        if after_troubles
        else deployment.clock.now()
    )
    while deployment.clock.now() < begin + seconds(span_s) and _open_jobs(deployment):
        deployment.run(seconds(1))
    assert not _open_jobs(deployment), _open_jobs(deployment)


def _open_jobs(deployment: SimulatedDeployment) -> dict[str, str | None]:
    """The jobs that are not over, and what users were last told of them."""
    return {
        job: deployment.jobs.observed_states.get(job)
        for job in deployment.jobs.descriptions
        if deployment.jobs.observed_states.get(job) not in OVER
    }
