"""A whole deployment in one process on a simulated clock: real controllers, fake services, workers and users,
and a network that loses, delays and repeats messages. The invariants of the protocol are checked as events
occur and after each step of the clock."""

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
from tests.processes import ErrorLogHandler
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

# Simulated time between two checks of all invariants.
STEP = timedelta(milliseconds=50)


class SimulatedDeployment:
    """Wires the parts together, advances the clock and checks all invariants at each step."""

    # Tests that record messages override this with a subclass.
    network_type: type[SimulatedNetwork] = SimulatedNetwork

    def __init__(
        self,
        seed: int,
        capacity: int = 5,
        task_failure_rate: float = 0.0,
        settings: OperatorSettings | None = None,
        config: DeploymentConfig | None = None,
        begin: Callable[["SimulatedDeployment"], None] | None = None,
    ) -> None:
        """`begin` sets up the initial state and starts the initial controllers. Without it the deployment is
        empty and all controllers start at once. `task_failure_rate` is the fraction of tasks that fail."""
        self.settings = settings or OperatorSettings()
        self.config = config or DeploymentConfig(capacity=capacity)
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        # Descriptions of the invariants that were violated.
        self.violations: list[str] = []
        # Prefixes of error messages that the test provokes. Any other logged error is a violation.
        self.expected_errors: tuple[str, ...] = ()
        # How often selected events happened, for tests to assert that they did.
        self.counts: Counter[str] = Counter()
        self.fault_window, self.rates = FaultWindow(self.clock), FaultRates()
        self.jobs = JobRecords()
        self._highest_token = 0
        self._add_services()
        self._add_network()
        self._add_job_invariants()
        self._add_processes(task_failure_rate)
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
            [machine_type | {"vcpus": config.machine_cpus} for machine_type in TYPES],
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

    def _add_job_invariants(self) -> None:
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

    def _add_processes(self, task_failure_rate: float) -> None:
        self.machines = SimulatedMachines(
            self.clock,
            self.rng,
            self.config,
            task_failure_rate,
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
        """The names of all controllers, by index."""
        return self.endpoints.controller_names

    @property
    def controllers(self) -> dict[str, Any]:
        """The running controllers, by name."""
        return self.endpoints.controllers

    @property
    def workers(self) -> dict[str, Any]:
        """All workers ever started, by machine name. Terminated workers stay listed."""
        return self.endpoints.workers

    def leader(self) -> int | None:
        """The index of the first controller that considers itself the leader, or None if none does."""
        return self.endpoints.leader()

    def leading_controller(self) -> Any:
        """The controller that leads. Fails if none does."""
        leader = self.leader()
        assert leader is not None
        return self.controllers[self.controller_names[leader]]

    def placed_attempts(self) -> list[Any]:
        """The attempts that the leader records as placed on machines. Empty without a leader."""
        index = self.leader()
        leader = None if index is None else self.controllers[self.controller_names[index]].leader
        if leader is None:
            return []
        return [
            attempt for machine in leader.cluster.machines.values() for attempt in machine.placed.values()
        ]

    def run(self, length: timedelta, step: timedelta = STEP) -> None:
        """Advances the clock by `length` in steps of `step`. Fails as soon as an invariant is violated."""
        end = self.clock.now() + length
        errors = ErrorLogHandler()
        logging.getLogger("spindleglade").addHandler(errors)
        try:
            while self.clock.now() < end:
                self._step(step, errors)
        finally:
            logging.getLogger("spindleglade").removeHandler(errors)

    def _step(self, step: timedelta, errors: ErrorLogHandler) -> None:
        self.clock.advance(step)
        self.violations += [
            message for message in errors.messages if not message.startswith(self.expected_errors)
        ]
        errors.messages.clear()
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
        tokens = [
            controller.leader.term.token for controller in self.controllers.values() if controller.is_leader
        ]
        if tokens and max(tokens) > self._highest_token:
            self._highest_token = max(tokens)
            self.counts["leaders"] += 1
            self.network.deliver_kept()
