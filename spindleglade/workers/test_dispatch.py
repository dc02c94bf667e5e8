"""Orders sent straight to the machines."""

from datetime import timedelta

import msgspec
import pytest

from spindleglade.clock import ManualClock, seconds
from spindleglade.web import Crowded, NoAnswer, NotSent
from spindleglade.workers.cancellation_bound import CancellationBound
from spindleglade.workers.dispatch import Dispatcher
from spindleglade.workers.messages import Orders
from spindleglade.workers.test_cluster import START, Harness


def make_dispatcher(harness, http, proven=lambda: timedelta(0)):
    clock = ManualClock()
    bound = CancellationBound(clock, seconds(17), proven)
    return Dispatcher(harness.cluster, http, clock, seconds(2), str, lambda: None, bound)


@pytest.mark.parametrize("error", [Crowded, NotSent, NoAnswer])
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
    dispatcher.send()
    assert (harness.cluster.machines["n-1"].not_receiving is None) == (error is Crowded)
    if error is not NoAnswer:
        assert harness.report() == START


def test_what_waits_for_its_record_is_looked_at_again_only_when_that_is_there():
    harness = Harness()
    harness.report()
    harness.place()
    assert harness.direct() == [] and not harness.cluster.due
    harness.record()
    assert list(harness.cluster.due) == ["n-1"] and harness.direct() == START
    assert harness.direct() == [] and not harness.cluster.due
    # An order that was never sent is due again.
    harness.cluster.sent(harness.cluster.machines["n-1"], START, False, harness.now)
    assert list(harness.cluster.due) == ["n-1"]


def test_a_leader_that_may_not_renew_starts_nothing_but_goes_on_stopping():
    """Renewals were bound by the time since it last knew all cancellations; starts sent straight were not."""
    sent, proven = [], [None]

    class Http:
        async def request(self, method, address, path, body, timeout):
            sent.extend(msgspec.json.decode(body, type=Orders).orders)
            raise NotSent("")

    harness = Harness()
    harness.report()
    harness.place()
    harness.record()
    dispatcher = make_dispatcher(harness, Http(), lambda: proven[0])
    dispatcher.send()
    assert sent == []
    harness.cluster.jobs["job-1"].placed[0].seen = True
    harness.cluster.jobs["job-1"].placed[0].stage = "running"
    harness.abort()
    dispatcher.send()
    assert [order.verb for order in sent] == ["stop"]


def test_a_start_that_was_withheld_is_sent_once_the_leader_knows_enough():
    harness = Harness()
    harness.report()
    harness.place()
    harness.record()
    assert harness.cluster.to_send(harness.now, starts=False) == []
    assert [orders for _, _, orders in harness.cluster.to_send(harness.now)] == [START]


def test_orders_whose_sending_breaks_are_not_under_way_for_ever():
    """The machine was never sent anything again, and the start never given in the answer of a report."""

    class Http:
        async def request(self, *asked):
            raise ValueError("no request at all")

    harness = Harness()
    harness.report()
    harness.place()
    harness.record()
    make_dispatcher(harness, Http()).send()
    machine = harness.cluster.machines["n-1"]
    assert not machine.sending and machine.unsure
    assert harness.report() == START
