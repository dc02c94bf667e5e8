"""Tests of the recovery of a leader's cluster state from stored records."""

from datetime import timedelta

from spindleglade.controller.recovery import RecordLoader, new_predictor
from spindleglade.runtime.clock import ManualClock
from spindleglade.settings import OperatorSettings
from spindleglade.store.messages import Entry, encode_value
from spindleglade.submissions.records import (
    HISTORY_KEY_PREFIX,
    JobRecord,
    StoredAttempt,
    TaskRangeRecord,
    job_key,
    range_key,
)
from tests.cluster_harness import make_cluster, spec


class FakeReplica:
    """A replica that ignores the entries of a listing."""

    def observe(self, key, value, mod_revision):
        pass


def make_loader(cluster, replica=None, clock=None):
    """Creates a loader of records into `cluster`."""
    predictor = new_predictor(OperatorSettings().backfill)
    return RecordLoader(cluster, predictor, replica or FakeReplica(), clock or ManualClock())


def test_an_undecodable_record_stops_no_recovery_and_its_job_is_ignored():
    """If a record that cannot be decoded failed the recovery, no controller could lead."""
    loader = make_loader(make_cluster())
    opened = {id: encode_value(JobRecord("open", spec(id), 256)) for id in ("job-1", "job-2", "job-3")}
    placed = encode_value(TaskRangeRecord(placed={0: StoredAttempt(1, "n-1", 1)}))
    entries = [
        Entry(HISTORY_KEY_PREFIX + "t", encode_value([]), 2),
        Entry(job_key("job-1"), opened["job-1"], 3),
        Entry(job_key("job-2"), encode_value({"stage": "resting"}), 4),
        Entry(job_key("job-3"), opened["job-3"], 5),
        Entry(range_key("job-1", 0), placed, 6),
        Entry(range_key("job-2", 0), placed, 7),
        Entry(range_key("job-3", 0), placed, 8),
        Entry(range_key("job-3", 1), encode_value({"placed": 3}), 9),
        Entry("sg/task/job-4/x", placed, 10),
    ]
    loader.load(entries, timedelta(0))
    assert set(loader.cluster.jobs) == {"job-1"} and loader.range_mod_revisions == {range_key("job-1", 0): 6}
    assert [job for job, _ in loader.cluster.pending_writes] == []
    # The job's record is also ignored when the replica delivers it later.
    loader.observe_job(JobRecord("open", spec("job-3"), 256), 5)
    assert set(loader.cluster.jobs) == {"job-1"}
