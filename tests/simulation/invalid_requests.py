"""Users who send what cannot be served: invalid submissions, repeats, cancellations of what is done."""

from collections import Counter
from datetime import timedelta
from random import Random

from spindleglade.runtime.clock import ManualClock, seconds
from tests.deployment_config import DeploymentConfig, description
from tests.fakes.encoding import encode
from tests.invariants.dependency_invariants import OVER
from tests.simulation.fault_window import FaultWindow
from tests.simulation.job_records import JobRecords
from tests.simulation.users import BAD_REQUEST, UNPROCESSABLE, SimulatedUsers

# More than any machine type has.
IMPOSSIBLE_CPUS = 1e6
POLL_DELAY = seconds(1)


class InvalidRequests:
    """Sends submissions that must be refused, and requests that must change nothing."""

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
        """Users repeat what is under way, cancel what is done, and send what can never run."""
        self._window.extend(length)
        end = self._clock.now() + length

        def send_next() -> None:
            if self._clock.now() < end:
                self._clock.later(seconds(self._rng.uniform(0.1, 0.6)), send_next)
                self._send_one()

        send_next()

    def _send_one(self) -> None:
        known, states = sorted(self._jobs.accepted), self._jobs.observed_states
        open_jobs = [job for job in known if states.get(job) not in OVER]
        done = [job for job in known if states.get(job) == "done"]
        kind = self._rng.choice(["repeat", "cancel", "invalid", "invalid"])
        if kind == "repeat" and open_jobs:
            self._users.send_submission(self._rng.choice(open_jobs))
        elif kind == "cancel" and done:
            self._users.cancel(self._rng.choice(done))
        elif kind == "invalid":
            self.submit()

    def submit(self) -> None:
        """A job that lacks a field or fits nothing; it may never be accepted, and stays unknown."""
        job_id = f"job-9{len(self._jobs.invalid):05d}"
        fault, body = self._invalid_description(job_id)
        self._jobs.invalid[job_id] = fault
        expected = BAD_REQUEST if fault in ("lacks", "not JSON") else UNPROCESSABLE

        def on_answer(status: int, body: bytes) -> None:
            self._counts[f"odd {status}"] += 1
            if status != expected:
                self._violations.append(f"odd {job_id} ({fault}): {status}")

        self._users.request("POST", "/submissions", body, on_answer)
        self._clock.later(POLL_DELAY, self._users.poll, job_id)

    def _invalid_description(self, job_id: str) -> tuple[str, bytes]:
        """What is wrong with the description, and its bytes."""
        job = description(job_id, {})
        fault = self._rng.choice(["lacks", "too large", "no team", "no type", "not JSON", "beyond its limit"])
        if fault == "lacks":
            del job[self._rng.choice(["crew", "threads", "vcpus", "pattern", "reckon_s", "scatter"])]
        elif fault == "too large":
            job["vcpus"] = self._config.machine_cpus + 1
        elif fault == "beyond its limit":
            job["vcpus"] = IMPOSSIBLE_CPUS
        elif fault == "no team":
            job["crew"] = "nobody"
        elif fault == "no type":
            job["frames"] = ["none such"]
        return fault, encode(job) if fault != "not JSON" else b"{" + encode(job)
