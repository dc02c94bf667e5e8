"""Tests of elections and lease renewals, under random faults and in single cases."""

import dataclasses
import random

import msgspec
import pytest

from spindleglade.leadership.election import Election, ElectionHandlers
from spindleglade.leadership.lease_renewal import RETRY_SHARE
from spindleglade.leadership.term import LEADER_KEY, LeaderRecord
from spindleglade.runtime.clock import ManualClock, seconds
from spindleglade.store.errors import NotAppliedError, RateLimitedError
from spindleglade.store.messages import Committed, Condition, ConditionFailed
from tests.simulated_deployment import SimulatedDeployment

LEASE_TTL = seconds(4)
# Longer than the maximum jitter of a campaign.
CAMPAIGN_DURATION = seconds(0.1)


class FakeReplica:
    """A loaded replica of an empty store."""

    def __init__(self):
        self.loaded = True
        self.mod_revisions = {}

    def subscribe(self, on_change):
        self.on_change = on_change

    async def catch_up(self):
        pass


class FakeStore:
    """A store that grants every lease and commits every transaction."""

    async def grant_lease(self, ttl):
        return 5

    async def compare_and_swap(self, conditions, writes, urgent=False):
        return Committed(9)

    async def revoke_lease(self, lease):
        pass


def record_tokens(controller, tokens):
    """Appends the token of each election that `controller` wins to `tokens`."""
    handlers = controller.election._handlers

    def on_elected(term):
        tokens.append(term.token)
        handlers.on_elected(term)

    controller.election._handlers = dataclasses.replace(handlers, on_elected=on_elected)


@pytest.mark.parametrize("seed", range(4))
def test_leaders_follow_one_another_with_rising_tokens(seed):
    """After kills, store outages and lost leases, no token was used twice, and one controller leads when the
    faults have ended."""
    rng = random.Random(seed)
    deployment = SimulatedDeployment(seed)
    tokens: list[int] = []
    for controller in deployment.controllers.values():
        record_tokens(controller, tokens)
    for _ in range(6):
        deployment.run(seconds(rng.uniform(1, 5)))
        fault = rng.choice(["kill", "outage", "refuse"])
        leader = deployment.leader()
        if fault == "kill" and leader is not None:
            deployment.processes.kill(leader)
            deployment.run(seconds(rng.uniform(0.1, 5)))
            deployment.processes.start(leader)
            record_tokens(deployment.controllers[deployment.controller_names[leader]], tokens)
        elif fault == "outage":
            deployment.state.outage(seconds(rng.uniform(0.5, 6)))
        elif leader is not None:
            deployment.network.refused_by_store.add(deployment.controller_names[leader])
            deployment.run(seconds(rng.uniform(0.5, 6)))
            deployment.network.refused_by_store.clear()
    deployment.run(seconds(10))
    assert tokens == sorted(set(tokens)) and len(tokens) >= 2
    assert sum(controller.is_leader for controller in deployment.controllers.values()) == 1


def test_a_deposed_leaders_writes_fail():
    deployment = SimulatedDeployment(3)
    deployment.run(seconds(3))
    leader = deployment.leader()
    deposed = deployment.controllers[deployment.controller_names[leader]]
    # The leader can neither renew its lease nor watch the store, so it does not learn that the lease expired.
    deployment.network.refused_by_store.add(deployment.controller_names[leader])
    deployment.network.cut(
        deployment.controller_names[leader], deployment.controller_names, False, seconds(9)
    )
    for _ in range(80):
        if sum(controller.is_leader for controller in deployment.controllers.values()) == 2:
            break
        deployment.run(seconds(0.1))
    assert (
        deposed.is_leader and sum(controller.is_leader for controller in deployment.controllers.values()) == 2
    )
    job = deployment.users.submit(1, threads=2, run_s=1.0)
    deployment.network.refused_by_store.clear()
    deployment.run(seconds(15))
    assert not deposed.is_leader and deployment.jobs.observed_states[job] == "pending"
    deployment.users.poll(job)
    deployment.run(seconds(1))
    assert deployment.jobs.observed_states[job] == "done"


def test_a_leader_without_store_and_peers_steps_down_though_its_workers_reach_it():
    """Otherwise the leader would keep renewing the workers' leases without sending them any commands."""
    deployment = SimulatedDeployment(3)
    deployment.run(seconds(3))
    leader = deployment.leader()
    name = deployment.controller_names[leader]
    deployment.network.cut(name, [*deployment.controller_names, "state"], False, seconds(30))
    deployment.run(seconds(6))
    assert not deployment.controllers[name].is_leader and deployment.leader() not in (None, leader)


