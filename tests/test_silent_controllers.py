"""A controller is silent for more than a minute while users and workers go on: nothing is asked of it without
bound, the others serve, and its return changes nothing by itself."""

import pytest

from spindleglade.leadership.peer_messages import PeerHeartbeat
from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import seconds
from spindleglade.settings.operator import LeadershipSettings
from tests.deployment_config import DeploymentConfig
from tests.simulated_deployment import SimulatedDeployment
from tests.test_combined_faults import ROOMY, settle

SILENT = seconds(70)
PING = seconds(LeadershipSettings().ping_s)
# For so long a link passes for up although nothing comes over it any more, with some room.
NOTICED = seconds(2.5)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("leads", [True, False])
def test_a_controller_is_silent_for_more_than_a_minute(seed, leads):
    deployment = SimulatedDeployment(300 + seed, config=DeploymentConfig(capacity=8, teams=ROOMY))
    deployment.run(seconds(4))
    leader = deployment.leader()
    silent = leader if leads else (leader + 1) % 3
    long_ones = [deployment.submit(number, threads=2, run_s=100.0) for number in range(3)]
    deployment.run(seconds(10))
    began = deployment.clock.now()
    deployment.silence_node(silent, SILENT)
    for number in range(120):
        deployment.clock.later(
            seconds(number / 2), lambda n=number: deployment.watch(deployment.submit(100 + n, threads=2))
        )
    deployment.run(seconds(40))
    # The others serve: whoever asked early enough has an answer, and its tasks have begun.
    early = [job for job, at in deployment.sent.items() if began < at < deployment.clock.now() - seconds(20)]
    assert len(early) >= 30 and all(job in deployment.accepted and job in deployment.began for job in early)
    deployment.run(SILENT - seconds(40) - seconds(1))
    # Once its silence is noticed it gets nothing but the pings of one connection after the other.
    workers = sum(not worker.gone for worker in deployment.workers.values())
    for (sender, kind), times in deployment.sent_to_silent.items():
        late = [at for at in times if at > began + NOTICED]
        assert len(late) <= (SILENT / PING if kind is PeerHeartbeat else 0), (sender, kind, late)
        # Until then a node passes reports on as they come, and each worker has one under way.
        assert len(times) - len(late) <= workers * NOTICED.total_seconds() * 2
    terms = {name: node.leader.term for name, node in deployment.nodes.items() if node.is_leader}
    others = {name: term for name, term in terms.items() if name != deployment.node_names[silent]}
    assert len(others) == 1
    deployment.run(seconds(10))
    # Its return changes nothing by itself: the same one leads in the same term.
    assert {name: node.leader.term for name, node in deployment.nodes.items() if node.is_leader} == others
    settle(deployment, 120.0)
    assert all(deployment.told[job] == "done" for job in long_ones)


def test_a_request_is_forwarded_to_the_sibling_last_heard_first():
    """One that has just fallen silent passes for up for two seconds more; each request that was forwarded to
    it waited for a second before the next one was asked."""
    deployment = SimulatedDeployment(310)
    deployment.run(seconds(4))
    asker = deployment.nodes[deployment.node_names[(deployment.leader() + 1) % 3]]
    silent = asker.peers.connections[0].peer.name
    deployment.refused.add(asker._platform.name)
    deployment.silence_node(deployment.node_names.index(silent), seconds(10))
    deployment.run(seconds(0.8))
    assert asker.peers.connections[0].is_up
    answers = []

    async def ask():
        answers.append(await asker.handle("GET", "/submissions/job-000001", b""))

    run_in_background(ask(), "asking")
    deployment.run(seconds(0.2))
    assert [answer.status for answer in answers] == [404]
