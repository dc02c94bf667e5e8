"""Three controllers as real processes on loopback, among fakes for state service, cloud and workers."""

import json
import os
import random
import socket
import subprocess
import sys
import time
from pathlib import Path

from twisted.internet import reactor, threads
from twisted.internet.defer import Deferred
from twisted.web.server import Site

from spindleglade.http.client import HttpClient
from spindleglade.http.errors import NoResponseError
from spindleglade.http.server import HttpResponse, RequestResource
from spindleglade.runtime.clock import ReactorClock, seconds
from tests.deployment_config import TEAMS, TYPES, description
from tests.fakes.cloud import Cloud
from tests.fakes.state_service import StateService
from tests.fakes.worker import Worker

ROOT = Path(__file__).resolve().parent.parent


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Loopback:
    """The fakes behind real sockets, and the controllers as processes."""

    def __init__(self, folder, roots=(ROOT,) * 3):
        """`roots` are the checkouts that the three controllers run."""
        self.clock = ReactorClock(reactor)
        self.http = HttpClient(reactor, connections_per_host=2)
        self.state = StateService(self.clock)
        self.cloud = Cloud(self.clock, random.Random(1), TYPES, 4, self.machine_up, lambda name: None)
        self.jobs, self.workers, self.ports = {}, {}, []
        self.state_at, self.cloud_at = self.listen(self.state.handle), self.listen(self.cloud.handle)
        self.controllers = [f"127.0.0.1:{free_port()}" for _ in range(3)]
        peers = [f"127.0.0.1:{free_port()}" for _ in range(3)]
        self.processes = {}
        self.files = []
        for at in range(3):
            file = folder / f"node-{at}.json"
            file.write_text(
                json.dumps(
                    {
                        "node": f"node-{at}",
                        "zone": "a",
                        "client_listen": self.controllers[at],
                        "peer_bind": peers[at],
                        "siblings": [
                            {"node": f"node-{other}", "zone": "a", "endpoint": peers[other]}
                            for other in range(3)
                            if other != at
                        ],
                        "external": {"cloud": self.cloud_at, "state": self.state_at},
                        "params": {
                            "zones": ["a", "b"],
                            "teams": TEAMS,
                            "workers": {"report_s": 0.5, "lease_s": 6.0, "cancel_s": 20.0},
                            "state": {"rps": 300.0, "write_rps": 100.0, "value_kb": 16.0, "txn_ops": 12},
                            "cloud": {"rps": 10.0},
                        },
                    }
                )
            )
            self.files.append(file)
            self.start(at, roots[at])

    def listen(self, handle):
        async def serve(method, path, body):
            answer = handle(method, path, body)
            status, reply = await answer if isinstance(answer, Deferred) else answer
            return HttpResponse(status, reply)

        class WithQuery(RequestResource):
            def render(self, request):
                request.path = request.uri
                return super().render(request)

        port = reactor.listenTCP(0, Site(WithQuery(serve)), interface="127.0.0.1")
        self.ports.append(port)
        return f"127.0.0.1:{port.getHost().port}"

    def start(self, at, root=ROOT):
        """Starts a controller from that checkout."""
        self.processes[at] = subprocess.Popen(
            [sys.executable, "run.py", "serve", "--config", str(self.files[at])],
            cwd=root,
            env=os.environ | {"LOG_LEVEL": "error"},
        )

    def machine_up(self, machine):
        def send(controller, body, answered):
            async def ask():
                try:
                    response = await self.http.request("POST", controller, "/v1/report", body, seconds(4))
                    answered((response.status, response.body))
                except NoResponseError:
                    answered(None)

            Deferred.fromCoroutine(ask())

        worker = Worker(
            self.clock,
            random.Random(2),
            machine,
            TYPES[0],
            seconds(0.5),
            seconds(6),
            self.jobs,
            self.controllers,
            send,
            lambda *_: None,
            lambda *_: None,
            lambda task: 0.5,
        )
        address = self.listen(worker.handle)
        shown = worker.heartbeat
        worker.heartbeat = lambda: shown() | {"addr": address}
        self.workers[machine.name] = worker

    def kill(self, at):
        """Ends a controller's process."""
        self.processes[at].kill()
        self.processes[at].wait()

    async def ask(self, at, method, path, body=None):
        """One request to one controller."""
        return await self.http.request(method, self.controllers[at], path, body, seconds(3))

    async def ask_until(self, method, path, body, *statuses, stage=None):
        """Asks one controller after the other until one gives such an answer; None: none did in a minute."""
        end = time.monotonic() + 60
        at = 0
        while time.monotonic() < end:
            at = (at + 1) % 3
            try:
                answer = await self.ask(at, method, path, body)
            except NoResponseError:
                answer = None
            if (
                answer is not None
                and answer.status in statuses
                and (stage is None or json.loads(answer.body)["stage"] == stage)
            ):
                return answer
            await pause()
        return None

    async def serves(self, at):
        """Whether this very controller says within a minute that it is ready."""
        end = time.monotonic() + 60
        while time.monotonic() < end:
            try:
                if (await self.ask(at, "GET", "/ready")).status == 200:
                    return True
            except NoResponseError:
                pass
            await pause()
        return False

    async def ready(self):
        """Waits until controllers serve."""
        for _ in range(3):
            assert await self.ask_until("GET", "/ready", None, 200)

    async def submit(self, name, **fields):
        """Has a job accepted."""
        self.jobs[name] = job = description(name, {"threads": 3, "vcpus": 1.0, "size_gb": 0.1} | fields)
        assert await self.ask_until("POST", "/submissions", json.dumps(job).encode(), 200, 201), name

    async def done(self, name):
        """Waits until the job is done."""
        assert await self.ask_until("GET", f"/submissions/{name}", None, 200, stage="done"), name

    async def run_job(self, name):
        """Has a job accepted, and waits until it is done."""
        await self.submit(name)
        await self.done(name)

    def end(self):
        for process in self.processes.values():
            process.kill()
            process.wait()
        for worker in self.workers.values():
            worker.terminate()
        for port in self.ports:
            port.stopListening()


async def pause():
    """Until the next try."""
    await threads.deferToThread(time.sleep, 0.1)


def run_in_reactor(work, limit):
    """Runs a coroutine under the real reactor, which can be started once in a process."""
    out = {}

    def finish(result):
        out["result"] = result
        reactor.stop()

    reactor.callWhenRunning(lambda: Deferred.fromCoroutine(work()).addBoth(finish))
    reactor.callLater(limit, reactor.stop)
    reactor.run(installSignalHandlers=False)
    assert "result" in out, "took too long"
    if hasattr(out["result"], "raiseException"):
        out["result"].raiseException()
