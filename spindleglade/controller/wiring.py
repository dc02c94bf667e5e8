"""Creates a controller with its HTTP clients, planning thread and listening ports."""

import logging
from functools import partial
from typing import Any

from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.threads import deferToThreadPool
from twisted.python.threadpool import ThreadPool

from spindleglade.controller.controller import Controller
from spindleglade.http.client import HttpClient
from spindleglade.http.concurrency import ConcurrencyLimiter
from spindleglade.http.connection_budget import ConnectionBudget
from spindleglade.http.server import http_server
from spindleglade.leadership.peer_handlers import PeerHandlers
from spindleglade.leadership.peer_network import PeerNetwork
from spindleglade.runtime.background import run_forever
from spindleglade.runtime.clock import Clock, ReactorClock, seconds, sleep
from spindleglade.settings import OperatorSettings, Platform
from spindleglade.settings.platform import split_address

log = logging.getLogger("spindleglade")

# The number of persistent connections to the store and to the cloud, each.
CONNECTIONS_PER_SERVICE = 8
# The number of persistent connections to each machine.
CONNECTIONS_PER_MACHINE = 1
# The time between two searches for idle connections to close.
IDLE_CONNECTION_CHECK_INTERVAL = seconds(2.0)


def run_controller(platform: Platform, settings: OperatorSettings, reactor: Any) -> None:
    """Creates a controller that starts to serve when the reactor runs."""
    clock = ReactorClock(reactor)
    planning_thread = ThreadPool(1, 1, "planning")
    sockets = ConnectionBudget(platform.params.machine_limits.sockets)

    def connect(*handlers: Any) -> PeerNetwork:
        # The arguments are the fields of PeerHandlers, in the order in which all versions' controllers pass
        # them.
        return PeerNetwork(
            reactor, clock, platform.peers, seconds(settings.leadership.ping_s), PeerHandlers(*handlers)
        )

    controller = Controller(
        platform,
        settings,
        clock,
        HttpClient(reactor, connections_per_host=CONNECTIONS_PER_SERVICE),
        ConcurrencyLimiter(HttpClient(reactor, CONNECTIONS_PER_MACHINE, sockets), clock, sockets),
        connect,
        partial(deferToThreadPool, reactor, planning_thread),
    )
    # A worker whose connection is idle for longer than its lease runs as another incarnation, or sends its
    # heartbeats to a peer.
    workers = platform.params.workers
    server = http_server(controller.handle, sockets, clock, workers.lease + workers.heartbeat_interval)

    def start() -> None:
        planning_thread.start()
        run_forever(
            clock, partial(_close_idle_connections, clock, server, sockets), "closing idle connections"
        )
        reactor.addSystemEventTrigger("before", "shutdown", planning_thread.stop)
        _listen(reactor, platform.client_listen, server, sockets.limit)
        _listen(reactor, platform.peer_listen, controller.peers.server_factory(), sockets.limit)
        controller.start()

    reactor.callWhenRunning(start)


def _listen(reactor: Any, address: str, factory: Any, backlog: int) -> None:
    """Listens at `address`, which is `host:port`. A failure stops the reactor and thereby the process.

    `backlog` is the number of connections that may wait to be accepted. It must suffice for all workers,
    which connect within a second after a restart.
    """

    def on_failed(failure: Any) -> None:
        log.error("cannot listen address=%s reason=%s", address, failure.getErrorMessage())
        reactor.stop()

    host, port = split_address(address)
    TCP4ServerEndpoint(reactor, port, backlog, host).listen(factory).addErrback(on_failed)


async def _close_idle_connections(clock: Clock, server: Any, sockets: ConnectionBudget) -> None:
    """Closes idle connections periodically."""
    while True:
        await sleep(clock, IDLE_CONNECTION_CHECK_INTERVAL)
        closed = server.close_idle()
        if closed:
            log.debug("idle connections closed count=%d open=%d", closed, sockets.open_connections)
