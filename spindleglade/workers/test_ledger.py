"""The leader's book: what may be ordered when, and what proves a task off its machine."""

from datetime import timedelta

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from spindleglade.backfill.distributions import Bins, Predictor
from spindleglade.backfill.snapshot import Plan, Start, Stop
from spindleglade.clock import seconds
from spindleglade.settings import Team
from spindleglade.submissions.messages import Submission
from spindleglade.submissions.records import Chunk, JobRecord, Placement
from spindleglade.workers.attempts import PLACED, WAITING, Deposed, MachineKind, Rules
from spindleglade.workers.ledger import Ledger
from spindleglade.workers.messages import Order, Report, TaskReport, split_task

TOKEN = 7
RULES = Rules(seconds(10), seconds(1), 2, seconds(5), seconds(60))
START = [Order("start", "job-1/0", 1)]


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


def make_ledger():
    bins = Bins(seconds(1), 1.8)
    return Ledger(
        TOKEN,
        RULES,
        {"t": Team("t", 4.0, 8.0)},
        {"m": MachineKind(8.0, 0.0, 32.0, 50.0, 1.0)},
        Predictor(bins, 3, 100),
        timedelta(0),
    )


class Book:
    """A ledger with the shortest ways to feed it."""

    def __init__(self):
        self.ledger = make_ledger()
        self.now = seconds(100)
        self.tally = 0
        self.ledger.take_job(JobRecord("open", spec(), 1), 1)

    def report(self, *tasks, token=TOKEN, session=1, asked=True, machine="n-1", tally=None):
        self.tally += 1
        report = Report(
            machine,
            "x:1",
            "m",
            "z",
            True,
            session,
            tally or self.tally,
            token,
            [TaskReport(*t) for t in tasks],
        )
        return self.ledger.report(report, self.now, asked)

    def place(self, index=0, machine="n-1"):
        assert self.ledger.apply(Plan(starts=[Start("job-1", index, machine)]), self.now) == 1

    def record(self):
        """Writes all that is dirty, as the recorder would."""
        for job, _, number, version, _ in self.ledger.collect(99, {}).chunks:
            self.ledger.committed(job, number, version)

    def state(self, index=0):
        return self.ledger.jobs["job-1"].state[index]

    def direct(self):
        return [order for _, _, orders in self.ledger.to_send(self.now) for order in orders]

    def sent(self, orders, unsure):
        self.ledger.sent(self.ledger.machines["n-1"], orders, unsure, self.now)

    def abort(self):
        self.ledger.take_job(JobRecord("aborted", spec(), 1), 50)

    def running(self):
        """A book with task 0 placed, recorded, started and seen running."""
        self.report()
        self.place()
        self.record()
        assert self.report() == START
        self.report(("job-1/0", 1, "running"))
        return self


def test_a_machine_that_reports_before_its_type_is_known_is_used_once_it_is():
    book = Book()
    kinds, book.ledger.kinds = book.ledger.kinds, {}
    book.report()
    (view,) = book.ledger.snapshot(book.now).machines
    assert not view.open and view.cpus == 0
    book.report()
    book.ledger.learn_kinds(kinds)
    (view,) = book.ledger.snapshot(book.now).machines
    assert view.open and view.free_cpus == 8.0


def test_what_an_overdue_job_gets_is_owed_to_it_and_nothing_after_it():
    book = Book()
    book.report()
    book.ledger.jobs["job-1"].hungry = book.now - RULES.patience
    book.place()
    book.place(1)
    tasks = {task.index: task.owed for task in book.ledger.snapshot(book.now).machines[0].tasks}
    assert tasks == {0: True, 1: False}


def test_a_start_waits_for_its_record():
    book = Book()
    book.report()
    book.place()
    assert book.report() == [] and book.direct() == []
    book.record()
    assert book.direct() == START


def test_a_clear_waits_for_the_record_of_the_end():
    book = Book().running()
    # Not with the second report either: it was once taken for a stray by then, and cleared unrecorded.
    for _ in range(2):
        assert book.report(("job-1/0", 1, "exited", "done")) == []
    book.record()
    assert book.report(("job-1/0", 1, "exited", "done")) == [Order("clear", "job-1/0", 1)]


