"""Generated pipelines of dependent jobs, submitted like users do: each job after its dependencies."""

import random
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from spindleglade.runtime.clock import seconds
from tests.invariants.dependency_invariants import FINAL_STATES
from tests.simulated_deployment import SimulatedDeployment

# The time after the last fault within which all jobs must be over.
SETTLE_TIMEOUT = seconds(90)


@dataclass(frozen=True)
class PipelineNode:
    """One job of a pipeline. `dependencies` are indices of other jobs of the pipeline."""

    dependencies: tuple[int, ...] = ()
    # Whether the job is submitted only once its dependencies are over, not as soon as they are accepted.
    late: bool = False


Shape = tuple[PipelineNode, ...]


def chain(length: int, late: bool = False) -> Shape:
    """Each job depends on the one before. `late` applies to the last job."""
    nodes = [PipelineNode(() if index == 0 else (index - 1,)) for index in range(length)]
    nodes[-1] = PipelineNode(nodes[-1].dependencies, late)
    return tuple(nodes)


def diamond(late: bool = False) -> Shape:
    """Two jobs depend on the first, and the last depends on both. `late` applies to the last job."""
    return (PipelineNode(), PipelineNode((0,)), PipelineNode((0,)), PipelineNode((1, 2), late))


def fan_out(width: int) -> Shape:
    """All other jobs depend on the first."""
    return (PipelineNode(), *(PipelineNode((0,)) for _ in range(width)))


def fan_in(width: int, late: bool = False) -> Shape:
    """The last job depends on all others. `late` applies to the last job."""
    return (*(PipelineNode() for _ in range(width)), PipelineNode(tuple(range(width)), late))


def random_graph(rng: random.Random, size: int) -> Shape:
    """Each job depends on up to three random earlier jobs."""
    nodes = []
    for index in range(size):
        dependencies = tuple(sorted(rng.sample(range(index), rng.randint(0, min(index, 3)))))
        nodes.append(PipelineNode(dependencies, late=bool(dependencies) and rng.random() < 0.15))
    return tuple(nodes)


def random_shape(rng: random.Random) -> Shape:
    late = rng.random() < 0.3
    return rng.choice(
        [
            chain(rng.randint(2, 5), late),
            diamond(late),
            fan_out(rng.randint(2, 4)),
            fan_in(rng.randint(2, 4), late),
            random_graph(rng, rng.randint(3, 7)),
        ]
    )


class Pipeline:
    """The jobs of one shape. Each is submitted at any controller once its dependencies are accepted or, if it
    is `late`, over."""

    def __init__(
        self, deployment: SimulatedDeployment, first_number: int, shape: Shape, fields: list[dict[str, Any]]
    ) -> None:
        self.deployment, self.first_number, self.shape, self.fields = deployment, first_number, shape, fields
        self._submitted: set[int] = set()
        deployment.users.accepted_callbacks.append(lambda job: self._submit_ready_jobs())
        deployment.users.over_callbacks.append(lambda job: self._submit_ready_jobs())
        self._submit_ready_jobs()

    def job(self, index: int) -> str:
        """The id of the job at this index."""
        return f"job-{self.first_number + index:06d}"

    @property
    def jobs(self) -> list[str]:
        """The ids of the jobs submitted so far, in the order of their indices."""
        return [self.job(index) for index in sorted(self._submitted)]

    @property
    def complete(self) -> bool:
        """Whether all jobs are submitted."""
        return len(self._submitted) == len(self.shape)

    def _submit_ready_jobs(self) -> None:
        for index, node in enumerate(self.shape):
            if index not in self._submitted and self._is_ready(node):
                self._submit(index, node)

    def _is_ready(self, node: PipelineNode) -> bool:
        dependencies = [self.job(index) for index in node.dependencies]
        if node.late:
            return all(self.deployment.jobs.observed_states.get(job) in FINAL_STATES for job in dependencies)
        return all(job in self.deployment.jobs.accepted for job in dependencies)

    def _submit(self, index: int, node: PipelineNode) -> None:
        self._submitted.add(index)
        fields = dict(self.fields[index])
        if node.dependencies:
            fields["awaits"] = [self.job(dependency) for dependency in node.dependencies]
        self.deployment.users.poll_until_over(
            self.deployment.users.submit(self.first_number + index, **fields)
        )


