"""The leader's cluster state: what may be ordered when, and what proves a task off its machine."""

from datetime import timedelta

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from spindleglade.backfill.distributions import Bins, Predictor
from spindleglade.backfill.plan import Placement, Plan, Preemption
from spindleglade.runtime.clock import seconds
from spindleglade.settings import Team
from spindleglade.submissions.messages import Submission
from spindleglade.submissions.records import JobRecord, StoredAttempt, TaskRangeRecord
from spindleglade.workers.cluster_state import ClusterState
from spindleglade.workers.errors import StaleTokenError
from spindleglade.workers.jobs import PLACED, WAITING
from spindleglade.workers.machines import MachineTypeCapacity
from spindleglade.workers.messages import Command, Heartbeat, TaskStatus, split_task
from spindleglade.workers.policy import WorkerPolicy

TOKEN = 7
RULES = WorkerPolicy(seconds(10), seconds(1), 2, seconds(5), seconds(60))
START = [Command("start", "job-1/0", 1)]


def spec(id="job-1", tasks=2, **fields):
    given = {
        "id": id,
        "job_class": "c",
        "team": "t",
        "kind": "array",
        "priority": "normal",
        "tasks": tasks,
        "cpus": 2.0,
        "gpus": 0.0,
        "memory_gb": 1.0,
        "image": "i",
        "image_gb": 1.0,
        "one_zone": False,
        "spread": False,
        "spot": True,
        "checkpoint_s": 0.0,
        "save_s": 0.0,
        "estimate_s": 9.0,
    } | fields
    return Submission(**given)


def make_cluster():
    bins = Bins(seconds(1), 1.8)
    return ClusterState(
        TOKEN,
        RULES,
        {"t": Team("t", 4.0, 8.0)},
        {"m": MachineTypeCapacity(8.0, 0.0, 32.0, 50.0, 1.0)},
        Predictor(bins, 3, 100),
        timedelta(0),
    )


class Harness:
    """A cluster with the shortest ways to feed it."""

    def __init__(self):
        self.cluster = make_cluster()
        self.now = seconds(100)
        self.sequence = 0
        self.cluster.observe_job(JobRecord("open", spec(), 1), 1)

    def report(self, *tasks, token=TOKEN, incarnation=1, asked=True, machine="n-1", sequence=None):
        self.sequence += 1
        report = Heartbeat(
            machine,
            "x:1",
            "m",
            "z",
            True,
            incarnation,
            sequence or self.sequence,
            token,
            [TaskStatus(*t) for t in tasks],
        )
        return self.cluster.on_heartbeat(report, self.now, asked)

    def place(self, index=0, machine="n-1"):
        assert self.cluster.apply_plan(Plan(placements=[Placement("job-1", index, machine)]), self.now) == 1

    def record(self):
        """Writes all that is dirty, as the recorder would."""
        for write in self.cluster.collect_writes(99, {}).ranges:
            self.cluster.on_range_committed(write.job, write.first_task, write.version)

    def state(self, index=0):
        return self.cluster.jobs["job-1"].task_states[index]

    def direct(self):
        return [order for _, _, orders in self.cluster.take_direct_commands() for order in orders]

    def sent(self, orders, unsure):
        self.cluster.on_commands_sent(self.cluster.machines["n-1"], orders, unsure, self.now)

    def abort(self):
        self.cluster.observe_job(JobRecord("aborted", spec(), 1), 50)

    def running(self):
        """A harness with task 0 placed, recorded, started and seen running."""
        self.report()
        self.place()
        self.record()
        assert self.report() == START
        self.report(("job-1/0", 1, "running"))
        return self


def test_a_machine_that_reports_before_its_type_is_known_is_used_once_it_is():
    harness = Harness()
    kinds, harness.cluster.machine_types = harness.cluster.machine_types, {}
    harness.report()
    (view,) = harness.cluster.snapshot(harness.now).machines
    assert not view.is_usable and view.cpus == 0
    harness.report()
    harness.cluster.set_machine_types(kinds)
    (view,) = harness.cluster.snapshot(harness.now).machines
    assert view.is_usable and view.free_cpus == 8.0


