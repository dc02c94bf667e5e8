"""Wires the slices into one node."""

import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial
from typing import Any
from uuid import uuid4

import msgspec
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.threads import deferToThreadPool
from twisted.python.threadpool import ThreadPool

from spindleglade.clock import Clock, ReactorClock, seconds, sleep
from spindleglade.fleet.client import CloudClient
from spindleglade.fleet.types import TypeBook
from spindleglade.leader import Leader
from spindleglade.leadership.election import Election, Term
from spindleglade.leadership.links import Forward, LinkDown, Links, Ping, Relay, Siblings
from spindleglade.leadership.monitor import LeadershipMonitor
from spindleglade.leadership.statements import Statements
from spindleglade.settings import OperatorSettings, Platform
from spindleglade.settings.platform import split_address
from spindleglade.sockets import Sockets
from spindleglade.store.client import Condition, Put, StateClient, Unavailable, Unknown, raw
from spindleglade.store.replica import Replica
from spindleglade.submissions.api import UserApi
from spindleglade.submissions.records import JOBS, PREFIX, VOUCHED, JobRecord, job_key
from spindleglade.submissions.views import JobViews
from spindleglade.tasks import keep
from spindleglade.web import Answer, HttpClient, Requester, Turns, site
from spindleglade.workers.api import WorkerApi
from spindleglade.workers.balancer import Load, ReportBalancer, Solitude
from spindleglade.workers.cancellation_bound import CancellationBound
from spindleglade.workers.messages import Report, ReportAnswer, decode_report
from spindleglade.workers.relay import Relays

log = logging.getLogger("spindleglade")


# How often a node on its own tells the leader, through the store, whose leases it renews.
VOUCH_S = 1.5
# How often the shares of the workers' reports are looked at.
BALANCE_EVERY = seconds(0.5)
# How often idle connections are looked for.
TIDY_S = 2.0

Compute = Callable[..., Awaitable[Any]]


def run_node(platform: Platform, settings: OperatorSettings, reactor: Any) -> None:
    """Puts a node on the network; it serves once the reactor runs."""
    clock = ReactorClock(reactor)
    pool = ThreadPool(1, 1, "planning")

    def connect(*handlers: Any) -> Links:
        return Links(reactor, clock, platform.siblings, seconds(settings.leadership.ping_s), *handlers)

    sockets = Sockets(platform.params.machine_limits.sockets)
    node = Node(
        platform,
        settings,
        clock,
        HttpClient(reactor, per_host=8),
        Turns(HttpClient(reactor, per_host=1, sockets=sockets), clock, sockets),
        connect,
        partial(deferToThreadPool, reactor, pool),
    )

    def not_listening(failure: Any, address: str) -> None:
        log.error("cannot listen address=%s reason=%s", address, failure.getErrorMessage())
        reactor.stop()

    # A worker that has not reported for its lease is in another session, or reports elsewhere.
    workers = platform.params.workers
    front = site(node.handle, sockets, clock, workers.lease + workers.report)

    async def tidy() -> None:
        while True:
            await sleep(clock, seconds(TIDY_S))
            closed = front.tidy()
            if closed:
                log.debug("idle connections closed count=%d open=%d", closed, sockets.open)

    def begin() -> None:
        pool.start()
        keep(clock, tidy, "tidying")
        reactor.addSystemEventTrigger("before", "shutdown", pool.stop)
        for address, factory in (
            (platform.client_listen, front),
            (platform.peer_listen, node.links.factory()),
        ):
            host, port = split_address(address)
            # After a restart everybody comes within a second.
            listening = TCP4ServerEndpoint(reactor, port, sockets.limit, host).listen(factory)
            listening.addErrback(not_listening, address)
        node.start()

    reactor.callWhenRunning(begin)


