"""Users who send invalid submissions, repeated submissions and cancellations of jobs that are done."""

from collections import Counter
from datetime import timedelta
from random import Random

from spindleglade.runtime.clock import ManualClock, seconds
from tests.deployment_config import DeploymentConfig, description
from tests.fakes.encoding import encode
from tests.invariants.dependency_invariants import FINAL_STATES
from tests.simulation.fault_window import FaultWindow
from tests.simulation.job_records import JobRecords
from tests.simulation.users import BAD_REQUEST, UNPROCESSABLE, SimulatedUsers

# More CPUs than any machine type has and any team may use.
IMPOSSIBLE_CPUS = 1e6
POLL_DELAY = seconds(1)


class InvalidRequests:
    """Sends submissions that must be rejected, and requests that must have no effect."""

    def __init__(
        self,
        clock: ManualClock,
        rng: Random,
        config: DeploymentConfig,
        window: FaultWindow,
        counts: Counter[str],
        jobs: JobRecords,
        users: SimulatedUsers,
        violations: list[str],
    ) -> None:
        self._clock, self._rng, self._config = clock, rng, config
        self._window, self._counts = window, counts
        self._jobs, self._users, self._violations = jobs, users, violations

    def send_for(self, length: timedelta) -> None:
        """Repeats submissions of open jobs, cancels done jobs and sends invalid submissions for a while."""
        self._window.extend(length)
        end = self._clock.now() + length

        def send_next() -> None:
            if self._clock.now() < end:
                self._clock.later(seconds(self._rng.uniform(0.1, 0.6)), send_next)
                self._send_one()

        send_next()

    def _send_one(self) -> None:
        accepted, states = sorted(self._jobs.accepted), self._jobs.observed_states
        open_jobs = [job for job in accepted if states.get(job) not in FINAL_STATES]
        done = [job for job in accepted if states.get(job) == "done"]
        kind = self._rng.choice(["repeat", "cancel", "invalid", "invalid"])
        if kind == "repeat" and open_jobs:
            self._users.send_submission(self._rng.choice(open_jobs))
        elif kind == "cancel" and done:
            self._users.cancel(self._rng.choice(done))
        elif kind == "invalid":
            self.submit()

    def submit(self) -> None:
        """Submits an invalid job. It must be rejected with the right status, and polls must not find it."""
        job_id = f"job-9{len(self._jobs.invalid):05d}"
        fault, body = self._invalid_description(job_id)
        self._jobs.invalid[job_id] = fault
        expected = BAD_REQUEST if fault in ("missing field", "not JSON") else UNPROCESSABLE

        def on_answer(status: int, body: bytes) -> None:
            self._counts[f"invalid submission {status}"] += 1
            if status != expected:
                self._violations.append(f"invalid submission {job_id} ({fault}) was answered with {status}")

        self._users.request("POST", "/submissions", body, on_answer)
        self._clock.later(POLL_DELAY, self._users.poll, job_id)

    def _invalid_description(self, job_id: str) -> tuple[str, bytes]:
        """Returns what is wrong with the description, and the bytes of the description."""
        job = description(job_id, {})
        fault = self._rng.choice(
            [
                "missing field",
                "too large for a machine",
                "unknown team",
                "unknown machine type",
                "not JSON",
                "over the team limit",
            ]
        )
        if fault == "missing field":
            del job[self._rng.choice(["crew", "threads", "vcpus", "pattern", "reckon_s", "scatter"])]
        elif fault == "too large for a machine":
            job["vcpus"] = self._config.machine_cpus + 1
        elif fault == "over the team limit":
            job["vcpus"] = IMPOSSIBLE_CPUS
        elif fault == "unknown team":
            job["crew"] = "nobody"
        elif fault == "unknown machine type":
            job["frames"] = ["none such"]
        return fault, encode(job) if fault != "not JSON" else b"{" + encode(job)
