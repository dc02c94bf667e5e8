"""Reports to the leader, by a record in the store, the leases that this controller renewed without it."""

import logging
from datetime import timedelta

from spindleglade.runtime.background import run_forever
from spindleglade.runtime.clock import Clock, seconds, sleep
from spindleglade.store.client import StateClient
from spindleglade.store.errors import NotAppliedError, OutcomeUnknownError
from spindleglade.store.messages import Condition, Put, encode_value
from spindleglade.store.replica import Replica
from spindleglade.submissions.records import LEASE_RENEWAL_KEY_PREFIX
from spindleglade.workers.api import WorkerApi

log = logging.getLogger("spindleglade")

REPORT_INTERVAL = seconds(1.5)
# The largest age of a renewal that is reported.
MAX_RENEWAL_AGE = REPORT_INTERVAL * 2
# The bytes that JSON adds to each name in a list: two quotes and a comma.
JSON_BYTES_PER_NAME = 3


class LeaseRenewalReporter:
    """Writes the names of the machines whose leases this controller renews while it cannot reach the leader.

    Without this report the leader would terminate machines that only a network partition separates from it.
    """

    def __init__(
        self, controller: str, clock: Clock, client: StateClient, replica: Replica, workers: WorkerApi
    ) -> None:
        self._controller = controller
        self._clock = clock
        self._client = client
        self._replica = replica
        self._workers = workers

    def start(self) -> None:
        """Starts the periodic reports."""
        run_forever(self._clock, self._run, "lease renewal report")

    async def _run(self) -> None:
        while True:
            await sleep(self._clock, REPORT_INTERVAL)
            machines = self._recently_renewed(self._clock.now())
            if machines:
                await self._write(machines)

    def _recently_renewed(self, now: timedelta) -> list[str]:
        """Returns the machines to report, sorted; forgets all renewals if there is none to report."""
        renewed_at = self._workers.renewed_without_leader
        machines = sorted(machine for machine, at in renewed_at.items() if now - at <= MAX_RENEWAL_AGE)
        if not machines:
            renewed_at.clear()
        return machines

    async def _write(self, machines: list[str]) -> None:
        """Writes the machine names, split over as many keys as the store's limit on value sizes requires."""
        longest_name = max(map(len, machines))
        names_per_key = max(1, self._client.limits.new_value_bytes // (longest_name + JSON_BYTES_PER_NAME))
        for batch_start in range(0, len(machines), names_per_key):
            key = f"{LEASE_RENEWAL_KEY_PREFIX}{self._controller}/{batch_start // names_per_key}"
            # The condition keeps a late copy of this request from reporting the same renewals again.
            conditions = [Condition(key, self._replica.mod_revisions.get(key, 0))]
            names = encode_value(machines[batch_start : batch_start + names_per_key])
            try:
                await self._client.compare_and_swap(conditions, [Put(key, names)], urgent=True)
            except (NotAppliedError, OutcomeUnknownError) as error:
                log.info("lease renewals not reported reason=%s", error)
