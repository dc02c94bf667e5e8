"""Lets a simulated deployment run until something has come about."""

from collections.abc import Callable

from spindleglade.runtime.clock import seconds
from tests.rules import OVER
from tests.world import World


def run_until(world: World, happened: Callable[[], bool], most_s: float = 60.0) -> None:
    """Runs until it has happened; fails if it has not within that time."""
    end = world.clock.now() + seconds(most_s)
    while not happened() and world.clock.now() < end:
        world.run(seconds(0.1))
    assert happened()


def settle(world: World, span_s: float, after_troubles: bool = False) -> None:
    """Runs until users know of all jobs that they are over, and fails if that takes longer, counted from now
    or, with `after_troubles`, from the end of the latest trouble if that is still to come."""
    begin = max(world.clock.now(), world.calm) if after_troubles else world.clock.now()
    while world.clock.now() < begin + seconds(span_s) and _open_jobs(world):
        world.run(seconds(1))
    assert not _open_jobs(world), _open_jobs(world)


def _open_jobs(world: World) -> dict[str, str | None]:
    """The jobs that are not over, and what users were last told of them."""
    return {job: world.told.get(job) for job in world.jobs if world.told.get(job) not in OVER}
