"""Keeps the teams' histories of run times on record, so that the next leader predicts from them."""

import logging
from collections.abc import Callable

from spindleglade.backfill.distributions import Predictor
from spindleglade.leadership.election import LEADER, Term
from spindleglade.store.client import (
    Committed,
    Condition,
    Put,
    Refused,
    StateClient,
    Unavailable,
    Unknown,
    raw,
)
from spindleglade.submissions.records import HISTORY
from spindleglade.workers.cluster import Cluster

log = logging.getLogger("spindleglade.leadership")


class HistoryRecorder:
    """Writes the histories that have changed. Each is conditional on the leader key and on its own mark: a
    transaction without an answer may be carried out after newer ones of the same term."""

    def __init__(
        self,
        cluster: Cluster,
        predictor: Predictor,
        client: StateClient,
        term: Term,
        marks: dict[str, int],
        deposed: Callable[[str], None],
    ) -> None:
        """`marks` are those of the histories in the store."""
        self._cluster = cluster
        self._predictor = predictor
        self._client = client
        self._term = term
        self._marks = marks
        self._deposed = deposed
        self._stopped = False

    def stop(self) -> None:
        """No further answer is taken in."""
        self._stopped = True

    async def record(self) -> None:
        """Writes the histories of all teams that have learned of runs since they were last written."""
        with self._cluster.lock:
            teams, self._cluster.learned = self._cluster.learned, set()
            writes = [Put(HISTORY + team, raw(self._predictor.export(team))) for team in sorted(teams)]
        # Some 25 bins, a few hundred bytes. Bins set so fine that they do not fit are not kept.
        writes = [put for put in writes if len(put.value) <= self._client.limits.value_bytes]
        most = self._client.limits.operations
        for at in range(0, len(writes), most):
            if not await self._write(writes[at : at + most]):
                with self._cluster.lock:
                    self._cluster.learned |= teams
                return
            if self._stopped:
                return

    async def _write(self, puts: list[Put]) -> bool:
        """Whether there is nothing to be written again."""
        conditions = [Condition(put.key, self._marks.get(put.key, 0)) for put in puts]
        try:
            result = await self._client.txn([self._term.condition, *conditions], puts)
            if self._stopped:
                return True
            if isinstance(result, Committed):
                self._marks.update((put.key, result.turn) for put in puts)
                return True
            await self._refused(result)
        except (Unavailable, Unknown) as error:
            log.info("histories not recorded reason=%s", error)
        return False

    async def _refused(self, result: Refused) -> None:
        """Another term has begun, or an unanswered write of this one was carried out."""
        if LEADER in result.failed:
            self._deposed("a history was refused")
            return
        for key in result.failed:
            entry = await self._client.get(key)
            self._marks[key] = 0 if entry is None else entry.mark