def test_what_an_overdue_job_gets_is_owed_to_it_and_nothing_after_it():
    harness = Harness()
    harness.report()
    harness.cluster.jobs["job-1"].waiting_since = harness.now - RULES.overdue_after
    harness.place()
    harness.place(1)
    tasks = {
        task.index: task.started_overdue for task in harness.cluster.snapshot(harness.now).machines[0].tasks
    }
    assert tasks == {0: True, 1: False}


def test_a_start_waits_for_its_record():
    harness = Harness()
    harness.report()
    harness.place()
    assert harness.report() == [] and harness.direct() == []
    harness.record()
    assert harness.direct() == START


def test_a_clear_waits_for_the_record_of_the_end():
    harness = Harness().running()
    # Not with the second report either: it was once taken for a stray by then, and cleared unrecorded.
    for _ in range(2):
        assert harness.report(("job-1/0", 1, "exited", "done")) == []
    harness.record()
    assert harness.report(("job-1/0", 1, "exited", "done")) == [Command("clear", "job-1/0", 1)]


def test_nothing_is_ordered_before_the_worker_knows_this_token():
    harness = Harness()
    harness.cluster.load_range(
        "job-1", 0, TaskRangeRecord(placed={0: StoredAttempt(1, "n-1", 1)}), harness.now
    )
    assert harness.report(token=TOKEN - 1) == []
    assert harness.direct() == []
    # Under this token no former leader's start can land any more: it may be sent (again).
    assert harness.report() == START


def test_absence_under_an_older_token_proves_nothing():
    harness = Harness().running()
    harness.report(token=TOKEN - 1)
    assert harness.state() == PLACED
    harness.report()
    assert harness.state() == WAITING


def test_absence_proves_nothing_while_a_direct_start_is_unanswered():
    harness = Harness()
    harness.report()
    harness.place()
    harness.record()
    orders = harness.direct()
    harness.cluster.jobs["job-1"].placed[0].stop_reason = "room"
    harness.report()
    assert harness.state() == PLACED
    # It timed out: it may land minutes from now, so absence still proves nothing.
    harness.sent(orders, unsure=True)
    harness.report()
    assert harness.state() == PLACED
    # A new session drops it for good.
    harness.report(incarnation=2)
    assert harness.state() == WAITING


def test_an_attempt_whose_start_may_still_land_is_never_cleared():
    harness = Harness()
    harness.report()
    harness.place()
    harness.record()
    harness.sent(harness.direct(), unsure=True)
    assert harness.report() == START
    harness.report(("job-1/0", 1, "running"))
    harness.report(("job-1/0", 1, "exited", "error"))
    harness.record()
    assert harness.report(("job-1/0", 1, "exited", "error")) == []


def test_a_start_in_an_answer_is_settled_only_by_the_next_report():
    harness = Harness()
    harness.report()
    harness.place()
    harness.record()
    assert harness.report() == START
    harness.cluster.jobs["job-1"].placed[0].stop_reason = "room"
    # The worker's answer to a direct message may be older than the order on its way.
    harness.report(asked=False)
    assert harness.state() == PLACED
    harness.report()
    assert harness.state() == WAITING


def test_a_late_report_changes_nothing():
    harness = Harness().running()
    assert harness.report(sequence=1) == []
    assert harness.state() == PLACED


