"""Jobs with dependencies in the leader's cluster state and its state writer."""

import time
from datetime import timedelta

import pytest

from spindleglade.backfill.plan import Placement, Plan
from spindleglade.controller.pipelines import PipelineUpdater
from spindleglade.controller.recovery import new_predictor
from spindleglade.controller.test_recovery import make_loader
from spindleglade.leadership.term import Term
from spindleglade.runtime.clock import ManualClock, seconds
from spindleglade.settings import OperatorSettings
from spindleglade.store.messages import Entry, encode_value
from spindleglade.submissions.records import JobRecord, StoredAttempt, TaskRangeRecord, job_key
from spindleglade.submissions.views import JobViews
from spindleglade.workers.jobs import WAITING
from spindleglade.workers.messages import Command
from spindleglade.workers.state_writer import StateWriter, StateWriterEvents
from spindleglade.workers.test_state_writer import Store
from tests.cluster_harness import POLICY, TOKEN, Harness, spec


def dependent_record(id="job-2", dependencies=("job-1",), **fields):
    return JobRecord("open", spec(id, 1, **fields), 8, None, list(dependencies))


def with_dependent_job():
    """A harness with a registered machine, the open job-1, and job-2, which depends on job-1."""
    harness = Harness()
    harness.send_heartbeat()
    harness.cluster.observe_job(dependent_record(), 2, harness.now)
    return harness


def planned_jobs(harness):
    """The jobs that a planning pass would be offered, by ID."""
    return {job.id: job for job in harness.cluster.snapshot(harness.now).jobs}


def test_a_job_with_open_dependencies_is_neither_planned_nor_placed():
    harness = with_dependent_job()
    assert set(planned_jobs(harness)) == {"job-1"}
    start = Plan(placements=[Placement("job-2", 0, "n-1")])
    assert harness.cluster.apply_plan(start, harness.now) == 0
    harness.cluster.release_job("job-2", harness.now, timedelta(0))
    assert set(planned_jobs(harness)) == {"job-1", "job-2"}
    assert harness.cluster.apply_plan(start, harness.now) == 1


def test_a_dependent_job_becomes_overdue_counting_from_its_release():
    harness = with_dependent_job()
    harness.now += POLICY.overdue_after * 3
    harness.cluster.release_job("job-2", harness.now, POLICY.overdue_after / 2)
    jobs = planned_jobs(harness)
    assert jobs["job-1"].is_overdue and not jobs["job-2"].is_overdue
    harness.now += POLICY.overdue_after / 2
    assert planned_jobs(harness)["job-2"].is_overdue


def test_the_deadline_counts_from_the_submission_however_long_the_job_waits():
    harness = Harness()
    harness.cluster.observe_job(dependent_record(deadline_s=100.0), 2, harness.now, seconds(30))
    expected = harness.now + seconds(70)
    assert harness.cluster.jobs["job-2"].deadline == expected
    harness.now += seconds(60)
    harness.cluster.release_job("job-2", harness.now, timedelta(0))
    assert harness.cluster.jobs["job-2"].deadline == expected


def test_no_start_is_sent_before_the_release_though_a_placement_is_on_record():
    harness = with_dependent_job()
    harness.cluster.load_range(
        "job-2", 0, TaskRangeRecord(placed={0: StoredAttempt(3, "n-1", 1)}), harness.now
    )
    assert harness.send_heartbeat() == [] and not harness.cluster.take_direct_commands()
    harness.cluster.release_job("job-2", harness.now, timedelta(0))
    assert harness.send_heartbeat() == [Command("start", "job-2/0", 3)]


def test_a_dependent_with_tasks_on_record_is_not_overdue_for_a_new_leader():
    """The time of its latest start is not recorded, so its waiting time counts from the recovery, as for any
    other job."""
    harness = with_dependent_job()
    harness.now += POLICY.overdue_after * 3
    placed = TaskRangeRecord(placed={0: StoredAttempt(1, "n-1", 1)})
    for job in ("job-1", "job-2"):
        harness.cluster.load_range(job, 0, placed, harness.now)
    harness.cluster.release_job("job-2", harness.now, POLICY.overdue_after * 2)
    harness.cluster.jobs["job-2"].task_states[0] = WAITING
    harness.cluster.jobs["job-2"].placed.clear()
    assert not planned_jobs(harness)["job-2"].is_overdue
    harness.now += POLICY.overdue_after
    assert planned_jobs(harness)["job-2"].is_overdue


