"""Tests of the list of known failures: it excuses exactly the failures that it names."""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
CONFTEST = """
import pytest
from tests.known_red import FILE_NAME, KnownRed, read_listed

def pytest_configure(config):
    config.pluginmanager.register(KnownRed(read_listed(config.rootpath / FILE_NAME)))
"""
TESTS = """
import pytest

@pytest.mark.parametrize("case", [0, 1])
def test_red(case):
    assert case == 0

def test_green():
    pass

def test_other_red():
    assert False
"""
RED, GREEN, OTHER = "test_it.py::test_red", "test_it.py::test_green", "test_it.py::test_other_red"


@pytest.fixture(params=[(), ("-n", "2")], ids=["one process", "two processes"])
def processes(request):
    """The pytest arguments for the number of test processes."""
    return request.param


def run(folder, lines, *arguments):
    """Runs `TESTS` with these lines in KNOWN-RED.txt; returns the exit status and the output."""
    (folder / "conftest.py").write_text(CONFTEST)
    (folder / "test_it.py").write_text(TESTS)
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "KNOWN-RED.txt").write_text("".join(f"{line}\n" for line in lines))
    command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", *arguments]
    environment = {"PYTHONPATH": str(ROOT), "PATH": "/usr/bin:/bin"}
    completed = subprocess.run(command, cwd=folder, env=environment, capture_output=True, text=True)
    return completed.returncode, completed.stdout + completed.stderr


def entry(test):
    return f"{test} | the cause | issue 0"


def test_listed_failures_are_passed_over_and_printed(tmp_path, processes):
    status, output = run(tmp_path, [entry(RED), entry(OTHER)], *processes)
    assert status == 0
    assert f"{RED}: 1 of 2 cases passed over; cause: the cause; issue: issue 0" in output
    assert f"{OTHER}: 1 of 1 cases passed over" in output


def test_a_failure_that_is_not_listed_fails_the_run(tmp_path, processes):
    status, output = run(tmp_path, [entry(RED)], *processes)
    assert status == 1
    assert f"FAILED {OTHER}" in output


def test_a_listed_test_that_passes_fails_the_run(tmp_path, processes):
    status, output = run(tmp_path, [entry(RED), entry(OTHER), entry(GREEN)], *processes)
    assert status == 1
    assert f"{GREEN} passes and is to be taken off the list" in output


def test_a_listed_test_that_does_not_exist_fails_a_run_of_all(tmp_path, processes):
    status, output = run(tmp_path, [entry(RED), entry(OTHER), entry("test_it.py::test_gone")], *processes)
    assert status == 1
    assert "test_it.py::test_gone does not exist" in output


@pytest.mark.parametrize(
    "lines",
    [
        [entry(f"test_it.py::test_{number}") for number in range(4)],
        ["test_it.py::test_red"],
        [f"{RED} | | 3"],
    ],
)
def test_a_list_that_is_too_long_or_cannot_be_read_is_refused(tmp_path, processes, lines):
    status, output = run(tmp_path, lines, *processes)
    assert status == 4
    assert "KNOWN-RED.txt: " in output
