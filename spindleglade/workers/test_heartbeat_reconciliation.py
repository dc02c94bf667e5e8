"""Which heartbeats prove that a task is off its machine, and what they show about the machine."""

import pytest

from spindleglade.leadership.term import last_token_of_term
from spindleglade.runtime.clock import seconds
from spindleglade.workers.errors import StaleTokenError
from spindleglade.workers.jobs import PLACED, WAITING
from spindleglade.workers.messages import Command
from tests.cluster_harness import START, TOKEN, Harness


def test_absence_under_an_older_token_proves_nothing():
    harness = Harness().with_running_task()
    harness.send_heartbeat(token=TOKEN - 1)
    assert harness.task_state() == PLACED
    harness.send_heartbeat()
    assert harness.task_state() == WAITING


def test_absence_proves_nothing_while_a_direct_start_is_unanswered():
    harness = Harness()
    harness.send_heartbeat()
    harness.place()
    harness.commit_writes()
    commands = harness.direct_commands()
    harness.cluster.jobs["job-1"].placed[0].stop_reason = "room"
    harness.send_heartbeat()
    assert harness.task_state() == PLACED
    # The request timed out: the start may arrive minutes from now, so absence still proves nothing.
    harness.on_commands_sent(commands, outcome_unknown=True)
    harness.send_heartbeat()
    assert harness.task_state() == PLACED
    # A new incarnation never executes the start.
    harness.send_heartbeat(incarnation=2)
    assert harness.task_state() == WAITING


def test_the_result_of_a_start_in_a_response_is_known_only_with_the_next_heartbeat():
    harness = Harness()
    harness.send_heartbeat()
    harness.place()
    harness.commit_writes()
    assert harness.send_heartbeat() == START
    harness.cluster.jobs["job-1"].placed[0].stop_reason = "room"
    # The status in the response to a direct message may be older than the start that is in flight.
    harness.send_heartbeat(renews_lease=False)
    assert harness.task_state() == PLACED
    harness.send_heartbeat()
    assert harness.task_state() == WAITING


def test_a_late_heartbeat_changes_nothing():
    harness = Harness().with_running_task()
    assert harness.send_heartbeat(sequence=1) == []
    assert harness.task_state() == PLACED


def test_no_lease_is_renewed_while_an_unanswered_start_may_start_a_cancelled_task():
    """The start can arrive until the machine is terminated, even minutes after the cancellation."""
    harness = Harness()
    harness.send_heartbeat()
    harness.place()
    harness.commit_writes()
    harness.on_commands_sent(harness.direct_commands(), outcome_unknown=True)
    assert harness.send_heartbeat() == START
    harness.cancel()
    assert harness.send_heartbeat() is None
    # A heartbeat overtaken by the response to a direct message: the worker still waits for its response.
    assert harness.send_heartbeat(sequence=1) is None
    # The start has arrived: from now on the attempt can be stopped, also if a copy of the start arrives.
    assert [command.operation for command in harness.send_heartbeat(("job-1/0", 1, "running"))] == ["stop"]
    harness = Harness()
    harness.send_heartbeat()
    harness.place()
    harness.commit_writes()
    harness.on_commands_sent(harness.direct_commands(), outcome_unknown=True)
    harness.cancel()
    assert harness.send_heartbeat() is None
    assert harness.send_heartbeat(incarnation=2) == []


def test_a_late_copy_of_a_heartbeat_does_not_show_that_the_machine_lives():
    harness = Harness().with_running_task()
    last_heartbeat_at = harness.now
    harness.now += seconds(30)
    assert harness.send_heartbeat(("job-1/0", 1, "running"), sequence=harness.sequence) == []
    harness.send_heartbeat(("job-1/0", 1, "running"), sequence=2)
    machine = harness.cluster.machines["n-1"]
    assert (
        machine.last_heartbeat_at == harness.cluster.last_heartbeat_at == last_heartbeat_at
        and not harness.cluster.is_usable(machine, harness.now)
    )


def test_a_machine_whose_lease_expires_though_it_is_answered_is_unreachable():
    harness = Harness().with_running_task()
    for _ in range(10):
        harness.now += seconds(1)
        harness.send_heartbeat(("job-1/0", 1, "running"))
    harness.now += seconds(1)
    # The new incarnation proves that the task is gone, yet nothing more is placed on the machine.
    harness.send_heartbeat(incarnation=2)
    machine = harness.cluster.machines["n-1"]
    assert harness.task_state() == WAITING and not harness.cluster.is_usable(machine, harness.now)
    # Heartbeats alone change nothing. Only an incarnation that outlives a lease shows that responses arrive.
    harness.now += seconds(5)
    harness.send_heartbeat(incarnation=2)
    assert not harness.cluster.is_usable(machine, harness.now)
    harness.now += seconds(7)
    harness.send_heartbeat(incarnation=2)
    assert harness.cluster.is_usable(machine, harness.now)


