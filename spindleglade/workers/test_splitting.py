"""Values that the state service has come to take no longer: their splitting, told from start to end, and what
of a batch is held up by one that cannot be made smaller."""

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import rule

from spindleglade.clock import ManualClock
from spindleglade.leader import Leader
from spindleglade.settings import OperatorSettings
from spindleglade.settings.platform import NextStateLimits, StateLimits
from spindleglade.submissions.views import JobViews
from spindleglade.workers.attempts import DONE
from spindleglade.workers.messages import split_task
from spindleglade.workers.test_cluster import make_cluster
from spindleglade.workers.test_recorder import ANY_JOB, ANY_MACHINE, FATES, RecordsStory
from tests.world import Deployment, platform

LOWER = NextStateLimits(value_kb=0.45, txn_ops=4)
SPANS = st.tuples(st.integers(0, 99), st.integers(1, 70)).map(lambda at: set(range(at[0], at[0] + at[1])))


class SplittingStory(RecordsStory):
    """The same story with chunks that the limits to come are too small for. They fall at any moment. After
    every single change of the store a next leader and the followers, in whichever order they read the keys,
    know every placement, every attempt number and every end that was acted on."""

    SIZES = {"job-1": 100, "job-2": 40}
    CHUNK = 64
    LIMITS = StateLimits(1e4, 1e4, 16.0, 12, LOWER)
    AT_ONCE = 100

    def __init__(self):
        self.views, self.followed, self.cleared = JobViews(), 0, set()
        super().__init__()
        carry = self.service._write

        def write(writes):
            carry(writes)
            self.nothing_is_lost()

        self.service._write = write

    @rule(job=ANY_JOB, indices=SPANS, to=ANY_MACHINE, fates=FATES)
    def place(self, job, indices, to, fates):
        super().place(job, indices, to, fates)

    @rule(machine=ANY_MACHINE, fates=FATES, most=st.integers(1, 70))
    def tasks_end(self, machine, fates, most):
        super().tasks_end(machine, fates, most)

    @rule(machine=ANY_MACHINE)
    def report(self, machine):
        before = dict(self.machines[machine])
        super().report(machine)
        for key, how in before.items():
            if how == ("exited", "done") and key not in self.machines[machine]:
                self.cleared.add(key[0])

    @rule(chance=st.integers(0, 2))
    def limits_fall(self, chance):
        if chance == 0:
            self.service.lower_limits(LOWER.value_kb, LOWER.txn_ops)

    def read(self, entries):
        """The cluster of a leader that would take over now."""
        leader = Leader(None, platform(0, Deployment()), OperatorSettings(), ManualClock(), *[None] * 8)
        cluster = make_cluster()
        leader._read(cluster, entries, self.clock.now())
        return cluster

    def follow(self):
        changes = [change for change in self.service.log if change["mark"] > self.followed]
        self.followed = self.service.turn
        for change in changes:
            value = None if "remove" in change else msgspec.json.encode(change["v"])
            self.views.listener(change.get("set") or change["remove"], value, change["mark"])

    def nothing_is_lost(self):
        self.follow()
        entries = self.entries()
        late_views = JobViews()
        for entry in reversed(entries):
            late_views.listener(entry.key, bytes(entry.value), entry.mark)
        cluster = self.read(entries[::-1])
        for job in cluster.jobs.values():
            for views in (self.views, late_views):
                if job.open:
                    view = views.jobs[job.id]
                    assert (view.done_count, view.running) == (job.done, len(job.placed))
            if not job.open:
                continue
            for task, attempt in self.given:
                name, index = split_task(task)
                if name == job.id:
                    assert job.state[index] == DONE or job.attempts.get(index, 0) >= attempt, task
            for task in self.cleared:
                name, index = split_task(task)
                assert name != job.id or job.state[index] == DONE, task
        self.placements_are_known(cluster)

    def placements_are_known(self, cluster):
        for machine, there in self.machines.items():
            for (task, attempt), how in there.items():
                name, index = split_task(task)
                if how == ("running",) and name in cluster.jobs:
                    placed = cluster.jobs[name].placed.get(index)
                    assert placed is not None and (placed.attempt, placed.machine) == (attempt, machine)
                    if not cluster.jobs[name].open:
                        assert self.views.may_get_aborted(machine, placed.session)


TestSplittingStory = SplittingStory.TestCase
TestSplittingStory.settings = settings(max_examples=150, stateful_step_count=40)
