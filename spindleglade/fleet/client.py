"""Client of the cloud's published API: machine types, provisioning, termination and the machine list."""

from collections.abc import Callable
from datetime import timedelta
from typing import TypeVar

import msgspec

from spindleglade.fleet.errors import (
    CloudRequestRejectedError,
    CloudTimeoutError,
    InsufficientCapacityError,
    LeadershipUnprovenError,
)
from spindleglade.fleet.messages import (
    ListedMachine,
    MachinePage,
    MachineType,
    MachineTypeList,
    ProvisionRequest,
    ProvisionResponse,
    TerminateRequest,
)
from spindleglade.http.client import ClientResponse, Requester
from spindleglade.http.errors import NoResponseError, NotSentError
from spindleglade.runtime.clock import Clock, sleep
from spindleglade.store.token_bucket import TokenBucket

# Maximum numbers of machines that the cloud accepts in one request.
MAX_PROVISIONED_PER_REQUEST = 50
MAX_TERMINATED_PER_REQUEST = 100
# Machines in one page of the machine list.
MACHINES_PER_PAGE = 500
# Share of the cloud's rate limit that one controller may use steadily. The other controllers need little of
# the limit, since the leader makes nearly all requests.
SUSTAINED_SHARE_OF_RATE = 0.8

HTTP_OK = 200
HTTP_SERVICE_UNAVAILABLE = 503
# Part of the response body if the cloud has no machine of the requested machine pool.
NO_CAPACITY_MARKER = b"no capacity"

Message = TypeVar("Message")


class CloudClient:
    """Sends requests to the cloud within its rate limit. Each method raises a `CloudError` if it fails."""

    def __init__(self, http: Requester, address: str, clock: Clock, rps: float, timeout: timedelta) -> None:
        self._http = http
        self._address = address
        self._clock = clock
        self._timeout = timeout
        self._request_tokens = TokenBucket(clock, rps * SUSTAINED_SHARE_OF_RATE, rps)

    async def list_machine_types(self) -> list[MachineType]:
        """Reads all machine types of the cloud."""
        body = await self._call("GET", "/machine_types")
        return _decode("GET /machine_types", body, MachineTypeList).types

    async def provision(self, request: ProvisionRequest, is_allowed: Callable[[], bool]) -> list[str]:
        """Provisions machines and returns their names, which may be fewer than requested.

        `is_allowed` is called just before the request is sent; if it returns False, the request is not sent
        and `LeadershipUnprovenError` is raised.
        """
        body = await self._call("POST", "/hosts", request, is_allowed)
        return _decode("POST /hosts", body, ProvisionResponse).machines

    async def terminate(self, names: list[str], is_allowed: Callable[[], bool]) -> None:
        """Terminates the machines. Once it returns, the machines and everything on them are gone.

        `is_allowed` is called just before the request is sent; if it returns False, the request is not sent
        and `LeadershipUnprovenError` is raised.
        """
        await self._call("POST", "/hosts/release", TerminateRequest(names), is_allowed)

    async def list_machines(self) -> list[ListedMachine]:
        """Reads the list of all machines of this deployment, page by page. The list may lag behind."""
        machines: list[ListedMachine] = []
        path = f"/hosts?page={MACHINES_PER_PAGE}"
        while True:
            page = _decode(f"GET {path}", await self._call("GET", path), MachinePage)
            machines.extend(page.machines)
            if not page.has_more or not page.machines:
                return machines
            path = f"/hosts?page={MACHINES_PER_PAGE}&since={page.machines[-1].name}"

    async def _call(
        self,
        method: str,
        path: str,
        message: msgspec.Struct | None = None,
        is_allowed: Callable[[], bool] | None = None,
    ) -> bytes:
        """Sends a request when the rate limit allows it, and returns the body of the response.

        Raises a `CloudError` if the request was not carried out or its outcome is unknown.
        """
        operation = f"{method} {path}"
        delay = self._request_tokens.reserve()
        if delay:
            await sleep(self._clock, delay)
        if is_allowed is not None and not is_allowed():
            raise LeadershipUnprovenError(operation=operation)
        body = None if message is None else msgspec.json.encode(message)
        try:
            response = await self._http.request(method, self._address, path, body, self._timeout)
        except NotSentError as error:
            raise CloudRequestRejectedError(str(error), operation) from error
        except NoResponseError as error:
            raise CloudTimeoutError(str(error), operation) from error
        _check_status(operation, response)
        return response.body


def _check_status(operation: str, response: ClientResponse) -> None:
    """Raises the error that corresponds to the status of the response, if any."""
    if response.status == HTTP_SERVICE_UNAVAILABLE and NO_CAPACITY_MARKER in response.body:
        raise InsufficientCapacityError(operation=operation, status=response.status)
    if response.status != HTTP_OK:
        raise CloudRequestRejectedError(operation=operation, status=response.status)


def _decode(operation: str, body: bytes, message_type: type[Message]) -> Message:
    try:
        return msgspec.json.decode(body, type=message_type)
    except msgspec.DecodeError as error:
        raise CloudTimeoutError(f"malformed response: {error}", operation) from error