class Pipelines:
    """Pipelines of all shapes, submitted to a deployment for all of its teams."""

    def __init__(self, deployment: SimulatedDeployment, first_number: int = 1000) -> None:
        self.deployment = deployment
        self.next_number = first_number
        self.pipelines: list[Pipeline] = []

    def begin(self, shape: Shape, **fields: Any) -> Pipeline:
        """Starts submitting a pipeline now. `fields` apply to each of its jobs."""
        given = [self._random_job() | fields for _ in shape]
        pipeline = Pipeline(self.deployment, self.next_number, shape, given)
        self.next_number += len(shape)
        self.pipelines.append(pipeline)
        return pipeline

    def stream(self, count: int, interval: timedelta) -> None:
        """Schedules pipelines of random shapes at this interval. The first begins at once."""
        for number in range(count):
            self.deployment.clock.later(
                interval * number, lambda: self.begin(random_shape(self.deployment.rng))
            )

    def cancel_some(self, fraction: float, within: timedelta) -> None:
        """Has users cancel this fraction of the jobs accepted from now on, each within this time."""
        rng = self.deployment.rng

        def cancel_randomly(job: str) -> None:
            if rng.random() < fraction:
                self.deployment.counts["pipeline cancelled"] += 1
                self.deployment.clock.later(within * rng.random(), self.deployment.users.cancel, job)

        self.deployment.users.accepted_callbacks.append(cancel_randomly)

    def _random_job(self) -> dict[str, Any]:
        rng = self.deployment.rng
        return {
            "crew": rng.choice([team["name"] for team in self.deployment.config.teams]),
            "urgency": rng.choice(["critical", "high", "normal", "best_effort"]),
            "threads": rng.choice([1, 2, 3]),
            "vcpus": rng.choice([1.0, 2.0, 4.0]),
            "run_s": rng.uniform(0.3, 4),
            "knot_s": rng.choice([0.0, 2.0]),
            "due_s": rng.choice([None, 20.0, 60.0]),
        }

    def settle(self, timeout: timedelta = SETTLE_TIMEOUT) -> None:
        """Runs until all pipelines are submitted and users were told that all jobs are over, and fails if
        that takes more than `timeout` from now or from the end of the last fault.

        A job must be done unless it or a job that it depends on was cancelled. Jobs that depend on an aborted
        one must be aborted.
        """
        deployment = self.deployment
        end = max(deployment.clock.now(), deployment.fault_window.ends_at) + timeout
        while not self._settled() and deployment.clock.now() < end:
            deployment.run(seconds(1))
        assert all(pipeline.complete for pipeline in self.pipelines), "some jobs were never submitted"
        open_jobs = {
            job: deployment.jobs.observed_states.get(job)
            for job in deployment.jobs.descriptions
            if deployment.jobs.observed_states.get(job) not in FINAL_STATES
        }
        assert not open_jobs, open_jobs
        for job in deployment.jobs.descriptions:
            aborted = deployment.dependencies.cancelled_ancestors(job)
            assert not aborted or deployment.jobs.observed_states[job] == "aborted", (
                job,
                deployment.jobs.observed_states[job],
                aborted,
            )
            assert deployment.jobs.observed_states[
                job
            ] == "done" or deployment.dependencies.is_cancel_requested(job), job

    def _settled(self) -> bool:
        return all(pipeline.complete for pipeline in self.pipelines) and all(
            self.deployment.jobs.observed_states.get(job) in FINAL_STATES
            for job in self.deployment.jobs.descriptions
        )
