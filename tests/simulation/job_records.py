"""What users submitted, asked for and were told."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any


@dataclass
class JobRecords:
    """By a job's id: its description, and what its user did and observed."""

    descriptions: dict[str, dict[str, Any]] = field(default_factory=dict)
    submitted_at: dict[str, timedelta] = field(default_factory=dict)
    # Jobs of which some answer said that they exist.
    accepted: set[str] = field(default_factory=set)
    # Jobs that some user asked to cancel, and when users were first told that they are.
    cancel_requested: set[str] = field(default_factory=set)
    cancelled_at: dict[str, timedelta] = field(default_factory=dict)
    # The last state that a user was told, and the most tasks that one was told are done.
    observed_states: dict[str, str] = field(default_factory=dict)
    observed_done_counts: dict[str, int] = field(default_factory=dict)
    # When each job was last asked for, and when that was last answered.
    polled_at: dict[str, timedelta] = field(default_factory=dict)
    answered_at: dict[str, timedelta] = field(default_factory=dict)
    # Submissions that can never run, by their ids: what is wrong with them.
    invalid: dict[str, str] = field(default_factory=dict)

    def description_of_task(self, task: str) -> dict[str, Any]:
        """The description of the job that the task belongs to."""
        return self.descriptions[job_of(task)]

    def tasks(self, job_id: str) -> Iterator[str]:
        """The names of the job's tasks."""
        return (f"{job_id}/{index}" for index in range(self.descriptions[job_id]["threads"]))


def job_of(task: str) -> str:
    """The job that the task belongs to."""
    return task.rpartition("/")[0]
