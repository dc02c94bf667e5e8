"""Records of the jobs that users submitted, cancelled and polled, and of the answers that they got."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any


@dataclass
class JobRecords:
    """The description of each job by its id, and what users requested and observed of it."""

    descriptions: dict[str, dict[str, Any]] = field(default_factory=dict)
    submitted_at: dict[str, timedelta] = field(default_factory=dict)
    # Jobs that some answer reported as existing.
    accepted: set[str] = field(default_factory=set)
    # Jobs that a user asked to cancel, and when a user was first told that the job is cancelled.
    cancel_requested: set[str] = field(default_factory=set)
    cancelled_at: dict[str, timedelta] = field(default_factory=dict)
    # The last state and the highest number of done tasks that a user was told.
    observed_states: dict[str, str] = field(default_factory=dict)
    observed_done_counts: dict[str, int] = field(default_factory=dict)
    # When each job was last polled, and when a poll was last answered.
    polled_at: dict[str, timedelta] = field(default_factory=dict)
    answered_at: dict[str, timedelta] = field(default_factory=dict)
    # What is wrong with each invalid submission, by its job id.
    invalid: dict[str, str] = field(default_factory=dict)

    def description_of_task(self, task: str) -> dict[str, Any]:
        """Returns the description of the job that the task belongs to."""
        return self.descriptions[job_of(task)]

    def tasks(self, job_id: str) -> Iterator[str]:
        """Iterates over the names of the job's tasks."""
        return (f"{job_id}/{index}" for index in range(self.descriptions[job_id]["threads"]))


def job_of(task: str) -> str:
    """Returns the id of the job that the task belongs to."""
    return task.rpartition("/")[0]
