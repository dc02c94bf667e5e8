"""Simulated deployments that are ready for pipelines of jobs, and what their controllers answer."""

from spindleglade.runtime.clock import seconds
from tests.deployment_config import DeploymentConfig
from tests.fakes.encoding import encode
from tests.pipelines import Pipelines
from tests.recorded_day import answers_everywhere
from tests.simulated_deployment import SimulatedDeployment

TEAMS = tuple({"name": name, "cpus": 40.0, "cpus_max": 80.0} for name in ("red", "blue"))
ROOMY = DeploymentConfig(capacity=8, teams=TEAMS)
LONG = {"threads": 1, "vcpus": 1.0, "run_s": 8.0}


def ready(seed, **named):
    """A deployment whose controllers have elected a leader, and its pipelines."""
    deployment = SimulatedDeployment(seed, config=ROOMY, **named)
    deployment.run(seconds(3))
    return deployment, Pipelines(deployment)


def stages_of(deployment, jobs):
    """What all controllers say of each job: they must agree."""
    got = {}
    for (_, job), (status, body) in answers_everywhere(deployment, jobs).items():
        assert status == 200, (job, status)
        assert got.setdefault(job, body["stage"]) == body["stage"], job
    return [got[job] for job in jobs]


def post(deployment, body, controller):
    """The status of a submission sent once to one controller, straight."""
    got = []
    deployment.users.request(
        "POST",
        "/submissions",
        encode(body),
        lambda status, answer: got.append((status, answer)),
        0,
        controller,
    )
    deployment.run(seconds(3))
    return got[0] if got else None
