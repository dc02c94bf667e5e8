"""Tests give the same verdict each time: generated inputs are derived from the tests alone."""

import pytest
from hypothesis import HealthCheck, settings

from tests.known_red import FILE_NAME, KnownRed, read_listed

settings.register_profile(
    "same", derandomize=True, deadline=None, database=None, suppress_health_check=list(HealthCheck)
)
settings.load_profile("same")


def pytest_configure(config: pytest.Config) -> None:
    """Failures of the tests in KNOWN-RED.txt are passed over and printed."""
    config.pluginmanager.register(KnownRed(read_listed(config.rootpath / FILE_NAME)))
