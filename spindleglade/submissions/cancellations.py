"""The cancelled jobs on record, and the machines that may still run their tasks."""

from bisect import bisect_right, insort

from spindleglade.submissions.job_view import JobView

# Cancellations that one message between controllers may list.
MAX_CANCELLATIONS_PER_MESSAGE = 2000

# Sorts after every job's id.
_AFTER_ALL_JOBS = "\U0010ffff"


class CancellationLog:
    """Every cancellation on record, in the order of the records' revisions."""

    def __init__(self) -> None:
        self._cancellations: list[tuple[int, str]] = []

    def add(self, job: str, mod_revision: int) -> None:
        """Adds a job whose record was cancelled at this revision."""
        insort(self._cancellations, (mod_revision, job))

    def since(self, revision: int) -> list[tuple[str, int]] | None:
        """The jobs cancelled after `revision`, with their records' revisions; None if one message cannot list
        them all."""
        start = bisect_right(self._cancellations, (revision, _AFTER_ALL_JOBS))
        if len(self._cancellations) - start > MAX_CANCELLATIONS_PER_MESSAGE:
            return None
        return [(job, mod_revision) for mod_revision, job in self._cancellations[start:]]


class CancelledPlacements:
    """Where tasks of cancelled jobs are still on record as placed."""

    def __init__(self) -> None:
        # Cancelled jobs whose tasks are not all on record as ended.
        self._jobs: dict[str, JobView] = {}
        # Machines and incarnations; None until they are computed again.
        self._placements: set[tuple[str, int]] | None = set()

    def on_job_changed(self, job: str, view: JobView) -> None:
        """Applies the records of a cancelled job."""
        self._placements = None
        if any(range_record.placed for range_record in view.effective_ranges()):
            self._jobs[job] = view
        else:
            # The boundaries stay: a range that is read after its overflow ranges may hold stale entries.
            view.range_records = {}
            self._jobs.pop(job, None)

    def may_run_on(self, machine: str, incarnation: int) -> bool:
        """Whether a task of a cancelled job is on record as placed there."""
        if self._placements is None:
            self._placements = {
                (attempt.machine, attempt.incarnation)
                for view in self._jobs.values()
                for range_record in view.effective_ranges()
                for attempt in range_record.placed.values()
            }
        return (machine, incarnation) in self._placements
