"""Makes Hypothesis deterministic, so that tests give the same result each time, and handles KNOWN-RED.txt."""

import pytest
from hypothesis import HealthCheck, settings

from tests.known_red import FILE_NAME, KnownRed, read_listed

settings.register_profile(
    "deterministic", derandomize=True, deadline=None, database=None, suppress_health_check=list(HealthCheck)
)
settings.load_profile("deterministic")


def pytest_configure(config: pytest.Config) -> None:
    """Registers the plugin that tolerates and prints the failures of the tests in KNOWN-RED.txt."""
    config.pluginmanager.register(KnownRed(read_listed(config.rootpath / FILE_NAME)))
