"""Client of the cloud, by its published protocol. Calls end like the state client's: an answer, `Refused`
with the reason the cloud gave, or `Silent` where the request may still be carried out. Besides, `Withheld` is
raised for a request that its caller may no longer make once its turn has come."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

import msgspec

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

MAX_PROVISIONED_PER_REQUEST = 50
MAX_TERMINATED_PER_REQUEST = 100


class CloudRequestRejectedError(Exception):
    """Not carried out."""


class InsufficientCapacityError(CloudRequestRejectedError):
    """None available of this type, zone and kind."""


class CloudTimeoutError(Exception):
    """No answer: the request may have been carried out, or may still be."""


class LeadershipUnprovenError(Exception):
    """Not sent: the caller may not make the request any more."""


class CloudClient:
    def __init__(self, http: Requester, address: str, clock: Clock, rps: float, timeout: timedelta) -> None:
        self._http = http
        self._address = address
        self._clock = clock
        self._timeout = timeout
        # The leader makes nearly all calls; the others only ask for the types when they start.
        self._request_tokens = TokenBucket(clock, rps * 0.8, rps)

    async def _call(
        self, method: str, path: str, body: Any, kind: Any, allowed: Callable[[], bool] | None = None
    ) -> Any:
        delay = self._request_tokens.reserve()
        if delay:
            await sleep(self._clock, delay)
        if allowed is not None and not allowed():
            raise LeadershipUnprovenError(path)
        encoded = None if body is None else msgspec.json.encode(body)
        try:
            response: ClientResponse = await self._http.request(
                method, self._address, path, encoded, self._timeout
            )
        except NotSentError as error:
            raise CloudRequestRejectedError(str(error)) from None
        except NoResponseError as error:
            raise CloudTimeoutError(str(error)) from None
        if response.status == 503 and b"no capacity" in response.body:
            raise InsufficientCapacityError("no capacity")
        if response.status != 200:
            raise CloudRequestRejectedError(f"{path} answered {response.status}")
        if kind is None:
            return None
        try:
            return msgspec.json.decode(response.body, type=kind)
        except msgspec.DecodeError as error:
            raise CloudTimeoutError(f"malformed answer: {error}") from None

    async def list_machine_types(self) -> list[MachineType]:
        return (await self._call("GET", "/machine_types", None, MachineTypeList)).types

    async def provision(self, rent: ProvisionRequest, allowed: Callable[[], bool]) -> list[str]:
        return (await self._call("POST", "/hosts", rent, ProvisionResponse, allowed)).machines

    async def terminate(self, names: list[str], allowed: Callable[[], bool]) -> None:
        await self._call("POST", "/hosts/release", TerminateRequest(names), None, allowed)

    async def list_machines(self) -> list[ListedMachine]:
        found: list[ListedMachine] = []
        since = ""
        while True:
            path = "/hosts?page=500" + (f"&since={since}" if since else "")
            page: MachinePage = await self._call("GET", path, None, MachinePage)
            found.extend(page.machines)
            if not page.more or not page.machines:
                return found
            since = page.machines[-1].name
