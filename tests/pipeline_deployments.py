"""Simulated deployments that run pipelines of jobs, and requests to their controllers."""

from spindleglade.runtime.clock import seconds
from tests.deployment_config import DeploymentConfig
from tests.fakes.encoding import encode
from tests.pipelines import Pipelines
from tests.recorded_day import answers_of_all_controllers
from tests.simulated_deployment import SimulatedDeployment

# Teams and machines with room for all pipelines that the tests submit.
TEAMS = tuple({"name": name, "cpus": 40.0, "cpus_max": 80.0} for name in ("red", "blue"))
CONFIG = DeploymentConfig(capacity=8, teams=TEAMS)
# Fields of a job with one task that nominally runs for 8 s.
LONG_JOB_FIELDS = {"threads": 1, "vcpus": 1.0, "run_s": 8.0}


def deployment_with_leader(seed, **options):
    """A deployment that has run for 3 s to elect a leader, and its pipelines."""
    deployment = SimulatedDeployment(seed, config=CONFIG, **options)
    deployment.run(seconds(3))
    return deployment, Pipelines(deployment)


def stages_of(deployment, jobs):
    """The state of each job. Fails unless all controllers answer with the same state."""
    states = {}
    for (_, job), (status, body) in answers_of_all_controllers(deployment, jobs).items():
        assert status == 200, (job, status)
        assert states.setdefault(job, body["stage"]) == body["stage"], job
    return [states[job] for job in jobs]


def post(deployment, body, controller):
    """Sends a submission once to one controller. Returns the status and body of the answer, or None without a
    definite answer within 3 s."""
    answers = []
    deployment.users.request(
        "POST",
        "/submissions",
        encode(body),
        lambda status, answer: answers.append((status, answer)),
        0,
        controller,
    )
    deployment.run(seconds(3))
    return answers[0] if answers else None
