"""The client of the cloud sends no request that its caller may no longer make."""

from twisted.internet.defer import ensureDeferred

from spindleglade.fleet.client import CloudClient
from spindleglade.fleet.errors import LeadershipUnprovenError
from spindleglade.http.client import ClientResponse
from spindleglade.runtime.clock import ManualClock, seconds


class RecordingRequester:
    """Records each request and answers nothing of use."""

    def __init__(self):
        self.paths = []

    async def request(self, method, address, path, body=None, timeout=None):
        self.paths.append(path)
        return ClientResponse(200, b"{}")


def test_a_request_that_waited_for_the_rate_limit_is_not_sent_once_leadership_is_unproven():
    clock, http = ManualClock(), RecordingRequester()
    cloud = CloudClient(http, "x:1", clock, 1.0, seconds(4))
    proven, ended = [True], []

    def terminate():
        waiter = ensureDeferred(cloud.terminate(["n-1"], lambda: proven[0]))
        waiter.addErrback(lambda failure: ended.append(failure.type))

    terminate()
    assert len(http.paths) == 1
    # The second one has to wait for the rate limit, and the leader is suspended meanwhile.
    terminate()
    proven[0] = False
    clock.advance(seconds(5))
    assert len(http.paths) == 1 and ended == [LeadershipUnprovenError]
