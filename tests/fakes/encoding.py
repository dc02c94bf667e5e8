"""The JSON encoding and the HTTP replies of the fake services and workers."""

from typing import Any

import msgspec

encode, decode = msgspec.json.encode, msgspec.json.decode
# An HTTP status and a body.
Reply = tuple[int, bytes]


def reply(status: int, body: Any = None) -> Reply:
    """Returns a reply with `body` encoded as JSON, or an empty JSON object if it is None."""
    return status, encode(body if body is not None else {})
