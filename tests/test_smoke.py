"""Tests of real processes on loopback against fakes: the wiring, the sockets and the command line."""

import subprocess
import sys

import pytest

from tests.loopback import ROOT, Loopback, run_in_reactor
from tests.versions import has_history


def test_three_processes_run_jobs_through_kills(tmp_path):
    async def run_jobs_and_kill_controllers():
        deployment = Loopback(tmp_path)
        try:
            await deployment.wait_until_ready()
            await deployment.run_job("job-000001")
            # Each of the three is killed in turn, so one of the kills hits the first leader.
            for at in range(3):
                deployment.kill(at)
                deployment.start(at)
                await deployment.run_job(f"job-00001{at}")
            for job in list(deployment.jobs):
                await deployment.wait_until_done(job)
            # The process that was killed last may still be starting, although the other two have served all
            # requests so far. Requests can be sent to it directly only after it is ready.
            for at in range(3):
                assert await deployment.is_ready(at)
            assert (await deployment.ask(0, "GET", "/submissions/job-999999")).status == 404
            assert (await deployment.ask(1, "POST", "/submissions", b"{")).status == 400
            assert (await deployment.ask(2, "PUT", "/submissions")).status == 405
            assert (await deployment.ask(2, "GET", "/nowhere")).status == 404
            too_long = await deployment.ask(2, "POST", "/submissions", b" " * 70_000)
            assert too_long.status == 400
        finally:
            deployment.shut_down()

    run_in_reactor(run_jobs_and_kill_controllers, 240)


@pytest.mark.skipif(
    not has_history(), reason="not a git checkout: the version in production is only in its history"
)
def test_processes_of_production_and_of_this_version_side_by_side():
    """Runs in a separate process, because a twisted reactor can be started only once in a process."""
    command = [sys.executable, "-m", "tests.upgrade_on_loopback"]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=400)
    assert completed.returncode == 0, completed.stdout + completed.stderr
    assert "upgraded" in completed.stdout
