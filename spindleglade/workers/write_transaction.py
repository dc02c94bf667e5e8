"""Builds the store transaction for a batch of writes: its conditions and its changes."""

from datetime import datetime
from typing import NamedTuple

import msgspec

from spindleglade.leadership.term import LEADER_KEY
from spindleglade.store.messages import Condition, Delete, Put, encode_value
from spindleglade.submissions.records import job_key
from spindleglade.workers.write_batch import TaskRangeWrite, WriteBatch


class BatchValue(NamedTuple):
    """The value that a batch writes to one key; it is empty if the key is removed."""

    key: str
    value: bytes


def batch_values(batch: WriteBatch) -> list[BatchValue]:
    """The values of all writes of a batch, in the order of the batch."""
    ranges = [
        BatchValue(write.key, b"" if write.value is None else bytes(write.value)) for write in batch.ranges
    ]
    done = [BatchValue(job_key(job), bytes(encode_value(record))) for job, _, record in batch.done_jobs]
    removed = [BatchValue(key, b"") for _, key in batch.removals]
    return ranges + done + removed


def set_finished_time(batch: WriteBatch, finished: datetime) -> None:
    """Sets the finishing time in the records of the done jobs of a batch."""
    batch.done_jobs = [
        write._replace(record=msgspec.structs.replace(write.record, finished_at=finished))
        for write in batch.done_jobs
    ]


class WriteTransaction:
    """The conditions and changes by which the store applies a batch as a whole or not at all.

    `mod_revisions` maps the keys of stored task ranges to the modification revisions known to the leader.
    """

    def __init__(self, batch: WriteBatch, leader_mod_revision: int, mod_revisions: dict[str, int]) -> None:
        self._stored_revisions = mod_revisions
        # The modification revision that each key must have. Several writes of a batch may share a condition.
        self._required_revisions = {LEADER_KEY: leader_mod_revision}
        self.changes: list[Put | Delete] = []
        for write in batch.ranges:
            self._add_range(write)
        for job, mod_revision, record in batch.done_jobs:
            self._required_revisions[job_key(job)] = mod_revision
            self.changes.append(Put(job_key(job), encode_value(record)))
        for _, key in batch.removals:
            self._require_as_stored(key)
            self._delete_if_stored(key)

    @property
    def conditions(self) -> list[Condition]:
        """The conditions that must hold in the store for the changes to be applied."""
        return [Condition(key, mod_revision) for key, mod_revision in self._required_revisions.items()]

    def _add_range(self, write: TaskRangeWrite) -> None:
        self._require_as_stored(write.key)
        if write.job_mod_revision is not None:
            # If the job is cancelled after a task is placed and before the placement is recorded, this
            # condition fails. No task of a cancelled job is therefore ever recorded as placed.
            self._required_revisions[job_key(write.job)] = write.job_mod_revision
        if write.required_key is not None:
            self._require_as_stored(write.required_key)
        if write.value is not None:
            self.changes.append(Put(write.key, write.value))
        else:
            self._delete_if_stored(write.key)

    def _require_as_stored(self, key: str) -> None:
        self._required_revisions[key] = self._stored_revisions.get(key, 0)

    def _delete_if_stored(self, key: str) -> None:
        if self._stored_revisions.get(key, 0):
            self.changes.append(Delete(key))
