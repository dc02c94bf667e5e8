"""Decides what goes into the next transaction: how many changes and bytes, and what is not sent again."""

import logging

from spindleglade.store.client import StateClient
from spindleglade.workers.cluster_state import ClusterState
from spindleglade.workers.write_batch import WriteBatch
from spindleglade.workers.write_transaction import BatchValue, batch_values

log = logging.getLogger("spindleglade.workers")

# Of the 64 KiB that a transaction may have, what its values may take; the rest is for keys and conditions.
MAX_TRANSACTION_VALUE_BYTES = 40 * 1024
# With more bytes of task ranges than this, the records of jobs that are done wait for the next batch.
MAX_RANGE_BYTES_WITH_DONE_RECORDS = MAX_TRANSACTION_VALUE_BYTES // 2


class WriteBatcher:
    """Collects batches that fit into one transaction, and makes them smaller when one fails."""

    def __init__(self, cluster: ClusterState, client: StateClient) -> None:
        self._cluster = cluster
        self._client = client
        # The store allows four conditions for each change. A batch has one on the leader key and at most
        # three for each of its changes.
        self._max_changes = max(1, client.limits.operations - 1)
        # The limit on values for which the latest batch was collected.
        self._max_value_bytes = client.value_bytes
        # What the latest batch that was too large would have written.
        self._rejected_values: list[BatchValue] | None = None
        # How many batches of a single change are still to come, after a larger batch failed.
        self._single_change_batches = 0

    def collect(self, mod_revisions: dict[str, int]) -> WriteBatch:
        """Takes the next batch out of the cluster state's pending writes."""
        max_changes = 1 if self._single_change_batches else self._max_changes
        self._max_value_bytes = self._client.value_bytes
        return self._cluster.collect_writes(
            max_changes, mod_revisions, self._client.spare_writes, self._max_value_bytes
        )

    def prepare(self, batch: WriteBatch) -> None:
        """Makes a batch that has changes small enough to be sent."""
        self._limit_bytes(batch)
        self._single_change_batches = max(0, self._single_change_batches - 1)

    def was_rejected(self, batch: WriteBatch) -> bool:
        """Whether the same was too large the last time that something was."""
        return batch_values(batch) == self._rejected_values

    def on_too_large(self, batch: WriteBatch, reason: str) -> None:
        """Puts back a batch that the store rejects for its size; it is never sent again unchanged.

        What the limit now in force makes smaller is collected anew. Otherwise each change is tried by itself,
        and one that is too large by itself waits until it changes.
        """
        self._rejected_values = batch_values(batch)
        limit = self._client.value_bytes
        if limit < self._max_value_bytes and any(len(value) > limit for _, value in self._rejected_values):
            log.info("batch too large changes=%d limit_bytes=%d reason=%s", batch.size, limit, reason)
        elif batch.size > 1:
            log.info("batch too large, writing changes one by one changes=%d reason=%s", batch.size, reason)
            self._single_change_batches = batch.size
        else:
            keys = ",".join(key for key, _ in self._rejected_values)
            log.error("value too large, not written keys=%s reason=%s", keys, reason)
            self._cluster.suspend_oversized_writes(batch)
        self._cluster.requeue(batch)

    def isolate_failing_change(self, batch: WriteBatch) -> None:
        """Has the changes of a batch that raised an unexpected error tried one by one, so that the others are
        written; one that fails by itself waits until it changes."""
        if batch.size > 1:
            self._single_change_batches = batch.size
        else:
            self._cluster.suspend_oversized_writes(batch)

    def _limit_bytes(self, batch: WriteBatch) -> None:
        """Puts back what would make the transaction larger than the store accepts: eleven full task ranges of
        a large job are twice as much, and would be rejected again and again."""
        size, kept = 0, 0
        for write in batch.ranges:
            size += 0 if write.value is None else len(write.value)
            if kept and size > MAX_TRANSACTION_VALUE_BYTES:
                break
            kept += 1
        postponed = WriteBatch(ranges=batch.ranges[kept:])
        batch.ranges = batch.ranges[:kept]
        if size > MAX_RANGE_BYTES_WITH_DONE_RECORDS and batch.done:
            postponed.done, batch.done = batch.done, []
        self._cluster.requeue(postponed)
