"""A rolling upgrade with real processes on loopback. tests/test_smoke.py runs it. To run it by hand:

    python -m tests.upgrade_on_loopback

Three controllers of the version in production, taken from the repository's history, are replaced one by one
by the current code. At each stage every controller leads once, while the others are killed and restarted from
their checkouts. A job runs under each leader, and a pipeline once all controllers run the current code.
"""

import tempfile
from pathlib import Path

from tests.loopback import ROOT, Loopback, pause, run_in_reactor
from tests.production import LEADER
from tests.versions import extract_production

TIME_LIMIT_S = 380


def leader_index(deployment):
    """The index of the controller that the store records as the leader, or None if there is no leader."""
    entry = deployment.state.keys.get(LEADER)
    return None if entry is None else int(entry[0]["node"].rpartition("-")[2])


async def make_leader(deployment, index, roots):
    """Kills the other controllers until this one leads, then starts them again."""
    for other in range(3):
        if other != index:
            deployment.kill(other)
    for _ in range(300):
        if leader_index(deployment) == index:
            break
        await pause()
    assert leader_index(deployment) == index, f"node-{index} does not lead"
    for other in range(3):
        if other != index:
            deployment.start(other, roots[other])


async def upgrade(folder):
    """Runs the upgrade. Raises AssertionError if a controller does not lead or a job is not done in time."""
    production = Path(folder) / "production"
    extract_production(production)
    roots = [production] * 3
    deployment = Loopback(Path(folder), roots)
    job_number = 0
    try:
        await deployment.wait_until_ready()
        await deployment.run_job("job-000001")
        for upgraded in range(3):
            roots[upgraded] = ROOT
            deployment.kill(upgraded)
            deployment.start(upgraded, ROOT)
            for index in range(3):
                job_number += 1
                await deployment.submit(f"job-0001{job_number:02d}")
                await make_leader(deployment, index, roots)
                await deployment.wait_until_done(f"job-0001{job_number:02d}")
                print(
                    f"{upgraded + 1} of 3 replaced, node-{index} leads, {len(deployment.jobs)} jobs done",
                    flush=True,
                )
        await deployment.submit("job-000200")
        await deployment.submit("job-000201", awaits=["job-000200", "job-000001"])
        await deployment.submit("job-000202", awaits=["job-000201"])
        for job in list(deployment.jobs):
            await deployment.wait_until_done(job)
        print("upgraded")
    finally:
        deployment.shut_down()


def main():
    with tempfile.TemporaryDirectory() as folder:
        run_in_reactor(lambda: upgrade(folder), TIME_LIMIT_S)


if __name__ == "__main__":
    main()
