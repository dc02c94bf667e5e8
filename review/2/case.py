"""A task that was preempted is not started again on the machine it ran on, however long that has room."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.deployment import Deployment  # noqa: E402  (sys.path must be set first)
from standins.main import run  # noqa: E402
from standins.sites import job, nabd_fitness  # noqa: E402
from standins.worker import Attempt, Place  # noqa: E402

# "No job is left waiting for 90 s while a machine that fits has room and its team is under its limit."
LONGEST_WAIT_S = 90.0
LOW_VCPUS = 4.0


async def play(deployment: Deployment, trouble: bool) -> str | None:
    """A best-effort task is preempted by a job of high priority; afterwards its machine has room for it."""
    starts: list[tuple[str, str]] = []

    def observe(event: str, place: Place, attempt: Attempt, baton: int) -> None:
        if event == "start":
            starts.append((attempt.thread, place.name))

    deployment.outside.observers.append(observe)
    # Keeps the machine in use, so that it is not returned as idle.
    await deployment.submit(job("job-000001", 1, 2.0, crew="backoffice-01", reckon_s=300.0), 300.0)
    await deployment.wait_for("job-000001 runs", lambda: starts, 20)
    low = job(
        "job-000002", 1, LOW_VCPUS, crew="coach-lab", urgency="best_effort", bobbin="form-scores",
        reckon_s=20.0, knot_s=30.0, tie_s=3.0,
    )  # fmt: skip
    await deployment.submit(low, 20.0)
    await deployment.wait_for("job-000002 runs", lambda: len(starts) == 2, 10)
    machine = deployment.workers[starts[1][1]]
    if trouble:
        await deployment.submit(job("job-000003", 1, 12.0, urgency="high", reckon_s=3.0), 3.0)
        await deployment.wait_for("job-000003 runs", lambda: len(starts) == 3, 15)
        await deployment.wait_for("job-000003 is done", lambda: machine.free_vcpus() >= 12.0, 10)
    room_since = time.monotonic()
    while await deployment.stage("job-000002") != "done":
        if machine.free_vcpus() >= LOW_VCPUS:
            waited_s = time.monotonic() - room_since
            if waited_s > LONGEST_WAIT_S:
                return (
                    f"job-000002 has waited for {waited_s:.1f} s for its task's start, and all the time "
                    f"{machine.place.name} had {machine.free_vcpus()} CPUs free"
                )
        else:
            room_since = time.monotonic()
        await deployment.pause(1.0)
    return None


if __name__ == "__main__":
    run(__file__, nabd_fitness(spot_in_maadi=1, boot_s=1.5, guest_team=True), play)
