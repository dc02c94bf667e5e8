"""Task failures: the quarantine of machines, and the pausing and probing of jobs."""

import pytest

from spindleglade.backfill.plan import Placement, Plan
from spindleglade.runtime.clock import seconds
from spindleglade.submissions.records import JobRecord, StoredAttempt, TaskRangeRecord
from tests.cluster_harness import POLICY, Harness, make_cluster, spec


def test_failures_of_several_jobs_quarantine_a_machine_and_of_one_job_do_not():
    harness = Harness()
    for number in (2, 3):
        harness.cluster.observe_job(JobRecord("open", spec(f"job-{number}", 1), 1), number)
    harness.send_heartbeat()
    harness.send_heartbeat(machine="n-2")

    def fail(job, machine):
        index = harness.cluster.jobs[job].waiting_tasks(1)[0]
        assert harness.cluster.apply_plan(Plan(placements=[Placement(job, index, machine)]), harness.now) == 1
        attempt = harness.cluster.jobs[job].placed[index].attempt
        harness.commit_writes()
        harness.send_heartbeat(machine=machine)
        harness.send_heartbeat((f"{job}/{index}", attempt, "exited", "error"), machine=machine)

    fail("job-1", "n-1")
    fail("job-1", "n-2")
    # The same job failed on both machines: it is paused, and neither machine is quarantined.
    assert harness.cluster.jobs["job-1"].paused_until > harness.now
    assert not harness.cluster.machines["n-1"].failed_jobs and not harness.cluster.machines["n-2"].failed_jobs
    fail("job-2", "n-1")
    fail("job-3", "n-1")
    assert harness.cluster.machines["n-1"].quarantined and harness.cluster.jobs["job-1"].is_open


def test_a_machine_leaves_quarantine_once_a_job_that_failed_on_it_fails_elsewhere():
    harness = Harness()
    harness.cluster.observe_job(JobRecord("open", spec("job-2", 2), 1), 2)
    for name in ("n-1", "n-2", "n-3"):
        harness.send_heartbeat(machine=name)

    def fail(job, machine):
        place_and_start(harness, job, [machine])
        report_all(harness, job, "error")

    fail("job-1", "n-1")
    fail("job-2", "n-1")
    assert harness.cluster.machines["n-1"].quarantined
    fail("job-2", "n-2")
    assert not harness.cluster.machines["n-1"].quarantined and harness.cluster.machines[
        "n-1"
    ].failed_jobs == {"job-1"}


def place_and_start(harness, job, machines):
    """Places a waiting task of the job on each of the machines and sends its start."""
    for machine in machines:
        harness.send_heartbeat(machine=machine)
    waiting = harness.cluster.jobs[job].waiting_tasks(len(machines))
    starts = [Placement(job, index, machine) for index, machine in zip(waiting, machines, strict=True)]
    assert harness.cluster.apply_plan(Plan(placements=starts), harness.now) == len(starts)
    harness.commit_writes()
    for machine in machines:
        harness.send_heartbeat(machine=machine)


def report_all(harness, job, *status):
    """Sends heartbeats that list all placed tasks of the job: as running, or as exited for this cause."""
    by_machine = {}
    for attempt in harness.cluster.jobs[job].placed.values():
        by_machine.setdefault(attempt.machine, []).append((attempt.task, attempt.attempt))
    for machine, tasks in by_machine.items():
        state = status if status[0] == "running" else ("exited", *status)
        harness.send_heartbeat(*[(task, attempt, *state) for task, attempt in tasks], machine=machine)


class SimulatedMachines:
    """Three machines that execute commands and list all their tasks, and jobs that run there."""

    def __init__(self):
        self.harness = Harness()
        self.cluster = self.harness.cluster
        self.tasks = {name: {} for name in ("n-1", "n-2", "n-3")}
        self.revision = 1
        for name in self.tasks:
            self.send_heartbeat(name)

    def send_heartbeat(self, machine="n-1"):
        """Sends the list of all tasks on the machine, and executes the commands of the response."""
        tasks = self.tasks[machine]
        statuses = [(task, attempt, *state) for (task, attempt), state in tasks.items()]
        for command in self.harness.send_heartbeat(*statuses, machine=machine):
            key = (command.task, command.attempt)
            if command.operation == "start":
                tasks[key] = ("running",)
            elif command.operation == "clear":
                tasks.pop(key, None)

    def observe(self, job, state):
        self.revision += 1
        self.cluster.observe_job(JobRecord(state, spec(job, 9), 9), self.revision)

    def try_start(self, job, machine="n-1"):
        """Has a plan start a task of the job on the machine. Returns whether the machine may be used."""
        if job not in self.cluster.jobs:
            self.observe(job, "open")
        index = self.cluster.jobs[job].waiting_tasks(1)[0]
        placed = self.cluster.apply_plan(Plan(placements=[Placement(job, index, machine)]), self.harness.now)
        self.harness.commit_writes()
        self.send_heartbeat(machine)
        self.send_heartbeat(machine)
        return placed == 1

    def start(self, job, machine="n-1"):
        assert self.try_start(job, machine)

    def end(self, job, cause, machine="n-1"):
        """Ends a running task of the job on the machine for this cause, and reports it."""
        tasks = self.tasks[machine]
        running = next(
            key for key, state in tasks.items() if key[0].startswith(f"{job}/") and state == ("running",)
        )
        tasks[running] = ("exited", cause)
        self.send_heartbeat(machine)
        self.harness.commit_writes()
        self.send_heartbeat(machine)

    def fail(self, job, machine="n-1"):
        self.start(job, machine)
        self.end(job, "error", machine)

    def cancel(self, job):
        self.observe(job, "aborted")

    def is_quarantined(self):
        return self.cluster.machines["n-1"].quarantined


