"""Three controllers as real processes on loopback, with fakes of the state service, the cloud and workers."""

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
    """A TCP port of 127.0.0.1 that was free when probed."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Loopback:
    """A deployment whose fakes listen on real sockets and whose controllers are processes."""

    def __init__(self, folder, roots=(ROOT,) * 3):
        """Writes settings files to `folder` and starts each controller from its checkout in `roots`."""
        self.clock = ReactorClock(reactor)
        self.http = HttpClient(reactor, connections_per_host=2)
        self.state = StateService(self.clock)
        self.cloud = Cloud(self.clock, random.Random(1), TYPES, 4, self.on_machine_booted, lambda name: None)
        self.jobs, self.workers, self.ports = {}, {}, []
        self.state_address, self.cloud_address = (
            self.listen(self.state.handle),
            self.listen(self.cloud.handle),
        )
        self.controllers = [f"127.0.0.1:{free_port()}" for _ in range(3)]
        peers = [f"127.0.0.1:{free_port()}" for _ in range(3)]
        self.processes = {}
        self.settings_files = []
        for index in range(3):
            file = folder / f"node-{index}.json"
            file.write_text(
                json.dumps(
                    {
                        "node": f"node-{index}",
                        "zone": "a",
                        "client_listen": self.controllers[index],
                        "peer_bind": peers[index],
                        "siblings": [
                            {"node": f"node-{other}", "zone": "a", "endpoint": peers[other]}
                            for other in range(3)
                            if other != index
                        ],
                        "external": {"cloud": self.cloud_address, "state": self.state_address},
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
            self.settings_files.append(file)
            self.start(index, roots[index])

    def listen(self, handle):
        """Serves requests with `handle` on a free port, and returns the address."""

        async def serve(method, path, body):
            answer = handle(method, path, body)
            status, reply = await answer if isinstance(answer, Deferred) else answer
            return HttpResponse(status, reply)

        class QueryInPathResource(RequestResource):
            """Passes the query string on as part of the path, which the fakes parse."""

            def render(self, request):
                request.path = request.uri
                return super().render(request)

        port = reactor.listenTCP(0, Site(QueryInPathResource(serve)), interface="127.0.0.1")
        self.ports.append(port)
        return f"127.0.0.1:{port.getHost().port}"

    def start(self, index, root=ROOT):
        """Starts a controller's process from the checkout at `root`."""
        self.processes[index] = subprocess.Popen(
            [sys.executable, "run.py", "serve", "--config", str(self.settings_files[index])],
            cwd=root,
            env=os.environ | {"LOG_LEVEL": "error"},
        )

    def on_machine_booted(self, machine):
        """Starts the machine's worker, whose heartbeats give the address that it really listens on."""

        def send(controller, body, on_reply):
            async def post():
                try:
                    response = await self.http.request("POST", controller, "/v1/report", body, seconds(4))
                    on_reply((response.status, response.body))
                except NoResponseError:
                    on_reply(None)

            Deferred.fromCoroutine(post())

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
        heartbeat = worker.heartbeat
        worker.heartbeat = lambda: heartbeat() | {"addr": address}
        self.workers[machine.name] = worker

    def kill(self, index):
        """Kills a controller's process."""
        self.processes[index].kill()
        self.processes[index].wait()

    async def ask(self, index, method, path, body=None):
        """Sends one request to a controller and returns its response."""
        return await self.http.request(method, self.controllers[index], path, body, seconds(3))

    async def ask_until(self, method, path, body, *statuses, job_state=None):
        """Sends the request to one controller after another until one answers with one of these statuses and,
        if given, this job state. Returns that answer, or None if there is none within a minute."""
        end = time.monotonic() + 60
        index = 0
        while time.monotonic() < end:
            index = (index + 1) % 3
            try:
                answer = await self.ask(index, method, path, body)
            except NoResponseError:
                answer = None
            if (
                answer is not None
                and answer.status in statuses
                and (job_state is None or json.loads(answer.body)["stage"] == job_state)
            ):
                return answer
            await pause()
        return None

    async def is_ready(self, index):
        """Whether this controller reports within a minute that it is ready."""
        end = time.monotonic() + 60
        while time.monotonic() < end:
            try:
                if (await self.ask(index, "GET", "/ready")).status == 200:
                    return True
            except NoResponseError:
                pass
            await pause()
        return False

    async def wait_until_ready(self):
        """Waits until three requests in a row have found a controller that is ready."""
        for _ in range(3):
            assert await self.ask_until("GET", "/ready", None, 200)

    async def submit(self, name, **fields):
        """Submits a job and waits until it is accepted."""
        self.jobs[name] = job = description(name, {"threads": 3, "vcpus": 1.0, "size_gb": 0.1} | fields)
        assert await self.ask_until("POST", "/submissions", json.dumps(job).encode(), 200, 201), name

    async def wait_until_done(self, name):
        """Waits until the job is done."""
        assert await self.ask_until("GET", f"/submissions/{name}", None, 200, job_state="done"), name

    async def run_job(self, name):
        """Submits a job and waits until it is done."""
        await self.submit(name)
        await self.wait_until_done(name)

    def shut_down(self):
        """Kills all processes, stops the workers and closes the fakes' ports."""
        for process in self.processes.values():
            process.kill()
            process.wait()
        for worker in self.workers.values():
            worker.terminate()
        for port in self.ports:
            port.stopListening()


async def pause():
    """Waits 0.1 s before the next attempt."""
    await threads.deferToThread(time.sleep, 0.1)


def run_in_reactor(main, limit_s):
    """Runs a coroutine function under the real reactor, which can be started only once per process. Fails
    if the coroutine takes longer than `limit_s` seconds."""
    outcome = {}

    def finish(result):
        outcome["result"] = result
        reactor.stop()

    reactor.callWhenRunning(lambda: Deferred.fromCoroutine(main()).addBoth(finish))
    reactor.callLater(limit_s, reactor.stop)
    reactor.run(installSignalHandlers=False)
    assert "result" in outcome, "the coroutine did not finish within the time limit"
    if hasattr(outcome["result"], "raiseException"):
        outcome["result"].raiseException()
