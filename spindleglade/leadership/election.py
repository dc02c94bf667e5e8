"""Elects one leader at a time, by a key under a lease in the store.

The mod_revision of that key makes leadership safe: every write of a leader is conditional on it, so whatever
a deposed leader still sends fails. The lease only decides when others may campaign. The token that workers
see is a counter that is raised in the transaction that takes the key, so it never repeats and never falls.
"""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from spindleglade.leadership.lease_renewal import LeaseRenewer
from spindleglade.leadership.term import LEADER, TOKEN, LeaderRecord, Term, TokenRecord
from spindleglade.runtime.background import run_forever, run_in_background
from spindleglade.runtime.clock import Clock, sleep
from spindleglade.store.client import StateClient
from spindleglade.store.errors import (
    LeaseExpiredError,
    NotAppliedError,
    OutcomeUnknownError,
    StaleReplicaError,
)
from spindleglade.store.messages import Committed, Condition, Put, encode_value
from spindleglade.store.replica import Replica

log = logging.getLogger("spindleglade.leadership")

# Campaigns that a controller begins within the time of one lease while it does not lead.
CAMPAIGNS_PER_LEASE = 6
# The same until the replica is loaded. Nobody can tell until then whether there is a leader, and a controller
# that has just started may be the only one.
CAMPAIGNS_PER_LEASE_UNTIL_LOADED = 60
# Candidates wait for a random part of this, so that one usually wins before the others ask for a lease.
MAX_CAMPAIGN_JITTER_S = 0.05


@dataclass(frozen=True, slots=True)
class ElectionHandlers:
    """The functions that an election calls."""

    # Called when this controller is elected.
    on_elected: Callable[[Term], None]
    # Called with the reason when this controller does not lead any more.
    on_deposed: Callable[[str], None]
    # Whether this controller may campaign at present.
    may_campaign: Callable[[], bool] = lambda: True


