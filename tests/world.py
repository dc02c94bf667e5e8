"""A whole deployment in one process on a simulated clock: real nodes among stand-ins, and a network that
loses, holds back and repeats. Every rule of the protocol is checked at the moment it could be broken."""

import random
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import msgspec
from twisted.internet.defer import Deferred

from spindleglade.app import Node
from spindleglade.clock import ManualClock, seconds
from spindleglade.leadership.links import Forward, Forwarded, LinkDown, Ping, Relay, Relayed
from spindleglade.settings import OperatorSettings, Platform
from spindleglade.settings.platform import Sibling
from spindleglade.sockets import Sockets
from spindleglade.tasks import spawn
from spindleglade.web import NoAnswer, NotSent, Response, Turns
from tests.standins import Cloud, Machine, Reply, StateService, Worker, decode, encode

CANCEL = seconds(20)
TYPES = [
    {
        "name": "m8",
        "vcpus": 8.0,
        "accelerators": 0.0,
        "mem_gb": 32.0,
        "local_gb": 50.0,
        "pull_gb_per_s": 1.0,
        "rate": 1.0,
        "spot_price": 0.3,
        "ready_s": 4.0,
        "glades": ["a", "b"],
    }
]
TEAMS = [
    {"name": "red", "cpus": 8.0, "cpus_max": 24.0},
    {"name": "blue", "cpus": 8.0, "cpus_max": 16.0},
]


@dataclass(frozen=True)
class Deployment:
    """What a world is like."""

    nodes: int = 3
    # Machines that the cloud has.
    capacity: int = 5
    report: timedelta = seconds(1)
    lease: timedelta = seconds(6)
    teams: tuple[dict, ...] = tuple(TEAMS)
    rps: float = 300.0
    write_rps: float = 100.0
    cloud_rps: float = 5.0
    sockets: int = 1024


def platform(index: int, at: Deployment) -> Platform:
    names = [f"node-{number}" for number in range(at.nodes)]
    return msgspec.convert(
        {
            "node": names[index],
            "zone": "ab"[index % 2],
            "client_listen": f"10.0.0.{index}:1",
            "peer_bind": f"10.0.0.{index}:2",
            "siblings": [
                {"node": name, "zone": "a", "endpoint": f"10.0.0.{number}:2"}
                for number, name in enumerate(names)
                if number != index
            ],
            "external": {"cloud": "10.2.0.2:1", "state": "10.2.0.1:1"},
            "params": {
                "zones": ["a", "b"],
                "teams": list(at.teams),
                "workers": {
                    "report_s": at.report.total_seconds(),
                    "lease_s": at.lease.total_seconds(),
                    "cancel_s": CANCEL.total_seconds(),
                },
                "state": {"rps": at.rps, "write_rps": at.write_rps, "value_kb": 16.0, "txn_ops": 12},
                "cloud": {"rps": at.cloud_rps, "list_lag_s": 1.0},
                "machine_limits": {"sockets": at.sockets},
            },
        },
        Platform,
    )


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
    """The outgoing requests of one process."""

    def __init__(self, world: "World", name: str, life: LifeClock) -> None:
        self._world, self._name, self._life = world, name, life

    async def request(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes | None = None,
        timeout: timedelta | None = None,
    ) -> Response:
        waiter: Deferred[Response] = Deferred()

        def answered(answer: Reply | None) -> None:
            if self._life.alive and not waiter.called:
                if answer is None:
                    waiter.errback(NoAnswer("lost"))
                else:
                    waiter.callback(Response(*answer))

        def late() -> None:
            if not waiter.called:
                waiter.errback(NoAnswer("timed out"))

        target = self._world.names.get(address, address)
        if self._world.refuses(self._name, target):
            raise NotSent("refused")
        sockets = self._world.sockets[self._name]
        if target.startswith("n-"):
            self._world.opened(sockets)
        self._world.carry(self._name, target, method, path, body or b"", answered)
        timer = self._life.later(timeout or seconds(5), late)
        try:
            return await waiter
        finally:
            if target.startswith("n-"):
                sockets.closed()
            if timer.active():
                timer.cancel()

    def let_go(self) -> None:
        """Nothing is kept here."""


