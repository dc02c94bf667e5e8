"""Commands sent directly to the machines: when they are sent, and the handling of missing responses."""

from datetime import timedelta

import msgspec
import pytest

from spindleglade.http.errors import ConnectionLimitError, NoResponseError, NotSentError
from spindleglade.runtime.clock import ManualClock, seconds
from spindleglade.workers.cancellation_freshness import CancellationFreshness
from spindleglade.workers.command_dispatcher import CommandDispatcher, DispatcherEvents
from spindleglade.workers.messages import CommandBatch
from tests.cluster_harness import START, Harness


def make_dispatcher(harness, http, known_as_of=lambda: timedelta(0)):
    clock = ManualClock()
    freshness = CancellationFreshness(clock, seconds(17), known_as_of)
    events = DispatcherEvents(str, lambda: None)
    return CommandDispatcher(harness.cluster, http, clock, seconds(2), events, freshness)


@pytest.mark.parametrize("error", [ConnectionLimitError, NotSentError, NoResponseError])
def test_commands_not_sent_for_lack_of_connections_make_no_machine_unreachable(error):
    """The commands are sent with the response to the next heartbeat instead. The machine may be reachable,
    since the limit of connections is that of this controller."""

    class Http:
        async def request(self, *arguments):
            raise error("")

    harness = Harness()
    harness.send_heartbeat()
    harness.place()
    harness.commit_writes()
    dispatcher = make_dispatcher(harness, Http())
    dispatcher.dispatch()
    assert (harness.cluster.machines["n-1"].unreachable_since is None) == (error is ConnectionLimitError)
    if error is not NoResponseError:
        assert harness.send_heartbeat() == START


def test_a_start_is_queued_for_dispatch_again_only_once_its_placement_is_recorded():
    harness = Harness()
    harness.send_heartbeat()
    harness.place()
    assert harness.direct_commands() == [] and not harness.cluster.dispatch_queue
    harness.commit_writes()
    assert list(harness.cluster.dispatch_queue) == ["n-1"] and harness.direct_commands() == START
    assert harness.direct_commands() == [] and not harness.cluster.dispatch_queue
    # A command that was never sent is queued again.
    harness.on_commands_sent(START, outcome_unknown=False)
    assert list(harness.cluster.dispatch_queue) == ["n-1"]


def test_a_leader_that_may_not_renew_leases_sends_stops_but_no_starts():
    """A start could run a task whose cancellation the leader does not know yet."""
    sent, known_as_of = [], [None]

    class Http:
        async def request(self, method, address, path, body, timeout):
            sent.extend(msgspec.json.decode(body, type=CommandBatch).commands)
            raise NotSentError("")

    harness = Harness()
    harness.send_heartbeat()
    harness.place()
    harness.commit_writes()
    dispatcher = make_dispatcher(harness, Http(), lambda: known_as_of[0])
    dispatcher.dispatch()
    assert sent == []
    harness.cluster.jobs["job-1"].placed[0].is_confirmed = True
    harness.cluster.jobs["job-1"].placed[0].state = "running"
    harness.cancel()
    dispatcher.dispatch()
    assert [command.operation for command in sent] == ["stop"]


def test_a_withheld_start_is_sent_once_starts_are_permitted():
    harness = Harness()
    harness.send_heartbeat()
    harness.place()
    harness.commit_writes()
    assert harness.cluster.take_direct_commands(starts=False) == []
    assert [direct.batch.commands for direct in harness.cluster.take_direct_commands()] == [START]


def test_commands_whose_sending_raises_are_not_in_flight_for_ever():
    """While a command counts as in flight, the machine is sent no others. After the error the start is sent
    with the response to the next heartbeat."""

    class Http:
        async def request(self, *arguments):
            raise ValueError("no request at all")

    harness = Harness()
    harness.send_heartbeat()
    harness.place()
    harness.commit_writes()
    make_dispatcher(harness, Http()).dispatch()
    machine = harness.cluster.machines["n-1"]
    assert not machine.command_in_flight and machine.unacknowledged_starts
    assert harness.send_heartbeat() == START
