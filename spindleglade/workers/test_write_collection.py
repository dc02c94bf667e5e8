"""The order in which pending changes are written."""

from spindleglade.submissions.records import JobRecord
from tests.cluster_harness import Harness, spec


def test_starts_are_recorded_before_ends():
    """Nobody waits for the record of an attempt's end, so many pending ends must not delay starts."""
    harness = Harness()
    harness.cluster.observe_job(JobRecord("open", spec("job-2", 20), 1), 2)
    harness.send_heartbeat()
    for index in range(20):
        harness.cluster._changes.mark_task_changed(harness.cluster.jobs["job-2"], index)
    harness.place()
    batch = harness.cluster.collect_writes(5, {}, max_background_operations=2)
    assert [(write.job, write.first_task) for write in batch.ranges][0] == ("job-1", 0)
    assert len(batch.ranges) == 3
