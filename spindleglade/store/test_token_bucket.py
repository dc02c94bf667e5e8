"""Tests of the token bucket with generated requests."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from spindleglade.runtime.clock import ManualClock, seconds
from spindleglade.store.token_bucket import TokenBucket


@given(st.lists(st.tuples(st.floats(0, 2), st.integers(1, 5), st.booleans()), max_size=40))
def test_no_more_than_the_share_is_used_over_time(requests):
    clock = ManualClock()
    bucket = TokenBucket(clock, 10.0, 10.0)
    taken, latest_send = 0.0, timedelta(0)
    for pause_s, amount, urgent in requests:
        clock.advance(seconds(pause_s))
        if urgent:
            continue
        latest_send = max(latest_send, clock.now() + bucket.reserve(amount))
        taken += amount
    assert taken <= 10.0 + 10.0 * latest_send.total_seconds() + 1e-6
