"""Invariants of the answers that users get about their jobs, checked at each answer."""

from collections.abc import Callable
from datetime import timedelta

from spindleglade.runtime.clock import ManualClock, seconds
from tests.invariants.dependency_invariants import FINAL_STATES, DependencyInvariants
from tests.simulation.fault_window import FaultWindow
from tests.simulation.job_records import JobRecords

# The maximum time without an answer to any poll of a job, once all faults are over.
UNANSWERED_LIMIT = seconds(75)


class AnswerInvariants:
    """Appends each violation of a rule to `violations`.

    - `forgotten`: an accepted job is reported as unknown, or no poll of it is answered for too long.
    - `invented`: a job that nobody submitted is reported as known.
    - `went_back`: an answer is older than what a user had been told when the request was sent, or contradicts
      a final state.
    - `not_done`: a job is reported as done while some of its tasks are not.
    """

    def __init__(
        self,
        clock: ManualClock,
        window: FaultWindow,
        jobs: JobRecords,
        is_complete: Callable[[str], bool],
        dependencies: DependencyInvariants,
        violations: list[str],
    ) -> None:
        self._clock, self._window, self._jobs = clock, window, jobs
        self._is_complete, self._dependencies = is_complete, dependencies
        self._violations = violations

    def add_violation(self, violation: str) -> None:
        """Records that an answer violates a rule."""
        self._violations.append(violation)

    def check_state(self, job_id: str, state: str, before: str | None) -> None:
        """Checks the state in an answer; `before` is the state a user had been told when asking."""
        self._dependencies.observe_state(job_id, state)
        if before in FINAL_STATES and state != before:
            self.add_violation(f"went_back {job_id} from {before} to {state}")
        known = self._jobs.observed_states.get(job_id)
        if {state, known} == {"done", "aborted"}:
            # Both states are final, so no two answers may differ in them, whichever came first and from any
            # controller.
            self.add_violation(f"went_back {job_id} is reported as {known} and as {state}")
        if state == "aborted" and not self._dependencies.is_cancel_requested(job_id):
            self.add_violation(f"went_back {job_id} aborted though no user cancelled it or an ancestor")
        if state == "done" and not self._is_complete(job_id):
            self.add_violation(f"not_done {job_id}")

    def observe_done_count(self, job_id: str, answer: dict, before: int) -> None:
        """Checks that the number of done tasks never decreases, even if the records of done tasks change.

        `before` is the number that a user had been told when the request was sent.
        """
        if answer["stage"] != "aborted" and answer["done"] < before:
            self.add_violation(f"went_back {job_id} from {before} done tasks to {answer['done']}")
        counts = self._jobs.observed_done_counts
        counts[job_id] = max(answer["done"], counts.get(job_id, 0))

    def check_answered(self) -> None:
        """Checks that polls are answered in time; called at every step."""
        jobs = self._jobs
        for job_id, polled_at in jobs.polled_at.items():
            answered_at = jobs.answered_at.get(job_id, timedelta(0))
            since = max(answered_at, self._window.ends_at, jobs.submitted_at.get(job_id, polled_at))
            if polled_at - since > UNANSWERED_LIMIT:
                self.add_violation(f"forgotten {job_id}: no answer since {since}")
