"""Liveness: accepted work starts although controllers start late, loops fail or machines are scarce."""

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from spindleglade.controller.recovery import RecordLoader
from spindleglade.fleet.machine_list import MachineListReader
from spindleglade.fleet.scale_in import ScaleIn
from spindleglade.fleet.scale_out import ScaleOut
from spindleglade.runtime.clock import seconds
from spindleglade.store.client import StateClient
from spindleglade.store.errors import NotAppliedError
from spindleglade.workers.cluster_state import ClusterState
from tests.deployment_config import DeploymentConfig
from tests.generated_faults import FAULTS, inject
from tests.invariants.liveness_invariants import LEADS_WITHIN, STARTS_WITHIN
from tests.simulated_deployment import SimulatedDeployment

# Numbers of machines that the cloud can provision.
FLEET_SIZES = (0, 1, 3, 12, 30)
# The maximum time from the start of a run to the start of each controller and of each generated fault.
FIRST_FAULTS_S = 8.0


class InjectedError(Exception):
    """The error that these tests inject."""


def fails_once(method: Callable[..., Any], calls_before: int) -> Callable[..., Any]:
    """Wraps the method so that exactly one call, after `calls_before` successful ones, raises an error."""
    calls = 0

    def wrapped(*args: Any, **kwargs: Any) -> Any:
        nonlocal calls
        calls += 1
        if calls == calls_before + 1:
            raise InjectedError
        return method(*args, **kwargs)

    return wrapped


LOOPS = {
    "record writer": (ClusterState, "collect_writes"),
    "scale-out": (ScaleOut, "run"),
    "scale-in": (ScaleIn, "run"),
    "machine list": (MachineListReader, "apply"),
    "machine types": (ClusterState, "set_machine_types"),
    "planning": (ClusterState, "snapshot"),
    "applying a plan": (ClusterState, "apply_plan"),
    "recovery": (RecordLoader, "load"),
}


@pytest.mark.parametrize("calls_before", [0, 2])
@pytest.mark.parametrize("loop", LOOPS)
def test_a_loop_that_breaks_in_one_pass_goes_on(loop, calls_before, monkeypatch):
    """An error in one pass must not end a loop: without the loops that write records and scale the fleet, the
    leader would keep its lease but start no work."""
    owner, name = LOOPS[loop]
    monkeypatch.setattr(owner, name, fails_once(getattr(owner, name), calls_before))
    deployment = SimulatedDeployment(31)
    deployment.expected_errors = ("",)
    deployment.run(seconds(5))
    jobs = [deployment.users.submit(number, threads=2, run_s=2.0) for number in range(3)]
    for job in jobs:
        deployment.users.poll_until_over(job)
    deployment.run(seconds(40))
    assert {deployment.jobs.observed_states[job] for job in jobs} == {"done"}
    # A job submitted after the idle machines were terminated is served too, on newly provisioned machines.
    deployment.run(seconds(30))
    late = deployment.users.submit(9, threads=2, run_s=2.0)
    deployment.users.poll_until_over(late)
    deployment.run(seconds(40))
    assert deployment.jobs.observed_states[late] == "done"


GUARANTEED = {"name": "red", "cpus": 8.0, "cpus_max": 24.0}
UNGUARANTEED = {"name": "red", "cpus": 0.0, "cpus_max": 24.0}


@pytest.mark.parametrize("team", [GUARANTEED, UNGUARANTEED], ids=["guaranteed", "unguaranteed"])
def test_work_starts_though_no_spot_machine_is_to_be_had(team):
    """While no spot machine is available, on-demand machines must be provisioned within `STARTS_WITHIN`, also
    for a team without guaranteed CPUs. Waiting for spot machines for ten minutes, longer than a whole run
    of the service lasts, or without limit for such a team, would leave the work undone although on-demand
    machines are available."""
    deployment = SimulatedDeployment(32, config=DeploymentConfig(teams=(team,)))
    deployment.cloud.spot_exhausted = True
    deployment.run(seconds(2))
    job = deployment.users.submit(1, threads=2, run_s=2.0, windfall=True, urgency="normal")
    deployment.users.poll_until_over(job)
    deployment.run(STARTS_WITHIN)
    assert deployment.cloud.refused_count
    assert deployment.jobs.observed_states[job] == "done"


