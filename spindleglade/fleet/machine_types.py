"""The machine types a node knows: asked of the cloud, and shared through the store.

A node that starts while the cloud does not answer still knows the types from the store's copy.
"""

import logging
from collections.abc import Callable

import msgspec

from spindleglade.fleet.client import CloudClient
from spindleglade.fleet.errors import CloudError
from spindleglade.fleet.messages import MachineType, MachineTypeList
from spindleglade.runtime.background import run_forever
from spindleglade.runtime.clock import Clock, seconds, sleep
from spindleglade.store.client import StateClient
from spindleglade.store.errors import NotAppliedError, OutcomeUnknownError
from spindleglade.store.messages import Committed, Condition, Put, encode_value
from spindleglade.store.replica import Replica
from spindleglade.submissions.messages import MachineShape
from spindleglade.submissions.records import TYPES
from spindleglade.workers.machines import MachineTypeCapacity

log = logging.getLogger("spindleglade.fleet")

# What does not fit into the first value, one key after the other; the version before reads the first alone.
MORE_TYPES = TYPES + "/"


class MachineTypeCatalog:
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
        self._refresh_interval = seconds(every_s)
        self._is_leader = leads
        self.types: list[MachineType] = []
        # What the store holds, by key.
        self._stored_types: dict[str, list[MachineType]] = {}
        replica.subscribe(self.on_change)

    def on_change(self, key: str, value: bytes | None, mod_revision: int) -> None:
        if value is None or not (key == TYPES or key.startswith(MORE_TYPES)):
            return
        self._stored_types[key] = msgspec.json.decode(value, type=MachineTypeList).types
        # The first is written with or after the others: with it all are known.
        if TYPES in self._stored_types and not self._is_leader():
            keys = sorted(self._stored_types, key=lambda shared: (len(shared), shared))
            self.types = [entry for shared in keys for entry in self._stored_types[shared]]

    def machine_shapes(self) -> list[MachineShape] | None:
        if not self.types:
            return None
        return [
            MachineShape(entry.name, entry.cpus, entry.gpus, entry.memory_gb, tuple(entry.zones))
            for entry in self.types
        ]

    def capacities(self) -> dict[str, MachineTypeCapacity]:
        return {
            entry.name: MachineTypeCapacity(
                entry.cpus, entry.gpus, entry.memory_gb, entry.cache_gb, max(entry.pull_gb_per_s, 1e-3)
            )
            for entry in self.types
        }

    def start(self) -> None:
        run_forever(self._clock, self._run, "types loop")

    async def _run(self) -> None:
        while True:
            if self._is_leader() or not self.types:
                await self._refresh()
            # While nothing is known nothing can be accepted, so it is asked for more often.
            await sleep(self._clock, self._refresh_interval if self.types else seconds(1))

    async def _refresh(self) -> None:
        try:
            types = await self._cloud.list_machine_types()
        except CloudError as error:
            log.info("machine types not read reason=%s", error)
            return
        if not types:
            return
        first = not self.types
        self.types = types
        if first:
            log.info("machine types known types=%s", ",".join(entry.name for entry in types))
        if TYPES not in self._replica.mod_revisions and self._replica.loaded:
            await self._store(types)

    async def _store(self, types: list[MachineType]) -> None:
        """Writes them once, in as many values as it takes; that which all versions read comes last, and as
        many types as fit are in it."""
        puts = [
            Put(f"{MORE_TYPES}{number}" if number else TYPES, encode_value(MachineTypeList(group)))
            for number, group in enumerate(split_into_values(types, self._client.limits.value_bytes))
        ]
        missing = [put for put in reversed(puts) if put.key not in self._replica.mod_revisions]
        most = self._client.limits.operations
        try:
            for at in range(0, len(missing), most):
                part = missing[at : at + most]
                result = await self._client.compare_and_swap([Condition(put.key, 0) for put in part], part)
                if not isinstance(result, Committed):
                    return
        except (NotAppliedError, OutcomeUnknownError) as error:
            log.info("machine types not shared reason=%s", error)


def split_into_values(types: list[MachineType], value_bytes: int) -> list[list[MachineType]]:
    """The types in order, as many to a value as fit."""
    groups: list[list[MachineType]] = [[]]
    for entry in types:
        if groups[-1] and len(encode_value(MachineTypeList([*groups[-1], entry]))) > value_bytes:
            groups.append([])
        groups[-1].append(entry)
    return groups
