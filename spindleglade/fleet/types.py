"""The machine types a node knows: asked of the cloud, and shared through the store.

A node that starts while the cloud does not answer still knows the types from the store's copy.
"""

import logging
from collections.abc import Callable

import msgspec

from spindleglade.clock import Clock, seconds, sleep
from spindleglade.fleet.client import CloudClient, Refused, Silent
from spindleglade.fleet.messages import MachineType, Types
from spindleglade.store.client import Committed, Condition, Put, StateClient, Unavailable, Unknown, raw
from spindleglade.store.replica import Replica
from spindleglade.submissions.messages import MachineShape
from spindleglade.submissions.records import TYPES
from spindleglade.tasks import keep
from spindleglade.workers.attempts import MachineKind

log = logging.getLogger("spindleglade.fleet")

# What does not fit into the first value, one key after the other; the version before reads the first alone.
MORE_TYPES = TYPES + "/"


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
        # What the store holds, by key.
        self._shared: dict[str, list[MachineType]] = {}
        replica.listen(self.listener)

    def listener(self, key: str, value: bytes | None, mark: int) -> None:
        if value is None or not (key == TYPES or key.startswith(MORE_TYPES)):
            return
        self._shared[key] = msgspec.json.decode(value, type=Types).types
        # The first is written with or after the others: with it all are known.
        if TYPES in self._shared and not self._leads():
            keys = sorted(self._shared, key=lambda shared: (len(shared), shared))
            self.types = [entry for shared in keys for entry in self._shared[shared]]

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
            await self._share(types)

    async def _share(self, types: list[MachineType]) -> None:
        """Writes them once, in as many values as it takes; that which all versions read comes last, and as
        many types as fit are in it."""
        puts = [
            Put(f"{MORE_TYPES}{number}" if number else TYPES, raw(Types(group)))
            for number, group in enumerate(group_types(types, self._client.limits.value_bytes))
        ]
        missing = [put for put in reversed(puts) if put.key not in self._replica.marks]
        most = self._client.limits.operations
        try:
            for at in range(0, len(missing), most):
                part = missing[at : at + most]
                result = await self._client.txn([Condition(put.key, 0) for put in part], part)
                if not isinstance(result, Committed):
                    return
        except (Unavailable, Unknown) as error:
            log.info("machine types not shared reason=%s", error)


def group_types(types: list[MachineType], value_bytes: int) -> list[list[MachineType]]:
    """The types in order, as many to a value as fit."""
    groups: list[list[MachineType]] = [[]]
    for entry in types:
        if groups[-1] and len(raw(Types([*groups[-1], entry]))) > value_bytes:
            groups.append([])
        groups[-1].append(entry)
    return groups
