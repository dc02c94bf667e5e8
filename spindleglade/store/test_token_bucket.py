"""The token bucket under generated requests."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from spindleglade.runtime.clock import ManualClock, seconds
from spindleglade.store.token_bucket import TokenBucket


@given(st.lists(st.tuples(st.floats(0, 2), st.integers(1, 5), st.booleans()), max_size=40))
def test_no_more_than_the_share_is_used_over_time(spends):
    clock = ManualClock()
    bucket = TokenBucket(clock, 10.0, 10.0)
    used, latest = 0.0, timedelta(0)
    for pause, amount, urgent in spends:
        clock.advance(seconds(pause))
        if urgent:
            continue
        latest = max(latest, clock.now() + bucket.reserve(amount))
        used += amount
    assert used <= 10.0 + 10.0 * latest.total_seconds() + 1e-6