def test_no_lease_is_renewed_while_an_unanswered_start_may_bring_an_aborted_task():
    """It was renewed until the cloud had given the machine up; while the cloud had trouble the start could
    land minutes after the cancellation, and run."""
    harness = Harness()
    harness.report()
    harness.place()
    harness.record()
    harness.sent(harness.direct(), unsure=True)
    assert harness.report() == START
    harness.abort()
    assert harness.report() is None
    # Overtaken by an answer to a direct message: the worker awaits its answer all the same.
    assert harness.report(sequence=1) is None
    # It has landed: from here on it can be stopped, and so can a copy of it.
    assert [order.operation for order in harness.report(("job-1/0", 1, "running"))] == ["stop"]
    harness = Harness()
    harness.report()
    harness.place()
    harness.record()
    harness.sent(harness.direct(), unsure=True)
    harness.abort()
    assert harness.report() is None
    assert harness.report(incarnation=2) == []


def test_a_late_copy_shows_nothing_of_how_the_machine_is():
    harness = Harness().running()
    last_heartbeat_at = harness.now
    harness.now += seconds(30)
    assert harness.report(("job-1/0", 1, "running"), sequence=harness.sequence) == []
    harness.report(("job-1/0", 1, "running"), sequence=2)
    machine = harness.cluster.machines["n-1"]
    assert (
        machine.last_heartbeat_at == harness.cluster.last_heartbeat_at == last_heartbeat_at
        and not harness.cluster.is_usable(machine, harness.now)
    )


def test_a_machine_whose_lease_ends_though_it_is_answered_is_deaf():
    harness = Harness().running()
    for _ in range(10):
        harness.now += seconds(1)
        harness.report(("job-1/0", 1, "running"))
    harness.now += seconds(1)
    # Its new session proves its task gone, yet nothing more is placed there.
    harness.report(incarnation=2)
    machine = harness.cluster.machines["n-1"]
    assert harness.state() == WAITING and not harness.cluster.is_usable(machine, harness.now)
    # Its reports alone change nothing; that this session outlives a lease does: answers arrive again.
    harness.now += seconds(5)
    harness.report(incarnation=2)
    assert not harness.cluster.is_usable(machine, harness.now)
    harness.now += seconds(7)
    harness.report(incarnation=2)
    assert harness.cluster.is_usable(machine, harness.now)


def test_a_machine_whose_starts_do_not_show_is_deaf_until_one_does():
    harness = Harness()
    harness.report()
    harness.place()
    harness.record()
    for _ in range(2):
        assert harness.report() == START
    harness.report()
    machine = harness.cluster.machines["n-1"]
    assert not harness.cluster.is_usable(machine, harness.now) and harness.state() == PLACED
    harness.report(("job-1/0", 1, "pulling"))
    assert harness.cluster.is_usable(machine, harness.now)


def test_an_unanswered_order_makes_a_machine_deaf_and_an_answer_to_a_probe_ends_it():
    harness = Harness()
    harness.report()
    harness.place()
    harness.record()
    harness.sent(harness.direct(), unsure=True)
    harness.report()
    machine = harness.cluster.machines["n-1"]
    assert not harness.cluster.is_usable(machine, harness.now)
    harness.cluster.on_machine_reached(machine, harness.now)
    assert harness.cluster.is_usable(machine, harness.now)


def test_starts_are_recorded_before_ends():
    """Ends, of which nobody waits to hear, used to keep starts waiting for seconds."""
    harness = Harness()
    harness.cluster.observe_job(JobRecord("open", spec("job-2", 20), 1), 2)
    harness.report()
    for index in range(20):
        harness.cluster._changes.mark_task_changed(harness.cluster.jobs["job-2"], index)
    harness.place()
    batch = harness.cluster.collect_writes(5, {}, max_background_operations=2)
    assert [(write.job, write.first_task) for write in batch.ranges][0] == ("job-1", 0)
    assert len(batch.ranges) == 3


def test_only_the_clouds_word_frees_the_tasks_of_a_silent_machine():
    harness = Harness().running()
    harness.now += seconds(1000)
    harness.cluster.snapshot(harness.now)
    assert harness.state() == PLACED
    harness.cluster.on_machine_terminated("n-1", "released")
    assert harness.state() == WAITING
    # Reports that were under way do not bring the machine back.
    assert harness.report(("job-1/0", 1, "running")) is None