class Node:
    """One controller. What it reaches the world by is handed in, so that tests can stand in for it: `http`
    sends requests to store and cloud, `machines` to the machines, `connect` makes the links to the siblings,
    `compute` runs the planning off this thread."""

    def __init__(
        self,
        platform: Platform,
        settings: OperatorSettings,
        clock: Clock,
        http: Requester,
        machines: Turns,
        connect: Callable[..., Siblings],
        compute: Compute,
    ) -> None:
        self._platform = platform
        self._settings = settings
        self._clock = clock
        self._http = http
        self._machines = machines
        self._compute = compute
        params = platform.params
        self.client = StateClient(
            self._http,
            platform.external.state,
            clock,
            params.state,
            platform.nodes,
            seconds(settings.store.timeout_s),
        )
        self.replica = Replica(
            self.client,
            clock,
            PREFIX,
            seconds(settings.store.watch_s),
            seconds(settings.store.confirm_s),
            lambda: self.client.pace,
        )
        self.views = JobViews()
        self.replica.listen(self.views.listener)
        self.cloud = CloudClient(self._http, platform.external.cloud, clock, params.cloud.rps, seconds(4))
        self.types = TypeBook(
            self.cloud, self.client, self.replica, clock, settings.fleet.types_s, lambda: self.leads
        )
        self.election = Election(
            platform.name,
            self.client,
            self.replica,
            clock,
            seconds(settings.leadership.lease_s),
            self._won,
            self._lost,
            lambda: self._monitor.may_campaign,
        )
        # How long after it was shown to lead by the store a node may take itself for the leader.
        self._proof_lasts = seconds(settings.store.confirm_s + settings.leadership.lease_s)
        self.leader: Leader | None = None
        self.replica.listen(self._job_changed)
        self.views.subscribe(self._dependency_changed)
        # Tells siblings this process from the one before.
        self._process = uuid4().hex
        self._statements = Statements(
            clock,
            [sibling.name for sibling in platform.siblings],
            lambda: self.replica.confirmed,
            self._abort_stated,
        )
        self.links = connect(self._hello, self._relayed, self._forwarded, self._saw, self.election.suspect)
        self.users = UserApi(
            self.client, self.replica, self.views, platform.teams, self.types.shapes, self._forward, clock.utc
        )
        workers = params.workers
        self._balancer = ReportBalancer(clock, workers.report, len(platform.siblings), workers.lease)
        self._monitor = LeadershipMonitor(
            clock, self.election, self, lambda: self.leader, workers.report, self._proof_lasts
        )
        lasts = workers.cancel - workers.lease - seconds(settings.workers.cancel_margin_s)
        self._bound = CancellationBound(clock, lasts, lambda: self.replica.confirmed)
        # The leader knows what it has started, so it may go by its siblings' word as well.
        self._leaders_bound = CancellationBound(clock, lasts, lambda: self._statements.proven)
        self.workers = WorkerApi(
            clock,
            self.views,
            self._bound,
            self._lead,
            lambda: self.leads,
            Relays(clock, seconds(settings.workers.relay_window_s), self._relay).send,
            self.election.saw_token,
            self._balancer,
            Solitude(clock, platform.zone, workers.lease, lambda: self._monitor.cut_off_since),
        )

    @property
    def leads(self) -> bool:
        return self.leader is not None and self.leader.active

    def start(self) -> None:
        self.replica.start()
        self.types.start()
        self.election.start()
        self.links.start()
        keep(self._clock, self._vouch, "vouching")
        keep(self._clock, self._balance, "balancing")
        self._monitor.start()
        log.info("started node=%s zone=%s", self._platform.name, self._platform.zone)

    async def handle(self, method: str, path: str, body: bytes) -> Answer:
        if path == "/v1/report":
            return await self.workers.handle(method, path, body)
        return await self.users.handle(method, path, body)

    # Leadership.

    def _won(self, term: Term) -> None:
        self.leader = Leader(
            term,
            self._platform,
            self._settings,
            self._clock,
            self._compute,
            self._machines,
            self.client,
            self.cloud,
            self.types,
            self.is_proven,
            self._leaders_bound,
            self.election.step_down,
            self.replica,
            self.views,
        )
        self.leader.start()

    def is_proven(self) -> bool:
        """Whether this node has lately been shown that it leads, since what it learns of a later term deposes
        it: by the store, by a sibling that reaches the store, or, in an outage of it, by all siblings.
        Machines that die then are given up without waiting for its end."""
        confirmed = self.replica.confirmed
        if confirmed is not None and self._clock.now() - confirmed <= self._proof_lasts:
            return True
        links = self.links.links
        shown = [link for link in links if link.shown_lately]
        return bool(shown) and (len(shown) == len(links) or any(map(self._serving, shown)))

    def _lost(self, reason: str) -> None:
        if self.leader is not None:
            leader, self.leader = self.leader, None
            leader.end()

    def _job_changed(self, key: str, value: bytes | None, mark: int) -> None:
        if self.leader is not None and key.startswith(VOUCHED) and value is not None:
            self.leader.vouched(msgspec.json.decode(value, type=list[str]))
        if self.leader is not None and key.startswith(JOBS) and value is not None:
            self.leader.job_changed(msgspec.json.decode(value, type=JobRecord), mark)

    def _dependency_changed(self, job: str) -> None:
        if self.leader is not None:
            self.leader.dependency_changed(job)

    def _weigh(self) -> None:
        own = Load(self._platform.name, self._balancer.workers, self.leads)
        others = [
            Load(link.sibling.name, link.state.workers, link.state.leads)
            for link in self.links.links
            if self._serving(link)
        ]
        self._balancer.weigh(own, others)

    async def _vouch(self) -> None:
        """A node that renews leases without the leader, because the two cannot reach each other, tells it so
        through the store. Else the leader would release machines that are only behind a cut."""
        every = seconds(VOUCH_S)
        while True:
            await sleep(self._clock, every)
            now = self._clock.now()
            alone = self.workers.alone
            names = sorted(name for name, at in alone.items() if now - at <= every * 2)
            if not names:
                alone.clear()
                continue
            most = max(1, self.client.limits.value_bytes // (max(map(len, names)) + 3))
            for at in range(0, len(names), most):
                key = f"{VOUCHED}{self._platform.name}/{at // most}"
                # Conditional: a copy of this request that comes late must not vouch for machines once more.
                when = [Condition(key, self.replica.marks.get(key, 0))]
                try:
                    await self.client.txn(when, [Put(key, raw(names[at : at + most]))], urgent=True)
                except (Unavailable, Unknown) as error:
                    log.info("could not vouch reason=%s", error)

    async def _balance(self) -> None:
        """Keeps the siblings' shares of the workers' reports even."""
        while True:
            await sleep(self._clock, BALANCE_EVERY)
            self._weigh()

    def _lead(self, report: Report) -> ReportAnswer | None:
        return self.leader.report(report) if self.leader is not None else None

    # Siblings.

    def _hello(self, turn: int | None) -> Ping:
        confirmed = self.replica.confirmed
        age = None if confirmed is None else int((self._clock.now() - confirmed) / timedelta(milliseconds=1))
        return Ping(
            self._platform.name,
            self.election.highest,
            self.leads,
            age,
            self._balancer.workers,
            self._process,
            self.replica.turn,
            None if turn is None else self.views.aborts_since(turn),
        )

    def _saw(self, ping: Ping, asked: timedelta | None) -> None:
        self.election.saw_token(ping.token)
        self._statements.heard(ping.node, ping.process, ping.aborts, asked)

    def _abort_stated(self, job: str, mark: int) -> None:
        """A sibling has told a user, or may yet, that this job is aborted."""
        view = self.views.jobs.get(job)
        if view is not None and view.record.stage == "open":
            aborted = msgspec.structs.replace(view.record, stage="aborted")
            self.replica.learn(job_key(job), raw(aborted), mark)

    def _serving(self, link: Any) -> bool:
        """Whether the sibling can be asked and has lately reached the store."""
        ping = link.state
        limit = self._settings.store.confirm_s * 3000
        return (
            link.up and ping is not None and ping.unconfirmed_ms is not None and ping.unconfirmed_ms <= limit
        )

    @property
    def has_siblings(self) -> bool:
        """Whether there are other nodes at all."""
        return bool(self._platform.siblings)

    def hears_a_sibling(self) -> bool:
        """Whether the link to some sibling is up."""
        return any(link.up for link in self.links.links)

    def hears_a_serving_sibling(self) -> bool:
        """Whether some sibling can be asked and has lately reached the store."""
        return any(self._serving(link) for link in self.links.links)

    def _leader_link(self) -> Any:
        """The link to the leader. A sibling that says it leads is believed before the replica: a node that
        the store alone refuses learns of no change of leader, and its workers were given up as silent."""
        leading = [
            link for link in self.links.links if link.up and link.state is not None and link.state.leads
        ]
        if leading:
            return max(leading, key=lambda link: link.state.token)
        leader = self.election.leader
        return None if leader is None else self.links.to(leader.node)

    async def _relay(self, reports: list[bytes]) -> list[bytes] | None:
        """Workers' reports to the leader; nothing if there is none to be reached."""
        link = self._leader_link()
        if link is None:
            return None
        try:
            timeout = seconds(self._settings.workers.relay_timeout_s)
            return (await link.ask(lambda number: Relay(number, reports), timeout)).answers
        except LinkDown:
            return None

    def _relayed(self, reports: list[bytes]) -> list[bytes] | None:
        answers = []
        for report in reports:
            if not self.leads:
                return None
            try:
                answers.append(self.workers.lead(decode_report(report)) or b"")
            except msgspec.DecodeError as error:
                log.warning("relayed report dropped reason=%s", error)
                answers.append(b"")
        return answers

    async def _forward(self, method: str, path: str, body: bytes) -> Answer | None:
        """A user's request to a sibling that has lately reached the store. The one last heard comes first:
        one that has just fallen silent is still up, and would cost each request a second."""
        serving = [link for link in self.links.links if self._serving(link)]
        for link in sorted(serving, key=lambda link: link.heard, reverse=True):
            try:
                answer = await link.ask(lambda number: Forward(number, method, path, body), seconds(1))
            except LinkDown:
                continue
            return Answer(answer.status, answer.body, answer.retry_after)
        return None

    async def _forwarded(self, method: str, path: str, body: bytes) -> Answer:
        return await self.users.handle(method, path, body, may_forward=False)
