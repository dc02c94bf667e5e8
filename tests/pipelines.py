"""Generated pipelines of jobs that need each other, submitted as their users do: one job after another."""

import random
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from spindleglade.runtime.clock import seconds
from tests.invariants.dependency_invariants import OVER
from tests.simulated_deployment import SimulatedDeployment

# By then all that waits is served once the last fault is over.
SETTLED_WITHIN = seconds(90)


@dataclass(frozen=True)
class Stage:
    """One job of a pipeline, by the places in it of the jobs that it needs."""

    needs: tuple[int, ...] = ()
    # Submitted only when all that it needs is over, not as soon as it is accepted.
    late: bool = False


Shape = tuple[Stage, ...]


def chain(length: int, late: bool = False) -> Shape:
    stages = [Stage(() if at == 0 else (at - 1,)) for at in range(length)]
    stages[-1] = Stage(stages[-1].needs, late)
    return tuple(stages)


def diamond(late: bool = False) -> Shape:
    return (Stage(), Stage((0,)), Stage((0,)), Stage((1, 2), late))


def fan_out(width: int) -> Shape:
    return (Stage(), *(Stage((0,)) for _ in range(width)))


def fan_in(width: int, late: bool = False) -> Shape:
    return (*(Stage() for _ in range(width)), Stage(tuple(range(width)), late))


def random_graph(rng: random.Random, size: int) -> Shape:
    stages = []
    for at in range(size):
        needs = tuple(sorted(rng.sample(range(at), rng.randint(0, min(at, 3)))))
        stages.append(Stage(needs, late=bool(needs) and rng.random() < 0.15))
    return tuple(stages)


def any_shape(rng: random.Random) -> Shape:
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
    """The jobs of one shape. Each is submitted at any controller once those that it needs are accepted, or
    over."""

    def __init__(
        self, deployment: SimulatedDeployment, first: int, shape: Shape, fields: list[dict[str, Any]]
    ) -> None:
        self.deployment, self.first, self.shape, self.fields = deployment, first, shape, fields
        self._sent: set[int] = set()
        deployment.users.accepted_callbacks.append(lambda job: self._submit_what_can_be())
        deployment.users.over_callbacks.append(lambda job: self._submit_what_can_be())
        self._submit_what_can_be()

    def job(self, place: int) -> str:
        return f"job-{self.first + place:06d}"

    @property
    def jobs(self) -> list[str]:
        """Those submitted so far."""
        return [self.job(place) for place in sorted(self._sent)]

    @property
    def complete(self) -> bool:
        """Whether all are submitted."""
        return len(self._sent) == len(self.shape)

    def _submit_what_can_be(self) -> None:
        for place, stage in enumerate(self.shape):
            if place not in self._sent and self._may_submit(stage):
                self._submit(place, stage)

    def _may_submit(self, stage: Stage) -> bool:
        needed = [self.job(place) for place in stage.needs]
        if stage.late:
            return all(self.deployment.jobs.observed_states.get(job) in OVER for job in needed)
        return all(job in self.deployment.jobs.accepted for job in needed)

    def _submit(self, place: int, stage: Stage) -> None:
        self._sent.add(place)
        fields = dict(self.fields[place])
        if stage.needs:
            fields["awaits"] = [self.job(needed) for needed in stage.needs]
        self.deployment.users.poll_until_over(self.deployment.users.submit(self.first + place, **fields))


class Pipelines:
    """A stream of pipelines of all shapes, across the teams of a deployment."""

    def __init__(self, deployment: SimulatedDeployment, first: int = 1000) -> None:
        self.deployment = deployment
        self.number = first
        self.all: list[Pipeline] = []

    def begin(self, shape: Shape, **fields: Any) -> Pipeline:
        """Submits a pipeline now; `fields` hold for each of its jobs."""
        given = [self._any_job() | fields for _ in shape]
        pipeline = Pipeline(self.deployment, self.number, shape, given)
        self.number += len(shape)
        self.all.append(pipeline)
        return pipeline

    def stream(self, count: int, every: timedelta) -> None:
        """Pipelines of any shape, one after another; the first begins at once."""
        for number in range(count):
            self.deployment.clock.later(every * number, lambda: self.begin(any_shape(self.deployment.rng)))

    def cancel_some(self, share: float, within: timedelta) -> None:
        """Of that share of the jobs that are accepted from now on, the user cancels them within that time."""
        rng = self.deployment.rng

        def accepted(job: str) -> None:
            if rng.random() < share:
                self.deployment.counts["pipeline cancelled"] += 1
                self.deployment.clock.later(within * rng.random(), self.deployment.users.cancel, job)

        self.deployment.users.accepted_callbacks.append(accepted)

    def _any_job(self) -> dict[str, Any]:
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

    def settle(self, span: timedelta = SETTLED_WITHIN) -> None:
        """Once all is well each pipeline is submitted in full, each job ends, and users hear so: a job
        that nobody cancelled, nor any before it, is done, and what comes after an aborted one is aborted."""
        deployment = self.deployment
        end = max(deployment.clock.now(), deployment.fault_window.ends_at) + span
        while not self._settled() and deployment.clock.now() < end:
            deployment.run(seconds(1))
        assert all(pipeline.complete for pipeline in self.all), "some jobs were never submitted"
        open_jobs = {
            job: deployment.jobs.observed_states.get(job)
            for job in deployment.jobs.descriptions
            if deployment.jobs.observed_states.get(job) not in OVER
        }
        assert not open_jobs, open_jobs
        for job in deployment.jobs.descriptions:
            aborted = deployment.dependencies.cancelled_ancestors(job)
            assert not aborted or deployment.jobs.observed_states[job] == "aborted", (
                job,
                deployment.jobs.observed_states[job],
                aborted,
            )
            assert deployment.jobs.observed_states[job] == "done" or deployment.dependencies.cancelled(job), (
                job
            )

    def _settled(self) -> bool:
        return all(pipeline.complete for pipeline in self.all) and all(
            self.deployment.jobs.observed_states.get(job) in OVER for job in self.deployment.jobs.descriptions
        )
