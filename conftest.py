"""Tests give the same verdict each time: generated inputs are derived from the tests alone."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "same", derandomize=True, deadline=None, database=None, suppress_health_check=list(HealthCheck)
)
settings.load_profile("same")
