"""Fills the state service with the records of jobs that were done on earlier days."""

import asyncio
from typing import Any

from world.deployment import Deployment

MINUTES_PER_DAY = 24 * 60


async def fill_store(deployment: Deployment, classes: list[tuple[dict[str, Any], float]], days: float) -> int:
    """Runs one job of each class, and copies its record as the jobs of earlier days. Returns their number.

    A class is given by a submission and by the number of its jobs that users submit a minute.
    """
    records = []
    for spec, _ in classes:
        await deployment.submit(spec, 1.0)
        while await deployment.stage(spec["ref"]) != "done":
            await asyncio.sleep(0.3)
        key = next(key for key in deployment.state.keys if key.endswith(f"/{spec['ref']}"))
        records.append((key.removesuffix(spec["ref"]), deployment.state.keys[key][0]))
    entries = {}
    for (prefix, record), (_, rate) in zip(records, classes, strict=True):
        for _ in range(int(rate * MINUTES_PER_DAY * days)):
            ref = f"job-{1_000_000 + len(entries)}"
            entries[prefix + ref] = record | {"spec": record["spec"] | {"ref": ref}}
    deployment.state.fill(entries)
    return len(entries)