class Election:
    """One controller's part in the elections: it campaigns while there is no leader, and renews its lease
    while it leads."""

    def __init__(
        self,
        controller: str,
        client: StateClient,
        replica: Replica,
        clock: Clock,
        lease_ttl: timedelta,
        handlers: ElectionHandlers,
        rng: random.Random | None = None,
    ) -> None:
        self._controller = controller
        self._client = client
        self._replica = replica
        self._clock = clock
        self._lease_ttl = lease_ttl
        self._lease_renewer = LeaseRenewer(client, lease_ttl)
        self._handlers = handlers
        self._rng = rng or random.Random()
        self.term: Term | None = None
        self.leader: LeaderRecord | None = None
        # The mod_revision of the latest known change of the leader key.
        self._leader_key_revision = 0
        # The token in the store.
        self._stored_token = 0
        # The token of the leader whose process seems to have ended.
        self._ended_leader_token: int | None = None
        self._campaigning = False
        # The highest token known from anywhere: the store, peers, heartbeats of workers.
        self.highest_token = 0
        replica.subscribe(self.on_change)

    def start(self) -> None:
        """Begins to campaign, or to renew the lease."""
        run_forever(self._clock, self._run, "election")

    def on_change(self, key: str, value: bytes | None, mod_revision: int) -> None:
        """Observes a changed key of the replica; the value is None if the key was deleted."""
        if key == LEADER:
            self._on_leader_key_changed(value, mod_revision)
        elif key == TOKEN and value is not None:
            self._stored_token = msgspec.json.decode(value, type=TokenRecord).token
            self.observe_token(self._stored_token)

    def observe_token(self, token: int) -> None:
        """Takes note of a token in use, and steps down if it is higher than this leader's own."""
        self.highest_token = max(self.highest_token, token)
        if self.term is not None and token > self.term.token:
            self.step_down(f"higher token {token} observed")

    def step_down(self, reason: str) -> None:
        """Ends this controller's term, if it leads. The leader key remains until the lease expires."""
        if self.term is None:
            return
        log.info("deposed token=%d reason=%s", self.term.token, reason)
        self.term = None
        self._handlers.on_deposed(reason)

    async def resign(self, reason: str) -> None:
        """Steps down and revokes the lease, so that another controller need not wait for its end."""
        term = self.term
        if term is None:
            return
        self.step_down(reason)
        try:
            await self._client.revoke_lease(term.lease)
        except (NotAppliedError, OutcomeUnknownError) as error:
            log.info("lease not revoked token=%d reason=%s", term.token, error)

    def on_peer_process_ended(self, controller: str) -> None:
        """Campaigns at once if the process that seems to have ended is the leader's.

        It does not wait for the lease: the transaction is conditional on the mod_revision of the leader key,
        and so is every write of the former leader. A mistake costs a change of leader and nothing else.
        """
        if self.leader is not None and self.leader.controller == controller and self.term is None:
            self._ended_leader_token = self.leader.token
            run_in_background(self._campaign(), "campaign")

    def _on_leader_key_changed(self, value: bytes | None, mod_revision: int) -> None:
        self._leader_key_revision = max(self._leader_key_revision, mod_revision)
        self.leader = None if value is None else msgspec.json.decode(value, type=LeaderRecord)
        if self.term is not None and mod_revision > self.term.mod_revision:
            self.step_down("the leader key changed")
        if self.leader is not None:
            self.observe_token(self.leader.token)
        elif not self._campaigning:
            # Without this the vacancy would last until the next campaign is due.
            run_in_background(self._campaign(), "campaign")

    async def _run(self) -> None:
        while True:
            if self.term is not None:
                await sleep(self._clock, await self._renew_lease(self.term))
            else:
                await self._campaign()
                if self.term is None:
                    await sleep(self._clock, self._campaign_interval)

    @property
    def _campaign_interval(self) -> timedelta:
        loaded = self._replica.loaded
        return self._lease_ttl / (CAMPAIGNS_PER_LEASE if loaded else CAMPAIGNS_PER_LEASE_UNTIL_LOADED)

    async def _renew_lease(self, term: Term) -> timedelta:
        """Renews the lease, or steps down if it has expired. Returns the delay until the next renewal."""
        try:
            return await self._lease_renewer.renew(term)
        except LeaseExpiredError:
            if self.term is term:
                self.step_down("the lease expired")
            return self._lease_renewer.renewal_interval

    def _is_vacant(self) -> bool:
        # A leader key with this controller's name, while it does not lead, is left from its former process.
        return self._replica.loaded and (
            self.leader is None
            or self.leader.controller == self._controller
            or self.leader.token == self._ended_leader_token
        )

    async def _campaign(self) -> None:
        """Tries to become the leader, unless there is one or this controller may not campaign."""
        if (
            self._campaigning
            or self.term is not None
            or not self._is_vacant()
            or not self._handlers.may_campaign()
        ):
            return
        self._campaigning = True
        try:
            await sleep(self._clock, timedelta(seconds=self._rng.uniform(0, MAX_CAMPAIGN_JITTER_S)))
            await self._replica.catch_up()
            if self._is_vacant():
                await self._take_leader_key()
        except (NotAppliedError, OutcomeUnknownError, StaleReplicaError, LeaseExpiredError) as error:
            log.info("not elected reason=%s", error)
        finally:
            self._campaigning = False

    async def _take_leader_key(self) -> None:
        """Writes the leader key under a new lease, on condition that it is unchanged since it was vacant."""
        # Read before the lease is granted: another controller may be elected meanwhile, and with the
        # mod_revisions of afterwards this one would depose it at once.
        conditions = [Condition(key, self._replica.mod_revisions.get(key, 0)) for key in (LEADER, TOKEN)]
        lease = await self._client.grant_lease(self._lease_ttl)
        token = max(self._stored_token, self.highest_token) + 1
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
            # The response was slow, and the replica has already shown what ended the term. It will not show
            # it again, so a term that began now would have no end.
            log.info("not elected token=%d reason=the term ended before the store's response came", token)
            await self._client.revoke_lease(lease)
        else:
            self._begin_term(Term(token, result.revision, lease))

    def _begin_term(self, term: Term) -> None:
        self.term = term
        log.info("elected token=%d revision=%d", term.token, term.mod_revision)
        self._handlers.on_elected(term)
