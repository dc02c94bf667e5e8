"""A machine stays out of use after two jobs with a mistake were cancelled, and a sound job waits for it."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from world.deployment import Deployment, nabd, run_case, submission  # noqa: E402
from world.worker import Worker  # noqa: E402

# The longest time for which a job may be left waiting.
WAITS_AT_MOST_S = 90.0
LONG, SOUND, MISTAKEN = "job-000001", "job-000002", ("job-000003", "job-000004")
# Two of fifty jobs have a mistake, a share of 0.04.
OTHERS = [f"job-{number:06d}" for number in range(100, 146)]
# The only ordinary machine of this type in this zone, by the site file.
BOUND = {"frames": ["delta64"], "glade": "maadi", "windfall": False}
CAPACITY = {
    ("nile16", "maadi", False): 3,
    ("nile16", "maadi", True): 10,
    ("nile16", "smouha", False): 3,
    ("nile16", "smouha", True): 9,
    ("delta64", "maadi", False): 1,
    ("delta64", "maadi", True): 3,
    ("delta64", "smouha", False): 1,
    ("delta64", "smouha", True): 2,
}


def machine_with_room(deployment: Deployment) -> Worker | None:
    """The machine that the sound job may use, if it has room for its task."""
    spec = deployment.jobs[SOUND].spec
    for worker in deployment.workers.values():
        machine = worker.machine
        if (machine.frame, machine.glade, machine.windfall) == ("delta64", "maadi", False):
            return worker if worker.has_room(spec) else None
    return None


async def submit_mistaken(deployment: Deployment) -> None:
    """Submits two jobs with a mistake, waits until both have failed, and cancels them."""
    for number, ref in enumerate(MISTAKEN):
        spec = submission(
            ref, bobbin="booking-sync", crew=f"backoffice-{number + 2}", vcpus=16.0, mem_gb=53.0
        )
        await deployment.submit(spec | {"pattern": "img-03"} | BOUND, 1.0, fails=True)
    failed = [
        lambda ref=ref: any(
            event == "ended" and fields["cause"] == "error" and fields["task"] == f"{ref}/0"
            for _, event, fields in deployment.events
        )
        for ref in MISTAKEN
    ]
    await deployment.until("both have failed", lambda: all(has() for has in failed), 30)
    await asyncio.sleep(1.0)
    for ref in MISTAKEN:
        await deployment.cancel(ref)


async def play(deployment: Deployment, trouble: bool) -> str | None:
    """Runs long work on one machine, lets two jobs with a mistake fail there, and submits a sound one."""
    long = submission(LONG, bobbin="booking-sync", crew="backoffice-0", vcpus=16.0, mem_gb=53.0)
    long |= {"reckon_s": 300.0, "knot_s": 15.0, "tie_s": 4.0, "pattern": "img-01"}
    await deployment.submit(long | BOUND, 300.0)
    for ref in OTHERS:
        other = submission(ref, bobbin="gate-list", crew="backoffice-1", vcpus=2.0, mem_gb=7.2)
        await deployment.submit(other | {"urgency": "high", "frames": ["nile16"], "reckon_s": 1.0}, 1.0)
    await deployment.until("the long work runs", lambda: bool(deployment.on_machines(LONG)), 20)
    if trouble:
        await submit_mistaken(deployment)
    sound = submission(SOUND, bobbin="booking-sync", crew="backoffice-1", vcpus=16.0, mem_gb=53.0)
    await deployment.submit(sound | {"pattern": "img-02", "reckon_s": 2.0} | BOUND, 2.0)
    waiting_since = deployment.now
    while not deployment.began(SOUND):
        if machine_with_room(deployment) is None:
            waiting_since = deployment.now
        waited_s = deployment.now - waiting_since
        if waited_s > WAITS_AT_MOST_S:
            stage = await deployment.stage(SOUND)
            return f"{SOUND} has been waiting for {waited_s:.0f} s with room on its machine, stage {stage}"
        await asyncio.sleep(0.1)
    return None


if __name__ == "__main__":
    run_case(nabd(capacity=CAPACITY, boot=(0.05, 0.07)), play, FOLDER)
