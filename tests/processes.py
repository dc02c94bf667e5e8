"""What surrounds one controller process in a simulated deployment: its clock and its requests."""

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

# The addresses of the services, and what they are called in the network; machines go by their address.
SERVICE_NAMES = {"10.2.0.1:1": "state", "10.2.0.2:1": "cloud"}
MACHINE_PREFIX = "n-"


class Errors(logging.Handler):
    """What the controllers log as an error: some coroutine or listener broke, which no fault may bring
    about."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.found: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        # What a deployment leaves unfinished is closed when it is collected, maybe while another one runs.
        if "cannot reuse already awaited coroutine" not in record.getMessage():
            self.found.append(record.getMessage())


class LifeClock:
    """A process's view of the clock: once it is killed, none of its timers runs any more."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self._began = clock.now()
        self.alive = True
        # Until then it stands still, while time goes on.
        self.frozen = timedelta(0)

    def now(self) -> timedelta:
        return self._clock.now() - self._began

    def utc(self) -> Any:
        return self._clock.utc()

    def later(self, delay: timedelta, call: Any, *args: Any) -> Any:
        def fire() -> None:
            if not self.alive:
                return
            still = self.frozen - self._clock.now()
            if still > timedelta(0):
                self._clock.later(still, fire)
            else:
                call(*args)

        return self._clock.later(delay, fire)


class SimHttp:
    """The outgoing requests of one process, answered in the terms of its version."""

    def __init__(
        self,
        network: "SimulatedNetwork",
        connections: "OpenConnections",
        name: str,
        life: LifeClock,
        version: Version,
    ) -> None:
        self._network, self._connections = network, connections
        self._name, self._life = name, life
        self._no_response = version.named("http.errors", "NoResponseError")
        self._not_sent = version.named("http.errors", "NotSentError")
        self._response = version.named("http.client", "ClientResponse")

    async def request(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes | None = None,
        timeout: timedelta | None = None,
    ) -> Any:
        waiter: Deferred[Any] = Deferred()

        def answered(answer: Reply | None) -> None:
            if self._life.alive and not waiter.called:
                if answer is None:
                    waiter.errback(self._no_response("lost"))
                else:
                    waiter.callback(self._response(*answer))

        def late() -> None:
            if not waiter.called:
                waiter.errback(self._no_response("timed out"))

        target = SERVICE_NAMES.get(address, address)
        if self._network.refuses(target):
            raise self._not_sent("refused")
        # A process that starts anew has another budget.
        budget = self._connections.budgets[self._name]
        is_machine = target.startswith(MACHINE_PREFIX)
        if is_machine:
            self._connections.on_opened(self._name)
        self._network.carry(self._name, target, method, path, body or b"", answered)
        timer = self._life.later(timeout or seconds(5), late)
        try:
            return await waiter
        finally:
            if is_machine:
                budget.on_closed()
            if timer.active():
                timer.cancel()

    def close_idle_connections(self) -> None:
        """Nothing is kept here."""

    # Production has it under another name.
    let_go = close_idle_connections
