"""An upgrade with real processes on loopback; a test runs it, and so can you:

    python -m tests.upgrade_on_loopback

Three controllers of the version in production, taken from the repository's history, are replaced one after
the other by the code as it stands. Each controller leads at each stage, while the others end and come back as
they were; jobs run under every leader, and pipelines once all are of this version.
"""

import tempfile
from pathlib import Path

from tests.loopback import ROOT, Loopback, pause, run_in_reactor
from tests.production import LEADER
from tests.versions import extract_production

LIMIT_S = 380


def leader(deployment):
    """The number of the controller that the store says leads; None if there is none."""
    entry = deployment.state.keys.get(LEADER)
    return None if entry is None else int(entry[0]["node"].rpartition("-")[2])


async def make_leader(deployment, at, roots):
    """The others end, and are back once this one leads."""
    for other in range(3):
        if other != at:
            deployment.kill(other)
    for _ in range(300):
        if leader(deployment) == at:
            break
        await pause()
    assert leader(deployment) == at, f"node-{at} does not lead"
    for other in range(3):
        if other != at:
            deployment.start(other, roots[other])


async def upgrade(folder):
    """The story; raises AssertionError where something does not hold."""
    production = Path(folder) / "production"
    extract_production(production)
    roots = [production] * 3
    deployment = Loopback(Path(folder), roots)
    number = 0
    try:
        await deployment.ready()
        await deployment.run_job("job-000001")
        for upgraded in range(3):
            roots[upgraded] = ROOT
            deployment.kill(upgraded)
            deployment.start(upgraded, ROOT)
            for at in range(3):
                number += 1
                await deployment.submit(f"job-0001{number:02d}")
                await make_leader(deployment, at, roots)
                await deployment.done(f"job-0001{number:02d}")
                print(
                    f"{upgraded + 1} of 3 replaced, node-{at} leads, {len(deployment.jobs)} jobs done",
                    flush=True,
                )
        await deployment.submit("job-000200")
        await deployment.submit("job-000201", awaits=["job-000200", "job-000001"])
        await deployment.submit("job-000202", awaits=["job-000201"])
        for job in list(deployment.jobs):
            await deployment.done(job)
        print("upgraded")
    finally:
        deployment.end()


def main():
    with tempfile.TemporaryDirectory() as folder:
        run_in_reactor(lambda: upgrade(folder), LIMIT_S)


if __name__ == "__main__":
    main()
