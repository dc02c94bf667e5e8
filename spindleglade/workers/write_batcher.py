"""Chooses the contents of the next transaction: how many changes and bytes, and which are held back."""

import logging

from spindleglade.store.client import StateClient
from spindleglade.workers.cluster_state import ClusterState
from spindleglade.workers.write_batch import WriteBatch
from spindleglade.workers.write_transaction import BatchValue, batch_values

log = logging.getLogger("spindleglade.workers")

# The store accepts transactions of up to 64 KiB. This much is for values, the rest for keys and conditions.
MAX_TRANSACTION_VALUE_BYTES = 40 * 1024
# If the task ranges take more than this, the records of done jobs wait for the next batch.
MAX_RANGE_BYTES_WITH_DONE_RECORDS = MAX_TRANSACTION_VALUE_BYTES // 2


class WriteBatcher:
    """Collects batches that fit into one transaction, and smaller batches after a failure."""

    def __init__(self, cluster: ClusterState, client: StateClient) -> None:
        self._cluster = cluster
        self._client = client
        # The store allows four conditions for each change. A batch has one on the leader key and at most
        # three for each of its changes.
        self._max_changes = max(1, client.limits.max_transaction_changes - 1)
        # The size limit of a value that applied when the latest batch was collected, in bytes.
        self._max_value_bytes = client.existing_value_bytes
        # The values of the latest batch that was rejected as too large; None: no batch was rejected so far.
        self._rejected_values: list[BatchValue] | None = None
        # How many further batches are limited to a single change, after a larger batch failed.
        self._single_change_batches = 0

    def collect(self, mod_revisions: dict[str, int]) -> WriteBatch:
        """Takes the next batch out of the cluster state's pending writes. `mod_revisions` are those of the
        task ranges in the store."""
        max_changes = 1 if self._single_change_batches else self._max_changes
        self._max_value_bytes = self._client.existing_value_bytes
        return self._cluster.collect_writes(
            max_changes, mod_revisions, self._client.spare_writes, self._max_value_bytes
        )

    def prepare(self, batch: WriteBatch) -> None:
        """Reduces a batch, which must not be empty, to a size that the store accepts."""
        self._limit_bytes(batch)
        self._single_change_batches = max(0, self._single_change_batches - 1)

    def was_rejected(self, batch: WriteBatch) -> bool:
        """Whether the batch equals the latest batch that was rejected as too large."""
        return batch_values(batch) == self._rejected_values

    def on_too_large(self, batch: WriteBatch, reason: str) -> None:
        """Puts back a batch that the store rejects as too large; it is never sent again unchanged.

        If a value exceeds a limit that was lowered since the batch was collected, the batch is collected anew
        under that limit. Otherwise each change is tried on its own, and a change that is too large on its own
        is suspended until it changes.
        """
        self._rejected_values = batch_values(batch)
        limit = self._client.existing_value_bytes
        if limit < self._max_value_bytes and any(len(value) > limit for _, value in self._rejected_values):
            log.info("batch too large changes=%d limit_bytes=%d reason=%s", batch.size, limit, reason)
        elif batch.size > 1:
            log.info("batch too large, writing changes one by one changes=%d reason=%s", batch.size, reason)
            self._single_change_batches = batch.size
        else:
            keys = ",".join(key for key, _ in self._rejected_values)
            log.error("value too large, not written keys=%s reason=%s", keys, reason)
            self._cluster.suspend_writes(batch)
        self._cluster.requeue(batch)

    def isolate_failing_change(self, batch: WriteBatch) -> None:
        """Has the changes of a batch that raised an unexpected error written one by one, so that only the
        failing change is held back. A change that fails on its own is suspended until it changes."""
        if batch.size > 1:
            self._single_change_batches = batch.size
        else:
            self._cluster.suspend_writes(batch)

    def _limit_bytes(self, batch: WriteBatch) -> None:
        """Puts back the writes that would make the transaction larger than the store accepts. Eleven full
        task ranges of a large job have twice that size, and would be rejected each time."""
        size, kept = 0, 0
        for write in batch.ranges:
            size += 0 if write.value is None else len(write.value)
            if kept and size > MAX_TRANSACTION_VALUE_BYTES:
                break
            kept += 1
        postponed = WriteBatch(ranges=batch.ranges[kept:])
        batch.ranges = batch.ranges[:kept]
        if size > MAX_RANGE_BYTES_WITH_DONE_RECORDS and batch.done_jobs:
            postponed.done_jobs, batch.done_jobs = batch.done_jobs, []
        self._cluster.requeue(postponed)
