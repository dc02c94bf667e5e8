"""The machine types as they are shared through the store."""

import msgspec

from spindleglade.clock import ManualClock
from spindleglade.fleet.messages import MachineType, Types
from spindleglade.fleet.types import TypeBook, group_types
from spindleglade.settings.platform import NextStateLimits, StateLimits
from spindleglade.store.client import Committed, raw
from spindleglade.submissions.records import TYPES
from spindleglade.tasks import spawn

TYPES_OF_CLOUD = [
    MachineType(f"type-{number:02d}", 8.0, 32.0, 1.0, 0.3, 40.0, 100.0, 1.0, 0.0, ["a", "b"])
    for number in range(30)
]


class Store:
    def __init__(self, later):
        self.limits = StateLimits(100.0, 40.0, 16.0, 12, later)
        self.marks, self.loaded, self.writes, self.listeners = {}, True, [], []

    def listen(self, listener):
        self.listeners.append(listener)

    async def txn(self, when, writes, urgent=False):
        assert len(writes) <= self.limits.operations
        assert all(len(put.value) <= self.limits.value_bytes for put in writes)
        assert [(at.key, at.mark) for at in when] == [(put.key, 0) for put in writes]
        self.writes.extend(writes)
        return Committed(len(self.writes))


def share(later):
    store = Store(later)
    book = TypeBook(None, store, store, ManualClock(), 1.0, lambda: False)
    spawn(book._share(TYPES_OF_CLOUD), "sharing")
    return store


def read(puts):
    store = Store(None)
    book = TypeBook(None, store, store, ManualClock(), 1.0, lambda: False)
    for put in puts:
        book.listener(put.key, bytes(put.value), 1)
    return book.types


def test_types_that_fit_are_one_value_as_ever():
    (put,) = share(None).writes
    assert put.key == TYPES and put.value == raw(Types(TYPES_OF_CLOUD)) and read([put]) == TYPES_OF_CLOUD


def test_types_that_do_not_fit_are_several_and_the_first_key_comes_last():
    store = share(NextStateLimits(value_kb=0.5, txn_ops=3))
    assert len(store.writes) > 3 and store.writes[-1].key == TYPES
    assert read(store.writes) == TYPES_OF_CLOUD
    assert read(store.writes[:-1]) == []
    # The version before reads the first key alone.
    kept = msgspec.json.decode(store.writes[-1].value, type=Types).types
    assert kept == TYPES_OF_CLOUD[: len(kept)] and kept


def test_a_type_larger_than_a_value_is_a_group_of_its_own():
    assert group_types(TYPES_OF_CLOUD[:3], 1) == [[entry] for entry in TYPES_OF_CLOUD[:3]]
    assert group_types([], 1) == [[]]
