"""Tests of dependencies between jobs: the graph, the records it is built from, and responses to users."""

import json
import random
import time
from datetime import UTC, datetime, timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from spindleglade.settings.platform import StateLimits
from spindleglade.store.messages import Put, encode_value
from spindleglade.submissions.acceptance import acceptance_writes, split_dependencies
from spindleglade.submissions.dependencies import DependencyGraph, DependencyOutcome
from spindleglade.submissions.errors import TooManyDependenciesError
from spindleglade.submissions.messages import decode_submission
from spindleglade.submissions.records import JobRecord, dependency_key, job_key
from spindleglade.submissions.test_api import FakeStateService
from spindleglade.submissions.test_messages import encode
from spindleglade.submissions.views import JobViews
from tests.cluster_harness import spec

JOB_COUNT = 6
GRAPHS = st.tuples(
    st.lists(st.sets(st.integers(0, JOB_COUNT - 1), max_size=3), min_size=JOB_COUNT, max_size=JOB_COUNT),
    st.randoms(use_true_random=False),
)


def job_id(number):
    return f"job-{number}"


def keep_earlier(dependencies):
    """Drops dependencies on the job itself or on later jobs, because a job depends only on earlier ones."""
    return [
        {dependency for dependency in drawn if dependency < number}
        for number, drawn in enumerate(dependencies)
    ]


def ancestors(dependencies_of, number):
    found, pending = set(), set(dependencies_of[number])
    while pending:
        dependency = pending.pop()
        found.add(dependency)
        pending |= dependencies_of[dependency] - found
    return found


@given(GRAPHS)
def test_the_graph_agrees_with_a_search_in_whichever_order_records_come(dependencies_and_random):
    """Each job's record is read as open first, and later, at any time, as done or cancelled. As in the real
    service, a job is done only after all its dependencies are."""
    dependencies, rng = dependencies_and_random
    dependencies_of = keep_earlier(dependencies)
    graph, observed, outcomes = DependencyGraph(), set(), {}
    for _ in range(JOB_COUNT * 6):
        number = rng.randrange(JOB_COUNT)
        if number not in observed:
            observed.add(number)
            graph.observe(job_id(number), DependencyOutcome(outcomes.get(number, "open")))
            if number not in outcomes:
                graph.add(job_id(number), [job_id(dependency) for dependency in dependencies_of[number]])
        elif number not in outcomes and (
            rng.random() < 0.3
            or all(outcomes.get(dependency) == "done" for dependency in dependencies_of[number])
        ):
            ready = all(outcomes.get(dependency) == "done" for dependency in dependencies_of[number])
            outcomes[number] = "done" if ready and rng.random() < 0.7 else "aborted"
            graph.observe(job_id(number), DependencyOutcome(outcomes[number]))
        for job in observed:
            if job in outcomes:
                continue
            known = {ended: outcomes[ended] for ended in outcomes if ended in observed}
            assert graph.is_released(job_id(job)) == all(
                known.get(dependency) == "done" for dependency in dependencies_of[job]
            )
            # An ancestor is found only through jobs with records that have been read.
            expected = has_cancelled_ancestor(dependencies_of, known, observed, job)
            assert graph.is_cancelled(job_id(job)) == expected
            assert not (graph.is_cancelled(job_id(job)) and graph.is_released(job_id(job)))


def has_cancelled_ancestor(dependencies_of, known, observed, number):
    return any(
        known.get(dependency) == "aborted"
        or (
            dependency in observed
            and dependency not in known
            and has_cancelled_ancestor(dependencies_of, known, observed, dependency)
        )
        for dependency in dependencies_of[number]
    )


