"""Dependencies between jobs: the graph, how records feed it, and what users are answered."""

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

SIZE = 6
PLANS = st.tuples(
    st.lists(st.sets(st.integers(0, SIZE - 1), max_size=3), min_size=SIZE, max_size=SIZE),
    st.randoms(use_true_random=False),
)


def name(number):
    return f"job-{number}"


def earlier(dependencies):
    """Jobs name only jobs that came before them."""
    return [{other for other in named if other < number} for number, named in enumerate(dependencies)]


def ancestors(plan, number):
    found, pending = set(), set(plan[number])
    while pending:
        other = pending.pop()
        found.add(other)
        pending |= plan[other] - found
    return found


@given(PLANS)
def test_the_graph_agrees_with_a_search_in_whichever_order_records_come(plan_and_random):
    """Each job's record is seen open first, and later, at any time, done or cancelled; done only once all its
    dependencies are, as in the service."""
    dependencies, rng = plan_and_random
    plan = earlier(dependencies)
    graph, observed, outcomes = DependencyGraph(), set(), {}
    for _ in range(SIZE * 6):
        number = rng.randrange(SIZE)
        if number not in observed:
            observed.add(number)
            graph.observe(name(number), DependencyOutcome(outcomes.get(number, "open")))
            if number not in outcomes:
                graph.add(name(number), [name(other) for other in plan[number]])
        elif number not in outcomes and (
            rng.random() < 0.3 or all(outcomes.get(other) == "done" for other in plan[number])
        ):
            ready = all(outcomes.get(other) == "done" for other in plan[number])
            outcomes[number] = "done" if ready and rng.random() < 0.7 else "aborted"
            graph.observe(name(number), DependencyOutcome(outcomes[number]))
        for other in observed:
            if other in outcomes:
                continue
            known = {up: outcomes[up] for up in outcomes if up in observed}
            assert graph.is_released(name(other)) == all(known.get(up) == "done" for up in plan[other])
            # Through a job that is not known yet nothing can be concluded.
            expected = cancelled(plan, known, observed, other)
            assert graph.is_cancelled(name(other)) == expected
            assert not (graph.is_cancelled(name(other)) and graph.is_released(name(other)))


def cancelled(plan, known, observed, number):
    return any(
        known.get(up) == "aborted"
        or (up in observed and up not in known and cancelled(plan, known, observed, up))
        for up in plan[number]
    )