def test_nothing_is_ordered_before_the_worker_knows_this_token():
    book = Book()
    book.ledger.load_chunk("job-1", 0, Chunk(placed={0: Placement(1, "n-1", 1)}), book.now)
    assert book.report(token=TOKEN - 1) == []
    assert book.direct() == []
    # Under this token no former leader's start can land any more: it may be sent (again).
    assert book.report() == START


def test_absence_under_an_older_token_proves_nothing():
    book = Book().running()
    book.report(token=TOKEN - 1)
    assert book.state() == PLACED
    book.report()
    assert book.state() == WAITING


def test_absence_proves_nothing_while_a_direct_start_is_unanswered():
    book = Book()
    book.report()
    book.place()
    book.record()
    orders = book.direct()
    book.ledger.jobs["job-1"].placed[0].stop = "room"
    book.report()
    assert book.state() == PLACED
    # It timed out: it may land minutes from now, so absence still proves nothing.
    book.sent(orders, unsure=True)
    book.report()
    assert book.state() == PLACED
    # A new session drops it for good.
    book.report(session=2)
    assert book.state() == WAITING


def test_an_attempt_whose_start_may_still_land_is_never_cleared():
    book = Book()
    book.report()
    book.place()
    book.record()
    book.sent(book.direct(), unsure=True)
    assert book.report() == START
    book.report(("job-1/0", 1, "running"))
    book.report(("job-1/0", 1, "exited", "error"))
    book.record()
    assert book.report(("job-1/0", 1, "exited", "error")) == []


def test_a_start_in_an_answer_is_settled_only_by_the_next_report():
    book = Book()
    book.report()
    book.place()
    book.record()
    assert book.report() == START
    book.ledger.jobs["job-1"].placed[0].stop = "room"
    # The worker's answer to a direct message may be older than the order on its way.
    book.report(asked=False)
    assert book.state() == PLACED
    book.report()
    assert book.state() == WAITING


def test_a_late_report_changes_nothing():
    book = Book().running()
    assert book.report(tally=1) == []
    assert book.state() == PLACED


def test_no_lease_is_renewed_while_an_unanswered_start_may_bring_an_aborted_task():
    """It was renewed until the cloud had given the machine up; while the cloud had trouble the start could
    land minutes after the cancellation, and run."""
    book = Book()
    book.report()
    book.place()
    book.record()
    book.sent(book.direct(), unsure=True)
    assert book.report() == START
    book.abort()
    assert book.report() is None
    # Overtaken by an answer to a direct message: the worker awaits its answer all the same.
    assert book.report(tally=1) is None
    # It has landed: from here on it can be stopped, and so can a copy of it.
    assert [order.verb for order in book.report(("job-1/0", 1, "running"))] == ["stop"]
    book = Book()
    book.report()
    book.place()
    book.record()
    book.sent(book.direct(), unsure=True)
    book.abort()
    assert book.report() is None
    assert book.report(session=2) == []


def test_a_late_copy_shows_nothing_of_how_the_machine_is():
    book = Book().running()
    heard = book.now
    book.now += seconds(30)
    assert book.report(("job-1/0", 1, "running"), tally=book.tally) == []
    book.report(("job-1/0", 1, "running"), tally=2)
    machine = book.ledger.machines["n-1"]
    assert machine.heard == book.ledger.heard == heard and not book.ledger.usable(machine, book.now)


def test_a_machine_whose_lease_ends_though_it_is_answered_is_deaf():
    book = Book().running()
    for _ in range(10):
        book.now += seconds(1)
        book.report(("job-1/0", 1, "running"))
    book.now += seconds(1)
    # Its new session proves its task gone, yet nothing more is placed there.
    book.report(session=2)
    machine = book.ledger.machines["n-1"]
    assert book.state() == WAITING and not book.ledger.usable(machine, book.now)
    # Its reports alone change nothing; that this session outlives a lease does: answers arrive again.
    book.now += seconds(5)
    book.report(session=2)
    assert not book.ledger.usable(machine, book.now)
    book.now += seconds(7)
    book.report(session=2)
    assert book.ledger.usable(machine, book.now)


def test_a_machine_whose_starts_do_not_show_is_deaf_until_one_does():
    book = Book()
    book.report()
    book.place()
    book.record()
    for _ in range(2):
        assert book.report() == START
    book.report()
    machine = book.ledger.machines["n-1"]
    assert not book.ledger.usable(machine, book.now) and book.state() == PLACED
    book.report(("job-1/0", 1, "pulling"))
    assert book.ledger.usable(machine, book.now)


