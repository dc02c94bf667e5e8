"""The environment of one controller process in a simulated deployment: its clock and its HTTP client."""

import logging
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from spindleglade.runtime.clock import ManualClock, seconds
from tests.fakes.encoding import Reply
from tests.versions import Version

if TYPE_CHECKING:
    from tests.simulation.connections import OpenConnections
    from tests.simulation.network import SimulatedNetwork

# Names of the services in the simulated network, by address. Machines are named by their addresses.
SERVICE_NAMES = {"10.2.0.1:1": "state", "10.2.0.2:1": "cloud"}
MACHINE_PREFIX = "n-"


class ErrorLogHandler(logging.Handler):
    """Collects the error messages that controllers log. They mean that a coroutine or listener failed, which
    no injected fault may cause."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.messages: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        # Garbage collection closes the unfinished coroutines of an earlier deployment, maybe during this one.
        if "cannot reuse already awaited coroutine" not in record.getMessage():
            self.messages.append(record.getMessage())


class ProcessClock:
    """The clock of one process. Timers do not run once the process is killed, and wait while it is frozen."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self._started_at = clock.now()
        self.alive = True
        # The time of the deployment until which the process is frozen.
        self.frozen_until = timedelta(0)

    def now(self) -> timedelta:
        return self._clock.now() - self._started_at

    def utc(self) -> Any:
        return self._clock.utc()

    def later(self, delay: timedelta, call: Any, *args: Any) -> Any:
        def run_call() -> None:
            if not self.alive:
                return
            remaining = self.frozen_until - self._clock.now()
            if remaining > timedelta(0):
                self._clock.later(remaining, run_call)
            else:
                call(*args)

        return self._clock.later(delay, run_call)


class SimulatedHttpClient:
    """The HTTP client of one process. Responses and errors are of the types of the process's version."""

    def __init__(
        self,
        network: "SimulatedNetwork",
        connections: "OpenConnections",
        name: str,
        clock: ProcessClock,
        version: Version,
    ) -> None:
        self._network, self._connections = network, connections
        self._name, self._clock = name, clock
        self._no_response = version.member("http.errors", "NoResponseError")
        self._not_sent = version.member("http.errors", "NotSentError")
        self._response = version.member("http.client", "ClientResponse")

    async def request(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes | None = None,
        timeout: timedelta | None = None,
    ) -> Any:
        response: Deferred[Any] = Deferred()

        def on_reply(answer: Reply | None) -> None:
            if self._clock.alive and not response.called:
                if answer is None:
                    response.errback(self._no_response("connection lost"))
                else:
                    response.callback(self._response(*answer))

        def on_timeout() -> None:
            if not response.called:
                response.errback(self._no_response("timed out"))

        target = SERVICE_NAMES.get(address, address)
        if self._network.refuses(target):
            raise self._not_sent("connection refused")
        # A restarted process has a new budget: close the connection in the budget that it was opened in.
        budget = self._connections.budgets[self._name]
        is_machine = target.startswith(MACHINE_PREFIX)
        if is_machine:
            self._connections.on_opened(self._name)
        self._network.carry(self._name, target, method, path, body or b"", on_reply)
        timer = self._clock.later(timeout or seconds(5), on_timeout)
        try:
            return await response
        finally:
            if is_machine:
                budget.on_closed()
            if timer.active():
                timer.cancel()

    def close_idle_connections(self) -> None:
        """Does nothing, since no idle connections are kept."""

    # The version in production calls it by this name.
    let_go = close_idle_connections