@pytest.mark.parametrize("shape", ["chain", "fan out", "fan in", "layers"])
def test_thousands_of_jobs_are_released_and_cancelled_in_time_that_grows_with_the_edges(shape):
    """A chain of this length ends a recursive walk, and a walk of the whole graph at each record takes
    minutes."""
    size = 20_000
    graph = DependencyGraph()
    needs = {
        "chain": lambda number: [number - 1] if number else [],
        "fan out": lambda number: [0] if number else [],
        "fan in": lambda number: list(range(size - 1)) if number == size - 1 else [],
        "layers": lambda number: range(max(0, number - 5), number),
    }[shape]
    began = time.process_time()
    for number in range(size):
        graph.observe(name(number), DependencyOutcome.OPEN)
        graph.add(name(number), [name(other) for other in needs(number)])
    assert not graph.is_released(name(size - 1))
    for number in range(size // 2):
        graph.observe(name(number), DependencyOutcome.DONE)
    changed = graph.observe(name(size // 2), DependencyOutcome.CANCELLED)
    assert time.process_time() - began < 10
    if shape == "fan out":
        assert changed == set() and graph.is_released(name(size - 1))
    else:
        assert name(size - 1) in changed and graph.is_cancelled(name(size - 1))
    assert len(changed) == {"chain": size // 2 - 1, "fan out": 0, "fan in": 1, "layers": size // 2 - 1}[shape]


def record(number, state="open", dependencies=(), **fields):
    job = spec(name(number))
    return Put(
        job_key(name(number)), encode_value(JobRecord(state, job, 8, None, list(dependencies), **fields))
    )


def apply(views, *writes):
    for mod_revision, write in enumerate(writes, 1):
        views.on_change(write.key, bytes(write.value), mod_revision)


def test_a_job_whose_dependencies_are_not_all_read_waits():
    """The list has keys of its own. A listing may show the record before them."""
    views = JobViews()
    apply(views, record(1, "done"), record(2, dependency_keys=2))
    assert not views.graph.is_released("job-2")
    apply(views, Put(dependency_key("job-2", 0), encode_value(["job-1"])))
    assert not views.graph.is_released("job-2")
    apply(views, Put(dependency_key("job-2", 1), encode_value(["job-1"])))
    assert views.graph.is_released("job-2")
    # In a listing the lists come first.
    views = JobViews()
    apply(views, Put(dependency_key("job-2", 0), encode_value(["job-1"])), record(2, dependency_keys=1))
    assert not views.graph.is_released("job-2") and views.graph.has_dependents("job-1")
    apply(views, record(1, "aborted"))
    assert views.jobs["job-2"].state == "aborted" and views.jobs["job-2"].is_final


@pytest.mark.parametrize("end", ["done", "aborted", "through another"])
@pytest.mark.parametrize("read_again", [False, True], ids=["", "read again"])
def test_the_lists_of_a_job_that_is_over_are_forgotten_and_its_view_is_kept(end, read_again):
    """A list may name thousands of jobs. A listing shows it again, since its keys stay in the store."""
    views = JobViews()
    lists = Put(dependency_key("job-2", 0), encode_value(["job-1"]))
    if end == "done":
        apply(views, record(1, "done"), lists, record(2, dependency_keys=1), record(2, "done"))
    elif end == "aborted":
        apply(views, record(1), lists, record(2, dependency_keys=1), record(2, "aborted"))
    else:
        apply(views, record(1), record(3, dependencies=["job-1"]), lists, record(2, dependency_keys=1))
        apply(views, record(1, "aborted"))
        assert views.jobs["job-3"].record.dependencies == []
    if read_again:
        apply(views, lists, record(2, end, dependency_keys=0) if end in ("done", "aborted") else lists)
    assert not views.dependency_lists
    assert views.jobs["job-2"].state == ("done" if end == "done" else "aborted")
    assert views.jobs["job-2"].is_final


def test_a_release_dates_from_the_end_of_the_last_dependency():
    at = datetime(2026, 1, 1, tzinfo=UTC)
    views = JobViews()
    accepted = JobRecord("open", spec("job-3"), 8, at, ["job-1", "job-2"])
    apply(views, record(1, "done", finished_at=at + timedelta(seconds=9)), record(2, "done"))
    apply(views, Put(job_key("job-3"), encode_value(accepted)))
    assert views.released_at("job-3") == at + timedelta(seconds=9)


def test_a_subscriber_is_called_once_for_each_release_and_cancellation():
    views, notified = JobViews(), []
    views.subscribe(notified.append)
    apply(views, record(1), record(2, dependencies=["job-1"]), record(3, dependencies=["job-2"]))
    notified.clear()
    views.on_change(job_key("job-1"), bytes(record(1, "done").value), 9)
    assert notified == ["job-2"]
    views.on_change(job_key("job-2"), bytes(record(2, "aborted").value), 10)
    assert notified == ["job-2", "job-3"]
    views.on_change(job_key("job-2"), bytes(record(2, "aborted").value), 11)
    assert notified == ["job-2", "job-3"]


# What users are answered.


def submit(service, id, awaits=None, **changes):
    fields = {"ref": id} | changes
    if awaits is not None:
        fields["awaits"] = awaits
    return service.ask("POST", "/submissions", encode(**fields))[0]


def state(service, id):
    answer = service.ask("GET", f"/submissions/{id}")[0]
    return json.loads(answer.body)["stage"] if answer.status == 200 else answer.status


@pytest.mark.parametrize("awaits", [3, "job-1", {"job-1": 1}, [3], [None], ["job-"], ["x"], [["job-1"]]])
def test_dependencies_other_than_a_list_of_job_ids_are_malformed(awaits):
    service = FakeStateService()
    assert submit(service, "job-1").status == 201
    assert submit(service, "job-2", awaits).status == 400
    # The repetition of an accepted submission is answered by the job's state, whatever its body holds.
    assert submit(service, "job-1", awaits).status == 200


@pytest.mark.parametrize("awaits", [None, []])
def test_a_job_without_dependencies_is_released_at_once(awaits):
    service = FakeStateService()
    body = encode(ref="job-1", awaits=awaits)
    assert service.ask("POST", "/submissions", body)[0].status == 201
    assert service.views.graph.is_released("job-1")


def test_a_record_without_dependencies_is_written_without_their_fields():
    at = datetime(2026, 1, 1, tzinfo=UTC)
    value = json.loads(bytes(encode_value(JobRecord("open", decode_submission(encode()), 8, at))))
    assert list(value) == ["stage", "spec", "chunk", "accepted"]
    assert "awaits" not in value["spec"]


def test_an_unknown_dependency_is_refused_only_after_a_catch_up():
    service = FakeStateService()
    assert submit(service, "job-2", ["job-1"]).status == 422
    assert submit(service, "job-2", ["job-2"]).status == 422
    # Accepted elsewhere a moment ago: this controller is only behind.
    service.write([record(1)])
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
    assert state(service, "job-3") == "pending"
    writes = service.revision
    assert service.status("POST", "/submissions/job-1/abort") == 200
    assert (state(service, "job-2"), state(service, "job-3")) == ("aborted", "aborted")
    # One that names it later is accepted all the same.
    late = submit(service, "job-4", ["job-3"])
    assert late.status == 201 and b"aborted" in late.body
    # Neither that nor the cancellation of one of them writes, and final states need no state service.
    service.reachable = False
    assert b"aborted" in service.ask("POST", "/submissions/job-3/abort")[0].body
    assert state(service, "job-4") == "aborted"
    assert service.revision == writes + 2


def test_the_cancellation_of_a_job_that_is_done_leaves_its_dependents_open():
    service = FakeStateService()
    submit(service, "job-1")
    submit(service, "job-2", ["job-1"])
    service.write([record(1, "done")])
    assert b"done" in service.ask("POST", "/submissions/job-1/abort")[0].body
    assert state(service, "job-2") == "pending" and service.views.graph.is_released("job-2")


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
    assert all(len(write.value) <= limits.value_bytes for write in writes)
    views, shuffled = JobViews(), list(writes)
    random.Random(count).shuffle(shuffled)
    apply(views, *shuffled)
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
    """Each later pass over all members would look at every job that was ever cancelled."""
    graph = DependencyGraph()
    for last in (DependencyOutcome.DONE, DependencyOutcome.CANCELLED):
        first, second, third = (f"job-{last.value}-{place}" for place in range(3))
        for job, needs in ((first, []), (second, [first]), (third, [first, second])):
            graph.observe(job, DependencyOutcome.OPEN)
            graph.add(job, needs)
        assert len(graph.members()) == 3
        graph.observe(first, last)
        graph.observe(second, DependencyOutcome.CANCELLED)
        assert not graph.members() and graph.is_cancelled(third) and not graph.is_released(third)
        # One that names a cancelled job later leaves nothing either.
        assert graph.add(f"{third}-late", [third]) == {f"{third}-late"} and not graph.members()