def test_an_unanswered_order_makes_a_machine_deaf_and_an_answer_to_a_probe_ends_it():
    book = Book()
    book.report()
    book.place()
    book.record()
    book.sent(book.direct(), unsure=True)
    book.report()
    machine = book.ledger.machines["n-1"]
    assert not book.ledger.usable(machine, book.now)
    book.ledger.hears(machine, book.now)
    assert book.ledger.usable(machine, book.now)


def test_starts_are_recorded_before_ends():
    """Ends, of which nobody waits to hear, used to keep starts waiting for seconds."""
    book = Book()
    book.ledger.take_job(JobRecord("open", spec("job-2", 20), 1), 2)
    book.report()
    for index in range(20):
        book.ledger._changed(book.ledger.jobs["job-2"], index)
    book.place()
    batch = book.ledger.collect(5, {}, spare=2)
    assert [(job, number) for job, _, number, _, _ in batch.chunks][0] == ("job-1", 0)
    assert len(batch.chunks) == 3


def test_only_the_clouds_word_frees_the_tasks_of_a_silent_machine():
    book = Book().running()
    book.now += seconds(1000)
    book.ledger.snapshot(book.now)
    assert book.state() == PLACED
    book.ledger.machine_gone("n-1", "released")
    assert book.state() == WAITING
    # Reports that were under way do not bring the machine back.
    assert book.report(("job-1/0", 1, "running")) is None


def test_a_vouched_machine_is_not_silent():
    """Behind a cut between zones a sibling kept its zone's workers alive, and the leader would have released
    them all after one lease."""
    book = Book().running()
    machine = book.ledger.machines["n-1"]
    book.now += seconds(20)
    assert book.ledger.silent(machine, book.now, seconds(11))
    book.ledger.vouch(["n-1", "n-unknown"], book.now)
    assert not book.ledger.silent(machine, book.now + seconds(10), seconds(11))
    assert book.ledger.silent(machine, book.now + seconds(12), seconds(11))
    # It counts as alive, but nothing new is placed on it.
    assert not book.ledger.usable(machine, book.now)


def test_a_machine_known_from_the_record_alone_gets_its_address_from_the_list():
    book = Book()
    book.ledger.load_chunk("job-1", 0, Chunk(placed={0: Placement(1, "n-1", 1)}), book.now)
    book.ledger.found([("n-1", "y:1", "z")])
    machine = book.ledger.machines["n-1"]
    assert machine.address == "y:1" and not book.ledger.usable(machine, book.now)
    book.report(("job-1/0", 1, "running"))
    book.ledger.found([("n-1", "y:1", "other")])
    assert machine.address == "x:1" and machine.zone == "z"


def test_attempt_numbers_never_repeat():
    book = Book().running()
    book.report(("job-1/0", 1, "exited", "halted"))
    chunk = book.ledger.jobs["job-1"].encode(0)
    successor = Book()
    successor.ledger.load_chunk("job-1", 0, chunk, successor.now)
    successor.report()
    successor.place()
    assert successor.ledger.jobs["job-1"].placed[0].attempt == 2


def test_a_message_holds_only_as_many_orders_as_a_line_may():
    book = Book()
    book.ledger.teams = {}
    book.ledger.take_job(JobRecord("open", spec("job-2", 1000), 256), 2)
    book.report()
    book.ledger.apply(Plan(starts=[Start("job-2", at, "n-1") for at in range(1000)]), book.now)
    book.record()
    told: list[Order] = []
    sizes = []
    for _ in range(4):
        orders = book.report(*[(order.task, order.attempt, "pulling") for order in told])
        sizes.append(len(orders))
        told += orders
    assert sizes == [400, 400, 200, 0] and len({order.task for order in told}) == 1000


def test_an_abort_stops_what_runs_and_starts_nothing_more():
    book = Book().running()
    book.place(1)
    book.ledger.take_job(JobRecord("aborted", spec(), 1), 2)
    assert 1 not in book.ledger.jobs["job-1"].placed
    orders = book.report(("job-1/0", 1, "running"))
    assert orders == [Order("stop", "job-1/0", 1, 0.0)]
    assert not book.ledger.snapshot(book.now).jobs
    assert book.ledger.apply(Plan(starts=[Start("job-1", 1, "n-1")]), book.now) == 0


