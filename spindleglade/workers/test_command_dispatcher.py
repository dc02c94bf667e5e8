"""Orders sent straight to the machines."""

from datetime import timedelta

import msgspec
import pytest

from spindleglade.http.web import ConnectionLimitError, NoResponseError, NotSentError
from spindleglade.runtime.clock import ManualClock, seconds
from spindleglade.workers.cancellation_freshness import CancellationFreshness
from spindleglade.workers.command_dispatcher import CommandDispatcher
from spindleglade.workers.messages import CommandBatch
from spindleglade.workers.test_cluster_state import START, Harness


def make_dispatcher(harness, http, proven=lambda: timedelta(0)):
    clock = ManualClock()
    bound = CancellationFreshness(clock, seconds(17), proven)
    return CommandDispatcher(harness.cluster, http, clock, seconds(2), str, lambda: None, bound)


@pytest.mark.parametrize("error", [ConnectionLimitError, NotSentError, NoResponseError])
def test_orders_not_sent_for_want_of_connections_make_nobody_deaf(error):
    """They are left to the answer of the next report; the machine may well hear."""

    class Http:
        async def request(self, *asked):
            raise error("")

    harness = Harness()
    harness.report()
    harness.place()
    harness.record()
    dispatcher = make_dispatcher(harness, Http())
    dispatcher.dispatch()
    assert (harness.cluster.machines["n-1"].unreachable_since is None) == (error is ConnectionLimitError)
    if error is not NoResponseError:
        assert harness.report() == START


def test_what_waits_for_its_record_is_looked_at_again_only_when_that_is_there():
    harness = Harness()
    harness.report()
    harness.place()
    assert harness.direct() == [] and not harness.cluster.dispatch_queue
    harness.record()
    assert list(harness.cluster.dispatch_queue) == ["n-1"] and harness.direct() == START
    assert harness.direct() == [] and not harness.cluster.dispatch_queue
    # An order that was never sent is due again.
    harness.cluster.on_commands_sent(harness.cluster.machines["n-1"], START, False, harness.now)
    assert list(harness.cluster.dispatch_queue) == ["n-1"]


def test_a_leader_that_may_not_renew_starts_nothing_but_goes_on_stopping():
    """Renewals were bound by the time since it last knew all cancellations; starts sent straight were not."""
    sent, proven = [], [None]

    class Http:
        async def request(self, method, address, path, body, timeout):
            sent.extend(msgspec.json.decode(body, type=CommandBatch).commands)
            raise NotSentError("")

    harness = Harness()
    harness.report()
    harness.place()
    harness.record()
    dispatcher = make_dispatcher(harness, Http(), lambda: proven[0])
    dispatcher.dispatch()
    assert sent == []
    harness.cluster.jobs["job-1"].placed[0].is_confirmed = True
    harness.cluster.jobs["job-1"].placed[0].state = "running"
    harness.abort()
    dispatcher.dispatch()
    assert [order.operation for order in sent] == ["stop"]


def test_a_start_that_was_withheld_is_sent_once_the_leader_knows_enough():
    harness = Harness()
    harness.report()
    harness.place()
    harness.record()
    assert harness.cluster.take_direct_commands(harness.now, starts=False) == []
    assert [orders for _, _, orders in harness.cluster.take_direct_commands(harness.now)] == [START]


def test_orders_whose_sending_breaks_are_not_under_way_for_ever():
    """The machine was never sent anything again, and the start never given in the answer of a report."""

    class Http:
        async def request(self, *asked):
            raise ValueError("no request at all")

    harness = Harness()
    harness.report()
    harness.place()
    harness.record()
    make_dispatcher(harness, Http()).dispatch()
    machine = harness.cluster.machines["n-1"]
    assert not machine.command_in_flight and machine.unacknowledged_starts
    assert harness.report() == START