def test_a_vouched_machine_is_not_silent():
    """Behind a cut between zones a sibling kept its zone's workers alive, and the leader would have released
    them all after one lease."""
    harness = Harness().running()
    machine = harness.cluster.machines["n-1"]
    harness.now += seconds(20)
    assert harness.cluster.is_silent(machine, harness.now, seconds(11))
    harness.cluster.on_leases_renewed_by_peer(["n-1", "n-unknown"], harness.now)
    assert not harness.cluster.is_silent(machine, harness.now + seconds(10), seconds(11))
    assert harness.cluster.is_silent(machine, harness.now + seconds(12), seconds(11))
    # It counts as alive, but nothing new is placed on it.
    assert not harness.cluster.is_usable(machine, harness.now)


def test_a_machine_known_from_the_record_alone_gets_its_address_from_the_list():
    harness = Harness()
    harness.cluster.load_range(
        "job-1", 0, TaskRangeRecord(placed={0: StoredAttempt(1, "n-1", 1)}), harness.now
    )
    harness.cluster.observe_listed_machines([("n-1", "y:1", "z")])
    machine = harness.cluster.machines["n-1"]
    assert machine.address == "y:1" and not harness.cluster.is_usable(machine, harness.now)
    harness.report(("job-1/0", 1, "running"))
    harness.cluster.observe_listed_machines([("n-1", "y:1", "other")])
    assert machine.address == "x:1" and machine.zone == "z"


def test_attempt_numbers_never_repeat():
    harness = Harness().running()
    harness.report(("job-1/0", 1, "exited", "halted"))
    chunk = harness.cluster.jobs["job-1"].encode_range(0)
    successor = Harness()
    successor.cluster.load_range("job-1", 0, chunk, successor.now)
    successor.report()
    successor.place()
    assert successor.cluster.jobs["job-1"].placed[0].attempt == 2


def test_a_message_holds_only_as_many_orders_as_a_line_may():
    harness = Harness()
    harness.cluster.teams = {}
    harness.cluster.observe_job(JobRecord("open", spec("job-2", 1000), 256), 2)
    harness.report()
    harness.cluster.apply_plan(
        Plan(placements=[Placement("job-2", at, "n-1") for at in range(1000)]), harness.now
    )
    harness.record()
    told: list[Command] = []
    sizes = []
    for _ in range(4):
        orders = harness.report(*[(order.task, order.attempt, "pulling") for order in told])
        sizes.append(len(orders))
        told += orders
    assert sizes == [400, 400, 200, 0] and len({order.task for order in told}) == 1000


def test_an_abort_stops_what_runs_and_starts_nothing_more():
    harness = Harness().running()
    harness.place(1)
    harness.cluster.observe_job(JobRecord("aborted", spec(), 1), 2)
    assert 1 not in harness.cluster.jobs["job-1"].placed
    orders = harness.report(("job-1/0", 1, "running"))
    assert orders == [Command("stop", "job-1/0", 1, 0.0)]
    assert not harness.cluster.snapshot(harness.now).jobs
    assert harness.cluster.apply_plan(Plan(placements=[Placement("job-1", 1, "n-1")]), harness.now) == 0


def test_a_higher_token_deposes():
    with pytest.raises(StaleTokenError):
        Harness().report(token=TOKEN + 1)


def test_a_stray_attempt_is_stopped_and_then_cleared():
    harness = Harness()
    assert harness.report(("job-9/0", 1, "running")) == [Command("stop", "job-9/0", 1, 0.0)]
    assert harness.report(("job-9/0", 1, "exited", "halted")) == [Command("clear", "job-9/0", 1)]


