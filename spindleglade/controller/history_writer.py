"""Keeps the teams' histories of run times on record, so that the next leader predicts from them."""

import logging
from collections.abc import Callable

from spindleglade.backfill.distributions import Predictor
from spindleglade.leadership.term import LEADER, Term
from spindleglade.store.client import StateClient
from spindleglade.store.errors import NotAppliedError, OutcomeUnknownError
from spindleglade.store.messages import Committed, Condition, ConditionFailed, Put, encode_value
from spindleglade.submissions.records import HISTORY
from spindleglade.workers.cluster_state import ClusterState

log = logging.getLogger("spindleglade.leadership")


class HistoryWriter:
    """Writes the histories that have changed. Each is conditional on the leader key and on its own mark: a
    transaction without an answer may be carried out after newer ones of the same term."""

    def __init__(
        self,
        cluster: ClusterState,
        predictor: Predictor,
        client: StateClient,
        term: Term,
        mod_revisions: dict[str, int],
        deposed: Callable[[str], None],
    ) -> None:
        """`marks` are those of the histories in the store."""
        self._cluster = cluster
        self._predictor = predictor
        self._client = client
        self._term = term
        self._mod_revisions = mod_revisions
        self._on_deposed = deposed
        self._stopped = False

    def stop(self) -> None:
        """No further answer is taken in."""
        self._stopped = True

    async def record(self) -> None:
        """Writes the histories of all teams that have learned of runs since they were last written."""
        with self._cluster.lock:
            teams, self._cluster.teams_with_new_runs = self._cluster.teams_with_new_runs, set()
            writes = [
                Put(HISTORY + team, encode_value(self._predictor.export(team))) for team in sorted(teams)
            ]
        # Some 25 bins, a few hundred bytes. Bins set so fine that they do not fit are not kept.
        writes = [put for put in writes if len(put.value) <= self._client.limits.value_bytes]
        most = self._client.limits.operations
        for at in range(0, len(writes), most):
            if not await self._write(writes[at : at + most]):
                with self._cluster.lock:
                    self._cluster.teams_with_new_runs |= teams
                return
            if self._stopped:
                return

    async def _write(self, puts: list[Put]) -> bool:
        """Whether there is nothing to be written again."""
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
            log.info("histories not recorded reason=%s", error)
        return False

    async def _on_condition_failed(self, result: ConditionFailed) -> None:
        """Another term has begun, or an unanswered write of this one was carried out."""
        if LEADER in result.failed:
            self._on_deposed("a history was refused")
            return
        for key in result.failed:
            entry = await self._client.get(key)
            self._mod_revisions[key] = 0 if entry is None else entry.mod_revision