def test_a_job_cancelled_through_an_ancestor_is_over_without_a_write():
    harness = with_dependent_job()
    harness.cluster.cancel_through_dependency("job-2")
    assert set(planned_jobs(harness)) == {"job-1"}
    batch = harness.cluster.collect_writes(9, {})
    assert list(batch.forgettable_jobs) == ["job-2"] and batch.size == 0
    harness.cluster.forget_job("job-2")
    # A cancelled job is never released, and a release does not add a forgotten job again.
    harness.cluster.release_job("job-2", harness.now, timedelta(0))
    assert set(planned_jobs(harness)) == {"job-1"}


def test_urgency_changes_the_rank_and_applies_from_the_latest_start():
    harness = with_dependent_job()
    harness.cluster.set_urgency("job-1", 3, harness.now + seconds(5))
    assert (planned_jobs(harness)["job-1"].rank, planned_jobs(harness)["job-1"].is_urgent) == (3, False)
    harness.now += seconds(5)
    assert planned_jobs(harness)["job-1"].is_urgent
    harness.cluster.set_urgency("job-1", 1, None)
    assert (planned_jobs(harness)["job-1"].rank, planned_jobs(harness)["job-1"].is_urgent) == (1, False)


def complete_job(harness, id):
    job = harness.cluster.jobs[id]
    for index in range(len(job.task_states)):
        job.task_states[index], job.done_count = 2, job.done_count + 1
        harness.cluster._changes.mark_task_changed(job, index)


def test_the_end_of_a_job_that_others_wait_for_is_recorded_ahead_of_all_else():
    harness = Harness()
    harness.send_heartbeat()
    for number in range(2, 6):
        harness.cluster.observe_job(JobRecord("open", spec(f"job-{number}", 1), 8), number)
        complete_job(harness, f"job-{number}")
    harness.place()
    harness.cluster.set_has_dependents("job-5", True)
    assert [done for done, _, _ in harness.cluster.collect_writes(1, {}).done_jobs] == ["job-5"]
    # Next come the starts, and then the ends of the other jobs.
    batch = harness.cluster.collect_writes(2, {})
    assert [job for job, *_ in batch.ranges] == ["job-1"] and [job for job, _, _ in batch.done_jobs] == [
        "job-2"
    ]


@pytest.mark.parametrize("outcome", ["ok", "not applied", "response lost"])
def test_dependents_are_notified_of_an_end_only_once_the_store_holds_it(outcome):
    """A heartbeat that shows the end is not enough: no start may precede the record of the end that it
    depends on. If the response to that write is lost, the end is known once the record is read back."""
    harness, clock, observed = Harness(), ManualClock(), []
    complete_job(harness, "job-1")
    store = Store([outcome])
    store.values[job_key("job-1")] = encode_value(JobRecord("done", spec(), 1))
    writer = StateWriter(
        harness.cluster,
        store,
        clock,
        Term(TOKEN, 5, 1),
        {},
        StateWriterEvents(
            lambda: None, str, lambda key, value, mod_revision: observed.append((key, mod_revision, value))
        ),
    )
    writer.start()
    assert bool(observed) == (outcome == "ok")
    for _ in range(20):
        clock.advance(seconds(0.1))
    assert observed[0][:2] == (job_key("job-1"), 11)
    assert (b'"finished"' in observed[0][2]) == (outcome != "response lost")


class Replica:
    """Passes the records that the leader reads to the job views, as the controller's replica does."""

    def __init__(self, views):
        self._views = views

    def observe(self, key, value, mod_revision):
        self._views.on_change(key, value, mod_revision)