@settings(max_examples=60, phases=[Phase.explicit, Phase.generate])
@given(
    st.integers(0, 1 << 30),
    st.sampled_from(FLEET_SIZES),
    FAULTS,
    st.lists(st.floats(0, FIRST_FAULTS_S), min_size=3, max_size=3),
    st.booleans(),
)
def test_faults_in_the_first_seconds_leave_a_service_that_starts_work(seed, size, faults, starts, no_spot):
    """Controllers start in any order, some of them late, while faults occur. After the faults a leader must
    be elected and tasks must start."""

    def begin(deployment: SimulatedDeployment) -> None:
        for index, at in enumerate(starts):
            deployment.clock.later(seconds(at), deployment.processes.start_unless_running, index)

    deployment = SimulatedDeployment(seed, config=DeploymentConfig(capacity=size), begin=begin)
    deployment.cloud.spot_exhausted = no_spot
    latest = max(start_s for _, start_s, _, _, _ in faults)
    for kind, start_s, duration_s, hold, selector in faults:
        deployment.clock.later(
            seconds(start_s * FIRST_FAULTS_S / latest), inject, deployment, kind, duration_s, hold, selector
        )
    for number in range(3):
        deployment.clock.later(seconds(2.0 * number), deployment.users.submit, number)
    deployment.run(seconds(FIRST_FAULTS_S + 1))
    deployment.run(
        max(deployment.fault_window.ends_at - deployment.clock.now(), seconds(0))
        + LEADS_WITHIN
        + STARTS_WITHIN
    )
    assert deployment.jobs.accepted or deployment.jobs.cancel_requested
    if size and not deployment.jobs.cancel_requested:
        assert deployment.executions.started


@pytest.mark.parametrize("loop", ["record writer", "scale-out", "machine list", "planning"])
def test_a_leader_one_of_whose_loops_always_fails_hands_over_to_a_peer(loop, monkeypatch):
    """A leader whose loop fails in every pass must step down: the loop may work in another process."""
    owner, name = LOOPS[loop]
    method = getattr(owner, name)
    deployment = SimulatedDeployment(34)
    deployment.expected_errors = ("loop failed",)
    deployment.run(seconds(5))
    failing_leader = deployment.leading_controller().leader

    def fails_in_failing_leader(self, *args, **kwargs):
        autoscaler = failing_leader.components.autoscaler
        if self in (failing_leader.cluster, autoscaler._scale_out, autoscaler._machine_list):
            raise InjectedError
        return method(self, *args, **kwargs)

    monkeypatch.setattr(owner, name, fails_in_failing_leader)
    job = deployment.users.submit(1, threads=2, run_s=2.0)
    deployment.users.poll_until_over(job)
    deployment.run(seconds(60))
    assert deployment.jobs.observed_states[job] == "done"


def test_leaders_that_all_fail_hand_over_less_and_less_often(monkeypatch):
    """Each of the three controllers steps down once at first, and then after 60, 120 and 240 more seconds."""
    monkeypatch.setattr(ClusterState, "snapshot", fails_always)
    deployment = SimulatedDeployment(35)
    deployment.expected_errors = ("loop failed",)
    deployment.run(seconds(400))
    assert 3 < deployment.counts["leaders"] <= 1 + 3 * 4


def fails_always(*args: Any) -> Any:
    """Fails in every call, whatever the arguments."""
    raise InjectedError


def test_the_log_says_why_nothing_starts_but_not_all_the_time(caplog):
    caplog.set_level("INFO", "spindleglade.leadership")
    deployment = SimulatedDeployment(36, config=DeploymentConfig(capacity=0))
    deployment.run(seconds(2))
    deployment.users.submit(1, threads=2)
    deployment.run(seconds(30))
    lines = [record.getMessage() for record in caplog.records if "nothing started" in record.getMessage()]
    assert 4 <= len(lines) <= 6
    assert "waiting=[no capacity: 1] machines_usable=0 machines_unusable=[]" in lines[0]
    assert "pools_backed_off=" in lines[0] and "leadership_proven=True" in lines[0]


def test_a_job_that_failed_once_is_tried_again_on_its_only_machine():
    """Guards against work that waits for good for a machine where it failed once, though it fits there."""
    deployment = SimulatedDeployment(41, capacity=1)
    deployment.run(seconds(3))
    deployment.users.submit(1, threads=1, run_s=[400.0])
    while not deployment.executions.started:
        deployment.run(seconds(0.5))
    task = deployment.users.submit(2, threads=1, run_s=[5.0]) + "/0"
    while not deployment.executions.running_on.get(task):
        deployment.run(seconds(0.1))
    (worker,) = deployment.workers.values()
    (running,) = [running for running in worker.tasks.values() if running.name == task]
    worker._exit(running, "error")
    deployment.run(seconds(90))
    assert deployment.executions.start_counts[task] == 2 and task in deployment.executions.completed


def test_a_leader_that_cannot_read_the_records_steps_down(monkeypatch):
    """The leader must not keep its lease while all its reads of the records fail: no peer could lead then."""
    deployment = SimulatedDeployment(37)
    read_all = StateClient.read_all
    first_client = []

    async def fails_for_the_first(self, prefix):
        leading = [
            controller for controller in deployment.controllers.values() if controller.leader is not None
        ]
        if leading and not first_client:
            first_client.append(leading[0].client)
        if first_client and self is first_client[0]:
            raise NotAppliedError("reads of this controller fail")
        return await read_all(self, prefix)

    monkeypatch.setattr(StateClient, "read_all", fails_for_the_first)
    deployment.expected_errors = ("",)
    deployment.fault_window.extend(seconds(45))
    deployment.run(seconds(60))
    assert first_client and deployment.leader() is not None
    assert deployment.leading_controller().client is not first_client[0]
