"""The machines of a simulated deployment: each runs a worker that sends its heartbeats over the network."""

from collections.abc import Callable
from random import Random

from spindleglade.runtime.clock import ManualClock, seconds
from tests.deployment_config import TYPES, DeploymentConfig
from tests.fakes.cloud import Machine
from tests.fakes.encoding import Reply
from tests.fakes.worker import Worker
from tests.simulation.connections import OpenConnections
from tests.simulation.endpoints import Endpoints
from tests.simulation.executions import TaskExecutions
from tests.simulation.job_records import JobRecords
from tests.simulation.network import HEARTBEAT_PATH, SimulatedNetwork

# How long a worker waits for the answer to a heartbeat, and how long a refused connection takes to fail.
HEARTBEAT_TIMEOUT = seconds(4)
REFUSAL_DELAY = seconds(0.001)
# The shortest and the longest run time of a task as shares of its job's `run_s`, unless that is a list with
# the run time of each task.
RUN_TIME_SPREAD = (0.5, 1.5)


class SimulatedMachines:
    """Starts a worker on each machine that has booted, and stops it when the machine is terminated."""

    def __init__(
        self,
        clock: ManualClock,
        rng: Random,
        config: DeploymentConfig,
        task_failure_rate: float,
        endpoints: Endpoints,
        network: SimulatedNetwork,
        connections: OpenConnections,
        jobs: JobRecords,
        executions: TaskExecutions,
    ) -> None:
        """`task_failure_rate` is the share of task attempts that fail."""
        self._clock, self._rng, self._config, self._task_failure_rate = clock, rng, config, task_failure_rate
        self._endpoints, self._network, self._connections = endpoints, network, connections
        self._jobs, self._executions = jobs, executions

    def start_worker(self, machine: Machine) -> None:
        """Starts a worker on a machine that has booted."""

        def send(controller: str, body: bytes, on_reply: Callable[[Reply | None], None]) -> None:
            self._send_heartbeat(machine, controller, body, on_reply)

        self._endpoints.workers[machine.name] = Worker(
            self._clock,
            self._rng,
            machine,
            TYPES[0] | {"vcpus": self._config.machine_cpus},
            self._config.heartbeat_interval,
            self._config.lease,
            self._jobs.descriptions,
            self._endpoints.controller_names,
            send,
            self._executions.on_task_started,
            self._executions.on_task_ended,
            self._run_time_s,
            self._task_failure_rate,
        )

    def stop_worker(self, name: str) -> None:
        """Stops the worker of a terminated machine, if one was started."""
        if name in self._endpoints.workers:
            self._endpoints.workers[name].terminate()

    def _send_heartbeat(
        self, machine: Machine, controller: str, body: bytes, on_reply: Callable[[Reply | None], None]
    ) -> None:
        replied = False

        def reply_once(answer: Reply | None) -> None:
            nonlocal replied
            if not replied:
                replied = True
                on_reply(answer)

        self._connections.connect_worker(machine.address, controller)
        if self._network.refuses(controller):
            self._clock.later(REFUSAL_DELAY, reply_once, None)
            return
        self._network.carry(machine.address, controller, "POST", HEARTBEAT_PATH, body, reply_once)
        self._clock.later(HEARTBEAT_TIMEOUT, reply_once, None)

    def _run_time_s(self, task: str) -> float:
        run_s = self._jobs.description_of_task(task)["run_s"]
        if isinstance(run_s, list):
            return run_s[int(task.rpartition("/")[2])]
        return run_s * self._rng.uniform(*RUN_TIME_SPREAD)
