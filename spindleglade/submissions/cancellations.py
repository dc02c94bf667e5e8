"""The jobs recorded as cancelled, and the machines that may still run their tasks."""

from bisect import bisect_right, insort

from spindleglade.submissions.job_view import JobView

# The most cancellations that one message between controllers lists.
MAX_CANCELLATIONS_PER_MESSAGE = 2000

# Sorts after every job id.
_GREATER_THAN_ANY_JOB_ID = "\U0010ffff"


class CancellationLog:
    """All recorded cancellations, ordered by the revision of the cancelled job's record."""

    def __init__(self) -> None:
        # (revision, job id), sorted.
        self._cancellations: list[tuple[int, str]] = []

    def add(self, job: str, mod_revision: int) -> None:
        """Adds a job that was recorded as cancelled at this revision."""
        insort(self._cancellations, (mod_revision, job))

    def since(self, revision: int) -> list[tuple[str, int]] | None:
        """The jobs cancelled after `revision`, each with the revision of its cancellation.

        None if there are more than MAX_CANCELLATIONS_PER_MESSAGE.
        """
        start = bisect_right(self._cancellations, (revision, _GREATER_THAN_ANY_JOB_ID))
        if len(self._cancellations) - start > MAX_CANCELLATIONS_PER_MESSAGE:
            return None
        return [(job, mod_revision) for mod_revision, job in self._cancellations[start:]]


class CancelledPlacements:
    """The machines on which tasks of cancelled jobs are still recorded as placed."""

    def __init__(self) -> None:
        # The cancelled jobs with tasks still recorded as placed.
        self._views: dict[str, JobView] = {}
        # The machine and incarnation of each such task; None if the set must be recomputed from the views.
        self._placements: set[tuple[str, int]] | None = set()

    def on_job_changed(self, job: str, view: JobView) -> None:
        """Updates the placements of a cancelled job after its record or a task range has changed."""
        self._placements = None
        if any(range_record.placed for range_record in view.effective_ranges()):
            self._views[job] = view
        else:
            # `view.ranges` is kept: a task range read after its overflow ranges may still hold stale entries,
            # which only the boundaries of the overflow ranges reveal.
            view.range_records = {}
            self._views.pop(job, None)

    def may_run_on(self, machine: str, incarnation: int) -> bool:
        """Whether a task of a cancelled job is recorded as placed on this incarnation of the machine."""
        if self._placements is None:
            self._placements = {
                (attempt.machine, attempt.incarnation)
                for view in self._views.values()
                for range_record in view.effective_ranges()
                for attempt in range_record.placed.values()
            }
        return (machine, incarnation) in self._placements
