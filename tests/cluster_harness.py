"""A cluster state for unit tests, and a harness that feeds it heartbeats, plans and commits."""

from datetime import timedelta

from spindleglade.backfill.distributions import Bins, Predictor
from spindleglade.backfill.plan import Placement, Plan
from spindleglade.runtime.clock import seconds
from spindleglade.settings import Team
from spindleglade.submissions.messages import Submission
from spindleglade.submissions.records import JobRecord
from spindleglade.workers.cluster_state import ClusterState
from spindleglade.workers.command_selection import DeliveryOutcome
from spindleglade.workers.machines import MachineTypeCapacity
from spindleglade.workers.messages import Command, Heartbeat, TaskStatus
from spindleglade.workers.policy import WorkerPolicy

TOKEN = 7
POLICY = WorkerPolicy(seconds(10), seconds(1), 2, seconds(5), seconds(60))
START = [Command("start", "job-1/0", 1)]


def spec(id="job-1", tasks=2, **fields):
    values = {
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
    return Submission(**values)


def make_cluster():
    bins = Bins(seconds(1), 1.8)
    return ClusterState(
        TOKEN,
        POLICY,
        {"t": Team("t", 4.0, 8.0)},
        {"m": MachineTypeCapacity(8.0, 0.0, 32.0, 50.0, 1.0)},
        Predictor(bins, 3, 100),
        timedelta(0),
    )


class Harness:
    """A cluster with methods that feed it. job-1 has two tasks, and all machines are of type "m"."""

    def __init__(self):
        self.cluster = make_cluster()
        self.now = seconds(100)
        self.sequence = 0
        # The token of the latest response to a heartbeat.
        self.response_token = None
        self.cluster.observe_job(JobRecord("open", spec(), 1), 1)

    def send_heartbeat(
        self, *tasks, token=TOKEN, incarnation=1, renews_lease=True, machine="n-1", sequence=None
    ):
        """Delivers a heartbeat that lists these tasks, and returns the commands of the response."""
        self.sequence += 1
        heartbeat = Heartbeat(
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
        response = self.cluster.on_heartbeat(heartbeat, self.now, renews_lease)
        if response is None:
            return None
        self.response_token = response.token
        return response.commands

    def place(self, index=0, machine="n-1"):
        assert self.cluster.apply_plan(Plan(placements=[Placement("job-1", index, machine)]), self.now) == 1

    def commit_writes(self):
        """Commits all pending writes, as the state writer would."""
        for write in self.cluster.collect_writes(99, {}).ranges:
            self.cluster.on_range_committed(write.job, write.first_task, write.version)

    def task_state(self, index=0):
        return self.cluster.jobs["job-1"].task_states[index]

    def direct_commands(self):
        batches = [direct.batch for direct in self.cluster.take_direct_commands()]
        return [command for batch in batches for command in batch.commands]

    def on_commands_sent(self, commands, outcome_unknown):
        outcome = DeliveryOutcome.UNKNOWN if outcome_unknown else DeliveryOutcome.ANSWERED
        self.cluster.on_commands_sent(self.cluster.machines["n-1"], commands, outcome, self.now)

    def cancel(self):
        self.cluster.observe_job(JobRecord("aborted", spec(), 1), 50)

    def with_directly_started_task(self):
        """Has task 0 placed, committed, started by an answered direct message and reported as running."""
        self.send_heartbeat()
        self.place()
        self.commit_writes()
        self.on_commands_sent(self.direct_commands(), outcome_unknown=False)
        self.send_heartbeat(("job-1/0", 1, "running"))
        return self

    def with_running_task(self):
        """Has task 0 placed, committed, started and reported as running. Returns the harness."""
        self.send_heartbeat()
        self.place()
        self.commit_writes()
        assert self.send_heartbeat() == START
        self.send_heartbeat(("job-1/0", 1, "running"))
        return self
