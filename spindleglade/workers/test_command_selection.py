"""The selection of commands, and the conditions under which they are sent."""

import pytest

from spindleglade.backfill.plan import Placement, Plan
from spindleglade.submissions.records import JobRecord, StoredAttempt, TaskRangeRecord
from spindleglade.workers.messages import Command, CommandBatch
from tests.cluster_harness import START, TOKEN, Harness, spec


def test_a_start_waits_for_its_record():
    harness = Harness()
    harness.send_heartbeat()
    harness.place()
    assert harness.send_heartbeat() == [] and harness.direct_commands() == []
    harness.commit_writes()
    assert harness.direct_commands() == START


def test_an_exited_attempt_is_forgotten_only_once_its_end_is_recorded():
    harness = Harness().with_running_task()
    # At the second heartbeat the attempt is no longer placed, and it must not be forgotten then either.
    for _ in range(2):
        assert harness.send_heartbeat(("job-1/0", 1, "exited", "done")) == []
    harness.commit_writes()
    assert harness.send_heartbeat(("job-1/0", 1, "exited", "done")) == [Command("clear", "job-1/0", 1)]


def test_no_command_is_sent_before_the_worker_acknowledges_the_token():
    harness = Harness()
    harness.cluster.load_range(
        "job-1", 0, TaskRangeRecord(placed={0: StoredAttempt(1, "n-1", 1)}), harness.now
    )
    assert harness.send_heartbeat(token=TOKEN - 1) == []
    assert harness.direct_commands() == []
    # Under this token no start of a former leader can be executed any more, so the start may be sent again.
    assert harness.send_heartbeat() == START


def test_an_attempt_whose_start_may_still_arrive_is_never_forgotten():
    harness = Harness()
    harness.send_heartbeat()
    harness.place()
    harness.commit_writes()
    harness.on_commands_sent(harness.direct_commands(), outcome_unknown=True)
    assert harness.send_heartbeat() == START
    harness.send_heartbeat(("job-1/0", 1, "running"))
    harness.send_heartbeat(("job-1/0", 1, "exited", "error"))
    harness.commit_writes()
    assert harness.send_heartbeat(("job-1/0", 1, "exited", "error")) == []


FORGET = Command("clear", "job-1/0", 1)


@pytest.mark.parametrize("cause", ["done", "error", "halted"])
def test_an_attempt_started_directly_is_forgotten_under_a_higher_token(cause):
    """Guards against a late copy of its start, which would run the task again."""
    harness = Harness().with_directly_started_task()
    exited = ("job-1/0", 1, "exited", cause)
    assert harness.send_heartbeat(exited) == [] and harness.response_token == TOKEN
    harness.commit_writes()
    # The token stays raised, and is not raised again for the same attempt.
    for _ in range(2):
        assert FORGET in harness.send_heartbeat(exited) and harness.response_token == TOKEN + 1


def test_an_attempt_started_in_a_response_is_forgotten_under_the_same_token():
    """A worker executes no response late, so a raised token would only cost a heartbeat."""
    harness = Harness().with_running_task()
    harness.send_heartbeat(("job-1/0", 1, "exited", "done"))
    harness.commit_writes()
    assert harness.send_heartbeat(("job-1/0", 1, "exited", "done")) == [FORGET]
    assert harness.response_token == TOKEN


def test_a_direct_message_forgets_no_attempt_that_a_copy_could_start():
    """Guards against a clear under the token of the start: a copy would be executed after it."""
    harness = Harness().with_directly_started_task()
    harness.send_heartbeat(("job-1/0", 1, "exited", "error"))
    harness.place(1)
    harness.commit_writes()
    (direct,) = harness.cluster.take_direct_commands()
    assert direct.batch == CommandBatch(TOKEN, 1, [Command("start", "job-1/1", 1)])
    # While the message is in flight a higher token would make the worker reject it.
    exited = ("job-1/0", 1, "exited", "error")
    assert harness.send_heartbeat(exited) == [] and harness.response_token == TOKEN
    harness.on_commands_sent(direct.batch.commands, outcome_unknown=False)
    assert harness.send_heartbeat(exited, ("job-1/1", 1, "running")) == [FORGET]
    assert harness.response_token == TOKEN + 1
    # From now on direct messages carry the raised token too, so that the worker accepts them.
    harness.cluster.jobs["job-1"].placed[1].stop_reason = "room"
    (direct,) = harness.cluster.take_direct_commands()
    assert direct.batch.token == TOKEN + 1


def test_a_preempted_task_may_start_again_on_the_machine_that_has_forgotten_it():
    """Guards against a task that waits for good while its machine has room (review case 2)."""
    harness = Harness().with_directly_started_task()
    exited = ("job-1/0", 1, "exited", "halted")
    harness.send_heartbeat(exited)
    harness.commit_writes()

    def excluded_machines():
        (job,) = harness.cluster.snapshot(harness.now).jobs
        return job.excluded_machines

    assert FORGET in harness.send_heartbeat(exited) and excluded_machines() == {0: {"n-1"}}
    harness.send_heartbeat(token=TOKEN + 1)
    assert excluded_machines() == {}


def test_an_unchanged_heartbeat_under_a_raised_token_is_recognised():
    """Guards against comparing all attempts of a machine again with each of its heartbeats."""
    harness = Harness().with_directly_started_task()
    harness.send_heartbeat(("job-1/0", 1, "exited", "error"))
    harness.commit_writes()
    harness.send_heartbeat(("job-1/0", 1, "exited", "error"))
    for _ in range(2):
        harness.send_heartbeat(token=harness.response_token)
    machine = harness.cluster.machines["n-1"]
    tasks = machine.tasks
    harness.send_heartbeat(token=harness.response_token)
    assert machine.reconciled_tasks == [] and machine.tasks is tasks


def test_a_message_holds_a_limited_number_of_commands():
    harness = Harness()
    harness.cluster.teams = {}
    harness.cluster.observe_job(JobRecord("open", spec("job-2", 1000), 256), 2)
    harness.send_heartbeat()
    harness.cluster.apply_plan(
        Plan(placements=[Placement("job-2", index, "n-1") for index in range(1000)]), harness.now
    )
    harness.commit_writes()
    sent: list[Command] = []
    sizes = []
    for _ in range(4):
        commands = harness.send_heartbeat(*[(command.task, command.attempt, "pulling") for command in sent])
        sizes.append(len(commands))
        sent += commands
    assert sizes == [400, 400, 200, 0] and len({command.task for command in sent}) == 1000


def test_a_cancellation_stops_running_tasks_and_starts_no_more():
    harness = Harness().with_running_task()
    harness.place(1)
    harness.cluster.observe_job(JobRecord("aborted", spec(), 1), 2)
    assert 1 not in harness.cluster.jobs["job-1"].placed
    commands = harness.send_heartbeat(("job-1/0", 1, "running"))
    assert commands == [Command("stop", "job-1/0", 1, 0.0)]
    assert not harness.cluster.snapshot(harness.now).jobs
    assert harness.cluster.apply_plan(Plan(placements=[Placement("job-1", 1, "n-1")]), harness.now) == 0
