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

from spindleglade.runtime.background import run_forever, run_in_background
from spindleglade.runtime.clock import Clock, sleep
from spindleglade.store.client import (
    Committed,
    Condition,
    LeaseExpiredError,
    NotAppliedError,
    OutcomeUnknownError,
    Put,
    RateLimitedError,
    StateClient,
    encode_value,
)
from spindleglade.store.replica import Replica, StaleReplicaError
from spindleglade.submissions.records import PREFIX

log = logging.getLogger("spindleglade.leadership")

# Shares of the lease after which it is renewed, and after which a renewal that failed is tried again. Where
# the service refuses for the rate, two refusals in a row are common; sixteen are not.
RENEW_SHARE = 1 / 4
RETRY_SHARE = 1 / 16

LEADER = PREFIX + "leader"
TOKEN = PREFIX + "token"


class LeaderRecord(msgspec.Struct, frozen=True):
    controller: str = msgspec.field(name="node")
    token: int


class TokenRecord(msgspec.Struct, frozen=True):
    token: int


class Term(msgspec.Struct, frozen=True):
    """A won election: the token given to workers, and the condition on every write."""

    token: int
    mod_revision: int
    lease: int

    @property
    def condition(self) -> Condition:
        return Condition(LEADER, self.mod_revision)


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
        self._controller = node
        self._client = client
        self._replica = replica
        self._clock = clock
        self._lease_ttl = lease
        self._on_elected = won
        self._on_deposed = lost
        self._may_campaign = may_campaign
        self._rng = rng or random.Random()
        self.term: Term | None = None
        self.leader: LeaderRecord | None = None
        # Mark of the latest change of the leader key that is known.
        self._leader_key_revision = 0
        self._token = 0
        self._ended_leader_token: int | None = None
        self._campaigning = False
        # The highest token seen anywhere: in the store, from siblings, in workers' reports.
        self.highest_token = 0
        replica.subscribe(self.on_change)

    def start(self) -> None:
        run_forever(self._clock, self._run, "election")

    def on_change(self, key: str, value: bytes | None, mod_revision: int) -> None:
        if key == LEADER:
            self._leader_key_revision = max(self._leader_key_revision, mod_revision)
            self.leader = None if value is None else msgspec.json.decode(value, type=LeaderRecord)
            if self.term is not None and mod_revision > self.term.mod_revision:
                self.step_down("the leader key changed")
            if self.leader is not None:
                self.observe_token(self.leader.token)
            elif not self._campaigning:
                # Without this the vacancy would last until the next turn of the loop.
                run_in_background(self._campaign(), "campaign")
        elif key == TOKEN and value is not None:
            self._token = msgspec.json.decode(value, type=TokenRecord).token
            self.observe_token(self._token)

    def observe_token(self, token: int) -> None:
        self.highest_token = max(self.highest_token, token)
        if self.term is not None and token > self.term.token:
            self.step_down(f"token {token} seen")

    def step_down(self, reason: str) -> None:
        if self.term is None:
            return
        log.info("no longer leader token=%d reason=%s", self.term.token, reason)
        self.term = None
        self._on_deposed(reason)

    async def resign(self, reason: str) -> None:
        """Gives the lease back, so that another need not wait for it to end."""
        term = self.term
        if term is None:
            return
        self.step_down(reason)
        try:
            await self._client.revoke_lease(term.lease)
        except (NotAppliedError, OutcomeUnknownError) as error:
            log.info("lease not given back reason=%s", error)

    async def _run(self) -> None:
        while True:
            if self.term is not None:
                renewed = await self._renew(self.term)
                await sleep(self._clock, self._lease_ttl * (RENEW_SHARE if renewed else RETRY_SHARE))
            else:
                await self._campaign()
                if self.term is None:
                    # Until everything is read nobody can tell whether there is a leader; a node that has just
                    # come back may be the only one.
                    await sleep(self._clock, self._lease_ttl / (6 if self._replica.loaded else 60))

    async def _renew(self, term: Term) -> bool:
        """Whether nothing is to be tried again soon."""
        try:
            await self._client.keep_alive(term.lease)
        except LeaseExpiredError:
            if self.term is term:
                self.step_down("lease ended")
        except (NotAppliedError, OutcomeUnknownError) as error:
            # Not a reason to step down: in an outage of the store nobody else can lead either, and where
            # only this node is refused its writes fail by their condition.
            log.info("lease not renewed reason=%s", error)
            if isinstance(error, RateLimitedError):
                # Everything else of this node yields until the next try has had its turn.
                self._client.pause_ordinary_requests(self._lease_ttl * RETRY_SHARE * 2)
            return False
        return True

    def on_peer_process_ended(self, node: str) -> None:
        """The node's process seems to have ended. If it leads, its key is taken over without waiting for the
        lease: the transaction is conditional on the key's mark, and so is every write of the leader before
        us, so a mistake costs a change of leader and nothing else."""
        if self.leader is not None and self.leader.controller == node and self.term is None:
            self._ended_leader_token = self.leader.token
            run_in_background(self._campaign(), "campaign")

    def _is_vacant(self) -> bool:
        # A key under our own name that we do not hold is left from this node's previous life.
        return self._replica.loaded and (
            self.leader is None
            or self.leader.controller == self._controller
            or self.leader.token == self._ended_leader_token
        )

    async def _campaign(self) -> None:
        if self._campaigning or self.term is not None or not self._is_vacant() or not self._may_campaign():
            return
        self._campaigning = True
        try:
            # ReportBalancer the candidates, so that one usually wins before the others ask.
            await sleep(self._clock, timedelta(seconds=self._rng.uniform(0, 0.05)))
            await self._replica.catch_up()
            if not self._is_vacant():
                return
            # As they were when the place was found vacant: while the lease is asked for another may be
            # elected, and with the marks of then this node would depose it at once.
            conditions = [Condition(key, self._replica.mod_revisions.get(key, 0)) for key in (LEADER, TOKEN)]
            lease = await self._client.grant_lease(self._lease_ttl)
            token = max(self._token, self.highest_token) + 1
            result = await self._client.compare_and_swap(
                conditions,
                [
                    Put(LEADER, encode_value(LeaderRecord(self._controller, token)), lease),
                    Put(TOKEN, encode_value(TokenRecord(token))),
                ],
                urgent=True,
            )
            if not isinstance(result, Committed):
                await self._client.revoke_lease(lease)
            elif self._leader_key_revision > result.revision or self.highest_token > token:
                # The answer was slow, and what ended our term is known already: nothing would tell it again.
                log.info("not elected reason=the term was over before its answer came token=%d", token)
                await self._client.revoke_lease(lease)
            else:
                self.term = Term(token, result.revision, lease)
                log.info("leader token=%d", token)
                self._on_elected(self.term)
        except (NotAppliedError, OutcomeUnknownError, StaleReplicaError, LeaseExpiredError) as error:
            log.info("not elected reason=%s", error)
        finally:
            self._campaigning = False
