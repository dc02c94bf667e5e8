"""A whole deployment in one process on a simulated clock: real controllers among fakes, and a network that
loses, delays and repeats. Every rule of the protocol is checked at the moment it could be broken."""

import logging
import random
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from functools import partial
from typing import Any

from spindleglade.runtime.clock import ManualClock
from spindleglade.settings import OperatorSettings
from tests.deployment_config import TYPES, DeploymentConfig
from tests.fakes.cloud import Cloud, Machine
from tests.fakes.state_service import StateService
from tests.invariants.answer_invariants import AnswerInvariants
from tests.invariants.dependency_invariants import DependencyInvariants
from tests.invariants.liveness_invariants import LivenessInvariants
from tests.invariants.placement_invariants import PlacementInvariants
from tests.invariants.service_invariants import ServiceInvariants
from tests.processes import Errors
from tests.simulation.connections import OpenConnections
from tests.simulation.controller_processes import ControllerProcesses
from tests.simulation.endpoints import Endpoints
from tests.simulation.executions import TaskExecutions
from tests.simulation.fault_window import FaultRates, FaultWindow
from tests.simulation.faults import Faults
from tests.simulation.invalid_requests import InvalidRequests
from tests.simulation.job_records import JobRecords
from tests.simulation.machines import SimulatedMachines
from tests.simulation.network import SimulatedNetwork
from tests.simulation.peer_connections import connect_peers
from tests.simulation.users import SimulatedUsers

# Between two checks of all rules.
STEP = timedelta(milliseconds=50)