class SimLink:
    def __init__(self, world: "World", own: str, other: str) -> None:
        self._world, self._own, self.other = world, own, other
        self.state: Ping | None = None
        self.sibling = Sibling(other, "a", "10.0.0.0:2")
        # When the sibling was last heard, by this node's clock, which goes on while the node stands still.
        self.heard: timedelta | None = None
        self.shown: timedelta | None = None

    @property
    def linked(self) -> bool:
        return self.other in self._world.nodes and not self._world.is_cut(self._own, self.other)

    @property
    def up(self) -> bool:
        return self.linked and self._lately(self.heard)

    @property
    def shown_lately(self) -> bool:
        return self._lately(self.shown)

    def _lately(self, at: timedelta | None) -> bool:
        return at is not None and self._world.lives[self._own].now() - at < seconds(2)

    async def ask(self, make: Any, timeout: timedelta) -> Any:
        if not self.up:
            raise LinkDown(self.other)
        node, message = self._world.nodes[self.other], make(0)
        waiter: Deferred[Any] = Deferred()
        life = self._world.lives[self._own]

        async def serve() -> None:
            if isinstance(message, Relay):
                answer: Any = Relayed(0, node._relayed(message.reports))
            else:
                assert isinstance(message, Forward)
                got = await node._forwarded(message.method, message.path, message.body)
                answer = Forwarded(0, got.status, got.retry_after, got.body)
            if self.up and life.alive and not waiter.called:
                waiter.callback(answer)

        def late() -> None:
            if not waiter.called:
                waiter.errback(LinkDown(self.other))

        life.later(timeout, late)
        self._world.lives[self.other].later(seconds(0.002), lambda: spawn(serve(), "sibling"))
        return await waiter


class SimLinks:
    def __init__(self, world: "World", own: str, hello: Any, saw: Any) -> None:
        self._world, self._own, self._hello, self._saw = world, own, hello, saw
        self.links = [SimLink(world, own, name) for name in world.node_names if name != own]

    def start(self) -> None:
        self._ping()

    def _ping(self) -> None:
        for link in self.links:
            if link.linked:
                turn = self._world.nodes[self._own].replica.turn
                state = self._world.nodes[link.other]._hello(turn)
                life = self._world.lives[self._own]
                life.later(seconds(0.005), self._hear, link, state, life.now())
        self._world.lives[self._own].later(seconds(0.5), self._ping)

    def _hear(self, link: SimLink, state: Ping, asked: timedelta) -> None:
        if link.linked:
            link.heard, link.state, link.shown = self._world.lives[self._own].now(), state, asked
            self._saw(state, asked)

    def to(self, node: str) -> SimLink | None:
        return next((link for link in self.links if link.other == node and link.up), None)


