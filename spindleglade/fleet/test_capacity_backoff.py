"""Tests the exponential backoff from machine pools without capacity."""

from spindleglade.fleet.capacity_backoff import CapacityBackoff
from spindleglade.runtime.clock import seconds


def test_a_rejected_pool_is_backed_off_from_for_longer_each_time():
    backoff, pool = CapacityBackoff(seconds(4), seconds(10)), ("s", "a", True)
    backoff.on_rejected(pool, seconds(0))
    assert not backoff.allows(pool, seconds(3)) and backoff.allows(pool, seconds(4))
    backoff.on_rejected(pool, seconds(4))
    assert not backoff.allows(pool, seconds(11)) and backoff.allows(pool, seconds(12))
    backoff.on_rejected(pool, seconds(12))
    assert backoff.allows(pool, seconds(22))
    backoff.on_provisioned(pool)
    backoff.on_rejected(pool, seconds(30))
    assert backoff.allows(pool, seconds(34))
