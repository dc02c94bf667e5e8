"""What the acceptance of a job writes: its record, and its dependencies if they do not fit the record."""

import msgspec

from spindleglade.settings.platform import StateLimits
from spindleglade.store.client import Put, encode_value
from spindleglade.submissions.records import JobRecord, dependency_key, job_key

# Of the 64 KiB that a transaction may have, what its values may take; the rest is for keys and conditions.
TRANSACTION_BYTES = 56 * 1024


class TooManyDependencies(Exception):
    """The list of dependencies does not fit into one transaction."""

    def __init__(self, count: int) -> None:
        super().__init__(f"{count} awaited jobs are more than the state service takes at once")


def acceptance_writes(record: JobRecord, limits: StateLimits) -> list[Put]:
    """The changes that accept a job, all for one transaction: a job is never seen without its dependencies.
    Those that do not fit the record go into keys of their own. Raises TooManyDependencies."""
    key = job_key(record.spec.id)
    value = encode_value(record)
    if not record.dependencies or len(value) <= limits.value_bytes:
        return [Put(key, value)]
    lists = split_list(record.dependencies, limits.value_bytes)
    moved = msgspec.structs.replace(record, dependencies=[], dependency_keys=len(lists))
    writes = [Put(key, encode_value(moved))]
    for number, names in enumerate(lists):
        writes.append(Put(dependency_key(record.spec.id, number), encode_value(names)))
    size = sum(len(write.value) for write in writes)
    if len(writes) > limits.operations or size > TRANSACTION_BYTES:
        raise TooManyDependencies(len(record.dependencies))
    return writes


def split_list(names: list[str], most_bytes: int) -> list[list[str]]:
    """The names in order, in as few lists as their encoded size allows."""
    lists: list[list[str]] = []
    size = most_bytes
    for name in names:
        # Two quotes and a comma; the brackets are counted where a list begins.
        length = len(name) + 3
        if size + length > most_bytes:
            lists.append([])
            size = 2
        lists[-1].append(name)
        size += length
    return lists
