"""The client of the state service against a stand-in whose limits fall."""

import msgspec
import pytest
from twisted.internet.defer import Deferred

from spindleglade.http.client import ClientResponse
from spindleglade.runtime.background import run_in_background
from spindleglade.runtime.clock import ManualClock, seconds
from spindleglade.settings.platform import NextStateLimits, StateLimits
from spindleglade.store.client import StateClient
from spindleglade.store.errors import (
    LeaseExpiredError,
    NotAppliedError,
    RateLimitedError,
    ServiceUnavailableError,
    ValueTooLargeError,
)
from spindleglade.store.messages import Condition, Put, encode_value
from spindleglade.store.rate_limits import LOWER_RATES_DURATION
from spindleglade.store.replica import Replica
from tests.fakes.state_service import StateService

LIMITS = StateLimits(100.0, 40.0, 16.0, 12, NextStateLimits(50.0, 10.0, 2.0, 4))


class Direct:
    """Hands requests to the stand-in at once; `answers` has statuses to be given instead."""

    def __init__(self, service):
        self.service, self.answers, self.sent = service, [], []

    async def request(self, method, address, path, body=None, timeout=None):
        self.sent.append(path)
        if self.answers:
            return ClientResponse(self.answers.pop(0), b"{}")
        answer = self.service.handle(method, path, body or b"")
        return ClientResponse(*(await answer if isinstance(answer, Deferred) else answer))


def make(limits=LIMITS, **given):
    clock = ManualClock()
    line = Direct(StateService(clock, **given))
    return clock, line, StateClient(line, "", clock, limits, 1, seconds(1))


def call(work):
    """What came of it; empty while it waits."""
    ended = []

    async def asked():
        try:
            return await work
        except (NotAppliedError, LeaseExpiredError) as error:
            return error

    run_in_background(asked(), "call").addCallback(ended.append)
    return ended


@pytest.mark.parametrize(("status", "kind"), [(429, RateLimitedError), (503, ServiceUnavailableError)])
def test_refusals_are_told_apart(status, kind):
    _, line, client = make()
    line.answers = [status]
    (error,) = call(client.get("a"))
    assert type(error) is kind and isinstance(error, NotAppliedError)


def test_the_first_400_for_size_makes_values_smaller():
    _, line, client = make()
    line.service.lower_limits(2.0, 4)
    large = [Put("sg/a", encode_value("x" * 3000))]
    assert client.value_bytes == 16 * 1024
    (error,) = call(client.compare_and_swap([Condition("sg/a", 0)], large))
    assert type(error) is ValueTooLargeError and client.value_bytes == LIMITS.value_bytes < 2048
    # A lease that has ended is no matter of size.
    _, line, client = make()
    (error,) = call(client.compare_and_swap([], [Put("sg/a", encode_value(1), lease=9)]))
    assert type(error) is LeaseExpiredError and client.value_bytes == 16 * 1024


def changes_in(clock, client, length):
    """How many single ordinary changes are made within that time, one after the other."""
    made = []

    async def write():
        while True:
            try:
                await client.compare_and_swap([], [Put("sg/a", encode_value(len(made)))])
                made.append(clock.now())
            except NotAppliedError:
                pass

    run_in_background(write(), "writing")
    before = len(made)
    clock.advance(length)
    return len(made) - before


def test_after_a_429_the_lower_rates_are_kept_to_for_a_while():
    clock, line, client = make()
    assert changes_in(clock, client, seconds(10)) > 200
    line.answers = [429]
    clock.advance(seconds(1))
    asked = len(line.sent)
    clock.advance(LOWER_RATES_DURATION - seconds(2))
    lower = (len(line.sent) - asked) / (LOWER_RATES_DURATION - seconds(2)).total_seconds()
    assert 5 < lower <= LIMITS.lowest.write_rps and client.request_interval == seconds(3 / 50)
    clock.advance(seconds(3))
    asked = len(line.sent)
    clock.advance(seconds(10))
    assert len(line.sent) - asked > 200 and client.request_interval == seconds(3 / 100)


def test_without_limits_to_come_a_429_changes_no_rate():
    clock, line, client = make(StateLimits(100.0, 40.0, 16.0, 12))
    line.answers = [429]
    assert type(call(client.get("a"))[0]) is RateLimitedError
    assert client.request_interval == seconds(3 / 100) and changes_in(clock, client, seconds(10)) > 200


def test_ordinary_requests_yield_while_they_are_held_back():
    clock, line, client = make()
    client.pause_ordinary_requests(seconds(2))
    ordinary, listing = (
        call(client.compare_and_swap([], [Put("sg/a", encode_value(1))])),
        call(client.read_all("sg/")),
    )
    urgent = call(client.compare_and_swap([], [Put("sg/b", encode_value(1))], urgent=True))
    assert urgent and not ordinary and not listing and len(line.sent) == 1
    clock.advance(seconds(2))
    assert ordinary and listing


def test_a_listing_of_several_pages_shows_what_moved_while_it_was_read():
    """Parts sort before what they are taken from: the first page lacked it, a later one the old value."""
    clock, line, client = make()
    service = line.service
    service._write([{"set": f"sg/a{number}", "v": 0} for number in range(9)] + [{"set": "sg/z", "v": "all"}])
    handle = service.handle

    def move(method, path, body):
        answer = handle(method, path, body)
        if path.startswith("/kv") and "since" not in path:
            service._write([{"set": "sg/a", "v": "right"}])
            service._write([{"set": "sg/z", "v": "left"}])
        return answer

    service.handle = move
    held, seen = {}, []
    replica = Replica(client, clock, "sg/", seconds(10), seconds(1))
    replica.subscribe(lambda key, value, mod_revision: held.__setitem__(key, msgspec.json.decode(value)))
    proven = replica._record_catch_up
    replica._record_catch_up = lambda asked: (seen.append(dict(held)), proven(asked))
    replica.start()
    assert seen and seen[0]["sg/z"] == "left" and seen[0]["sg/a"] == "right"