def test_errors_of_several_jobs_condemn_a_machine_and_of_one_job_do_not():
    harness = Harness()
    for number in (2, 3):
        harness.cluster.observe_job(JobRecord("open", spec(f"job-{number}", 1), 1), number)
    harness.report()
    harness.report(machine="n-2")

    def fail(job, machine):
        index = harness.cluster.jobs[job].waiting_tasks(1)[0]
        assert harness.cluster.apply_plan(Plan(placements=[Placement(job, index, machine)]), harness.now) == 1
        attempt = harness.cluster.jobs[job].placed[index].attempt
        harness.record()
        harness.report(machine=machine)
        harness.report((f"{job}/{index}", attempt, "exited", "error"), machine=machine)

    fail("job-1", "n-1")
    fail("job-1", "n-2")
    # The same job failed on both: it is paused, neither machine is blamed.
    assert harness.cluster.jobs["job-1"].paused_until > harness.now
    assert not harness.cluster.machines["n-1"].failed_jobs and not harness.cluster.machines["n-2"].failed_jobs
    fail("job-2", "n-1")
    fail("job-3", "n-1")
    assert harness.cluster.machines["n-1"].quarantined and harness.cluster.jobs["job-1"].is_open


def test_a_machine_is_used_again_once_a_job_that_condemned_it_fails_elsewhere():
    harness = Harness()
    harness.cluster.observe_job(JobRecord("open", spec("job-2", 2), 1), 2)
    for name in ("n-1", "n-2", "n-3"):
        harness.report(machine=name)

    def fail(job, machine):
        start_all(harness, job, [machine])
        end_all(harness, job, "error")

    fail("job-1", "n-1")
    fail("job-2", "n-1")
    assert harness.cluster.machines["n-1"].quarantined
    fail("job-2", "n-2")
    assert not harness.cluster.machines["n-1"].quarantined and harness.cluster.machines[
        "n-1"
    ].failed_jobs == {"job-1"}


def start_all(harness, job, machines):
    """Starts a waiting task of the job on each of the machines."""
    for machine in machines:
        harness.report(machine=machine)
    waiting = harness.cluster.jobs[job].waiting_tasks(len(machines))
    starts = [Placement(job, index, machine) for index, machine in zip(waiting, machines, strict=True)]
    assert harness.cluster.apply_plan(Plan(placements=starts), harness.now) == len(starts)
    harness.record()
    for machine in machines:
        harness.report(machine=machine)


def end_all(harness, job, *how):
    """All tasks of the job that are placed are reported so."""
    by_machine = {}
    for assignment in harness.cluster.jobs[job].placed.values():
        by_machine.setdefault(assignment.machine, []).append((assignment.task, assignment.attempt))
    for machine, tasks in by_machine.items():
        state = how if how[0] == "running" else ("exited", *how)
        harness.report(*[(task, attempt, *state) for task, attempt in tasks], machine=machine)


def test_a_job_that_fails_everywhere_is_tried_by_one_task_at_a_time():
    """All its tasks were started at the end of each pause, and each failure lengthened the next one."""
    harness = Harness()
    harness.cluster.observe_job(JobRecord("open", spec("job-2", 6), 1), 2)
    harness.report()
    harness.report(machine="n-2")
    job = harness.cluster.jobs["job-2"]

    def tries():
        return [
            len(view.waiting_tasks)
            for view in harness.cluster.snapshot(harness.now).jobs
            if view.id == "job-2"
        ]

    assert tries() == [6]
    start_all(harness, "job-2", ["n-1", "n-1", "n-2", "n-2"])
    end_all(harness, "job-2", "error")
    assert job.paused_until == harness.now + seconds(5) and tries() == []
    harness.now += seconds(5)
    assert tries() == [1]
    start_all(harness, "job-2", ["n-1"])
    assert tries() == []
    end_all(harness, "job-2", "error")
    assert job.paused_until == harness.now + seconds(10)
    harness.now += seconds(10)
    start_all(harness, "job-2", ["n-2"])
    end_all(harness, "job-2", "running")
    harness.now += seconds(10.5)
    # It has run for longer than it was paused.
    assert tries() == [5]
    end_all(harness, "job-2", "done")
    assert tries() == [5] and not harness.cluster.machines["n-2"].failed_jobs


