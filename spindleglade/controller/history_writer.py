"""Writes the teams' run-time histories to the store, so that the next leader can predict from them."""

import logging
from collections.abc import Callable

from spindleglade.backfill.distributions import Predictor
from spindleglade.leadership.term import LEADER_KEY, Term
from spindleglade.store.client import StateClient
from spindleglade.store.errors import NotAppliedError, OutcomeUnknownError
from spindleglade.store.messages import Committed, Condition, ConditionFailed, Put, encode_value
from spindleglade.submissions.records import HISTORY_KEY_PREFIX
from spindleglade.workers.cluster_state import ClusterState

log = logging.getLogger("spindleglade.leadership")


class HistoryWriter:
    """Writes the histories that have changed.

    Each write is conditional on the leader key and on the mod revision of the history's own key. The second
    condition is needed because a transaction with an unknown outcome may be applied after newer ones of the
    same term.
    """

    def __init__(
        self,
        cluster: ClusterState,
        predictor: Predictor,
        client: StateClient,
        term: Term,
        mod_revisions: dict[str, int],
        on_deposed: Callable[[str], None],
    ) -> None:
        """`mod_revisions` holds the mod revisions of the stored histories by key. `on_deposed` is called,
        with the reason, when a write fails because another term has begun."""
        self._cluster = cluster
        self._predictor = predictor
        self._client = client
        self._term = term
        self._mod_revisions = mod_revisions
        self._on_deposed = on_deposed
        self._stopped = False

    def stop(self) -> None:
        """Stops the writer: no write is started any more, and responses are ignored."""
        self._stopped = True

    async def write_changed(self) -> None:
        """Writes the histories of all teams that have new runs since their last write."""
        teams, writes = self._collect_writes()
        batch_size = self._client.limits.max_transaction_changes
        for batch_start in range(0, len(writes), batch_size):
            if not await self._write(writes[batch_start : batch_start + batch_size]):
                with self._cluster.lock:
                    self._cluster.teams_with_new_runs |= teams
                return
            if self._stopped:
                return

    def _collect_writes(self) -> tuple[set[str], list[Put]]:
        """Returns the teams with new runs and the writes of their histories, and clears the set of teams."""
        with self._cluster.lock:
            teams, self._cluster.teams_with_new_runs = self._cluster.teams_with_new_runs, set()
            writes = [
                Put(HISTORY_KEY_PREFIX + team, encode_value(self._predictor.export(team)))
                for team in sorted(teams)
            ]
        # About 25 bins take a few hundred bytes. A history with too many bins for one value is not written.
        limit = self._client.limits.new_value_bytes
        return teams, [put for put in writes if len(put.value) <= limit]

    async def _write(self, puts: list[Put]) -> bool:
        """Writes one batch; returns False if the histories must be written again."""
        conditions = [Condition(put.key, self._mod_revisions.get(put.key, 0)) for put in puts]
        try:
            result = await self._client.compare_and_swap([self._term.condition, *conditions], puts)
            if self._stopped:
                return True
            if isinstance(result, Committed):
                self._mod_revisions.update((put.key, result.revision) for put in puts)
                return True
            await self._on_condition_failed(result)
        except (NotAppliedError, OutcomeUnknownError) as error:
            log.info("histories not written reason=%s", error)
        return False

    async def _on_condition_failed(self, result: ConditionFailed) -> None:
        """Handles a failed condition: another term has begun, or an earlier write with an unknown outcome was
        applied. In the second case the current mod revisions are read for the next attempt.

        Raises NotAppliedError or OutcomeUnknownError if they cannot be read.
        """
        if LEADER_KEY in result.failed:
            self._on_deposed("the leader key changed before a history was written")
            return
        for key in result.failed:
            entry = await self._client.get(key)
            self._mod_revisions[key] = 0 if entry is None else entry.mod_revision
