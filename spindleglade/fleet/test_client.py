"""Tests that the client of the cloud sends no request once its caller may no longer make it."""

from twisted.internet.defer import ensureDeferred

from spindleglade.fleet.client import CloudClient
from spindleglade.fleet.errors import LeadershipUnprovenError
from spindleglade.http.client import ClientResponse
from spindleglade.runtime.clock import ManualClock, seconds


class RecordingRequester:
    """Records the path of each request and returns an empty response."""

    def __init__(self):
        self.paths = []

    async def request(self, method, address, path, body=None, timeout=None):
        self.paths.append(path)
        return ClientResponse(200, b"{}")


def test_a_request_that_waited_for_the_rate_limit_is_not_sent_once_leadership_is_unproven():
    clock, http = ManualClock(), RecordingRequester()
    cloud = CloudClient(http, "x:1", clock, 1.0, seconds(4))
    proven, errors = [True], []

    def terminate():
        termination = ensureDeferred(cloud.terminate(["n-1"], lambda: proven[0]))
        termination.addErrback(lambda failure: errors.append(failure.type))

    terminate()
    assert len(http.paths) == 1
    # The second request waits for the rate limit. Leadership becomes unproven during the wait.
    terminate()
    proven[0] = False
    clock.advance(seconds(5))
    assert len(http.paths) == 1 and errors == [LeadershipUnprovenError]
