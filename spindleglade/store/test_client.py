"""Tests of the state service's client against a fake service that lowers its limits."""

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


class DirectRequester:
    """Passes each request to the fake service, or responds with the next of `scripted_statuses` instead."""

    def __init__(self, service):
        self.service, self.scripted_statuses, self.sent = service, [], []

    async def request(self, method, address, path, body=None, timeout=None):
        self.sent.append(path)
        if self.scripted_statuses:
            return ClientResponse(self.scripted_statuses.pop(0), b"{}")
        response = self.service.handle(method, path, body or b"")
        return ClientResponse(*(await response if isinstance(response, Deferred) else response))


def make_client(limits=LIMITS, **settings):
    clock = ManualClock()
    requester = DirectRequester(StateService(clock, **settings))
    return clock, requester, StateClient(requester, "", clock, limits, 1, seconds(1))


def start_call(work):
    """Starts a call. Returns a list that gets its result or error, and is empty while the call waits."""
    results = []

    async def run():
        try:
            return await work
        except (NotAppliedError, LeaseExpiredError) as error:
            return error

    run_in_background(run(), "call").addCallback(results.append)
    return results


@pytest.mark.parametrize(("status", "error_type"), [(429, RateLimitedError), (503, ServiceUnavailableError)])
def test_each_status_of_refusal_has_its_error(status, error_type):
    _, requester, client = make_client()
    requester.scripted_statuses = [status]
    (error,) = start_call(client.get("a"))
    assert type(error) is error_type and isinstance(error, NotAppliedError)


def test_the_first_refusal_for_size_applies_the_smaller_value_limit():
    _, requester, client = make_client()
    requester.service.lower_limits(2.0, 4)
    large = [Put("sg/a", encode_value("x" * 3000))]
    assert client.existing_value_bytes == 16 * 1024
    (error,) = start_call(client.compare_and_swap([Condition("sg/a", 0)], large))
    assert type(error) is ValueTooLargeError and client.existing_value_bytes == LIMITS.new_value_bytes < 2048
    # A transaction refused for an expired lease does not change the limit.
    _, requester, client = make_client()
    (error,) = start_call(client.compare_and_swap([], [Put("sg/a", encode_value(1), lease=9)]))
    assert type(error) is LeaseExpiredError and client.existing_value_bytes == 16 * 1024


def count_writes(clock, client, duration):
    """Counts the ordinary transactions of one write that succeed, one after the other, within `duration`."""
    written_at = []

    async def write():
        while True:
            try:
                await client.compare_and_swap([], [Put("sg/a", encode_value(len(written_at)))])
                written_at.append(clock.now())
            except NotAppliedError:
                pass

    run_in_background(write(), "writing")
    before = len(written_at)
    clock.advance(duration)
    return len(written_at) - before


def test_after_a_429_the_lower_rates_are_in_force_for_a_while():
    clock, requester, client = make_client()
    assert count_writes(clock, client, seconds(10)) > 200
    requester.scripted_statuses = [429]
    clock.advance(seconds(1))
    sent_before = len(requester.sent)
    clock.advance(LOWER_RATES_DURATION - seconds(2))
    lower_rate = (len(requester.sent) - sent_before) / (LOWER_RATES_DURATION - seconds(2)).total_seconds()
    assert 5 < lower_rate <= LIMITS.lowest.write_rps and client.request_interval == seconds(3 / 50)
    clock.advance(seconds(3))
    sent_before = len(requester.sent)
    clock.advance(seconds(10))
    assert len(requester.sent) - sent_before > 200 and client.request_interval == seconds(3 / 100)


def test_without_announced_limits_a_429_changes_no_rate():
    clock, requester, client = make_client(StateLimits(100.0, 40.0, 16.0, 12))
    requester.scripted_statuses = [429]
    assert type(start_call(client.get("a"))[0]) is RateLimitedError
    assert client.request_interval == seconds(3 / 100) and count_writes(clock, client, seconds(10)) > 200


def test_ordinary_requests_wait_while_they_are_paused():
    clock, requester, client = make_client()
    client.pause_ordinary_requests(seconds(2))
    ordinary, listing = (
        start_call(client.compare_and_swap([], [Put("sg/a", encode_value(1))])),
        start_call(client.read_all("sg/")),
    )
    urgent = start_call(client.compare_and_swap([], [Put("sg/b", encode_value(1))], urgent=True))
    assert urgent and not ordinary and not listing and len(requester.sent) == 1
    clock.advance(seconds(2))
    assert ordinary and listing


def test_a_listing_of_several_pages_shows_what_was_split_while_it_was_read():
    """Overflow ranges sort before the value that they are split from. If a value is split between two pages,
    the first page lacks the new range, and a later page shows the old value without its tasks."""
    clock, requester, client = make_client()
    service = requester.service
    service._write([{"set": f"sg/a{number}", "v": 0} for number in range(9)] + [{"set": "sg/z", "v": "all"}])
    handle_request = service.handle

    def split_after_first_page(method, path, body):
        response = handle_request(method, path, body)
        if path.startswith("/kv") and "since" not in path:
            service._write([{"set": "sg/a", "v": "right"}])
            service._write([{"set": "sg/z", "v": "left"}])
        return response

    service.handle = split_after_first_page
    values, values_at_catch_ups = {}, []
    replica = Replica(client, clock, "sg/", seconds(10), seconds(1))
    replica.subscribe(lambda key, value, mod_revision: values.__setitem__(key, msgspec.json.decode(value)))
    record_catch_up = replica._record_catch_up
    replica._record_catch_up = lambda started_at: (
        values_at_catch_ups.append(dict(values)),
        record_catch_up(started_at),
    )
    replica.start()
    assert (
        values_at_catch_ups
        and values_at_catch_ups[0]["sg/z"] == "left"
        and values_at_catch_ups[0]["sg/a"] == "right"
    )