class SimulatedDeployment:
    """Binds the parts together, runs the clock, and has every rule checked at each step."""

    # What a test that records messages replaces.
    network_type: type[SimulatedNetwork] = SimulatedNetwork

    def __init__(
        self,
        seed: int,
        capacity: int = 5,
        error: float = 0.0,
        settings: OperatorSettings | None = None,
        config: DeploymentConfig | None = None,
        begin: Callable[["SimulatedDeployment"], None] | None = None,
    ) -> None:
        """`begin` sets up what there is when the deployment begins, and starts the controllers that run then;
        without it the deployment is empty and all controllers start at once. `error` is the share of the
        tasks that fail."""
        self.settings = settings or OperatorSettings()
        self.config = config or DeploymentConfig(capacity=capacity)
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        # What broke a rule, and what controllers may log as an error because a test makes it happen.
        self.violations: list[str] = []
        self.expected_errors: tuple[str, ...] = ()
        # How often some things happened, for the tests to see that they did.
        self.counts: Counter[str] = Counter()
        self.fault_window, self.rates = FaultWindow(self.clock), FaultRates()
        self.jobs = JobRecords()
        self._highest_token = 0
        self._add_services()
        self._add_network()
        self._add_checks_of_jobs()
        self._add_processes(error)
        self._add_users()
        self.faults = self._make_faults()
        self.liveness = LivenessInvariants(self)
        self.service = ServiceInvariants(self)
        if begin is not None:
            begin(self)
        else:
            for index in range(self.config.controllers):
                self.processes.start(index)

    def _add_services(self) -> None:
        config = self.config
        self.state = StateService(self.clock, config.value_kb, config.txn_ops, config.rps, config.write_rps)
        self.cloud = Cloud(
            self.clock,
            self.rng,
            [kind | {"vcpus": config.machine_cpus} for kind in TYPES],
            config.capacity,
            self._on_machine_booted,
            self._on_machine_terminated,
        )

    def _add_network(self) -> None:
        names = [f"node-{index}" for index in range(self.config.controllers)]
        self.endpoints = Endpoints(self.state, self.cloud, names)
        self.network = self.network_type(
            self.clock,
            self.rng,
            self.config,
            self.endpoints,
            self.rates,
            self.fault_window,
            self.counts,
        )
        self.connections = OpenConnections(self.endpoints)

    def _add_checks_of_jobs(self) -> None:
        self.placement = PlacementInvariants(
            self.clock, self.config, self.jobs, self.endpoints.workers, self.violations
        )
        self.executions = TaskExecutions(self.clock, self.jobs, self.endpoints.workers, self.placement)
        self.dependencies = DependencyInvariants(
            self.clock, self.jobs, self.executions, self.state, self.violations
        )
        self._answers = AnswerInvariants(
            self.clock,
            self.fault_window,
            self.jobs,
            self.executions.is_complete,
            self.dependencies,
            self.violations,
        )

    def _add_processes(self, error: float) -> None:
        self.machines = SimulatedMachines(
            self.clock,
            self.rng,
            self.config,
            error,
            self.endpoints,
            self.network,
            self.connections,
            self.jobs,
            self.executions,
        )
        self.processes = ControllerProcesses(
            self.clock,
            self.rng,
            self.config,
            self.settings,
            self.endpoints,
            self.network,
            self.connections,
            partial(connect_peers, self),
        )

    def _add_users(self) -> None:
        self.users = SimulatedUsers(
            self.clock,
            self.rng,
            self.rates,
            self.counts,
            self.endpoints,
            self.network,
            self.jobs,
            self._answers,
        )
        self.invalid_requests = InvalidRequests(
            self.clock,
            self.rng,
            self.config,
            self.fault_window,
            self.counts,
            self.jobs,
            self.users,
            self.violations,
        )
        self.executions.start_callbacks.append(self.dependencies.check_start)
        self.executions.start_callbacks.append(lambda job_id, task: self.liveness.on_task_started())
        self.executions.completion_callbacks.append(self.users.cancel_at_end)

    def _make_faults(self) -> Faults:
        return Faults(
            self.clock,
            self.rng,
            self.fault_window,
            self.rates,
            self.counts,
            self.endpoints,
            self.network,
            self.processes,
            self.machines,
            self.jobs,
            self.executions,
            self.placement,
            self.users.cancel,
        )

    def _on_machine_booted(self, machine: Machine) -> None:
        self.machines.start_worker(machine)

    def _on_machine_terminated(self, name: str) -> None:
        self.machines.stop_worker(name)

    @property
    def controller_names(self) -> list[str]:
        """Of all controllers, by their index."""
        return self.endpoints.controller_names

    @property
    def controllers(self) -> dict[str, Any]:
        """Those that run now, by name."""
        return self.endpoints.controllers

    @property
    def workers(self) -> dict[str, Any]:
        """By the machine's name, also those that are gone."""
        return self.endpoints.workers

    def leader(self) -> int | None:
        """The index of the first controller that takes itself for the leader."""
        return self.endpoints.leader()

    def leading_controller(self) -> Any:
        """That controller itself; somebody must lead."""
        leader = self.leader()
        assert leader is not None
        return self.controllers[self.controller_names[leader]]

    def placed_attempts(self) -> list[Any]:
        """All that the leader holds to be on some machine."""
        index = self.leader()
        leader = None if index is None else self.controllers[self.controller_names[index]].leader
        if leader is None:
            return []
        return [one for machine in leader.cluster.machines.values() for one in machine.placed.values()]

    def run(self, length: timedelta, step: timedelta = STEP) -> None:
        """Lets time pass; fails as soon as a rule is broken."""
        end = self.clock.now() + length
        errors = Errors()
        logging.getLogger("spindleglade").addHandler(errors)
        try:
            while self.clock.now() < end:
                self._step(step, errors)
        finally:
            logging.getLogger("spindleglade").removeHandler(errors)

    def _step(self, step: timedelta, errors: Errors) -> None:
        self.clock.advance(step)
        self.violations += [found for found in errors.found if not found.startswith(self.expected_errors)]
        errors.found.clear()
        self.state.expire_leases()
        self._observe_leader()
        for job_id in self.jobs.cancelled_at:
            self.placement.check_cancelled(job_id, self.executions.machines_of)
        self.dependencies.check()
        self.liveness.check()
        self.service.check()
        self._answers.check_answered()
        assert not self.violations, self.violations

    def _observe_leader(self) -> None:
        tokens = [one.leader.term.token for one in self.controllers.values() if one.is_leader]
        if tokens and max(tokens) > self._highest_token:
            self._highest_token = max(tokens)
            self.counts["leaders"] += 1
            self.network.deliver_kept()
