"""Tests with a controller that sends and receives nothing for more than a minute.

Requests to it must be bounded, the other controllers must serve, and its return must not change the leader.
"""

import pytest

from spindleglade.leadership.peer_messages import PeerHeartbeat
from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import seconds
from spindleglade.settings.operator import LeadershipSettings
from tests.deployment_config import DeploymentConfig
from tests.simulated_deployment import SimulatedDeployment
from tests.workloads import LARGE_TEAMS, settle

SILENCE = seconds(70)
HEARTBEAT_INTERVAL = seconds(LeadershipSettings().ping_s)
# A connection without messages counts as up for two seconds; half a second is added as tolerance.
DETECTION_LIMIT = seconds(2.5)


def leader_terms(deployment):
    """The terms of all controllers that lead, by the controller's name."""
    return {
        name: controller.leader.term
        for name, controller in deployment.controllers.items()
        if controller.is_leader
    }


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("silence_leader", [True, False])
def test_a_controller_is_silent_for_more_than_a_minute(seed, silence_leader):
    deployment = SimulatedDeployment(300 + seed, config=DeploymentConfig(capacity=8, teams=LARGE_TEAMS))
    deployment.run(seconds(4))
    leader = deployment.leader()
    silent = leader if silence_leader else (leader + 1) % 3
    long_jobs = [deployment.users.submit(number, threads=2, run_s=100.0) for number in range(3)]
    deployment.run(seconds(10))
    silent_since = deployment.clock.now()
    deployment.faults.silence(silent, SILENCE)
    for number in range(120):
        deployment.clock.later(
            seconds(number / 2), lambda n=number: deployment.users.submit_and_poll(100 + n, threads=2)
        )
    deployment.run(seconds(40))
    # The other controllers serve: jobs submitted early enough are accepted, and their tasks have started.
    early_until = deployment.clock.now() - seconds(20)
    early = [job for job, at in deployment.jobs.submitted_at.items() if silent_since < at < early_until]
    assert len(early) >= 30 and all(
        job in deployment.jobs.accepted and job in deployment.executions.first_start_at for job in early
    )
    deployment.run(SILENCE - seconds(40) - seconds(1))
    # Once the silence is detected, peers send that controller only heartbeats, on one connection at a time.
    workers = sum(not worker.terminated for worker in deployment.workers.values())
    for (sender, kind), times in deployment.network.sent_to_silent.items():
        late = [at for at in times if at > silent_since + DETECTION_LIMIT]
        allowed = SILENCE / HEARTBEAT_INTERVAL if kind is PeerHeartbeat else 0
        assert len(late) <= allowed, (sender, kind, late)
        # Until then controllers relay workers' heartbeats to it, one at a time for each worker.
        assert len(times) - len(late) <= workers * DETECTION_LIMIT.total_seconds() * 2
    terms = leader_terms(deployment)
    other_terms = {name: term for name, term in terms.items() if name != deployment.controller_names[silent]}
    assert len(other_terms) == 1
    deployment.run(seconds(10))
    # After the return of the silent controller the same controller leads in the same term.
    assert leader_terms(deployment) == other_terms
    settle(deployment, 120.0)
    assert all(deployment.jobs.observed_states[job] == "done" for job in long_jobs)


def test_a_request_is_forwarded_to_the_peer_with_the_latest_message_first():
    """A connection to a peer that has just become silent counts as up for two more seconds. A request
    forwarded over it would wait for a second before the next peer is tried, so the other peer must come
    first."""
    deployment = SimulatedDeployment(310)
    deployment.run(seconds(4))
    refused = deployment.controllers[deployment.controller_names[(deployment.leader() + 1) % 3]]
    silent_peer = refused.peers.connections[0].peer.name
    deployment.network.refused_by_store.add(refused._platform.name)
    deployment.faults.silence(deployment.controller_names.index(silent_peer), seconds(10))
    deployment.run(seconds(0.8))
    assert refused.peers.connections[0].is_up
    responses = []

    async def request_status():
        responses.append(await refused.handle("GET", "/submissions/job-000001", b""))

    run_in_background(request_status(), "status request")
    deployment.run(seconds(0.2))
    assert [response.status for response in responses] == [404]