def test_a_higher_token_deposes():
    with pytest.raises(Deposed):
        Book().report(token=TOKEN + 1)


def test_a_stray_attempt_is_stopped_and_then_cleared():
    book = Book()
    assert book.report(("job-9/0", 1, "running")) == [Order("stop", "job-9/0", 1, 0.0)]
    assert book.report(("job-9/0", 1, "exited", "halted")) == [Order("clear", "job-9/0", 1)]


def test_errors_of_several_jobs_condemn_a_machine_and_of_one_job_do_not():
    book = Book()
    for number in (2, 3):
        book.ledger.take_job(JobRecord("open", spec(f"job-{number}", 1), 1), number)
    book.report()
    book.report(machine="n-2")

    def fail(job, machine):
        index = book.ledger.jobs[job].waiting(1)[0]
        assert book.ledger.apply(Plan(starts=[Start(job, index, machine)]), book.now) == 1
        attempt = book.ledger.jobs[job].placed[index].attempt
        book.record()
        book.report(machine=machine)
        book.report((f"{job}/{index}", attempt, "exited", "error"), machine=machine)

    fail("job-1", "n-1")
    fail("job-1", "n-2")
    # The same job failed on both: it is paused, neither machine is blamed.
    assert book.ledger.jobs["job-1"].not_before > book.now
    assert not book.ledger.machines["n-1"].errors and not book.ledger.machines["n-2"].errors
    fail("job-2", "n-1")
    fail("job-3", "n-1")
    assert book.ledger.machines["n-1"].condemned and book.ledger.jobs["job-1"].open


def test_a_machine_is_used_again_once_a_job_that_condemned_it_fails_elsewhere():
    book = Book()
    book.ledger.take_job(JobRecord("open", spec("job-2", 2), 1), 2)
    for name in ("n-1", "n-2", "n-3"):
        book.report(machine=name)

    def fail(job, machine):
        start_all(book, job, [machine])
        end_all(book, job, "error")

    fail("job-1", "n-1")
    fail("job-2", "n-1")
    assert book.ledger.machines["n-1"].condemned
    fail("job-2", "n-2")
    assert not book.ledger.machines["n-1"].condemned and book.ledger.machines["n-1"].errors == {"job-1"}


def start_all(book, job, machines):
    """Starts a waiting task of the job on each of the machines."""
    for machine in machines:
        book.report(machine=machine)
    waiting = book.ledger.jobs[job].waiting(len(machines))
    starts = [Start(job, index, machine) for index, machine in zip(waiting, machines, strict=True)]
    assert book.ledger.apply(Plan(starts=starts), book.now) == len(starts)
    book.record()
    for machine in machines:
        book.report(machine=machine)


def end_all(book, job, *how):
    """All tasks of the job that are placed are reported so."""
    by_machine = {}
    for assignment in book.ledger.jobs[job].placed.values():
        by_machine.setdefault(assignment.machine, []).append((assignment.task, assignment.attempt))
    for machine, tasks in by_machine.items():
        state = how if how[0] == "running" else ("exited", *how)
        book.report(*[(task, attempt, *state) for task, attempt in tasks], machine=machine)


def test_a_job_that_fails_everywhere_is_tried_by_one_task_at_a_time():
    """All its tasks were started at the end of each pause, and each failure lengthened the next one."""
    book = Book()
    book.ledger.take_job(JobRecord("open", spec("job-2", 6), 1), 2)
    book.report()
    book.report(machine="n-2")
    job = book.ledger.jobs["job-2"]

    def tries():
        return [len(view.waiting) for view in book.ledger.snapshot(book.now).jobs if view.id == "job-2"]

    assert tries() == [6]
    start_all(book, "job-2", ["n-1", "n-1", "n-2", "n-2"])
    end_all(book, "job-2", "error")
    assert job.not_before == book.now + seconds(5) and tries() == []
    book.now += seconds(5)
    assert tries() == [1]
    start_all(book, "job-2", ["n-1"])
    assert tries() == []
    end_all(book, "job-2", "error")
    assert job.not_before == book.now + seconds(10)
    book.now += seconds(10)
    start_all(book, "job-2", ["n-2"])
    end_all(book, "job-2", "running")
    book.now += seconds(10.5)
    # It has run for longer than it was paused.
    assert tries() == [5]
    end_all(book, "job-2", "done")
    assert tries() == [5] and not book.ledger.machines["n-2"].errors


