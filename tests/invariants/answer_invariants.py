"""What users may be told of their jobs, checked at each answer."""

from collections.abc import Callable
from datetime import timedelta

from spindleglade.runtime.clock import ManualClock, seconds
from tests.invariants.dependency_invariants import OVER, DependencyInvariants
from tests.simulation.fault_window import FaultWindow
from tests.simulation.job_records import JobRecords

# How long the users allow that no question about a job is answered once all faults are over.
UNANSWERED_LIMIT = seconds(75)


class AnswerInvariants:
    """Notes in `violations` what breaks a rule.

    - `forgotten`: an accepted job is unknown, or nothing about it is answered for too long.
    - `invented`: a job is known that nobody submitted.
    - `went_back`: an answer is older than what was told before the question, or takes back what is final.
    - `not_done`: a job is called done while some of its tasks are not.
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

    def violated(self, what: str) -> None:
        """An answer broke a rule."""
        self._violations.append(what)

    def check_state(self, job_id: str, state: str, before: str | None) -> None:
        """An answer gave this state; `before`: what was known when the question was asked."""
        self._dependencies.observe_state(job_id, state)
        if before in OVER and state != before:
            self.violated(f"went_back {job_id} from {before} to {state}")
        known = self._jobs.observed_states.get(job_id)
        if {state, known} == {"done", "aborted"}:
            # Whichever came first, and wherever: both are for good.
            self.violated(f"went_back {job_id} is called {known} and {state}")
        if state == "aborted" and not self._dependencies.cancelled(job_id):
            self.violated(f"went_back {job_id} aborted by nobody")
        if state == "done" and not self._is_complete(job_id):
            self.violated(f"not_done {job_id}")

    def observe_done_count(self, job_id: str, answer: dict, before: int) -> None:
        """Tasks that are done stay done, whatever becomes of the records that say so."""
        if answer["stage"] != "aborted" and answer["done"] < before:
            self.violated(f"went_back {job_id} from {before} tasks done to {answer['done']}")
        counts = self._jobs.observed_done_counts
        counts[job_id] = max(answer["done"], counts.get(job_id, 0))

    def check_answered(self) -> None:
        """At any moment: what is asked is answered."""
        jobs = self._jobs
        for job_id, polled_at in jobs.polled_at.items():
            answered_at = jobs.answered_at.get(job_id, timedelta(0))
            since = max(answered_at, self._window.ends_at, jobs.submitted_at.get(job_id, polled_at))
            if polled_at - since > UNANSWERED_LIMIT:
                self.violated(f"forgotten {job_id}: no answer since {since}")
