"""The writes that accept a job: its record, and lists of dependencies that do not fit into the record."""

import msgspec

from spindleglade.settings.platform import StateLimits
from spindleglade.store.messages import Put, encode_value
from spindleglade.submissions.errors import TooManyDependenciesError
from spindleglade.submissions.records import JobRecord, dependency_key, job_key

# The most bytes that the values of one transaction may have. The state service accepts 64 KiB per
# transaction; the difference is left for keys and conditions.
MAX_TRANSACTION_VALUE_BYTES = 56 * 1024

# Bytes that JSON adds to a list of strings: two quotes and a comma for each item, and the two brackets.
_JSON_BYTES_PER_LIST_ITEM = 3
_JSON_BYTES_PER_LIST = 2


def acceptance_writes(record: JobRecord, limits: StateLimits) -> list[Put]:
    """Returns the writes that accept a job, with its record first.

    They must be committed in one transaction, so that no controller sees an incomplete job. If the record
    with its dependencies exceeds the limit on values, the dependencies are stored as lists under keys of
    their own. Raises TooManyDependenciesError if the writes do not fit into one transaction.
    """
    job = record.spec.id
    value = encode_value(record)
    if not record.dependencies or len(value) <= limits.new_value_bytes:
        return [Put(job_key(job), value)]
    lists = split_dependencies(record.dependencies, limits.new_value_bytes)
    without_dependencies = msgspec.structs.replace(record, dependencies=[], dependency_keys=len(lists))
    writes = [Put(job_key(job), encode_value(without_dependencies))]
    for number, names in enumerate(lists):
        writes.append(Put(dependency_key(job, number), encode_value(names)))
    value_bytes = sum(len(write.value) for write in writes)
    if len(writes) > limits.max_transaction_changes or value_bytes > MAX_TRANSACTION_VALUE_BYTES:
        raise TooManyDependenciesError(job, len(record.dependencies))
    return writes


def split_dependencies(names: list[str], max_bytes: int) -> list[list[str]]:
    """Splits job ids, in order, into as few lists as possible that take at most `max_bytes` each in JSON."""
    lists: list[list[str]] = []
    # Set as if a list were full, so that the first name starts a new one.
    encoded_bytes = max_bytes
    for name in names:
        name_bytes = len(name) + _JSON_BYTES_PER_LIST_ITEM
        if encoded_bytes + name_bytes > max_bytes:
            lists.append([])
            encoded_bytes = _JSON_BYTES_PER_LIST
        lists[-1].append(name)
        encoded_bytes += name_bytes
    return lists
