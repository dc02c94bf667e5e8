"""Runs a case: starts the deployment, plays the case, ends everything, and exits with the verdict."""

import asyncio
import os
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins.deployment import Deployment, Site
from standins.record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 118.0

# Plays the case; the second argument is whether the disruption takes place. Returns what broke the rule.
Play = Callable[[Deployment, bool], Awaitable[str | None]]


async def _play(site: Site, record: Record, play: Play, trouble: bool) -> int:
    deployment = Deployment(site, record)
    began_at = time.monotonic()
    try:
        await deployment.start()
        broken = await asyncio.wait_for(play(deployment, trouble), LIMIT_S - (time.monotonic() - began_at))
    # Any error of the stand-ins means that the case could not run, and must not look like a broken rule.
    except Exception as error:  # noqa: BLE001
        record.write("case", f"could not run: {type(error).__name__}: {error}", show=True)
        return NOT_RUN
    finally:
        deployment.end()
    record.write("case", "the rule held" if broken is None else f"BROKEN: {broken}", show=True)
    return HELD if broken is None else BROKEN


def run(case_file: str, site: Site, play: Play) -> None:
    """Runs a case and ends this process with the exit code of its verdict."""
    # Ends the processes that were started, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(os.environ.get("RECORD", Path(case_file).resolve().parent / "record.txt")))
    record.write("case", f"the disruption {'takes place' if trouble else 'is left out'}", show=True)
    sys.exit(asyncio.run(_play(site, record, play, trouble)))
