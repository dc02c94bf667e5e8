"""Client of the cloud, by its published protocol. Calls end like the state client's: an answer, `Refused`
with the reason the cloud gave, or `Silent` where the request may still be carried out. Besides, `Withheld` is
raised for a request that its caller may no longer make once its turn has come."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

import msgspec

from spindleglade.clock import Clock, sleep
from spindleglade.fleet.messages import Listed, MachineType, Page, Release, Rent, Rented, Types
from spindleglade.store.budget import Budget
from spindleglade.web import NoAnswer, NotSent, Requester, Response

MOST_RENTED = 50
MOST_RELEASED = 100


class Refused(Exception):
    """Not carried out."""


class NoCapacity(Refused):
    """None available of this type, zone and kind."""


class Silent(Exception):
    """No answer: the request may have been carried out, or may still be."""


class Withheld(Exception):
    """Not sent: the caller may not make the request any more."""


class CloudClient:
    def __init__(self, http: Requester, address: str, clock: Clock, rps: float, timeout: timedelta) -> None:
        self._http = http
        self._address = address
        self._clock = clock
        self._timeout = timeout
        # The leader makes nearly all calls; the others only ask for the types when they start.
        self._budget = Budget(clock, rps * 0.8, rps)

    async def _call(
        self, method: str, path: str, body: Any, kind: Any, allowed: Callable[[], bool] | None = None
    ) -> Any:
        delay = self._budget.reserve()
        if delay:
            await sleep(self._clock, delay)
        if allowed is not None and not allowed():
            raise Withheld(path)
        encoded = None if body is None else msgspec.json.encode(body)
        try:
            response: Response = await self._http.request(method, self._address, path, encoded, self._timeout)
        except NotSent as error:
            raise Refused(str(error)) from None
        except NoAnswer as error:
            raise Silent(str(error)) from None
        if response.status == 503 and b"no capacity" in response.body:
            raise NoCapacity("no capacity")
        if response.status != 200:
            raise Refused(f"{path} answered {response.status}")
        if kind is None:
            return None
        try:
            return msgspec.json.decode(response.body, type=kind)
        except msgspec.DecodeError as error:
            raise Silent(f"malformed answer: {error}") from None

    async def types(self) -> list[MachineType]:
        return (await self._call("GET", "/machine_types", None, Types)).types

    async def rent(self, rent: Rent, allowed: Callable[[], bool]) -> list[str]:
        return (await self._call("POST", "/hosts", rent, Rented, allowed)).machines

    async def release(self, names: list[str], allowed: Callable[[], bool]) -> None:
        await self._call("POST", "/hosts/release", Release(names), None, allowed)

    async def machines(self) -> list[Listed]:
        found: list[Listed] = []
        since = ""
        while True:
            path = "/hosts?page=500" + (f"&since={since}" if since else "")
            page: Page = await self._call("GET", path, None, Page)
            found.extend(page.machines)
            if not page.more or not page.machines:
                return found
            since = page.machines[-1].name
