"""One leader at a time, by a key under a lease in the state service.

The key's mark is what makes leadership safe: every write of a leader is conditional on it, so whatever a
deposed leader still sends fails. The lease only decides when the others may try. The token that workers see
is a counter raised in the very transaction that takes the key, so it never repeats and never falls.
"""

import logging
import random
from collections.abc import Callable
from datetime import timedelta

import msgspec

from spindleglade.clock import Clock, sleep
from spindleglade.store.client import (
    Committed,
    Condition,
    LeaseGone,
    Put,
    StateClient,
    TooManyRequests,
    Unavailable,
    Unknown,
    raw,
)
from spindleglade.store.replica import Replica, Unconfirmed
from spindleglade.submissions.records import PREFIX
from spindleglade.tasks import keep, spawn

log = logging.getLogger("spindleglade.leadership")

# Shares of the lease after which it is renewed, and after which a renewal that failed is tried again. Where
# the service refuses for the rate, two refusals in a row are common; sixteen are not.
RENEW_SHARE = 1 / 4
RETRY_SHARE = 1 / 16

LEADER = PREFIX + "leader"
TOKEN = PREFIX + "token"


class LeaderRecord(msgspec.Struct, frozen=True):
    node: str
    token: int


class TokenRecord(msgspec.Struct, frozen=True):
    token: int


class Term(msgspec.Struct, frozen=True):
    """A won election: the token given to workers, and the condition on every write."""

    token: int
    mark: int
    lease: int

    @property
    def condition(self) -> Condition:
        return Condition(LEADER, self.mark)


class Election:
    def __init__(
        self,
        node: str,
        client: StateClient,
        replica: Replica,
        clock: Clock,
        lease: timedelta,
        won: Callable[[Term], None],
        lost: Callable[[str], None],
        may_campaign: Callable[[], bool] = lambda: True,
        rng: random.Random | None = None,
    ) -> None:
        self._node = node
        self._client = client
        self._replica = replica
        self._clock = clock
        self._lease = lease
        self._won = won
        self._lost = lost
        self._may_campaign = may_campaign
        self._rng = rng or random.Random()
        self.term: Term | None = None
        self.leader: LeaderRecord | None = None
        # Mark of the latest change of the leader key that is known.
        self._changed = 0
        self._token = 0
        self._suspected: int | None = None
        self._campaigning = False
        # The highest token seen anywhere: in the store, from siblings, in workers' reports.
        self.highest = 0
        replica.listen(self.listener)

    def start(self) -> None:
        keep(self._clock, self._run, "election")

    def listener(self, key: str, value: bytes | None, mark: int) -> None:
        if key == LEADER:
            self._changed = max(self._changed, mark)
            self.leader = None if value is None else msgspec.json.decode(value, type=LeaderRecord)
            if self.term is not None and mark > self.term.mark:
                self.step_down("the leader key changed")
            if self.leader is not None:
                self.saw_token(self.leader.token)
            elif not self._campaigning:
                # Without this the vacancy would last until the next turn of the loop.
                spawn(self._campaign(), "campaign")
        elif key == TOKEN and value is not None:
            self._token = msgspec.json.decode(value, type=TokenRecord).token
            self.saw_token(self._token)

    def saw_token(self, token: int) -> None:
        self.highest = max(self.highest, token)
        if self.term is not None and token > self.term.token:
            self.step_down(f"token {token} seen")

    def step_down(self, reason: str) -> None:
        if self.term is None:
            return
        log.info("no longer leader token=%d reason=%s", self.term.token, reason)
        self.term = None
        self._lost(reason)

    async def resign(self, reason: str) -> None:
        """Gives the lease back, so that another need not wait for it to end."""
        term = self.term
        if term is None:
            return
        self.step_down(reason)
        try:
            await self._client.drop(term.lease)
        except (Unavailable, Unknown) as error:
            log.info("lease not given back reason=%s", error)

    async def _run(self) -> None:
        while True:
            if self.term is not None:
                renewed = await self._renew(self.term)
                await sleep(self._clock, self._lease * (RENEW_SHARE if renewed else RETRY_SHARE))
            else:
                await self._campaign()
                if self.term is None:
                    # Until everything is read nobody can tell whether there is a leader; a node that has just
                    # come back may be the only one.
                    await sleep(self._clock, self._lease / (6 if self._replica.loaded else 60))

    async def _renew(self, term: Term) -> bool:
        """Whether nothing is to be tried again soon."""
        try:
            await self._client.touch(term.lease)
        except LeaseGone:
            if self.term is term:
                self.step_down("lease ended")
        except (Unavailable, Unknown) as error:
            # Not a reason to step down: in an outage of the store nobody else can lead either, and where
            # only this node is refused its writes fail by their condition.
            log.info("lease not renewed reason=%s", error)
            if isinstance(error, TooManyRequests):
                # Everything else of this node yields until the next try has had its turn.
                self._client.hold_back(self._lease * RETRY_SHARE * 2)
            return False
        return True

    def suspect(self, node: str) -> None:
        """The node's process seems to have ended. If it leads, its key is taken over without waiting for the
        lease: the transaction is conditional on the key's mark, and so is every write of the leader before
        us, so a mistake costs a change of leader and nothing else."""
        if self.leader is not None and self.leader.node == node and self.term is None:
            self._suspected = self.leader.token
            spawn(self._campaign(), "campaign")

    def _vacant(self) -> bool:
        # A key under our own name that we do not hold is left from this node's previous life.
        return self._replica.loaded and (
            self.leader is None or self.leader.node == self._node or self.leader.token == self._suspected
        )

    async def _campaign(self) -> None:
        if self._campaigning or self.term is not None or not self._vacant() or not self._may_campaign():
            return
        self._campaigning = True
        try:
            # ReportBalancer the candidates, so that one usually wins before the others ask.
            await sleep(self._clock, timedelta(seconds=self._rng.uniform(0, 0.05)))
            await self._replica.confirm()
            if not self._vacant():
                return
            # As they were when the place was found vacant: while the lease is asked for another may be
            # elected, and with the marks of then this node would depose it at once.
            when = [Condition(key, self._replica.marks.get(key, 0)) for key in (LEADER, TOKEN)]
            lease = await self._client.grant(self._lease)
            token = max(self._token, self.highest) + 1
            result = await self._client.txn(
                when,
                [
                    Put(LEADER, raw(LeaderRecord(self._node, token)), lease),
                    Put(TOKEN, raw(TokenRecord(token))),
                ],
                urgent=True,
            )
            if not isinstance(result, Committed):
                await self._client.drop(lease)
            elif self._changed > result.turn or self.highest > token:
                # The answer was slow, and what ended our term is known already: nothing would tell it again.
                log.info("not elected reason=the term was over before its answer came token=%d", token)
                await self._client.drop(lease)
            else:
                self.term = Term(token, result.turn, lease)
                log.info("leader token=%d", token)
                self._won(self.term)
        except (Unavailable, Unknown, Unconfirmed, LeaseGone) as error:
            log.info("not elected reason=%s", error)
        finally:
            self._campaigning = False
