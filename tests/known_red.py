"""Support for KNOWN-RED.txt: tests that fail because of a known fault that is not fixed yet.

Each line of the file is `test | cause | issue`. The test is the node id of a function, such as
`tests/test_x.py::test_y`, and covers all of its cases. Failures of listed tests are printed and do not fail
the run. The run fails if the file lists more than `MAX_LISTED` tests, or contains a malformed line, a test
that does not exist, or a test that passes in all its cases and therefore has to be removed from the list.
"""

from dataclasses import dataclass, field
from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"
MAX_LISTED = 3
FIELD_COUNT = 3


@dataclass
class ListedTest:
    """One line of the file, and the results of the test's cases in this run, by node id."""

    test: str
    cause: str
    issue: str
    cases: set[str] = field(default_factory=set)
    passed: set[str] = field(default_factory=set)
    failed: set[str] = field(default_factory=set)


def read_listed(file: Path) -> list[ListedTest]:
    """The listed tests, or none if there is no file. Raises pytest.UsageError if the file is invalid."""
    if not file.exists():
        return []
    listed = []
    for line in file.read_text(encoding="utf-8").splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != FIELD_COUNT or not all(parts):
            raise pytest.UsageError(f"{FILE_NAME}: not `test | cause | issue`: {line}")
        listed.append(ListedTest(*parts))
    if len(listed) > MAX_LISTED:
        raise pytest.UsageError(f"{FILE_NAME}: {len(listed)} tests are listed, {MAX_LISTED} at most")
    return listed


class KnownRed:
    """The pytest plugin that applies the list to a run."""

    def __init__(self, listed: list[ListedTest]) -> None:
        self._listed = {entry.test: entry for entry in listed}

    def _entry(self, node_id: str) -> ListedTest | None:
        return self._listed.get(node_id.partition("[")[0])

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Marks the listed tests as expected failures."""
        for item in items:
            entry = self._entry(item.nodeid)
            if entry is not None:
                item.add_marker(pytest.mark.xfail(reason=f"{FILE_NAME}: {entry.cause}", strict=False))

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Records the results of the cases of listed tests."""
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
        """Fails the run if there are problems with the list. A pytest-xdist worker sees only some of the
        tests, so only the main process checks."""
        if hasattr(session.config, "workerinput"):
            return
        if session.exitstatus == pytest.ExitCode.OK and self._problems(session.config):
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Prints the results of the listed tests and the problems with the list."""
        for entry in self._listed.values():
            terminalreporter.write_line(
                f"{FILE_NAME}: {entry.test}: {len(entry.failed)} of {len(entry.cases)} cases passed over; "
                f"cause: {entry.cause}; issue: {entry.issue}"
            )
        for problem in self._problems(terminalreporter.config):
            terminalreporter.write_line(f"{FILE_NAME}: {problem}", red=True)

    def _problems(self, config: pytest.Config) -> list[str]:
        problems = []
        has_arguments = config.args_source is pytest.Config.ArgsSource.ARGS
        whole_suite = not has_arguments and not config.option.keyword
        for entry in self._listed.values():
            if whole_suite and not entry.cases:
                problems.append(f"{entry.test} does not exist")
            elif entry.cases and entry.passed == entry.cases:
                problems.append(f"{entry.test} passes and is to be taken off the list")
        return problems
