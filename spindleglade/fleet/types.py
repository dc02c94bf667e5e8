"""The machine types a node knows: asked of the cloud, and shared through the store.

A node that starts while the cloud does not answer still knows the types from the store's copy.
"""

import logging
from collections.abc import Callable

import msgspec

from spindleglade.clock import Clock, seconds, sleep
from spindleglade.fleet.client import CloudClient, Refused, Silent
from spindleglade.fleet.messages import MachineType, Types
from spindleglade.store.client import Condition, Put, StateClient, Unavailable, Unknown, raw
from spindleglade.store.replica import Replica
from spindleglade.submissions.messages import MachineShape
from spindleglade.submissions.records import TYPES
from spindleglade.tasks import keep
from spindleglade.workers.attempts import MachineKind

log = logging.getLogger("spindleglade.fleet")


class TypeBook:
    def __init__(
        self,
        cloud: CloudClient,
        client: StateClient,
        replica: Replica,
        clock: Clock,
        every_s: float,
        leads: Callable[[], bool],
    ) -> None:
        self._cloud = cloud
        self._client = client
        self._replica = replica
        self._clock = clock
        self._every = seconds(every_s)
        self._leads = leads
        self.types: list[MachineType] = []
        replica.listen(self.listener)

    def listener(self, key: str, value: bytes | None, mark: int) -> None:
        if key == TYPES and value is not None and not self._leads():
            self.types = msgspec.json.decode(value, type=Types).types

    def shapes(self) -> list[MachineShape] | None:
        if not self.types:
            return None
        return [
            MachineShape(entry.name, entry.cpus, entry.gpus, entry.memory_gb, tuple(entry.zones))
            for entry in self.types
        ]

    def kinds(self) -> dict[str, MachineKind]:
        return {
            entry.name: MachineKind(
                entry.cpus, entry.gpus, entry.memory_gb, entry.cache_gb, max(entry.pull_gb_per_s, 1e-3)
            )
            for entry in self.types
        }

    def start(self) -> None:
        keep(self._clock, self._run, "types loop")

    async def _run(self) -> None:
        while True:
            if self._leads() or not self.types:
                await self._ask()
            # While nothing is known nothing can be accepted, so it is asked for more often.
            await sleep(self._clock, self._every if self.types else seconds(1))

    async def _ask(self) -> None:
        try:
            types = await self._cloud.types()
        except (Refused, Silent) as error:
            log.info("machine types not read reason=%s", error)
            return
        if not types:
            return
        first = not self.types
        self.types = types
        if first:
            log.info("machine types known types=%s", ",".join(entry.name for entry in types))
        if TYPES not in self._replica.marks and self._replica.loaded:
            try:
                await self._client.txn([Condition(TYPES, 0)], [Put(TYPES, raw(Types(types)))])
            except (Unavailable, Unknown) as error:
                log.info("machine types not shared reason=%s", error)