def test_a_machine_leaves_quarantine_once_the_jobs_that_failed_there_are_cancelled():
    """Guards against work that waits for a sound machine where only cancelled jobs failed (review case 6)."""
    machines = SimulatedMachines()
    machines.start("job-8")
    machines.fail("job-2")
    machines.fail("job-3")
    assert machines.is_quarantined() and not machines.try_start("job-9")
    machines.cancel("job-2")
    assert machines.is_quarantined()
    machines.cancel("job-3")
    assert not machines.is_quarantined() and machines.try_start("job-9")


def test_a_machine_stays_in_quarantine_while_another_failure_there_is_unexplained():
    """Guards against a faulty machine that is used again since some jobs that failed there are cancelled."""
    machines = SimulatedMachines()
    jobs = ("job-2", "job-3", "job-4")
    for job in jobs:
        machines.start(job)
    for job in jobs:
        machines.end(job, "error")
    machines.cancel("job-2")
    machines.cancel("job-3")
    # job-4 is done on another machine, which shows that this one is at fault.
    machines.start("job-4", "n-2")
    machines.end("job-4", "done", "n-2")
    assert machines.is_quarantined() and not machines.try_start("job-9")


def test_a_machine_whose_failures_were_cancelled_is_quarantined_by_the_next_failure():
    """Guards against a faulty machine that fails job after job, each of which its user cancels."""
    machines = SimulatedMachines()
    for number in range(2, 7):
        machines.fail(f"job-{number}")
        assert machines.is_quarantined() == (number > 2)
        machines.cancel(f"job-{number}")
        assert not machines.is_quarantined()
    machines.fail("job-7")
    assert machines.is_quarantined() and not machines.try_start("job-9")


def test_a_task_done_on_a_machine_ends_its_probation():
    """Guards against a sound machine that is quarantined by each single failure from then on."""
    machines = SimulatedMachines()
    machines.start("job-4")
    machines.fail("job-2")
    machines.fail("job-3")
    machines.cancel("job-2")
    machines.cancel("job-3")
    machines.end("job-4", "done")
    machines.fail("job-5")
    assert not machines.is_quarantined() and machines.try_start("job-9")


def test_a_machine_quarantined_on_probation_is_used_again_once_the_job_fails_elsewhere():
    """Guards against a sound machine that stays out of use because of a job that fails on every machine."""
    machines = SimulatedMachines()
    machines.fail("job-2")
    machines.cancel("job-2")
    machines.fail("job-3")
    assert machines.is_quarantined()
    machines.fail("job-3", "n-2")
    assert not machines.is_quarantined() and machines.try_start("job-9")


def test_a_task_that_fails_after_its_job_was_cancelled_does_not_count_against_the_machine():
    """Guards against a quarantine that nothing ends: the cancellations came before the failures."""
    machines = SimulatedMachines()
    for job in ("job-2", "job-3"):
        machines.start(job)
        machines.cancel(job)
    for job in ("job-2", "job-3"):
        machines.end(job, "error")
    assert not machines.is_quarantined() and machines.try_start("job-9")


def test_a_machine_leaves_quarantine_once_all_jobs_that_failed_there_have_a_task_done_there():
    """Guards against a quarantine that nothing ends because none of its failures counts any more."""
    machines = SimulatedMachines()
    for job in ("job-2", "job-3"):
        machines.start(job)
        machines.start(job)
    for job in ("job-2", "job-3"):
        machines.end(job, "error")
    machines.end("job-2", "done")
    assert machines.is_quarantined()
    machines.end("job-3", "done")
    assert not machines.is_quarantined() and machines.try_start("job-9")


def test_a_job_avoids_a_machine_where_it_failed_for_a_limited_time():
    """Guards against a job that waits for good for a machine where it failed once."""
    machines = SimulatedMachines()
    harness = machines.harness
    machines.fail("job-2")
    failed_at = harness.now

    def avoided_machines():
        (view,) = [view for view in harness.cluster.snapshot(harness.now).jobs if view.id == "job-2"]
        return view.avoided_machines

    harness.now = failed_at + POLICY.max_backoff - seconds(1)
    assert avoided_machines() == {"n-1"}
    harness.now = failed_at + POLICY.max_backoff
    assert avoided_machines() == set()
    # A second failure there says no more about the job, which is not paused, but it avoids the machine again.
    machines.send_heartbeat()
    machines.fail("job-2")
    assert avoided_machines() == {"n-1"} and harness.cluster.jobs["job-2"].paused_until == seconds(0)


