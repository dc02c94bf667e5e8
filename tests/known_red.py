"""Support for KNOWN-RED.txt: tests that fail for a real fault which is not mended yet.

Each line of the file is `test | cause | issue`, where the test is a function's node id, such as
`tests/test_x.py::test_y`, all of its cases included. A run passes over the failures of these tests alone and
prints them. It fails if the file lists more than `MOST_LISTED` tests, a line that cannot be read, a test that
does not exist, or a test that passes in all its cases: that one is to be taken off the list.
"""

from dataclasses import dataclass, field
from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"
MOST_LISTED = 3
FIELDS = 3


@dataclass
class ListedTest:
    """One line of the file, and how its cases fared in this run."""

    test: str
    cause: str
    issue: str
    cases: set[str] = field(default_factory=set)
    passed: set[str] = field(default_factory=set)
    failed: set[str] = field(default_factory=set)


def read_listed(file: Path) -> list[ListedTest]:
    """The tests listed in the file; none if there is no file. Raises pytest.UsageError on a bad one."""
    if not file.exists():
        return []
    listed = []
    for line in file.read_text(encoding="utf-8").splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != FIELDS or not all(parts):
            raise pytest.UsageError(f"{FILE_NAME}: not `test | cause | issue`: {line}")
        listed.append(ListedTest(*parts))
    if len(listed) > MOST_LISTED:
        raise pytest.UsageError(f"{FILE_NAME}: {len(listed)} tests are listed, {MOST_LISTED} at most")
    return listed


class KnownRed:
    """The pytest plugin."""

    def __init__(self, listed: list[ListedTest]) -> None:
        self._listed = {entry.test: entry for entry in listed}

    def _entry(self, node_id: str) -> ListedTest | None:
        return self._listed.get(node_id.partition("[")[0])

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Marks the listed tests, so that their failures are passed over."""
        for item in items:
            entry = self._entry(item.nodeid)
            if entry is not None:
                item.add_marker(pytest.mark.xfail(reason=f"{FILE_NAME}: {entry.cause}", strict=False))

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Counts how the cases of the listed tests fared."""
        entry = self._entry(report.nodeid)
        if entry is None:
            return
        entry.cases.add(report.nodeid)
        if not hasattr(report, "wasxfail"):
            return
        if report.skipped:
            entry.failed.add(report.nodeid)
        elif report.passed and report.when == "call":
            entry.passed.add(report.nodeid)

    @pytest.hookimpl(trylast=True)
    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Fails the run where the list is not as it should be. A process that runs a share of the tests for
        another one sees its own share alone, and leaves this to the other."""
        if hasattr(session.config, "workerinput"):
            return
        if session.exitstatus == pytest.ExitCode.OK and self._complaints(session.config):
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Prints what was passed over, and what is wrong with the list."""
        for entry in self._listed.values():
            terminalreporter.write_line(
                f"{FILE_NAME}: {entry.test}: {len(entry.failed)} of {len(entry.cases)} cases passed over; "
                f"cause: {entry.cause}; issue: {entry.issue}"
            )
        for complaint in self._complaints(terminalreporter.config):
            terminalreporter.write_line(f"{FILE_NAME}: {complaint}", red=True)

    def _complaints(self, config: pytest.Config) -> list[str]:
        found = []
        named = config.args_source is pytest.Config.ArgsSource.ARGS
        whole_suite = not named and not config.option.keyword
        for entry in self._listed.values():
            if whole_suite and not entry.cases:
                found.append(f"{entry.test} does not exist")
            elif entry.cases and entry.passed == entry.cases:
                found.append(f"{entry.test} passes and is to be taken off the list")
        return found
