"""The selection of commands, and the conditions under which they are sent."""

from spindleglade.backfill.plan import Placement, Plan
from spindleglade.submissions.records import JobRecord, StoredAttempt, TaskRangeRecord
from spindleglade.workers.messages import Command
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
