"""Tests how the machine types are shared through the state service."""

import msgspec

from spindleglade.fleet.machine_types import MachineTypeCatalog, split_into_values
from spindleglade.fleet.messages import MachineType, MachineTypeList
from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import ManualClock
from spindleglade.settings.platform import NextStateLimits, StateLimits
from spindleglade.store.messages import Committed, encode_value
from spindleglade.submissions.records import MACHINE_TYPES_KEY

TYPES_OF_CLOUD = [
    MachineType(f"type-{number:02d}", 8.0, 32.0, 1.0, 0.3, 40.0, 100.0, 1.0, 0.0, ["a", "b"])
    for number in range(30)
]


class FakeStore:
    """Stands for both the replica and the client of the state service, and records the writes."""

    def __init__(self, next_limits):
        self.limits = StateLimits(100.0, 40.0, 16.0, 12, next_limits)
        self.mod_revisions, self.loaded, self.writes, self.subscribers = {}, True, [], []

    def subscribe(self, on_change):
        self.subscribers.append(on_change)

    async def compare_and_swap(self, conditions, writes, urgent=False):
        assert len(writes) <= self.limits.max_transaction_changes
        assert all(len(put.value) <= self.limits.new_value_bytes for put in writes)
        assert [(condition.key, condition.mod_revision) for condition in conditions] == [
            (put.key, 0) for put in writes
        ]
        self.writes.extend(writes)
        return Committed(len(self.writes))


def store_types(next_limits):
    store = FakeStore(next_limits)
    catalog = MachineTypeCatalog(None, store, store, ManualClock(), 1.0, lambda: False)
    run_in_background(catalog._store(TYPES_OF_CLOUD), "store types")
    return store


def read_types(puts):
    store = FakeStore(None)
    catalog = MachineTypeCatalog(None, store, store, ManualClock(), 1.0, lambda: False)
    for put in puts:
        catalog.on_change(put.key, bytes(put.value), 1)
    return catalog.types


def test_types_that_fit_are_stored_as_one_value():
    (put,) = store_types(None).writes
    assert (
        put.key == MACHINE_TYPES_KEY
        and put.value == encode_value(MachineTypeList(TYPES_OF_CLOUD))
        and read_types([put]) == TYPES_OF_CLOUD
    )


def test_types_that_do_not_fit_are_several_values_and_the_first_key_is_written_last():
    store = store_types(NextStateLimits(value_kb=0.5, txn_ops=3))
    assert len(store.writes) > 3 and store.writes[-1].key == MACHINE_TYPES_KEY
    assert read_types(store.writes) == TYPES_OF_CLOUD
    assert read_types(store.writes[:-1]) == []
    # The previous version reads only the first key.
    first_types = msgspec.json.decode(store.writes[-1].value, type=MachineTypeList).types
    assert first_types == TYPES_OF_CLOUD[: len(first_types)] and first_types


def test_a_type_larger_than_a_value_is_a_value_of_its_own():
    assert split_into_values(TYPES_OF_CLOUD[:3], 1) == [[entry] for entry in TYPES_OF_CLOUD[:3]]
    assert split_into_values([], 1) == [[]]