def test_a_machine_that_executes_no_starts_is_unreachable_until_one_is_listed():
    harness = Harness()
    harness.send_heartbeat()
    harness.place()
    harness.commit_writes()
    for _ in range(2):
        assert harness.send_heartbeat() == START
    harness.send_heartbeat()
    machine = harness.cluster.machines["n-1"]
    assert not harness.cluster.is_usable(machine, harness.now) and harness.task_state() == PLACED
    harness.send_heartbeat(("job-1/0", 1, "pulling"))
    assert harness.cluster.is_usable(machine, harness.now)


def test_an_unanswered_command_makes_a_machine_unreachable_until_it_answers_a_probe():
    harness = Harness()
    harness.send_heartbeat()
    harness.place()
    harness.commit_writes()
    harness.on_commands_sent(harness.direct_commands(), outcome_unknown=True)
    harness.send_heartbeat()
    machine = harness.cluster.machines["n-1"]
    assert not harness.cluster.is_usable(machine, harness.now)
    harness.cluster.on_machine_reached(machine, harness.now)
    assert harness.cluster.is_usable(machine, harness.now)


def test_only_termination_by_the_cloud_ends_the_tasks_of_a_silent_machine():
    harness = Harness().with_running_task()
    harness.now += seconds(1000)
    harness.cluster.snapshot(harness.now)
    assert harness.task_state() == PLACED
    harness.cluster.on_machine_terminated("n-1", "released")
    assert harness.task_state() == WAITING
    # Heartbeats that were in flight do not bring the machine back.
    assert harness.send_heartbeat(("job-1/0", 1, "running")) is None


def test_a_machine_whose_lease_a_peer_renews_is_not_silent():
    """During a partition between zones, a peer renews the leases of the workers in its zone. Their machines
    must not be terminated after one lease."""
    harness = Harness().with_running_task()
    machine = harness.cluster.machines["n-1"]
    harness.now += seconds(20)
    assert harness.cluster.is_silent(machine, harness.now, seconds(11))
    harness.cluster.on_leases_renewed_by_peer(["n-1", "n-unknown"], harness.now)
    assert not harness.cluster.is_silent(machine, harness.now + seconds(10), seconds(11))
    assert harness.cluster.is_silent(machine, harness.now + seconds(12), seconds(11))
    # The machine counts as alive, but nothing new is placed on it.
    assert not harness.cluster.is_usable(machine, harness.now)


def test_a_higher_token_raises_a_stale_token_error():
    """The first token of the next term does, the last one of the leader's own term does not."""
    assert Harness().send_heartbeat(token=last_token_of_term(TOKEN)) == []
    with pytest.raises(StaleTokenError):
        Harness().send_heartbeat(token=last_token_of_term(TOKEN) + 1)


def test_an_unexpected_attempt_is_stopped_and_then_forgotten():
    harness = Harness()
    assert harness.send_heartbeat(("job-9/0", 1, "running")) == [Command("stop", "job-9/0", 1, 0.0)]
    assert harness.send_heartbeat(("job-9/0", 1, "exited", "halted")) == [Command("clear", "job-9/0", 1)]
    # Its start may have been a direct message, of which a copy may still arrive.
    assert harness.response_token == TOKEN + 1


def test_only_done_runs_enter_the_history():
    harness = Harness().with_running_task()
    harness.now += seconds(3)
    harness.send_heartbeat(("job-1/0", 1, "exited", "error"))
    assert harness.cluster.predictor.run_count("t") == 0
    harness.commit_writes()
    harness.place(1)
    harness.commit_writes()
    assert Command("start", "job-1/1", 1) in harness.send_heartbeat(("job-1/0", 1, "exited", "error"))
    harness.send_heartbeat(("job-1/1", 1, "pulling"))
    harness.send_heartbeat(("job-1/1", 1, "running"))
    harness.now += seconds(3)
    harness.send_heartbeat(("job-1/1", 1, "exited", "done"))
    assert harness.cluster.predictor.run_count("t") == 1
