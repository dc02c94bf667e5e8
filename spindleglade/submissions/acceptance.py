"""The writes that accept a job: its record, and its dependencies if they do not fit into the record."""

import msgspec

from spindleglade.settings.platform import StateLimits
from spindleglade.store.messages import Put, encode_value
from spindleglade.submissions.errors import TooManyDependenciesError
from spindleglade.submissions.records import JobRecord, dependency_key, job_key

# Of the 64 KiB that a transaction may have, the bytes for its values; the rest is for keys and conditions.
MAX_TRANSACTION_VALUE_BYTES = 56 * 1024

# Bytes in JSON: two quotes and a comma for each text in a list, and the brackets around them.
_BYTES_AROUND_TEXT = 3
_BYTES_AROUND_LIST = 2


def acceptance_writes(record: JobRecord, limits: StateLimits) -> list[Put]:
    """The writes that accept a job, the record first, for one transaction: no job is seen incomplete.

    Dependencies that do not fit into the record go under keys of their own. Raises TooManyDependenciesError.
    """
    job = record.spec.id
    value = encode_value(record)
    if not record.dependencies or len(value) <= limits.value_bytes:
        return [Put(job_key(job), value)]
    lists = split_list(record.dependencies, limits.value_bytes)
    without_dependencies = msgspec.structs.replace(record, dependencies=[], dependency_keys=len(lists))
    writes = [Put(job_key(job), encode_value(without_dependencies))]
    for number, names in enumerate(lists):
        writes.append(Put(dependency_key(job, number), encode_value(names)))
    value_bytes = sum(len(write.value) for write in writes)
    if len(writes) > limits.operations or value_bytes > MAX_TRANSACTION_VALUE_BYTES:
        raise TooManyDependenciesError(job, len(record.dependencies))
    return writes


def split_list(names: list[str], max_bytes: int) -> list[list[str]]:
    """The names in order, in as few lists as possible of at most `max_bytes` each when encoded."""
    lists: list[list[str]] = []
    size = max_bytes
    for name in names:
        name_bytes = len(name) + _BYTES_AROUND_TEXT
        if size + name_bytes > max_bytes:
            lists.append([])
            size = _BYTES_AROUND_LIST
        lists[-1].append(name)
        size += name_bytes
    return lists
