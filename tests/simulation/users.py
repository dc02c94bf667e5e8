"""The users of a simulated deployment: they submit, cancel and poll jobs, and record the answers."""

from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from random import Random
from typing import Any

from spindleglade.runtime.clock import ManualClock, seconds
from tests.deployment_config import description
from tests.fakes.encoding import Reply, decode, encode
from tests.invariants.answer_invariants import AnswerInvariants
from tests.invariants.dependency_invariants import FINAL_STATES
from tests.simulation.endpoints import USER, Endpoints
from tests.simulation.fault_window import FaultRates
from tests.simulation.job_records import JobRecords
from tests.simulation.network import SimulatedNetwork

OK, CREATED, BAD_REQUEST, NOT_FOUND, UNPROCESSABLE = 200, 201, 400, 404, 422
FINAL_STATUSES = (OK, CREATED, BAD_REQUEST, NOT_FOUND, UNPROCESSABLE)
# The maximum number of repetitions of a request, how long a user waits for an answer, and the delay before a
# repetition.
MAX_RETRIES = 40
ANSWER_TIMEOUT = seconds(2)
RETRY_DELAY = seconds(1)
# How long a refused connection takes to fail.
REFUSAL_DELAY = seconds(0.001)
POLL_INTERVAL = timedelta(seconds=1.3)
# Delays of a cancellation after the end of the job's last task: at once, or while the worker's heartbeat that
# reports the end is still on its way to the controllers.
CANCEL_AT_END_DELAYS_S = (0.0, 0.05, 0.3, 0.6)
# For `poll_everywhere`: the number of requests to each controller, the possible intervals between them, the
# maximum random delay added to each, and the share that poll the job instead of repeating its submission.
POLL_EVERYWHERE_ROUNDS = 4
POLL_EVERYWHERE_INTERVALS_S = (0.002, 0.02, 0.3)
POLL_EVERYWHERE_SPREAD_S = 0.004
POLL_PROBABILITY = 0.7

OnAnswer = Callable[[int, bytes], None]


