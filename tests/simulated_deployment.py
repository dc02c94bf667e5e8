"""A whole deployment in one process on a simulated clock: real nodes among fakes, and a network that
loses, holds back and repeats. Every rule of the protocol is checked at the moment it could be broken."""

import logging
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import msgspec
from twisted.internet.defer import Deferred

from spindleglade.controller.controller import Controller
from spindleglade.http.connection_budget import ConnectionBudget
from spindleglade.leadership.peer_handlers import PeerHandlers
from spindleglade.leadership.peer_messages import Message
from spindleglade.leadership.peer_network import PeerNetwork
from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import ManualClock, seconds
from spindleglade.settings import OperatorSettings
from tests.deployment_config import CANCEL, TYPES, DeploymentConfig, description, platform_settings
from tests.fakes.cloud import Cloud, Machine
from tests.fakes.encoding import Reply, decode, encode
from tests.fakes.state_service import StateService
from tests.fakes.worker import Worker
from tests.invariants.dependency_invariants import OVER, DependencyInvariants
from tests.invariants.liveness_invariants import LivenessInvariants
from tests.invariants.service_invariants import ServiceInvariants
from tests.processes import Errors, LifeClock, SimHttp
from tests.production_names import viewed
from tests.simulated_peer_network import SimulatedPeerConnection, connect_peers
from tests.versions import CURRENT, Version

# How long the users allow that no question about a job is answered once all troubles are over.
FORGOTTEN = seconds(75)


