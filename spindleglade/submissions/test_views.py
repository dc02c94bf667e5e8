"""Tests of the job views that are derived from the changes of a replica."""

import pytest

from spindleglade.store.messages import encode_value
from spindleglade.submissions.messages import (
    decode_submission,
)
from spindleglade.submissions.records import (
    JobRecord,
    StoredAttempt,
    TaskRangeRecord,
    job_key,
    range_key,
)
from spindleglade.submissions.test_messages import encode
from spindleglade.submissions.views import JobViews


def test_a_job_is_pending_then_running_then_done():
    views = JobViews()
    job = decode_submission(encode())
    views.on_change(job_key(job.id), encode_value(JobRecord("open", job, 8)), 1)
    assert views.jobs[job.id].state == "pending"
    views.on_change(
        range_key(job.id, 0), encode_value(TaskRangeRecord([(0, 1)], {2: StoredAttempt(1, "n-1", 1)})), 2
    )
    assert views.jobs[job.id].state == "running" and views.jobs[job.id].done_count == 2
    views.on_change(job_key(job.id), encode_value(JobRecord("done", job, 8)), 3)
    views.on_change(range_key(job.id, 0), None, 4)
    assert views.jobs[job.id].state == "done" and views.jobs[job.id].done_count == 16


CHANGES = [
    ("job", JobRecord("open", decode_submission(encode()), 8)),
    ("task", TaskRangeRecord([(0, 1)], {2: StoredAttempt(1, "n-1", 1)})),
    ("task", TaskRangeRecord([(0, 2)], {3: StoredAttempt(1, "n-1", 1), 4: StoredAttempt(1, "n-1", 1)})),
]


@pytest.mark.parametrize("order", [(0, 1, 2), (1, 0, 2), (1, 2, 0)])
def test_a_view_is_the_same_in_whichever_order_its_records_come(order):
    """A listing reads the job records before the task ranges, so it may contain a range of a job that was
    accepted in between. The job's record follows as a change, but the range does not come again, because the
    replica has already applied it at its revision."""
    views = JobViews()
    for number in order:
        kind, record = CHANGES[number]
        key = job_key("job-000412") if kind == "job" else range_key("job-000412", 0)
        views.on_change(key, encode_value(record), number + 1)
    view = views.jobs["job-000412"]
    assert (view.state, view.done_count, view.running) == ("running", 3, 2)
    # A range that is removed before its job is known is forgotten.
    views.on_change(range_key("job-2", 0), encode_value(TaskRangeRecord([(0, 1)])), 5)
    views.on_change(range_key("job-2", 0), None, 6)
    assert not views.ranges_of_unknown_jobs