def test_only_done_runs_enter_the_history():
    book = Book().running()
    book.now += seconds(3)
    book.report(("job-1/0", 1, "exited", "error"))
    assert book.ledger.predictor.runs("t") == 0
    book.record()
    book.place(1)
    book.record()
    assert Order("start", "job-1/1", 1) in book.report(("job-1/0", 1, "exited", "error"))
    book.report(("job-1/1", 1, "pulling"))
    book.report(("job-1/1", 1, "running"))
    book.now += seconds(3)
    book.report(("job-1/1", 1, "exited", "done"))
    assert book.ledger.predictor.runs("t") == 1


class LossyWorker(RuleBasedStateMachine):
    """One machine behind a network that loses, delays and repeats direct orders; planned on at will. The
    task must never be taken as off the machine while it runs there or a start of it can still land."""

    def __init__(self):
        super().__init__()
        self.book = Book()
        self.session, self.tally = 1, 0
        self.tasks: dict[tuple[str, int], str] = {}
        self.flying: list[tuple[int, list[Order]]] = []
        self.token = 0

    def shown(self):
        self.tally += 1
        shown = [
            TaskReport(
                task,
                attempt,
                stage,
                "done"
                if stage == "exited" and attempt % 3 == 0
                else ("halted" if stage == "exited" else None),
            )
            for (task, attempt), stage in self.tasks.items()
        ]
        return Report("n-1", "x:1", "m", "z", True, self.session, self.tally, self.token, shown)

    def obey(self, orders):
        for order in orders:
            key = (order.task, order.attempt)
            if order.verb == "start":
                self.tasks.setdefault(key, "running")
            elif order.verb == "stop" and key in self.tasks:
                self.tasks[key] = "exited"
            elif order.verb == "clear" and self.tasks.get(key) == "exited":
                del self.tasks[key]

    @rule(deliver=st.booleans())
    def report(self, deliver):
        report = self.shown()
        orders = self.book.ledger.report(report, self.book.now, True)
        if deliver and orders is not None:
            self.token = TOKEN
            self.obey(orders)

    @rule(index=st.integers(0, 1))
    def plan(self, index):
        self.book.ledger.apply(Plan(starts=[Start("job-1", index, "n-1")]), self.book.now)

    @rule(index=st.integers(0, 1))
    def preempt(self, index):
        self.book.ledger.apply(Plan(stops=[Stop("job-1", index, "n-1", "job-2")]), self.book.now)

    @rule()
    def record(self):
        self.book.record()

    @rule(fate=st.sampled_from(["answered", "answer lost", "late", "lost"]))
    def send(self, fate):
        for machine, session, orders in self.book.ledger.to_send(self.book.now):
            if fate in ("answered", "answer lost") and session == self.session:
                self.token = TOKEN
                self.obey(orders)
            if fate == "late":
                self.flying.append((session, orders))
            report = self.shown() if fate == "answered" else None
            self.book.ledger.sent(machine, orders, report is None, self.book.now)
            if report is not None:
                self.book.ledger.report(report, self.book.now, False)

    @precondition(lambda self: self.flying)
    @rule()
    def land(self):
        session, orders = self.flying.pop(0)
        if session == self.session:
            self.obey(orders)

    @rule(which=st.integers(0, 3))
    def end_of_a_task(self, which):
        running = [key for key, stage in self.tasks.items() if stage == "running"]
        if which < len(running):
            self.tasks[running[which]] = "exited"

    @rule()
    def lease_ends(self):
        self.tasks.clear()
        self.session, self.tally = self.session + 1, 0

    @rule()
    def abort(self):
        self.book.abort()

    @invariant()
    def what_runs_is_booked(self):
        job = self.book.ledger.jobs["job-1"]
        for (task, attempt), stage in self.tasks.items():
            if stage == "running":
                _, index = split_task(task)
                assert index in job.placed and job.placed[index].attempt == attempt, (task, attempt)

    @invariant()
    def a_start_that_can_land_is_booked_or_known_to_the_worker(self):
        job = self.book.ledger.jobs["job-1"]
        for session, orders in self.flying:
            for order in orders:
                key = (order.task, order.attempt)
                if order.verb == "start" and session == self.session and key not in self.tasks:
                    _, index = split_task(order.task)
                    assert index in job.placed and job.placed[index].attempt == order.attempt, key


TestLossyWorker = LossyWorker.TestCase