@pytest.mark.parametrize("shape", ["chain", "fan out", "fan in", "layers"])
def test_thousands_of_jobs_are_released_and_cancelled_in_time_that_grows_with_the_edges(shape):
    """Guards against a recursive traversal, which fails on a chain of this length, and against a traversal of
    the whole graph for each record, which takes minutes."""
    job_count = 20_000
    graph = DependencyGraph()
    dependencies_of = {
        "chain": lambda number: [number - 1] if number else [],
        "fan out": lambda number: [0] if number else [],
        "fan in": lambda number: list(range(job_count - 1)) if number == job_count - 1 else [],
        "layers": lambda number: range(max(0, number - 5), number),
    }[shape]
    started_at = time.process_time()
    for number in range(job_count):
        graph.observe(job_id(number), DependencyOutcome.OPEN)
        graph.add(job_id(number), [job_id(dependency) for dependency in dependencies_of(number)])
    assert not graph.is_released(job_id(job_count - 1))
    for number in range(job_count // 2):
        graph.observe(job_id(number), DependencyOutcome.DONE)
    changed = graph.observe(job_id(job_count // 2), DependencyOutcome.CANCELLED)
    assert time.process_time() - started_at < 10
    if shape == "fan out":
        assert changed == set() and graph.is_released(job_id(job_count - 1))
    else:
        assert job_id(job_count - 1) in changed and graph.is_cancelled(job_id(job_count - 1))
    assert (
        len(changed)
        == {"chain": job_count // 2 - 1, "fan out": 0, "fan in": 1, "layers": job_count // 2 - 1}[shape]
    )


def record_put(number, state="open", dependencies=(), **fields):
    job = spec(job_id(number))
    return Put(
        job_key(job_id(number)),
        encode_value(JobRecord(state, job, 8, None, list(dependencies), **fields)),
    )


def apply_writes(views, *writes):
    for mod_revision, write in enumerate(writes, 1):
        views.on_change(write.key, bytes(write.value), mod_revision)


def test_a_job_whose_dependencies_are_not_all_read_waits():
    """The lists have keys of their own, and a listing may contain the record without them."""
    views = JobViews()
    apply_writes(views, record_put(1, "done"), record_put(2, dependency_keys=2))
    assert not views.graph.is_released("job-2")
    apply_writes(views, Put(dependency_key("job-2", 0), encode_value(["job-1"])))
    assert not views.graph.is_released("job-2")
    apply_writes(views, Put(dependency_key("job-2", 1), encode_value(["job-1"])))
    assert views.graph.is_released("job-2")
    # In a listing the lists come before the records.
    views = JobViews()
    apply_writes(
        views, Put(dependency_key("job-2", 0), encode_value(["job-1"])), record_put(2, dependency_keys=1)
    )
    assert not views.graph.is_released("job-2") and views.graph.has_dependents("job-1")
    apply_writes(views, record_put(1, "aborted"))
    assert views.jobs["job-2"].state == "aborted" and views.jobs["job-2"].is_final


@pytest.mark.parametrize("end", ["done", "aborted", "through another"])
@pytest.mark.parametrize("read_again", [False, True], ids=["", "read again"])
def test_the_lists_of_a_job_that_is_over_are_forgotten_and_its_view_is_kept(end, read_again):
    """The lists may name thousands of jobs. Their keys stay in the store, so a later listing contains them
    again, and they must not be kept then either."""
    views = JobViews()
    lists = Put(dependency_key("job-2", 0), encode_value(["job-1"]))
    if end == "done":
        apply_writes(
            views, record_put(1, "done"), lists, record_put(2, dependency_keys=1), record_put(2, "done")
        )
    elif end == "aborted":
        apply_writes(views, record_put(1), lists, record_put(2, dependency_keys=1), record_put(2, "aborted"))
    else:
        apply_writes(
            views,
            record_put(1),
            record_put(3, dependencies=["job-1"]),
            lists,
            record_put(2, dependency_keys=1),
        )
        apply_writes(views, record_put(1, "aborted"))
        assert views.jobs["job-3"].record.dependencies == []
    if read_again:
        apply_writes(
            views, lists, record_put(2, end, dependency_keys=0) if end in ("done", "aborted") else lists
        )
    assert not views.dependency_lists
    assert views.jobs["job-2"].state == ("done" if end == "done" else "aborted")
    assert views.jobs["job-2"].is_final


def test_a_release_dates_from_the_end_of_the_last_dependency():
    accepted_at = datetime(2026, 1, 1, tzinfo=UTC)
    views = JobViews()
    accepted = JobRecord("open", spec("job-3"), 8, accepted_at, ["job-1", "job-2"])
    apply_writes(
        views, record_put(1, "done", finished_at=accepted_at + timedelta(seconds=9)), record_put(2, "done")
    )
    apply_writes(views, Put(job_key("job-3"), encode_value(accepted)))
    assert views.released_at("job-3") == accepted_at + timedelta(seconds=9)


def test_a_subscriber_is_called_once_for_each_release_and_cancellation():
    views, notified = JobViews(), []
    views.subscribe(notified.append)
    apply_writes(
        views, record_put(1), record_put(2, dependencies=["job-1"]), record_put(3, dependencies=["job-2"])
    )
    notified.clear()
    views.on_change(job_key("job-1"), bytes(record_put(1, "done").value), 9)
    assert notified == ["job-2"]
    views.on_change(job_key("job-2"), bytes(record_put(2, "aborted").value), 10)
    assert notified == ["job-2", "job-3"]
    views.on_change(job_key("job-2"), bytes(record_put(2, "aborted").value), 11)
    assert notified == ["job-2", "job-3"]


# Responses to users.


def submit(service, id, awaits=None, **changes):
    fields = {"ref": id} | changes
    if awaits is not None:
        fields["awaits"] = awaits
    return service.send("POST", "/submissions", encode(**fields))[0]


def job_state(service, id):
    answer = service.send("GET", f"/submissions/{id}")[0]
    return json.loads(answer.body)["stage"] if answer.status == 200 else answer.status


@pytest.mark.parametrize("awaits", [3, "job-1", {"job-1": 1}, [3], [None], ["job-"], ["x"], [["job-1"]]])
def test_dependencies_other_than_a_list_of_job_ids_are_malformed(awaits):
    service = FakeStateService()
    assert submit(service, "job-1").status == 201
    assert submit(service, "job-2", awaits).status == 400
    # A repeated submission of an accepted job is answered with the job's state, whatever its body
    # contains.
    assert submit(service, "job-1", awaits).status == 200


@pytest.mark.parametrize("awaits", [None, []])
def test_a_job_without_dependencies_is_released_at_once(awaits):
    service = FakeStateService()
    body = encode(ref="job-1", awaits=awaits)
    assert service.send("POST", "/submissions", body)[0].status == 201
    assert service.views.graph.is_released("job-1")


def test_a_record_without_dependencies_is_written_without_their_fields():
    accepted_at = datetime(2026, 1, 1, tzinfo=UTC)
    value = json.loads(bytes(encode_value(JobRecord("open", decode_submission(encode()), 8, accepted_at))))
    assert list(value) == ["stage", "spec", "chunk", "accepted"]
    assert "awaits" not in value["spec"]


def test_an_unknown_dependency_is_refused_only_after_a_catch_up():
    service = FakeStateService()
    assert submit(service, "job-2", ["job-1"]).status == 422
    assert submit(service, "job-2", ["job-2"]).status == 422
    # A peer accepted the dependency a moment ago, and this replica is behind.
    service.write([record_put(1)])
    service.reachable = False
    assert submit(service, "job-2", ["job-1"]).status == 503
    service.reachable = True
    assert submit(service, "job-2", ["job-1", "job-1"]).status == 201
    assert service.views.jobs["job-2"].record.dependencies == ["job-1"]
    assert submit(service, "job-2", ["job-9"]).status == 200


def test_a_dependency_accepted_by_this_controller_needs_no_catch_up():
    service = FakeStateService()
    submit(service, "job-1")
    catch_ups = []
    service.catch_up = lambda: catch_ups.append(1)
    assert submit(service, "job-2", ["job-1"]).status == 201 and not catch_ups


def test_a_job_is_cancelled_with_any_ancestor_and_reported_so_at_once():
    service = FakeStateService()
    submit(service, "job-1")
    submit(service, "job-2", ["job-1"])
    submit(service, "job-3", ["job-2"])
    assert job_state(service, "job-3") == "pending"
    writes = service.revision
    assert service.status("POST", "/submissions/job-1/abort") == 200
    assert (job_state(service, "job-2"), job_state(service, "job-3")) == ("aborted", "aborted")
    # A job that is submitted later with a cancelled dependency is accepted all the same.
    late = submit(service, "job-4", ["job-3"])
    assert late.status == 201 and b"aborted" in late.body
    # The cancellation of a descendant writes nothing, and a final state is reported without the state
    # service.
    service.reachable = False
    assert b"aborted" in service.send("POST", "/submissions/job-3/abort")[0].body
    assert job_state(service, "job-4") == "aborted"
    assert service.revision == writes + 2


def test_the_cancellation_of_a_job_that_is_done_leaves_its_dependents_open():
    service = FakeStateService()
    submit(service, "job-1")
    submit(service, "job-2", ["job-1"])
    service.write([record_put(1, "done")])
    assert b"done" in service.send("POST", "/submissions/job-1/abort")[0].body
    assert job_state(service, "job-2") == "pending" and service.views.graph.is_released("job-2")


@pytest.mark.parametrize(
    ("count", "value_kb", "operations"), [(3, 2.0, 4), (200, 2.0, 4), (400, 2.0, 4), (3000, 16.0, 12)]
)
def test_a_long_list_of_dependencies_goes_under_further_keys_in_the_same_transaction(
    count, value_kb, operations
):
    limits = StateLimits(100.0, 40.0, value_kb, operations)
    names = [f"job-{number:06d}" for number in range(count)]
    writes = acceptance_writes(JobRecord("open", spec("job-999999"), 8, None, names), limits)
    assert len(writes) <= limits.txn_ops
    assert all(len(write.value) <= limits.new_value_bytes for write in writes)
    views, shuffled = JobViews(), list(writes)
    random.Random(count).shuffle(shuffled)
    apply_writes(views, *shuffled)
    assert not views.graph.is_released("job-999999")
    for number, dependency in enumerate(names):
        assert not views.graph.is_released("job-999999")
        done = JobRecord("done", spec(dependency), 8)
        views.on_change(job_key(dependency), encode_value(done), 100 + number)
    assert views.graph.is_released("job-999999")


def test_dependencies_too_many_for_a_transaction_are_refused_at_once():
    service = FakeStateService()
    service.limits = StateLimits(100.0, 40.0, 2.0, 4)
    names = [f"job-{number:06d}" for number in range(2000)]
    with pytest.raises(TooManyDependenciesError):
        acceptance_writes(JobRecord("open", spec("job-999999"), 8, None, names), service.limits)
    for dependency in names:
        service.mod_revisions[job_key(dependency)] = 1
    assert submit(service, "job-999999", names).status == 422
    assert not service.keys


@given(st.lists(st.integers(1, 60).map(lambda digits: "job-" + "7" * digits)), st.integers(80, 400))
def test_a_split_list_keeps_its_order_and_each_list_fits(names, max_bytes):
    lists = split_dependencies(names, max_bytes)
    assert [entry for entries in lists for entry in entries] == names
    assert all(entries and len(encode_value(entries)) <= max_bytes for entries in lists)


def test_the_graph_forgets_pipelines_that_are_over():
    """Otherwise each later pass over all pipeline jobs would visit every job that was ever cancelled."""
    graph = DependencyGraph()
    for first_outcome in (DependencyOutcome.DONE, DependencyOutcome.CANCELLED):
        first, second, third = (f"job-{first_outcome.value}-{number}" for number in range(3))
        for job, dependencies in ((first, []), (second, [first]), (third, [first, second])):
            graph.observe(job, DependencyOutcome.OPEN)
            graph.add(job, dependencies)
        assert len(graph.pipeline_jobs()) == 3
        graph.observe(first, first_outcome)
        graph.observe(second, DependencyOutcome.CANCELLED)
        assert not graph.pipeline_jobs() and graph.is_cancelled(third) and not graph.is_released(third)
        # A later job with a cancelled dependency is not kept among the pipeline jobs either.
        assert graph.add(f"{third}-late", [third]) == {f"{third}-late"} and not graph.pipeline_jobs()
