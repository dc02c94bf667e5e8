"""Tests of the replica with generated and scripted responses."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.defer import Deferred

from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import ManualClock, seconds
from spindleglade.store.errors import NotAppliedError, RevisionCompactedError, StaleReplicaError
from spindleglade.store.messages import Change, Entry, Listing
from spindleglade.store.replica import Replica

OPERATIONS = st.lists(
    st.tuples(st.sampled_from(["put", "remove"]), st.sampled_from("abc"), st.integers(0, 9)), max_size=30
)


class Store:
    """A correct state service: all its changes, and its keys after each of them."""

    def __init__(self, operations):
        self.log, self.keys_after = [], []
        keys: dict[str, tuple[int, int]] = {}
        for mod_revision, (operation, key, value) in enumerate(operations, 1):
            if operation == "put":
                keys[key] = (value, mod_revision)
                self.log.append(Change(mod_revision, put=key, value=msgspec.Raw(b"%d" % value)))
            else:
                keys.pop(key, None)
                self.log.append(Change(mod_revision, removed=key))
            self.keys_after.append(dict(keys))

    def changes(self, since, revision):
        """The response to a watch after `since` that includes the changes up to `revision`."""
        return revision, [change for change in self.log if since < change.mod_revision <= revision]


class IdleClient:
    """A client for tests in which no request is sent."""


def make_replica(client=None):
    clock = ManualClock()
    replica = Replica(client or IdleClient(), clock, "", seconds(10), seconds(1))
    values: dict[str, int] = {}

    def on_change(key, value, mod_revision):
        if value is None:
            values.pop(key, None)
        else:
            values[key] = int(value)

    replica.subscribe(on_change)
    return clock, replica, values


@given(OPERATIONS, st.lists(st.tuples(st.integers(0, 30), st.integers(0, 30)), max_size=12))
def test_overlapping_responses_leave_the_state_of_the_newest(operations, responses):
    """Responses to the long watch and to catch-ups overlap and may be late. Each begins at the revision that
    the replica had when the request was sent, which is never later than its present revision."""
    store = Store(operations)
    _, replica, values = make_replica()
    for revisions_back, revisions_ahead in responses:
        since = max(0, replica.revision - revisions_back)
        revision = min(len(store.log), since + revisions_ahead)
        replica.apply(*store.changes(since, revision))
        expected = store.keys_after[replica.revision - 1] if replica.revision else {}
        assert values == {key: value for key, (value, _) in expected.items()}
        assert replica.mod_revisions == {key: mod_revision for key, (_, mod_revision) in expected.items()}


@given(
    OPERATIONS,
    st.lists(
        st.tuples(st.booleans(), st.integers(0, 30), st.integers(0, 8), st.integers(0, 8)),
        max_size=12,
    ),
)
def test_a_listing_overtaken_by_catch_ups_brings_nothing_back(operations, steps):
    """The pages of a listing are read one after the other while keys change, and the last page may arrive
    after catch-ups that were requested later. A key removed in between must not reappear: if the leader key
    stayed in the replica for ever, no controller would campaign again."""
    store = Store(operations)
    client, newest = ScriptedClient(), len(store.log)
    _, replica, values = make_replica(client)
    for is_listing, revisions_back, revisions_ahead, changes_between_pages in steps:
        if not is_listing:
            since = max(0, replica.revision - revisions_back)
            replica.apply(*store.changes(since, min(newest, since + revisions_ahead)))
        else:
            # The revision at the request may be older than the replica's revision at the response.
            revision = page_revision = max(0, replica.revision - revisions_back)
            entries = []
            for key in "abc":
                if page_revision and key in store.keys_after[page_revision - 1]:
                    value, mod_revision = store.keys_after[page_revision - 1][key]
                    entries.append(Entry(key, msgspec.Raw(b"%d" % value), mod_revision))
                page_revision = min(newest, page_revision + changes_between_pages)
            before = replica.revision
            run_in_background(replica._load(), "load")
            client.requests.pop().callback(Listing(entries, revision))
            assert replica.revision == max(before, revision)
            # Later pages may be newer than the listing's revision, so the replica is consistent only once it
            # has also applied the changes from that revision up to the last page.
            replica.apply(
                *store.changes(
                    replica.revision, min(newest, max(replica.revision, page_revision) + revisions_ahead)
                )
            )
            if replica.revision < page_revision:
                continue
        expected = store.keys_after[replica.revision - 1] if replica.revision else {}
        assert values == {key: value for key, (value, _) in expected.items()}
        assert replica.mod_revisions == {key: mod_revision for key, (_, mod_revision) in expected.items()}


class ScriptedClient:
    """Responds to a listing or a watch when the test says so."""

    def __init__(self):
        self.requests: list[Deferred] = []

    def _add_request(self):
        waiter = Deferred()
        self.requests.append(waiter)
        return waiter

    def read_all(self, prefix):
        return self._add_request()

    def watch(self, prefix, since, max_wait):
        return self._add_request()


def make_loaded_replica():
    client = ScriptedClient()
    clock, replica, values = make_replica(client)
    replica.start()
    client.requests.pop(0).callback(Listing([Entry("a", msgspec.Raw(b"1"), 3)], 5))
    # The long watch is pending now. No test responds to it.
    client.requests.pop(0)
    return client, clock, replica, values


def test_a_catch_up_starts_after_the_call_and_is_shared():
    client, _, replica, _ = make_loaded_replica()
    fired = []
    replica.catch_up().addCallback(lambda _: fired.append("first"))
    # These calls come while a catch-up is under way, which may have read the store before them.
    replica.catch_up().addCallback(lambda _: fired.append("second"))
    replica.catch_up().addCallback(lambda _: fired.append("third"))
    assert len(client.requests) == 1
    client.requests.pop(0).callback((6, []))
    assert fired == ["first"]
    assert len(client.requests) == 1
    client.requests.pop(0).callback((6, []))
    assert fired == ["first", "second", "third"] and not client.requests


def test_without_the_store_catch_ups_fail():
    client, _, replica, _ = make_loaded_replica()
    failed = []
    before = replica.current_as_of
    replica.catch_up().addErrback(lambda failure: failed.append(failure.check(StaleReplicaError)))
    client.requests.pop(0).errback(NotAppliedError("503"))
    assert failed == [StaleReplicaError] and replica.current_as_of == before


def test_a_replica_whose_revision_is_compacted_reads_all_again():
    client = ScriptedClient()
    clock, replica, values = make_replica(client)
    replica.start()
    client.requests.pop(0).callback(
        Listing([Entry("a", msgspec.Raw(b"1"), 3), Entry("b", msgspec.Raw(b"2"), 4)], 5)
    )
    client.requests.pop(0).errback(RevisionCompactedError())
    client.requests.pop(0).callback(Listing([Entry("b", msgspec.Raw(b"7"), 20_000)], 20_000))
    assert values == {"b": 7} and replica.revision == 20_000


def test_an_error_of_one_subscriber_does_not_end_the_watch():
    client, _, replica, values = make_loaded_replica()
    replica.subscribe(lambda key, value, mod_revision: 1 / 0)
    replica.apply(9, [Change(9, put="c", value=msgspec.Raw(b"4"))])
    assert values["c"] == 4 and replica.revision == 9


def test_after_a_catch_up_that_raises_the_next_one_still_begins(monkeypatch):
    """Guards against a catch-up that counts as under way for ever, so that no further one is started."""

    class RespondingClient:
        async def watch(self, prefix, since, max_wait):
            return 1, []

    clock, replica, _ = make_replica(RespondingClient())
    replica.loaded = True
    log_catch_up = replica._log_catch_up

    def fail(reason):
        raise ValueError

    monkeypatch.setattr(replica, "_log_catch_up", fail)
    replica.catch_up()
    monkeypatch.setattr(replica, "_log_catch_up", log_catch_up)
    current_as_of = []
    replica.catch_up().addCallback(current_as_of.append)
    assert current_as_of == [None]


def test_the_first_failed_catch_up_and_the_next_success_are_logged(caplog):
    caplog.set_level("INFO")
    outcomes = [NotAppliedError("no"), NotAppliedError("no"), None, None]

    class RespondingClient:
        async def watch(self, prefix, since, max_wait):
            error = outcomes.pop(0)
            if error is not None:
                raise error
            return 7, []

    clock, replica, _ = make_replica(RespondingClient())
    replica.loaded = True
    while outcomes:
        replica.catch_up().addErrback(lambda failure: failure.trap(StaleReplicaError))
    assert [record.getMessage() for record in caplog.records] == [
        "catch-up failed revision=0 loaded=True reason=no",
        "catch-ups succeed again revision=7 failed=2",
    ]