class World:
    def __init__(
        self,
        seed: int,
        capacity: int = 5,
        error: float = 0.0,
        settings: OperatorSettings | None = None,
        deployment: Deployment | None = None,
    ) -> None:
        self.settings = settings or OperatorSettings()
        self.at = deployment or Deployment(capacity=capacity)
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.error = error
        self.state = StateService(self.clock)
        self.cloud = Cloud(
            self.clock, self.rng, TYPES, self.at.capacity, self._machine_up, self._machine_down
        )
        self.workers: dict[str, Worker] = {}
        self.node_names = [f"node-{at}" for at in range(self.at.nodes)]
        self.names = {"10.2.0.1:1": "state", "10.2.0.2:1": "cloud"}
        self.nodes: dict[str, Node] = {}
        self.lives: dict[str, LifeClock] = {}
        # Each node's connections to machines and from workers, and the most that there ever were.
        self.sockets: dict[str, Sockets] = {}
        self.connections: dict[str, Sockets] = {}
        self.most_open = 0
        # Cut pairs, and the packets held back between them (None: thrown away).
        self.cuts: dict[frozenset[str], list | None] = {}
        self.refused: set[str] = set()
        self.lose = 0.0
        # Machines whose reports arrive, but which no answer and no order reaches.
        self.deaf: set[str] = set()
        # How often a late copy of a report comes, at any node, and of what a controller asked for.
        self.copies = 0.0
        self.repeats = 0.0
        # What users did and were told.
        self.jobs: dict[str, dict] = {}
        self.asked_abort: set[str] = set()
        self.told: dict[str, str] = {}
        self.answered: dict[str, timedelta] = {}
        self.accepted: set[str] = set()
        self.aborted_at: dict[str, timedelta] = {}
        # Where each task is, and what was broken.
        self.on: dict[str, set[str]] = {}
        # CPUs that each team uses, and when each job was sent and began.
        self.used: dict[str, float] = {}
        self.sent: dict[str, timedelta] = {}
        self.began: dict[str, timedelta] = {}
        self.started = 0
        self.completed: set[str] = set()
        self.broken: list[str] = []
        for index in range(self.at.nodes):
            self.start_node(index)

    # Processes.

    def start_node(self, index: int) -> None:
        name = self.node_names[index]
        life = LifeClock(self.clock)
        self.lives[name] = life

        def connect(hello: Any, relay: Any, forward: Any, saw: Any, ended: Any) -> SimLinks:
            return SimLinks(self, name, hello, saw)

        async def compute(work: Any, *args: Any) -> Any:
            waiter: Deferred[None] = Deferred()
            life.later(seconds(0.01), waiter.callback, None)
            await waiter
            return work(*args)

        self.sockets[name] = sockets = Sockets(self.at.sockets)
        node = Node(
            platform(index, self.at),
            self.settings,
            life,
            SimHttp(self, name, life),
            Turns(SimHttp(self, name, life), life, sockets),
            connect,
            compute,
        )
        node.election._rng = random.Random(self.rng.random())
        self.nodes[name] = node
        node.start()

    def kill_node(self, index: int) -> None:
        name = self.node_names[index]
        if name in self.nodes:
            self.lives[name].alive = False
            del self.nodes[name]

    def freeze_node(self, index: int, length: timedelta) -> None:
        """It stands still; what is sent to it waits."""
        name = self.node_names[index]
        if name in self.nodes:
            self.lives[name].frozen = self.clock.now() + length
            self.cut_off(name, True, length)

    def leader(self) -> int | None:
        return next(
            (at for at, name in enumerate(self.node_names) if name in self.nodes and self.nodes[name].leads),
            None,
        )

    # The network.

    def is_cut(self, one: str, other: str) -> bool:
        return frozenset((one, other)) in self.cuts

    def cut(self, one: str, others: list[str], hold: bool, length: timedelta) -> None:
        pairs = [frozenset((one, other)) for other in others if other != one]
        for pair in pairs:
            self.cuts.setdefault(pair, [] if hold else None)
        self.clock.later(length, self._heal, pairs)

    def cut_off(self, name: str, hold: bool, length: timedelta) -> None:
        """Cuts a node from all there is."""
        machines = [worker.machine.address for worker in self.workers.values()]
        self.cut(name, [*machines, *self.node_names, "state", "cloud", "user"], hold, length)

    def _heal(self, pairs: list[frozenset[str]]) -> None:
        for pair in pairs:
            for send in self.cuts.pop(pair, None) or []:
                self.clock.later(seconds(0.001), send)

    def refuses(self, source: str, target: str) -> bool:
        return target.startswith("node-") and target not in self.nodes

    def carry(self, source: str, target: str, method: str, path: str, body: bytes, answered: Any) -> None:
        """Brings a request to its target and the answer back, if the network lets them through."""

        def arrive() -> None:
            answer = self._serve(source, target, method, path, body)
            if isinstance(answer, Deferred):
                answer.addCallback(back)
            elif answer is not None:
                back(answer)

        def back(answer: Reply) -> None:
            if target == "state" and source in self.refused and answer[0] == 200:
                # The watches that a refused node has open wait as in an outage.
                return
            self._pass(target, source, lambda: answered(answer))

        self._pass(source, target, arrive)
        if path == "/v1/report" and self.rng.random() < self.copies:
            late = seconds(self.rng.uniform(1, 2.5 * self.at.lease.total_seconds()))
            other = self.rng.choice(self.node_names)
            self.clock.later(late, self._copy, source, other, method, path, body)
        elif source in self.node_names and method == "POST" and self.rng.random() < self.repeats:
            late = seconds(self.rng.uniform(0.2, 8))
            self.clock.later(late, self._copy, source, target, method, path, body)

    def _copy(self, source: str, target: str, method: str, path: str, body: bytes) -> None:
        """A message that has been carried before comes again; whoever sent it waits for no answer."""
        if not self.is_cut(source, target) and target not in self.deaf:
            self._serve(source, target, method, path, body)

    def _pass(self, source: str, target: str, deliver: Any) -> None:
        pair = frozenset((source, target))
        if target in self.deaf:
            return
        if pair in self.cuts:
            held = self.cuts[pair]
            if held is not None:
                held.append(deliver)
            return
        if self.rng.random() < self.lose:
            return
        self.clock.later(seconds(self.rng.uniform(0.001, 0.01)), deliver)

    def _serve(
        self, source: str, target: str, method: str, path: str, body: bytes
    ) -> Reply | Deferred | None:
        if target == "state":
            return (503, b"") if source in self.refused else self.state.handle(method, path, body)
        if target == "cloud":
            return self.cloud.handle(method, path, body)
        if target in self.nodes:
            node, done = self.nodes[target], Deferred()

            async def serve() -> None:
                answer = await node.handle(method, path, body)
                if self.nodes.get(target) is node:
                    done.callback((answer.status, answer.body))

            spawn(serve(), "serving")
            return done
        worker = self.workers.get(target.partition(":")[0])
        return None if worker is None or worker.gone else worker.handle(method, path, body)

    # Machines.

    def _machine_up(self, machine: Machine) -> None:
        def send(node: str, body: bytes, answered: Any) -> None:
            settled: list[bool] = []

            def once(answer: Reply | None) -> None:
                if not settled:
                    settled.append(True)
                    answered(answer)

            self._connected(machine.address, node)
            if self.refuses(machine.name, node):
                self.clock.later(seconds(0.001), once, None)
                return
            self.carry(machine.address, node, "POST", "/v1/report", body, once)
            self.clock.later(seconds(4), once, None)

        self.names[machine.address] = machine.address
        self.workers[machine.name] = Worker(
            self.clock,
            self.rng,
            machine,
            TYPES[0],
            self.at.report,
            self.at.lease,
            self.jobs,
            self.node_names,
            send,
            self._task_on,
            self._task_off,
            self._run_s,
            self.error,
        )

    def _connected(self, worker: str, node: str) -> None:
        """A worker keeps its connection until it goes to another node, or that node's process ends."""
        before = self.connections.pop(worker, None)
        if before is not None:
            before.closed()
        if node in self.nodes:
            self.connections[worker] = self.sockets[node]
            self.opened(self.sockets[node])

    def opened(self, sockets: Sockets) -> None:
        sockets.opened()
        self.most_open = max(self.most_open, sockets.open)

    def _machine_down(self, name: str) -> None:
        if name in self.workers:
            self.workers[name].end()

    def kill_machine(self, name: str) -> None:
        if name in self.cloud.machines:
            self.cloud.machines[name].stage = "failed"
        self._machine_down(name)

    def _run_s(self, task: str) -> float:
        return self.jobs[task.rpartition("/")[0]]["run_s"] * self.rng.uniform(0.5, 1.5)

    def _task_on(self, machine: str, task: str) -> None:
        self.started += 1
        job_id = task.rpartition("/")[0]
        job, now = self.jobs[job_id], self.clock.now()
        self.on.setdefault(task, set()).add(machine)
        if len(self.on[task]) > 1:
            self.broken.append(f"ran_twice {task} on {sorted(self.on[task])} at {now}")
        if job_id in self.aborted_at and now - self.aborted_at[job_id] > CANCEL:
            self.broken.append(f"ran_cancelled {task} started at {now}")
        at = self.workers[machine].machine
        if (at.spot and not job["windfall"]) or (job["glade"] and at.zone != job["glade"]):
            self.broken.append(f"wrong_place {task} on {machine}")
        zones = [
            self.workers[name].machine.zone
            for index in range(job["threads"])
            for name in self.on.get(f"{job_id}/{index}", ())
        ]
        if job["together"] and len(set(zones)) > 1:
            self.broken.append(f"wrong_place {task}: not together")
        if job["scatter"] and max(zones.count(zone) for zone in zones) > (job["threads"] + 1) // 2:
            self.broken.append(f"wrong_place {task}: not scattered")
        crew = job["crew"]
        used = self.used[crew] = self.used.get(crew, 0.0) + job["vcpus"]
        if used > next(team["cpus_max"] for team in self.at.teams if team["name"] == crew) + 1e-9:
            self.broken.append(f"quota {crew} {used}")
        self.began.setdefault(job_id, now)

    def _task_off(self, machine: str, task: str) -> None:
        self.on.get(task, set()).discard(machine)
        job = self.jobs[task.rpartition("/")[0]]
        self.used[job["crew"]] -= job["vcpus"]
        worker = self.workers[machine]
        if any(entry.name == task and entry.cause == "done" for entry in worker.tasks.values()):
            self.completed.add(task)

    # Users.

    def ask(self, method: str, path: str, body: bytes, then: Any, tries: int = 40) -> None:
        """Tries again, at any node, until it gets a definite answer."""
        node = self.rng.choice(self.node_names)
        settled: list[bool] = []

        def once(answer: Reply | None) -> None:
            if settled:
                return
            settled.append(True)
            if answer is not None and answer[0] in (200, 201, 400, 404, 422):
                then(*answer)
            elif tries:
                self.clock.later(seconds(1), self.ask, method, path, body, then, tries - 1)

        if self.refuses("user", node):
            self.clock.later(seconds(0.001), once, None)
            return
        self.carry("user", node, method, path, body, once)
        self.clock.later(seconds(2), once, None)

    def submit(self, number: int, **fields: Any) -> str:
        job_id = f"job-{number:06d}"
        job = {
            "ref": job_id,
            "bobbin": "c",
            "crew": "red",
            "weave": "array",
            "urgency": "normal",
            "threads": 2,
            "vcpus": 2.0,
            "accelerators": 0.0,
            "mem_gb": 2.0,
            "pattern": "img",
            "size_gb": 1.0,
            "frames": None,
            "glade": None,
            "together": False,
            "scatter": False,
            "windfall": True,
            "reckon_s": 4.0,
            "knot_s": 0.0,
            "tie_s": 0.0,
            "due_s": None,
            "run_s": 4.0,
        } | fields
        self.jobs[job_id] = job
        self.sent[job_id] = self.clock.now()

        def told(status: int, body: bytes) -> None:
            if status in (400, 404, 422):
                self.broken.append(f"forgotten {job_id}: {status}")
                return
            self.accepted.add(job_id)
            self._told(job_id, decode(body)["stage"])

        self.ask("POST", "/submissions", encode(job), told)
        return job_id

    def abort(self, job_id: str) -> None:
        self.asked_abort.add(job_id)

        def told(status: int, body: bytes) -> None:
            if status == 200:
                stage = decode(body)["stage"]
                if stage == "aborted":
                    self.aborted_at.setdefault(job_id, self.clock.now())
                self._told(job_id, stage)
            elif status == 404 and job_id in self.accepted:
                self.broken.append(f"forgotten {job_id}")

        self.ask("POST", f"/submissions/{job_id}/abort", b"", told)

    def poll(self, job_id: str) -> None:
        known = job_id in self.accepted
        # What an answer must not be older than: what was told before the question.
        before = self.told.get(job_id)

        def told(status: int, body: bytes) -> None:
            self.answered[job_id] = self.clock.now()
            if status == 404:
                if known:
                    self.broken.append(f"forgotten {job_id}")
            elif job_id not in self.jobs:
                self.broken.append(f"invented {job_id}")
            else:
                self._told(job_id, decode(body)["stage"], before)

        self.ask("GET", f"/submissions/{job_id}", b"", told, tries=0)

    def _told(self, job_id: str, stage: str, before: str | None = None) -> None:
        if before in ("done", "aborted") and stage != before:
            self.broken.append(f"went_back {job_id} from {before} to {stage}")
        if stage == "aborted" and job_id not in self.asked_abort:
            self.broken.append(f"went_back {job_id} aborted by nobody")
        if stage == "done":
            missing = [
                index
                for index in range(self.jobs[job_id]["threads"])
                if f"{job_id}/{index}" not in self.completed
            ]
            if missing:
                self.broken.append(f"not_done {job_id} misses {missing}")
        if self.told.get(job_id) not in ("done", "aborted"):
            self.told[job_id] = stage

    def run(self, length: timedelta, step: timedelta = timedelta(milliseconds=50)) -> None:
        end = self.clock.now() + length
        while self.clock.now() < end:
            self.clock.advance(step)
            self.state.expire()
            for job_id, at in self.aborted_at.items():
                if self.clock.now() - at > CANCEL and any(
                    self.on.get(f"{job_id}/{index}") for index in range(self.jobs[job_id]["threads"])
                ):
                    self.broken.append(f"ran_cancelled {job_id} still on a machine")
            assert not self.broken, self.broken