def elect_leader(*records):
    """Returns a leader that has read these records ahead of its replica, the job views, and the updater that
    applies the dependencies between the jobs to the leader's cluster state."""
    views = JobViews()
    entries = [
        Entry(job_key(record.spec.id), encode_value(record), mod_revision)
        for mod_revision, record in enumerate(records, 1)
    ]
    harness = Harness()
    harness.cluster.jobs.clear()
    clock = ManualClock()
    leader = make_loader(harness.cluster, Replica(views), clock)
    leader.load(entries, harness.now)
    predictor = new_predictor(OperatorSettings().backfill)
    return leader, views, PipelineUpdater(leader.cluster, views, predictor, clock, lambda: None)


@pytest.mark.parametrize("state", ["open", "done", "aborted"])
def test_a_new_leader_releases_by_the_records_it_reads_itself(state):
    first = JobRecord(state, spec(), 8)
    leader, _, pipelines = elect_leader(first, dependent_record(), dependent_record("job-3", ["job-2"]))
    pipelines.update_all()
    job = leader.cluster.jobs["job-2"]
    assert (job.released, job.cancelled) == (state == "done", state == "aborted")
    assert leader.cluster.jobs["job-3"].cancelled == (state == "aborted")
    assert not leader.cluster.jobs["job-3"].released


def test_priorities_and_deadlines_reach_the_beginning_of_a_pipeline():
    last = dependent_record("job-3", ["job-2"], priority="critical", deadline_s=100.0, estimate_s=10.0)
    leader, views, pipelines = elect_leader(
        JobRecord("open", spec(estimate_s=7.0), 8), dependent_record(estimate_s=5.0), last
    )
    pipelines.update_urgency()
    now = leader._clock.now()
    urgencies = {id: (job.rank, job.latest_start) for id, job in leader.cluster.jobs.items()}
    # The deadline, minus the estimates of the job's dependents, minus twice its own estimate.
    assert urgencies == {
        "job-1": (3, now + seconds(100 - 10 - 5 - 14)),
        "job-2": (3, now + seconds(100 - 10 - 10)),
        "job-3": (3, None),
    }
    views.on_change(job_key("job-3"), encode_value(JobRecord("aborted", last.spec, 8)), 20)
    leader.cluster.observe_job(JobRecord("aborted", last.spec, 8), 20)
    pipelines.update_urgency()
    assert {id: job.rank for id, job in leader.cluster.jobs.items()} == {"job-1": 1, "job-2": 1, "job-3": 3}


# The number of jobs in a pipeline, and the limit on the CPU time in which a leader loads them and handles the
# end of the first one.
PIPELINE_LENGTH = 4000
MAX_CPU_S = 10.0


@pytest.mark.parametrize("state", ["done", "aborted"])
@pytest.mark.parametrize("shape", ["chain", "fan out", "fan in"])
def test_a_leader_loads_pipelines_of_thousands_and_handles_the_end_of_their_first_job(shape, state):
    dependencies_of = {
        "chain": lambda number: [f"job-{number - 1}"],
        "fan out": lambda number: ["job-1"],
        "fan in": lambda number: (
            [f"job-{dependency}" for dependency in range(1, PIPELINE_LENGTH)]
            if number == PIPELINE_LENGTH
            else []
        ),
    }[shape]
    records = [JobRecord("open", spec("job-1", 1), 8)]
    records += [
        dependent_record(f"job-{number}", dependencies_of(number)) for number in range(2, PIPELINE_LENGTH + 1)
    ]
    started_at = time.process_time()
    leader, views, pipelines = elect_leader(*records)
    pipelines.update_all()
    views.subscribe(pipelines.on_job_changed)
    views.on_change(
        job_key("job-1"), encode_value(JobRecord(state, spec("job-1", 1), 8)), PIPELINE_LENGTH + 1
    )
    pipelines.update_urgency()
    assert time.process_time() - started_at < MAX_CPU_S
    last = leader.cluster.jobs[f"job-{PIPELINE_LENGTH}"]
    assert last.released == (shape == "fan out" and state == "done")
    assert last.cancelled == (state == "aborted")
    released = sum(job.released for job in leader.cluster.jobs.values())
    # The first job, the jobs without dependencies, and the jobs that the end of the first job releases.
    expected = {"chain": 1, "fan out": 1, "fan in": PIPELINE_LENGTH - 1}[shape]
    if state == "done":
        expected += {"chain": 1, "fan out": PIPELINE_LENGTH - 1, "fan in": 0}[shape]
    assert released == expected