class SimulatedUsers:
    """Sends the requests of users, repeats them until they are answered, and checks each answer."""

    def __init__(
        self,
        clock: ManualClock,
        rng: Random,
        rates: FaultRates,
        counts: Counter[str],
        endpoints: Endpoints,
        network: SimulatedNetwork,
        jobs: JobRecords,
        answers: AnswerInvariants,
    ) -> None:
        self._clock, self._rng, self._rates, self._counts = clock, rng, rates, counts
        self._endpoints, self._network = endpoints, network
        self._jobs, self._answers = jobs, answers
        # Called with the job id when a user first observes that the job is accepted, and that it is over.
        self.accepted_callbacks: list[Callable[[str], None]] = []
        self.over_callbacks: list[Callable[[str], None]] = []

    def request(
        self,
        method: str,
        path: str,
        body: bytes,
        on_answer: OnAnswer,
        retries: int = MAX_RETRIES,
        controller: str | None = None,
    ) -> None:
        """Sends a request, and repeats it up to `retries` times until it gets a final answer.

        The first attempt goes to the given controller, all others to random ones.
        """
        target = controller or self._rng.choice(self._endpoints.controller_names)
        is_finished = False

        def finish(answer: Reply | None) -> None:
            nonlocal is_finished
            if is_finished:
                return
            is_finished = True
            if answer is not None and answer[0] in FINAL_STATUSES:
                on_answer(*answer)
            elif retries:
                self._clock.later(RETRY_DELAY, self.request, method, path, body, on_answer, retries - 1)

        if self._network.refuses(target):
            self._clock.later(REFUSAL_DELAY, finish, None)
            return
        self._network.carry(USER, target, method, path, body, finish)
        self._clock.later(ANSWER_TIMEOUT, finish, None)

    def submit(self, job_number: int, **fields: Any) -> str:
        """Submits a new job; `fields` replace fields of the default description."""
        job_id = f"job-{job_number:06d}"
        self._jobs.descriptions[job_id] = description(job_id, fields)
        self._jobs.submitted_at[job_id] = self._clock.now()
        self.send_submission(job_id)
        return job_id

    def submit_and_poll(self, job_number: int, **fields: Any) -> str:
        """Submits a new job like `submit`, and polls it until it is over."""
        job_id = self.submit(job_number, **fields)
        self.poll_until_over(job_id)
        return job_id

    def send_submission(self, job_id: str, retries: int = MAX_RETRIES, controller: str | None = None) -> None:
        """Sends the job's submission for the first time, or repeats it."""
        before = self._jobs.observed_states.get(job_id)

        def on_answer(status: int, body: bytes) -> None:
            self._counts[f"submission {status}"] += 1
            if status in (BAD_REQUEST, NOT_FOUND, UNPROCESSABLE):
                self._answers.add_violation(f"forgotten {job_id}: its submission got status {status}")
                return
            if status == CREATED and before is not None:
                self._answers.add_violation(f"went_back {job_id} accepted again after state {before}")
            self._observe_state(job_id, decode(body)["stage"], before)

        body = encode(self._jobs.descriptions[job_id])
        self.request("POST", "/submissions", body, on_answer, retries, controller)

    def cancel(self, job_id: str, retries: int = MAX_RETRIES, controller: str | None = None) -> None:
        """Requests the cancellation of the job."""
        self._jobs.cancel_requested.add(job_id)
        before = self._jobs.observed_states.get(job_id)

        def on_answer(status: int, body: bytes) -> None:
            if status == OK:
                self._on_cancelled(job_id, decode(body)["stage"], before)
            elif status != NOT_FOUND:
                self._answers.add_violation(f"abort {job_id} answered status {status}")
            elif before is not None:
                self._answers.add_violation(f"forgotten {job_id}")
            elif retries:
                # The job's submission has not been accepted yet.
                self._clock.later(RETRY_DELAY, self.cancel, job_id, retries - 1)

        self.request("POST", f"/submissions/{job_id}/abort", b"", on_answer, retries, controller)

    def _on_cancelled(self, job_id: str, state: str, before: str | None) -> None:
        if state == "aborted":
            self._jobs.cancelled_at.setdefault(job_id, self._clock.now())
        elif state != "done":
            self._answers.add_violation(f"abort {job_id} answered state {state}")
        self._observe_state(job_id, state, before)

    def cancel_at_end(self, job_id: str) -> None:
        """Cancels the job with the probability `cancel_at_end`; called when its last task has ended."""
        if self._rng.random() < self._rates.cancel_at_end:
            self._counts["cancelled at its end"] += 1
            delay = seconds(self._rng.choice(CANCEL_AT_END_DELAYS_S))
            self._clock.later(delay, self.cancel, job_id)

    def poll(self, job_id: str, controller: str | None = None) -> None:
        """Polls the job once."""
        # The answer may not be older than what a user had been told when the poll was sent.
        before = self._jobs.observed_states.get(job_id)
        done_before = self._jobs.observed_done_counts.get(job_id, 0)
        self._jobs.polled_at[job_id] = self._clock.now()

        def on_answer(status: int, body: bytes) -> None:
            self._jobs.answered_at[job_id] = self._clock.now()
            if status == NOT_FOUND:
                if before is not None:
                    self._answers.add_violation(f"forgotten {job_id}")
            elif job_id not in self._jobs.descriptions:
                self._answers.add_violation(f"invented {job_id}")
            else:
                answer = decode(body)
                self._observe_state(job_id, answer["stage"], before)
                self._answers.observe_done_count(job_id, answer, done_before)

        self.request("GET", f"/submissions/{job_id}", b"", on_answer, 0, controller)

    def poll_until_over(self, job_id: str, interval: timedelta = POLL_INTERVAL) -> None:
        """Polls the job at the given interval until it is over."""
        if self._jobs.observed_states.get(job_id) not in FINAL_STATES:
            self.poll(job_id)
            self._clock.later(interval, self.poll_until_over, job_id, interval)

    def _observe_state(self, job_id: str, state: str, before: str | None) -> None:
        is_new = job_id not in self._jobs.accepted
        self._jobs.accepted.add(job_id)
        self._answers.check_state(job_id, state, before)
        known = self._jobs.observed_states.get(job_id)
        if known in FINAL_STATES:
            return
        self._jobs.observed_states[job_id] = state
        accepted = self.accepted_callbacks if is_new else ()
        over = self.over_callbacks if state in FINAL_STATES else ()
        for callback in (*accepted, *over):
            callback(job_id)
        if self._rates.poll_everywhere and (known is None or state in FINAL_STATES):
            self._poll_everywhere(job_id)

    def _poll_everywhere(self, job_id: str) -> None:
        """Polls the job, or repeats its submission, several times at each controller within milliseconds to a
        second. If the job is open, also cancels it with the probability `cancel_at_once`."""
        self._counts["polls at all controllers"] += 1
        for round_number in range(POLL_EVERYWHERE_ROUNDS):
            for name in self._endpoints.controller_names:
                spread_s = self._rng.uniform(0, POLL_EVERYWHERE_SPREAD_S)
                delay = seconds(spread_s + round_number * self._rng.choice(POLL_EVERYWHERE_INTERVALS_S))
                if self._rng.random() < POLL_PROBABILITY:
                    self._clock.later(delay, self.poll, job_id, name)
                else:
                    self._clock.later(delay, self.send_submission, job_id, 0, name)
        is_over = self._jobs.observed_states[job_id] in FINAL_STATES
        if not is_over and self._rng.random() < self._rates.cancel_at_once:
            self.cancel(job_id)