def test_a_job_that_fails_everywhere_is_probed_with_one_task_at_a_time():
    """Otherwise all its tasks would start and fail again at the end of each pause."""
    harness = Harness()
    harness.cluster.observe_job(JobRecord("open", spec("job-2", 6), 1), 2)
    harness.send_heartbeat()
    harness.send_heartbeat(machine="n-2")
    job = harness.cluster.jobs["job-2"]

    def offered_task_counts():
        return [
            len(view.waiting_tasks)
            for view in harness.cluster.snapshot(harness.now).jobs
            if view.id == "job-2"
        ]

    assert offered_task_counts() == [6]
    place_and_start(harness, "job-2", ["n-1", "n-1", "n-2", "n-2"])
    report_all(harness, "job-2", "error")
    assert job.paused_until == harness.now + seconds(5) and offered_task_counts() == []
    harness.now += seconds(5)
    assert offered_task_counts() == [1]
    place_and_start(harness, "job-2", ["n-1"])
    assert offered_task_counts() == []
    report_all(harness, "job-2", "error")
    assert job.paused_until == harness.now + seconds(10)
    harness.now += seconds(10)
    place_and_start(harness, "job-2", ["n-2"])
    report_all(harness, "job-2", "running")
    harness.now += seconds(10.5)
    # The task has run for longer than the pause before it.
    assert offered_task_counts() == [5]
    report_all(harness, "job-2", "done")
    assert offered_task_counts() == [5] and not harness.cluster.machines["n-2"].failed_jobs


def recover_cluster(harness, job):
    """The cluster state that a new leader recovers from the records."""
    cluster = make_cluster()
    cluster.observe_job(JobRecord("open", job.spec, job.range_size), 2)
    for number in range(job.spec.tasks // job.range_size):
        record = job.encode_range(number)
        if record is not None:
            cluster.load_range(job.id, number, record, harness.now)
    cluster.finish_loading()
    return cluster


def waiting_task_count(cluster, job, now):
    return sum(len(view.waiting_tasks) for view in cluster.snapshot(now).jobs if view.id == job)


def test_a_new_leader_continues_to_probe_a_job_that_fails_everywhere():
    """Pauses and probing are not recorded; the new leader infers them from the numbers of the attempts."""
    harness = Harness()
    harness.cluster.observe_job(JobRecord("open", spec("job-2", 6), 1), 2)
    harness.send_heartbeat()
    harness.send_heartbeat(machine="n-2")
    job = harness.cluster.jobs["job-2"]
    for machines in (["n-1", "n-1", "n-2", "n-2"], ["n-1"], ["n-2"]):
        place_and_start(harness, "job-2", machines)
        report_all(harness, "job-2", "error")
        harness.now += seconds(20)
    assert waiting_task_count(recover_cluster(harness, job), "job-2", harness.now) == 1
    # The same applies while the probing task is on a machine. The other tasks follow once it has run.
    place_and_start(harness, "job-2", ["n-1"])
    harness.cluster = cluster = recover_cluster(harness, job)
    assert waiting_task_count(cluster, "job-2", harness.now) == 0
    report_all(harness, "job-2", "running")
    harness.now += seconds(5.5)
    assert waiting_task_count(cluster, "job-2", harness.now) == 5


@pytest.mark.parametrize(
    ("attempt_counts", "placed", "done", "fields"),
    [
        ([1, 1, 1, 1], {}, [], {}),
        ([3, 3, 3, 3], {}, [], {}),
        # The machines were lost repeatedly, with capacity for two tasks at first and then for one.
        ([3, 2, 0, 0], {}, [], {}),
        ([4, 0, 0, 0], {}, [], {}),
        ([4, 1, 1, 0], {3: 1}, [], {}),
        ([4, 1, 1, 0], {}, [3], {}),
        ([4, 1, 1, 1], {}, [], {"checkpoint_s": 5.0}),
        ([4, 1, 1, 1], {}, [], {"kind": "group"}),
    ],
)
def test_a_job_whose_tasks_were_lost_is_not_probed(attempt_counts, placed, done, fields):
    cluster = make_cluster()
    cluster.observe_job(JobRecord("open", spec("job-2", 4, **fields), 4), 2)
    record = TaskRangeRecord(
        [(index, index) for index in done],
        {index: StoredAttempt(attempt, "n-1", 1) for index, attempt in placed.items()},
        {index: attempts for index, attempts in enumerate(attempt_counts) if attempts},
    )
    cluster.load_range("job-2", 0, record, seconds(100))
    cluster.finish_loading()
    assert waiting_task_count(cluster, "job-2", seconds(100)) == 4 - len(placed) - len(done)
    assert cluster.jobs["job-2"].backoff == seconds(0)