class SimulatedDeployment:
    def __init__(
        self,
        seed: int,
        capacity: int = 5,
        error: float = 0.0,
        settings: OperatorSettings | None = None,
        config: DeploymentConfig | None = None,
        begin: Callable[["SimulatedDeployment"], None] | None = None,
    ) -> None:
        """`begin` sets up what there is when the deployment begins, and starts the nodes that run then;
        without it the deployment is empty and all nodes start at once."""
        self.settings = settings or OperatorSettings()
        self.at = config or DeploymentConfig(capacity=capacity)
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.error = error
        self.state = StateService(
            self.clock, self.at.value_kb, self.at.txn_ops, self.at.rps, self.at.write_rps
        )
        self.cloud = Cloud(
            self.clock,
            self.rng,
            [kind | {"vcpus": self.at.machine_cpus} for kind in TYPES],
            self.at.capacity,
            self.machine_up,
            self._machine_down,
        )
        self.led = 0
        self.workers: dict[str, Worker] = {}
        self.node_names = [f"node-{at}" for at in range(self.at.nodes)]
        self.names = {"10.2.0.1:1": "state", "10.2.0.2:1": "cloud"}
        self.nodes: dict[str, Controller] = {}
        # What each controller's next process runs, where it is not the code as it stands.
        self.versions: dict[str, Version] = {}
        self.lives: dict[str, LifeClock] = {}
        # Each node's connections to machines and from workers, and the most that there ever were.
        self.sockets: dict[str, ConnectionBudget] = {}
        self.connections: dict[str, ConnectionBudget] = {}
        self.most_open = 0
        # Cut pairs, and the packets held back between them (None: thrown away).
        self.cuts: dict[frozenset[str], list | None] = {}
        self.refused: set[str] = set()
        # Controllers that accept connections and say nothing; and when which sibling sent one of them what.
        self.silent: set[str] = set()
        self.sent_to_silent: defaultdict[tuple[str, type], list[timedelta]] = defaultdict(list)
        # The dialled ends, in the order in which they were made.
        self.connections_of_siblings: dict[SimulatedPeerConnection, None] = {}
        self.lose = 0.0
        # Machines whose reports arrive, but which no answer and no order reaches.
        self.not_receiving: set[str] = set()
        # Machines that reach no controller, while direct commands reach them.
        self.not_reporting: set[str] = set()
        # How often a late copy of a report comes, at any node, and of what a controller asked for.
        self.late_reports = 0.0
        self.repeats = 0.0
        # Of that share of the reports a copy is kept until a new leader leads, and then comes to all nodes.
        self.kept_reports = 0.0
        self.kept: list[tuple[str, str, str, bytes]] = []
        # How often a transaction gets no answer: carried out 2 to 12 s later, or at once.
        self.late_writes = 0.0
        self.lost_answers = 0.0
        # The longest that the store takes for an answer, and any message for its way.
        self.slow_store = timedelta(0)
        self.slow_links = timedelta(0)
        # Of that share of the jobs that end the user cancels at the moment of the end.
        self.cancel_at_end = 0.0
        # Whether users ask at all nodes at once after what they were told; of that share they cancel as well.
        self.close_looks = False
        self.cancels_at_once = 0.0
        # When the last trouble is over. SimulatedDeployment.run holds the service to more from there on.
        self.calm = timedelta(0)
        # What users did and were told.
        self.jobs: dict[str, dict] = {}
        self.asked_abort: set[str] = set()
        self.told: dict[str, str] = {}
        self.answered: dict[str, timedelta] = {}
        # The most tasks of each job that a user was told are done.
        self.done_counts: dict[str, int] = {}
        # Polls: when each job was last asked for. Submissions that can never run, by their ids.
        self.asked: dict[str, timedelta] = {}
        self.odd: dict[str, str] = {}
        # How often some things happened, for the tests to see that they did.
        self.counts: Counter[str] = Counter()
        self.accepted: set[str] = set()
        self.aborted_at: dict[str, timedelta] = {}
        # Where each task is, and what was broken.
        self.on: dict[str, set[str]] = {}
        # CPUs that each team uses, and when each job was sent and began.
        self.used: dict[str, float] = {}
        self.sent: dict[str, timedelta] = {}
        self.began: dict[str, timedelta] = {}
        self.latest_start: dict[str, timedelta] = {}
        self.started = 0
        self.starts: Counter[str] = Counter()
        self.completed: set[str] = set()
        # Starts after a confirmed cancellation that came within `cancel_s`.
        self.started_late: list[str] = []
        self.broken: list[str] = []
        self.dependencies = DependencyInvariants(self)
        self.liveness = LivenessInvariants(self)
        self.service = ServiceInvariants(self)
        # What nodes may log as an error, because a test makes it happen.
        self.expected_errors: tuple[str, ...] = ()
        # Told of each job when its user first hears that it is accepted, and when it is over.
        self.when_accepted: list[Callable[[str], None]] = []
        self.when_over: list[Callable[[str], None]] = []
        if begin is not None:
            begin(self)
        else:
            for index in range(self.at.nodes):
                self.start_node(index)

    # Processes.

    def start_node(self, index: int) -> None:
        name = self.node_names[index]
        life = LifeClock(self.clock)
        self.lives[name] = life

        version = self.versions.get(name, CURRENT)
        platform = version.platform(platform_settings(index, self.at))
        ping = seconds(self.settings.leadership.ping_s)

        def connect(*handlers: Any) -> PeerNetwork:
            # Nobody is told of ended processes: successors wait for the lease, which is harder.
            handlers = (*handlers[:-1], lambda name: None)
            network = version.named("leadership.peer_network", "PeerNetwork")(
                None,
                life,
                platform.siblings if version.is_production else platform.peers,
                ping,
                *(handlers if version.is_production else [PeerHandlers(*handlers)]),
            )
            connect_peers(self, name, viewed(network))
            return network

        async def compute(work: Any, *args: Any) -> Any:
            waiter: Deferred[None] = Deferred()
            life.later(seconds(0.01), waiter.callback, None)
            await waiter
            return work(*args)

        sockets = version.named("http.connection_budget", "ConnectionBudget")(self.at.sockets)
        self.sockets[name] = viewed(sockets)
        http = SimHttp(self, name, life, version)
        process = version.named("controller.controller", "Controller")(
            platform,
            version.module("settings").OperatorSettings() if version.is_production else self.settings,
            life,
            http,
            version.named("http.concurrency", "ConcurrencyLimiter")(http, life, sockets),
            connect,
            compute,
        )
        node = viewed(process)
        node.election._rng = random.Random(self.rng.random())
        self.nodes[name] = node
        node.start()

    def start_once(self, index: int) -> None:
        """Starts the node unless a fault has done so."""
        if self.node_names[index] not in self.nodes:
            self.start_node(index)

    def kill_node(self, index: int) -> None:
        name = self.node_names[index]
        if name in self.nodes:
            life = self.lives[name]
            life.alive = False
            del self.nodes[name]
            for connection in list(self.connections_of_siblings):
                connection.end_with(life)

    def freeze_node(self, index: int, length: timedelta) -> None:
        """It stands still; what is sent to it waits."""
        name = self.node_names[index]
        if name in self.nodes:
            self.lives[name].frozen = self.clock.now() + length
            self.cut_off(name, True, length)

    def silence_node(self, index: int, length: timedelta) -> None:
        """It says nothing more, and nothing that is sent to it arrives, though connections to it are made."""
        name = self.node_names[index]
        self.silent.add(name)
        self.clock.later(length, self.silent.discard, name)
        self.cut_off(name, False, length)

    # Troubles. What each does is in place at once and ends by itself.

    def trouble(self, length: timedelta) -> None:
        self.calm = max(self.calm, self.clock.now() + length)

    def during(self, length: timedelta, name: str, value: Any) -> None:
        """Sets one of the deployment's own figures for a while."""
        self.trouble(length)
        none = type(getattr(self, name))()
        setattr(self, name, value)
        self.clock.later(length, setattr, self, name, none)

    def outage(self, length: timedelta) -> None:
        self.trouble(length)
        self.state.outage(length)

    def refuse(self, index: int, length: timedelta) -> None:
        """The store answers this node alone with 503."""
        self.trouble(length)
        self.refused.add(self.node_names[index])
        self.clock.later(length, self.refused.discard, self.node_names[index])

    def gap(self, alone: timedelta, length: timedelta) -> None:
        """The store refuses the leader alone, and a second later it is down for all."""
        leader = self.leader()
        if leader is not None:
            self.refuse(leader, alone)
        self.clock.later(seconds(1), self.outage, length)

    def restart(self, index: int, away: timedelta) -> None:
        self.trouble(away)
        self.kill_node(index)
        self.clock.later(away, self.start_once, index)

    def isolate(self, index: int, hold: bool, length: timedelta) -> None:
        """No store and no siblings, while workers and users still reach it."""
        self.cut(self.node_names[index], [*self.node_names, "state"], hold, length)

    def change_leaders(self, changes: int, span: timedelta) -> None:
        """Leader after leader ends and is back a while later, or at once."""
        self.trouble(span)

        def end() -> None:
            leader = self.leader()
            if leader is not None:
                self.counts["leaders ended"] += 1
                self.restart(leader, seconds(self.rng.choice([0.2, 0.8, 3.0, 9.0])))

        for number in range(changes):
            self.clock.later(span * number / changes, end)

    def make_deaf(self, machine: str, length: timedelta) -> None:
        self.trouble(length)
        self.not_receiving.add(machine)
        self.clock.later(length, self.not_receiving.discard, machine)

    def make_mute(self, machine: str, length: timedelta) -> None:
        self.trouble(length)
        self.not_reporting.add(machine)
        self.clock.later(length, self.not_reporting.discard, machine)

    def hang(self, machine: str, length: timedelta) -> None:
        worker = self.workers.get(machine.partition(":")[0])
        if worker is not None and not worker.gone:
            self.counts["hung"] += 1
            self.trouble(length)
            worker.hang(length)
            self.clock.later(length, self._gone_on, worker)

    def _gone_on(self, worker: Worker) -> None:
        """What a machine that hung goes on with may not have been cancelled long ago."""
        if not worker.gone:
            for task in worker.tasks.values():
                at = self.aborted_at.get(task.name.rpartition("/")[0])
                if task.stage == "running" and at is not None and self.clock.now() - at > CANCEL:
                    self.broken.append(f"ran_cancelled {task.name} goes on after a hang")

    def cancel_now(self, count: int, hang: timedelta) -> None:
        """Users call off running jobs within a fifth of a second; some of their machines hang then."""
        running = [job for job in self.jobs if self.machines_of(job) and job not in self.asked_abort]
        self.trouble(seconds(0.2))
        for job in self.rng.sample(running, min(count, len(running))):
            self.counts["cancelled now"] += 1
            machines = self.machines_of(job)
            if hang and self.rng.random() < 0.5:
                self.hang(self.rng.choice(machines), hang)
            self.clock.later(seconds(self.rng.uniform(0, 0.2)), self.abort, job)

    def machines_of(self, job: str) -> list[str]:
        """Where its tasks are."""
        tasks = (f"{job}/{index}" for index in range(self.jobs[job]["threads"]))
        return sorted({machine for task in tasks for machine in self.on.get(task, ())})

    def odd_requests(self, length: timedelta) -> None:
        """Users repeat what is under way, cancel what is done, and send what can never run."""
        self.trouble(length)
        end = self.clock.now() + length

        def one() -> None:
            if self.clock.now() >= end:
                return
            self.clock.later(seconds(self.rng.uniform(0.1, 0.6)), one)
            known = sorted(self.accepted)
            open_jobs = [job for job in known if self.told.get(job) not in ("done", "aborted")]
            done = [job for job in known if self.told.get(job) == "done"]
            kind = self.rng.choice(["repeat", "abort", "odd", "odd"])
            if kind == "repeat" and open_jobs:
                self.repeat(self.rng.choice(open_jobs))
            elif kind == "abort" and done:
                self.abort(self.rng.choice(done))
            elif kind == "odd":
                self.submit_odd()

        one()

    def submit_odd(self) -> None:
        """A job that lacks a field or fits nothing; it may never be accepted, and stays unknown."""
        job_id = f"job-9{len(self.odd):05d}"
        job = description(job_id, {})
        how = self.rng.choice(["lacks", "too large", "no team", "no type", "not JSON", "beyond its limit"])
        if how == "lacks":
            del job[self.rng.choice(["crew", "threads", "vcpus", "pattern", "reckon_s", "scatter"])]
        elif how == "too large":
            job["vcpus"] = self.at.machine_cpus + 1
        elif how == "beyond its limit":
            job["vcpus"] = 1e6
        elif how == "no team":
            job["crew"] = "nobody"
        elif how == "no type":
            job["frames"] = ["none such"]
        self.odd[job_id] = how
        body = encode(job) if how != "not JSON" else b"{" + encode(job)

        def told(status: int, body: bytes) -> None:
            self.counts[f"odd {status}"] += 1
            if status != (400 if how in ("lacks", "not JSON") else 422):
                self.broken.append(f"odd {job_id} ({how}): {status}")

        self.ask("POST", "/submissions", body, told)
        self.clock.later(seconds(1), self.poll, job_id)

    def leader(self) -> int | None:
        return next(
            (
                at
                for at, name in enumerate(self.node_names)
                if name in self.nodes and self.nodes[name].is_leader
            ),
            None,
        )

    def assignments(self) -> list[Any]:
        """All that the leader holds to be on some machine."""
        leader = self.leader()
        leader = None if leader is None else self.nodes[self.node_names[leader]].leader
        if leader is None:
            return []
        return [one for machine in leader.cluster.machines.values() for one in machine.placed.values()]

    # The network.

    def is_cut(self, one: str, other: str) -> bool:
        return frozenset((one, other)) in self.cuts

    def cut(self, one: str, others: list[str], hold: bool, length: timedelta) -> None:
        pairs = [frozenset((one, other)) for other in others if other != one]
        self.trouble(length)
        for pair in pairs:
            self.cuts.setdefault(pair, [] if hold else None)
        self.clock.later(length, self._heal, pairs)

    def cut_off(self, name: str, hold: bool, length: timedelta) -> None:
        """Cuts a node from all there is."""
        machines = [worker.machine.address for worker in self.workers.values()]
        self.cut(name, [*machines, *self.node_names, "state", "cloud", "user"], hold, length)

    def cut_zone(self, zone: str, hold: bool, length: timedelta) -> None:
        """A zone with its workers and controllers is cut off; inside it all goes on."""
        machines = [worker.machine for worker in self.workers.values()]
        nodes = {name: node._platform.zone for name, node in self.nodes.items()}
        inside = [name for name, at in nodes.items() if at == zone]
        outside = [name for name in self.node_names if name not in inside]
        far = [machine.address for machine in machines if machine.zone != zone]
        for name in inside:
            self.cut(name, [*far, *outside, "state", "cloud", "user"], hold, length)
        for name in outside:
            self.cut(name, [machine.address for machine in machines if machine.zone == zone], hold, length)

    def _heal(self, pairs: list[frozenset[str]]) -> None:
        for pair in pairs:
            for send in self.cuts.pop(pair, None) or []:
                self.clock.later(seconds(0.001), send)

    def refuses(self, source: str, target: str) -> bool:
        return target.startswith("node-") and target not in self.nodes

    def carry(self, source: str, target: str, method: str, path: str, body: bytes, answered: Any) -> None:
        """Brings a request to its target and the answer back, if the network lets them through."""

        late_write = target == "state" and path == "/txn" and self._goes_astray(source, body)

        def arrive() -> None:
            if late_write:
                return
            answer = self._serve(source, target, method, path, body)
            if isinstance(answer, Deferred):
                answer.addCallback(back)
            elif answer is not None:
                back(answer)

        def back(answer: Reply) -> None:
            if target == "state" and source in self.refused and answer[0] == 200:
                # The watches that a refused node has open wait as in an outage.
                return
            if target == "state" and self.slow_store:
                slow = self.slow_store * self.rng.random()
                self.clock.later(slow, self._pass, target, source, lambda: answered(answer))
            else:
                self._pass(target, source, lambda: answered(answer))

        if path == "/v1/report" and source in self.not_reporting:
            return
        self._pass(source, target, arrive)
        if path == "/v1/report" and self.rng.random() < self.kept_reports:
            self.kept.append((source, method, path, body))
        if path == "/v1/report" and self.rng.random() < self.late_reports:
            late = seconds(self.rng.uniform(1, 2.5 * self.at.lease.total_seconds()))
            other = self.rng.choice(self.node_names)
            self.clock.later(late, self._copy, source, other, method, path, body)
        elif source in self.node_names and method == "POST" and self.rng.random() < self.repeats:
            late = seconds(self.rng.uniform(0.2, 8))
            self.clock.later(late, self._copy, source, target, method, path, body)

    def _goes_astray(self, source: str, body: bytes) -> bool:
        """Whether a transaction gets no answer. It is carried out all the same, late or at once."""
        which = self.rng.random() if self.late_writes or self.lost_answers else 1.0
        if which < self.late_writes:
            self.clock.later(seconds(self.rng.uniform(2, 12)), self._carry_out, body)
        elif which < self.late_writes + self.lost_answers:
            self.clock.later(seconds(self.rng.uniform(0.001, 0.01)), self._carry_out, body)
        else:
            return False
        self.counts["astray"] += 1
        return True

    def _carry_out(self, body: bytes) -> None:
        answer = self.state.handle("POST", "/txn", body)
        assert isinstance(answer, tuple)
        if answer[0] in (429, 503):
            # The service holds it back as well.
            self.clock.later(seconds(0.3), self._carry_out, body)
            return
        self.counts["astray carried out" if answer[0] == 200 else "astray refused"] += 1

    def deliver_kept(self) -> None:
        """A new leader leads: what was kept for it comes, to every node."""
        kept, self.kept = self.kept, []
        for source, method, path, body in kept:
            self.counts["kept delivered"] += 1
            for name in list(self.nodes):
                self._copy(source, name, method, path, body)

    def _copy(self, source: str, target: str, method: str, path: str, body: bytes) -> None:
        """A message that has been carried before comes again; whoever sent it waits for no answer."""
        if not self.is_cut(source, target) and target not in self.not_receiving:
            self._serve(source, target, method, path, body)

    def as_received(self, message: Message, receiver: str) -> Message:
        """A message between siblings as the one that it goes to reads it."""
        return self.versions.get(receiver, CURRENT).read_message(msgspec.msgpack.encode(message))

    def _pass(self, source: str, target: str, deliver: Any) -> None:
        pair = frozenset((source, target))
        if target in self.not_receiving:
            return
        if pair in self.cuts:
            held = self.cuts[pair]
            if held is not None:
                held.append(deliver)
            return
        if self.rng.random() < self.lose:
            return
        way = self.rng.uniform(0.001, 0.01) + self.slow_links.total_seconds() * self.rng.random()
        self.clock.later(seconds(way), deliver)

    def pass_to_sibling(self, source: str, target: str, deliver: Any) -> None:
        """Nothing is lost between siblings but by a cut; each link's messages keep their order."""
        pair = frozenset((source, target))
        if pair not in self.cuts:
            self.clock.later(seconds(0.002), deliver)
        elif (held := self.cuts[pair]) is not None:
            held.append(deliver)

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

            run_in_background(serve(), "serving")
            return done
        worker = self.workers.get(target.partition(":")[0])
        return None if worker is None or worker.gone else worker.handle(method, path, body)

    # Machines.

    def machine_up(self, machine: Machine) -> None:
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
            TYPES[0] | {"vcpus": self.at.machine_cpus},
            self.at.report,
            self.at.lease,
            self.jobs,
            self.node_names,
            send,
            self.task_on,
            self._task_off,
            self._run_s,
            self.error,
        )

    def _connected(self, worker: str, node: str) -> None:
        """A worker keeps its connection until it goes to another node, or that node's process ends."""
        before = self.connections.pop(worker, None)
        if before is not None:
            before.on_closed()
        if node in self.nodes:
            self.connections[worker] = self.sockets[node]
            self.opened(self.sockets[node])

    def opened(self, sockets: ConnectionBudget) -> None:
        sockets.on_opened()
        self.most_open = max(self.most_open, sockets.open)

    def _machine_down(self, name: str) -> None:
        if name in self.workers:
            self.workers[name].end()

    def notice(self, name: str, length: timedelta) -> None:
        """The cloud takes the machine away after a notice."""
        self.trouble(length)
        worker = self.workers[name]
        worker.warning = self.clock.now() + length
        worker.changed = True

        def take() -> None:
            self.cloud.machines.pop(name, None)
            worker.end()

        self.clock.later(length, take)

    def kill_machine(self, name: str) -> None:
        self.trouble(timedelta(0))
        if name in self.cloud.machines:
            self.cloud.machines[name].stage = "failed"
        self._machine_down(name)

    def _run_s(self, task: str) -> float:
        job, _, index = task.rpartition("/")
        lasts = self.jobs[job]["run_s"]
        # A list says it of each task; a figure is about right for all.
        return lasts[int(index)] if isinstance(lasts, list) else lasts * self.rng.uniform(0.5, 1.5)

    def task_on(self, machine: str, task: str) -> None:
        self.started += 1
        self.starts[task] += 1
        job_id = task.rpartition("/")[0]
        job, now = self.jobs[job_id], self.clock.now()
        self.dependencies.task_started(job_id, task)
        self.liveness.task_started()
        self.on.setdefault(task, set()).add(machine)
        if len(self.on[task]) > 1:
            self.broken.append(f"ran_twice {task} on {sorted(self.on[task])} at {now}")
        if job_id in self.aborted_at:
            if now - self.aborted_at[job_id] > CANCEL:
                self.broken.append(f"ran_cancelled {task} started at {now}")
            else:
                self.started_late.append(task)
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
        if used > self.at.limit(crew) + 1e-9:
            self.broken.append(f"quota {crew} {used}")
        self.began.setdefault(job_id, now)
        self.latest_start[job_id] = now

    def _task_off(self, machine: str, task: str) -> None:
        self.on.get(task, set()).discard(machine)
        job = self.jobs[task.rpartition("/")[0]]
        self.used[job["crew"]] -= job["vcpus"]
        worker = self.workers[machine]
        if any(entry.name == task and entry.cause == "done" for entry in worker.tasks.values()):
            self.completed.add(task)
            if self.is_complete(job["ref"]) and self.rng.random() < self.cancel_at_end:
                self.counts["cancelled at its end"] += 1
                # At once, or while its end is on the way to the controllers.
                self.clock.later(seconds(self.rng.choice([0.0, 0.05, 0.3, 0.6])), self.abort, job["ref"])

    def is_complete(self, job: str) -> bool:
        return all(f"{job}/{index}" in self.completed for index in range(self.jobs[job]["threads"]))

    # Users.

    def ask(
        self, method: str, path: str, body: bytes, then: Any, tries: int = 40, at: str | None = None
    ) -> None:
        """Tries again, at any node, until it gets a definite answer."""
        node = at or self.rng.choice(self.node_names)
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
        self.jobs[job_id] = description(job_id, fields)
        self.sent[job_id] = self.clock.now()
        self.repeat(job_id)
        return job_id

    def repeat(self, job_id: str, tries: int = 40, at: str | None = None) -> None:
        """Sends a submission, for the first time or once more."""
        before = self.told.get(job_id)

        def told(status: int, body: bytes) -> None:
            self.counts[f"submission {status}"] += 1
            if status in (400, 404, 422):
                self.broken.append(f"forgotten {job_id}: {status}")
                return
            if status == 201 and before is not None:
                self.broken.append(f"went_back {job_id} accepted anew after {before}")
            self._told(job_id, decode(body)["stage"], before)

        self.ask("POST", "/submissions", encode(self.jobs[job_id]), told, tries, at)

    def abort(self, job_id: str, tries: int = 40, at: str | None = None) -> None:
        self.asked_abort.add(job_id)
        before = self.told.get(job_id)

        def told(status: int, body: bytes) -> None:
            if status == 200:
                stage = decode(body)["stage"]
                if stage == "aborted":
                    self.aborted_at.setdefault(job_id, self.clock.now())
                elif stage != "done":
                    self.broken.append(f"abort {job_id} answered {stage}")
                self._told(job_id, stage, before)
            elif status == 404:
                if before is not None:
                    self.broken.append(f"forgotten {job_id}")
                elif tries:
                    # Its submission is still on the way.
                    self.clock.later(seconds(1), self.abort, job_id, tries - 1)
            else:
                self.broken.append(f"abort {job_id} answered {status}")

        self.ask("POST", f"/submissions/{job_id}/abort", b"", told, tries, at)

    def poll(self, job_id: str, at: str | None = None) -> None:
        # What an answer must not be older than: what was told before the question.
        before, done_before = self.told.get(job_id), self.done_counts.get(job_id, 0)
        self.asked[job_id] = self.clock.now()

        def told(status: int, body: bytes) -> None:
            self.answered[job_id] = self.clock.now()
            if status == 404:
                if before is not None:
                    self.broken.append(f"forgotten {job_id}")
            elif job_id not in self.jobs:
                self.broken.append(f"invented {job_id}")
            else:
                answer = decode(body)
                self._told(job_id, answer["stage"], before)
                self._done_told(job_id, answer, done_before)

        self.ask("GET", f"/submissions/{job_id}", b"", told, 0, at)

    def _done_told(self, job_id: str, answer: dict, before: int) -> None:
        """Tasks that are done stay done, whatever becomes of the records that say so."""
        if answer["stage"] != "aborted" and answer["done"] < before:
            self.broken.append(f"went_back {job_id} from {before} tasks done to {answer['done']}")
        self.done_counts[job_id] = max(answer["done"], self.done_counts.get(job_id, 0))

    def _told(self, job_id: str, stage: str, before: str | None = None) -> None:
        new = job_id not in self.accepted
        self.accepted.add(job_id)
        self.dependencies.told(job_id, stage)
        if before in ("done", "aborted") and stage != before:
            self.broken.append(f"went_back {job_id} from {before} to {stage}")
        known = self.told.get(job_id)
        if {stage, known} == {"done", "aborted"}:
            # Whichever came first, and wherever: both are for good.
            self.broken.append(f"went_back {job_id} is called {known} and {stage}")
        if stage == "aborted" and not self.dependencies.cancelled(job_id):
            self.broken.append(f"went_back {job_id} aborted by nobody")
        if stage == "done" and not self.is_complete(job_id):
            self.broken.append(f"not_done {job_id}")
        if known in ("done", "aborted"):
            return
        self.told[job_id] = stage
        for call in (*(self.when_accepted if new else ()), *(self.when_over if stage in OVER else ())):
            call(job_id)
        if self.close_looks and (known is None or stage in ("done", "aborted")):
            self._look_closely(job_id)

    def _look_closely(self, job_id: str) -> None:
        """Users ask at all nodes within milliseconds, again and again, and repeat the submission."""
        self.counts["close looks"] += 1
        for revision in range(4):
            for node in self.node_names:
                at = seconds(self.rng.uniform(0, 0.004) + revision * self.rng.choice([0.002, 0.02, 0.3]))
                if self.rng.random() < 0.7:
                    self.clock.later(at, self.poll, job_id, node)
                else:
                    self.clock.later(at, self.repeat, job_id, 0, node)
        if self.told[job_id] not in ("done", "aborted") and self.rng.random() < self.cancels_at_once:
            self.abort(job_id)

    def watch(self, job_id: str, every: timedelta = timedelta(seconds=1.3)) -> None:
        """Polls until the job is over, like its user."""
        if self.told.get(job_id) not in ("done", "aborted"):
            self.poll(job_id)
            self.clock.later(every, self.watch, job_id, every)

    def run(self, length: timedelta, step: timedelta = timedelta(milliseconds=50)) -> None:
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
        self.broken += [found for found in errors.found if not found.startswith(self.expected_errors)]
        errors.found.clear()
        self.state.expire()
        self._look_at_leader()
        self._look_at_cancelled()
        self.dependencies.look()
        self.liveness.look()
        self.service.look()
        for job_id, asked in self.asked.items():
            since = max(self.answered.get(job_id, timedelta(0)), self.calm, self.sent.get(job_id, asked))
            if asked - since > FORGOTTEN:
                self.broken.append(f"forgotten {job_id}: no answer since {since}")
        assert not self.broken, self.broken

    def _look_at_leader(self) -> None:
        leading = [node.leader.term.token for node in self.nodes.values() if node.is_leader]
        if leading and max(leading) > self.led:
            self.led = max(leading)
            self.counts["leaders"] += 1
            self.deliver_kept()

    def _look_at_cancelled(self) -> None:
        for job_id, at in self.aborted_at.items():
            if self.clock.now() - at <= CANCEL:
                continue
            # What hangs is looked at when it goes on.
            on = [name for name in self.machines_of(job_id) if self.workers[name].hung is None]
            if on:
                self.broken.append(f"ran_cancelled {job_id} still on {on}")
