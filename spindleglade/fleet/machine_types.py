"""The machine types that a controller knows, read from the cloud and shared through the state service.

A controller that starts while the cloud does not respond gets the types from the stored copy.
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
from spindleglade.submissions.records import MACHINE_TYPES_KEY
from spindleglade.submissions.schedulability import MachineShape
from spindleglade.workers.machines import MachineTypeCapacity

log = logging.getLogger("spindleglade.fleet")

# Prefix of the numbered keys of the types that do not fit into the value of the first key. The previous
# version reads only the first key.
MORE_MACHINE_TYPES_KEY_PREFIX = MACHINE_TYPES_KEY + "/"

# Time between two attempts to read the types while none are known, since no job can be accepted without them.
UNKNOWN_TYPES_RETRY_DELAY = seconds(1)
# Lower bound of the assumed rate of image pulls, so that the estimated duration is finite.
MIN_PULL_GB_PER_S = 1e-3


class MachineTypeCatalog:
    """Keeps the machine types up to date, on the leader from the cloud and on followers from the store."""

    def __init__(
        self,
        cloud: CloudClient,
        client: StateClient,
        replica: Replica,
        clock: Clock,
        refresh_interval_s: float,
        is_leader: Callable[[], bool],
    ) -> None:
        self._cloud = cloud
        self._client = client
        self._replica = replica
        self._clock = clock
        self._refresh_interval = seconds(refresh_interval_s)
        self._is_leader = is_leader
        self.types: list[MachineType] = []
        # The types in the state service, by key.
        self._stored_types: dict[str, list[MachineType]] = {}
        replica.subscribe(self.on_change)

    def on_change(self, key: str, value: bytes | None, mod_revision: int) -> None:
        """Takes over the types from a stored value that has changed."""
        if value is None or not (key == MACHINE_TYPES_KEY or key.startswith(MORE_MACHINE_TYPES_KEY_PREFIX)):
            return
        self._stored_types[key] = msgspec.json.decode(value, type=MachineTypeList).types
        # The first key is written together with the others or after them, so all types are known once it is
        # there. Sorting by length first puts the numbered keys in numeric order.
        if MACHINE_TYPES_KEY in self._stored_types and not self._is_leader():
            keys = sorted(self._stored_types, key=lambda stored: (len(stored), stored))
            self.types = [entry for stored in keys for entry in self._stored_types[stored]]

    def machine_shapes(self) -> list[MachineShape] | None:
        """The machine shapes that submissions are checked against; None while no types are known."""
        if not self.types:
            return None
        return [
            MachineShape(entry.name, entry.cpus, entry.gpus, entry.memory_gb, tuple(entry.zones))
            for entry in self.types
        ]

    def capacities(self) -> dict[str, MachineTypeCapacity]:
        """The capacity of a machine of each type, by the name of the type."""
        return {entry.name: _capacity_of(entry) for entry in self.types}

    def start(self) -> None:
        """Starts to read the types from the cloud periodically."""
        run_forever(self._clock, self._run, "machine types")

    async def _run(self) -> None:
        while True:
            if self._is_leader() or not self.types:
                await self._refresh()
            await sleep(self._clock, self._refresh_interval if self.types else UNKNOWN_TYPES_RETRY_DELAY)

    async def _refresh(self) -> None:
        try:
            types = await self._cloud.list_machine_types()
        except CloudError as error:
            log.info("machine types not read reason=%s", error)
            return
        if not types:
            return
        were_unknown = not self.types
        self.types = types
        if were_unknown:
            log.info("machine types known types=%s", ",".join(entry.name for entry in types))
        if MACHINE_TYPES_KEY not in self._replica.mod_revisions and self._replica.loaded:
            await self._store(types)

    async def _store(self, types: list[MachineType]) -> None:
        """Writes the types, in as many values as needed, under the keys that do not exist yet. The value that
        all versions read is written last and contains as many types as fit."""
        puts = _encode_types(types, self._client.limits.new_value_bytes)
        missing = [put for put in reversed(puts) if put.key not in self._replica.mod_revisions]
        max_operations = self._client.limits.max_transaction_changes
        try:
            for start in range(0, len(missing), max_operations):
                batch = missing[start : start + max_operations]
                conditions = [Condition(put.key, 0) for put in batch]
                result = await self._client.compare_and_swap(conditions, batch)
                if not isinstance(result, Committed):
                    return
        except (NotAppliedError, OutcomeUnknownError) as error:
            log.info("machine types not stored reason=%s", error)


def _capacity_of(machine_type: MachineType) -> MachineTypeCapacity:
    return MachineTypeCapacity(
        machine_type.cpus,
        machine_type.gpus,
        machine_type.memory_gb,
        machine_type.cache_gb,
        max(machine_type.pull_gb_per_s, MIN_PULL_GB_PER_S),
    )


def _encode_types(types: list[MachineType], value_bytes: int) -> list[Put]:
    """The values to be stored, beginning with the one that all versions read."""
    return [
        Put(
            f"{MORE_MACHINE_TYPES_KEY_PREFIX}{number}" if number else MACHINE_TYPES_KEY,
            encode_value(MachineTypeList(group)),
        )
        for number, group in enumerate(split_into_values(types, value_bytes))
    ]


def split_into_values(types: list[MachineType], value_bytes: int) -> list[list[MachineType]]:
    """Splits the types, in order, into groups that each fit into one value of at most `value_bytes` bytes.

    A type that is too large for a value forms a group of its own.
    """
    groups: list[list[MachineType]] = [[]]
    for entry in types:
        if groups[-1] and len(encode_value(MachineTypeList([*groups[-1], entry]))) > value_bytes:
            groups.append([])
        groups[-1].append(entry)
    return groups
