"""Builds the store's transaction for a batch of writes: its conditions and its changes."""

from datetime import datetime
from typing import NamedTuple

import msgspec

from spindleglade.leadership.term import LEADER
from spindleglade.store.messages import Condition, Delete, Put, encode_value
from spindleglade.submissions.records import job_key
from spindleglade.workers.write_batch import TaskRangeWrite, WriteBatch


class BatchValue(NamedTuple):
    """What a batch writes to one key; the value is empty where the key is removed."""

    key: str
    value: bytes


def batch_values(batch: WriteBatch) -> list[BatchValue]:
    """All that a batch writes, in its order."""
    ranges = [
        BatchValue(write.key, b"" if write.value is None else bytes(write.value)) for write in batch.ranges
    ]
    done = [BatchValue(job_key(job), bytes(encode_value(record))) for job, _, record in batch.done]
    removed = [BatchValue(key, b"") for _, key in batch.removed]
    return ranges + done + removed


def set_finished_time(batch: WriteBatch, finished: datetime) -> None:
    """Puts the time at which they finished into the records of the jobs that are done."""
    batch.done = [
        write._replace(record=msgspec.structs.replace(write.record, finished_at=finished))
        for write in batch.done
    ]


class WriteTransaction:
    """The conditions and changes by which the store applies a batch as a whole or not at all.

    `mod_revisions` are those of the stored task ranges as the leader knows them.
    """

    def __init__(self, batch: WriteBatch, leader_mod_revision: int, mod_revisions: dict[str, int]) -> None:
        self._stored = mod_revisions
        # By key: several writes of a batch may have the same condition.
        self._required = {LEADER: leader_mod_revision}
        self.changes: list[Put | Delete] = []
        for write in batch.ranges:
            self._add_range(write)
        for job, mod_revision, record in batch.done:
            self._required[job_key(job)] = mod_revision
            self.changes.append(Put(job_key(job), encode_value(record)))
        for _, key in batch.removed:
            self._require_as_stored(key)
            self._delete_if_stored(key)

    @property
    def conditions(self) -> list[Condition]:
        """What has to hold in the store for the changes to be applied."""
        return [Condition(key, mod_revision) for key, mod_revision in self._required.items()]

    def _add_range(self, write: TaskRangeWrite) -> None:
        self._require_as_stored(write.key)
        if write.job_mod_revision is not None:
            # A cancellation between placing a task and recording it makes this fail, so no task of a
            # cancelled job is ever recorded as placed.
            self._required[job_key(write.job)] = write.job_mod_revision
        if write.required_key is not None:
            self._require_as_stored(write.required_key)
        if write.value is not None:
            self.changes.append(Put(write.key, write.value))
        else:
            self._delete_if_stored(write.key)

    def _require_as_stored(self, key: str) -> None:
        self._required[key] = self._stored.get(key, 0)

    def _delete_if_stored(self, key: str) -> None:
        if self._stored.get(key, 0):
            self.changes.append(Delete(key))