def next_leader(harness, job):
    """The cluster as a new leader reads it from the records."""
    cluster = make_cluster()
    cluster.observe_job(JobRecord("open", job.spec, job.range_size), 2)
    for number in range(job.spec.tasks // job.range_size):
        chunk = job.encode_range(number)
        if chunk is not None:
            cluster.load_range(job.id, number, chunk, harness.now)
    cluster.finish_loading()
    return cluster


def waiting(cluster, job, now):
    return sum(len(view.waiting_tasks) for view in cluster.snapshot(now).jobs if view.id == job)


def test_a_new_leader_goes_on_trying_a_job_that_fails_everywhere_by_one_task():
    """It forgot which jobs fail, and started their whole batch again."""
    harness = Harness()
    harness.cluster.observe_job(JobRecord("open", spec("job-2", 6), 1), 2)
    harness.report()
    harness.report(machine="n-2")
    job = harness.cluster.jobs["job-2"]
    for machines in (["n-1", "n-1", "n-2", "n-2"], ["n-1"], ["n-2"]):
        start_all(harness, "job-2", machines)
        end_all(harness, "job-2", "error")
        harness.now += seconds(20)
    assert waiting(next_leader(harness, job), "job-2", harness.now) == 1
    # Also where the task that is tried is on a machine just then; and the others follow once it has run.
    start_all(harness, "job-2", ["n-1"])
    harness.cluster = cluster = next_leader(harness, job)
    assert waiting(cluster, "job-2", harness.now) == 0
    end_all(harness, "job-2", "running")
    harness.now += seconds(5.5)
    assert waiting(cluster, "job-2", harness.now) == 5


@pytest.mark.parametrize(
    "tried, placed, done, fields",
    [
        ([1, 1, 1, 1], {}, [], {}),
        ([3, 3, 3, 3], {}, [], {}),
        # Room for two, then for one, and machines that were lost.
        ([3, 2, 0, 0], {}, [], {}),
        ([4, 0, 0, 0], {}, [], {}),
        ([4, 1, 1, 0], {3: 1}, [], {}),
        ([4, 1, 1, 0], {}, [3], {}),
        ([4, 1, 1, 1], {}, [], {"checkpoint_s": 5.0}),
        ([4, 1, 1, 1], {}, [], {"kind": "group"}),
    ],
)
def test_a_job_whose_tasks_were_lost_is_not_tried_by_one_task(tried, placed, done, fields):
    cluster = make_cluster()
    cluster.observe_job(JobRecord("open", spec("job-2", 4, **fields), 4), 2)
    chunk = TaskRangeRecord(
        [(index, index) for index in done],
        {index: StoredAttempt(attempt, "n-1", 1) for index, attempt in placed.items()},
        {index: attempts for index, attempts in enumerate(tried) if attempts},
    )
    cluster.load_range("job-2", 0, chunk, seconds(100))
    cluster.finish_loading()
    assert waiting(cluster, "job-2", seconds(100)) == 4 - len(placed) - len(done)
    assert cluster.jobs["job-2"].backoff == seconds(0)


def test_only_done_runs_enter_the_history():
    harness = Harness().running()
    harness.now += seconds(3)
    harness.report(("job-1/0", 1, "exited", "error"))
    assert harness.cluster.predictor.runs("t") == 0
    harness.record()
    harness.place(1)
    harness.record()
    assert Command("start", "job-1/1", 1) in harness.report(("job-1/0", 1, "exited", "error"))
    harness.report(("job-1/1", 1, "pulling"))
    harness.report(("job-1/1", 1, "running"))
    harness.now += seconds(3)
    harness.report(("job-1/1", 1, "exited", "done"))
    assert harness.cluster.predictor.runs("t") == 1


class LossyWorker(RuleBasedStateMachine):
    """One machine behind a network that loses, delays and repeats direct orders; planned on at will. The
    task must never be taken as off the machine while it runs there or a start of it can still land."""

    def __init__(self):
        super().__init__()
        self.harness = Harness()
        self.incarnation, self.sequence = 1, 0
        self.tasks: dict[tuple[str, int], str] = {}
        self.flying: list[tuple[int, list[Command]]] = []
        self.token = 0

    def shown(self):
        self.sequence += 1
        shown = [
            TaskStatus(
                task,
                attempt,
                state,
                "done"
                if state == "exited" and attempt % 3 == 0
                else ("halted" if state == "exited" else None),
            )
            for (task, attempt), state in self.tasks.items()
        ]
        return Heartbeat("n-1", "x:1", "m", "z", True, self.incarnation, self.sequence, self.token, shown)

    def obey(self, orders):
        for order in orders:
            key = (order.task, order.attempt)
            if order.operation == "start":
                self.tasks.setdefault(key, "running")
            elif order.operation == "stop" and key in self.tasks:
                self.tasks[key] = "exited"
            elif order.operation == "clear" and self.tasks.get(key) == "exited":
                del self.tasks[key]

    @rule(deliver=st.booleans())
    def report(self, deliver):
        report = self.shown()
        orders = self.harness.cluster.on_heartbeat(report, self.harness.now, True)
        if deliver and orders is not None:
            self.token = TOKEN
            self.obey(orders)

    @rule(index=st.integers(0, 1))
    def plan(self, index):
        self.harness.cluster.apply_plan(Plan(placements=[Placement("job-1", index, "n-1")]), self.harness.now)

    @rule(index=st.integers(0, 1))
    def preempt(self, index):
        self.harness.cluster.apply_plan(
            Plan(preemptions=[Preemption("job-1", index, "n-1", "job-2")]), self.harness.now
        )

    @rule()
    def record(self):
        self.harness.record()

    @rule(fate=st.sampled_from(["answered", "answer lost", "late", "lost"]))
    def send(self, fate):
        for machine, incarnation, orders in self.harness.cluster.take_direct_commands():
            if fate in ("answered", "answer lost") and incarnation == self.incarnation:
                self.token = TOKEN
                self.obey(orders)
            if fate == "late":
                self.flying.append((incarnation, orders))
            report = self.shown() if fate == "answered" else None
            self.harness.cluster.on_commands_sent(machine, orders, report is None, self.harness.now)
            if report is not None:
                self.harness.cluster.on_heartbeat(report, self.harness.now, False)

    @precondition(lambda self: self.flying)
    @rule()
    def land(self):
        incarnation, orders = self.flying.pop(0)
        if incarnation == self.incarnation:
            self.obey(orders)

    @rule(which=st.integers(0, 3))
    def end_of_a_task(self, which):
        running = [key for key, state in self.tasks.items() if state == "running"]
        if which < len(running):
            self.tasks[running[which]] = "exited"

    @rule()
    def lease_ends(self):
        self.tasks.clear()
        self.incarnation, self.sequence = self.incarnation + 1, 0

    @rule()
    def abort(self):
        self.harness.abort()

    @invariant()
    def what_runs_is_booked(self):
        job = self.harness.cluster.jobs["job-1"]
        for (task, attempt), state in self.tasks.items():
            if state == "running":
                _, index = split_task(task)
                assert index in job.placed and job.placed[index].attempt == attempt, (task, attempt)

    @invariant()
    def a_start_that_can_land_is_booked_or_known_to_the_worker(self):
        job = self.harness.cluster.jobs["job-1"]
        for incarnation, orders in self.flying:
            for order in orders:
                key = (order.task, order.attempt)
                if order.operation == "start" and incarnation == self.incarnation and key not in self.tasks:
                    _, index = split_task(order.task)
                    assert index in job.placed and job.placed[index].attempt == order.attempt, key


TestLossyWorker = LossyWorker.TestCase
