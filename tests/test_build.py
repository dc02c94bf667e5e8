"""Tests of the build command of deploy/service.toml, with a fake Python that fails at each of its stages."""

import os
import stat
import subprocess
import tomllib

import pytest

from tests.versions import ROOT

BUILD = tomllib.loads((ROOT / "deploy" / "service.toml").read_text(encoding="utf-8"))["build"]
# A fake python3. It records each call, installs in two steps, and fails at the stage that CUT names.
FAKE_PYTHON = """#!/bin/sh
if [ "$1" = -m ]; then
    echo install >> calls
    mkdir -p target/deps
    [ "$CUT" = begun ] && exit 1
    touch target/deps/one
    [ "$CUT" = half ] && kill -9 $PPID && exit 1
    touch target/deps/two
    exit 0
fi
echo warm >> calls
[ "$CUT" = warm ] && exit 1
exit 0
"""


@pytest.fixture
def build(tmp_path):
    """Returns a function that runs the build in an empty folder and returns its exit status and Python's
    calls."""
    (tmp_path / "requirements.txt").write_text("some\n")
    # An old modification time, so that `.installed` is newer. Files with equal times would not count as
    # newer.
    os.utime(tmp_path / "requirements.txt", (1_000_000, 1_000_000))
    python = tmp_path / "bin" / "python3"
    python.parent.mkdir()
    python.write_text(FAKE_PYTHON)
    python.chmod(python.stat().st_mode | stat.S_IXUSR)

    def run(cut=""):
        calls = tmp_path / "calls"
        calls.unlink(missing_ok=True)
        path = f"{python.parent}:{os.environ['PATH']}"
        completed = subprocess.run(
            ["sh", "-c", BUILD], cwd=tmp_path, env={"PATH": path, "CUT": cut}, check=False
        )
        return completed.returncode, calls.read_text().split()

    return run


def test_what_is_installed_is_not_installed_again(build):
    assert build() == (0, ["install", "warm"])
    assert build() == (0, ["warm"])


@pytest.mark.parametrize("cut", ["begun", "half"])
def test_an_installation_that_was_cut_short_is_made_again(build, cut):
    status, calls = build(cut)
    assert status != 0 and calls == ["install"]
    assert build() == (0, ["install", "warm"])
    assert build() == (0, ["warm"])


def test_an_update_that_was_cut_short_is_made_again(build, tmp_path):
    build()
    os.utime(tmp_path / "target" / "deps" / ".installed", (900_000, 900_000))
    build("half")
    assert build() == (0, ["install", "warm"])


def test_a_failure_after_the_installation_does_not_undo_it(build):
    status, calls = build("warm")
    assert status != 0 and calls == ["install", "warm"]
    assert build() == (0, ["warm"])
