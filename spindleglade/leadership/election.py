"""Elects one leader at a time by a key in the store that is bound to a lease, the leader key.

The mod_revision of the leader key makes leadership safe: every write of a leader is conditional on it, so the
writes of a deposed leader fail. The lease only determines when other controllers may campaign. The fencing
token that workers see is a counter in the store. The transaction that writes the leader key raises it by the
tokens of one term, so tokens never repeat and never decrease.
"""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from spindleglade.leadership.lease_renewal import LeaseRenewer
from spindleglade.leadership.term import (
    LEADER_KEY,
    TOKEN_KEY,
    LeaderRecord,
    Term,
    TokenRecord,
    last_token_of_term,
)
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

# The number of campaigns that a controller starts per lease TTL while it does not lead.
CAMPAIGNS_PER_LEASE = 6
# The same while the replica is not loaded yet. It is unknown then whether there is a leader, and a controller
# that has just started may be the only one.
CAMPAIGNS_PER_LEASE_UNTIL_LOADED = 60
# The largest random delay before a campaign, in seconds. With different delays one candidate usually wins
# before the other candidates request a lease.
MAX_CAMPAIGN_JITTER_S = 0.05


@dataclass(frozen=True, slots=True)
class ElectionHandlers:
    """The callbacks of an election."""

    # Called when this controller is elected.
    on_elected: Callable[[Term], None]
    # Called with the reason when this controller no longer leads.
    on_deposed: Callable[[str], None]
    # Returns whether this controller may campaign at present.
    may_campaign: Callable[[], bool] = lambda: True


class Election:
    """One controller's participation in the elections.

    It campaigns while there is no leader, and renews its lease while it leads.
    """

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
        # The current term of this controller; None while it does not lead.
        self.term: Term | None = None
        # The value of the leader key in the replica; None if the key does not exist.
        self.leader: LeaderRecord | None = None
        # The revision of the latest known change of the leader key, deletions included.
        self._leader_key_revision = 0
        # The highest token of the latest term, as stored under the token key.
        self._stored_token = 0
        # The token of the leader whose process appears to have ended; None if there is none.
        self._ended_leader_token: int | None = None
        self._campaigning = False
        # The highest token observed in the store, in peers' heartbeats and in workers' heartbeats.
        self.highest_token = 0
        replica.subscribe(self.on_change)

    def start(self) -> None:
        """Starts the loop that campaigns or renews the lease."""
        run_forever(self._clock, self._run, "election")

    def on_change(self, key: str, value: bytes | None, mod_revision: int) -> None:
        """Observes a changed key of the replica; `value` is None if the key was deleted."""
        if key == LEADER_KEY:
            self._on_leader_key_changed(value, mod_revision)
        elif key == TOKEN_KEY and value is not None:
            self._stored_token = msgspec.json.decode(value, type=TokenRecord).token
            self.observe_token(self._stored_token)

    def observe_token(self, token: int) -> None:
        """Records a token in use, and steps down if it is above the tokens of this controller's term."""
        self.highest_token = max(self.highest_token, token)
        if self.term is not None and token > self.term.last_token:
            self.step_down(f"higher token {token} observed")

    def step_down(self, reason: str) -> None:
        """Ends this controller's term if it leads. The leader key remains until the lease expires."""
        if self.term is None:
            return
        log.info("deposed token=%d reason=%s", self.term.token, reason)
        self.term = None
        self._handlers.on_deposed(reason)

    async def resign(self, reason: str) -> None:
        """Steps down and revokes the lease, so that another controller can be elected before it expires."""
        term = self.term
        if term is None:
            return
        self.step_down(reason)
        try:
            await self._client.revoke_lease(term.lease)
        except (NotAppliedError, OutcomeUnknownError) as error:
            log.info("lease not revoked token=%d reason=%s", term.token, error)

    def on_peer_process_ended(self, controller: str) -> None:
        """Starts a campaign at once if `controller`, whose process appears to have ended, is the leader.

        The campaign does not wait until the lease expires. This is safe because its transaction, like every
        write of the former leader, is conditional on the mod_revision of the leader key. If the process has
        not ended, the only consequence is a change of leader.
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
            # Otherwise there would be no leader until the next periodic campaign.
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
        # A leader key that names this controller while it does not lead was left by an earlier process.
        return self._replica.loaded and (
            self.leader is None
            or self.leader.controller == self._controller
            or self.leader.token == self._ended_leader_token
        )

    async def _campaign(self) -> None:
        """Tries to become the leader, unless there is a leader or this controller may not campaign."""
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
        """Writes the leader key, bound to a new lease, if it has not changed since it was found vacant."""
        # The mod_revisions are read before the lease is requested. Another controller may be elected while
        # the lease is granted, and with newer mod_revisions this one would depose that leader at once.
        conditions = [
            Condition(key, self._replica.mod_revisions.get(key, 0)) for key in (LEADER_KEY, TOKEN_KEY)
        ]
        lease = await self._client.grant_lease(self._lease_ttl)
        token = max(self._stored_token, self.highest_token) + 1
        last_token = last_token_of_term(token)
        result = await self._client.compare_and_swap(
            conditions,
            [
                Put(LEADER_KEY, encode_value(LeaderRecord(self._controller, token)), lease),
                Put(TOKEN_KEY, encode_value(TokenRecord(last_token))),
            ],
            urgent=True,
        )
        if not isinstance(result, Committed):
            await self._client.revoke_lease(lease)
        elif self._leader_key_revision > result.revision or self.highest_token > last_token:
            # The replica has delivered the change that ended this term before the store's response arrived.
            # It is not delivered again, so a term that began now would not end.
            log.info("not elected token=%d reason=the term ended before the store's response came", token)
            await self._client.revoke_lease(lease)
        else:
            self._begin_term(Term(token, result.revision, lease))

    def _begin_term(self, term: Term) -> None:
        self.term = term
        log.info("elected token=%d revision=%d", term.token, term.mod_revision)
        self._handlers.on_elected(term)
