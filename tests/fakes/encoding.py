"""JSON bodies and HTTP replies, as the fake services write and read them."""

from typing import Any

import msgspec

encode, decode = msgspec.json.encode, msgspec.json.decode
# Status and body.
Reply = tuple[int, bytes]


def reply(status: int, body: Any = None) -> Reply:
    """A reply whose body is the JSON of `body`, or an empty object."""
    return status, encode(body if body is not None else {})