def test_a_campaign_does_not_depose_a_leader_elected_in_the_meantime():
    """Another controller is elected while this one's lease is being granted. The transaction must be
    conditional on the vacant leader key, or it would depose the new leader at once."""

    class Store(FakeStore):
        async def grant_lease(self, ttl):
            replica.mod_revisions[LEADER_KEY] = 9
            replica.on_change(LEADER_KEY, msgspec.json.encode(LeaderRecord("other", 1)), 9)
            return 5

        async def compare_and_swap(self, conditions, writes, urgent=False):
            conditions_sent.extend(conditions)
            return ConditionFailed(frozenset([LEADER_KEY]), 9)

    conditions_sent, replica, clock = [], FakeReplica(), ManualClock()
    handlers = ElectionHandlers(on_elected=None, on_deposed=None)
    Election("me", Store(), replica, clock, LEASE_TTL, handlers).start()
    clock.advance(CAMPAIGN_DURATION)
    assert Condition(LEADER_KEY, 0) in conditions_sent


@pytest.mark.parametrize("later", [LeaderRecord("other", 2), None])
def test_a_term_that_ended_before_the_response_came_never_begins(later):
    """The response to the winning transaction arrives after the replica has delivered a later change of the
    leader key. A term that began then would not end before the leader key changes again."""

    class Store(FakeStore):
        async def compare_and_swap(self, conditions, writes, urgent=False):
            replica.on_change(LEADER_KEY, msgspec.json.encode(LeaderRecord("me", 1)), 9)
            replica.on_change(LEADER_KEY, None if later is None else msgspec.json.encode(later), 10)
            return Committed(9)

        async def keep_alive(self, lease):
            raise NotAppliedError("503")

    terms, replica, clock = [], FakeReplica(), ManualClock()
    handlers = ElectionHandlers(terms.append, on_deposed=None, may_campaign=lambda: not terms)
    election = Election("me", Store(), replica, clock, LEASE_TTL, handlers)
    election.start()
    clock.advance(seconds(0.06))
    assert not terms and election.term is None


def test_a_term_begins_though_its_own_token_is_observed_before_the_response():
    """Guards against a winner that takes the token that it has written itself for that of a later leader."""

    class Store(FakeStore):
        async def compare_and_swap(self, conditions, writes, urgent=False):
            for put in writes:
                replica.on_change(put.key, put.value, 9)
            return Committed(9)

        async def keep_alive(self, lease):
            return None

    terms, replica, clock = [], FakeReplica(), ManualClock()
    election = Election("me", Store(), replica, clock, LEASE_TTL, ElectionHandlers(terms.append, None))
    election.start()
    clock.advance(CAMPAIGN_DURATION)
    (term,) = terms
    assert election.term is term and election.highest_token == term.last_token
    # The first token after the term's is that of a later leader.
    deposed = []
    election._handlers = dataclasses.replace(election._handlers, on_deposed=deposed.append)
    election.observe_token(term.last_token)
    assert not deposed
    election.observe_token(term.last_token + 1)
    assert deposed


def test_a_leader_whose_process_ended_is_replaced_before_its_lease_ends():
    deployment = SimulatedDeployment(5)
    deployment.run(seconds(3))
    leader = deployment.leader()
    name = deployment.controller_names[leader]
    deployment.processes.kill(leader)
    for controller in deployment.controllers.values():
        controller.election.on_peer_process_ended(name)
    deployment.run(seconds(0.5))
    assert deployment.leader() not in (None, leader)


def test_a_leader_whose_process_runs_on_only_loses_its_term():
    deployment = SimulatedDeployment(5)
    deployment.run(seconds(3))
    leader = deployment.leader()
    job = deployment.users.submit(1, threads=3, run_s=3.0)
    deployment.run(seconds(4))
    follower = deployment.controllers[deployment.controller_names[(leader + 1) % 3]]
    follower.election.on_peer_process_ended(deployment.controller_names[leader])
    deployment.run(seconds(20))
    assert sum(controller.is_leader for controller in deployment.controllers.values()) == 1
    deployment.users.poll(job)
    deployment.run(seconds(1))
    assert deployment.jobs.observed_states[job] == "done"


def test_a_rate_limited_renewal_is_retried_before_the_lease_expires():
    """With one retry per quarter of the lease TTL, the lease would expire after four rejections."""

    class Store(FakeStore):
        renewed_at, refusals_left, pauses = seconds(0), 0, []

        async def keep_alive(self, lease):
            assert clock.now() - self.renewed_at < LEASE_TTL
            if self.refusals_left:
                self.refusals_left -= 1
                raise RateLimitedError("429")
            self.renewed_at, self.refusals_left = clock.now(), 8

        def pause_ordinary_requests(self, length):
            self.pauses.append(length)

    store, clock = Store(), ManualClock()
    handlers = ElectionHandlers(on_elected=lambda term: None, on_deposed=None)
    election = Election("me", store, FakeReplica(), clock, LEASE_TTL, handlers)
    election.start()
    for _ in range(20):
        clock.advance(seconds(1))
    assert election.term is not None and clock.now() - store.renewed_at < LEASE_TTL
    # Each pause of ordinary requests is longer than the delay before the next retry.
    assert store.pauses and min(store.pauses) > LEASE_TTL * RETRY_SHARE
